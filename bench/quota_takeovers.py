"""Requests refused below the limit when coordinators change.

Run as ``python -m bench.quota_takeovers``. The load is that of the bookings
deployment, with limits of 1.6 times the usual load; virtual time.
"""

import collections
import random
import sys

from tests import gateway_quota_simulation as simulation
from tests import gateway_support as support

WORKSPACES = 87
LARGE = 3  # these have half of the requests
LARGE_RATE = 60.0
SMALL_RATE = 2.0
LIMIT_RATIO = 1.6
BEGIN_S, FAILURE_S, END_S = 6.0, 10.0, 24.0
FAILURE_TIME_S = 9.0  # for which the store refuses hosts
MIN_DOWNTIME_S, MAX_DOWNTIME_S = 0.5, 1.2


def start_usual_load(fleet):
    """Start a fleet with limits; return the usual load by workspace."""
    loads = {
        "w%d" % number: LARGE_RATE if number < LARGE else SMALL_RATE
        for number in range(WORKSPACES)
    }
    limits = simulation.make_limits(
        **{
            name: (LIMIT_RATIO * load, LIMIT_RATIO * load)
            for name, load in loads.items()
        }
    )
    fleet.start()
    fleet.configure(limits)
    fleet.run_until(BEGIN_S)
    return loads


def start_fleet(seed, hosts=5):
    """Return a fleet in three zones under the usual load."""
    fleet = simulation.QuotaFleet(random.Random(seed), zones=3, count=hosts)
    loads = start_usual_load(fleet)
    for name, load in loads.items():
        fleet.plan_load(name, load, BEGIN_S, END_S)
    return fleet


def plan_restart(fleet):
    """Plan a loss of power of all hosts, which restart one by one."""
    fleet.plan(
        FAILURE_S,
        lambda now: fleet.restart(MIN_DOWNTIME_S, MAX_DOWNTIME_S),
    )


def plan_refusals(fleet):
    """Plan a store that refuses a third of the hosts, others each second.

    The coordinators are among them, so that each second one zone changes
    its coordinator.
    """

    def refuse(now):
        coordinators = {
            zone: fleet.find_coordinator(zone, now)
            for zone in ("z0", "z1", "z2")
        }
        zone = coordinators["z1"]
        others = sorted(set(fleet.states) - set(coordinators.values()))
        count = len(fleet.states) // 3 - len(coordinators)
        if not fleet.refused:
            fleet.refused = set(coordinators.values())
            fleet.refused |= set(fleet.random.sample(others, count))
        else:
            old = [n for n in fleet.refused if is_in_zone(fleet, n, "z1")]
            fleet.refused -= set(old)
            fleet.refused.add(zone)

    def heal(now):
        fleet.refused = set()

    for number in range(int(FAILURE_TIME_S)):
        fleet.plan(FAILURE_S + number, refuse)
    fleet.plan(FAILURE_S + FAILURE_TIME_S, heal)


def is_in_zone(fleet, name, zone):
    """Return whether a node is in a zone."""
    return fleet.states[name].local_member.zone == zone


def measure_refusals(plan, seed):
    """Return the refusals in each second, the number of starts, the worst.

    The worst is the largest part of a limit that a window contains.
    """
    fleet = start_fleet(seed)
    plan(fleet)
    fleet.run_until(END_S + 1.0)
    rows = [row for found in fleet.refusals.values() for row in found]
    seconds = collections.Counter(
        int(at - FAILURE_S) for at, reason, _ in rows if reason == "quota"
    )
    worst = max(
        simulation.find_fullest_window(
            fleet.starts[name], support.TERMS.quota_window
        )[0]
        / simulation.find_bound(limit, support.TERMS)
        for name, limit in fleet.limits.items()
    )
    return seconds, sum(map(len, fleet.starts.values())), worst


def main(arguments):
    """Print the refusals for both situations."""
    seeds = range(int(arguments[0]) if arguments else 2)
    for plan in (plan_restart, plan_refusals):
        for seed in seeds:
            seconds, started, worst = measure_refusals(plan, seed)
            print(
                "%s, seed %d: refused %d, started %d, worst window %.2f,"
                " refused in each second %s"
                % (
                    plan.__name__,
                    seed,
                    seconds.total(),
                    started,
                    worst,
                    [seconds[second] for second in range(14)],
                )
            )
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
