"""The decision of a node after each attempt of a caller's request."""

import enum

from acaciafield import outcomes
from acaciafield import structs

Ending = outcomes.Ending

MIN_TIME_LEFT_S = 0.03  # for a further attempt
NOT_RUN_ENDINGS = outcomes.REFUSAL_ENDINGS + (
    Ending.UNREACHED,
    Ending.MISDIRECTED,
)
MAX_UNSENT_ATTEMPTS = 4  # attempts that reached no worker


class Step(enum.Enum):
    """The next step of a request."""

    FORWARD = "pass"
    RETRY = "retry"
    STOP = "stop"


class RetryState(structs.Struct):
    """The attempts of one request so far.

    ``sent`` counts the workers that may have received it, ``unsent`` those
    that accepted no connection.
    """

    __slots__ = ("idempotent", "max_attempts", "sent", "unsent")
    DEFAULTS = {"sent": 0, "unsent": 0}

    def count_attempt(self, ending):
        """Count an attempt that ended."""
        if ending is Ending.UNREACHED:
            self.unsent += 1
        else:
            self.sent += 1

    def may_send(self, time_left, running=0):
        """Return whether one more worker may receive the request.

        ``time_left`` is in seconds, ``running`` the number of attempts that
        have not ended.
        """
        if time_left < MIN_TIME_LEFT_S or self.unsent >= MAX_UNSENT_ATTEMPTS:
            return False
        return self.sent + running < self.max_attempts

    def is_last(self, number):
        """Return whether a failure of the attempt ``number`` is final."""
        return not self.idempotent or number >= self.max_attempts

    def decide_step(self, ending, time_left, running=0):
        """Return the Step after an attempt that is counted already.

        >>> state = RetryState(idempotent=False, max_attempts=2)
        >>> state.count_attempt(Ending.RESET)
        >>> state.decide_step(Ending.RESET, 1.0)
        <Step.STOP: 'stop'>
        >>> state.decide_step(Ending.REFUSED_SHED, 1.0)
        <Step.RETRY: 'retry'>
        """
        if ending is Ending.ANSWERED:
            return Step.FORWARD
        if not self.may_send(time_left, running):
            return Step.STOP
        if ending in NOT_RUN_ENDINGS or self.idempotent:
            return Step.RETRY
        return Step.STOP
