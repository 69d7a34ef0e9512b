"""Small fakes at the interfaces of the decision code, in virtual time.

A World holds nodes, workers, the log, the host list and callers, and
a queue of what happens when. Nothing here decides anything: the nodes
run the real reducer. What really ran stands in the workers' ledgers.
"""

import collections
import functools
import heapq
import itertools
import math
import random

from acaciafield import configuration
from acaciafield import effects
from acaciafield import events
from acaciafield import messages
from acaciafield import node as nodes
from acaciafield import outcomes
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

    ``ledger`` holds (time, fingerprint, node) of every start.
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
                self._tell(told, Outcome.UNKNOWN, 0, cut=True)

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
            self._tell(told, Outcome.NOT_RUN, 0)
            told.title = "no connection"
            return told
        self.note_step("accept", node_id)
        if not host.alive:
            self._tell(told, Outcome.UNKNOWN, 0, cut=True)
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
            carry_out(effect, self, node_id)
        host = self.hosts[node_id]
        due = host.node.next_due()
        if due is not None and (host.due is None or due < host.due):
            host.due = due
            self.call_at(max(due, self.now), self._tick, node_id, due)

    def _tell(self, told, outcome, status, cut=False):
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


class Attempt:
    """One attempt at a worker, as the world knows it."""

    __slots__ = ("worker", "offset", "finish", "headed")

    def __init__(self, worker, offset, finish):
        self.worker = worker
        self.offset = offset
        self.finish = finish
        self.headed = False


def copy_message(message):
    """Copy the records in a message, as a codec would."""
    if isinstance(message, messages.ReplicateKey):
        return messages.ReplicateKey(
            message.owner, _copy_record(message.record), message.epoch
        )
    if isinstance(message, messages.RecordsHandover):
        return messages.RecordsHandover(
            message.owner,
            message.part,
            message.parts,
            [_copy_record(r) for r in message.records],
            message.adopted,
        )
    return message


def _copy_record(record):
    return messages.KeyRecord(
        *(getattr(record, name) for name in record.__slots__)
    )


_STEPS = {
    messages.PermitRequest: "choose",
    messages.ReplicateKey: "bind",
    messages.KeyOutcome: "record",
    messages.ConfigState: "tell-peers",
    messages.RecordsHandover: "hand-over",
    messages.HandoverAck: "drain",
}


@functools.singledispatch
def carry_out(effect, world, node_id):
    """Do what an effect of a node asks for."""


@carry_out.register
def _send(effect: effects.Send, world, node_id):
    target = effect.node_id
    world.note_step(_STEPS.get(type(effect.message)), node_id)
    if world.on_message is not None:
        world.on_message(node_id, target, effect.message)
    if (node_id, target) in world.cuts or target not in world.hosts:
        return
    message = copy_message(effect.message)
    world.call_in(
        HOP, world.feed, target, events.MessageReceived, node_id, message
    )


@carry_out.register
def _send_to_address(effect: effects.SendToAddress, world, node_id):
    target = effect.address.partition(":")[0]
    _send(effects.Send(target, effect.message), world, node_id)


@carry_out.register
def _start(effect: effects.StartAttempt, world, node_id):
    name = (node_id, effect.request_id, effect.attempt)
    worker = world.workers[effect.worker_id]
    told = world.told[effect.request_id]
    finish = told.class_name == "downloads"
    world.attempts[name] = Attempt(worker, effect.offset, finish)
    world.note_step("send", node_id, worker)
    silent = not effect.fresh and node_id in worker.silent_to
    world.call_in(effect.timeout, _end_late, world, name)
    if silent:
        return
    if (node_id, worker.worker_id) in world.cuts:
        if effect.fresh or node_id not in worker.connected:
            ending = (Stage.CONNECT, Ending.TIMEOUT)
            world.call_in(CONNECT_TIMEOUT, world.end_attempt, name, *ending)
        return
    world.call_in(HOP, _reach_worker, world, name, told)


def _end_late(world, name):
    attempt = world.attempts.get(name)
    if attempt is not None and not attempt.headed:
        world.end_attempt(name, Stage.WAIT, Ending.TIMEOUT)


def _reach_worker(world, name, told):
    attempt = world.attempts.get(name)
    if attempt is None:
        return
    worker = attempt.worker
    if world.now < worker.down_until:
        _answer(world, name, Stage.CONNECT, Ending.RESET)
        return
    worker.connected.add(name[0])
    if worker.draining:
        _answer(world, name, Stage.WAIT, Ending.REFUSED_DRAINING)
        return
    if len(worker.busy) >= worker.slots:
        _answer(world, name, Stage.WAIT, Ending.REFUSED_SHED)
        return
    fingerprint = told.label
    worker.ledger.append((world.now, fingerprint, name[0]))
    worker.busy[name] = fingerprint
    world.note_step("wait", name[0], worker)
    if name not in world.attempts:
        return
    if worker.crash_on is not None and worker.crash_on in fingerprint:
        _crash(world, worker)
        return
    drawn = worker.draw_time()
    if drawn is not None:
        world.call_in(drawn, _finish_work, world, name, worker, told)


def _crash(world, worker):
    worker.down_until = world.now + CRASH_TIME
    worker.started = worker.down_until
    busy, worker.busy = worker.busy, {}
    for name in busy:
        _answer(world, name, Stage.WAIT, Ending.RESET)


def crash_worker(world, worker):
    """Let a worker crash with all that it runs."""
    _crash(world, worker)


def _finish_work(world, name, worker, told):
    if worker.busy.pop(name, None) is None:
        return
    worker.answers += 1
    status = 200
    if worker.random.random() < worker.errors:
        status = 500
    if (worker.worker_id, name[0]) in world.cuts:
        return
    attempt = world.attempts.get(name)
    if attempt is not None and attempt.finish:
        worker.busy[name] = told.label
        world.call_in(HOP, _send_head, world, name, 200)
        world.call_in(HOP, _send_body, world, name, worker, told)
        return
    world.call_in(HOP, _send_answer, world, name, status)


def _send_answer(world, name, status):
    _send_head(world, name, status)
    answer = events.StoredAnswer(status, "text/plain", b"done")
    ending = (Stage.BODY, Ending.ANSWERED, status, 0, False, answer)
    world.end_attempt(name, *ending)


def _send_head(world, name, status):
    node_id, request_id, number = name
    if name in world.attempts:
        world.attempts[name].headed = True
        world.note_step("first-byte", node_id)
        world.feed(
            node_id, events.AttemptHead, request_id, number, status, False
        )


def _send_body(world, name, worker, told):
    """Send a body of 100 pieces, one every hundredth of the time."""
    attempt = world.attempts.get(name)
    if attempt is None:
        worker.busy.pop(name, None)
        return
    if worker.stall or (worker.worker_id, name[0]) in world.cuts:
        ending = (Stage.BODY, Ending.STALLED, 200, attempt.offset, True)
        world.call_in(STALL_TIMEOUT, _end_body, world, name, worker, ending)
        return
    if world.now < worker.down_until:
        ending = (Stage.BODY, Ending.RESET, 200, attempt.offset, True)
        _end_body(world, name, worker, ending)
        return
    world.note_step("body", name[0], worker)
    attempt.offset += 1
    told.offset = max(told.offset, attempt.offset)
    if attempt.offset >= 100:
        ending = (Stage.DONE, Ending.ANSWERED, 200, attempt.offset, True)
        _end_body(world, name, worker, ending)
        return
    pause = max(HOP, world.download_time / 100)
    world.call_in(pause, _send_body, world, name, worker, told)


def _end_body(world, name, worker, ending):
    worker.busy.pop(name, None)
    world.end_attempt(name, *ending)


def _answer(world, name, stage, ending):
    worker = world.attempts[name].worker if name in world.attempts else None
    if worker is None or (worker.worker_id, name[0]) in world.cuts:
        return
    world.call_in(HOP, world.end_attempt, name, stage, ending)


@carry_out.register
def _cancel(effect: effects.CancelAttempt, world, node_id):
    name = (node_id, effect.request_id, effect.attempt)
    attempt = world.attempts.pop(name, None)
    if attempt is not None:
        world.call_in(HOP, attempt.worker.busy.pop, name, None)


@carry_out.register
def _relay(effect: effects.RelayAnswer, world, node_id):
    """The answer is passed on as it comes."""


@carry_out.register
def _finish(effect: effects.FinishAnswer, world, node_id):
    told = world.told[effect.request_id]
    world.note_step("reply", node_id)
    world._tell(told, Outcome.RAN, 200)


@carry_out.register
def _abort(effect: effects.AbortAnswer, world, node_id):
    told = world.told[effect.request_id]
    world._tell(told, Outcome.UNKNOWN, 0, cut=True)


@carry_out.register
def _problem(effect: effects.AnswerProblem, world, node_id):
    told = world.told[effect.request_id]
    told.title = effect.title
    world._tell(told, effect.outcome, effect.status)


@carry_out.register
def _stored(effect: effects.AnswerStored, world, node_id):
    told = world.told[effect.request_id]
    told.replayed = True
    world._tell(told, Outcome.RAN, effect.answer.status)


@carry_out.register
def _read_log(effect: effects.ReadLog, world, node_id):
    if world.log.down or (node_id, "log") in world.cuts:
        world.call_in(
            PLATFORM_HOP,
            world.feed,
            node_id,
            events.LogReadFailed,
            effect.stream,
        )
        return
    stream = world.log.streams[effect.stream]
    if effect.offset < stream.first + len(stream.records):
        world.note_step("fold", node_id)
    if world.log.retention is not None:
        stream.truncate(world.log.retention)
    records = stream.read(effect.offset)
    world.call_in(
        2 * PLATFORM_HOP,
        world.feed,
        node_id,
        events.LogRead,
        effect.stream,
        stream.first,
        records,
    )


@carry_out.register
def _append_log(effect: effects.AppendLog, world, node_id):
    cut = (node_id, "log") in world.cuts
    if effect.append_id.startswith("claims"):
        world.note_step("claim", node_id)
    if not (world.log.down or cut):
        offset = world.log.append(effect.stream, effect.data)
        if not world.log.lose_answers:
            world.call_in(
                2 * PLATFORM_HOP,
                world.feed,
                node_id,
                events.LogAppended,
                effect.append_id,
                offset,
            )
            return
    world.call_in(
        2.0, world.feed, node_id, events.LogAppendFailed, effect.append_id
    )


@carry_out.register
def _read_hosts(effect: effects.ReadHosts, world, node_id):
    if effect.service == "acaciafield":
        hosts = [
            messages.HostEntry(n, "%s:1" % n, "a")
            for n in sorted(world.listed_nodes)
        ]
    else:
        hosts = [
            messages.HostEntry(
                w.worker_id,
                w.address,
                w.zone,
                world.listed[w.worker_id],
                w.slots,
                w.started,
            )
            for w in world.workers.values()
            if w.service == effect.service and w.worker_id in world.listed
        ]
    world.call_in(
        2 * PLATFORM_HOP,
        world.feed,
        node_id,
        events.HostsRead,
        effect.service,
        hosts,
    )


@carry_out.register
def _drop(effect: effects.DropConnections, world, node_id):
    world.workers[effect.worker_id].silent_to.discard(node_id)


@carry_out.register
def _note(effect: effects.Note, world, node_id):
    world.notes.append((world.now, node_id, effect.part, effect.text))


@carry_out.register
def _exit(effect: effects.Exit, world, node_id):
    world.hosts[node_id].alive = False
    for told in world.told.values():
        if told.node_id == node_id and told.done_at is None:
            world._tell(told, Outcome.UNKNOWN, 0, cut=True)
