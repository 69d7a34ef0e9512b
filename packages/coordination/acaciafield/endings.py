"""What the end of an attempt tells a keeper of worker and request."""

from acaciafield import effects
from acaciafield import ejections
from acaciafield import granting
from acaciafield import messages
from acaciafield import outcomes
from acaciafield import placement
from acaciafield import workers

HOLD_RATE = 0.02  # weight of one flight in the mean time a slot is held
KEEPERS = 3  # nodes that know of crashing requests


def take_ending(keeping, state, worker, flight, message, now, out):
    ending = outcomes.Ending(message.ending)
    stage = outcomes.Stage(message.stage)
    held = now - flight.started
    if ending is outcomes.Ending.ANSWERED:
        worker.refusals = 0
        worker.sheds = 0
        keeping.mean_hold += HOLD_RATE * (held - keeping.mean_hold)
        keeping.quarantine.add_good(flight.fingerprint)
        if message.status < 500:
            keeping.budget.add_success()
    if ending is outcomes.Ending.REFUSED_DRAINING:
        ejections.mark_leaving(keeping, worker, out)
        return
    if ending is outcomes.Ending.REFUSED_SHED:
        _take_shed(keeping, worker, flight, now, out)
        return
    if ending is outcomes.Ending.REFUSED_DEADLINE:
        return
    if ending is outcomes.Ending.RESET:
        worker.pause_down(now)
        met_crash = flight.started <= worker.crashed_at
        if stage is not outcomes.Stage.CONNECT and met_crash:
            _take_crash(keeping, state, flight, now, out)
    _take_evidence(keeping, worker, flight, message, stage, ending, now, out)


def _take_shed(keeping, worker, flight, now, out):
    """Rest a worker that sheds; a canary it sheds is one that failed.

    The keeper gives no more than a worker's slots, so what sheds is
    busy with work that was given up, or serves another keeper too.
    """
    decides = worker.status is workers.Status.PROBATION or flight.fresh
    if worker.is_canary and decides:
        ejections.add_result(
            keeping, worker, flight, None, True, False, now, out
        )
    worker.pause_shedding(now)


def _take_evidence(keeping, worker, flight, message, stage, ending, now, out):
    cancelled = ending is outcomes.Ending.CANCELLED
    failed = not cancelled and (
        ending is not outcomes.Ending.ANSWERED or message.status >= 500
    )
    if flight.headed:
        if failed and stage is outcomes.Stage.BODY:
            ejections.add_result(
                keeping, worker, flight, None, True, False, now, out
            )
        return
    latency = message.latency
    if cancelled or ending is outcomes.Ending.TIMEOUT:
        if not flight.fresh:
            ejections.add_silence(keeping, worker, flight, latency, now)
            return
        if cancelled and not _is_late(keeping, latency):
            return
    ejections.add_result(
        keeping,
        worker,
        flight,
        latency,
        failed,
        message.reused,
        now,
        out,
    )


def _is_late(keeping, latency):
    baseline = keeping.baseline
    if not baseline.known:
        return False
    return baseline.measure(latency) > granting.HEDGE_DEVIATIONS


def _take_crash(keeping, state, flight, now, out):
    convicted = keeping.quarantine.add_crash(
        flight.fingerprint, flight.solo, now
    )
    if convicted:
        text = "A request that crashes workers of %s is quarantined."
        out.append(effects.Note("keeper", text % keeping.service))
    found = keeping.quarantine.table[flight.fingerprint]
    notice = messages.CrashNotice(
        keeping.service,
        flight.fingerprint,
        found.crashes,
        found.quarantined,
    )
    usable = state.members.list_usable()
    for node_id in placement.rank_nodes(keeping.service, usable, KEEPERS):
        if node_id != state.node_id:
            state.send(node_id, notice, out)
