"""Small fakes at the interfaces of the decision code, in virtual time.

A World holds nodes, workers, the log, the host list and callers, and
a queue of what happens when. Nothing here decides anything: the nodes
run the real reducer. What really ran stands in the workers' ledgers.
"""

import collections
import heapq
import itertools
import math
import random

from acaciafield import configuration
from acaciafield import events
from acaciafield import node as nodes
from acaciafield import outcomes
from bench import carrying
from standins import streams

HOP = 0.0005  # seconds one way between machines
PLATFORM_HOP = 0.002  # seconds one way to the platform
SIGMA = 0.47  # of the natural logarithm of service times
CONNECT_TIMEOUT = 1.0  # seconds
STALL_TIMEOUT = 2.0  # seconds
CRASH_TIME = 1.0  # seconds until a crashed worker takes connections
START_TIME = 1_000_000.0  # seconds

Ending = outcomes.Ending
Outcome = outcomes.Outcome
Stage = outcomes.Stage


class FakeWorker:
    """A worker with slots, faults and a ledger of what it ran.

    ``resets`` lets it take connections while it restarts after a crash,
    and break them off; without ``cancels`` work given up keeps its slot;
    ``ledger`` holds (time, fingerprint, node) of
    every start.
    """

    def __init__(self, worker_id, service, zone, slots, mean, seed):
        self.worker_id = worker_id
        self.service = service
        self.zone = zone
        self.slots = slots
        self.log_mean = math.log(mean) - SIGMA * SIGMA / 2
        self.random = random.Random(seed)
        self.busy = {}
        self.ledger = []
        self.slow = 1.0
        self.stall = False
        self.errors = 0.0
        self.draining = False
        self.draining_since = None
        self.crash_on = None
        self.down_until = 0.0
        self.resets = False
        self.cancels = True
        self.crash_time = CRASH_TIME
        self.started = 0.0
        self.silent_to = set()
        self.connected = set()
        self.answers = 0

    @property
    def address(self):
        """The address, which only names the worker."""
        return self.worker_id + ":1"

    def draw_time(self):
        """Return a service time in seconds, or None for a stall."""
        if self.stall:
            return None
        drawn = self.random.lognormvariate(self.log_mean, SIGMA)
        return drawn * self.slow


class FakeLog:
    """The platform's log with its outages."""

    def __init__(self):
        self.streams = collections.defaultdict(streams.Stream)
        self.down = False
        self.lose_answers = False
        self.retention = None
        self.appends = 0

    def append(self, stream, data):
        """Append a record; return its offset."""
        self.appends += 1
        return self.streams[stream].append(data, self.retention)


class Told:
    """What a caller was told about one try; times in seconds."""

    __slots__ = (
        "label",
        "service",
        "class_name",
        "node_id",
        "at",
        "done_at",
        "outcome",
        "status",
        "replayed",
        "title",
        "offset",
        "cut",
    )

    def __init__(self, label, service, class_name, node_id, at):
        self.label = label
        self.service = service
        self.class_name = class_name
        self.node_id = node_id
        self.at = at
        self.done_at = None
        self.outcome = None
        self.status = 0
        self.replayed = False
        self.title = ""
        self.offset = 0
        self.cut = False

    @property
    def latency(self):
        """Seconds until the answer was whole."""
        return self.done_at - self.at


class Host:
    """One node in the world."""

    __slots__ = ("node", "alive", "frozen", "backlog", "due", "sent_bytes")

    def __init__(self, node):
        self.node = node
        self.alive = True
        self.frozen = False
        self.backlog = []
        self.due = None
        self.sent_bytes = 0


class World:
    """Everything that happens, in order of time."""

    def __init__(self, seed=1, measure=None):
        self.now = START_TIME
        self.random = random.Random(seed)
        self.queue = []
        self.count = itertools.count()
        self.hosts = {}
        self.workers = {}
        self.log = FakeLog()
        self.listed = {}
        self.listed_nodes = set()
        self.cuts = set()
        self.told = {}
        self.request_ids = itertools.count(1)
        self.attempts = {}
        self.notes = []
        self.measure = measure
        self.on_message = None
        self.downloads = {}
        self.download_time = 0.0
        self.on_step = None

    def call_at(self, due, work, *args):
        """Plan a call at a time in seconds."""
        heapq.heappush(self.queue, (due, next(self.count), work, args))

    def call_in(self, delay, work, *args):
        """Plan a call after some seconds."""
        self.call_at(self.now + delay, work, *args)

    def run_for(self, seconds):
        """Let time pass."""
        end = self.now + seconds
        while self.queue and self.queue[0][0] <= end:
            self.now, _, work, args = heapq.heappop(self.queue)
            work(*args)
        self.now = end

    def run_until(self, condition, limit):
        """Let time pass until the condition holds; return whether."""
        end = self.now + limit
        while not condition():
            if not self.queue or self.queue[0][0] > end:
                self.now = end
                return condition()
            self.now, _, work, args = heapq.heappop(self.queue)
            work(*args)
        return True

    def add_node(self, name, zone="a", validity=2.0):
        """Start a node and list it; return its identifier."""
        node_id = "%s_%d" % (name, next(self.count))
        node = nodes.Node(
            node_id,
            self.random.getrandbits(32),
            ip=node_id,
            http_port=1,
            peer_port=1,
            availability_zone=zone,
            validity=validity,
        )
        self.hosts[node_id] = Host(node)
        self.listed_nodes.add(node_id)
        self._carry_out(node_id, node.start(self.now))
        return node_id

    def add_workers(self, service, count, slots, mean):
        """Start the workers of a service, spread over three zones."""
        for number in range(count):
            worker = FakeWorker(
                "%s-%d" % (service, number + 1),
                service,
                "abc"[number % 3],
                slots,
                mean,
                self.random.getrandbits(32),
            )
            self.workers[worker.worker_id] = worker
            self.listed[worker.worker_id] = "live"

    def publish(self, change_id, items):
        """Append a change of the configuration; return its offset."""
        record = configuration.make_change(change_id, items)
        data = configuration.encode_record(record)
        return self.log.append(configuration.STREAM, data)

    def kill(self, node_id):
        """Let a node die at once."""
        self.hosts[node_id].alive = False
        for told in self.told.values():
            if told.node_id == node_id and told.done_at is None:
                self.tell_caller(told, Outcome.UNKNOWN, 0, cut=True)

    def freeze(self, node_id):
        """Let a node stand still; what reaches it waits."""
        self.hosts[node_id].frozen = True

    def thaw(self, node_id):
        """Let a frozen node go on, unaware of the pause."""
        host = self.hosts[node_id]
        host.frozen = False
        backlog, host.backlog = host.backlog, []
        for kind, fields in backlog:
            self.feed(node_id, kind, *fields)
        self._tick(node_id, None)

    def stop(self, node_id):
        """Ask for a planned stop."""
        self.feed(node_id, events.StopAsked)
        self.listed_nodes.discard(node_id)

    def cut(self, source, target):
        """Cut one direction between two machines."""
        self.cuts.add((source, target))

    def isolate(self, node_id):
        """Cut a node off from all other nodes, both ways."""
        for other in self.hosts:
            if other != node_id:
                self.cut(node_id, other)
                self.cut(other, node_id)

    def request(
        self,
        node_id,
        service,
        label,
        method="GET",
        class_name="",
        key=None,
        timeout=None,
        body="body",
        fingerprint=None,
    ):
        """Send a caller's request to a node; return the Told."""
        request_id = next(self.request_ids)
        told = Told(label, service, class_name, node_id, self.now)
        self.told[request_id] = told
        host = self.hosts[node_id]
        if not host.alive or host.node.stopping.value == "gone":
            self.tell_caller(told, Outcome.NOT_RUN, 0)
            told.title = "no connection"
            return told
        self.note_step("accept", node_id)
        if not host.alive:
            self.tell_caller(told, Outcome.UNKNOWN, 0, cut=True)
            return told
        self.feed(
            node_id,
            events.RequestArrived,
            request_id,
            service,
            method,
            class_name,
            key,
            fingerprint or label,
            body,
            timeout,
            True,
        )
        return told

    def ask_addresses(self, node_id, service):
        """Return a node's address answer, or None."""
        return self.hosts[node_id].node.find_addresses(service, self.now)

    def list_live(self):
        """Return the nodes that run."""
        return [n for n, h in self.hosts.items() if h.alive]

    def feed(self, node_id, kind, *fields):
        """Give a node an event, now or when it is thawed."""
        host = self.hosts[node_id]
        if not host.alive:
            return
        if host.frozen:
            host.backlog.append((kind, fields))
            return
        event = kind(self.now, *fields)
        if self.measure is not None:
            wanted = self.measure(host.node, event)
        else:
            wanted = host.node.handle(event)
        self._carry_out(node_id, wanted)

    def note_step(self, step, node_id, worker=None):
        """Tell the watcher, if any, that a step is about to be taken."""
        if self.on_step is not None:
            self.on_step(step, node_id, worker)

    def count_runs(self):
        """Return how often each fingerprint ran, by the ledgers."""
        runs = collections.Counter()
        for worker in self.workers.values():
            for _, fingerprint, _ in worker.ledger:
                runs[fingerprint] += 1
        return runs

    def _tick(self, node_id, due):
        host = self.hosts[node_id]
        if not host.alive or host.frozen:
            return
        if due is not None and host.due != due:
            return
        host.due = None
        wanted = host.node.tick(self.now)
        self._carry_out(node_id, wanted)

    def _carry_out(self, node_id, wanted):
        for effect in wanted:
            carrying.carry_out(effect, self, node_id)
        host = self.hosts[node_id]
        due = host.node.next_due()
        if due is not None and (host.due is None or due < host.due):
            host.due = due
            self.call_at(max(due, self.now), self._tick, node_id, due)

    def tell_caller(self, told, outcome, status, cut=False):
        """Note what a caller is told, once."""
        if told.done_at is None:
            told.done_at = self.now
            told.outcome = outcome
            told.status = status
            told.cut = cut

    def end_attempt(self, name, *fields):
        """Tell a node that an attempt ended, unless it gave it up."""
        node_id, request_id, number = name
        if self.attempts.pop(name, None) is not None:
            self.feed(
                node_id, events.AttemptEnded, request_id, number, *fields
            )
