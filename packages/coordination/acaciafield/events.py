"""Events that a node handles, each with its time.

``now`` is in seconds. The clock is monotonic within a node and agrees
with the clocks of other nodes to within about a minute.
"""

from acaciafield import structs


class Tick(structs.Struct):
    """Time has passed; timers that are due must fire."""

    __slots__ = ("now",)


class MessageReceived(structs.Struct):
    """A message arrived from the node ``sender`` at ``address``."""

    __slots__ = ("now", "sender", "message", "address")
    DEFAULTS = {"address": ""}


class RequestArrived(structs.Struct):
    """A request of a caller is ready to be forwarded.

    ``fingerprint`` is a digest of the request as a worker receives it,
    ``body_digest`` one of the body alone. ``timeout`` is the caller's
    time limit in seconds or None. ``replayable`` is whether the body can
    be sent again.
    """

    __slots__ = (
        "now",
        "request_id",
        "service",
        "method",
        "class_name",
        "key",
        "fingerprint",
        "body_digest",
        "timeout",
        "replayable",
    )
    DEFAULTS = {
        "class_name": "",
        "key": None,
        "fingerprint": "",
        "body_digest": "",
        "timeout": None,
        "replayable": True,
    }


class CallerDisconnected(structs.Struct):
    """The caller closed its connection before the response was complete."""

    __slots__ = ("now", "request_id")


class AttemptHeadReceived(structs.Struct):
    """The head of a worker's response arrived.

    ``reused`` is whether the connection served an earlier request.
    """

    __slots__ = ("now", "request_id", "attempt", "status", "reused")
    DEFAULTS = {"reused": False}


class AttemptEnded(structs.Struct):
    """An attempt has ended.

    ``offset`` is the number of body bytes relayed. ``resumable`` is
    whether the rest can be requested by range. ``answer`` is a small
    response as a StoredAnswer, else None.
    """

    __slots__ = (
        "now",
        "request_id",
        "attempt",
        "stage",
        "ending",
        "status",
        "offset",
        "resumable",
        "answer",
    )
    DEFAULTS = {
        "status": 0,
        "offset": 0,
        "resumable": False,
        "answer": None,
    }


class HostsRead(structs.Struct):
    """The platform listed the hosts of a service, as messages.HostEntry."""

    __slots__ = ("now", "service", "hosts")


class LogRead(structs.Struct):
    """Records of a stream: pairs of offset and bytes, in order.

    ``earliest`` is the oldest offset that the platform still stores.
    """

    __slots__ = ("now", "stream", "earliest", "records")


class LogReadFailed(structs.Struct):
    """The platform's log did not answer a read."""

    __slots__ = ("now", "stream")


class LogAppended(structs.Struct):
    """The platform's log accepted an append."""

    __slots__ = ("now", "append_id", "offset")


class LogAppendFailed(structs.Struct):
    """An append failed; the log may have accepted it or not."""

    __slots__ = ("now", "append_id")


class StopRequested(structs.Struct):
    """The operator requested a planned stop of this node."""

    __slots__ = ("now",)


class StoredAnswer(structs.Struct):
    """A small response that can be sent again."""

    __slots__ = ("status", "content_type", "body")
    DEFAULTS = {"content_type": "", "body": b""}
