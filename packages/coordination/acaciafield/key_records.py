"""Key records: the state from which a node decides about keys.

The home of a key lets the request run only if the replica consents.
Either of the two can therefore decide without the other that a request
never ran, and ensure that it never runs. The states follow "Idempotency
Key Patterns for Asynchronous Event-Driven Architectures". Its expiry of
the in-progress lock is not implemented, since it runs work a second time
after a process pause.
"""

import enum

from acaciafield import keys
from acaciafield import messages
from acaciafield import outcomes
from acaciafield import structs

REPLICA_TIMEOUT_S = 0.25
MAX_KEY_RECORDS = 60000  # of one node, as home and as replica
SWEEP_PERIOD_S = 30.0
MAX_STORED_BODY_BYTES = 4096  # of the largest stored response body


class KeyState(enum.Enum):
    """State of the run of a key.

    PENDING: the home waits for the replica. STARTED: a run is allowed, its
    outcome not reported yet. RELEASED: it did not run, and another run may
    be allowed. REFUSED: no run is ever allowed. FINISHED: it ran. UNKNOWN:
    whether it ran is not known.
    """

    PENDING = "pending"
    STARTED = "started"
    RELEASED = "released"
    REFUSED = "refused"
    FINISHED = "finished"
    UNKNOWN = "unknown"


class Verdict(enum.Enum):
    """Answer of a decider about a key."""

    RUN = "run"
    RAN = "ran"
    NOT_RUN = "not-run"
    EXPIRED = "expired"
    IN_PROGRESS = "in-progress"
    UNKNOWN = "unknown"
    MISMATCH = "mismatch"
    FULL = "full"
    SEALED = "sealed"


_VERDICTS_BY_STATE = {
    KeyState.REFUSED: Verdict.EXPIRED,
    KeyState.FINISHED: Verdict.RAN,
    KeyState.UNKNOWN: Verdict.UNKNOWN,
    KeyState.PENDING: Verdict.IN_PROGRESS,
    KeyState.STARTED: Verdict.IN_PROGRESS,
}


_NOT_RUN_STATES = (KeyState.REFUSED.value, KeyState.RELEASED.value)


class ReplicaTimer(structs.Struct):
    """The replica did not answer in time."""

    __slots__ = ("key", "grant_id")


class SweepTimer(structs.Struct):
    """The records of expired epochs must be removed."""

    __slots__ = ()


class KeyTable:
    """Key records from which one node decides.

    ``is_local`` is whether this node is the owner. A table adopted from
    another node is ``sealed`` at once: it still answers, but starts no
    new runs. ``recipients`` are the nodes that wait for a verdict, by key.
    """

    __slots__ = ("owner", "is_local", "sealed", "records", "recipients")

    def __init__(self, owner, is_local):
        self.owner = owner
        self.is_local = is_local
        self.sealed = not is_local
        self.records = {}
        self.recipients = {}


class VerdictRecipient:
    """The node that receives the verdict on a pending key."""

    __slots__ = ("node_id", "bind_id")

    def __init__(self, node_id, bind_id):
        self.node_id = node_id
        self.bind_id = bind_id


def start_key_sweeps(state, now):
    """Schedule the first removal of expired records."""
    due = now + SWEEP_PERIOD_S
    state.timers.subscribe("key-sweep", due, SweepTimer())


def fire_sweep(timer, state, now, out):
    """Remove the records of epochs that have expired."""
    state.timers.subscribe("key-sweep", now + SWEEP_PERIOD_S, timer)
    for table in list(state.key_tables.values()):
        expired = [
            key
            for key, record in table.records.items()
            if not keys.is_epoch_retained(record.epoch, now)
        ]
        for key in expired:
            del table.records[key]
        if not table.is_local and not table.records and expired:
            del state.key_tables[table.owner]


def receive_bind(message, state, sender, now, out):
    """Decide whether the request with this key may run."""
    table = state.key_tables.get(message.owner)
    if table is None:
        _send_verdict(state, sender, message, Verdict.SEALED, None, out)
        return
    record = table.records.get(message.key)
    if record is not None and record.body_digest != message.body_digest:
        if record.state not in _NOT_RUN_STATES:
            _send_verdict(state, sender, message, Verdict.MISMATCH, None, out)
            return
    known_state = KeyState(record.state) if record is not None else None
    if known_state in _VERDICTS_BY_STATE:
        verdict = _VERDICTS_BY_STATE[known_state]
        if message.refuse and known_state is KeyState.PENDING:
            _settle_pending(state, table, record, KeyState.REFUSED, out)
            verdict = Verdict.EXPIRED
        elif known_state is KeyState.STARTED and _may_give_up_outcome(
            state, message, record
        ):
            verdict = Verdict.UNKNOWN
        _send_verdict(state, sender, message, verdict, record, out)
        return
    _decide_new_key(state, table, message, sender, now, out)


def fire_replica(timer, state, now, out):
    """Release a pending run if its replica did not answer in time."""
    table = state.key_tables[state.node_id]
    record = table.records.get(timer.key)
    if record is None or record.grant_id != timer.grant_id:
        return
    if record.state == KeyState.PENDING.value:
        _settle_pending(state, table, record, KeyState.RELEASED, out)


def receive_replicate(message, state, sender, now, out):
    """Handle a run that the home proposes; consent if it is allowed.

    Later states of a record that this replica consented to replace it.
    """
    table = state.key_tables.get(message.owner)
    record = message.record
    if record.state != KeyState.STARTED.value:
        known_record = table and table.records.get(record.key)
        if known_record and known_record.grant_id == record.grant_id:
            table.records[record.key] = record
        return
    is_consenting = (
        table is not None
        and not table.sealed
        and keys.is_epoch_open(record.epoch, now)
        and _count_key_records(state) < MAX_KEY_RECORDS
        and _may_consent(table.records.get(record.key))
    )
    if is_consenting:
        table.records[record.key] = record
    answer = messages.ReplicaAnswer(
        message.owner, record.key, record.grant_id, is_consenting
    )
    state.send(sender, answer, out)


def receive_replica_answer(message, state, sender, now, out):
    """Start the pending run, as its home, if the replica consents."""
    table = state.key_tables[state.node_id]
    record = table.records.get(message.key)
    if record is None or record.grant_id != message.grant_id:
        return
    if record.state != KeyState.PENDING.value:
        return
    if message.consents and not table.sealed:
        _settle_pending(state, table, record, KeyState.STARTED, out)
    else:
        _settle_pending(state, table, record, KeyState.REFUSED, out)


def receive_outcome(message, state, sender, now, out):
    """Record the outcome of a run and forward it to the replica."""
    table = state.key_tables.get(message.owner)
    if table is None:
        return
    state.send(sender, messages.KeyOutcomeAck(message.grant_id), out)
    record = table.records.get(message.key)
    if record is None or record.grant_id != message.grant_id:
        return
    if record.state != KeyState.STARTED.value:
        return
    outcome = outcomes.Outcome(message.outcome)
    if outcome is outcomes.Outcome.RAN:
        record.state = KeyState.FINISHED.value
        record.status = message.status
        record.content_type = message.content_type
        record.body = message.body[:MAX_STORED_BODY_BYTES]
    elif outcome is outcomes.Outcome.NOT_RUN:
        record.state = KeyState.RELEASED.value
    else:
        record.state = KeyState.UNKNOWN.value
    replica = state.replicas_by_grant.pop(message.grant_id, None)
    if replica is not None and state.members.is_alive(replica):
        update = messages.ReplicateKey(replica, record)
        state.send(replica, update, out)


def seal_tables(state, out):
    """Refuse new runs of all keys that this node decides about."""
    for table in state.key_tables.values():
        table.sealed = True
        for key in list(table.recipients):
            record = table.records[key]
            _settle_pending(state, table, record, KeyState.REFUSED, out)


def _decide_new_key(state, table, message, sender, now, out):
    verdict = _find_refusal(state, table, message, now)
    if verdict is not None:
        _send_verdict(state, sender, message, verdict, None, out)
        return
    if message.refuse:
        record = _make_key_record(message, KeyState.REFUSED, "")
        table.records[message.key] = record
        _send_verdict(state, sender, message, Verdict.EXPIRED, record, out)
        return
    state.grant_count += 1
    grant_id = "%s/%d/%s" % (state.node_id, state.grant_count, sender)
    record = _make_key_record(message, KeyState.PENDING, grant_id)
    table.records[message.key] = record
    table.recipients[message.key] = VerdictRecipient(sender, message.bind_id)
    if message.replica == keys.NO_REPLICA:
        _settle_pending(state, table, record, KeyState.STARTED, out)
        return
    if not state.members.is_alive(message.replica):
        _settle_pending(state, table, record, KeyState.REFUSED, out)
        return
    state.replicas_by_grant[grant_id] = message.replica
    proposed = _make_key_record(message, KeyState.STARTED, grant_id)
    replicate = messages.ReplicateKey(message.replica, proposed)
    state.send(message.replica, replicate, out)
    state.timers.subscribe(
        ("replica", grant_id),
        now + REPLICA_TIMEOUT_S,
        ReplicaTimer(message.key, grant_id),
    )


def _find_refusal(state, table, message, now):
    if not keys.is_epoch_retained(message.epoch, now):
        return Verdict.UNKNOWN
    if table.sealed or not keys.is_epoch_open(message.epoch, now):
        return Verdict.EXPIRED
    if _count_key_records(state) >= MAX_KEY_RECORDS:
        return Verdict.FULL
    return None


def _may_give_up_outcome(state, message, record):
    """Return whether to stop waiting for the outcome of a started run.

    That is so if the request is abandoned, or if the run's entry node,
    which would report the outcome, is dead.
    """
    entry_node = record.grant_id.rpartition("/")[2]
    return message.refuse or not state.members.is_alive(entry_node)


def _settle_pending(state, table, record, new_state, out):
    record.state = new_state.value
    state.timers.cancel(("replica", record.grant_id))
    recipient = table.recipients.pop(record.key, None)
    if new_state is not KeyState.STARTED:
        state.replicas_by_grant.pop(record.grant_id, None)
    if recipient is None:
        return
    verdict = {
        KeyState.STARTED: Verdict.RUN,
        KeyState.RELEASED: Verdict.NOT_RUN,
        KeyState.REFUSED: Verdict.EXPIRED,
    }[new_state]
    bind = messages.BindKey(
        recipient.bind_id, table.owner, "", 0, record.key, ""
    )
    _send_verdict(state, recipient.node_id, bind, verdict, record, out)


def _send_verdict(state, node_id, bind, verdict, record, out):
    answer = messages.KeyVerdict(bind.bind_id, bind.key, verdict.value)
    if verdict is Verdict.RUN:
        answer.grant_id = record.grant_id
    if verdict is Verdict.RAN:
        answer.status = record.status
        answer.content_type = record.content_type
        answer.body = record.body
    state.send(node_id, answer, out)


def _make_key_record(message, key_state, grant_id):
    return messages.KeyRecord(
        message.key,
        message.epoch,
        key_state.value,
        message.body_digest,
        grant_id,
    )


def _may_consent(record):
    if record is None:
        return True
    return record.state in (KeyState.STARTED.value, KeyState.RELEASED.value)


def _count_key_records(state):
    return sum(len(t.records) for t in state.key_tables.values())
