"""Batches in which a coordinator passes evidence to the other holders.

Each grant and each report concerns all evidence holders of a service, but
only the coordinator that grants needs them at once. The others take over
seconds after it has failed at the earliest, so that they get batches, which
compress well and save most of the bytes between availability zones.
"""

from acaciafield.gateway import effects
from acaciafield.gateway import handlers
from acaciafield.gateway import messages
from acaciafield import structs

BATCH_PERIOD_S = 0.02  # a tenth of the shortest usual service times
MAX_BATCH_ROWS = 100  # about 20 KB before compression


class BatchTimer(structs.Struct):
    """Timer that sends the batches of evidence."""

    __slots__ = ()


class EvidenceBatches:
    """Messages that wait to be sent, as packed rows by address."""

    __slots__ = ("rows_by_ip",)

    def __init__(self):
        self.rows_by_ip = {}

    def take(self):
        """Remove and return pairs of an address and an EvidenceBatch."""
        taken, self.rows_by_ip = self.rows_by_ip, {}
        return [
            (ip, messages.EvidenceBatch(rows[start : start + MAX_BATCH_ROWS]))
            for ip, rows in taken.items()
            for start in range(0, len(rows), MAX_BATCH_ROWS)
        ]


def queue_message(state, service, message, now, exclude=""):
    """Pass a message to the other evidence holders with the next batch.

    The node ``exclude`` has the message already.
    """
    row = messages.pack_message(message)
    batches = state.evidence_batches
    is_first = not batches.rows_by_ip
    for name in state.membership.list_evidence_holders(service, now):
        if name not in (state.local_member.name, exclude):
            ip = state.membership.candidates[name].member.ip
            batches.rows_by_ip.setdefault(ip, []).append(row)
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
        evidence = messages.unpack_message(row)
        handlers.receive_message(evidence, state, sender, now, out)
