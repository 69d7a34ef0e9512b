"""Messages between the nodes of a gateway.

Times are in seconds. Each class has a ``KIND`` that identifies it in a
datagram; fields are sent in the order of ``__slots__``.
"""

from acaciafield import structs


class GrantRequest(structs.Struct):
    """A request of a node to a coordinator for the grant of a worker.

    ``retry_count`` counts the previous attempts of the request;
    ``is_last_attempt`` is set if a failure of this attempt is final;
    ``target`` is the latency objective and ``time_left`` the time until
    the deadline, in seconds; ``avoided_workers`` lists worker identifiers.
    ``workspace`` is the name of the caller's workspace, "" without one, and
    ``workspace_priority`` its priority, None without one. ``is_hedge`` is set
    if an earlier attempt has not ended yet.
    """

    KIND = 1
    __slots__ = (
        "attempt_id",
        "node",
        "zone",
        "service",
        "route",
        "idempotent",
        "priority",
        "target",
        "time_left",
        "retry_count",
        "is_last_attempt",
        "avoided_workers",
        "fingerprint",
        "workspace",
        "workspace_priority",
        "is_hedge",
    )
    DEFAULTS = {
        "workspace": "",
        "workspace_priority": None,
        "is_hedge": False,
    }


class Grant(structs.Struct):
    """A coordinator's grant of a worker for one attempt.

    ``hedge_after`` is the time after which a second attempt is worth its
    cost, None for never; ``granted_by`` is the coordinator's name.
    ``entry_version`` is the version [incarnation, sequence] of the worker's
    entry at the coordinator, whose list is ``list_age`` seconds old;
    ``fingerprint`` is of the request.
    """

    KIND = 2
    __slots__ = (
        "attempt_id",
        "worker_id",
        "address",
        "hedge_after",
        "granted_by",
        "entry_version",
        "list_age",
        "fingerprint",
    )
    DEFAULTS = {
        "granted_by": "",
        "entry_version": (0, 0),
        "list_age": None,
        "fingerprint": "",
    }


class GrantQueued(structs.Struct):
    """The request for a grant waits in the coordinator's queue."""

    KIND = 3
    __slots__ = ("attempt_id",)


class GrantRefusal(structs.Struct):
    """The request gets no grant; ``retry_after`` is in seconds."""

    KIND = 4
    __slots__ = ("attempt_id", "reason", "retry_after")


class GrantWithdrawal(structs.Struct):
    """The node no longer needs a grant that it requested."""

    KIND = 5
    __slots__ = ("service", "attempt_id")


class AttemptReport(structs.Struct):
    """The result of an attempt at a worker.

    ``ending`` is an outcomes.Ending value; ``size`` the bytes of the request
    and the answer; ``load`` the worker's [running, waiting, slots] or None.
    ``incarnation`` is that of the worker's entry as granted; the worker may
    announce that it is ``leaving`` or request a ``pause``, in seconds,
    from ``node``. With ``is_relayed``, the receiver passes the report on to
    the other evidence holders. ``is_superseded`` is set if the attempt was
    cancelled because another one of the request was answered first.
    """

    KIND = 6
    __slots__ = (
        "service",
        "attempt_id",
        "node",
        "worker_id",
        "route",
        "ending",
        "latency",
        "size",
        "load",
        "fingerprint",
        "incarnation",
        "leaving",
        "pause",
        "is_relayed",
        "is_superseded",
    )
    DEFAULTS = {
        "incarnation": 0,
        "leaving": False,
        "pause": None,
        "is_relayed": False,
        "is_superseded": False,
    }


class GrantNotice(structs.Struct):
    """A coordinator's notice of a grant to the other coordinators.

    ``workspace`` and ``is_hedge`` are those of the GrantRequest.
    """

    KIND = 7
    __slots__ = (
        "service",
        "attempt_id",
        "node",
        "worker_id",
        "route",
        "time_left",
        "retry_count",
        "fingerprint",
        "workspace",
        "is_hedge",
    )
    DEFAULTS = {"workspace": "", "is_hedge": False}


class Heartbeat(structs.Struct):
    """A node's heartbeat to a coordinator.

    ``incarnation`` is the Unix millisecond of the node's start;
    ``weight`` ranks it as a coordinator. With ``is_list_wanted`` the answer
    has the members if ``digest`` differs from the coordinator's.
    ``crash_digest`` is of the node's crashes.CrashLedger; ``crashes`` has
    its rows if the coordinator's digest differed in its last answer.
    ``sent_at`` is the time of the sender's CLOCK_BOOTTIME in seconds, which
    the answer returns; it means nothing to any other node.
    ``coordinator`` names the coordinator of the sender's zone, "" where no
    workspace has a quota. For ``named_time`` in seconds, None in an older
    build, no other coordinator of the zone may have counted the sender by
    a heartbeat, except for the time of quotas.LEASE_S after it.
    """

    KIND = 8
    __slots__ = (
        "name",
        "incarnation",
        "ip",
        "zone",
        "weight",
        "is_ready",
        "leaving",
        "config_version",
        "digest",
        "is_list_wanted",
        "crash_digest",
        "crashes",
        "sent_at",
        "coordinator",
        "named_time",
    )
    DEFAULTS = {
        "crash_digest": "",
        "crashes": (),
        "sent_at": None,
        "coordinator": "",
        "named_time": None,
    }


class HeartbeatAnswer(structs.Struct):
    """A coordinator's answer to a heartbeat.

    ``store_age`` is the time since the platform's store last answered it,
    None while it has no list of workers; ``is_store_reachable`` whether its
    last read succeeded. ``members`` is None where the digests agree, else
    rows as of members.Member; ``departures`` has rows of the workers that
    left recently: worker id, incarnation, sequence.
    ``crash_digest`` and ``crashes`` are as in a Heartbeat, with rows where
    the digests differ. ``heartbeat_sent_at`` is the ``sent_at`` of the
    heartbeat, None in a message that answers none; ``config_age`` is the
    time in seconds since the coordinator's ``config_version`` was known to
    be in force, or None. ``store_era`` is the highest era that the store
    reported, 0 if unknown.
    """

    KIND = 9
    __slots__ = (
        "name",
        "incarnation",
        "config_version",
        "store_age",
        "is_store_reachable",
        "leaving",
        "digest",
        "members",
        "departures",
        "crash_digest",
        "crashes",
        "heartbeat_sent_at",
        "config_age",
        "store_era",
    )
    DEFAULTS = {
        "departures": (),
        "crash_digest": "",
        "crashes": (),
        "heartbeat_sent_at": None,
        "config_age": None,
        "store_era": 0,
    }


class ConfigNotice(structs.Struct):
    """A coordinator's notice of its version of the configuration."""

    KIND = 10
    __slots__ = ("name", "config_version")


class DepartureNotice(structs.Struct):
    """Workers that left, as rows of worker id, incarnation, sequence."""

    KIND = 11
    __slots__ = ("rows",)


class CrashRecords(structs.Struct):
    """Crash records, as rows of crashes.CrashLedger."""

    KIND = 12
    __slots__ = ("rows",)


class QuotaRequest(structs.Struct):
    """A coordinator's request for quota tokens of another coordinator.

    ``rows`` has the name of a workspace and a number of tokens each;
    ``request_id`` identifies the request at the coordinator ``node``.
    """

    KIND = 13
    __slots__ = ("node", "request_id", "rows")


class QuotaTransfer(structs.Struct):
    """Quota tokens that ``node`` took out of its buckets for a request.

    ``rows`` has the name of a workspace and a number of tokens each.
    """

    KIND = 14
    __slots__ = ("node", "request_id", "rows")


class EvidenceBatch(structs.Struct):
    """Grant notices and reports of a coordinator, as packed rows."""

    KIND = 15
    __slots__ = ("rows",)


CLASS_BY_KIND = {
    message_class.KIND: message_class
    for message_class in (
        GrantRequest,
        Grant,
        GrantQueued,
        GrantRefusal,
        GrantWithdrawal,
        AttemptReport,
        GrantNotice,
        Heartbeat,
        HeartbeatAnswer,
        ConfigNotice,
        DepartureNotice,
        CrashRecords,
        QuotaRequest,
        QuotaTransfer,
        EvidenceBatch,
    )
}


def pack_message(message):
    """Return a message as a list of plain values for the codec."""
    fields = [getattr(message, name) for name in message.__slots__]
    return [message.KIND, *fields]


def unpack_message(row):
    """Return the message of a list; raise ValueError if it is invalid.

    >>> unpack_message(pack_message(GrantQueued("a1")))
    GrantQueued(attempt_id='a1')
    """
    if not isinstance(row, list) or not row:
        raise ValueError("not a message")
    message_class = CLASS_BY_KIND.get(row[0])
    if message_class is None:
        raise ValueError("unknown message")
    try:
        # A node of an older build omits the fields that have a default.
        return message_class(*row[1:])
    except TypeError as error:
        raise ValueError("unknown message") from error
