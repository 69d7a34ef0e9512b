"""The three outcomes of a request, and how a failure maps to one."""

import enum


class Outcome(enum.Enum):
    """What is known of a request after the fleet dealt with it."""

    RAN = "ran"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Stage(enum.Enum):
    """How far an attempt had come when it ended."""

    CONNECT = "connect"
    SEND = "send"
    WAIT = "wait"
    BODY = "body"
    DONE = "done"


class Ending(enum.Enum):
    """Why an attempt ended."""

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


REFUSALS = (
    Ending.REFUSED_SHED,
    Ending.REFUSED_DRAINING,
    Ending.REFUSED_DEADLINE,
)


def classify_ending(stage, ending):
    """Return the outcome that an attempt's ending proves.

    An attempt did not run only if no byte of it could have reached the
    worker, or the worker itself refused it in the documented way.

    >>> classify_ending(Stage.CONNECT, Ending.RESET)
    <Outcome.NOT_RUN: 'not-run'>
    >>> classify_ending(Stage.SEND, Ending.RESET)
    <Outcome.UNKNOWN: 'unknown'>
    """
    if ending in REFUSALS or stage is Stage.CONNECT:
        return Outcome.NOT_RUN
    if ending is Ending.ANSWERED or stage in (Stage.BODY, Stage.DONE):
        return Outcome.RAN
    return Outcome.UNKNOWN
