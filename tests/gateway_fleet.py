"""A simulated fleet of gateway nodes, with a store that may fail."""

import functools
import heapq

from acaciafield.gateway import coordination
from acaciafield.gateway import effects
from acaciafield.gateway import events
from acaciafield.gateway import message_types
from acaciafield_daemon.gateway import store_reader
from tests import gateway_support as support

MESSAGE_DELAY_S = 0.001
FETCH_TIME_S = 0.005  # for a document of another node
CALL_TIME_S = 0.004  # for a call to the store


class Reader:
    """The task of a coordinator that reads the store."""

    def __init__(self, fleet, state):
        self.fleet = fleet
        self.state = state
        self.active = True
        self.pause = store_reader.RETRY_PAUSE_S
        self.table = store_reader.WorkerTable()
        self.offset = None

    def read(self, now):
        """Read the workers once and schedule the next read."""
        if not self.active:
            return
        fleet, name = self.fleet, self.state.local_member.name
        fleet.calls += 1
        if fleet.is_refused(name):
            fleet.feed(self.state, events.StoreFailed(now))
            fleet.plan(now + self.pause, self.read)
            self.pause = min(store_reader.MAX_RETRY_PAUSE_S, 2 * self.pause)
            return
        self.pause = store_reader.RETRY_PAUSE_S
        fleet.feed(self.state, events.StoreEraRead(now, fleet.era))
        fleet.feed(self.state, events.StoreAnswered(now))
        self.table.record_answer(now)
        rows, is_snapshot = self._read_records()
        self.table.apply(rows, is_snapshot, now)
        self.table.remove_expired(now)
        found = list(self.table.entries.values())
        departures = self.table.take_departures()
        fleet.feed(self.state, events.WorkersRead(now, found, departures))
        fleet.record_read(self.state, found)
        fleet.plan(
            now + store_reader.WORKER_READ_PERIOD_S + CALL_TIME_S, self.read
        )

    def _read_records(self):
        """Return the records since the last read, and if it is a snapshot."""
        log, start = self.fleet.log, self.offset
        self.offset = len(log)
        if start is None or not log:
            return [(e.worker_id, e) for e in self.fleet.entries], True
        return log[start:], False


class Fleet:
    """Nodes by name; ``calls`` counts the calls to the store.

    ``writes`` counts those that persist crashes; ``persisted`` has the
    time and the rows of persisted crashes by node. ``refused`` has the names
    of the nodes that the store refuses. Without records in ``log``, readers
    get all ``entries`` at each read, and with some only the newer ones.
    ``era`` is the store's; ``member_writes`` has the time, the node and the
    era of each member record that is written again.
    """

    def __init__(self, zones, count):
        self.now = 0.0
        self.calls = 0
        self.writes = 0
        self.down = False
        self.refused = set()
        self._cut = set()
        self.entries = [support.make_entry("w1")]
        self.log = []
        self.states = {}
        self._by_ip = {}
        self._readers = {}
        self._plans = []
        self._count = 0
        self.persisted = {}
        self.era = 0
        self.member_writes = []
        for number in range(zones * count):
            name = "n%d" % (number + 1)
            zone = "z%d" % (number % zones)
            self._add(support.make_state(name, zone=zone))

    def append_record(self, worker_id, entry):
        """Append a worker's entry to the log, or its removal with None."""
        self.log.append((worker_id, entry))
        others = [e for e in self.entries if e.worker_id != worker_id]
        self.entries = others + ([entry] if entry is not None else [])

    def _add(self, state):
        self.states[state.local_member.name] = state
        self._by_ip[state.local_member.ip] = state

    def start(self):
        """Start all nodes, which read each other from the store."""
        found = [state.local_member for state in self.states.values()]
        for state in self.states.values():
            state.is_ready = True
            self.feed(state, events.MembersRead(self.now, found))
            for at, rows in self.persisted.values():
                event = events.CrashRowsRead(self.now, rows, self.now - at)
                self.feed(state, event)
            state.start(self.now)
            self._plan_tick(state)

    def restart(self):
        """Kill and restart all nodes."""
        for name, old in list(self.states.items()):
            self.set_reading(old, False)
            incarnation = old.local_member.incarnation + 1
            state = support.make_state(
                name, zone=old.local_member.zone, incarnation=incarnation
            )
            self._add(state)
        self.start()

    def persist_crashes(self, state, rows):
        """Persist a node's crash records in the store."""
        self.calls += 1
        self.writes += 1
        if self.is_refused(state.local_member.name):
            self.feed(state, events.CrashWriteFailed(self.now))
        else:
            self.persisted[state.local_member.name] = (self.now, rows)

    def write_member(self, state):
        """Write a node's member record to the store again."""
        self.calls += 1
        name = state.local_member.name
        if self.is_refused(name):
            self.feed(state, events.MemberWriteFailed(self.now))
            return
        self.member_writes.append((self.now, name, self.era))
        self.feed(state, events.StoreEraRead(self.now, self.era))
        self.feed(state, events.RecordWritten(self.now, self.era))

    def run_until(self, end):
        """Run the planned actions up to ``end`` seconds."""
        while self._plans and self._plans[0][0] <= end:
            self.now, _, act = heapq.heappop(self._plans)
            act(self.now)
        self.now = end

    def plan(self, at, act):
        """Schedule a call of ``act`` at a time in seconds."""
        self._count += 1
        heapq.heappush(self._plans, (at, self._count, act))

    def is_refused(self, name):
        """Return whether the store refuses a node at present."""
        return self.down or name in self.refused

    def cut(self, name):
        """Drop all messages to and from a node."""
        self._cut.add(self.states[name].local_member.ip)

    def heal(self, name):
        """Deliver messages to and from a node again."""
        self._cut.discard(self.states[name].local_member.ip)

    def is_cut(self, name):
        """Return whether a node is cut off at present."""
        return self.states[name].local_member.ip in self._cut

    def receive(self, state, sender, message):
        """Deliver a message to a node without delay."""
        self.feed(state, events.MessageReceived(self.now, sender, message))

    def record_read(self, state, entries):
        """Record the entries that a node read; a hook for subclasses."""

    def record_delivery(self, state, message):
        """Record an answer to a local request; a hook for subclasses."""

    def find_state(self, ip):
        """Return the node at an address."""
        return self._by_ip[ip]

    def list_coordinators(self):
        """Return the names of the nodes that coordinate."""
        return [n for n, state in self.states.items() if state.is_coordinating]

    def feed(self, state, event):
        """Feed an event to a node and carry out its effects."""
        boot_now = self.read_boot_clock(state)
        for effect in coordination.reduce_event(state, event, boot_now):
            apply_effect(effect, self, state)

    def read_boot_clock(self, state):
        """Return the time of a host's boot clock; a hook for subclasses."""
        return self.now

    def fetch_configuration(self, state, ip):
        """Fetch a node's configuration; a hook for subclasses."""

    def deliver(self, sender, ip, message):
        """Send a message to the node at ``ip``."""
        assert message_types.find_mistyped(message) is None
        if {sender, ip} & self._cut:
            return

        def receive(now):
            self.receive(self._by_ip[ip], sender, message)

        self.plan(self.now + MESSAGE_DELAY_S, receive)

    def fetch_workers(self, state, ip):
        """Answer a node's fetch from another coordinator."""
        other = self._by_ip[ip]

        def receive(now):
            age = other.get_store_age(now)
            if age is not None:
                entries = list(other.roster.entries.values())
                rows = other.roster.list_departed()
                crashes = other.crashes.dump(now)
                event = events.WorkersFetched(
                    now, entries, age, {}, rows, crashes
                )
                self.feed(state, event)
                self.record_read(state, entries)

        self.plan(self.now + FETCH_TIME_S, receive)

    def set_reading(self, state, active):
        """Start or stop a node's task that reads the store."""
        name = state.local_member.name
        if name in self._readers:
            self._readers.pop(name).active = False
        if active:
            self._readers[name] = Reader(self, state)
            self.plan(self.now + CALL_TIME_S, self._readers[name].read)

    def _plan_tick(self, state):
        due = state.next_due()

        def tick(now):
            if self.states[state.local_member.name] is not state:
                return
            self.feed(state, events.Tick(now))
            self._plan_tick(state)

        self.plan(max(due, self.now + MESSAGE_DELAY_S), tick)


@functools.singledispatch
def apply_effect(effect, fleet, state):
    """Carry out an effect of a node; ignore effects of other classes."""


@apply_effect.register
def _send(effect: effects.Send, fleet, state):
    fleet.deliver(state.local_member.ip, effect.ip, effect.message)


@apply_effect.register
def _deliver(effect: effects.DeliverAnswer, fleet, state):
    fleet.record_delivery(state, effect.message)


@apply_effect.register
def _follow_store(effect: effects.FollowStore, fleet, state):
    fleet.set_reading(state, effect.active)


@apply_effect.register
def _persist_crashes(effect: effects.PersistCrashes, fleet, state):
    fleet.persist_crashes(state, effect.rows)


@apply_effect.register
def _fetch_configuration(effect: effects.FetchConfiguration, fleet, state):
    fleet.fetch_configuration(state, effect.ip)


@apply_effect.register
def _write_member(effect: effects.WriteMember, fleet, state):
    fleet.write_member(state)


@apply_effect.register
def _fetch_workers(effect: effects.FetchWorkers, fleet, state):
    fleet.fetch_workers(state, effect.ip)
