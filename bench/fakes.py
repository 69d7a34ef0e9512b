"""Fakes of the platform, workers and network in virtual time.

A World holds nodes, workers, the log, the host list and callers, and
a queue of scheduled calls. It takes no decisions: the nodes run the real
reducer. The workers' ledgers record which requests really ran.
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

HOP = 0.0005  # seconds, one way, between machines
PLATFORM_DELAY_S = 0.002  # one way
SERVICE_TIME_SIGMA = 0.47  # of the natural logarithm of service times
CONNECT_TIMEOUT_S = 1.0
STALL_TIMEOUT_S = 2.0
RESTART_S = 1.0  # until a crashed worker accepts connections
START_TIME_S = 1_000_000.0

Ending = outcomes.Ending
Outcome = outcomes.Outcome
Stage = outcomes.Stage


class FakeWorker:
    """A worker with slots, faults and a ledger of the requests it ran.

    With ``resets`` it accepts connections while it restarts after a crash
    and resets them; without ``cancels`` a cancelled request keeps its slot;
    ``ledger`` holds (time, fingerprint, node) of every started request.
    """

    def __init__(self, worker_id, service, zone, slots, mean, seed):
        self.worker_id = worker_id
        self.service = service
        self.zone = zone
        self.slots = slots
        self.log_mean = (
            math.log(mean) - SERVICE_TIME_SIGMA * SERVICE_TIME_SIGMA / 2
        )
        self.random = random.Random(seed)
        self.in_flight = {}
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
        self.crash_time = RESTART_S
        self.started_at = 0.0
        self.silent_to = set()
        self.connected_nodes = set()
        self.answer_count = 0

    @property
    def address(self):
        """The address, from which the fakes find the worker."""
        return self.worker_id + ":1"

    def draw_time(self):
        """Return a service time in seconds, or None for a stall."""
        if self.stall:
            return None
        service_time = self.random.lognormvariate(
            self.log_mean, SERVICE_TIME_SIGMA
        )
        return service_time * self.slow


class FakeLog:
    """The platform's log, which can fail."""

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


class RequestResult:
    """The outcome of one request as its caller saw it; times in seconds."""

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
        """Seconds from the request to the end of its answer."""
        return self.done_at - self.at


class SimulatedNode:
    """A node with the state of its simulated process."""

    __slots__ = (
        "node",
        "alive",
        "is_frozen",
        "pending_events",
        "next_tick_at",
        "sent_bytes",
    )

    def __init__(self, node):
        self.node = node
        self.alive = True
        self.is_frozen = False
        self.pending_events = []
        self.next_tick_at = None
        self.sent_bytes = 0


class World:
    """A simulated fleet whose scheduled calls run in order of time."""

    def __init__(self, seed=1, handle_event=None):
        self.now = START_TIME_S
        self.random = random.Random(seed)
        self.pending_calls = []
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
        self.handle_event = handle_event
        self.on_message = None
        self.downloads = {}
        self.download_time = 0.0
        self.on_step = None

    def call_at(self, due, function, *args):
        """Schedule a call at a time in seconds."""
        heapq.heappush(
            self.pending_calls, (due, next(self.count), function, args)
        )

    def call_in(self, delay, function, *args):
        """Schedule a call after a delay in seconds."""
        self.call_at(self.now + delay, function, *args)

    def run_for(self, seconds):
        """Run the scheduled calls of the next ``seconds``."""
        end = self.now + seconds
        while self.pending_calls and self.pending_calls[0][0] <= end:
            self.now, _, function, args = heapq.heappop(self.pending_calls)
            function(*args)
        self.now = end

    def run_until(self, condition, limit_s):
        """Run until the condition or the limit; return whether it holds."""
        end = self.now + limit_s
        while not condition():
            if not self.pending_calls or self.pending_calls[0][0] > end:
                self.now = end
                return condition()
            self.now, _, function, args = heapq.heappop(self.pending_calls)
            function(*args)
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
        self.hosts[node_id] = SimulatedNode(node)
        self.listed_nodes.add(node_id)
        self._execute_effects(node_id, node.start(self.now))
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
        """Kill a node without a planned stop."""
        self.hosts[node_id].alive = False
        for result in self.told.values():
            if result.node_id == node_id and result.done_at is None:
                self.record_result(result, Outcome.UNKNOWN, 0, cut=True)

    def freeze(self, node_id):
        """Pause a node's process; its events wait until it is resumed."""
        self.hosts[node_id].is_frozen = True

    def thaw(self, node_id):
        """Resume a paused node, which gets its waiting events first."""
        host = self.hosts[node_id]
        host.is_frozen = False
        pending_events, host.pending_events = host.pending_events, []
        for kind, fields in pending_events:
            self.feed(node_id, kind, *fields)
        self._tick(node_id, None)

    def stop(self, node_id):
        """Start the planned stop of a node."""
        self.feed(node_id, events.StopRequested)
        self.listed_nodes.discard(node_id)

    def cut(self, source, target):
        """Drop all messages from one machine to another."""
        self.cuts.add((source, target))

    def isolate(self, node_id):
        """Cut a node off from all other nodes in both directions."""
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
        """Send a caller's request to a node; return its RequestResult."""
        request_id = next(self.request_ids)
        result = RequestResult(label, service, class_name, node_id, self.now)
        self.told[request_id] = result
        host = self.hosts[node_id]
        if not host.alive or host.node.stopping.value == "gone":
            self.record_result(result, Outcome.NOT_RUN, 0)
            result.title = "no connection"
            return result
        self.report_step("accept", node_id)
        if not host.alive:
            self.record_result(result, Outcome.UNKNOWN, 0, cut=True)
            return result
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
        return result

    def ask_addresses(self, node_id, service):
        """Return a node's answer to an address request, or None."""
        return self.hosts[node_id].node.find_addresses(service, self.now)

    def list_live(self):
        """Return the identifiers of the nodes that run."""
        return [n for n, h in self.hosts.items() if h.alive]

    def feed(self, node_id, kind, *fields):
        """Deliver an event to a node, now or when it is resumed."""
        host = self.hosts[node_id]
        if not host.alive:
            return
        if host.is_frozen:
            host.pending_events.append((kind, fields))
            return
        event = kind(self.now, *fields)
        if self.handle_event is not None:
            node_effects = self.handle_event(host.node, event)
        else:
            node_effects = host.node.handle(event)
        self._execute_effects(node_id, node_effects)

    def report_step(self, step, node_id, worker=None):
        """Report an imminent step to ``on_step``, if one is set."""
        if self.on_step is not None:
            self.on_step(step, node_id, worker)

    def count_runs(self):
        """Return how often each fingerprint ran according to the ledgers."""
        runs = collections.Counter()
        for worker in self.workers.values():
            for _, fingerprint, _ in worker.ledger:
                runs[fingerprint] += 1
        return runs

    def _tick(self, node_id, due):
        host = self.hosts[node_id]
        if not host.alive or host.is_frozen:
            return
        if due is not None and host.next_tick_at != due:
            return
        host.next_tick_at = None
        node_effects = host.node.tick(self.now)
        self._execute_effects(node_id, node_effects)

    def _execute_effects(self, node_id, node_effects):
        for effect in node_effects:
            carrying.execute_effect(effect, self, node_id)
        host = self.hosts[node_id]
        due = host.node.next_due()
        if due is not None and (
            host.next_tick_at is None or due < host.next_tick_at
        ):
            host.next_tick_at = due
            self.call_at(max(due, self.now), self._tick, node_id, due)

    def record_result(self, result, outcome, status, cut=False):
        """Record the result of a caller's request, once."""
        if result.done_at is None:
            result.done_at = self.now
            result.outcome = outcome
            result.status = status
            result.cut = cut

    def end_attempt(self, attempt_key, *fields):
        """Notify a node that an attempt ended, unless it cancelled it."""
        node_id, request_id, number = attempt_key
        if self.attempts.pop(attempt_key, None) is not None:
            self.feed(
                node_id, events.AttemptEnded, request_id, number, *fields
            )
