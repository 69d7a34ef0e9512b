"""Queue of a service and granting of its workers' slots to requests."""

import enum
import heapq
import math

from acaciafield import classes
from acaciafield import messages
from acaciafield import workers

FINISH_DUE_S = 2.0  # orders downloads among requests with a target
MAX_QUEUE_LENGTH = 5000
HEDGE_DEVIATIONS = 2.5  # standard deviations above the mean log latency
MIN_HEDGE_DELAY_S = 0.02
MAX_QUEUED_TARGET_SHARE = 0.75  # the remaining time is for the run
MAX_ONCE_WAIT_S = 10.0
MAX_FINISH_WAIT_S = 30.0
MAX_CANDIDATES = 8  # bounds the workers ranked for one request
MAX_RETRY_AFTER_S = 30.0


class PermitReason(enum.Enum):
    """Reasons for which the keeper refuses a permit."""

    OVERLOAD = "overload"
    NO_WORKERS = "no-workers"
    QUARANTINED = "quarantined"
    BUDGET = "budget"
    DEADLINE = "deadline"


class WaitingRequest:
    """A permit request in the queue of a service.

    ``expires_at`` and ``arrived_at`` are times in seconds; ``exclusive``
    requires a worker that runs no other request at the same time.
    """

    __slots__ = (
        "request",
        "node_id",
        "expires_at",
        "exclusive",
        "arrived_at",
    )

    def __init__(self, request, node_id, now):
        self.request = request
        self.node_id = node_id
        self.expires_at = now + request.deadline
        self.exclusive = False
        self.arrived_at = now


def dispatch_requests(service_state, state, now, out):
    """Grant free slots to waiting requests, earliest due time first.

    Requests that must run alone on a worker come before the others.
    """
    if now < service_state.grants_paused_until:
        return
    _dispatch_exclusive(service_state, state, now, out)
    while True:
        queue = _choose_queue(service_state, now)
        if queue is None:
            return
        waiting = queue[0][2]
        if waiting.request.permit_id not in service_state.waiting:
            heapq.heappop(queue)
            continue
        if now >= waiting.expires_at:
            heapq.heappop(queue)
            _refuse_expired(service_state, state, waiting, out)
            continue
        worker = _choose_worker(service_state, state, waiting, now)
        if worker is None:
            return
        heapq.heappop(queue)
        _grant_slot(service_state, state, waiting, worker, now, out)


def estimate_wait(service_state):
    """Return the seconds that a new request is expected to queue."""
    slots = service_state.slots
    if not slots:
        return 0.0
    free_slots = slots - len(service_state.in_flight)
    queued_ahead = len(service_state.waiting) - max(0, free_slots)
    return max(0.0, queued_ahead * service_state.mean_slot_time / slots)


def find_refusal(service_state, message, now):
    """Return the PermitReason that rules a request out, or None.

    A retry or hedge that is accepted spends a token of the retry budget.
    """
    if service_state.quarantine.is_quarantined(message.fingerprint, now):
        return PermitReason.QUARANTINED
    if service_state.has_host_list and not service_state.workers:
        return PermitReason.NO_WORKERS
    if len(service_state.waiting) >= MAX_QUEUE_LENGTH:
        return PermitReason.OVERLOAD
    if estimate_wait(service_state) > _find_max_wait(message):
        return PermitReason.OVERLOAD
    if message.retry or message.hedge:
        if not service_state.budget.take_token(now):
            return PermitReason.BUDGET
    return None


def _find_max_wait(message):
    """Return the seconds that a request may spend in the queue."""
    if _is_finish_request(message):
        return min(message.deadline, MAX_FINISH_WAIT_S)
    if message.idempotent:
        return min(message.deadline, MAX_QUEUED_TARGET_SHARE * message.target)
    return min(message.deadline, MAX_ONCE_WAIT_S)


def _is_finish_request(message):
    return message.target >= classes.FINISH_TIMEOUT_S


def enqueue_request(service_state, waiting, now):
    """Add a request to the queue of its class of work.

    A request with a suspect fingerprint goes to the exclusive queue.
    """
    message = waiting.request
    service_state.waiting[message.permit_id] = waiting
    service_state.queue_sequence += 1
    if service_state.quarantine.is_suspect(message.fingerprint, now):
        waiting.exclusive = True
        service_state.exclusive_queue.append(waiting)
        return
    if _is_finish_request(message):
        due = now + FINISH_DUE_S
        heapq.heappush(
            service_state.finish_queue,
            (due, service_state.queue_sequence, waiting),
        )
        return
    due = now + message.target
    heapq.heappush(
        service_state.queue, (due, service_state.queue_sequence, waiting)
    )


def _choose_queue(service_state, now):
    """Return the queue whose first request is due next, or None.

    Downloads get no more than their share of the slots.
    """
    max_finish = max(1, int(classes.FINISH_SLOT_SHARE * service_state.slots))
    can_grant_finish = (
        service_state.finish_queue
        and service_state.finish_in_flight < max_finish
    )
    if not can_grant_finish:
        return service_state.queue if service_state.queue else None
    if not service_state.queue:
        return service_state.finish_queue
    if service_state.finish_queue[0][0] < service_state.queue[0][0]:
        return service_state.finish_queue
    return service_state.queue


def _choose_worker(service_state, state, waiting, now):
    """Return the best worker with a free slot, or None.

    Only a few candidates from a random start are ranked, because any free
    slot serves the request at once. Workers that wait for a canary request
    are always ranked.
    """
    message = waiting.request
    best, best_rank, candidate_count = None, None, 0
    for worker in _list_candidates(service_state, state):
        if candidate_count >= MAX_CANDIDATES and not worker.is_canary:
            continue
        if worker.count_free_slots(now) <= 0:
            continue
        if worker.worker_id in message.avoid:
            continue
        if worker.is_path_bad(waiting.node_id, now):
            continue
        rank = _rank_worker(worker, message, state)
        if rank is None:
            continue
        candidate_count += not worker.last_resort
        if best is None or rank < best_rank:
            best, best_rank = worker, rank
    return best


def _list_candidates(service_state, state):
    """Return all workers, starting at a random one if there are many."""
    candidates = list(service_state.workers.values())
    if len(candidates) <= MAX_CANDIDATES:
        return candidates
    start = int(state.random.random() * len(candidates))
    return candidates[start:] + candidates[:start]


def _rank_worker(worker, message, state):
    """Return a sort key (lowest is best), or None if unusable.

    A request that is not idempotent never goes to a suspect worker, and a
    worker on probation is not preferred for it.
    """
    is_canary = worker.is_canary
    if is_canary and not message.idempotent:
        if worker.status is workers.Status.SUSPECT or worker.last_resort:
            return None
        is_canary = False
    return (
        worker.last_resort,
        not is_canary,
        len(worker.in_flight) / worker.slots,
        state.random.random(),
    )


def _dispatch_exclusive(service_state, state, now, out):
    """Grant idle workers to requests with a suspect fingerprint.

    At most one such request of the service is in flight at a time.
    """
    while service_state.exclusive_queue:
        waiting = service_state.exclusive_queue[0]
        permit_id = waiting.request.permit_id
        if permit_id not in service_state.waiting:
            _pop_exclusive(service_state, permit_id)
            continue
        if now >= waiting.expires_at:
            _pop_exclusive(service_state, permit_id)
            _refuse_expired(service_state, state, waiting, out)
            continue
        fingerprint = waiting.request.fingerprint
        if not service_state.quarantine.is_suspect(fingerprint, now):
            service_state.exclusive_queue.pop(0)
            _release_reservation(service_state, permit_id)
            enqueue_request(service_state, waiting, now)
            continue
        if service_state.quarantine.is_quarantined(fingerprint, now):
            _pop_exclusive(service_state, permit_id)
            remove_waiting(service_state, permit_id)
            reason = PermitReason.QUARANTINED
            refuse_permit(
                service_state,
                state,
                waiting.request,
                waiting.node_id,
                reason,
                out,
            )
            continue
        if any(r.exclusive for r in service_state.in_flight.values()):
            return
        worker = _reserve_worker(service_state, waiting.request, now)
        if worker is None or worker.in_flight:
            return
        service_state.exclusive_queue.pop(0)
        _grant_slot(
            service_state, state, waiting, worker, now, out, exclusive=True
        )


def _pop_exclusive(service_state, permit_id):
    service_state.exclusive_queue.pop(0)
    _release_reservation(service_state, permit_id)


def _release_reservation(service_state, permit_id):
    for worker in service_state.workers.values():
        if worker.exclusive == permit_id:
            worker.exclusive = None


def _reserve_worker(service_state, message, now):
    """Return the worker reserved for a request that must run alone.

    The reserved worker gets no other request. It may still have requests
    in flight; the calling function then waits until they end.
    """
    usable = [
        w
        for w in service_state.workers.values()
        if w.status is workers.Status.HEALTHY
        and now >= w.paused_until
        and not w.consecutive_resets
        and w.worker_id not in message.avoid
    ]
    for worker in usable:
        if worker.exclusive == message.permit_id:
            return worker
    _release_reservation(service_state, message.permit_id)
    usable = [w for w in usable if w.exclusive is None]
    if not usable:
        return None
    worker = min(usable, key=lambda w: len(w.in_flight))
    worker.exclusive = message.permit_id
    return worker


def _grant_slot(
    service_state, state, waiting, worker, now, out, exclusive=False
):
    message = waiting.request
    del service_state.waiting[message.permit_id]
    request = workers.InFlightRequest(
        message.permit_id,
        worker.worker_id,
        waiting.node_id,
        message.class_name,
        now,
    )
    request.is_finish = _is_finish_request(message)
    request.exclusive = exclusive
    request.fresh = worker.status in (
        workers.Status.SUSPECT,
        workers.Status.PROBATION,
    )
    request.fingerprint = message.fingerprint
    service_state.finish_in_flight += request.is_finish
    service_state.in_flight[request.permit_id] = request
    worker.in_flight[request.permit_id] = request
    send_grant(service_state, state, request, now, out)


def send_grant(service_state, state, request, now, out):
    """Send a grant to the node that requested it.

    The grant includes the time of a hedge, once the baseline is ready.
    """
    hedge_after = 0.0
    if service_state.baseline.is_ready:
        hedge_latency = service_state.baseline.estimate_latency(
            HEDGE_DEVIATIONS
        )
        hedge_after = max(MIN_HEDGE_DELAY_S, hedge_latency)
    worker = service_state.workers[request.worker_id]
    grant = messages.PermitGrant(
        service_state.service,
        request.permit_id,
        request.worker_id,
        worker.address,
        request.fresh,
        hedge_after,
    )
    state.send(request.node_id, grant, out)


def refuse_permit(service_state, state, message, node_id, reason, out):
    """Send a refusal with the estimated wait as its retry time."""
    retry_after = min(
        MAX_RETRY_AFTER_S, math.ceil(estimate_wait(service_state))
    )
    refusal = messages.PermitRefused(
        service_state.service,
        message.permit_id,
        reason.value,
        float(max(1, retry_after)),
    )
    state.send(node_id, refusal, out)


def _refuse_expired(service_state, state, waiting, out):
    permit_id = waiting.request.permit_id
    service_state.waiting.pop(permit_id, None)
    refuse_permit(
        service_state,
        state,
        waiting.request,
        waiting.node_id,
        PermitReason.DEADLINE,
        out,
    )


def remove_waiting(service_state, permit_id):
    """Remove a request from the queue and free its reserved worker."""
    waiting = service_state.waiting.pop(permit_id, None)
    if waiting is not None and waiting.exclusive:
        _release_reservation(service_state, permit_id)
