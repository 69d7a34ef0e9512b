"""What an entry does after each attempt of a request."""

import enum

from acaciafield import outcomes
from acaciafield import structs

Ending = outcomes.Ending

LEAST_LEFT = 0.03  # seconds below which no further attempt is worth it
NOT_RUN_ENDINGS = outcomes.REFUSALS + (Ending.UNREACHED, Ending.MISDIRECTED)
MOST_UNSENT = 4  # attempts that never reached a worker


class Step(enum.Enum):
    """What to do next."""

    PASS = "pass"
    RETRY = "retry"
    STOP = "stop"


class Progress(structs.Struct):
    """The attempts of one request so far.

    ``sent`` counts workers that may have received it, ``unsent`` those
    that took no connection.
    """

    __slots__ = ("idempotent", "most_attempts", "sent", "unsent")
    DEFAULTS = {"sent": 0, "unsent": 0}

    def count(self, ending):
        """Count an attempt that ended."""
        if ending is Ending.UNREACHED:
            self.unsent += 1
        else:
            self.sent += 1

    def may_send(self, left, running=0):
        """Tell whether one more worker may receive the request."""
        if left < LEAST_LEFT or self.unsent >= MOST_UNSENT:
            return False
        return self.sent + running < self.most_attempts

    def is_last(self, number):
        """Tell whether a failure of the attempt ``number`` is final."""
        return not self.idempotent or number >= self.most_attempts

    def decide(self, ending, left, running=0):
        """Return the Step after an attempt, already counted.

        >>> progress = Progress(idempotent=False, most_attempts=2)
        >>> progress.count(Ending.RESET)
        >>> progress.decide(Ending.RESET, 1.0)
        <Step.STOP: 'stop'>
        >>> progress.decide(Ending.REFUSED_SHED, 1.0)
        <Step.RETRY: 'retry'>
        """
        if ending is Ending.ANSWERED:
            return Step.PASS
        if not self.may_send(left, running):
            return Step.STOP
        if ending in NOT_RUN_ENDINGS or self.idempotent:
            return Step.RETRY
        return Step.STOP
