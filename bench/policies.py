"""The ejection policies that the detection bench compares."""

from acaciafield import ejections
from acaciafield import messages
from acaciafield import service_states
from acaciafield import workers

NODE_COUNT = 48
STALL_TIMEOUT_S = 2.0  # after which a sidecar cancels a request
Status = workers.Status


class KeeperPolicy:
    """The fleet's policy: a keeper with the evidence of all nodes."""

    def __init__(self, size, threshold=None):
        self.service_state = service_states.ServiceState("s", 0.0)
        self.service_state.caution = size.caution
        hosts = [
            messages.HostEntry(str(n), "", "abc"[n % 3], slots=size.slots)
            for n in range(size.count)
        ]
        service_states.update_hosts(self.service_state, hosts, 100.0, [])
        self.workers = list(self.service_state.workers.values())
        self.thresholds = dict(ejections.EJECTION_THRESHOLDS)
        if threshold is not None:
            self.thresholds[size.caution] = threshold
        self.ejected_at = {}

    def choose(self, node, rng, now):
        """Return the number of the best worker with a free slot, or None."""
        best, best_rank = None, None
        for number, worker in enumerate(self.workers):
            if worker.count_free_slots(now) <= 0:
                continue
            canary = worker.status is not Status.HEALTHY
            rank = (not canary, len(worker.in_flight), rng.random())
            if best is None or rank < best_rank:
                best, best_rank = number, rank
        return best

    def start(self, number, request, node, now):
        """Start a request at a worker; return True, as it has a slot."""
        worker = self.workers[number]
        in_flight = workers.InFlightRequest(
            request, str(number), node, "", now
        )
        in_flight.fresh = worker.status is not Status.HEALTHY
        worker.in_flight[request] = in_flight
        return True

    def end(self, number, request, latency, failed, is_unanswered, now):
        """Record how a request ended."""
        worker = self.workers[number]
        in_flight = worker.in_flight.pop(request, None)
        if in_flight is None:
            return
        service_state = self.service_state
        if is_unanswered and not in_flight.fresh:
            ejections.add_unanswered(
                service_state, worker, in_flight, latency, now
            )
            return
        ejections.add_result(
            service_state, worker, in_flight, latency, failed, False, now, []
        )

    def tick(self, now):
        """Judge all workers; return those whose paths are to be dropped."""
        ejections.EJECTION_THRESHOLDS.update(self.thresholds)
        ejections.judge_workers(self.service_state, now, [])
        for number, worker in enumerate(self.workers):
            if worker.status in (Status.SUSPECT, Status.EJECTED):
                self.ejected_at.setdefault(number, now)
        paths, self.service_state.paths_to_drop = (
            self.service_state.paths_to_drop,
            set(),
        )
        return {int(worker_id) for _, worker_id in paths}

    def count_ejections(self, number):
        """Return how often a worker was ejected."""
        return self.workers[number].ejections


class SidecarPolicy:
    """Base of the baselines: each node judges by its own requests."""

    def __init__(self, size):
        self.size = size
        self.in_flight = [set() for _ in range(size.count)]
        self.ejected_until = [[0.0] * size.count for _ in range(NODE_COUNT)]
        self.ejection_counts = [0] * size.count
        self.ejected_at = {}
        self.node_by_request = {}

    def choose(self, node, rng, now):
        """Return a random worker that the node has not ejected."""
        ejected_until = self.ejected_until[node]
        usable = [n for n, end in enumerate(ejected_until) if now >= end]
        return rng.choice(usable or list(range(self.size.count)))

    def start(self, number, request, node, now):
        """Start a request; return False if the worker sheds it."""
        self.node_by_request[request] = node
        if len(self.in_flight[number]) >= self.size.slots:
            self.record_result(node, number, 0.001, True, now)
            return False
        self.in_flight[number].add(request)
        return True

    def end(self, number, request, latency, failed, is_unanswered, now):
        """Record how a request ended for its node."""
        self.in_flight[number].discard(request)
        node = self.node_by_request.pop(request)
        failed = failed or latency >= STALL_TIMEOUT_S
        self.record_result(
            node, number, min(latency, STALL_TIMEOUT_S), failed, now
        )

    def eject(self, node, number, now):
        """Eject a worker at one node, up to 10% of the workers."""
        ejected_until = self.ejected_until[node]
        ejected_count = sum(now < end for end in ejected_until)
        if ejected_count >= max(1, self.size.count // 10):
            return
        self.ejected_until[node][number] = now + 30.0
        self.ejection_counts[number] += 1
        is_ejected_by_half = (
            sum(now < u[number] for u in self.ejected_until) >= NODE_COUNT // 2
        )
        if is_ejected_by_half:
            self.ejected_at.setdefault(number, now)

    def count_ejections(self, number):
        """Return how often nodes ejected a worker."""
        return self.ejection_counts[number]


class ConsecutiveFailuresPolicy(SidecarPolicy):
    """Ejection after five consecutive failures, checked every 10 s."""

    def __init__(self, size):
        super().__init__(size)
        self.consecutive_failures = [
            [0] * size.count for _ in range(NODE_COUNT)
        ]
        self.last_sweep_at = 0.0

    def record_result(self, node, number, latency, failed, now):
        """Count consecutive failures."""
        node_failures = self.consecutive_failures[node]
        node_failures[number] = node_failures[number] + 1 if failed else 0

    def tick(self, now):
        """Eject the workers that have failed five times in a row."""
        if now - self.last_sweep_at < 10.0:
            return set()
        self.last_sweep_at = now
        for node, node_failures in enumerate(self.consecutive_failures):
            for number, count in enumerate(node_failures):
                if count >= 5 and now >= self.ejected_until[node][number]:
                    self.eject(node, number, now)
                    node_failures[number] = 0
        return set()


class LatencyAveragePolicy(SidecarPolicy):
    """Ejection of workers 3 times slower than the others' average."""

    def __init__(self, size):
        super().__init__(size)
        self.means = [[None] * size.count for _ in range(NODE_COUNT)]
        self.sample_counts = [[0] * size.count for _ in range(NODE_COUNT)]

    def record_result(self, node, number, latency, failed, now):
        """Update a worker's average latency and compare it."""
        if failed and latency < 0.01:
            return
        means, counts = self.means[node], self.sample_counts[node]
        old_mean = means[number]
        means[number] = (
            latency
            if old_mean is None
            else old_mean + 0.2 * (latency - old_mean)
        )
        counts[number] += 1
        others = [
            m for n, m in enumerate(means) if n != number and m is not None
        ]
        if counts[number] < 5 or len(others) < 2:
            return
        if means[number] > 3.0 * sum(others) / len(others):
            self.eject(node, number, now)
            means[number], counts[number] = None, 0

    def tick(self, now):
        """Return no workers, as this policy needs no periodic check."""
        return set()


POLICIES = {
    "keeper": KeeperPolicy,
    "failures": ConsecutiveFailuresPolicy,
    "averages": LatencyAveragePolicy,
}
