"""Latency and retries under load, compared with an ideal queue.

Real reducers of 48 nodes share workers of two slots. Callers spread
evenly over the nodes, which is the worst case for the permits. The
same arrivals and service times go through an ideal single queue, least
outstanding requests by local counts, and two random choices with
shedding.
"""

import collections
import heapq
import itertools
import random

import cyclopts

from bench import simulation

NODE_COUNT = 48
WORKER_COUNT = 21
SLOTS_PER_WORKER = 2
MEAN_SERVICE_TIME_S = 0.08
WARM_UP_S = 12.0
LOADS = (0.5, 0.7, 0.85, 1.2)
CAPACITY_PER_S = WORKER_COUNT * SLOTS_PER_WORKER / MEAN_SERVICE_TIME_S
RETRY_PAUSE_S = 0.002
MAX_RETRIES = 40
MAX_P99_RATIO = 1.15
MIN_GOODPUT_SHARE = 0.95

app = cyclopts.App()


class Result:
    """The result of one policy; latencies in seconds, goodput per second.

    ``extra_run_ratio`` is the number of retries or extra runs per request.
    """

    __slots__ = (
        "name",
        "latencies",
        "extra_run_ratio",
        "goodput",
        "wrong_refusals",
    )

    def __init__(
        self, name, latencies, extra_run_ratio, goodput, wrong_refusals=0
    ):
        self.name = name
        self.latencies = sorted(latencies)
        self.extra_run_ratio = extra_run_ratio
        self.goodput = goodput
        self.wrong_refusals = wrong_refusals

    def quantile(self, share):
        """Return a quantile of the latencies in seconds."""
        if not self.latencies:
            return float("inf")
        last = len(self.latencies) - 1
        return self.latencies[min(last, int(share * len(self.latencies)))]


class Arrivals:
    """Random arrivals: pairs of arrival and service time, in seconds."""

    __slots__ = ("rows", "seconds")

    def __init__(self, load, seconds, seed):
        rng = random.Random(seed)
        worker = simulation.FakeWorker(
            "w", "s", "a", SLOTS_PER_WORKER, MEAN_SERVICE_TIME_S, seed
        )
        self.seconds = seconds
        self.rows = []
        now = 0.0
        while now < seconds:
            now += rng.expovariate(load * CAPACITY_PER_S)
            self.rows.append((now, worker.draw_service_time()))


def run_ideal(arrivals, slow_factor=None):
    """Run one queue for all slots, the best case that is possible."""
    free = [(0.0, n) for n in range(WORKER_COUNT * SLOTS_PER_WORKER)]
    heapq.heapify(free)
    latencies, done_count = [], 0
    for due, drawn in arrivals.rows:
        free_at, slot = heapq.heappop(free)
        drawn *= (
            slow_factor if slow_factor and slot < SLOTS_PER_WORKER else 1.0
        )
        end = max(due, free_at) + drawn
        heapq.heappush(free, (end, slot))
        latencies.append(end - due + 2 * simulation.NODE_DELAY_S)
        done_count += end <= arrivals.seconds
    return Result("ideal queue", latencies, 0.0, done_count / arrivals.seconds)


def run_local(arrivals, seed, slow_factor=None):
    """Send each request to the worker with the fewest of its node."""
    rng = random.Random(seed)
    counts = [[0] * WORKER_COUNT for _ in range(NODE_COUNT)]
    queues = [collections.deque() for _ in range(WORKER_COUNT)]
    busy = [0] * WORKER_COUNT
    events, order = [], itertools.count()
    latencies, done_count = [], 0
    for due, drawn in arrivals.rows:
        heapq.heappush(events, (due, next(order), "come", None, drawn))
    while events:
        now, _, kind, item, drawn = heapq.heappop(events)
        if kind == "come":
            node = rng.randrange(NODE_COUNT)
            least = min(counts[node])
            number = rng.choice(
                [n for n in range(WORKER_COUNT) if counts[node][n] == least]
            )
            counts[node][number] += 1
            queues[number].append((now, drawn, node))
        else:
            number, arrived_at, node = item
            counts[node][number] -= 1
            busy[number] -= 1
            latencies.append(now - arrived_at + 2 * simulation.NODE_DELAY_S)
            done_count += now <= arrivals.seconds
        while queues[number] and busy[number] < SLOTS_PER_WORKER:
            arrived_at, length, node = queues[number].popleft()
            busy[number] += 1
            length *= slow_factor if slow_factor and number == 0 else 1.0
            item = (number, arrived_at, node)
            row = (now + length, next(order), "end", item, 0.0)
            heapq.heappush(events, row)
    return Result(
        "least outstanding", latencies, 0.0, done_count / arrivals.seconds
    )


def run_choices(arrivals, seed, slow_factor=None):
    """Compare two random workers by local counts; retry shed requests."""
    rng = random.Random(seed)
    busy = [0] * WORKER_COUNT
    counts = [[0] * WORKER_COUNT for _ in range(NODE_COUNT)]
    events, order = [], itertools.count()
    latencies, retries, done_count = [], 0, 0
    for due, drawn in arrivals.rows:
        item = (due, rng.randrange(NODE_COUNT), 0)
        heapq.heappush(events, (due, next(order), "try", item, drawn))
    while events:
        now, _, kind, item, drawn = heapq.heappop(events)
        if kind == "end":
            number, arrived_at, node = item
            busy[number] -= 1
            counts[node][number] -= 1
            latencies.append(now - arrived_at + 2 * simulation.NODE_DELAY_S)
            done_count += now <= arrivals.seconds
            continue
        arrived_at, node, tries = item
        one, two = rng.sample(range(WORKER_COUNT), 2)
        number = one if counts[node][one] <= counts[node][two] else two
        if busy[number] >= SLOTS_PER_WORKER:
            retries += 1
            if tries < MAX_RETRIES:
                item = (arrived_at, node, tries + 1)
                retry_at = now + RETRY_PAUSE_S
                row = (retry_at, next(order), "try", item, drawn)
                heapq.heappush(events, row)
            continue
        busy[number] += 1
        counts[node][number] += 1
        drawn *= slow_factor if slow_factor and number == 0 else 1.0
        item = (number, arrived_at, node)
        heapq.heappush(events, (now + drawn, next(order), "end", item, 0.0))
    return Result(
        "two choices, shed",
        latencies,
        retries / len(arrivals.rows),
        done_count / arrivals.seconds,
    )


def run_fleet(arrivals, seed, slow_factor=None):
    """Run the fleet's permits by real reducers in virtual time."""
    world = simulation.World(seed)
    world.add_workers(
        "desk", WORKER_COUNT, SLOTS_PER_WORKER, MEAN_SERVICE_TIME_S
    )
    body = {"classes": {"checks": {"target": "quick", "within": 1.0}}}
    world.append_change("c", {"desk": (0, body)})
    nodes = [
        world.add_node("n%d" % n, "abc"[n % 3]) for n in range(NODE_COUNT)
    ]
    world.run_for(WARM_UP_S)
    if slow_factor:
        world.workers["desk-1"].slowdown = slow_factor
    start, results = world.now, []

    def send(number):
        entry = nodes[world.random.randrange(NODE_COUNT)]
        results.append(world.send_request(entry, "desk", "r%d" % number))

    for number, (due, _) in enumerate(arrivals.rows):
        world.call_at(start + due, send, number)
    world.run_for(arrivals.seconds + 15.0)
    return summarize_fleet(world, results, start, arrivals)


def summarize_fleet(world, results, start, arrivals):
    """Return the Result of one run of the fleet."""
    ran = [t for t in results if t.outcome is simulation.Outcome.RAN]
    runs = world.count_runs()
    wrong_refusals = sum(
        runs[t.label] > 0
        for t in results
        if t.outcome is simulation.Outcome.NOT_RUN
    )
    total = sum(runs.values())
    done_count = sum(t.ended_at <= start + arrivals.seconds for t in ran)
    return Result(
        "fleet",
        [t.latency for t in ran],
        max(0, total - len(ran)) / len(results),
        done_count / arrivals.seconds,
        wrong_refusals,
    )


def print_results(load, results):
    """Print the rows of one load; return whether the fleet meets its goal."""
    ideal, fleet = results[0], results[-1]
    for result in results:
        print(
            "%4.2f  %-18s p50 %6.0f  p99 %6.0f ms  extra runs %.3f  "
            "goodput %.2f of capacity"
            % (
                load,
                result.name,
                1000 * result.quantile(0.5),
                1000 * result.quantile(0.99),
                result.extra_run_ratio,
                result.goodput / CAPACITY_PER_S,
            )
        )
    if load <= 1.0:
        ratio = fleet.quantile(0.99) / ideal.quantile(0.99)
        good = ratio <= MAX_P99_RATIO
        print("      p99 over the ideal queue: %.3f" % ratio)
    else:
        good = (
            fleet.goodput >= MIN_GOODPUT_SHARE * CAPACITY_PER_S
            and not fleet.wrong_refusals
        )
        print("      refused but run: %d" % fleet.wrong_refusals)
    print("      goal %s" % ("met" if good else "MISSED"), flush=True)
    return good


@app.default
def run_bench(*, seconds: float = 30.0, seed: int = 1):
    """Print the tables."""
    for load in LOADS:
        arrivals = Arrivals(load, seconds, seed)
        print_results(
            load,
            [
                run_ideal(arrivals),
                run_local(arrivals, seed),
                run_choices(arrivals, seed),
                run_fleet(arrivals, seed),
            ],
        )
    print("one worker 10 times slower:")
    arrivals = Arrivals(0.7, seconds, seed)
    print_results(
        0.7,
        [
            run_ideal(arrivals),
            run_local(arrivals, seed, 10.0),
            run_choices(arrivals, seed, 10.0),
            run_fleet(arrivals, seed, 10.0),
        ],
    )


if __name__ == "__main__":
    app()
