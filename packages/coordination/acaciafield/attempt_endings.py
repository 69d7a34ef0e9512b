"""Results of ended attempts, as evidence on worker and request."""

from acaciafield import effects
from acaciafield import ejections
from acaciafield import granting
from acaciafield import messages
from acaciafield import outcomes
from acaciafield import placement
from acaciafield import workers

SLOT_TIME_EWMA_WEIGHT = 0.02
CRASH_NOTICE_NODES = 3  # the keeper and its successors in the ranking


def apply_ending(service_state, state, worker, request, message, now, out):
    """Apply a PermitDone message to the worker and to the fingerprint.

    A reset counts as a crash of the worker only for requests that were in
    flight at the first of consecutive resets, so that a worker that resets
    connections while it restarts makes no other request suspect.
    """
    ending = outcomes.Ending(message.ending)
    stage = outcomes.Stage(message.stage)
    slot_time = now - request.started
    if ending is outcomes.Ending.ANSWERED:
        worker.consecutive_resets = 0
        worker.consecutive_sheds = 0
        service_state.mean_slot_time += SLOT_TIME_EWMA_WEIGHT * (
            slot_time - service_state.mean_slot_time
        )
        service_state.quarantine.clear_suspicion(request.fingerprint)
        if message.status < 500:
            service_state.budget.add_success()
    if ending is outcomes.Ending.REFUSED_DRAINING:
        ejections.mark_leaving(service_state, worker, out)
        return
    if ending is outcomes.Ending.REFUSED_SHED:
        _apply_shed(service_state, worker, request, now, out)
        return
    if ending is outcomes.Ending.REFUSED_DEADLINE:
        return
    if ending is outcomes.Ending.RESET:
        worker.pause_after_reset(now)
        was_in_flight = request.started <= worker.crashed_at
        if stage is not outcomes.Stage.CONNECT and was_in_flight:
            _add_crash(service_state, state, request, now, out)
    _add_evidence(
        service_state, worker, request, message, stage, ending, now, out
    )


def _apply_shed(service_state, worker, request, now, out):
    """Pause a worker that shed a request; a shed canary request failed.

    The keeper grants no more slots than a worker has. A worker that sheds
    is busy with abandoned requests or serves another keeper too.
    """
    decides_canary = worker.status is workers.Status.PROBATION or request.fresh
    if worker.is_canary and decides_canary:
        ejections.add_result(
            service_state, worker, request, None, True, False, now, out
        )
    worker.pause_after_shed(now)


def _add_evidence(
    service_state, worker, request, message, stage, ending, now, out
):
    """Add the ending of an attempt to the evidence on the worker.

    A cancelled request on a new connection counts only if it was late.
    """
    is_cancelled = ending is outcomes.Ending.CANCELLED
    has_failed = not is_cancelled and (
        ending is not outcomes.Ending.ANSWERED or message.status >= 500
    )
    if request.has_head:
        if has_failed and stage is outcomes.Stage.BODY:
            ejections.add_result(
                service_state, worker, request, None, True, False, now, out
            )
        return
    latency = message.latency
    if is_cancelled or ending is outcomes.Ending.TIMEOUT:
        if not request.fresh:
            ejections.add_unanswered(
                service_state, worker, request, latency, now
            )
            return
        if is_cancelled and not _is_late(service_state, latency):
            return
    ejections.add_result(
        service_state,
        worker,
        request,
        latency,
        has_failed,
        message.reused,
        now,
        out,
    )


def _is_late(service_state, latency):
    baseline = service_state.baseline
    if not baseline.is_ready:
        return False
    return baseline.measure_deviation(latency) > granting.HEDGE_DEVIATIONS


def _add_crash(service_state, state, request, now, out):
    """Count a crash, and send the record to the next keepers."""
    is_quarantined = service_state.quarantine.add_crash(
        request.fingerprint, request.exclusive, now
    )
    if is_quarantined:
        text = "A request that crashes workers of %s is quarantined."
        out.append(effects.WriteLog("keeper", text % service_state.service))
    suspicion = service_state.quarantine.suspicions[request.fingerprint]
    notice = messages.CrashNotice(
        service_state.service,
        request.fingerprint,
        suspicion.crashes,
        suspicion.quarantined,
    )
    usable = state.members.list_usable_members()
    for node_id in placement.rank_nodes(
        service_state.service, usable, CRASH_NOTICE_NODES
    ):
        if node_id != state.node_id:
            state.send(node_id, notice, out)
