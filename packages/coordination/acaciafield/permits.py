"""Permits: a service's keeper grants the slots of its workers.

The keeper queues requests by the time their target asks for, grants
one slot to each, and hears how every attempt went.
"""

import enum
import heapq
import math

from acaciafield import classes
from acaciafield import effects
from acaciafield import ejections
from acaciafield import keeping as keepings
from acaciafield import messages
from acaciafield import outcomes
from acaciafield import placement
from acaciafield import structs
from acaciafield import workers

JUDGE_PERIOD = 0.1  # seconds
HOLD_RATE = 0.02  # weight of one flight in the mean time a slot is held
FINISH_PATIENCE = 2.0  # seconds after which a download's turn has come
MOST_WAITING = 5000  # requests in a service's queue
HEDGE_DEVIATIONS = 2.5  # above the mean of the log latency
LEAST_HEDGE = 0.02  # seconds
WAIT_SHARE = 0.75  # of a quick target that may pass in the queue
ONCE_QUEUE = 10.0  # seconds an order may queue
FINISH_QUEUE = 30.0  # seconds a download may queue
MOST_RETRY_AFTER = 30.0  # seconds
KEEPERS = 3  # nodes that know of crashing requests


class PermitReason(enum.Enum):
    """Why no slot was granted."""

    OVERLOAD = "overload"
    NO_WORKERS = "no-workers"
    QUARANTINED = "quarantined"
    BUDGET = "budget"
    DEADLINE = "deadline"


class JudgeTimer(structs.Struct):
    """The workers of a service are to be judged."""

    __slots__ = ("service",)


class HostsTimer(structs.Struct):
    """The host list of a service is to be read again."""

    __slots__ = ("service",)


class Waiting:
    """A request in a service's queue; ``expires`` in seconds."""

    __slots__ = ("request", "node_id", "expires", "solo", "arrived")

    def __init__(self, request, node_id, now):
        self.request = request
        self.node_id = node_id
        self.expires = now + request.deadline
        self.solo = False
        self.arrived = now


def open_service(state, service, now, out):
    """Return the keeper's state of a service, begun if need be."""
    keeping = state.services.get(service)
    if keeping is None:
        keeping = state.services[service] = keepings.Keeping(service, now)
        known = state.host_lists.get(service)
        if known is not None:
            keepings.take_hosts(keeping, known.hosts, now, out)
        out.append(effects.ReadHosts(service))
        state.timers.subscribe(
            ("judge", service), now + JUDGE_PERIOD, JudgeTimer(service)
        )
        state.timers.subscribe(
            ("hosts", service),
            now + keepings.HOSTS_PERIOD,
            HostsTimer(service),
        )
    config = state.config.find_service(service)
    if config is not None:
        keeping.floor = config.floor
        keeping.caution = config.caution
    keeping.last_used = now
    return keeping


def fire_judge(timer, state, now, out):
    """Judge the workers, and let go of a service long unused."""
    keeping = state.services[timer.service]
    idle = now - keeping.last_used > keepings.IDLE_AFTER
    if idle and not keeping.flights and not keeping.waiting:
        del state.services[timer.service]
        return
    due = now + JUDGE_PERIOD
    state.timers.subscribe(("judge", timer.service), due, timer)
    _reclaim(keeping, state)
    ejections.judge_workers(keeping, now, out)
    _drop_silent(keeping, state, out)
    dispatch(keeping, state, now, out)


def _drop_silent(keeping, state, out):
    silent, keeping.silent = keeping.silent, set()
    for node_id, worker_id in sorted(silent):
        state.send(node_id, messages.DropPath(worker_id), out)


def receive_drop(message, state, sender, now, out):
    """Use no open connection to a worker any longer."""
    out.append(effects.DropConnections(message.worker_id))


def fire_hosts(timer, state, now, out):
    """Read the host list again while the service is kept."""
    if timer.service not in state.services:
        return
    due = now + keepings.HOSTS_PERIOD
    state.timers.subscribe(("hosts", timer.service), due, timer)
    out.append(effects.ReadHosts(timer.service))


def take_hosts(state, service, hosts, now, out):
    """Take in the host list of a kept service."""
    keeping = state.services.get(service)
    if keeping is None:
        return
    keepings.take_hosts(keeping, hosts, now, out)
    early, keeping.early_held = keeping.early_held, []
    for node_id, message in early:
        receive_held(message, state, node_id, now, out)
    dispatch(keeping, state, now, out)


def receive_request(message, state, sender, now, out):
    """Queue a request for a slot, or say at once why there is none."""
    keeping = open_service(state, message.service, now, out)
    flight = keeping.flights.get(message.permit_id)
    if flight is not None:
        _send_grant(keeping, state, flight, now, out)
        return
    if message.permit_id in keeping.waiting:
        queued = messages.PermitQueued(message.service, message.permit_id)
        state.send(sender, queued, out)
        return
    reason = _find_refusal(keeping, message, now)
    if reason is not None:
        _refuse(keeping, state, message, sender, reason, out)
        return
    _enqueue(keeping, Waiting(message, sender, now), now)
    dispatch(keeping, state, now, out)
    if message.permit_id not in keeping.waiting:
        return
    if message.hedge:
        _forget_waiting(keeping, message.permit_id)
        _refuse(keeping, state, message, sender, PermitReason.OVERLOAD, out)
    elif sender != state.node_id:
        queued = messages.PermitQueued(message.service, message.permit_id)
        state.send(sender, queued, out)


def receive_head(message, state, sender, now, out):
    """Stop the clock of a flight whose answer has begun."""
    keeping = state.services.get(message.service)
    flight = keeping and keeping.flights.get(message.permit_id)
    if not flight or flight.headed:
        return
    flight.headed = True
    worker = keeping.workers.get(flight.worker_id)
    if worker is not None:
        failed = message.status >= 500
        ejections.add_result(
            keeping,
            worker,
            flight,
            message.latency,
            failed,
            message.reused,
            now,
            out,
        )


def receive_done(message, state, sender, now, out):
    """Free the slot and take in how the attempt went."""
    keeping = state.services.get(message.service)
    if keeping is None:
        return
    _forget_waiting(keeping, message.permit_id)
    flight = keeping.flights.pop(message.permit_id, None)
    if flight is None:
        return
    keeping.finish_flights -= flight.finish
    keeping.last_used = now
    worker = keeping.workers.get(flight.worker_id)
    if worker is not None:
        worker.flights.pop(message.permit_id, None)
        if worker.solo == message.permit_id:
            worker.solo = None
        _take_ending(keeping, state, worker, flight, message, now, out)
    dispatch(keeping, state, now, out)


def receive_held(message, state, sender, now, out):
    """Count a permit that the former keeper granted."""
    keeping = open_service(state, message.service, now, out)
    if not keeping.listed:
        keeping.early_held.append((sender, message))
        return
    worker = keeping.workers.get(message.worker_id)
    if worker is None or message.permit_id in keeping.flights:
        return
    flight = workers.Flight(
        message.permit_id,
        message.worker_id,
        sender,
        message.class_name,
        now - message.age,
    )
    flight.fingerprint = message.fingerprint
    worker.flights[flight.permit_id] = flight
    keeping.flights[flight.permit_id] = flight


def receive_crash(message, state, sender, now, out):
    """Take in what another keeper knows of a crashing request."""
    keeping = open_service(state, message.service, now, out)
    keeping.quarantine.take_notice(
        message.fingerprint, message.crashes, message.quarantined, now
    )


def dispatch(keeping, state, now, out):
    """Grant free slots to the requests whose turn it is."""
    _dispatch_solo(keeping, state, now, out)
    while True:
        queue = _pick_queue(keeping, now)
        if queue is None:
            return
        waiting = queue[0][2]
        if waiting.request.permit_id not in keeping.waiting:
            heapq.heappop(queue)
            continue
        if now >= waiting.expires:
            heapq.heappop(queue)
            _expire(keeping, state, waiting, out)
            continue
        worker = _choose_worker(keeping, state, waiting, now)
        if worker is None:
            return
        heapq.heappop(queue)
        _grant(keeping, state, waiting, worker, now, out)


def estimate_wait(keeping):
    """Return the seconds that a new request would wait in the queue."""
    slots = keeping.count_slots()
    if not slots:
        return 0.0
    free = slots - len(keeping.flights)
    ahead = len(keeping.waiting) - max(0, free)
    return max(0.0, ahead * keeping.mean_hold / slots)


def _find_refusal(keeping, message, now):
    if keeping.quarantine.is_quarantined(message.fingerprint, now):
        return PermitReason.QUARANTINED
    if keeping.listed and not keeping.workers:
        return PermitReason.NO_WORKERS
    if len(keeping.waiting) >= MOST_WAITING:
        return PermitReason.OVERLOAD
    if estimate_wait(keeping) > _find_patience(message):
        return PermitReason.OVERLOAD
    if message.retry or message.hedge:
        if not keeping.budget.take(now):
            return PermitReason.BUDGET
    return None


def _find_patience(message):
    if _is_finish(message):
        return min(message.deadline, FINISH_QUEUE)
    if message.idempotent:
        return min(message.deadline, WAIT_SHARE * message.target)
    return min(message.deadline, ONCE_QUEUE)


def _is_finish(message):
    return message.target >= classes.FINISH_WAIT


def _enqueue(keeping, waiting, now):
    message = waiting.request
    keeping.waiting[message.permit_id] = waiting
    keeping.counter += 1
    if keeping.quarantine.is_suspect(message.fingerprint, now):
        waiting.solo = True
        keeping.solo_queue.append(waiting)
        return
    if _is_finish(message):
        due = now + FINISH_PATIENCE
        heapq.heappush(keeping.finish_queue, (due, keeping.counter, waiting))
        return
    due = now + message.target
    heapq.heappush(keeping.queue, (due, keeping.counter, waiting))


def _pick_queue(keeping, now):
    most = max(1, int(classes.FINISH_SLOTS * keeping.count_slots()))
    finish_open = keeping.finish_queue and keeping.finish_flights < most
    if not finish_open:
        return keeping.queue if keeping.queue else None
    if not keeping.queue:
        return keeping.finish_queue
    if keeping.finish_queue[0][0] < keeping.queue[0][0]:
        return keeping.finish_queue
    return keeping.queue


def _choose_worker(keeping, state, waiting, now):
    message = waiting.request
    best, best_rank = None, None
    for worker in keeping.workers.values():
        if worker.count_free(now) <= 0:
            continue
        if worker.worker_id in message.avoid:
            continue
        if worker.is_path_bad(waiting.node_id, now):
            continue
        rank = _rank_worker(worker, message, state)
        if rank is not None and (best is None or rank < best_rank):
            best, best_rank = worker, rank
    return best


def _rank_worker(worker, message, state):
    canary = worker.status in (
        workers.Status.PROBATION,
        workers.Status.SUSPECT,
    )
    if canary and not message.idempotent:
        if worker.status is workers.Status.SUSPECT or worker.last_resort:
            return None
        canary = False
    return (
        worker.last_resort,
        not canary,
        len(worker.flights) / worker.slots,
        state.random.random(),
    )


def _dispatch_solo(keeping, state, now, out):
    while keeping.solo_queue:
        waiting = keeping.solo_queue[0]
        permit_id = waiting.request.permit_id
        if permit_id not in keeping.waiting:
            _drop_solo(keeping, permit_id)
            continue
        if now >= waiting.expires:
            _drop_solo(keeping, permit_id)
            _expire(keeping, state, waiting, out)
            continue
        fingerprint = waiting.request.fingerprint
        if not keeping.quarantine.is_suspect(fingerprint, now):
            keeping.solo_queue.pop(0)
            _release_solo(keeping, permit_id)
            _enqueue(keeping, waiting, now)
            continue
        if keeping.quarantine.is_quarantined(fingerprint, now):
            _drop_solo(keeping, permit_id)
            _forget_waiting(keeping, permit_id)
            reason = PermitReason.QUARANTINED
            _refuse(
                keeping, state, waiting.request, waiting.node_id, reason, out
            )
            continue
        if any(f.solo for f in keeping.flights.values()):
            return
        worker = _reserve_worker(keeping, waiting.request, now)
        if worker is None or worker.flights:
            return
        keeping.solo_queue.pop(0)
        _grant(keeping, state, waiting, worker, now, out, solo=True)


def _drop_solo(keeping, permit_id):
    keeping.solo_queue.pop(0)
    _release_solo(keeping, permit_id)


def _release_solo(keeping, permit_id):
    for worker in keeping.workers.values():
        if worker.solo == permit_id:
            worker.solo = None


def _reserve_worker(keeping, message, now):
    """Return the worker kept free for a request that must run alone."""
    usable = [
        w
        for w in keeping.workers.values()
        if w.status is workers.Status.HEALTHY
        and now >= w.paused_until
        and w.worker_id not in message.avoid
    ]
    for worker in usable:
        if worker.solo == message.permit_id:
            return worker
    _release_solo(keeping, message.permit_id)
    usable = [w for w in usable if w.solo is None]
    if not usable:
        return None
    worker = min(usable, key=lambda w: len(w.flights))
    worker.solo = message.permit_id
    return worker


def _grant(keeping, state, waiting, worker, now, out, solo=False):
    message = waiting.request
    del keeping.waiting[message.permit_id]
    flight = workers.Flight(
        message.permit_id,
        worker.worker_id,
        waiting.node_id,
        message.class_name,
        now,
    )
    flight.finish = _is_finish(message)
    flight.solo = solo
    flight.fresh = worker.status in (
        workers.Status.SUSPECT,
        workers.Status.PROBATION,
    )
    flight.fingerprint = message.fingerprint
    keeping.finish_flights += flight.finish
    keeping.flights[flight.permit_id] = flight
    worker.flights[flight.permit_id] = flight
    _send_grant(keeping, state, flight, now, out)


def _send_grant(keeping, state, flight, now, out):
    hedge_after = 0.0
    if keeping.baseline.known:
        quantile = keeping.baseline.quantile(HEDGE_DEVIATIONS)
        hedge_after = max(LEAST_HEDGE, quantile)
    worker = keeping.workers[flight.worker_id]
    grant = messages.PermitGrant(
        keeping.service,
        flight.permit_id,
        flight.worker_id,
        worker.address,
        flight.fresh,
        hedge_after,
    )
    state.send(flight.node_id, grant, out)


def _refuse(keeping, state, message, node_id, reason, out):
    retry_after = min(MOST_RETRY_AFTER, math.ceil(estimate_wait(keeping)))
    refusal = messages.PermitRefused(
        keeping.service,
        message.permit_id,
        reason.value,
        float(max(1, retry_after)),
    )
    state.send(node_id, refusal, out)


def _expire(keeping, state, waiting, out):
    permit_id = waiting.request.permit_id
    keeping.waiting.pop(permit_id, None)
    _refuse(
        keeping,
        state,
        waiting.request,
        waiting.node_id,
        PermitReason.DEADLINE,
        out,
    )


def _forget_waiting(keeping, permit_id):
    waiting = keeping.waiting.pop(permit_id, None)
    if waiting is not None and waiting.solo:
        _release_solo(keeping, permit_id)


def _reclaim(keeping, state):
    for flight in list(keeping.flights.values()):
        if state.members.is_alive(flight.node_id):
            continue
        del keeping.flights[flight.permit_id]
        keeping.finish_flights -= flight.finish
        worker = keeping.workers.get(flight.worker_id)
        if worker is not None:
            worker.flights.pop(flight.permit_id, None)
            if worker.solo == flight.permit_id:
                worker.solo = None


def _take_ending(keeping, state, worker, flight, message, now, out):
    ending = outcomes.Ending(message.ending)
    stage = outcomes.Stage(message.stage)
    held = now - flight.started
    if ending is outcomes.Ending.ANSWERED:
        worker.refusals = 0
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
        if stage is not outcomes.Stage.CONNECT:
            _take_crash(keeping, state, flight, now, out)
    _take_evidence(keeping, worker, flight, message, stage, ending, now, out)


def _take_shed(keeping, worker, flight, now, out):
    if worker.status is workers.Status.SUSPECT and flight.fresh:
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
    return baseline.measure(latency) > HEDGE_DEVIATIONS


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
