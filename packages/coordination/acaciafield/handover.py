"""Planned stop of a node.

The node announces that it leaves, hands its key records over to a
successor, drains its in-flight requests and exits.
"""

import enum

from acaciafield import effects
from acaciafield import key_records
from acaciafield import membership
from acaciafield import messages
from acaciafield import placement
from acaciafield import structs

ANSWER_VALIDITY_S = 30.0  # callers cache an address answer this long
RESEND_PERIOD_S = 0.5
MAX_PART_RECORDS = 200  # in one message
DRAIN_CHECK_PERIOD_S = 0.2


class Phase(enum.Enum):
    """Phase of a planned stop."""

    SERVING = "serving"
    LEAVING = "leaving"
    HANDING_OVER = "handing-over"
    DRAINING = "draining"
    GONE = "gone"


class PlannedStop:
    """State of a planned stop.

    ``unacked_parts`` maps (owner, part number) to the RecordsHandover that
    the successor has not acknowledged. ``validity`` is the time in seconds
    for which callers may cache an address answer.
    """

    __slots__ = ("phase", "successor", "unacked_parts", "validity")

    def __init__(self, validity):
        self.phase = Phase.SERVING
        self.successor = None
        self.unacked_parts = {}
        self.validity = validity


class StopTimer(structs.Struct):
    """The next step of the planned stop is due."""

    __slots__ = ()


def start_planned_stop(state, now, out):
    """Start leaving.

    New callers are sent to other nodes. Callers with a cached address
    answer are served until its validity ends.
    """
    planned_stop = state.planned_stop
    if planned_stop.phase is not Phase.SERVING:
        return
    planned_stop.phase = Phase.LEAVING
    membership.update_local_member(state, status=membership.LEAVING)
    membership.announce_config(state, out)
    out.append(
        effects.WriteLog(
            "stop", "Leaving; still serving callers with cached addresses."
        )
    )
    state.timers.subscribe("stop", now + planned_stop.validity, StopTimer())


def fire_stop(timer, state, now, out):
    """Carry out the next step of the planned stop."""
    planned_stop = state.planned_stop
    if planned_stop.phase is Phase.LEAVING:
        if any(r.key_binding for r in state.requests.values()):
            state.timers.subscribe("stop", now + DRAIN_CHECK_PERIOD_S, timer)
            return
        _hand_over(state, now, out)
        return
    if planned_stop.phase is Phase.HANDING_OVER:
        _resend_handover(state, now, out)
        return
    if planned_stop.phase is not Phase.DRAINING:
        return
    if state.requests or state.outcome_reports:
        state.timers.subscribe("stop", now + DRAIN_CHECK_PERIOD_S, timer)
        return
    _send_late_records(state, out)
    planned_stop.phase = Phase.GONE
    membership.update_local_member(state, status=membership.DEAD)
    membership.announce_config(state, out)
    out.append(
        effects.WriteLog("stop", "Stopped; no in-flight request was aborted.")
    )
    out.append(effects.Exit())


def receive_handover(message, state, sender, now, out):
    """Adopt part of the records of a stopping node."""
    table = state.key_tables.get(message.owner)
    if table is None:
        table = key_records.KeyTable(message.owner, is_local=False)
        state.key_tables[message.owner] = table
    for record in message.records:
        known = table.records.get(record.key)
        if known is None or known.state == key_records.KeyState.STARTED.value:
            table.records[record.key] = record
    if message.owner not in state.members.local_member.adopted:
        adopted = tuple(state.members.local_member.adopted) + (message.owner,)
        membership.update_local_member(state, adopted=adopted)
        membership.announce_config(state, out)
    ack = messages.HandoverAck(message.owner, message.part)
    state.send(sender, ack, out)


def receive_handover_ack(message, state, sender, now, out):
    """Start draining once the successor has acknowledged every part."""
    planned_stop = state.planned_stop
    planned_stop.unacked_parts.pop((message.owner, message.part), None)
    if (
        planned_stop.phase is Phase.HANDING_OVER
        and not planned_stop.unacked_parts
    ):
        _start_draining(state, now, out)


def _hand_over(state, now, out):
    planned_stop = state.planned_stop
    planned_stop.phase = Phase.HANDING_OVER
    key_records.seal_tables(state, out)
    planned_stop.successor = _choose_successor(state)
    if planned_stop.successor is None:
        _start_draining(state, now, out)
        return
    planned_stop.unacked_parts = {}
    for owner, table in state.key_tables.items():
        for part in _split_records(owner, list(table.records.values())):
            planned_stop.unacked_parts[owner, part.part] = part
    _send_parts(state, now, out)


def _resend_handover(state, now, out):
    planned_stop = state.planned_stop
    member = state.members.members_by_id.get(planned_stop.successor)
    is_alive = state.members.is_alive(planned_stop.successor)
    if not is_alive or member is None or member.leaving:
        _hand_over(state, now, out)
        return
    _send_parts(state, now, out)


def _send_parts(state, now, out):
    for part in state.planned_stop.unacked_parts.values():
        state.send(state.planned_stop.successor, part, out)
    state.timers.subscribe("stop", now + RESEND_PERIOD_S, StopTimer())


def _start_draining(state, now, out):
    state.planned_stop.phase = Phase.DRAINING
    out.append(effects.WriteLog("stop", "Waiting for in-flight requests."))
    state.timers.subscribe("stop", now + DRAIN_CHECK_PERIOD_S, StopTimer())


def _send_late_records(state, out):
    """Send the records again, as outcomes arrived during the drain."""
    if state.planned_stop.successor is None:
        return
    for owner, table in state.key_tables.items():
        for part in _split_records(owner, list(table.records.values())):
            state.send(state.planned_stop.successor, part, out)


def _choose_successor(state):
    usable = state.members.list_usable_members()
    return placement.choose_other_node(state.node_id, usable)


def _split_records(owner, records):
    count = max(1, -(-len(records) // MAX_PART_RECORDS))
    return [
        messages.RecordsHandover(
            owner,
            number,
            count,
            records[
                number * MAX_PART_RECORDS : (number + 1) * MAX_PART_RECORDS
            ],
        )
        for number in range(count)
    ]
