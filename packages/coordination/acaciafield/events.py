"""Events: everything that happens to a node, each with its time.

``now`` is in seconds of a clock that never goes back within a node and
agrees with the other nodes' clocks to within a minute or so.
"""

from acaciafield import structs


class Tick(structs.Struct):
    """Time passed; timers that are due shall fire."""

    __slots__ = ("now",)


class MessageReceived(structs.Struct):
    """A message came from the node ``sender`` at ``address``."""

    __slots__ = ("now", "sender", "message", "address")
    DEFAULTS = {"address": ""}


class RequestArrived(structs.Struct):
    """A caller's request is ready to be sent on.

    ``fingerprint`` is a digest of what a worker would see; ``body_digest``
    one of the body alone; ``timeout`` the caller's deadline in seconds or
    None; ``replayable`` tells whether the body can be sent again.
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


class CallerGone(structs.Struct):
    """The caller closed its connection before the answer was whole."""

    __slots__ = ("now", "request_id")


class AttemptHead(structs.Struct):
    """The head of a worker's answer arrived.

    ``reused`` tells whether the connection had served before.
    """

    __slots__ = ("now", "request_id", "attempt", "status", "reused")
    DEFAULTS = {"reused": False}


class AttemptEnded(structs.Struct):
    """An attempt is over.

    ``offset`` counts the body bytes passed on; ``resumable`` tells
    whether the rest can be asked for by range; ``answer`` is the whole
    answer of a small one as a StoredAnswer, else None.
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

    ``earliest`` is the oldest offset the platform still keeps.
    """

    __slots__ = ("now", "stream", "earliest", "records")


class LogReadFailed(structs.Struct):
    """The platform's log did not answer a read."""

    __slots__ = ("now", "stream")


class LogAppended(structs.Struct):
    """The platform's log took an append."""

    __slots__ = ("now", "append_id", "offset")


class LogAppendFailed(structs.Struct):
    """An append got no good answer; it may have been taken or not."""

    __slots__ = ("now", "append_id")


class StopAsked(structs.Struct):
    """The operator asked for a planned stop of this node."""

    __slots__ = ("now",)


class StoredAnswer(structs.Struct):
    """A small answer that can be given again."""

    __slots__ = ("status", "content_type", "body")
    DEFAULTS = {"content_type": "", "body": b""}
