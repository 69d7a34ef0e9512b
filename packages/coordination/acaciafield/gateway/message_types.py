"""The types of the fields of messages, checked before a message is applied.

A field of another type in the tables of a node would make its timers fail.
"""

import functools

from acaciafield.gateway import messages

OPTIONAL = type(None)
NUMBER = (int, float)
SEQUENCES = (list, tuple)
TYPES_BY_FIELD = {
    "attempt_id": str,
    "node": str,
    "zone": str,
    "service": str,
    "route": str,
    "idempotent": bool,
    "priority": NUMBER,
    "target": NUMBER,
    "time_left": NUMBER,
    "retry_count": int,
    "is_last_attempt": bool,
    "fingerprint": str,
    "workspace": str,
    "workspace_priority": (*NUMBER, OPTIONAL),
    "worker_id": str,
    "address": str,
    "hedge_after": (*NUMBER, OPTIONAL),
    "granted_by": str,
    "list_age": (*NUMBER, OPTIONAL),
    "reason": str,
    "retry_after": (*NUMBER, OPTIONAL),
    "ending": str,
    "latency": NUMBER,
    "size": int,
    "incarnation": int,
    "leaving": bool,
    "pause": (*NUMBER, OPTIONAL),
    "name": str,
    "ip": str,
    "weight": NUMBER,
    "is_ready": bool,
    "config_version": int,
    "digest": str,
    "is_list_wanted": bool,
    "crash_digest": str,
    "sent_at": (*NUMBER, OPTIONAL),
    "store_age": (*NUMBER, OPTIONAL),
    "is_store_reachable": bool,
    "heartbeat_sent_at": (*NUMBER, OPTIONAL),
    "config_age": (*NUMBER, OPTIONAL),
    "store_era": int,
    "coordinator": str,
    "named_time": (*NUMBER, OPTIONAL),
    "is_hedge": bool,
    "is_relayed": bool,
    "is_superseded": bool,
    "request_id": str,
    "rows": SEQUENCES,
}
MEMBER_ROW = (str, int, str, str, NUMBER, bool)
DEPARTURE_ROW = (str, int, int)
CRASH_ROW = (str, str, str, NUMBER, int, int)
QUOTA_ROW = (str, NUMBER)
# The types of the values of each row of a field, by class and field.
ROWS_BY_FIELD = {
    (messages.HeartbeatAnswer, "members"): MEMBER_ROW,
    (messages.HeartbeatAnswer, "departures"): DEPARTURE_ROW,
    (messages.DepartureNotice, "rows"): DEPARTURE_ROW,
    (messages.Heartbeat, "crashes"): CRASH_ROW,
    (messages.HeartbeatAnswer, "crashes"): CRASH_ROW,
    (messages.CrashRecords, "rows"): CRASH_ROW,
    (messages.QuotaRequest, "rows"): QUOTA_ROW,
    (messages.QuotaTransfer, "rows"): QUOTA_ROW,
}
# Fields that are a list of values, or None: the type of each value, and how
# many there are, None for any number.
LISTS_BY_FIELD = {
    "avoided_workers": (str, None),
    "entry_version": (int, 2),
    "load": (NUMBER, 3),
}


def find_mistyped(message):
    """Return the name of a field of another type than expected, or None."""
    for name, check in _list_checks(type(message)):
        if not check(getattr(message, name)):
            return name
    return None


@functools.cache
def _list_checks(message_class):
    """Return the fields of a class with the function that checks each."""
    checks = []
    for name in message_class.__slots__:
        row = ROWS_BY_FIELD.get((message_class, name))
        if row is not None:
            check = functools.partial(_is_table, row=row)
        elif name in LISTS_BY_FIELD:
            value_type, count = LISTS_BY_FIELD[name]
            check = functools.partial(
                _is_list, value_type=value_type, count=count
            )
        elif name in TYPES_BY_FIELD:
            check = functools.partial(is_type, expected=TYPES_BY_FIELD[name])
        else:
            continue
        checks.append((name, check))
    return checks


def is_type(value, expected):
    """Return whether a value is of a type; True is no number.

    >>> is_type(True, (int, float)), is_type(1, (int, float))
    (False, True)
    """
    if type(value) is bool:
        return expected is bool
    return isinstance(value, expected)


def _is_table(value, row):
    if value is None:
        return True
    return isinstance(value, SEQUENCES) and all(
        isinstance(found, SEQUENCES)
        and len(found) == len(row)
        and all(map(is_type, found, row))
        for found in value
    )


def _is_list(value, value_type, count):
    if value is None:
        return True
    return (
        isinstance(value, SEQUENCES)
        and (count is None or len(value) == count)
        and all(is_type(found, value_type) for found in value)
    )
