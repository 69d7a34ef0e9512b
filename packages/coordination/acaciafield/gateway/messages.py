"""Messages between the nodes of a gateway.

Times are in seconds. Each class has a ``KIND`` that names it in a
datagram; fields are sent in the order of ``__slots__``.
"""

from acaciafield import structs


class Ask(structs.Struct):
    """An entry asks a coordinator for a worker.

    ``repeats`` counts the workers this request went to before;
    ``last`` tells that a failure of this attempt is final; ``target``
    and ``left`` are the latency objective and what is left of the
    deadline; ``avoid`` lists worker identifiers.
    """

    KIND = 1
    __slots__ = (
        "ask_id",
        "node",
        "zone",
        "service",
        "route",
        "idempotent",
        "priority",
        "target",
        "left",
        "repeats",
        "last",
        "avoid",
        "fingerprint",
    )


class Grant(structs.Struct):
    """A coordinator gives a worker to an ask.

    ``hedge_after`` is the latency after which a second attempt is
    likely to finish first; ``granter`` the coordinator's name. ``age``
    is the [born, sequence] of the worker's entry that it knows, from a
    list that is ``list_age`` seconds old; ``fingerprint`` is the ask's.
    """

    KIND = 2
    __slots__ = (
        "ask_id",
        "worker_id",
        "address",
        "hedge_after",
        "granter",
        "age",
        "list_age",
        "fingerprint",
    )
    DEFAULTS = {
        "granter": "",
        "age": (0, 0),
        "list_age": None,
        "fingerprint": "",
    }


class Queued(structs.Struct):
    """An ask waits for a worker."""

    KIND = 3
    __slots__ = ("ask_id",)


class Refusal(structs.Struct):
    """An ask gets no worker; ``retry_after`` is in seconds."""

    KIND = 4
    __slots__ = ("ask_id", "reason", "retry_after")


class Withdrawal(structs.Struct):
    """An ask is of no use any longer."""

    KIND = 5
    __slots__ = ("service", "ask_id")


class Report(structs.Struct):
    """How an attempt at a worker ended.

    ``ending`` is an outcomes.Ending value; ``size`` the bytes of the
    answer; ``load`` the worker's [running, waiting, slots] or None.
    ``born`` is of the worker's entry as granted; the worker said that it
    is ``leaving``, or wants a ``pause`` of seconds from that node.
    """

    KIND = 6
    __slots__ = (
        "service",
        "ask_id",
        "node",
        "worker_id",
        "route",
        "ending",
        "latency",
        "size",
        "load",
        "fingerprint",
        "born",
        "leaving",
        "pause",
    )
    DEFAULTS = {"born": 0, "leaving": False, "pause": None}


class Granted(structs.Struct):
    """A coordinator tells the others what it has granted."""

    KIND = 7
    __slots__ = (
        "service",
        "ask_id",
        "node",
        "worker_id",
        "route",
        "left",
        "repeats",
        "fingerprint",
    )


class Heartbeat(structs.Struct):
    """A node's heartbeat to a coordinator.

    ``born`` is the Unix millisecond of its start; ``weight`` ranks it
    as a coordinator; ``wants_list`` asks for the members when ``digest``
    is not that of the coordinator. ``crash_digest`` is of the node's
    crashes.Ledger; ``crashes`` has its rows where the coordinator seems
    to lack some.
    """

    KIND = 8
    __slots__ = (
        "name",
        "born",
        "ip",
        "zone",
        "weight",
        "ready",
        "leaving",
        "config_version",
        "digest",
        "is_list_wanted",
        "crash_digest",
        "crashes",
    )
    DEFAULTS = {"crash_digest": "", "crashes": ()}


class HeartbeatAnswer(structs.Struct):
    """A coordinator's answer to a heartbeat.

    ``store_age`` is the time since it last heard the platform's store,
    None while it knows no workers; ``hears_store`` whether its last
    reading succeeded;
    ``members`` is None where the digests agree, else rows of name, born,
    ip, zone, weight, ready; ``departed`` rows of the workers that left
    lately: worker id, born, sequence. ``crash_digest`` and ``crashes`` are
    as in a Beat, the rows where the digests differ.
    """

    KIND = 9
    __slots__ = (
        "name",
        "born",
        "config_version",
        "store_age",
        "is_store_reachable",
        "leaving",
        "digest",
        "members",
        "departed",
        "crash_digest",
        "crashes",
    )
    DEFAULTS = {"departed": (), "crash_digest": "", "crashes": ()}


class ConfigNotice(structs.Struct):
    """A coordinator holds this version of the configuration."""

    KIND = 10
    __slots__ = ("name", "config_version")


class DepartureNotice(structs.Struct):
    """Workers that left: rows of worker id, born, sequence."""

    KIND = 11
    __slots__ = ("rows",)


class CrashRecords(structs.Struct):
    """Requests that crash workers, as rows of crashes.Ledger."""

    KIND = 12
    __slots__ = ("rows",)


CLASS_BY_KIND = {
    message.KIND: message
    for message in (
        Ask,
        Grant,
        Queued,
        Refusal,
        Withdrawal,
        Report,
        Granted,
        Heartbeat,
        HeartbeatAnswer,
        ConfigNotice,
        DepartureNotice,
        CrashRecords,
    )
}


def pack_message(message):
    """Return a message as a list that a codec can carry."""
    fields = [getattr(message, name) for name in message.__slots__]
    return [message.KIND, *fields]


def unpack_message(row):
    """Return the message of a list; raise ValueError if it is none.

    >>> unpack_message(pack_message(Queued("a1")))
    Queued(ask_id='a1')
    """
    if not isinstance(row, list) or not row:
        raise ValueError("not a message")
    kind = CLASS_BY_KIND.get(row[0])
    if kind is None or len(row) != len(kind.__slots__) + 1:
        raise ValueError("unknown message")
    return kind(*row[1:])
