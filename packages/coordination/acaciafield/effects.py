"""Effects: everything a node wants done, as data for a driver."""

from acaciafield import structs


class Send(structs.Struct):
    """Send a message to the node with this identifier."""

    __slots__ = ("node_id", "message")


class SendToAddress(structs.Struct):
    """Send a membership message to ``ip:port`` of a node not yet known."""

    __slots__ = ("address", "message")


class StartAttempt(structs.Struct):
    """Send a request to a worker.

    ``fresh`` asks for a new connection; ``offset`` above 0 asks for the
    rest of a body from that byte; ``timeout`` (seconds) is what is left
    of the deadline.
    """

    __slots__ = (
        "request_id",
        "attempt",
        "worker_id",
        "address",
        "fresh",
        "offset",
        "timeout",
    )
    DEFAULTS = {"fresh": False, "offset": 0, "timeout": 30.0}


class CancelAttempt(structs.Struct):
    """Give up an attempt and close its connection."""

    __slots__ = ("request_id", "attempt")


class RelayAnswer(structs.Struct):
    """Pass this attempt's answer on to the caller."""

    __slots__ = ("request_id", "attempt")


class FinishAnswer(structs.Struct):
    """The answer is whole; the request is over."""

    __slots__ = ("request_id",)


class AbortAnswer(structs.Struct):
    """The answer cannot be completed: close the caller's connection."""

    __slots__ = ("request_id", "detail")


class AnswerProblem(structs.Struct):
    """Answer with a problem document (RFC 9457).

    ``retry_after`` is in seconds, or None.
    """

    __slots__ = (
        "request_id",
        "status",
        "title",
        "outcome",
        "detail",
        "retry_after",
    )
    DEFAULTS = {"detail": "", "retry_after": None}


class AnswerStored(structs.Struct):
    """Answer with the stored answer of an earlier run."""

    __slots__ = ("request_id", "answer")


class ReadLog(structs.Struct):
    """Read a stream of the platform's log from an offset."""

    __slots__ = ("stream", "offset")


class AppendLog(structs.Struct):
    """Append bytes to a stream of the platform's log."""

    __slots__ = ("stream", "append_id", "data")


class ReadHosts(structs.Struct):
    """Ask the platform for the hosts of a service."""

    __slots__ = ("service",)


class DropConnections(structs.Struct):
    """Close the idle connections to a worker; they went silent."""

    __slots__ = ("worker_id",)


class Note(structs.Struct):
    """A log line of one part."""

    __slots__ = ("part", "text")


class Exit(structs.Struct):
    """The planned stop is complete; the process may exit."""

    __slots__ = ()
