"""Detection time against false ejections, for both users' sizes.

The judge runs as in the keeper, with the evidence of 48 nodes. Beside
it, on the same seeds: five consecutive failures as sidecar proxies
ship it, and local averages of latency, each on the evidence that one
node has.
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

SIGMA = 0.47  # of the natural logarithm of service times
MEAN = 0.08  # seconds
WARM = 10.0  # seconds before a fault
WATCH = 60.0  # seconds after a fault
TICK = 0.1  # seconds
DEADLINE = 10.0  # seconds after which a request is given up
STEPS = (9.0, 13.0, 16.0, 20.0, 24.0)  # thresholds of the curve
app = cyclopts.App()


class Size:
    """A user's service at half load."""

    __slots__ = ("name", "count", "slots", "caution")

    def __init__(self, name, count, slots, caution):
        self.name = name
        self.count = count
        self.slots = slots
        self.caution = caution

    @property
    def rate(self):
        """Requests a second at half of capacity."""
        return 0.5 * self.count * self.slots / MEAN


SIZES = {
    "stavtind": Size(
        "stavtind prisliste 6x6", 6, 6, classes.Caution.QUICK_DETECTION
    ),
    "association": Size(
        "association stone-catalogue 10x2",
        10,
        2,
        classes.Caution.FEW_FALSE_EJECTIONS,
    ),
}


class Fault:
    """What goes wrong from WARM on; one worker, or those of a set."""

    __slots__ = ("name", "slow", "stall", "errors", "flap", "scope")

    def __init__(
        self, name, slow=1.0, stall=False, errors=0.0, flap=0.0, scope="one"
    ):
        self.name = name
        self.slow = slow
        self.stall = stall
        self.errors = errors
        self.flap = flap
        self.scope = scope

    def hits(self, number, now):
        """Tell whether the fault shows at a worker now."""
        if now < WARM:
            return False
        if self.flap and int((now - WARM) / self.flap) % 2:
            return False
        if self.scope == "one":
            return number == 1
        if self.scope == "zone":
            return number % 3 == 1
        return self.scope == "all"


FAULTS = (
    Fault("stall, probes answer", stall=True),
    Fault("3 times slow", slow=3.0),
    Fault("10 times slow", slow=10.0),
    Fault("20% errors", errors=0.2),
    Fault("flapping 5 s, 10 times slow", slow=10.0, flap=5.0),
    Fault("answers cut one way", stall=True),
    Fault("silent connections", scope="silent"),
    Fault("whole service 3 times slow", slow=3.0, scope="all"),
    Fault("whole zone 3 times slow", slow=3.0, scope="zone"),
)
NO_FAULT = Fault("none", scope="none")


class Run:
    """One seeded run of one policy through one fault."""

    def __init__(self, policy, size, fault, seed, seconds):
        self.policy = policy
        self.size = size
        self.fault = fault
        self.rng = random.Random(seed)
        self.choices = random.Random(seed + 1)
        self.seconds = seconds
        self.ends = []
        self.silent = set()
        self.numbers = itertools.count()

    def run(self):
        """Run to the end."""
        due, tick = self.rng.expovariate(self.size.rate), TICK
        if self.fault.scope == "silent":
            heapq.heappush(self.ends, (WARM, -1, 0, 0, 0, 0, 0))
        while due < self.seconds:
            end = self.ends[0][0] if self.ends else math.inf
            if tick <= due and tick <= end:
                healed = self.policy.tick(tick)
                self.silent -= healed
                tick += TICK
            elif end <= due:
                self._end(heapq.heappop(self.ends))
            else:
                self._arrive(due)
                due += self.rng.expovariate(self.size.rate)

    def _arrive(self, now):
        node = self.rng.randrange(policies.NODES)
        drawn = self.rng.lognormvariate(
            math.log(MEAN) - SIGMA * SIGMA / 2, SIGMA
        )
        error = self.rng.random()
        request = next(self.numbers)
        for _ in range(3):
            number = self.policy.choose(node, self.choices, now)
            if number is None:
                return
            if self.policy.start(number, request, node, now):
                self._plan_end(now, number, request, node, drawn, error)
                return

    def _plan_end(self, now, number, request, node, drawn, error):
        failed, silent = False, False
        if self.fault.hits(number, now):
            drawn *= self.fault.slow
            failed = error < self.fault.errors
            if self.fault.stall:
                drawn, failed = DEADLINE, True
        if number in self.silent and not self._is_fresh(number, request):
            drawn, failed, silent = DEADLINE, True, True
        row = (now + drawn, request, number, drawn, failed, silent, node)
        heapq.heappush(self.ends, row)

    def _is_fresh(self, number, request):
        if not isinstance(self.policy, policies.Keeper):
            return False
        return self.policy.workers[number].flights[request].fresh

    def _end(self, row):
        now, request, number, latency, failed, silent, _node = row
        if request < 0:
            self.silent = {1}
            return
        self.policy.end(number, request, latency, failed, silent, now)


def run_fault(name, size_name, fault, seed):
    """Return (detection seconds or None, false ejections)."""
    size = SIZES[size_name]
    policy = policies.POLICIES[name](size)
    Run(policy, size, fault, seed, WARM + WATCH).run()
    sick = {1} if fault.scope == "one" else set()
    wrong = sum(
        policy.count_ejections(n) for n in range(size.count) if n not in sick
    )
    seen = policy.out_at.get(1) if sick else None
    return (None if seen is None else seen - WARM), wrong


def run_healthy(name, size_name, threshold, seed, hours):
    """Return false ejections in so many service-hours without fault."""
    size = SIZES[size_name]
    if name == "keeper":
        policy = policies.Keeper(size, threshold)
    else:
        policy = policies.POLICIES[name](size)
    Run(policy, size, NO_FAULT, seed, hours * 3600.0).run()
    return sum(policy.count_ejections(n) for n in range(size.count))


def run_stall(size_name, threshold, seed):
    """Return the detection time of a stall at a threshold."""
    size = SIZES[size_name]
    policy = policies.Keeper(size, threshold)
    Run(policy, size, FAULTS[0], seed, WARM + 20.0).run()
    seen = policy.out_at.get(1)
    return math.inf if seen is None else seen - WARM


def find_quantile(times, share):
    """Return a quantile of times; None counts as never."""
    known = sorted(math.inf if t is None else t for t in times)
    return known[min(len(known) - 1, int(share * len(known)))]


def print_faults(pool, seeds):
    """Print detection and false ejections of each fault and policy."""
    print("detection s: median / p99; false: healthy workers taken out")
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
                times = [seen for seen, _ in rows]
                wrong = sum(count for _, count in rows)
                if fault.scope == "one":
                    cells.append(
                        "%s %6.2f /%6.2f false %d"
                        % (
                            name,
                            find_quantile(times, 0.5),
                            find_quantile(times, 0.99),
                            wrong,
                        )
                    )
                else:
                    cells.append("%s false %d" % (name, wrong))
            print("%-30s %s" % (fault.name, " | ".join(cells)), flush=True)


def print_curve(pool, seeds, hours):
    """Print detection of a stall against false ejections."""
    print("\ncurve: a stall seen (s) against false ejections")
    for size_name, size in SIZES.items():
        for threshold in STEPS:
            stalls = [
                pool.submit(run_stall, size_name, threshold, seed)
                for seed in range(seeds)
            ]
            part = hours / size.count / 8
            healthy = [
                pool.submit(
                    run_healthy, "keeper", size_name, threshold, seed, part
                )
                for seed in range(8)
            ]
            times = [job.result() for job in stalls]
            wrong = sum(job.result() for job in healthy)
            used = ejections.THRESHOLDS[size.caution] == threshold
            print(
                "%s threshold %4.1f%s: median %.2f p99 %.2f; false %d in "
                "%.0f worker-hours"
                % (
                    size.name,
                    threshold,
                    " (used)" if used else "",
                    find_quantile(times, 0.5),
                    find_quantile(times, 0.99),
                    wrong,
                    hours,
                ),
                flush=True,
            )


def print_baselines(pool, hours):
    """Print the baselines' false ejections without any fault."""
    for size_name, size in SIZES.items():
        for name in ("failures", "averages"):
            part = hours / size.count / 4
            jobs = [
                pool.submit(run_healthy, name, size_name, None, seed, part)
                for seed in range(4)
            ]
            wrong = sum(job.result() for job in jobs)
            print(
                "%s %s: false %d (by single nodes) in %.0f worker-hours"
                % (size.name, name, wrong, hours),
                flush=True,
            )


@app.default
def run_bench(*, seeds: int = 30, hours: float = 100.0, processes: int = 4):
    """Print the tables; ``hours`` are worker-hours of each curve point."""
    with concurrent.futures.ProcessPoolExecutor(processes) as pool:
        print_faults(pool, seeds)
        print_curve(pool, seeds, hours)
        print_baselines(pool, min(hours, 20.0))


if __name__ == "__main__":
    app()
