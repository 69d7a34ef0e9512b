"""Ejections of faulty workers and their readmission, above the floor.

The keeper of a service decides without the other nodes. Two nodes may act
as keeper at the same time; then each stays above the floor for the
requests that it routes. Their ejections are never merged, so a worker
gets no requests at all only if both ejected it.
"""

import math

from acaciafield import classes
from acaciafield import effects
from acaciafield import workers

EJECTION_THRESHOLDS = {
    classes.Caution.QUICK_DETECTION: 20.0,
    classes.Caution.FEW_FALSE_EJECTIONS: 24.0,
}
FIRST_EJECTION_S = 5.0  # doubles with each ejection
MAX_EJECTION_S = 300.0
EJECTION_RESET_S = 600.0  # healthy time that clears earlier ejections
CANARIES_TO_READMIT = 3
MAX_CANARY_DEVIATIONS = 2.5  # standard deviations of the log latency
MAX_SUSPECT_DEVIATIONS = 4.0  # one slower canary ejects a suspect
PATH_AVOIDANCE_S = 10.0  # one node avoids the worker, the others use it
SUSPECT_THRESHOLD_SHARE = 0.9  # of the ejection threshold
MIN_SIBLINGS = 2
SIBLING_WEIGHT = 2.0  # multiple of the siblings' score to subtract

_REMOVED = (workers.Status.SUSPECT, workers.Status.EJECTED)


def count_floor_slots(service_state):
    """Return the number of slots that must stay in use."""
    total = sum(
        w.slots
        for w in service_state.workers.values()
        if w.status is not workers.Status.LEAVING
    )
    return math.ceil(service_state.floor * total)


def count_healthy_slots(service_state):
    """Return the number of slots of the healthy workers."""
    return sum(
        w.slots
        for w in service_state.workers.values()
        if w.status is workers.Status.HEALTHY
    )


def judge_workers(service_state, now, out):
    """Score all workers and act on the scores.

    The score of the siblings is subtracted from a high score, because a
    slow service or availability zone must not lead to ejections.
    """
    threshold = EJECTION_THRESHOLDS[service_state.caution]
    judged = [
        w
        for w in service_state.workers.values()
        if w.status in (workers.Status.HEALTHY, workers.Status.SUSPECT)
    ]
    for worker in judged:
        _update_score(service_state, worker, threshold, now)
    for worker in judged:
        excess = worker.score
        if excess >= SUSPECT_THRESHOLD_SHARE * threshold:
            excess -= SIBLING_WEIGHT * _find_sibling_score(worker, judged)
        _apply_score(service_state, worker, excess, threshold, now, out)
    service_state.slots = service_state.count_slots()
    for worker in service_state.workers.values():
        _advance_status(service_state, worker, now, out)


def add_result(
    service_state, worker, request, latency, failed, reused, now, out
):
    """Add the result of one request as evidence.

    The result of a canary request decides about the worker at once.
    ``latency`` is in seconds, or None for a failure without one.
    """
    limit = 2.0 * EJECTION_THRESHOLDS[service_state.caution]
    baseline = service_state.baseline
    worker.answer_count += 1
    if worker.status in (workers.Status.PROBATION, workers.Status.SUSPECT):
        if worker.status is workers.Status.PROBATION or request.fresh:
            _judge_canary(service_state, worker, latency, failed, now, out)
        return
    if worker.status is not workers.Status.HEALTHY:
        return
    evidence = worker.evidence
    if latency is not None and not failed:
        if baseline.is_ready:
            evidence.add_latency(
                baseline, latency, request.node_id, now, limit
            )
        if worker.score < limit / 4:
            baseline.add_latency(latency)
    evidence.add_answer(baseline, failed, request.node_id, now, limit)
    baseline.add_answer(failed)


def add_unanswered(service_state, worker, request, age, now):
    """Add a request that ended without an answer."""
    if (
        worker.status is workers.Status.HEALTHY
        and service_state.baseline.is_ready
    ):
        limit = 2.0 * EJECTION_THRESHOLDS[service_state.caution]
        worker.evidence.add_unanswered(
            service_state.baseline, age, request.node_id, now, limit
        )


def mark_leaving(service_state, worker, out):
    """Give a worker no more requests, whatever its status."""
    if worker.status is workers.Status.LEAVING:
        return
    worker.status = workers.Status.LEAVING
    out.append(effects.WriteLog("keeper", "%s is leaving." % worker.worker_id))


def eject(service_state, worker, now, out):
    """Take a worker out of use, for a longer time with each ejection."""
    worker.ejections += 1
    duration = min(
        MAX_EJECTION_S, FIRST_EJECTION_S * 2 ** (worker.ejections - 1)
    )
    worker.ejected_until = now + duration
    worker.status = workers.Status.EJECTED
    worker.successful_canaries = 0
    worker.evidence.clear()
    worker.score = 0.0
    service_state.ejected += 1
    text = "%s is ejected for %.0f s." % (worker.worker_id, duration)
    out.append(effects.WriteLog("keeper", text))


def _update_score(service_state, worker, threshold, now):
    scores = worker.evidence.score_requests(
        service_state.baseline, worker.in_flight.values(), now
    )
    worker.certain_score = scores.certain_score
    worker.score = scores.combine(threshold)
    worker.total_score = scores.certain_score + scores.doubtful_score


def _find_sibling_score(worker, judged):
    """Return the greater of two median scores of the siblings.

    Siblings are the other judged workers. One median is over all of them,
    the other over those in the same availability zone. With fewer than
    MIN_SIBLINGS siblings the result is infinite, so that the worker is not
    ejected.
    """
    siblings = [w for w in judged if w is not worker]
    same_zone = [
        w for w in siblings if w.availability_zone == worker.availability_zone
    ]
    if len(siblings) < MIN_SIBLINGS:
        return math.inf
    return max(_find_median(siblings), _find_median(same_zone))


def _find_median(siblings):
    if not siblings:
        return 0.0
    scores = sorted(w.total_score for w in siblings)
    return scores[(len(scores) - 1) // 2]


def _apply_score(service_state, worker, excess, threshold, now, out):
    """Eject a worker, suspect it, avoid a path to it, or clear it.

    If the floor rules an ejection out, the worker becomes a last resort.
    """
    if worker.status is workers.Status.SUSPECT:
        if excess >= threshold:
            eject(service_state, worker, now, out)
        return
    if excess < SUSPECT_THRESHOLD_SHARE * threshold:
        worker.last_resort = False
        return
    node_id = worker.evidence.find_bad_path(
        worker.in_flight.values(), service_state.baseline, now
    )
    if node_id is not None:
        worker.bad_paths[node_id] = now + PATH_AVOIDANCE_S
        worker.evidence.clear()
        service_state.paths_to_drop.add((node_id, worker.worker_id))
        return
    if not _may_remove(service_state, worker):
        worker.last_resort = True
        return
    if excess >= threshold:
        eject(service_state, worker, now, out)
    elif worker.certain_score < SUSPECT_THRESHOLD_SHARE * threshold:
        worker.status = workers.Status.SUSPECT
        service_state.suspected += 1
        text = (
            "%s is suspect; testing it on a new connection." % worker.worker_id
        )
        out.append(effects.WriteLog("keeper", text))


def _may_remove(service_state, worker):
    healthy = count_healthy_slots(service_state)
    return healthy - worker.slots >= count_floor_slots(service_state)


def _judge_canary(service_state, worker, latency, failed, now, out):
    """Apply the result of a canary request.

    A suspect whose canary request is slow, but not clearly too slow, stays
    suspect and gets another one.
    """
    deviation = _measure_canary(service_state, latency)
    is_suspect = worker.status is workers.Status.SUSPECT
    if (
        not failed
        and is_suspect
        and MAX_CANARY_DEVIATIONS < deviation <= MAX_SUSPECT_DEVIATIONS
    ):
        return
    if failed or deviation > MAX_CANARY_DEVIATIONS:
        _fail_canary(service_state, worker, now, out)
        return
    if is_suspect:
        _clear_suspect(service_state, worker, out)
        return
    worker.successful_canaries += 1
    if worker.successful_canaries >= CANARIES_TO_READMIT:
        worker.status = workers.Status.HEALTHY
        worker.healthy_since = now
        worker.evidence.clear()
        text = "%s is readmitted." % worker.worker_id
        out.append(effects.WriteLog("keeper", text))


def _measure_canary(service_state, latency):
    """Return the deviation of a canary's latency, infinite without one."""
    if latency is None:
        return math.inf
    if not service_state.baseline.is_ready:
        return 0.0
    return service_state.baseline.measure_deviation(latency)


def _fail_canary(service_state, worker, now, out):
    if worker.status is workers.Status.SUSPECT:
        worker.status = workers.Status.HEALTHY
        if not _may_remove(service_state, worker):
            worker.last_resort = True
            return
    eject(service_state, worker, now, out)


def _clear_suspect(service_state, worker, out):
    """Clear a suspect whose canary request on a new connection succeeded.

    Its old connections were unresponsive: they are closed, and the age of
    the requests on them no longer counts as evidence.
    """
    worker.status = workers.Status.HEALTHY
    for node_id in worker.evidence.bad_scores:
        service_state.paths_to_drop.add((node_id, worker.worker_id))
    for request in worker.in_flight.values():
        service_state.paths_to_drop.add((request.node_id, worker.worker_id))
        request.has_head = True
    worker.evidence.clear()
    text = (
        "Connections to %s were unresponsive; closing them." % worker.worker_id
    )
    out.append(effects.WriteLog("keeper", text))


def _advance_status(service_state, worker, now, out):
    """Apply the status changes that follow from time or answers."""
    status = worker.status
    if status is workers.Status.EJECTED and now >= worker.ejected_until:
        worker.status = workers.Status.PROBATION
    elif status is workers.Status.COLD:
        is_warm = (
            worker.answer_count >= workers.ANSWERS_PER_WARM_SLOT * worker.slots
        )
        if is_warm or now - worker.started >= workers.COLD_TIME_S:
            worker.status = workers.Status.HEALTHY
            worker.healthy_since = now
    elif status is workers.Status.HEALTHY and worker.ejections:
        if now - worker.healthy_since >= EJECTION_RESET_S:
            worker.ejections = 0
