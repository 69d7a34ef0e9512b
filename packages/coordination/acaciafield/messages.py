"""Messages between nodes.

Fields are strings, numbers, booleans, bytes, or lists of strings or of
further messages, so that one codec serves them all.
"""

from acaciafield import structs


class MemberUpdate(structs.Struct):
    """What is said of a member; a higher ``version`` replaces a lower.

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
    """A probe, with news of members and of the configuration."""

    __slots__ = ("sequence", "updates", "offset", "digest")


class Ack(structs.Struct):
    """The answer to a probe; ``node_id`` is the one found alive."""

    __slots__ = ("sequence", "node_id", "updates", "offset", "digest")


class PingRequest(structs.Struct):
    """Asks the receiver to probe ``node_id`` for the sender."""

    __slots__ = ("sequence", "node_id", "updates")


class Join(structs.Struct):
    """A new node introduces itself and asks for the members."""

    __slots__ = ("updates",)


class Welcome(structs.Struct):
    """Part of the member list, for a new node."""

    __slots__ = ("updates", "offset", "digest")


class ConfigFetch(structs.Struct):
    """Asks for the configuration if it is newer than ``offset``."""

    __slots__ = ("offset",)


class ConfigState(structs.Struct):
    """A whole folded configuration as a snapshot in JSON."""

    __slots__ = ("offset", "snapshot")


class ClaimsFetch(structs.Struct):
    """Asks for the claims if they are known beyond ``offset``."""

    __slots__ = ("offset",)


class ClaimsState(structs.Struct):
    """All claims known to a node as a snapshot in JSON."""

    __slots__ = ("offset", "snapshot")


class HostsNotice(structs.Struct):
    """A service's host list, for the nodes that would keep it next."""

    __slots__ = ("service", "hosts")


class HostEntry(structs.Struct):
    """One host of the platform's list.

    ``address`` is ``ip:port``; ``state`` is ``live`` or ``leaving``;
    ``started`` the start time in seconds, or 0.0 where not known.
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
    """Asks a service's keeper for a slot of a worker.

    ``deadline`` and ``target`` are seconds from now; ``avoid`` lists
    workers already tried; ``retry`` spends the retry budget.
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
    """Grants a slot of a worker, to be used at once.

    ``fresh`` asks for a new connection; ``hedge_after`` is the seconds
    after which a second attempt is worth its cost, 0.0 for never.
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
    """The keeper has the request in its queue."""

    __slots__ = ("service", "permit_id")


class PermitHead(structs.Struct):
    """The answer's head arrived ``latency`` seconds after the grant."""

    __slots__ = ("service", "permit_id", "latency", "status", "reused")


class PermitDone(structs.Struct):
    """The slot is free again, with what was seen of the attempt."""

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
    """Tells a new keeper of a permit that the former keeper granted."""

    __slots__ = (
        "service",
        "permit_id",
        "worker_id",
        "class_name",
        "age",
        "fingerprint",
    )


class DropPath(structs.Struct):
    """Open connections to this worker have gone silent."""

    __slots__ = ("worker_id",)


class CrashNotice(structs.Struct):
    """Shares what is known of a fingerprint that crashes workers."""

    __slots__ = ("service", "fingerprint", "crashes", "quarantined")


class BindKey(structs.Struct):
    """Asks a decider whether the request with this key may run.

    With ``refuse`` set the request is given up: the decider makes sure
    that it never runs, if it has not been let run already.
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
    """A decider's answer; ``verdict`` is a Verdict value."""

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
    """Reports how the run allowed by ``grant_id`` ended."""

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
    """The decider has the outcome of this grant."""

    __slots__ = ("grant_id",)


class ReplicateKey(structs.Struct):
    """The home asks its replica to consent to a run, or tells its end."""

    __slots__ = ("owner", "record")


class ReplicaAnswer(structs.Struct):
    """Whether the replica consents to the run of this grant."""

    __slots__ = ("owner", "key", "grant_id", "consents")


class KeyRecord(structs.Struct):
    """What a decider remembers of one key."""

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
    """Sealed records of a node that stops, one part of ``parts``."""

    __slots__ = ("owner", "part", "parts", "records")


class HandoverAck(structs.Struct):
    """The successor holds this part of the owner's records."""

    __slots__ = ("owner", "part")


MEMBERSHIP = (Ping, Ack, PingRequest, Join, Welcome)
