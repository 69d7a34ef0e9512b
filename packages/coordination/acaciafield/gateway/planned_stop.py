"""The times of a node's planned stop and which requests it still sends."""

from acaciafield import structs

CLOSE_IDLE_SHARE = 0.4  # of the grace time before idle connections close
# Of the grace time; a request sent later ends before the exit for certain.
SEND_SHARE = 0.5
EXIT_SLACK_S = 0.4  # between the exit and the end of the grace time


class PlannedStop(structs.Struct):
    """A planned stop, with times of the process's clock in seconds.

    Idle connections close from ``close_at`` on. Requests go to workers until
    ``send_until``, and after it only if their time ends before ``exit_at``,
    when the node ends all that it has in progress.
    """

    __slots__ = ("close_at", "send_until", "exit_at")

    def may_send(self, now, deadline):
        """Return whether a request may go to a worker now.

        ``deadline`` is the time at which its caller or its route give up.

        >>> stop = plan_stop(10.0, 6.0)
        >>> stop.may_send(12.9, 20.0), stop.may_send(13.1, 20.0)
        (True, False)
        >>> stop.may_send(13.1, 15.0)
        True
        """
        return now < self.send_until or deadline < self.exit_at


def plan_stop(now, grace):
    """Return the PlannedStop of a node that is killed after ``grace``."""
    return PlannedStop(
        now + CLOSE_IDLE_SHARE * grace,
        now + SEND_SHARE * grace,
        now + grace - EXIT_SLACK_S,
    )
