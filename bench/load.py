"""Latency and retries under load, beside an ideal queue.

Real reducers of 48 nodes share workers of two slots; callers spread
evenly over the nodes, which is the worst case for the permits. The
same arrivals and service times go through an ideal single queue, the
least outstanding by local counts, and two choices with shedding.
"""

import collections
import heapq
import itertools
import random

import cyclopts

from bench import fakes

NODES = 48
WORKERS = 21
SLOTS = 2
MEAN = 0.08  # seconds
WARM = 12.0  # seconds
LOADS = (0.5, 0.7, 0.85, 1.2)
CAPACITY = WORKERS * SLOTS / MEAN  # requests a second
RETRY_PAUSE = 0.002  # seconds
MOST_RETRIES = 40
GOOD_RATIO = 1.15
GOOD_PUT = 0.95

app = cyclopts.App()


class Result:
    """What one policy gave; latencies in seconds."""

    __slots__ = ("name", "latencies", "retries", "goodput", "lies")

    def __init__(self, name, latencies, retries, goodput, lies=0):
        self.name = name
        self.latencies = sorted(latencies)
        self.retries = retries
        self.goodput = goodput
        self.lies = lies

    def quantile(self, share):
        """Return a quantile of the latencies in seconds."""
        if not self.latencies:
            return float("inf")
        last = len(self.latencies) - 1
        return self.latencies[min(last, int(share * len(self.latencies)))]


class Arrivals:
    """Seeded arrivals: pairs of time and service time, in seconds."""

    __slots__ = ("rows", "seconds")

    def __init__(self, load, seconds, seed):
        rng = random.Random(seed)
        worker = fakes.FakeWorker("w", "s", "a", SLOTS, MEAN, seed)
        self.seconds = seconds
        self.rows = []
        now = 0.0
        while now < seconds:
            now += rng.expovariate(load * CAPACITY)
            self.rows.append((now, worker.draw_time()))


def run_ideal(arrivals, slow=None):
    """One queue before all slots: the bound of what can be had."""
    free = [(0.0, n) for n in range(WORKERS * SLOTS)]
    heapq.heapify(free)
    latencies, done = [], 0
    for due, drawn in arrivals.rows:
        at, slot = heapq.heappop(free)
        drawn *= slow if slow and slot < SLOTS else 1.0
        end = max(due, at) + drawn
        heapq.heappush(free, (end, slot))
        latencies.append(end - due + 2 * fakes.HOP)
        done += end <= arrivals.seconds
    return Result("ideal queue", latencies, 0.0, done / arrivals.seconds)


def run_local(arrivals, seed, slow=None):
    """Each node takes the worker with its own fewest outstanding."""
    rng = random.Random(seed)
    counts = [[0] * WORKERS for _ in range(NODES)]
    queues = [collections.deque() for _ in range(WORKERS)]
    busy = [0] * WORKERS
    events, order = [], itertools.count()
    latencies, done = [], 0
    for due, drawn in arrivals.rows:
        heapq.heappush(events, (due, next(order), "come", None, drawn))
    while events:
        now, _, kind, item, drawn = heapq.heappop(events)
        if kind == "come":
            node = rng.randrange(NODES)
            least = min(counts[node])
            number = rng.choice(
                [n for n in range(WORKERS) if counts[node][n] == least]
            )
            counts[node][number] += 1
            queues[number].append((now, drawn, node))
        else:
            number, came, node = item
            counts[node][number] -= 1
            busy[number] -= 1
            latencies.append(now - came + 2 * fakes.HOP)
            done += now <= arrivals.seconds
        while queues[number] and busy[number] < SLOTS:
            came, length, node = queues[number].popleft()
            busy[number] += 1
            length *= slow if slow and number == 0 else 1.0
            item = (number, came, node)
            row = (now + length, next(order), "end", item, 0.0)
            heapq.heappush(events, row)
    return Result("least outstanding", latencies, 0.0, done / arrivals.seconds)


def run_choices(arrivals, seed, slow=None):
    """Two random choices by local counts; workers shed, nodes retry."""
    rng = random.Random(seed)
    busy = [0] * WORKERS
    counts = [[0] * WORKERS for _ in range(NODES)]
    events, order = [], itertools.count()
    latencies, retries, done = [], 0, 0
    for due, drawn in arrivals.rows:
        item = (due, rng.randrange(NODES), 0)
        heapq.heappush(events, (due, next(order), "try", item, drawn))
    while events:
        now, _, kind, item, drawn = heapq.heappop(events)
        if kind == "end":
            number, came, node = item
            busy[number] -= 1
            counts[node][number] -= 1
            latencies.append(now - came + 2 * fakes.HOP)
            done += now <= arrivals.seconds
            continue
        came, node, tries = item
        one, two = rng.sample(range(WORKERS), 2)
        number = one if counts[node][one] <= counts[node][two] else two
        if busy[number] >= SLOTS:
            retries += 1
            if tries < MOST_RETRIES:
                item = (came, node, tries + 1)
                again = now + RETRY_PAUSE
                row = (again, next(order), "try", item, drawn)
                heapq.heappush(events, row)
            continue
        busy[number] += 1
        counts[node][number] += 1
        drawn *= slow if slow and number == 0 else 1.0
        item = (number, came, node)
        heapq.heappush(events, (now + drawn, next(order), "end", item, 0.0))
    return Result(
        "two choices, shed",
        latencies,
        retries / len(arrivals.rows),
        done / arrivals.seconds,
    )


def run_fleet(arrivals, seed, slow=None):
    """The fleet's own permits, by real reducers in virtual time."""
    world = fakes.World(seed)
    world.add_workers("desk", WORKERS, SLOTS, MEAN)
    body = {"classes": {"checks": {"target": "quick", "within": 1.0}}}
    world.publish("c", {"desk": (0, body)})
    nodes = [world.add_node("n%d" % n, "abc"[n % 3]) for n in range(NODES)]
    world.run_for(WARM)
    if slow:
        world.workers["desk-1"].slow = slow
    start, told = world.now, []

    def send(number):
        entry = nodes[world.random.randrange(NODES)]
        told.append(world.request(entry, "desk", "r%d" % number))

    for number, (due, _) in enumerate(arrivals.rows):
        world.call_at(start + due, send, number)
    world.run_for(arrivals.seconds + 15.0)
    return summarize_fleet(world, told, start, arrivals)


def summarize_fleet(world, told, start, arrivals):
    """Return the Result of a run of the fleet."""
    ran = [t for t in told if t.outcome is fakes.Outcome.RAN]
    runs = world.count_runs()
    lies = sum(
        runs[t.label] > 0 for t in told if t.outcome is fakes.Outcome.NOT_RUN
    )
    total = sum(runs.values())
    done = sum(t.done_at <= start + arrivals.seconds for t in ran)
    return Result(
        "fleet",
        [t.latency for t in ran],
        max(0, total - len(ran)) / len(told),
        done / arrivals.seconds,
        lies,
    )


def print_results(load, results):
    """Print one load's rows; return whether the fleet's goals hold."""
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
                result.retries,
                result.goodput / CAPACITY,
            )
        )
    if load <= 1.0:
        ratio = fleet.quantile(0.99) / ideal.quantile(0.99)
        good = ratio <= GOOD_RATIO
        print("      p99 over the ideal queue: %.3f" % ratio)
    else:
        good = fleet.goodput >= GOOD_PUT * CAPACITY and not fleet.lies
        print("      refused but run: %d" % fleet.lies)
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
    print("one worker 10 times slow:")
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
