"""Detection time against false ejections, for both users' sizes.

The fleet's policy runs as in a keeper, with the evidence of 48
nodes. It is compared on the same seeds with two baselines, each with the
evidence of one node: ejection after five consecutive failures, the
default of sidecar proxies, and local averages of latency.
"""

import concurrent.futures
import heapq
import itertools
import math
import random

import cyclopts

from acaciafield import classes
from acaciafield import ejections
from bench import policies

SERVICE_TIME_SIGMA = 0.47  # of the natural logarithm of service times
MEAN_SERVICE_TIME_S = 0.08
WARM_UP_S = 10.0  # before a fault
OBSERVATION_S = 60.0  # after a fault
TICK_PERIOD_S = 0.1
REQUEST_TIMEOUT_S = 10.0
CURVE_THRESHOLDS = (9.0, 13.0, 16.0, 20.0, 24.0)
app = cyclopts.App()


class ServiceSize:
    """A user's service at half load."""

    __slots__ = ("name", "count", "slots", "caution")

    def __init__(self, name, count, slots, caution):
        self.name = name
        self.count = count
        self.slots = slots
        self.caution = caution

    @property
    def rate(self):
        """Requests per second at half of the capacity."""
        return 0.5 * self.count * self.slots / MEAN_SERVICE_TIME_S


SIZES = {
    "stavtind": ServiceSize(
        "stavtind prisliste 6x6", 6, 6, classes.Caution.QUICK_DETECTION
    ),
    "association": ServiceSize(
        "association stone-catalogue 10x2",
        10,
        2,
        classes.Caution.FEW_FALSE_EJECTIONS,
    ),
}


class Fault:
    """A fault from WARM_UP_S on, at the workers of its scope."""

    __slots__ = (
        "name",
        "slowdown",
        "is_stall",
        "error_share",
        "flap_period_s",
        "scope",
    )

    def __init__(
        self,
        name,
        slowdown=1.0,
        is_stall=False,
        error_share=0.0,
        flap_period_s=0.0,
        scope="one",
    ):
        self.name = name
        self.slowdown = slowdown
        self.is_stall = is_stall
        self.error_share = error_share
        self.flap_period_s = flap_period_s
        self.scope = scope

    def is_active(self, number, now):
        """Return whether the fault affects a worker now."""
        if now < WARM_UP_S:
            return False
        if (
            self.flap_period_s
            and int((now - WARM_UP_S) / self.flap_period_s) % 2
        ):
            return False
        if self.scope == "one":
            return number == 1
        if self.scope == "zone":
            return number % 3 == 1
        return self.scope == "all"


FAULTS = (
    Fault("stall, probes answer", is_stall=True),
    Fault("3 times slow", slowdown=3.0),
    Fault("10 times slow", slowdown=10.0),
    Fault("20% errors", error_share=0.2),
    Fault("flapping 5 s, 10 times slow", slowdown=10.0, flap_period_s=5.0),
    Fault("answers cut one way", is_stall=True),
    Fault("silent connections", scope="silent"),
    Fault("whole service 3 times slow", slowdown=3.0, scope="all"),
    Fault("whole zone 3 times slow", slowdown=3.0, scope="zone"),
)
NO_FAULT = Fault("none", scope="none")


class PolicyRun:
    """One seeded run of one policy through one fault."""

    def __init__(self, policy, size, fault, seed, duration_s):
        self.policy = policy
        self.size = size
        self.fault = fault
        self.rng = random.Random(seed)
        self.choices = random.Random(seed + 1)
        self.duration_s = duration_s
        self.pending_ends = []
        self.unresponsive_workers = set()
        self.request_ids = itertools.count()

    def run(self):
        """Run for ``duration_s`` of virtual time."""
        due, tick = self.rng.expovariate(self.size.rate), TICK_PERIOD_S
        if self.fault.scope == "silent":
            heapq.heappush(self.pending_ends, (WARM_UP_S, -1, 0, 0, 0, 0, 0))
        while due < self.duration_s:
            end = self.pending_ends[0][0] if self.pending_ends else math.inf
            if tick <= due and tick <= end:
                recovered_workers = self.policy.tick(tick)
                self.unresponsive_workers -= recovered_workers
                tick += TICK_PERIOD_S
            elif end <= due:
                self._end_request(heapq.heappop(self.pending_ends))
            else:
                self._start_request(due)
                due += self.rng.expovariate(self.size.rate)

    def _start_request(self, now):
        node = self.rng.randrange(policies.NODE_COUNT)
        service_time = self.rng.lognormvariate(
            math.log(MEAN_SERVICE_TIME_S)
            - SERVICE_TIME_SIGMA * SERVICE_TIME_SIGMA / 2,
            SERVICE_TIME_SIGMA,
        )
        error_draw = self.rng.random()
        request = next(self.request_ids)
        for _ in range(3):
            number = self.policy.choose(node, self.choices, now)
            if number is None:
                return
            if self.policy.start(number, request, node, now):
                self._schedule_end(
                    now, number, request, node, service_time, error_draw
                )
                return

    def _schedule_end(
        self, now, number, request, node, service_time, error_draw
    ):
        failed, is_unanswered = False, False
        if self.fault.is_active(number, now):
            service_time *= self.fault.slowdown
            failed = error_draw < self.fault.error_share
            if self.fault.is_stall:
                service_time, failed = REQUEST_TIMEOUT_S, True
        if number in self.unresponsive_workers and not self._is_fresh(
            number, request
        ):
            service_time, failed, is_unanswered = REQUEST_TIMEOUT_S, True, True
        row = (
            now + service_time,
            request,
            number,
            service_time,
            failed,
            is_unanswered,
            node,
        )
        heapq.heappush(self.pending_ends, row)

    def _is_fresh(self, number, request):
        if not isinstance(self.policy, policies.KeeperPolicy):
            return False
        return self.policy.workers[number].in_flight[request].fresh

    def _end_request(self, row):
        now, request, number, latency, failed, is_unanswered, _node = row
        if request < 0:
            self.unresponsive_workers = {1}
            return
        self.policy.end(number, request, latency, failed, is_unanswered, now)


def run_fault(name, size_name, fault, seed):
    """Return the detection time in seconds or None, and false ejections."""
    size = SIZES[size_name]
    policy = policies.POLICIES[name](size)
    PolicyRun(policy, size, fault, seed, WARM_UP_S + OBSERVATION_S).run()
    faulty = {1} if fault.scope == "one" else set()
    false_ejections = sum(
        policy.count_ejections(n) for n in range(size.count) if n not in faulty
    )
    detected_at = policy.ejected_at.get(1) if faulty else None
    return (
        None if detected_at is None else detected_at - WARM_UP_S
    ), false_ejections


def run_healthy(name, size_name, threshold, seed, hours):
    """Return the false ejections in ``hours`` without a fault."""
    size = SIZES[size_name]
    if name == "keeper":
        policy = policies.KeeperPolicy(size, threshold)
    else:
        policy = policies.POLICIES[name](size)
    PolicyRun(policy, size, NO_FAULT, seed, hours * 3600.0).run()
    return sum(policy.count_ejections(n) for n in range(size.count))


def run_stall(size_name, threshold, seed):
    """Return the detection time in seconds of a stall at a threshold."""
    size = SIZES[size_name]
    policy = policies.KeeperPolicy(size, threshold)
    PolicyRun(policy, size, FAULTS[0], seed, WARM_UP_S + 20.0).run()
    detected_at = policy.ejected_at.get(1)
    return math.inf if detected_at is None else detected_at - WARM_UP_S


def find_quantile(times, quantile):
    """Return a quantile of times, with None as infinity."""
    sorted_times = sorted(math.inf if t is None else t for t in times)
    return sorted_times[
        min(len(sorted_times) - 1, int(quantile * len(sorted_times)))
    ]


def print_faults(pool, seeds):
    """Print detection times and false ejections by fault and policy."""
    print("detection s: median / p99; false: healthy workers ejected")
    for size_name, size in SIZES.items():
        print("\n%s, half load, %d seeds" % (size.name, seeds))
        for fault in FAULTS:
            cells = []
            for name in policies.POLICIES:
                jobs = [
                    pool.submit(run_fault, name, size_name, fault, seed)
                    for seed in range(seeds)
                ]
                rows = [job.result() for job in jobs]
                times = [detected_at for detected_at, _ in rows]
                false_ejections = sum(count for _, count in rows)
                if fault.scope == "one":
                    cells.append(
                        "%s %6.2f /%6.2f false %d"
                        % (
                            name,
                            find_quantile(times, 0.5),
                            find_quantile(times, 0.99),
                            false_ejections,
                        )
                    )
                else:
                    cells.append("%s false %d" % (name, false_ejections))
            print("%-30s %s" % (fault.name, " | ".join(cells)), flush=True)


def print_curve(pool, seeds, hours):
    """Print detection times of a stall against false ejections."""
    print("\ncurve: detection of a stall (s) against false ejections")
    for size_name, size in SIZES.items():
        for threshold in CURVE_THRESHOLDS:
            stalls = [
                pool.submit(run_stall, size_name, threshold, seed)
                for seed in range(seeds)
            ]
            run_hours = hours / size.count / 8
            healthy = [
                pool.submit(
                    run_healthy,
                    "keeper",
                    size_name,
                    threshold,
                    seed,
                    run_hours,
                )
                for seed in range(8)
            ]
            times = [job.result() for job in stalls]
            false_ejections = sum(job.result() for job in healthy)
            is_default = (
                ejections.EJECTION_THRESHOLDS[size.caution] == threshold
            )
            print(
                "%s threshold %4.1f%s: median %.2f p99 %.2f; false %d in "
                "%.0f worker-hours"
                % (
                    size.name,
                    threshold,
                    " (used)" if is_default else "",
                    find_quantile(times, 0.5),
                    find_quantile(times, 0.99),
                    false_ejections,
                    hours,
                ),
                flush=True,
            )


def print_baselines(pool, hours):
    """Print the false ejections of the baselines without a fault."""
    for size_name, size in SIZES.items():
        for name in ("failures", "averages"):
            run_hours = hours / size.count / 4
            jobs = [
                pool.submit(
                    run_healthy, name, size_name, None, seed, run_hours
                )
                for seed in range(4)
            ]
            false_ejections = sum(job.result() for job in jobs)
            print(
                "%s %s: false %d (by single nodes) in %.0f worker-hours"
                % (size.name, name, false_ejections, hours),
                flush=True,
            )


@app.default
def run_bench(*, seeds: int = 30, hours: float = 100.0, processes: int = 4):
    """Print the tables, with ``hours`` worker-hours per curve point."""
    with concurrent.futures.ProcessPoolExecutor(processes) as pool:
        print_faults(pool, seeds)
        print_curve(pool, seeds, hours)
        print_baselines(pool, min(hours, 20.0))


if __name__ == "__main__":
    app()
