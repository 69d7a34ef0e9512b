"""Placement under load in virtual time, with periods of failing workers.

``python -m bench.placing`` prints, for services of the users' sizes and
several loads, how the requests of callers end with one scheduler.
"""

import bisect
import collections
import heapq
import math
import random

from acaciafield.gateway import backends
from acaciafield.gateway import messages
from acaciafield.gateway import scheduling
from acaciafield.gateway import terms
from acaciafield import structs

TERMS = terms.Terms(ratio=0.2, slack=60.0, window=10.0, floor=0.7)
FAILURE_TIME_S = 0.003  # duration of a request that fails
HEALTHY_ERROR_SHARE = 0.012  # share of requests that fail at healthy workers
DURATION_S = 40.0  # of one simulation
PROMPT_REFUSAL_RATIO = 0.125  # of the target, for a prompt refusal
DISPATCH_PERIOD_S = 0.02  # between dispatches from the queue


class Load(structs.Struct):
    """A service and its callers; times in seconds.

    In each ``failure_cycle_s`` the share ``failing_worker_share`` of the
    workers fails, for ``failure_period_s``, the share ``failure_share`` of
    its requests. The share ``run_once_share`` of the requests may run once
    at most; the others go to up to ``max_attempts`` workers. Workers and
    callers are spread over ``zones`` availability zones.
    """

    __slots__ = (
        "name",
        "workers",
        "slots",
        "request_rate",
        "mean_service_s",
        "service_time_sigma",
        "target",
        "deadline",
        "failure_cycle_s",
        "failure_period_s",
        "failing_worker_share",
        "failure_share",
        "max_attempts",
        "run_once_share",
        "zones",
    )
    DEFAULTS = {"max_attempts": 2, "run_once_share": 1.0, "zones": 1}


ORDERS = Load("orders", 18, 6, 72.3, 0.47, 0.8, 2.0, 5.0, 9.0, 5.0, 0.3, 0.75)
BOOKINGS = Load(
    "bookings", 21, 2, 84.5, 0.16, 0.3, 0.6, 4.0, 12.0, 6.0, 0.3, 0.9
)
RECORDS = Load(
    "records", 9, 2, 94.6, 0.062, 0.3, 0.609, 3.65, 12.0, 6.0, 0.3, 0.9, 2, 0.0
)
PRICES = Load(
    "prices", 9, 6, 94.8, 0.19, 0.8, 0.912, 2.28, 9.0, 5.0, 0.3, 0.75, 2, 0.0
)
# Bookings and look-ups at one service: one request in three may be retried.
MIXED = Load(
    "mixed", 26, 4, 150.7, 0.24, 0.5, 0.8, 2.0, 9.0, 5.0, 0.3, 0.9, 2, 0.69
)
# Many workers at a sixth of their capacity.
LARGE = Load(
    "large", 285, 6, 385.0, 0.702, 0.8, 3.07, 8.16, 9.0, 5.0, 0.3, 0.75
)
# The same at half the rate in five availability zones.
ZONED = Load(
    "zoned",
    285,
    6,
    192.0,
    0.702,
    0.8,
    3.07,
    8.16,
    9.0,
    5.0,
    0.3,
    0.75,
    zones=5,
)
# Only orders, at many workers; then with twice the failure periods.
DESK = Load("desk", 78, 6, 300.0, 0.46, 0.8, 2.0, 6.0, 9.0, 5.0, 0.3, 0.75)
ROUGH_DESK = Load(
    "rough desk", 78, 6, 300.0, 0.46, 0.8, 2.0, 6.0, 9.0, 5.0, 0.6, 0.75
)
ZONED_DESK = Load(
    "zoned desk",
    78,
    6,
    300.0,
    0.46,
    0.8,
    2.0,
    6.0,
    9.0,
    5.0,
    0.3,
    0.75,
    zones=3,
)
# Half of the requests can be retried, and the retry budget is exhausted.
SHORT = Load(
    "short",
    112,
    4,
    115.0,
    0.3,
    0.5,
    1.2,
    2.5,
    9.0,
    5.0,
    0.6,
    0.9,
    run_once_share=0.5,
)
UPLOADS = Load("uploads", 6, 4, 27.8, 0.2, 0.5, 0.8, 2.0, 9.0, 5.0, 0.3, 0.9)

LOADS = (
    ORDERS,
    BOOKINGS,
    RECORDS,
    PRICES,
    MIXED,
    UPLOADS,
    LARGE,
    ZONED,
    DESK,
    SHORT,
)


class Tally:
    """How the requests of one simulation ended.

    ``held`` is the longest time in seconds that a refused request was
    queued, ``slowly`` counts requests refused after an eighth of their
    target, ``away`` the grants in another availability zone than the
    caller's.
    """

    __slots__ = (
        "asked",
        "served",
        "late",
        "failed",
        "refused",
        "slowly",
        "away",
        "held",
    )

    def __init__(self):
        self.asked = 0
        self.served = 0
        self.late = 0
        self.failed = 0
        self.refused = 0
        self.slowly = 0
        self.away = 0
        self.held = 0.0

    def __repr__(self):
        words = ["%s %d" % (n, getattr(self, n)) for n in self.__slots__[:-1]]
        return "%s held %.3f" % (" ".join(words), self.held)


class PlacingSimulation:
    """A simulation of a load at a scheduler."""

    __slots__ = (
        "load",
        "random",
        "scheduler",
        "tally",
        "events",
        "event_count",
        "failure_periods",
        "arrived_at",
        "slot_release_times",
        "grant_times",
        "failure_times",
    )

    def __init__(self, load, factor, seed):
        self.load = load
        self.random = random.Random(seed)
        self.scheduler = scheduling.Scheduler(
            "s", TERMS, random.Random(seed + 1)
        )
        self.tally = Tally()
        self.events = []
        self.event_count = 0
        self.arrived_at = {}
        self.slot_release_times = {}
        # Times by worker.
        self.grant_times = collections.defaultdict(list)
        self.failure_times = collections.defaultdict(list)
        names = ["w%d" % number for number in range(load.workers)]
        entries = [
            backends.WorkerEntry(
                name,
                "s",
                "a:1",
                "z%d" % (number % load.zones),
                load.slots,
                False,
                0.0,
                1,
                1,
            )
            for number, name in enumerate(names)
        ]
        self.scheduler.update_entries(entries, 0.0)
        self.failure_periods = {
            name: self._draw_failure_periods() for name in names
        }
        now = 0.0
        while now < DURATION_S:
            now += self.random.expovariate(load.request_rate * factor)
            self._schedule(now, self._start_request)
        now = 0.0
        while now < DURATION_S + load.deadline:
            now += DISPATCH_PERIOD_S
            self._schedule(now, self._dispatch_queue)

    def run(self):
        """Run the simulation; return its Tally."""
        while self.events:
            now, _, action, fields = heapq.heappop(self.events)
            action(now, *fields)
        return self.tally

    def measure_used_share(self, start, window, recovery_s):
        """Return the share of healthy workers that received work in a window.

        A worker is healthy if it failed no request in the ``window`` seconds
        from ``start`` on, nor in the ``recovery_s`` seconds before.
        """
        end = start + window
        healthy_workers = [
            worker_id
            for worker_id in self.scheduler.workers
            if not _has_time_between(
                self.failure_times[worker_id], start - recovery_s, end
            )
        ]
        used_workers = [
            w
            for w in healthy_workers
            if _has_time_between(self.grant_times[w], start, end)
        ]
        return len(used_workers) / len(healthy_workers)

    def _schedule(self, now, action, *fields):
        self.event_count += 1
        heapq.heappush(self.events, (now, self.event_count, action, fields))

    def _draw_failure_periods(self):
        load, start, periods = self.load, 0.0, []
        while start < DURATION_S:
            if self.random.random() < load.failing_worker_share:
                begin = start + self.random.random() * load.failure_cycle_s
                periods.append((begin, begin + load.failure_period_s))
            start += load.failure_cycle_s
        return periods

    def _is_failing(self, worker_id, now):
        for begin, end in self.failure_periods[worker_id]:
            if begin <= now < end:
                return self.random.random() < self.load.failure_share
        return False

    def _start_request(self, now):
        self.tally.asked += 1
        load = self.load
        runs_once = (
            load.run_once_share >= 1.0
            or self.random.random() < load.run_once_share
        )
        max_attempts = 1 if runs_once else load.max_attempts
        self._request_grant(
            "q%d" % self.tally.asked, now, now, [], max_attempts
        )

    def _request_grant(
        self, request_id, arrived_at, now, avoided_workers, max_attempts
    ):
        load = self.load
        number = len(avoided_workers) + 1
        request = messages.GrantRequest(
            "%s:%d" % (request_id, number),
            "n1",
            "z%d" % (int(request_id[1:]) % load.zones),
            "s",
            "r",
            max_attempts > 1,
            1,
            load.target,
            load.deadline - (now - arrived_at),
            number - 1,
            number >= max_attempts,
            avoided_workers,
            "f" + request_id,
        )
        self.arrived_at[request.attempt_id] = arrived_at
        self._handle_decision(
            self.scheduler.decide(request, "", now), request, now
        )

    def _dispatch_queue(self, now):
        for _, request, answer in self.scheduler.dispatch(now):
            self._handle_decision(answer, request, now)

    def _handle_decision(self, answer, request, now):
        if isinstance(answer, messages.GrantQueued):
            return
        held_s = now - self.arrived_at[request.attempt_id]
        if isinstance(answer, messages.GrantRefusal):
            self.tally.refused += 1
            self.tally.slowly += (
                held_s > PROMPT_REFUSAL_RATIO * self.load.target
            )
            self.tally.held = max(self.tally.held, held_s)
            return
        self.grant_times[answer.worker_id].append(now)
        worker = self.scheduler.workers[answer.worker_id]
        self.tally.away += worker.entry.zone != request.zone
        failed = self._is_failing(answer.worker_id, now)
        duration = FAILURE_TIME_S
        if not failed:
            duration = self._draw_service_time()
            failed = self.random.random() < HEALTHY_ERROR_SHARE
        ending = "failed" if failed else "answered"
        duration += self._wait_for_slot(answer.worker_id, now, duration)
        fields = (request, answer.worker_id, ending, duration)
        self._schedule(now + duration, self._end_attempt, *fields)

    def _wait_for_slot(self, worker_id, now, duration):
        """Return the seconds that a request waits for a slot of its worker."""
        releases = self.slot_release_times.setdefault(worker_id, [])
        while releases and releases[0] <= now:
            heapq.heappop(releases)
        start = now
        if len(releases) >= self.load.slots:
            start = heapq.heappop(releases)
        heapq.heappush(releases, start + duration)
        return start - now

    def _draw_service_time(self):
        load = self.load
        log_mean = (
            math.log(load.mean_service_s) - load.service_time_sigma**2 / 2
        )
        return self.random.lognormvariate(log_mean, load.service_time_sigma)

    def _end_attempt(self, now, request, worker_id, ending, duration):
        report = messages.AttemptReport(
            "s",
            request.attempt_id,
            "n1",
            worker_id,
            "r",
            ending,
            duration,
            500,
            None,
            request.fingerprint,
        )
        self.scheduler.apply_report(report, now)
        if ending == "failed":
            self.failure_times[worker_id].append(now)
            self._retry(request, worker_id, now)
            return
        self.tally.served += 1
        if now - self.arrived_at[request.attempt_id] > self.load.target:
            self.tally.late += 1

    def _retry(self, request, worker_id, now):
        if request.is_last_attempt:
            self.tally.failed += 1
            return
        request_id = request.attempt_id.rpartition(":")[0]
        arrived_at = self.arrived_at[request.attempt_id]
        avoided_workers = [*request.avoided_workers, worker_id]
        self._request_grant(
            request_id,
            arrived_at,
            now,
            avoided_workers,
            self.load.max_attempts,
        )


def _has_time_between(times, start, end):
    """Return whether sorted times include one from start to before end."""
    index = bisect.bisect_left(times, start)
    return index < len(times) and times[index] < end


def count_failure_periods(simulation):
    """Return how many failure periods began during a simulation."""
    return sum(len(periods) for periods in simulation.failure_periods.values())


def print_table():
    """Print how requests end for each load at several rates."""
    for load in LOADS:
        for factor in (0.7, 1.0, 1.35, 2.0, 2.5, 3.0, 4.0):
            simulation = PlacingSimulation(load, factor, 1)
            tally = simulation.run()
            print(
                load.name,
                factor,
                "spells",
                count_failure_periods(simulation),
                tally,
            )


if __name__ == "__main__":
    print_table()
