"""Effects: actions that a driver must carry out for a node."""

from acaciafield import structs


class Send(structs.Struct):
    """Send a message to the node ``node_id``."""

    __slots__ = ("node_id", "message")


class SendToAddress(structs.Struct):
    """Send a membership message to an unknown node at ``ip:port``."""

    __slots__ = ("address", "message")


class StartAttempt(structs.Struct):
    """Send a request to a worker.

    ``fresh`` requests a new connection. An ``offset`` above 0 requests
    the rest of a response body from that byte. ``timeout`` is the time in
    seconds until the response head must arrive: the time to the deadline,
    for a download at most attempts.HEAD_TIMEOUT_S.
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
    """Cancel an attempt and close its connection."""

    __slots__ = ("request_id", "attempt")


class RelayAnswer(structs.Struct):
    """Relay the response of this attempt to the caller."""

    __slots__ = ("request_id", "attempt")


class FinishAnswer(structs.Struct):
    """Finish the response; the request is complete."""

    __slots__ = ("request_id",)


class AbortAnswer(structs.Struct):
    """Close the caller's connection, as the response stays incomplete."""

    __slots__ = ("request_id", "detail")


class SendProblem(structs.Struct):
    """Respond with a problem document (RFC 9457).

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


class SendStoredAnswer(structs.Struct):
    """Respond with the stored response of an earlier run."""

    __slots__ = ("request_id", "answer")


class ReadLog(structs.Struct):
    """Read a stream of the platform's log from an offset."""

    __slots__ = ("stream", "offset")


class AppendLog(structs.Struct):
    """Append bytes to a stream of the platform's log."""

    __slots__ = ("stream", "append_id", "data")


class ReadHosts(structs.Struct):
    """Request the hosts of a service from the platform."""

    __slots__ = ("service",)


class DropConnections(structs.Struct):
    """Close the unresponsive idle connections to a worker."""

    __slots__ = ("worker_id",)


class WriteLog(structs.Struct):
    """Write a log line of one part of the node."""

    __slots__ = ("part", "text")


class Exit(structs.Struct):
    """Exit the process, as the planned stop is complete."""

    __slots__ = ()
