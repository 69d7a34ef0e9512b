"""Exchange of crash records between nodes, and their persistence.

Every node holds crash records in memory. One coordinator also persists
them in the platform's store, as all nodes may restart at the same time.
"""

from acaciafield.gateway import effects
from acaciafield.gateway import events
from acaciafield.gateway import handlers
from acaciafield.gateway import messages

PERSIST_RETRY_S = 4.0  # after the store failed to persist the records


def merge_crashes(rows, source, state, now, out):
    """Merge the crash records of another node or of the store."""
    quarantined = state.crashes.merge(rows, now) if rows else ()
    for fingerprint in quarantined:
        fields = {"fingerprint": fingerprint, "told_by": source}
        fields.update(state.crashes.describe_crashes(fingerprint, now))
        out.append(effects.LogDecision("crash-told", fields))


def persist_crashes(state, now, out):
    """Persist the crash records whenever the quarantined requests change.

    A node that persisted some writes them again to a restored store, also
    if another node persists them now and if none is quarantined any more.
    """
    if now < state.next_persist_at:
        return
    quarantined = _list_quarantined_counts(state, now)
    if not state.is_crash_rewrite_due:
        if not _is_persisting_node(state, now):
            return
        if not quarantined or quarantined == state.persisted_counts:
            return
    state.is_crash_rewrite_due = False
    state.persisted_counts = quarantined
    state.has_written_crashes = True
    out.append(effects.PersistCrashes(state.crashes.list_rows(now)))
    out.append(effects.LogDecision("crashes-kept", {"held": quarantined}))


def request_rewrite(state):
    """Persist the crash records again, as the store was restored."""
    state.persisted_counts = []
    state.is_crash_rewrite_due = state.has_written_crashes


def _list_quarantined_counts(state, now):
    """Return each quarantined fingerprint with its crash count."""
    return [
        (
            fingerprint,
            state.crashes.describe_crashes(fingerprint, now)["crashes"],
        )
        for fingerprint in sorted(state.crashes.list_quarantined(now))
    ]


def _is_persisting_node(state, now):
    """Return whether this node coordinates the first zone by name."""
    if not state.is_coordinating:
        return False
    zone = min(state.membership.list_zones())
    candidate = state.membership.find_coordinator(zone, now)
    return (
        candidate is not None
        and candidate.member.name == state.local_member.name
    )


def notify_coordinator(grant, state, sender, now, out):
    """Notify the granting coordinator that the request is quarantined."""
    fields = {
        "ask": grant.attempt_id,
        "granter": grant.granted_by,
        "fingerprint": grant.fingerprint,
    }
    fields.update(state.crashes.describe_crashes(grant.fingerprint, now))
    out.append(effects.LogDecision("grant-unused", fields))
    if sender and sender != state.local_member.ip:
        rows = state.crashes.list_rows(now)
        out.append(effects.Send(sender, messages.CrashRecords(rows)))


@handlers.receive_message.register
def _receive_crashes(message: messages.CrashRecords, state, sender, now, out):
    merge_crashes(message.rows, sender, state, now, out)


@handlers.apply_event.register
def _apply_stored_crashes(event: events.CrashRowsRead, state, now, out):
    aged = [
        [
            fingerprint,
            worker_id,
            attempt_id,
            age + event.age,
            is_alone,
            refuted,
        ]
        for (
            fingerprint,
            worker_id,
            attempt_id,
            age,
            is_alone,
            refuted,
        ) in event.rows
    ]
    merge_crashes(aged, "store", state, now, out)
    state.persisted_counts = _list_quarantined_counts(state, now)


@handlers.apply_event.register
def _apply_crash_write_failure(
    event: events.CrashWriteFailed, state, now, out
):
    request_rewrite(state)
    state.next_persist_at = now + PERSIST_RETRY_S
