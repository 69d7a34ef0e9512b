"""Cost of a decision on a quota, and the memory of the buckets.

Run as ``python -m bench.quotas``. All calls are on the pure reducer, in
one thread and without a network.
"""

import sys
import time
import tracemalloc

from acaciafield.gateway import effects
from acaciafield.gateway import events
from acaciafield.gateway import handlers
from acaciafield.gateway import messages
from acaciafield.gateway import node_state
from acaciafield.gateway import workspaces
from tests import gateway_support as support

SIZES = (87, 10_000)
DECISIONS = 20_000
WORKERS = 122
STEP_S = 0.001


def start_node(count):
    """Return a coordinator of one zone of three with ``count`` limits."""
    state = support.make_state("n1")
    state.start(0.0)
    limits = {
        name: workspaces.Workspace(name, None, 1000.0, 1000.0)
        for name in list_names(count)
    }
    for number, zone in ((2, "zb"), (3, "zc")):
        member = support.make_member("n%d" % number, zone=zone)
        state.membership.add_candidate(member)
    workers = [
        support.make_entry("w%d" % number, slots=10_000)
        for number in range(WORKERS)
    ]
    support.reduce(state, events.ConfigurationUpdated(0.0, 1, limits))
    support.reduce(state, events.WorkersRead(0.0, workers))
    now = 0.0
    while now < 6.0:
        now += 0.05
        support.reduce(state, events.Tick(now))
    return state, now


def list_names(count):
    """Return the names of the workspaces."""
    return ["workspace-%d" % number for number in range(count)]


def time_decisions(state, now, names):
    """Return the mean time of a decision and of its report, in us."""
    spent = 0.0
    for number in range(DECISIONS):
        now += STEP_S
        attempt_id = "r%d:1" % number
        request = support.make_grant_request(
            attempt_id, workspace=names[number % len(names)]
        )
        event = events.MessageReceived(now, "10.0.0.9", request)
        began = time.perf_counter()
        out = support.reduce(state, event)
        spent += time.perf_counter() - began
        grant = support.select_effects(out, effects.Send)[0].message
        assert isinstance(grant, messages.Grant), grant
        report = support.make_report(attempt_id, grant.worker_id)
        support.deliver_message(state, report, now)
        if number % 100 == 0:
            support.reduce(state, events.Tick(now))
    return 1e6 * spent / DECISIONS


def time_admission(state, now, names):
    """Return the mean time of taking and confirming a token, in us."""
    quotas = state.quotas
    began = time.perf_counter()
    for number in range(DECISIONS):
        now += STEP_S
        limit = quotas.find_limit(names[number % len(names)])
        attempt_id = "s%d:1" % number
        quotas.record_demand(limit, now)
        assert quotas.try_take(attempt_id, limit, 2.0, now)
        assert quotas.confirm(attempt_id, now)
    return 1e6 * (time.perf_counter() - began) / DECISIONS


def time_tick(state, now, names):
    """Return the time of one check with all workspaces active, in us."""
    for name in names:
        limit = state.quotas.find_limit(name)
        state.quotas.record_demand(limit, now)
    began = time.perf_counter()
    handlers.fire_timer(node_state.QuotaTimer(), state, now + 0.2, [])
    return 1e6 * (time.perf_counter() - began)


def measure_memory(count):
    """Return the bytes of all buckets and of the tokens of 1,000 requests."""
    state, now = start_node(count)
    quotas = state.quotas
    names = list_names(count)
    tracemalloc.start()
    for name in names:
        quotas.record_demand(quotas.find_limit(name), now)
    buckets, _ = tracemalloc.get_traced_memory()
    for number in range(1000):
        limit = quotas.find_limit(names[number % count])
        quotas.try_take("memory-%d:1" % number, limit, 2.0, now)
    total, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return buckets, total - buckets


def main():
    """Print a line for each measurement."""
    for count in (0, *SIZES):
        state, now = start_node(count)
        names = list_names(count) or [""]
        decision = time_decisions(state, now, names)
        print("%6d workspaces: decision %.1f us" % (count, decision))
        if not count:
            continue
        state, now = start_node(count)
        admission = time_admission(state, now, names)
        tick = time_tick(state, now + DECISIONS * STEP_S, names)
        buckets, tokens = measure_memory(count)
        print(
            "       of it the quota %.1f us; check of all %.0f us;"
            " buckets %d B (%.0f each); 1,000 tokens %d B"
            % (admission, tick, buckets, buckets / count, tokens)
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
