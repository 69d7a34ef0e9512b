"""Outcomes of requests, and their derivation from failed attempts."""

import enum


class Outcome(enum.Enum):
    """Whether a worker ran a request, as far as the fleet knows."""

    RAN = "ran"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Stage(enum.Enum):
    """The stage that an attempt had reached when it ended."""

    CONNECT = "connect"
    SEND = "send"
    WAIT = "wait"
    BODY = "body"
    DONE = "done"


class Ending(enum.Enum):
    """The reason why an attempt ended."""

    ANSWERED = "answered"
    REFUSED_SHED = "shed"
    REFUSED_DRAINING = "draining"
    REFUSED_DEADLINE = "deadline"
    RESET = "reset"
    TIMEOUT = "timeout"
    STALLED = "stalled"
    CANCELLED = "cancelled"
    UNREACHED = "unreached"
    MISDIRECTED = "misdirected"
    FAILED = "failed"
    GARBLED = "garbled"


REFUSAL_ENDINGS = (
    Ending.REFUSED_SHED,
    Ending.REFUSED_DRAINING,
    Ending.REFUSED_DEADLINE,
)


def classify_ending(stage, ending):
    """Return the Outcome that follows from the end of an attempt.

    An attempt is known not to have run only if none of its bytes can have
    reached the worker, or if the worker refused it in the documented way.

    >>> classify_ending(Stage.CONNECT, Ending.RESET)
    <Outcome.NOT_RUN: 'not-run'>
    >>> classify_ending(Stage.SEND, Ending.RESET)
    <Outcome.UNKNOWN: 'unknown'>
    """
    if ending in REFUSAL_ENDINGS or stage is Stage.CONNECT:
        return Outcome.NOT_RUN
    if ending is Ending.ANSWERED or stage in (Stage.BODY, Stage.DONE):
        return Outcome.RAN
    return Outcome.UNKNOWN
