"""Batches in which a coordinator passes evidence to the other holders.

Each grant and each report concerns all evidence holders of a service, but
only the coordinator that grants needs them at once. The others take over
seconds after it has failed at the earliest, so that they get batches, which
compress well and save most of the bytes between availability zones.
"""

from acaciafield.gateway import effects
from acaciafield.gateway import handlers
from acaciafield.gateway import message_types
from acaciafield.gateway import messages
from acaciafield import structs

BATCH_PERIOD_S = 0.02  # a tenth of the shortest usual service times
MAX_BATCH_ROWS = 100  # about 20 KB before compression
# Of the rows before compression. A datagram has at most 60,000, and callers
# choose the ids of requests, which may be long and hardly compressible.
MAX_BATCH_BYTES = 40_000
MAX_LOGGED_LENGTH = 80  # of an unreadable row
EVIDENCE_CLASSES = (messages.GrantNotice, messages.AttemptReport)


class BatchTimer(structs.Struct):
    """Timer that sends the batches of evidence."""

    __slots__ = ()


class WaitingRow(structs.Struct):
    """A packed message and its size in bytes before compression."""

    __slots__ = ("row", "size")

    def is_notice(self, attempt_id):
        """Return whether it is the GrantNotice of an attempt."""
        if self.row[0] != messages.GrantNotice.KIND:
            return False
        index = messages.GrantNotice.__slots__.index("attempt_id")
        return self.row[1 + index] == attempt_id


class EvidenceBatches:
    """Messages that wait to be sent, as WaitingRow by address."""

    __slots__ = ("rows_by_ip",)

    def __init__(self):
        self.rows_by_ip = {}

    def remove_notice(self, attempt_id):
        """Remove the waiting GrantNotice of an attempt, if there is one."""
        for ip, rows in list(self.rows_by_ip.items()):
            remaining = [r for r in rows if not r.is_notice(attempt_id)]
            if remaining:
                self.rows_by_ip[ip] = remaining
            else:
                del self.rows_by_ip[ip]

    def take(self):
        """Remove and return pairs of an address and an EvidenceBatch."""
        taken, self.rows_by_ip = self.rows_by_ip, {}
        return [
            (ip, messages.EvidenceBatch(batch_rows))
            for ip, rows in taken.items()
            for batch_rows in _split_rows(rows)
        ]


def _split_rows(rows):
    """Yield the rows in lists that fit into one datagram each."""
    batch_rows, batch_bytes = [], 0
    for waiting in rows:
        if batch_rows and (
            len(batch_rows) >= MAX_BATCH_ROWS
            or batch_bytes + waiting.size > MAX_BATCH_BYTES
        ):
            yield batch_rows
            batch_rows, batch_bytes = [], 0
        batch_rows.append(waiting.row)
        batch_bytes += waiting.size
    yield batch_rows


def list_holder_ips(state, service, now, exclude=""):
    """Return the addresses of the other nodes that hold a service's evidence.

    The node ``exclude`` is left out.
    """
    membership = state.membership
    return [
        membership.candidates[name].member.ip
        for name in membership.list_evidence_holders(service, now)
        if name not in (state.local_member.name, exclude)
    ]


def queue_message(state, service, message, now, exclude=""):
    """Pass a message to the other evidence holders with the next batch.

    The node ``exclude`` has the message already.
    """
    row = messages.pack_message(message)
    waiting = WaitingRow(row, len(repr(row).encode(errors="replace")))
    batches = state.evidence_batches
    is_first = not batches.rows_by_ip
    for ip in list_holder_ips(state, service, now, exclude):
        batches.rows_by_ip.setdefault(ip, []).append(waiting)
    if is_first and batches.rows_by_ip:
        due = now + BATCH_PERIOD_S
        state.timers.subscribe("evidence", due, BatchTimer())


@handlers.fire_timer.register
def _fire_batch(timer: BatchTimer, state, now, out):
    out.extend(
        effects.Send(ip, batch) for ip, batch in state.evidence_batches.take()
    )


@handlers.receive_message.register
def _receive_batch(message: messages.EvidenceBatch, state, sender, now, out):
    for row in message.rows:
        evidence = _unpack_evidence(row)
        if evidence is None:
            fields = {"sender": sender, "row": repr(row)[:MAX_LOGGED_LENGTH]}
            out.append(effects.LogDecision("evidence-unreadable", fields))
            continue
        handlers.receive_message(evidence, state, sender, now, out)


def _unpack_evidence(row):
    """Return the GrantNotice or AttemptReport in a row, or None."""
    try:
        message = messages.unpack_message(row)
    except ValueError:
        return None
    if not isinstance(message, EVIDENCE_CLASSES):
        return None
    if message_types.find_mistyped(message) is not None:
        return None
    return message
