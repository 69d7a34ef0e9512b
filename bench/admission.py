"""Admission under overload in virtual time: kinds, workspaces and callers.

``python -m bench.admission [name ...]`` prints, for each load, how requests
end by kind and by workspace, next to an oracle that knows all work in
advance. ``policies`` compares choices of a worker on the quiet load, ``cost``
prints the processor time of a decision. One scheduler for each availability
zone decides; its messages to the others arrive late.
"""

import heapq
import math
import random
import sys
import time
import types

from acaciafield.gateway import backends
from acaciafield.gateway import messages
from acaciafield.gateway import scheduling
from acaciafield.gateway import selection
from acaciafield.gateway import terms
from acaciafield import structs

TERMS = terms.Terms(ratio=0.2, slack=60.0, window=10.0, floor=0.7)
DURATION_S = 30.0
DISPATCH_PERIOD_S = 0.02
LINK_DELAY_S = 0.0014  # one way, between availability zones
FAILURE_TIME_S = 0.003  # duration of a request that fails
HEALTHY_ERROR_SHARE = 0.012
SPELL_CYCLE_S = 9.0
SPELL_S = 5.0
SPELL_WORKER_SHARE = 0.3  # of the workers fail once in each cycle
SPELL_FAILURE_SHARE = 0.75  # of the requests in a spell
MAX_CALLER_REPEATS = 2  # after a refusal with Retry-After
CALLER_WAIT_SHARE = 1.0 / 3.0  # of its time left that a caller waits at most
SERVICE_TIME_SIGMA = 0.4
WORKER_SPEED_SIGMA = 0.2  # of the natural logarithm
SLOWDOWN_WORKER_SHARE = 0.3  # of the workers slow down with all slots taken
SLOWDOWN_RATIO = 1.5
FLOOR_START_S = 4.0  # after which the share of used workers is measured
RELEASE_START_S = 6.0
RELEASE_STEP_S = 1.0
RELEASE_AWAY_S = 4.0  # from the drain of a worker until its return
WARM_UP_S = 3.0  # in which a new worker has half its speed
WORKSPACE_COUNT = 87
CHOOSE_WORKER = selection.choose_worker
POLICY_RANDOM = random.Random(3)


class Kind(structs.Struct):
    """A kind of request; times in seconds, ``size`` in both directions."""

    __slots__ = (
        "name",
        "rate",
        "service_s",
        "target",
        "deadline",
        "priority",
        "values",
        "idempotent",
        "size",
    )


BOOKINGS = (
    Kind("look-up", 82.0, 0.221, 1.082, 2.697, 1, (1.8, 0.21), True, 5000),
    Kind("confirm", 243.0, 0.291, 1.284, 3.199, 0, (1.8, 0.55), False, 3000),
    Kind("upload", 22.0, 0.26, 4.234, 5.292, 2, (0.92, 0.41), True, 62000),
)
RENDERING = (
    Kind("preview", 87.0, 0.538, 2.038, 6.02, 2, (1.0, 0.3), True, 5000),
    Kind("burn-in", 225.0, 0.41, 2.01, 8.039, 1, (2.0, 0.6), False, 5000),
    Kind("invoice", 69.0, 0.296, 1.029, 4.019, 0, (3.0, 0.9), False, 2000),
    Kind("timeline", 74.0, 0.164, 0.618, 2.517, 1, (2.0, 0.6), True, 5000),
)


class Load(structs.Struct):
    """A played load; ``factor`` multiplies the rates of all kinds.

    ``swing`` is the amplitude of a wave in the rate (of ``period`` s),
    ``burst`` (start, end, ratio), ``repeater_share`` of the callers send
    each request three times more, ``greedy`` multiplies the rate of one
    workspace. With ``release`` half of the workers are replaced in turn.
    """

    __slots__ = (
        "name",
        "kinds",
        "workers",
        "slots",
        "factor",
        "swing",
        "period",
        "burst",
        "repeater_share",
        "greedy",
        "release",
        "zones",
        "has_workspaces",
    )
    DEFAULTS = {
        "swing": 0.0,
        "period": 17.0,
        "burst": None,
        "repeater_share": 0.0,
        "greedy": 1.0,
        "release": False,
        "zones": 3,
        "has_workspaces": True,
    }


LOADS = (
    Load("quiet", BOOKINGS, 122, 2, 1.0),
    Load("heavy", BOOKINGS, 122, 2, 2.6),
    Load("wave", BOOKINGS, 122, 2, 1.7, swing=0.55),
    Load("burst", BOOKINGS, 122, 2, 1.5, burst=(10.0, 13.0, 1.7)),
    Load("repeats", BOOKINGS, 122, 2, 1.2, repeater_share=1.0 / 3.0),
    Load("greedy", BOOKINGS, 122, 2, 1.3, greedy=7.5),
    Load("release", BOOKINGS, 122, 2, 1.4, release=True),
    Load("small", BOOKINGS[:1], 9, 2, 0.6),
    Load("rendering", RENDERING, 65, 6, 1.0, zones=4, has_workspaces=False),
    Load(
        "rendering heavy", RENDERING, 65, 6, 1.9, zones=4, has_workspaces=False
    ),
)


class Call(structs.Struct):
    """A caller's request; ``repeats`` counts those after a refusal."""

    __slots__ = (
        "number",
        "kind",
        "workspace",
        "priority",
        "zone",
        "arrived_at",
        "work",
        "repeats",
        "attempts",
        "avoided",
        "outcome",
        "ended_at",
        "held",
    )


def draw_spells(generator):
    """Return the periods in which a worker fails most requests."""
    start, spells = -SPELL_CYCLE_S, []
    while start < DURATION_S + SPELL_CYCLE_S:
        if generator.random() < SPELL_WORKER_SHARE:
            begin = start + generator.random() * SPELL_CYCLE_S
            spells.append((begin, begin + SPELL_S))
        start += SPELL_CYCLE_S
    return spells


def is_in_spell(spells, now):
    """Return whether a worker fails most requests at present."""
    return any(begin <= now < end for begin, end in spells)


def draw_calls(load, generator):
    """Return the seeded Calls of a load in the order of their arrival."""
    shares = [1.0 / (rank + 3) for rank in range(WORKSPACE_COUNT)]
    if not load.has_workspaces:
        shares = [1.0]
    greedy = 10 if load.greedy != 1.0 else None
    extra = 0.0
    if greedy is not None:
        extra = (load.greedy - 1.0) * shares[greedy] / sum(shares)
        shares[greedy] *= load.greedy
    names = ["ws%d" % n if load.has_workspaces else "" for n in range(87)]
    calls = []
    for kind in load.kinds:
        peak = kind.rate * load.factor * (1.0 + extra) * (1.0 + load.swing)
        if load.burst is not None:
            peak *= load.burst[2]
        now = generator.expovariate(peak)
        while now < DURATION_S:
            rate = kind.rate * load.factor * (1.0 + extra)
            rate *= 1.0 + load.swing * math.sin(
                2.0 * math.pi * now / load.period
            )
            if load.burst and load.burst[0] <= now < load.burst[1]:
                rate *= load.burst[2]
            if generator.random() < rate / peak:
                rank = generator.choices(range(len(shares)), shares)[0]
                priority = None
                if load.has_workspaces and rank % 10 == 7:
                    priority = 0 if rank % 20 == 7 else 2
                copies = 1
                if generator.random() < load.repeater_share:
                    copies = 4
                for copy in range(copies):
                    work = generator.lognormvariate(
                        math.log(kind.service_s) - SERVICE_TIME_SIGMA**2 / 2,
                        SERVICE_TIME_SIGMA,
                    )
                    calls.append(
                        Call(
                            0,
                            kind,
                            names[rank],
                            priority,
                            "z%d" % generator.randrange(load.zones),
                            now + 0.3 * copy,
                            work,
                            0,
                            0,
                            [],
                            None,
                            None,
                            0.0,
                        )
                    )
            now += generator.expovariate(peak)
    calls.sort(key=lambda call: call.arrived_at)
    for number, call in enumerate(calls):
        call.number = number
    return calls


class AdmissionSimulation:
    """The calls of one load at the schedulers of all zones."""

    def __init__(self, load, seed):
        self.load = load
        self.random = random.Random(seed)
        generator = random.Random(seed + 100)
        self.calls = draw_calls(load, generator)
        self.schedulers = {
            "z%d"
            % number: scheduling.Scheduler(
                "s", TERMS, random.Random(seed + number)
            )
            for number in range(load.zones)
        }
        self.entries = {}
        self.spells, self.speeds, self.slows = {}, {}, {}
        self.born = {}
        for number in range(load.workers):
            name = "w%d" % number
            self.entries[name] = backends.WorkerEntry(
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
            self.spells[name] = draw_spells(generator)
            self.speeds[name] = generator.lognormvariate(
                0.0, WORKER_SPEED_SIGMA
            )
            self.slows[name] = generator.random() < SLOWDOWN_WORKER_SHARE
            self.born[name] = -WARM_UP_S
        self.events, self.event_count = [], 0
        self.releases = {name: [] for name in self.entries}
        self.remote_bytes = 0
        self.used_share = 1.0
        self.repeats = 0
        self._update_entries(0.0)
        for call in self.calls:
            self._schedule(call.arrived_at, self._ask, call)
        now = 0.0
        while now < DURATION_S + 9.0:
            now += DISPATCH_PERIOD_S
            self._schedule(now, self._measure_usage)
            for zone in self.schedulers:
                self._schedule(now, self._dispatch, zone)
        if load.release:
            for number in range(load.workers // 2):
                start = RELEASE_START_S + number * RELEASE_STEP_S / 3.0
                name = "w%d" % (number * 2)
                self._schedule(start, self._drain, name)
                self._schedule(start + RELEASE_AWAY_S, self._return, name)

    def run(self):
        """Run the simulation to its end."""
        while self.events:
            now, _, action, fields = heapq.heappop(self.events)
            action(now, *fields)
        for call in self.calls:
            if call.outcome is None:
                call.outcome = "refused"
        return self

    def _schedule(self, now, action, *fields):
        self.event_count += 1
        heapq.heappush(self.events, (now, self.event_count, action, fields))

    def _update_entries(self, now):
        for scheduler in self.schedulers.values():
            scheduler.update_entries(list(self.entries.values()), now)

    def _drain(self, now, name):
        entry = self.entries[name]
        values = {n: getattr(entry, n) for n in entry.__slots__}
        values |= {"draining": True, "sequence": entry.sequence + 1}
        self.entries[name] = backends.WorkerEntry(**values)
        self._update_entries(now)

    def _return(self, now, name):
        entry = self.entries[name]
        values = {n: getattr(entry, n) for n in entry.__slots__}
        values |= {"draining": False, "incarnation": entry.incarnation + 1}
        values["warm_up"] = WARM_UP_S
        self.entries[name] = backends.WorkerEntry(**values)
        self.born[name] = now
        self._update_entries(now)

    def _ask(self, now, call):
        kind = call.kind
        time_left = kind.deadline - (now - call.arrived_at)
        if time_left < 0.03:
            call.outcome = "refused" if call.attempts == 0 else "failed"
            return
        max_attempts = 2 if kind.idempotent else 1
        call.held = now
        request = messages.GrantRequest(
            "q%d-%d:%d" % (call.number, call.repeats, call.attempts + 1),
            "n1",
            call.zone,
            "s",
            kind.name,
            kind.idempotent,
            kind.priority,
            kind.target,
            time_left,
            call.attempts,
            call.attempts + 1 >= max_attempts,
            list(call.avoided),
            "f%d" % call.number,
            call.workspace,
            call.priority,
        )
        answer = self.schedulers[call.zone].decide(request, "", now)
        self._handle(now, call, request, answer)

    def _measure_usage(self, now):
        usage = self.schedulers["z0"].measure_usage(now)
        if usage is not None and FLOOR_START_S < now < DURATION_S:
            self.used_share = min(self.used_share, usage.share)

    def _dispatch(self, now, zone):
        for _, request, answer in self.schedulers[zone].dispatch(now):
            number = int(request.attempt_id.partition("-")[0][1:])
            self._handle(now, self.calls[number], request, answer)

    def _handle(self, now, call, request, answer):
        if isinstance(answer, messages.GrantQueued):
            return
        if isinstance(answer, messages.GrantRefusal):
            self._refuse(now, call, answer)
            return
        name = answer.worker_id
        kind = call.kind
        entry = self.entries[name]
        if entry.zone != call.zone:
            self.remote_bytes += kind.size
        notice = messages.GrantNotice(
            "s",
            request.attempt_id,
            "n1",
            name,
            request.route,
            request.time_left,
            request.retry_count,
            request.fingerprint,
            request.workspace,
        )
        for zone, scheduler in self.schedulers.items():
            if zone != call.zone:
                self._schedule(
                    now + LINK_DELAY_S,
                    lambda at, s=scheduler: s.record_remote_grant(notice, at),
                )
        releases = self.releases[name]
        while releases and releases[0] <= now:
            heapq.heappop(releases)
        start = now
        if len(releases) >= entry.slots:
            start = heapq.heappop(releases)
        failed = (
            is_in_spell(self.spells[name], now)
            and self.random.random() < SPELL_FAILURE_SHARE
        )
        service_s = FAILURE_TIME_S
        if not failed:
            service_s = call.work * self.speeds[name]
            if self.slows[name] and len(releases) + 1 >= entry.slots:
                service_s *= SLOWDOWN_RATIO
            if now < self.born[name] + WARM_UP_S:
                service_s *= 2.0
            failed = self.random.random() < HEALTHY_ERROR_SHARE
        end = start + service_s
        heapq.heappush(releases, end)
        is_cut = end - call.arrived_at > kind.deadline
        ending = "failed" if failed else "cancelled" if is_cut else "answered"
        report = messages.AttemptReport(
            "s",
            request.attempt_id,
            "n1",
            name,
            request.route,
            ending,
            end - now,
            kind.size,
            None,
            request.fingerprint,
        )
        for zone, scheduler in self.schedulers.items():
            delay = 0.0 if zone == call.zone else LINK_DELAY_S
            self._schedule(
                end + delay,
                lambda at, s=scheduler: s.apply_report(report, at),
            )
        self._schedule(end, self._end, call, name, ending)

    def _end(self, now, call, name, ending):
        call.attempts += 1
        call.avoided.append(name)
        if ending == "answered":
            call.outcome, call.ended_at = "served", now
        elif call.kind.idempotent and call.attempts < 2:
            self._ask(now, call)
        else:
            call.outcome = "failed"

    def _refuse(self, now, call, answer):
        time_left = call.kind.deadline - (now - call.arrived_at)
        call.held = now - call.held
        if call.attempts:
            call.outcome = "failed"
            return
        wait = min(answer.retry_after, CALLER_WAIT_SHARE * time_left)
        if call.repeats >= MAX_CALLER_REPEATS:
            call.outcome = "refused"
            return
        call.repeats += 1
        self.repeats += 1
        self._schedule(now + wait, self._ask, call)


def play_oracle(simulation):
    """Serve the calls of a simulation with knowledge of all work.

    A free slot outside a spell takes the request of most value for its
    work that can still end in time. Unavoidable errors remain.
    """
    calls = [copy_call(call) for call in simulation.calls]
    load, generator = simulation.load, random.Random(5)
    free = [
        [0.0, name, n]
        for name in simulation.entries
        for n in range(load.slots)
    ]
    heapq.heapify(free)
    waiting, index = [], 0
    while free:
        now, name, slot = heapq.heappop(free)
        spell_end = max(
            (e for b, e in simulation.spells[name] if b <= now < e),
            default=None,
        )
        if spell_end is not None:
            heapq.heappush(free, [spell_end, name, slot])
            continue
        while index < len(calls) and calls[index].arrived_at <= now:
            call = calls[index]
            density = call.kind.values[0] / call.work
            heapq.heappush(waiting, (-density, index))
            index += 1
        chosen = None
        while waiting and chosen is None:
            call = calls[heapq.heappop(waiting)[1]]
            end = now + call.work * simulation.speeds[name]
            if end - call.arrived_at <= call.kind.target:
                chosen = call
        if chosen is not None:
            chosen.outcome, chosen.ended_at = "served", end
            if (
                not chosen.kind.idempotent
                and generator.random() < HEALTHY_ERROR_SHARE
            ):
                chosen.outcome = "failed"
            heapq.heappush(free, [end, name, slot])
        elif index < len(calls):
            heapq.heappush(free, [calls[index].arrived_at, name, slot])
    for call in calls:
        call.outcome = call.outcome or "refused"
    return calls


def copy_call(call):
    """Return a call with its state before the first request."""
    values = [getattr(call, name) for name in call.__slots__]
    copy = Call(*values)
    copy.outcome = copy.ended_at = None
    return copy


def earn(call):
    """Return the value of a call that was served, else 0."""
    if call.outcome != "served":
        return 0.0
    late = call.ended_at - call.arrived_at > call.kind.target
    return call.kind.values[late]


def measure(calls):
    """Return the shares of the requests by outcome, and of the value."""
    count = max(1, len(calls))
    shares = {
        outcome: sum(c.outcome == outcome for c in calls) / count
        for outcome in ("served", "refused", "failed")
    }
    shares["late"] = (
        sum(
            c.outcome == "served" and c.ended_at - c.arrived_at > c.kind.target
            for c in calls
        )
        / count
    )
    best = sum(c.kind.values[0] for c in calls) or 1.0
    shares["value"] = sum(map(earn, calls)) / best
    return shares


def group_calls(calls, find_key):
    """Return lists of calls by key."""
    groups = {}
    for call in calls:
        groups.setdefault(find_key(call), []).append(call)
    return groups


def measure_worst(calls):
    """Return the value of the worst tenths of seconds and of workspaces.

    The workspaces are compared by the share of their requests served.
    """
    seconds = sorted(
        measure(group)["value"]
        for group in group_calls(calls, lambda c: int(c.arrived_at)).values()
    )
    spaces = sorted(
        measure(group)["served"]
        for group in group_calls(calls, lambda c: c.workspace).values()
    )
    return [
        sum(values[: max(1, len(values) // 10)]) / max(1, len(values) // 10)
        for values in (seconds, spaces)
    ]


def describe(shares):
    """Return shares as text."""
    return " ".join("%s %.4f" % pair for pair in shares.items())


def print_result(name, calls, details=""):
    """Print the results of all calls, the worst ones and each kind."""
    worst_seconds, worst_spaces = measure_worst(calls)
    print(
        "%-16s %s seconds %.3f workspaces %.3f %s"
        % (
            name,
            describe(measure(calls)),
            worst_seconds,
            worst_spaces,
            details,
        )
    )


def play(load, seeds=(1, 2), verbose=True):
    """Play a load with several seeds and print the results."""
    calls, oracle, remote, repeats, used = [], [], 0, 0, 1.0
    for seed in seeds:
        simulation = AdmissionSimulation(load, seed).run()
        calls += simulation.calls
        remote += simulation.remote_bytes
        repeats += simulation.repeats
        used = min(used, simulation.used_share)
        oracle += play_oracle(simulation)
    megabytes = remote / 1e6 / len(seeds) / DURATION_S
    print_result(
        load.name,
        calls,
        "remote %.2f MB/s repeats %d floor %.3f" % (megabytes, repeats, used),
    )
    if not verbose:
        return
    for name, group in group_calls(calls, lambda c: c.kind.name).items():
        print("    %-12s %s" % (name, describe(measure(group))))
    for name, group in group_calls(
        calls, lambda c: c.priority if c.workspace != "ws10" else "ws10"
    ).items():
        print("    ws of %-7s %s" % (name, describe(measure(group))))
    print_result("    oracle", oracle)


def measure_cost():
    """Return the processor time of one decision at 285 workers, in ms.

    Failures are recorded, some requests are queued, and scouts are known.
    """
    load = Load("cost", RENDERING, 285, 6, 2.0, zones=1)
    simulation = AdmissionSimulation(load, 1)
    scheduler = simulation.schedulers["z0"]
    spent = []
    decide = scheduler.decide

    def measure_decide(request, sender, now):
        started = time.process_time()
        answer = decide(request, sender, now)
        spent.append(time.process_time() - started)
        return answer

    timed = types.SimpleNamespace(
        decide=measure_decide,
        dispatch=scheduler.dispatch,
        apply_report=scheduler.apply_report,
        measure_usage=scheduler.measure_usage,
    )
    simulation.schedulers["z0"] = timed
    simulation.run()
    return 1000.0 * sum(spent) / len(spent)


def choose_fewest(workers, request, now, *fields):
    """Return the eligible worker with the fewest requests in flight."""
    eligible = [w for w in workers if selection.is_eligible(w, request, now)]
    return min(eligible, key=lambda w: len(w.in_flight), default=None)


def choose_of_two(workers, request, now, *fields):
    """Return the less loaded of two eligible workers chosen at random."""
    eligible = [w for w in workers if selection.is_eligible(w, request, now)]
    if len(eligible) > 2:
        eligible = POLICY_RANDOM.sample(eligible, 2)
    return min(eligible, key=lambda w: len(w.in_flight), default=None)


def choose_without_onsets(*fields):
    """Return the worker that was chosen before onsets were measured."""
    return CHOOSE_WORKER(*fields[:7])


def compare_policies(seeds=(1, 2)):
    """Print latency and failed orders for several choices of a worker."""
    policies = {
        "fewest": choose_fewest,
        "two choices": choose_of_two,
        "before": choose_without_onsets,
        "now": CHOOSE_WORKER,
    }
    for name, policy in policies.items():
        calls, remote = [], 0
        selection.choose_worker = policy
        for seed in seeds:
            simulation = AdmissionSimulation(LOADS[0], seed).run()
            calls += simulation.calls
            remote += simulation.remote_bytes
        selection.choose_worker = CHOOSE_WORKER
        latencies = sorted(
            c.ended_at - c.arrived_at for c in calls if c.outcome == "served"
        )
        print(
            "%-12s mean %.3f s p99 %.3f s failed orders %d of %d "
            "served %.4f remote %.2f MB/s"
            % (
                name,
                sum(latencies) / len(latencies),
                latencies[int(0.99 * len(latencies))],
                sum(
                    c.outcome == "failed" and not c.kind.idempotent
                    for c in calls
                ),
                sum(not c.kind.idempotent for c in calls),
                measure(calls)["served"],
                remote / 1e6 / len(seeds) / DURATION_S,
            )
        )


def main():
    """Play the loads named on the command line, or all of them."""
    if sys.argv[1:] == ["cost"]:
        print("a decision at 285 workers takes %.3f ms" % measure_cost())
        return
    if sys.argv[1:] == ["policies"]:
        compare_policies()
        return
    for load in LOADS:
        if len(sys.argv) < 2 or load.name in sys.argv[1:]:
            play(load)


if __name__ == "__main__":
    main()
