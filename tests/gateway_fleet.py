"""A fleet of gateway nodes in virtual time, with a store that may fail."""

import functools
import heapq

from acaciafield.gateway import coordination
from acaciafield.gateway import effects
from acaciafield.gateway import events
from acaciafield_daemon.gateway import feeds
from tests import gateway_support as support

DELAY = 0.001  # seconds that a message takes
FETCH_TIME = 0.005  # seconds that a document of another node takes
CALL_TIME = 0.004  # seconds that the store takes to answer


class Reader:
    """The reading task of a node that coordinates."""

    def __init__(self, fleet, state):
        self.fleet = fleet
        self.state = state
        self.active = True
        self.pause = feeds.RETRY_PAUSE
        self.table = feeds.WorkerTable()

    def read(self, now):
        """Read the workers once and plan the next reading."""
        if not self.active:
            return
        fleet, name = self.fleet, self.state.own.name
        fleet.calls += 1
        if fleet.is_refused(name):
            fleet.feed(self.state, events.StoreLost(now))
            fleet.plan(now + self.pause, self.read)
            self.pause = min(feeds.MOST_RETRY_PAUSE, 2 * self.pause)
            return
        self.pause = feeds.RETRY_PAUSE
        fleet.feed(self.state, events.StoreHeard(now))
        self.table.note_heard(now)
        rows = [(entry.worker_id, entry) for entry in fleet.entries]
        self.table.apply(rows, True, now)
        self.table.expire(now)
        found = list(self.table.entries.values())
        fleet.feed(self.state, events.WorkersRead(now, found))
        fleet.note_read(self.state, found)
        fleet.plan(now + feeds.WORKERS_PERIOD + CALL_TIME, self.read)


class Fleet:
    """Nodes by name; ``calls`` counts the calls to the store."""

    def __init__(self, zones, count):
        self.now = 0.0
        self.calls = 0
        self.writes = 0  # of crashes
        self.down = False
        self.refused = set()
        self._cut = set()
        self.entries = [support.make_entry("w1")]
        self.states = {}
        self._by_ip = {}
        self._readers = {}
        self._plans = []
        self._count = 0
        self.kept = {}  # time and rows of crashes, by node
        for number in range(zones * count):
            name = "n%d" % (number + 1)
            zone = "z%d" % (number % zones)
            self._add(support.make_state(name, zone=zone))

    def _add(self, state):
        self.states[state.own.name] = state
        self._by_ip[state.own.ip] = state

    def start(self):
        """Start all nodes, which learn of each other from the store."""
        found = [state.own for state in self.states.values()]
        for state in self.states.values():
            state.ready = True
            self.feed(state, events.MembersRead(self.now, found))
            for at, rows in self.kept.values():
                event = events.CrashesRead(self.now, rows, self.now - at)
                self.feed(state, event)
            state.start(self.now)
            self._plan_tick(state)

    def restart(self):
        """Kill all nodes and start them anew."""
        for name, old in list(self.states.items()):
            self.set_reading(old, False)
            born = old.own.born + 1
            state = support.make_state(name, zone=old.own.zone, born=born)
            self._add(state)
        self.start()

    def persist_crashes(self, state, rows):
        """Keep what a node knows of crashes in the store."""
        self.calls += 1
        self.writes += 1
        if self.is_refused(state.own.name):
            self.feed(state, events.CrashesUnkept(self.now))
        else:
            self.kept[state.own.name] = (self.now, rows)

    def run_until(self, end):
        """Let time pass up to ``end`` seconds."""
        while self._plans and self._plans[0][0] <= end:
            self.now, _, act = heapq.heappop(self._plans)
            act(self.now)
        self.now = end

    def plan(self, at, act):
        """Call ``act`` at a time."""
        self._count += 1
        heapq.heappush(self._plans, (at, self._count, act))

    def is_refused(self, name):
        """Tell whether the store serves a node at present."""
        return self.down or name in self.refused

    def cut(self, name):
        """Let no message reach a node any longer, nor leave it."""
        self._cut.add(self.states[name].own.ip)

    def heal(self, name):
        """Let messages reach a node again."""
        self._cut.discard(self.states[name].own.ip)

    def is_cut(self, name):
        """Tell whether a node is cut off at present."""
        return self.states[name].own.ip in self._cut

    def receive(self, state, sender, message):
        """Let a node take a message in at once."""
        self.feed(state, events.MessageReceived(self.now, sender, message))

    def note_read(self, state, entries):
        """Note what a node read in the store."""

    def note_delivered(self, state, message):
        """Note what a node hands to one of its requests."""

    def find_state(self, ip):
        """Return the node at an address."""
        return self._by_ip[ip]

    def list_on_duty(self):
        """Return the names of the nodes that follow the store."""
        return [n for n, state in self.states.items() if state.following]

    def feed(self, state, event):
        """Give an event to a node and carry its effects out."""
        for effect in coordination.reduce_event(state, event):
            carry_out(effect, self, state)

    def deliver(self, sender, ip, message):
        """Send a message to the node at ``ip``."""
        if {sender, ip} & self._cut:
            return

        def take(now):
            self.receive(self._by_ip[ip], sender, message)

        self.plan(self.now + DELAY, take)

    def fetch_workers(self, state, ip):
        """Answer a node's fetch from another coordinator."""
        other = self._by_ip[ip]

        def take(now):
            age = other.read_store_age(now)
            if age is not None:
                entries = list(other.roster.entries.values())
                rows = other.roster.list_departed()
                crashes = other.crashes.dump(now)
                event = events.WorkersFetched(
                    now, entries, age, {}, rows, crashes
                )
                self.feed(state, event)
                self.note_read(state, entries)

        self.plan(self.now + FETCH_TIME, take)

    def set_reading(self, state, active):
        """Begin or end a node's reading of the store."""
        name = state.own.name
        if name in self._readers:
            self._readers.pop(name).active = False
        if active:
            self._readers[name] = Reader(self, state)
            self.plan(self.now + CALL_TIME, self._readers[name].read)

    def _plan_tick(self, state):
        due = state.next_due()

        def tick(now):
            if self.states[state.own.name] is not state:
                return
            self.feed(state, events.Tick(now))
            self._plan_tick(state)

        self.plan(max(due, self.now + DELAY), tick)


@functools.singledispatch
def carry_out(effect, fleet, state):
    """Do what an effect of a node asks for; others are of no concern."""


@carry_out.register
def _send(effect: effects.Send, fleet, state):
    fleet.deliver(state.own.ip, effect.ip, effect.message)


@carry_out.register
def _deliver(effect: effects.Deliver, fleet, state):
    fleet.note_delivered(state, effect.message)


@carry_out.register
def _follow_store(effect: effects.FollowStore, fleet, state):
    fleet.set_reading(state, effect.active)


@carry_out.register
def _keep_crashes(effect: effects.KeepCrashes, fleet, state):
    fleet.persist_crashes(state, effect.rows)


@carry_out.register
def _fetch_workers(effect: effects.FetchWorkers, fleet, state):
    fleet.fetch_workers(state, effect.ip)
