"""Selection of the worker of a service that suits a request best.

A worker that fails most of its requests for some seconds looks idle, and
would attract requests that must not be repeated. The selection therefore
weighs the risk of a failure against load and availability zone.
"""

import math

# Risk that any request accepts at once rather than wait.
INITIAL_MAX_RISK = 0.2
# Costs of a certain failure: where it is final, and where another attempt
# follows.
FINAL_RISK_WEIGHT = 20.0
RETRYABLE_RISK_WEIGHT = 3.0
# Cost of a worker in another availability zone, to which a request and its
# answer of this many bytes together add 1.
REMOTE_ZONE_COST = 0.15
BYTES_PER_REMOTE_COST = 60000.0
WARM_UP_COST = 0.5
# Times without a grant after which a worker is preferred: within the
# availability zone of the request, and from any zone.
IDLE_TIME_S = 1.4
LONG_IDLE_TIME_S = 1.7
IDLE_BONUS = 0.13  # less than REMOTE_ZONE_COST
LONG_IDLE_BONUS = 0.3  # more than REMOTE_ZONE_COST
# Cost of a worker whose last slot is taken; grows with the 4th power of load.
LOAD_COST = 1.0
CANARY_BONUS = 1.0  # makes the worker of a canary request the first choice
# Largest risk ascribed to the time since a worker's last request.
MAX_STALE_RISK = 0.1
# Value of finding out by a request that may be retried, per risk.
SCOUT_WEIGHT = 15.0
# Share of the cost of load that counts where a failure is final and workers
# are known to begin to fail: fewer workers then get such requests, and the
# others are tried by requests that may be retried.
PACKING_LOAD_SHARE = 0.1
MAX_EXTRA_REQUESTS = 1  # beyond the slots of a worker


def choose_worker(
    workers,
    request,
    now,
    max_risk,
    size,
    latencies,
    may_be_canary,
    onset_rate=0.0,
):
    """Return the eligible worker of least cost, or None.

    A worker above ``max_risk`` is left out, unless a canary request is due
    to test whether it has recovered and the request ``may_be_canary``.
    ``size`` is the usual size of request and answer in bytes, ``latencies`` a
    backends.RouteLatency by route, ``onset_rate`` the rate at which a worker
    begins to fail.
    """
    best, best_cost = None, math.inf
    remote_zone_cost = REMOTE_ZONE_COST + size / BYTES_PER_REMOTE_COST
    is_packing = request.is_last_attempt and onset_rate > 0.0
    for worker in workers:
        is_canary = may_be_canary and worker.is_canary_due(now)
        bonus = find_idle_bonus(worker, request, onset_rate, now)
        cost = find_base_cost(worker, request, remote_zone_cost, now) - bonus
        if is_packing and len(worker.in_flight) < worker.entry.slots:
            cost -= (1.0 - PACKING_LOAD_SHARE) * find_load_cost(worker)
        # The base cost alone rules out most workers of a large service.
        if cost >= best_cost and not is_canary:
            continue
        if not is_eligible(worker, request, now):
            continue
        risk = worker.estimate_risk(now)
        if risk > max_risk and not is_canary:
            continue
        if is_canary:
            cost -= CANARY_BONUS
        else:
            # Old failures of little risk do not keep a worker idle.
            ignores_risk = bonus > 0.0 and risk <= INITIAL_MAX_RISK
            counted_risk = 0.0 if ignores_risk else risk
            cost += find_risk_cost(
                worker, request, counted_risk, latencies, now
            )
        if cost < best_cost:
            best, best_cost = worker, cost
    return best


def find_idle_bonus(worker, request, onset_rate, now):
    """Return the cost reduction of a worker that has been idle.

    The risk that it began to fail since its last request is a cost where a
    failure is final; another request had better find out.
    """
    idle_time = now - worker.granted_at
    if onset_rate > 0.0:
        age = now - worker.find_proven_at(now)
        if request.is_last_attempt:
            return -FINAL_RISK_WEIGHT * min(MAX_STALE_RISK, onset_rate * age)
        bonus = SCOUT_WEIGHT * min(MAX_STALE_RISK, onset_rate * idle_time)
        # Callers of the worker's own zone find out without a remote transfer.
        if worker.entry.zone != request.zone:
            return min(LONG_IDLE_BONUS, bonus)
        return bonus
    if idle_time <= IDLE_TIME_S:
        return 0.0
    return LONG_IDLE_BONUS if idle_time > LONG_IDLE_TIME_S else IDLE_BONUS


def find_base_cost(worker, request, remote_zone_cost, now):
    """Return the cost of a worker by load, availability zone and warm-up.

    ``remote_zone_cost`` is the cost of another availability zone.
    """
    entry = worker.entry
    cost = find_load_cost(worker)
    if entry.zone != request.zone:
        cost += remote_zone_cost
    if now < worker.warm_at:
        cost += WARM_UP_COST
    return cost


def find_load_cost(worker):
    """Return the cost of a worker by the share of its slots in use."""
    load = (len(worker.in_flight) + 1) / worker.entry.slots
    return load + LOAD_COST * load**4


def find_risk_cost(worker, request, risk, latencies, now):
    """Return the cost of a possible failure or hang of a worker."""
    hang_risk = worker.estimate_hang_risk(latencies, now)
    weight = (
        FINAL_RISK_WEIGHT if request.is_last_attempt else RETRYABLE_RISK_WEIGHT
    )
    return weight * max(risk, hang_risk)


def is_eligible(worker, request, now):
    """Return whether a worker may get a request, whatever the cost."""
    entry = worker.entry
    if entry.draining or entry.worker_id in request.avoided_workers:
        return False
    if (
        worker.has_connect_backoff(request.node, now)
        or now < worker.backoff_until
    ):
        return False
    return len(worker.in_flight) < entry.slots + _count_extra_requests(entry)


def _count_extra_requests(entry):
    """Return how many requests may queue at a worker itself.

    They use the time in which an answer and the next request are in
    transit.
    """
    return MAX_EXTRA_REQUESTS if entry.slots > 1 else 0
