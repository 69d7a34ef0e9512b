"""Taking workers out of use and back, never below the floor.

One keeper decides for a service. Two nodes that both believe they keep
it each stay above the floor for the requests they route, and nobody
joins their lists, so what no request can reach is at most what both
ejected.
"""

import math

from acaciafield import classes
from acaciafield import effects
from acaciafield import workers

THRESHOLDS = {
    classes.Caution.QUICK_DETECTION: 20.0,
    classes.Caution.FEW_FALSE_EJECTIONS: 24.0,
}
FIRST_HOLD = 5.0  # seconds
MOST_HOLD = 300.0  # seconds
FORGIVE_AFTER = 600.0  # healthy seconds after which holds start anew
GOOD_CANARIES = 3
CANARY_SLOW = 2.5  # standard deviations
SUSPECT_SLOW = 4.0  # standard deviations that convict a suspect at once
PATH_HOLD = 10.0  # seconds for which one node avoids a worker
SUSPECT_SHARE = 0.9  # of the threshold at which a worker is suspect
LEAST_SIBLINGS = 2
SIBLING_SCALE = 2.0  # evidence that one unit against siblings cancels

_REMOVED = (workers.Status.SUSPECT, workers.Status.EJECTED)


def count_floor(keeping):
    """Return the capacity in slots that must stay in use."""
    total = sum(
        w.slots
        for w in keeping.workers.values()
        if w.status is not workers.Status.LEAVING
    )
    return math.ceil(keeping.floor * total)


def count_healthy(keeping):
    """Return the capacity in slots of the healthy workers in use."""
    return sum(
        w.slots
        for w in keeping.workers.values()
        if w.status is workers.Status.HEALTHY
    )


def judge_workers(keeping, now, out):
    """Weigh the evidence of all workers and act on it."""
    threshold = THRESHOLDS[keeping.caution]
    judged = [
        w
        for w in keeping.workers.values()
        if w.status in (workers.Status.HEALTHY, workers.Status.SUSPECT)
    ]
    for worker in judged:
        _weigh_worker(keeping, worker, threshold, now)
    for worker in judged:
        excess = worker.weight
        if excess >= SUSPECT_SHARE * threshold:
            excess -= SIBLING_SCALE * _weigh_siblings(worker, judged)
        _act(keeping, worker, excess, threshold, now, out)
    keeping.slots = keeping.count_slots()
    for worker in keeping.workers.values():
        _move_on(keeping, worker, now, out)


def add_result(keeping, worker, flight, latency, failed, reused, now, out):
    """Take in how one request on a worker went."""
    limit = 2.0 * THRESHOLDS[keeping.caution]
    baseline = keeping.baseline
    worker.answers += 1
    if worker.status in (workers.Status.PROBATION, workers.Status.SUSPECT):
        if worker.status is workers.Status.PROBATION or flight.fresh:
            _judge_canary(keeping, worker, latency, failed, now, out)
        return
    if worker.status is not workers.Status.HEALTHY:
        return
    evidence = worker.evidence
    if latency is not None and not failed:
        if baseline.known:
            evidence.add_latency(baseline, latency, flight.node_id, now, limit)
        if worker.weight < limit / 4:
            baseline.add_latency(latency)
    evidence.add_answer(baseline, failed, flight.node_id, now, limit)
    baseline.add_answer(failed)


def add_silence(keeping, worker, flight, age, now):
    """Take in that a request was given up without any answer."""
    if worker.status is workers.Status.HEALTHY and keeping.baseline.known:
        limit = 2.0 * THRESHOLDS[keeping.caution]
        worker.evidence.add_silence(
            keeping.baseline, age, flight.node_id, now, limit
        )


def mark_leaving(keeping, worker, out):
    """Give a worker no more work, whatever was thought of it."""
    if worker.status is workers.Status.LEAVING:
        return
    worker.status = workers.Status.LEAVING
    out.append(effects.Note("keeper", "%s is leaving." % worker.worker_id))


def eject(keeping, worker, now, out):
    """Take a worker out of use, for longer each time."""
    worker.ejections += 1
    hold = min(MOST_HOLD, FIRST_HOLD * 2 ** (worker.ejections - 1))
    worker.held_until = now + hold
    worker.status = workers.Status.EJECTED
    worker.good_canaries = 0
    worker.evidence.clear()
    worker.weight = 0.0
    keeping.ejected += 1
    text = "%s is out of use for %.0f s." % (worker.worker_id, hold)
    out.append(effects.Note("keeper", text))


def _weigh_worker(keeping, worker, threshold, now):
    weights = worker.evidence.weigh_flights(
        keeping.baseline, worker.flights.values(), now
    )
    worker.certain = weights.certain
    worker.weight = weights.combine(threshold)
    worker.pressure = weights.certain + weights.doubtful


def _weigh_siblings(worker, judged):
    siblings = [w for w in judged if w is not worker]
    same_zone = [
        w for w in siblings if w.availability_zone == worker.availability_zone
    ]
    if len(siblings) < LEAST_SIBLINGS:
        return math.inf
    return max(_find_median(siblings), _find_median(same_zone))


def _find_median(siblings):
    if not siblings:
        return 0.0
    weights = sorted(w.pressure for w in siblings)
    return weights[(len(weights) - 1) // 2]


def _act(keeping, worker, excess, threshold, now, out):
    if worker.status is workers.Status.SUSPECT:
        if excess >= threshold:
            eject(keeping, worker, now, out)
        return
    if excess < SUSPECT_SHARE * threshold:
        worker.last_resort = False
        return
    node_id = worker.evidence.find_bad_path(
        worker.flights.values(), keeping.baseline, now
    )
    if node_id is not None:
        worker.bad_paths[node_id] = now + PATH_HOLD
        worker.evidence.clear()
        keeping.silent.add((node_id, worker.worker_id))
        return
    if not _may_remove(keeping, worker):
        worker.last_resort = True
        return
    if excess >= threshold:
        eject(keeping, worker, now, out)
    elif worker.certain < SUSPECT_SHARE * threshold:
        worker.status = workers.Status.SUSPECT
        keeping.suspected += 1
        text = "%s is tried on a new connection." % worker.worker_id
        out.append(effects.Note("keeper", text))


def _may_remove(keeping, worker):
    healthy = count_healthy(keeping)
    return healthy - worker.slots >= count_floor(keeping)


def _judge_canary(keeping, worker, latency, failed, now, out):
    slowness = _measure_canary(keeping, latency)
    suspect = worker.status is workers.Status.SUSPECT
    if not failed and suspect and CANARY_SLOW < slowness <= SUSPECT_SLOW:
        return
    if failed or slowness > CANARY_SLOW:
        _fail_canary(keeping, worker, now, out)
        return
    if suspect:
        _clear_suspect(keeping, worker, out)
        return
    worker.good_canaries += 1
    if worker.good_canaries >= GOOD_CANARIES:
        worker.status = workers.Status.HEALTHY
        worker.healthy_since = now
        worker.evidence.clear()
        text = "%s is back in use." % worker.worker_id
        out.append(effects.Note("keeper", text))


def _measure_canary(keeping, latency):
    if latency is None:
        return math.inf
    if not keeping.baseline.known:
        return 0.0
    return keeping.baseline.measure(latency)


def _fail_canary(keeping, worker, now, out):
    if worker.status is workers.Status.SUSPECT:
        worker.status = workers.Status.HEALTHY
        if not _may_remove(keeping, worker):
            worker.last_resort = True
            return
    eject(keeping, worker, now, out)


def _clear_suspect(keeping, worker, out):
    worker.status = workers.Status.HEALTHY
    for node_id in worker.evidence.bad:
        keeping.silent.add((node_id, worker.worker_id))
    for flight in worker.flights.values():
        keeping.silent.add((flight.node_id, worker.worker_id))
        flight.headed = True
    worker.evidence.clear()
    text = "Connections to %s had gone silent." % worker.worker_id
    out.append(effects.Note("keeper", text))


def _move_on(keeping, worker, now, out):
    status = worker.status
    if status is workers.Status.EJECTED and now >= worker.held_until:
        worker.status = workers.Status.PROBATION
    elif status is workers.Status.COLD:
        warm = worker.answers >= workers.COLD_STEP * worker.slots
        if warm or now - worker.started >= workers.COLD_TIME:
            worker.status = workers.Status.HEALTHY
            worker.healthy_since = now
    elif status is workers.Status.HEALTHY and worker.ejections:
        if now - worker.healthy_since >= FORGIVE_AFTER:
            worker.ejections = 0
