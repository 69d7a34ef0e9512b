"""Placing: which worker of a service suits a request best.

It answers for workers that fail most of what they run for some seconds
while they look idle, beside requests that must not be repeated.
"""

import math

FIRST_BEARABLE = 0.2  # risk that a request takes rather than wait at all
LAST_RISK_WEIGHT = 20.0  # cost of a sure failure that is final
RISK_WEIGHT = 3.0  # cost of a sure failure that another attempt follows
ZONE_COST = 0.15  # cost of a worker in another availability zone
ZONE_COST_BYTES = 60000.0  # bytes of an answer that cost one more
COLD_COST = 0.5  # cost of a worker that is still warming up
IDLE_TIME = 1.4  # seconds without a grant after which a worker's turn comes
LONG_IDLE_TIME = 1.7  # seconds, after which any availability zone will do
NEAR_IDLE_BONUS = 0.13  # takes off less than another zone costs
IDLE_BONUS = 0.3  # takes off more than another availability zone costs
FULL_COST = 1.0  # cost of the last slot, in the fourth power of load
SCOUT_BONUS = 1.0  # makes the scouted worker the first choice
EXTRA_FLIGHTS = 1  # requests beyond the slots of a worker


def choose_worker(workers, ask, now, bearable, size, latencies, scouting):
    """Return the worker of least cost with a free slot, or None.

    One of more than the ``bearable`` risk is left out, unless the ask may
    be ``scouting`` and it is time that a request finds out whether the
    worker is well again. ``size`` is the usual size of an answer in
    bytes, ``latencies`` a backends.Latency by route.
    """
    best, best_cost = None, math.inf
    away = ZONE_COST + size / ZONE_COST_BYTES
    for worker in workers:
        scouts = scouting and worker.is_scout_due(now)
        bonus = find_turn_bonus(worker, now)
        cost = weigh_place(worker, ask, away, now) - bonus
        # Most workers of a large service cost more by place alone.
        if cost >= best_cost and not scouts:
            continue
        if not is_eligible(worker, ask, now):
            continue
        risk = worker.read_risk(now)
        if risk > bearable and not scouts:
            continue
        if scouts:
            cost -= SCOUT_BONUS
        else:
            # One that has rested is not kept idle for old failures.
            forgiven = bonus and risk <= FIRST_BEARABLE
            known = 0.0 if forgiven else risk
            cost += weigh_risk(worker, ask, known, latencies, now)
        if cost < best_cost:
            best, best_cost = worker, cost
    return best


def find_turn_bonus(worker, now):
    """Return what is taken off the cost of a worker that has rested."""
    rested = now - worker.granted_at
    if rested <= IDLE_TIME:
        return 0.0
    return IDLE_BONUS if rested > LONG_IDLE_TIME else NEAR_IDLE_BONUS


def weigh_place(worker, ask, away, now):
    """Return the cost of a worker by its load, zone and start.

    ``away`` is the cost of another availability zone.
    """
    entry = worker.entry
    load = (len(worker.flights) + 1) / entry.slots
    cost = load + FULL_COST * load**4
    if entry.zone != ask.zone:
        cost += away
    if now < worker.warm_at:
        cost += COLD_COST
    return cost


def weigh_risk(worker, ask, risk, latencies, now):
    """Return the cost of the failure or hang that a worker may bring."""
    hang = worker.estimate_hang(latencies, now)
    weight = LAST_RISK_WEIGHT if ask.last else RISK_WEIGHT
    return weight * max(risk, hang)


def is_eligible(worker, ask, now):
    """Tell whether a worker may get a request at all."""
    entry = worker.entry
    if entry.draining or entry.worker_id in ask.avoid:
        return False
    if worker.is_path_bad(ask.node, now) or now < worker.full_until:
        return False
    return len(worker.flights) < entry.slots + _count_extra(entry)


def _count_extra(entry):
    """Return how many requests may wait at a worker itself.

    They fill the time in which an answer and the next request are on
    their way.
    """
    return EXTRA_FLIGHTS if entry.slots > 1 else 0
