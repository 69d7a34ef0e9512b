"""Messages between nodes.

Fields are strings, numbers, booleans, bytes, or lists of strings or of
other messages, so that one codec handles all of them.
"""

from acaciafield import structs


class MemberUpdate(structs.Struct):
    """State of a member; a higher ``version`` replaces a lower one.

    ``adopted`` lists stopped nodes whose key records this member holds.
    """

    __slots__ = (
        "node_id",
        "ip",
        "http_port",
        "peer_port",
        "availability_zone",
        "status",
        "version",
        "adopted",
    )
    DEFAULTS = {"status": "alive", "version": 0, "adopted": ()}


class Ping(structs.Struct):
    """Probe with updates of members and the configuration version.

    The version is ``offset``, up to which the sender has read the
    configuration, and ``digest``. Ack and Welcome have the same fields.
    """

    __slots__ = ("sequence", "updates", "offset", "digest")


class Ack(structs.Struct):
    """Answer to a probe; ``node_id`` is the node found alive."""

    __slots__ = ("sequence", "node_id", "updates", "offset", "digest")


class PingRequest(structs.Struct):
    """Request to probe ``node_id`` on behalf of the sender."""

    __slots__ = ("sequence", "node_id", "updates")


class Join(structs.Struct):
    """Introduction of a node, which requests the member list."""

    __slots__ = ("updates",)


class Welcome(structs.Struct):
    """Part of the member list, sent in reply to a Join."""

    __slots__ = ("updates", "offset", "digest")


class ConfigFetch(structs.Struct):
    """Request for the configuration if it is newer than ``offset``."""

    __slots__ = ("offset",)


class ConfigState(structs.Struct):
    """The whole folded configuration as a JSON snapshot."""

    __slots__ = ("offset", "snapshot")


class ClaimsFetch(structs.Struct):
    """Request for the claims if they are known up to ``offset``."""

    __slots__ = ("offset",)


class ClaimsState(structs.Struct):
    """All claims known to a node as a JSON snapshot."""

    __slots__ = ("offset", "snapshot")


class HostsNotice(structs.Struct):
    """Host list of a service, for the nodes ranked next as its keeper."""

    __slots__ = ("service", "hosts")


class HostEntry(structs.Struct):
    """Entry of the platform's host list.

    ``address`` is ``ip:port``; ``state`` is ``live`` or ``leaving``;
    ``started`` the start time in seconds, or 0.0 if unknown.
    """

    __slots__ = (
        "host_id",
        "address",
        "availability_zone",
        "state",
        "slots",
        "started",
    )
    DEFAULTS = {"state": "live", "slots": 1, "started": 0.0}


class PermitRequest(structs.Struct):
    """Request to the keeper of a service for a slot of a worker.

    ``deadline`` and ``target`` are in seconds from now; ``avoid`` lists
    workers already tried; ``retry`` and ``hedge`` each take a token of
    the retry budget.
    """

    __slots__ = (
        "service",
        "permit_id",
        "class_name",
        "deadline",
        "target",
        "fingerprint",
        "idempotent",
        "avoid",
        "retry",
        "hedge",
    )
    DEFAULTS = {"avoid": (), "retry": False, "hedge": False}


class PermitGrant(structs.Struct):
    """Grant of a slot of a worker, to be used at once.

    ``fresh`` requests a new connection; ``hedge_after`` is the time in
    seconds after which a second attempt pays off, or 0.0 for never.
    """

    __slots__ = (
        "service",
        "permit_id",
        "worker_id",
        "address",
        "fresh",
        "hedge_after",
    )


class PermitRefused(structs.Struct):
    """The keeper grants no slot; ``reason`` is a PermitReason value."""

    __slots__ = ("service", "permit_id", "reason", "retry_after")


class PermitQueued(structs.Struct):
    """The keeper has put the request in its queue."""

    __slots__ = ("service", "permit_id")


class PermitHead(structs.Struct):
    """The response head arrived ``latency`` seconds after the grant."""

    __slots__ = ("service", "permit_id", "latency", "status", "reused")


class PermitDone(structs.Struct):
    """The slot is free again; the fields report the attempt's result."""

    __slots__ = (
        "service",
        "permit_id",
        "worker_id",
        "stage",
        "ending",
        "status",
        "latency",
        "reused",
        "fingerprint",
    )


class PermitHeld(structs.Struct):
    """Notice to a new keeper of a permit granted by its predecessor."""

    __slots__ = (
        "service",
        "permit_id",
        "worker_id",
        "class_name",
        "age",
        "fingerprint",
    )


class DropPath(structs.Struct):
    """Open connections to this worker are unresponsive."""

    __slots__ = ("worker_id",)


class CrashNotice(structs.Struct):
    """Crash count and quarantine of a fingerprint that crashes workers."""

    __slots__ = ("service", "fingerprint", "crashes", "quarantined")


class BindKey(structs.Struct):
    """Query to a decider whether the request with this key may run.

    With ``refuse`` set the request is abandoned: the decider ensures
    that it never runs, unless it has consented to a run already.
    ``owner`` is the decider, whose records the recipient may have adopted;
    ``key`` is the digest of the key.
    """

    __slots__ = (
        "bind_id",
        "owner",
        "replica",
        "epoch",
        "key",
        "body_digest",
        "refuse",
    )
    DEFAULTS = {"refuse": False}


class KeyVerdict(structs.Struct):
    """Answer of a decider; ``verdict`` is a Verdict value."""

    __slots__ = (
        "bind_id",
        "key",
        "verdict",
        "grant_id",
        "status",
        "content_type",
        "body",
    )
    DEFAULTS = {"grant_id": "", "status": 0, "content_type": "", "body": b""}


class KeyOutcome(structs.Struct):
    """Report of the outcome of the run that ``grant_id`` allowed."""

    __slots__ = (
        "owner",
        "key",
        "grant_id",
        "outcome",
        "status",
        "content_type",
        "body",
    )
    DEFAULTS = {"status": 0, "content_type": "", "body": b""}


class KeyOutcomeAck(structs.Struct):
    """The decider has recorded the outcome of this grant."""

    __slots__ = ("grant_id",)


class ReplicateKey(structs.Struct):
    """Request of a home for the replica's consent, or a later state."""

    __slots__ = ("owner", "record")


class ReplicaAnswer(structs.Struct):
    """Whether the replica consents to the run of this grant."""

    __slots__ = ("owner", "key", "grant_id", "consents")


class KeyRecord(structs.Struct):
    """State of one key at a decider."""

    __slots__ = (
        "key",
        "epoch",
        "state",
        "body_digest",
        "grant_id",
        "status",
        "content_type",
        "body",
    )
    DEFAULTS = {"grant_id": "", "status": 0, "content_type": "", "body": b""}


class RecordsHandover(structs.Struct):
    """Sealed records of a stopping node, one part of ``parts``."""

    __slots__ = ("owner", "part", "parts", "records")


class HandoverAck(structs.Struct):
    """The successor has received this part of the owner's records."""

    __slots__ = ("owner", "part")


MEMBERSHIP_MESSAGES = (Ping, Ack, PingRequest, Join, Welcome)
