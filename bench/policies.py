"""The judge and the baselines that the detection bench compares."""

from acaciafield import ejections
from acaciafield import keeping as keepings
from acaciafield import messages
from acaciafield import workers

NODES = 48
STALL_AGE = 2.0  # seconds after which a sidecar gives a request up
Status = workers.Status


class Keeper:
    """The fleet's judge: one keeper with all nodes' evidence."""

    def __init__(self, size, threshold=None):
        self.keeping = keepings.Keeping("s", 0.0)
        self.keeping.caution = size.caution
        hosts = [
            messages.HostEntry(str(n), "", "abc"[n % 3], slots=size.slots)
            for n in range(size.count)
        ]
        keepings.take_hosts(self.keeping, hosts, 100.0, [])
        self.workers = list(self.keeping.workers.values())
        self.thresholds = dict(ejections.THRESHOLDS)
        if threshold is not None:
            self.thresholds[size.caution] = threshold
        self.out_at = {}

    def choose(self, node, rng, now):
        """Return the number of a worker with a free slot, or None."""
        best, best_rank = None, None
        for number, worker in enumerate(self.workers):
            if worker.count_free(now) <= 0:
                continue
            canary = worker.status is not Status.HEALTHY
            rank = (not canary, len(worker.flights), rng.random())
            if best is None or rank < best_rank:
                best, best_rank = number, rank
        return best

    def start(self, number, request, node, now):
        """Give a worker a request; return whether it got a slot."""
        worker = self.workers[number]
        flight = workers.Flight(request, str(number), node, "", now)
        flight.fresh = worker.status is not Status.HEALTHY
        worker.flights[request] = flight
        return True

    def end(self, number, request, latency, failed, silent, now):
        """Take in how a request ended."""
        worker = self.workers[number]
        flight = worker.flights.pop(request, None)
        if flight is None:
            return
        keeping = self.keeping
        if silent and not flight.fresh:
            ejections.add_silence(keeping, worker, flight, latency, now)
            return
        ejections.add_result(
            keeping, worker, flight, latency, failed, False, now, []
        )

    def tick(self, now):
        """Judge."""
        ejections.THRESHOLDS.update(self.thresholds)
        ejections.judge_workers(self.keeping, now, [])
        for number, worker in enumerate(self.workers):
            if worker.status in (Status.SUSPECT, Status.EJECTED):
                self.out_at.setdefault(number, now)
        silent, self.keeping.silent = self.keeping.silent, set()
        return {int(worker_id) for _, worker_id in silent}

    def count_ejections(self, number):
        """Return how often a worker was taken out."""
        return self.workers[number].ejections


class Sidecars:
    """Base of the baselines: each node judges by what it saw itself."""

    def __init__(self, size):
        self.size = size
        self.busy = [set() for _ in range(size.count)]
        self.until = [[0.0] * size.count for _ in range(NODES)]
        self.counts = [0] * size.count
        self.out_at = {}
        self.requests = {}

    def choose(self, node, rng, now):
        """Return a random worker that the node has not ejected."""
        until = self.until[node]
        usable = [n for n, end in enumerate(until) if now >= end]
        return rng.choice(usable or list(range(self.size.count)))

    def start(self, number, request, node, now):
        """Give a worker a request; it sheds when its slots are full."""
        self.requests[request] = node
        if len(self.busy[number]) >= self.size.slots:
            self.note(node, number, 0.001, True, now)
            return False
        self.busy[number].add(request)
        return True

    def end(self, number, request, latency, failed, silent, now):
        """Take in how a request ended, as its node sees it."""
        self.busy[number].discard(request)
        node = self.requests.pop(request)
        failed = failed or latency >= STALL_AGE
        self.note(node, number, min(latency, STALL_AGE), failed, now)

    def eject(self, node, number, now):
        """Take a worker out for one node, up to 10% of the workers."""
        until = self.until[node]
        out = sum(now < end for end in until)
        if out >= max(1, self.size.count // 10):
            return
        self.until[node][number] = now + 30.0
        self.counts[number] += 1
        half = sum(now < u[number] for u in self.until) >= NODES // 2
        if half:
            self.out_at.setdefault(number, now)

    def count_ejections(self, number):
        """Return how often nodes took a worker out."""
        return self.counts[number]


class Failures(Sidecars):
    """Five consecutive failures, swept every 10 s."""

    def __init__(self, size):
        super().__init__(size)
        self.rows = [[0] * size.count for _ in range(NODES)]
        self.swept = 0.0

    def note(self, node, number, latency, failed, now):
        """Count failures in a row."""
        row = self.rows[node]
        row[number] = row[number] + 1 if failed else 0

    def tick(self, now):
        """Sweep."""
        if now - self.swept < 10.0:
            return set()
        self.swept = now
        for node, row in enumerate(self.rows):
            for number, count in enumerate(row):
                if count >= 5 and now >= self.until[node][number]:
                    self.eject(node, number, now)
                    row[number] = 0
        return set()


class Averages(Sidecars):
    """Local averages: out when 3 times slower than the others."""

    def __init__(self, size):
        super().__init__(size)
        self.means = [[None] * size.count for _ in range(NODES)]
        self.seen = [[0] * size.count for _ in range(NODES)]

    def note(self, node, number, latency, failed, now):
        """Move the average, and compare it."""
        if failed and latency < 0.01:
            return
        means, seen = self.means[node], self.seen[node]
        mean = means[number]
        means[number] = (
            latency if mean is None else mean + 0.2 * (latency - mean)
        )
        seen[number] += 1
        others = [
            m for n, m in enumerate(means) if n != number and m is not None
        ]
        if seen[number] < 5 or len(others) < 2:
            return
        if means[number] > 3.0 * sum(others) / len(others):
            self.eject(node, number, now)
            means[number], seen[number] = None, 0

    def tick(self, now):
        """Nothing is swept."""
        return set()


POLICIES = {"keeper": Keeper, "failures": Failures, "averages": Averages}
