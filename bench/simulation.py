"""Simulation of the platform, workers and network in virtual time.

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
from bench import effect_execution
from standins import streams

NODE_DELAY_S = 0.0005  # one way, between machines
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

    With ``accepts_while_restarting`` it accepts connections while it
    restarts after a crash and resets them; without
    ``stops_cancelled_work`` a cancelled request keeps its slot. ``ledger``
    holds (time, fingerprint, node) of every started request.
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
        self.slowdown = 1.0
        self.is_stalled = False
        self.error_share = 0.0
        self.is_draining = False
        self.draining_since = None
        self.crash_fingerprint = None
        self.down_until = 0.0
        self.accepts_while_restarting = False
        self.stops_cancelled_work = True
        self.restart_s = RESTART_S
        self.started_at = 0.0
        self.unresponsive_to = set()
        self.connected_nodes = set()
        self.answer_count = 0

    @property
    def address(self):
        """The address, from which the simulation finds the worker."""
        return self.worker_id + ":1"

    def draw_service_time(self):
        """Return a service time in seconds, or None for a stall."""
        if self.is_stalled:
            return None
        service_time = self.random.lognormvariate(
            self.log_mean, SERVICE_TIME_SIGMA
        )
        return service_time * self.slowdown


class FakeLog:
    """The platform's log, which can fail."""

    def __init__(self):
        self.streams = collections.defaultdict(streams.Stream)
        self.is_down = False
        self.loses_answers = False
        self.max_records = None
        self.appends = 0

    def append(self, stream, data):
        """Append a record; return its offset."""
        self.appends += 1
        return self.streams[stream].append(data, self.max_records)


class RequestResult:
    """The outcome of one request as its caller saw it; times in seconds."""

    __slots__ = (
        "label",
        "service",
        "class_name",
        "node_id",
        "sent_at",
        "ended_at",
        "outcome",
        "status",
        "replayed",
        "title",
        "received_parts",
        "is_aborted",
    )

    def __init__(self, label, service, class_name, node_id, sent_at):
        self.label = label
        self.service = service
        self.class_name = class_name
        self.node_id = node_id
        self.sent_at = sent_at
        self.ended_at = None
        self.outcome = None
        self.status = 0
        self.replayed = False
        self.title = ""
        self.received_parts = 0
        self.is_aborted = False

    @property
    def latency(self):
        """Seconds from the request to the end of its answer."""
        return self.ended_at - self.sent_at


class SimulatedNode:
    """A node with the state of its simulated process."""

    __slots__ = (
        "node",
        "is_alive",
        "is_frozen",
        "pending_events",
        "next_tick_at",
        "sent_bytes",
    )

    def __init__(self, node):
        self.node = node
        self.is_alive = True
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
        self.simulated_nodes = {}
        self.workers = {}
        self.log = FakeLog()
        self.listed_workers = {}
        self.listed_nodes = set()
        self.severed_links = set()
        self.results = {}
        self.request_ids = itertools.count(1)
        self.attempts = {}
        self.log_entries = []
        self.handle_event = handle_event
        self.on_message = None
        self.downloads = {}
        self.download_s = 0.0
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
        self.simulated_nodes[node_id] = SimulatedNode(node)
        self.listed_nodes.add(node_id)
        self._apply_effects(node_id, node.start(self.now))
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
            self.listed_workers[worker.worker_id] = "live"

    def append_change(self, change_id, items):
        """Append a change of the configuration; return its offset."""
        record = configuration.make_change(change_id, items)
        data = configuration.encode_record(record)
        return self.log.append(configuration.STREAM, data)

    def kill_node(self, node_id):
        """Kill a node without a planned stop."""
        self.simulated_nodes[node_id].is_alive = False
        for result in self.results.values():
            if result.node_id == node_id and result.ended_at is None:
                self.record_result(result, Outcome.UNKNOWN, 0, is_aborted=True)

    def freeze_node(self, node_id):
        """Pause a node's process; its events wait until it is resumed."""
        self.simulated_nodes[node_id].is_frozen = True

    def resume_node(self, node_id):
        """Resume a paused node, which gets its waiting events first."""
        simulated_node = self.simulated_nodes[node_id]
        simulated_node.is_frozen = False
        pending_events, simulated_node.pending_events = (
            simulated_node.pending_events,
            [],
        )
        for kind, fields in pending_events:
            self.deliver_event(node_id, kind, *fields)
        self._tick(node_id, None)

    def stop_node(self, node_id):
        """Start the planned stop of a node."""
        self.deliver_event(node_id, events.StopRequested)
        self.listed_nodes.discard(node_id)

    def cut_link(self, source, target):
        """Drop all messages from one machine to another."""
        self.severed_links.add((source, target))

    def isolate_node(self, node_id):
        """Cut a node off from all other nodes in both directions."""
        for other in self.simulated_nodes:
            if other != node_id:
                self.cut_link(node_id, other)
                self.cut_link(other, node_id)

    def send_request(
        self,
        node_id,
        service,
        label,
        method="GET",
        class_name="",
        key=None,
        timeout_s=None,
        body="body",
        fingerprint=None,
    ):
        """Send a caller's request to a node; return its RequestResult."""
        request_id = next(self.request_ids)
        result = RequestResult(label, service, class_name, node_id, self.now)
        self.results[request_id] = result
        simulated_node = self.simulated_nodes[node_id]
        if (
            not simulated_node.is_alive
            or simulated_node.node.stopping.value == "gone"
        ):
            self.record_result(result, Outcome.NOT_RUN, 0)
            result.title = "no connection"
            return result
        self.report_step("accept", node_id)
        if not simulated_node.is_alive:
            self.record_result(result, Outcome.UNKNOWN, 0, is_aborted=True)
            return result
        self.deliver_event(
            node_id,
            events.RequestArrived,
            request_id,
            service,
            method,
            class_name,
            key,
            fingerprint or label,
            body,
            timeout_s,
            True,
        )
        return result

    def request_addresses(self, node_id, service):
        """Return a node's answer to an address request, or None."""
        return self.simulated_nodes[node_id].node.find_addresses(
            service, self.now
        )

    def list_running_nodes(self):
        """Return the identifiers of the nodes that run."""
        return [n for n, h in self.simulated_nodes.items() if h.is_alive]

    def deliver_event(self, node_id, kind, *fields):
        """Deliver an event to a node, now or when it is resumed."""
        simulated_node = self.simulated_nodes[node_id]
        if not simulated_node.is_alive:
            return
        if simulated_node.is_frozen:
            simulated_node.pending_events.append((kind, fields))
            return
        event = kind(self.now, *fields)
        if self.handle_event is not None:
            node_effects = self.handle_event(simulated_node.node, event)
        else:
            node_effects = simulated_node.node.handle(event)
        self._apply_effects(node_id, node_effects)

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
        simulated_node = self.simulated_nodes[node_id]
        if not simulated_node.is_alive or simulated_node.is_frozen:
            return
        if due is not None and simulated_node.next_tick_at != due:
            return
        simulated_node.next_tick_at = None
        node_effects = simulated_node.node.tick(self.now)
        self._apply_effects(node_id, node_effects)

    def _apply_effects(self, node_id, node_effects):
        for effect in node_effects:
            effect_execution.apply_effect(effect, self, node_id)
        simulated_node = self.simulated_nodes[node_id]
        due = simulated_node.node.next_due()
        if due is not None and (
            simulated_node.next_tick_at is None
            or due < simulated_node.next_tick_at
        ):
            simulated_node.next_tick_at = due
            self.call_at(max(due, self.now), self._tick, node_id, due)

    def record_result(self, result, outcome, status, is_aborted=False):
        """Record the result of a caller's request, once."""
        if result.ended_at is None:
            result.ended_at = self.now
            result.outcome = outcome
            result.status = status
            result.is_aborted = is_aborted

    def end_attempt(self, attempt_key, *fields):
        """Notify a node that an attempt ended, unless it cancelled it."""
        node_id, request_id, number = attempt_key
        if self.attempts.pop(attempt_key, None) is not None:
            self.deliver_event(
                node_id, events.AttemptEnded, request_id, number, *fields
            )
