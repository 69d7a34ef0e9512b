"""A service's queue, and the granting of its workers' slots."""

import enum
import heapq
import math

from acaciafield import classes
from acaciafield import messages
from acaciafield import workers

FINISH_PATIENCE = 2.0  # seconds after which a download's turn has come
MOST_WAITING = 5000  # requests in a service's queue
HEDGE_DEVIATIONS = 2.5  # above the mean of the log latency
LEAST_HEDGE = 0.02  # seconds
WAIT_SHARE = 0.75  # of a quick target that may pass in the queue
ONCE_QUEUE = 10.0  # seconds an order may queue
FINISH_QUEUE = 30.0  # seconds a download may queue
CANDIDATES = 8  # workers looked at for one request
MOST_RETRY_AFTER = 30.0  # seconds


class PermitReason(enum.Enum):
    """Why no slot was granted."""

    OVERLOAD = "overload"
    NO_WORKERS = "no-workers"
    QUARANTINED = "quarantined"
    BUDGET = "budget"
    DEADLINE = "deadline"


class Waiting:
    """A request in a service's queue; ``expires`` in seconds."""

    __slots__ = ("request", "node_id", "expires", "solo", "arrived")

    def __init__(self, request, node_id, now):
        self.request = request
        self.node_id = node_id
        self.expires = now + request.deadline
        self.solo = False
        self.arrived = now


def dispatch(keeping, state, now, out):
    """Grant free slots to the requests whose turn it is."""
    if now < keeping.held_until:
        return
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
    slots = keeping.slots
    if not slots:
        return 0.0
    free = slots - len(keeping.flights)
    ahead = len(keeping.waiting) - max(0, free)
    return max(0.0, ahead * keeping.mean_hold / slots)


def find_refusal(keeping, message, now):
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


def enqueue(keeping, waiting, now):
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
    most = max(1, int(classes.FINISH_SLOTS * keeping.slots))
    finish_open = keeping.finish_queue and keeping.finish_flights < most
    if not finish_open:
        return keeping.queue if keeping.queue else None
    if not keeping.queue:
        return keeping.finish_queue
    if keeping.finish_queue[0][0] < keeping.queue[0][0]:
        return keeping.finish_queue
    return keeping.queue


def _choose_worker(keeping, state, waiting, now):
    """Return the best of some workers with a free slot, or None.

    Any free slot serves at once, so a few candidates from a random
    place on are as good as all; canaries are always among them.
    """
    message = waiting.request
    best, best_rank, seen = None, None, 0
    for worker in _list_candidates(keeping, state):
        if seen >= CANDIDATES and not worker.is_canary:
            continue
        if worker.count_free(now) <= 0:
            continue
        if worker.worker_id in message.avoid:
            continue
        if worker.is_path_bad(waiting.node_id, now):
            continue
        rank = _rank_worker(worker, message, state)
        if rank is None:
            continue
        seen += not worker.last_resort
        if best is None or rank < best_rank:
            best, best_rank = worker, rank
    return best


def _list_candidates(keeping, state):
    found = list(keeping.workers.values())
    if len(found) <= CANDIDATES:
        return found
    start = int(state.random.random() * len(found))
    return found[start:] + found[:start]


def _rank_worker(worker, message, state):
    canary = worker.is_canary
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
            enqueue(keeping, waiting, now)
            continue
        if keeping.quarantine.is_quarantined(fingerprint, now):
            _drop_solo(keeping, permit_id)
            forget_waiting(keeping, permit_id)
            reason = PermitReason.QUARANTINED
            refuse(
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
        and not w.refusals
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
    send_grant(keeping, state, flight, now, out)


def send_grant(keeping, state, flight, now, out):
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


def refuse(keeping, state, message, node_id, reason, out):
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
    refuse(
        keeping,
        state,
        waiting.request,
        waiting.node_id,
        PermitReason.DEADLINE,
        out,
    )


def forget_waiting(keeping, permit_id):
    waiting = keeping.waiting.pop(permit_id, None)
    if waiting is not None and waiting.solo:
        _release_solo(keeping, permit_id)
