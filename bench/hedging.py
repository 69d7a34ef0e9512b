"""Hedged requests under load in virtual time.

``python -m bench.hedging`` prints latencies, extra work and failures of
callers for each condition, load and rule; the names of conditions as arguments
select some of them.
"""

import collections
import enum
import random
import sys

from acaciafield.gateway import hedging
from acaciafield.gateway import messages
from acaciafield import structs
from bench import placing

LOAD_FACTORS = (0.5, 0.8, 1.0, 1.2)  # of the capacity
SLOW_WORKER_FACTOR = 5.0
SLOW_SHARE = 0.03
SLOW_FACTOR = 7.0
SERVICE_FACTOR = 3.0
SERVICE_SLOW_PERIOD_S = (15.0, 25.0)
HANG_S = 3600.0
SLOW_WORKER = "w0"
# 20 workers with 4 slots and 0.25 s each: the capacity is 320 per second.
LOAD = placing.Load(
    "reads",
    20,
    4,
    320.0,
    0.25,
    0.5,
    1.0,
    4.0,
    9.0,
    5.0,
    0.0,
    0.0,
    run_once_share=0.0,
)


class Rule(enum.Enum):
    """When and how a second attempt is sent."""

    NONE = "0"
    EARLIER = "earlier"  # before the coordinators knew of hedges
    DEFAULT = "1"
    LIMITED = "0.05"


class Condition(enum.Enum):
    """What is slow."""

    NOTHING = "nothing slow"
    WORKER = "1 worker in 20 at 5 times"
    SHARE = "3% at 7 times"
    SERVICE = "all at 3 times, 10 of 40 s"
    HANG = "1 worker in 20 hangs"


class SimulatedAttempt(structs.Struct):
    """An attempt at a worker, compared by identity."""

    __slots__ = ("request", "worker_id", "sent_at", "duration")

    __eq__ = object.__eq__
    __hash__ = object.__hash__


class SimulatedCall:
    """A caller's request with its attempts by attempt id."""

    __slots__ = ("arrived_at", "attempts", "asked", "count", "is_done")

    def __init__(self, arrived_at):
        self.arrived_at = arrived_at
        self.attempts = {}
        self.asked = set()
        self.count = 0
        self.is_done = False


class SimulatedWorker:
    """The requests that a worker runs and those that are queued there."""

    __slots__ = ("running", "waiting")

    def __init__(self):
        self.running = set()
        self.waiting = collections.deque()


class HedgingSimulation(placing.PlacingSimulation):
    """A simulation of hedged reads at one scheduler."""

    __slots__ = (
        "rule",
        "condition",
        "calls",
        "machines",
        "latencies",
        "hedges",
        "won",
        "service_random",
    )

    def __init__(self, condition, factor, rule, seed):
        super().__init__(LOAD, factor, seed)
        self.rule = rule
        self.condition = condition
        self.calls = {}
        self.machines = collections.defaultdict(SimulatedWorker)
        self.latencies = []
        self.hedges = 0
        self.won = 0
        self.service_random = random.Random(seed + 2)
        self.scheduler.hedges.policy.share = (
            1.0 if rule is Rule.EARLIER else float(rule.value)
        )

    def _start_request(self, now):
        self.tally.asked += 1
        call_id = "q%d" % self.tally.asked
        self.calls[call_id] = SimulatedCall(now)
        self._schedule(now + LOAD.deadline, self._expire, call_id)
        self._ask(call_id, False, now)

    def _ask(self, call_id, is_hedge, now):
        call = self.calls[call_id]
        call.count += 1
        request = messages.GrantRequest(
            "%s:%d" % (call_id, call.count),
            "n1",
            "z0",
            "s",
            "r",
            True,
            1,
            LOAD.target,
            LOAD.deadline - (now - call.arrived_at),
            call.count - 1,
            call.count > 1,
            [a.worker_id for a in call.attempts.values()],
            "f" + call_id,
            is_hedge=is_hedge and self.rule is not Rule.EARLIER,
        )
        call.asked.add(request.attempt_id)
        answer = self.scheduler.decide(request, "", now)
        self._handle_decision(answer, request, now)

    def _handle_decision(self, answer, request, now):
        if isinstance(answer, messages.GrantQueued):
            return
        call_id = request.attempt_id.partition(":")[0]
        call = self.calls[call_id]
        call.asked.discard(request.attempt_id)
        if isinstance(answer, messages.GrantRefusal):
            if not call.attempts and not call.asked:
                self.tally.refused += not call.is_done
                call.is_done = True
            elif answer.reason in hedging.REPEATABLE_REFUSALS:
                due = now + answer.retry_after
                self._schedule(due, self._hedge, call_id)
            return
        is_second = bool(call.attempts)
        self.hedges += is_second
        attempt = SimulatedAttempt(
            request, answer.worker_id, now, self._draw_duration(answer, now)
        )
        call.attempts[request.attempt_id] = attempt
        machine = self.machines[answer.worker_id]
        machine.waiting.append(attempt)
        self._run_next(machine, now)
        delay = answer.hedge_after
        if delay is not None and not is_second:
            self._schedule(now + delay, self._hedge, call_id)

    def _draw_duration(self, grant, now):
        duration = self._draw_service_time()
        begin, end = SERVICE_SLOW_PERIOD_S
        if self.condition is Condition.SHARE:
            if self.service_random.random() < SLOW_SHARE:
                duration *= SLOW_FACTOR
        elif self.condition is Condition.SERVICE and begin <= now < end:
            duration *= SERVICE_FACTOR
        elif grant.worker_id == SLOW_WORKER:
            if self.condition is Condition.WORKER:
                duration *= SLOW_WORKER_FACTOR
            elif self.condition is Condition.HANG:
                duration = HANG_S
        return duration

    def _run_next(self, machine, now):
        while machine.waiting and len(machine.running) < LOAD.slots:
            attempt = machine.waiting.popleft()
            machine.running.add(attempt)
            attempt_id = attempt.request.attempt_id
            self._schedule(now + attempt.duration, self._end, attempt_id)

    def _hedge(self, now, call_id):
        call = self.calls[call_id]
        if not call.is_done and len(call.attempts) == 1 and not call.asked:
            self._ask(call_id, True, now)

    def _end(self, now, attempt_id):
        call = self.calls[attempt_id.partition(":")[0]]
        attempt = call.attempts.get(attempt_id)
        if call.is_done or attempt is None:
            return
        call.is_done = True
        self.tally.served += 1
        latency = now - call.arrived_at
        self.latencies.append(latency)
        self.tally.late += latency > LOAD.target
        self.won += len(call.attempts) > 1 and attempt_id != min(
            call.attempts, key=lambda key: int(key.partition(":")[2])
        )
        self._leave(attempt, "answered", False, now)
        self._cancel(call, self.rule is not Rule.EARLIER, now, attempt_id)

    def _expire(self, now, call_id):
        call = self.calls[call_id]
        if not call.is_done:
            call.is_done = True
            self.tally.failed += 1
            self._cancel(call, False, now)

    def _cancel(self, call, is_superseded, now, winner=None):
        for attempt_id in call.asked:
            self.scheduler.withdraw(attempt_id)
        for attempt_id, attempt in call.attempts.items():
            if attempt_id != winner:
                self._leave(attempt, "cancelled", is_superseded, now)

    def _leave(self, attempt, ending, is_superseded, now):
        machine = self.machines[attempt.worker_id]
        load = None
        if ending == "answered":
            load = [len(machine.running), len(machine.waiting), LOAD.slots]
        if attempt in machine.running:
            machine.running.remove(attempt)
        else:
            machine.waiting.remove(attempt)
        self._run_next(machine, now)
        report = messages.AttemptReport(
            "s",
            attempt.request.attempt_id,
            "n1",
            attempt.worker_id,
            "r",
            ending,
            now - attempt.sent_at,
            500,
            load,
            attempt.request.fingerprint,
            is_superseded=is_superseded,
        )
        self.scheduler.apply_report(report, now)

    def find_latency(self, share):
        """Return the latency in seconds that this share does not exceed."""
        ordered = sorted(self.latencies)
        return ordered[int(share * (len(ordered) - 1))]

    def format_row(self):
        """Return the results as the cells of a table."""
        tally = self.tally
        cells = ["%.2f" % self.find_latency(q) for q in (0.5, 0.99, 0.999)]
        cells.append("%.1f%%" % (100.0 * self.hedges / tally.asked))
        cells.append("%.1f%%" % (100.0 * self.won / tally.asked))
        for count in (tally.refused, tally.failed, tally.late):
            cells.append("%.2f%%" % (100.0 * count / tally.asked))
        return " | ".join(cells)


def print_table(conditions, seed=1):
    """Print the results of each rule under these conditions."""
    print(
        "| condition | load | rule | p50 | p99 | p99.9 | hedges | won "
        "| refused | failed | late |"
    )
    print("|---" * 11 + "|")
    for condition in conditions:
        for factor in LOAD_FACTORS:
            for rule in Rule:
                simulation = HedgingSimulation(condition, factor, rule, seed)
                simulation.run()
                row = simulation.format_row()
                print(
                    "| %s | %s | %s | %s |"
                    % (condition.value, factor, rule.value, row),
                    flush=True,
                )


if __name__ == "__main__":
    names = sys.argv[1:]
    print_table([c for c in Condition if not names or c.name in names])
