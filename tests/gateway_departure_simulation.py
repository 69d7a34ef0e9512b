"""Simulation of leaving workers, under cuts, outages and late records."""

import collections
import random

from acaciafield.gateway import events
from acaciafield.gateway import messages
from acaciafield.gateway import rosters
from tests import gateway_fleet
from tests import gateway_support as support

ZONES = 3
NODES = 6  # in each zone
WORKERS = 10
SETTLED_AT_S = 10.0
END_S = 34.0
RECORD_PERIOD_S = 1.5  # between the records of a worker
REQUEST_PERIOD_S = 0.02
REQUEST_TIMEOUT_S = 0.06  # before the next coordinator is tried
LOSS_RATIO = 0.1  # of the messages
FAULT_RECOVERY_S = 3.0  # after a fault, until a node counts as connected


class Use:
    """A grant that a node used."""

    __slots__ = ("at", "node", "worker_id", "entry_version")

    def __init__(self, at, node, worker_id, entry_version):
        self.at = at
        self.node = node
        self.worker_id = worker_id
        self.entry_version = tuple(entry_version)

    def __repr__(self):
        return "%s at %s: %s %s" % (
            self.node,
            round(self.at, 2),
            self.worker_id,
            self.entry_version,
        )


class DepartureFleet(gateway_fleet.Fleet):
    """A fleet that records which grants its nodes use."""

    def __init__(self, rng):
        super().__init__(ZONES, NODES)
        self.rng = rng
        self.answered = set()
        self.uses = []
        # By node and worker, the version of the departure that the node read.
        self.acknowledged = collections.defaultdict(dict)
        self.uses_of_departed = []

    def record_read(self, state, entries):
        known = self.acknowledged[state.local_member.name]
        for entry in entries:
            if entry.draining:
                before = known.get(entry.worker_id, rosters.NO_VERSION)
                known[entry.worker_id] = max(before, entry.version)

    def deliver(self, sender, ip, message):
        if self.rng.random() >= LOSS_RATIO:
            super().deliver(sender, ip, message)

    def record_delivery(self, state, message):
        if not isinstance(message, messages.Grant):
            return
        if message.attempt_id in self.answered:
            return
        self.answered.add(message.attempt_id)
        name, worker_id = state.local_member.name, message.worker_id
        use = Use(self.now, name, worker_id, message.entry_version)
        self.uses.append(use)
        known = self.acknowledged[name].get(worker_id, rosters.NO_VERSION)
        if use.entry_version <= known:
            self.uses_of_departed.append(use)


class DepartureSimulation:
    """One simulation, determined by a seed.

    ``left_at`` maps a worker to the time at which it left, ``faults`` a node
    or "store" to the (start, end) of its faults.
    """

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.fleet = DepartureFleet(self.random)
        self.fleet.entries = [
            support.make_entry("w%d" % number, slots=9)
            for number in range(1, WORKERS + 1)
        ]
        self.left_at = {}
        self.faults = collections.defaultdict(list)
        self.count = 0

    @property
    def grants_used(self):
        """The number of grants that nodes used."""
        return len(self.fleet.uses)

    def run(self):
        """Run the simulation to its end."""
        fleet = self.fleet
        fleet.start()
        for number in range(1, WORKERS + 1):
            phase = self.random.uniform(0.0, RECORD_PERIOD_S)
            self._plan_records("w%d" % number, phase)
        fleet.run_until(SETTLED_AT_S)
        fleet.plan(SETTLED_AT_S, self._request_worker)
        for _ in range(4):
            self._plan_departure()
            self._plan_fault()
            self._plan_fault()
        fleet.run_until(END_S)

    def list_uses_of_known_departed(self):
        """Return the uses of a worker that the node knew had left."""
        return self.fleet.uses_of_departed

    def list_late_uses_of_connected(self, bound):
        """Return uses later than ``bound`` seconds after the departure."""
        return [
            use
            for use in self.fleet.uses
            if use.worker_id in self.left_at
            and use.at > self.left_at[use.worker_id] + bound
            and self._is_connected(use.node, use.at)
        ]

    def _is_connected(self, name, now):
        spans = self.faults[name] + self.faults["store"]
        return not any(
            start <= now and now - FAULT_RECOVERY_S <= end
            for start, end in spans
        )

    def _write(self, worker_id, **fields):
        """Write a worker's next entry to the store; return the one before."""
        for entry in self.fleet.entries:
            if entry.worker_id == worker_id:
                values = {n: getattr(entry, n) for n in entry.__slots__}
                values["sequence"] += 1
                self._store_entry(type(entry)(**(values | fields)))
                return entry

    def _store_entry(self, newer):
        """Put an entry in the place of the worker's earlier one."""
        self.fleet.entries = [
            newer if entry.worker_id == newer.worker_id else entry
            for entry in self.fleet.entries
        ]

    def _plan_records(self, worker_id, at):
        def write(now):
            has_left = worker_id in self.left_at
            if not self.fleet.down:
                # A late record may have replaced a newer one, so the
                # sequence is not derived from the store.
                self._write(
                    worker_id, sequence=self._count(), draining=has_left
                )
            self._plan_records(worker_id, now + RECORD_PERIOD_S)

        self.fleet.plan(at, write)

    def _count(self):
        self.count += 1
        return 1000 + self.count

    def _plan_departure(self):
        worker_id = "w%d" % self.random.randint(1, WORKERS)
        late = self.random.random() < 0.7

        def leave(now):
            if worker_id in self.left_at or self.fleet.down:
                return
            self.left_at[worker_id] = now
            old = self._write(worker_id, sequence=self._count(), draining=True)
            if late:
                after = self.random.uniform(0.0, 8.0)
                self.fleet.plan(now + after, lambda _: self._store_entry(old))

        self.fleet.plan(self.random.uniform(12.0, 26.0), leave)

    def _plan_fault(self):
        fleet = self.fleet
        start = self.random.uniform(12.0, 26.0)
        end = start + self.random.uniform(0.5, 8.0)
        kind = self.random.choice(("cut", "cut", "refuse", "refuse", "down"))
        if kind == "down":
            end = min(end, start + 4.0)
            self.faults["store"].append((start, end))
            fleet.plan(start, lambda _: setattr(fleet, "down", True))
            fleet.plan(end, lambda _: setattr(fleet, "down", False))
            return
        names = self.random.sample(sorted(fleet.states), 6)
        if self.random.random() < 0.5:
            names += fleet.list_coordinators()[:2]
        for name in names:
            self.faults[name].append((start, end))
            if kind == "cut":
                fleet.plan(start, lambda _, n=name: fleet.cut(n))
                fleet.plan(end, lambda _, n=name: fleet.heal(n))
            fleet.plan(start, lambda _, n=name: fleet.refused.add(n))
            fleet.plan(end, lambda _, n=name: fleet.refused.discard(n))

    def _request_worker(self, now):
        fleet = self.fleet
        state = fleet.states[self.random.choice(sorted(fleet.states))]
        include_local = state.may_grant_locally(now)
        names = state.membership.rank_coordinators(
            "orders", now, include_local
        )
        self.count += 1
        request = support.make_grant_request(
            "q%d:1" % self.count, time_left=0.05, node=state.local_member.name
        )
        self._send(state, request, names, now)
        fleet.plan(now + REQUEST_PERIOD_S, self._request_worker)

    def _send(self, state, request, names, now):
        """Send a request to one coordinator after the other."""
        fleet = self.fleet
        if not names or request.attempt_id in fleet.answered:
            return
        name, *others = names
        if name == state.local_member.name:
            fleet.feed(state, events.MessageReceived(now, "", request))
        else:
            fleet.deliver(
                state.local_member.ip,
                fleet.states[name].local_member.ip,
                request,
            )
        fleet.plan(
            now + REQUEST_TIMEOUT_S,
            lambda later: self._send(state, request, others, later),
        )


class RemovalSimulation(DepartureSimulation):
    """One simulation of workers that leave without draining.

    Their entries are removed, at times right after a heartbeat, so that one
    read of the store brings both.
    """

    def run(self):
        """Run the simulation to its end."""
        for entry in self.fleet.entries:
            self.fleet.append_record(entry.worker_id, entry)
        super().run()

    def _write(self, worker_id, **fields):
        if worker_id in self.left_at:
            return None
        return super()._write(worker_id, **fields)

    def _store_entry(self, newer):
        self.fleet.append_record(newer.worker_id, newer)

    def _plan_departure(self):
        worker_id = "w%d" % self.random.randint(1, WORKERS)
        late = self.random.random() < 0.5

        def leave(now):
            if worker_id in self.left_at or self.fleet.down:
                return
            old = self._write(worker_id, sequence=self._count())
            self.left_at[worker_id] = now
            self.fleet.append_record(worker_id, None)
            if late:
                after = self.random.uniform(0.0, 0.5)
                self.fleet.plan(
                    now + after,
                    lambda _: self.fleet.append_record(worker_id, old),
                )

        self.fleet.plan(self.random.uniform(12.0, 26.0), leave)
