"""What the fakes do with the effects that a node asks for."""

import functools

from acaciafield import effects
from acaciafield import events
from acaciafield import messages
from acaciafield import outcomes
from bench import fakes

Ending = outcomes.Ending
Outcome = outcomes.Outcome
Stage = outcomes.Stage


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
            message.owner, _copy_record(message.record)
        )
    if isinstance(message, messages.RecordsHandover):
        return messages.RecordsHandover(
            message.owner,
            message.part,
            message.parts,
            [_copy_record(r) for r in message.records],
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
        fakes.HOP, world.feed, target, events.MessageReceived, node_id, message
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
            world.call_in(
                fakes.CONNECT_TIMEOUT, world.end_attempt, name, *ending
            )
        return
    world.call_in(fakes.HOP, _reach_worker, world, name, told)


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
        stage = Stage.WAIT if worker.resets else Stage.CONNECT
        _answer(world, name, stage, Ending.RESET)
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
    worker.down_until = world.now + worker.crash_time
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
        world.call_in(fakes.HOP, _send_head, world, name, 200)
        world.call_in(fakes.HOP, _send_body, world, name, worker, told)
        return
    world.call_in(fakes.HOP, _send_answer, world, name, status)


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
        world.call_in(
            fakes.STALL_TIMEOUT, _end_body, world, name, worker, ending
        )
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
    pause = max(fakes.HOP, world.download_time / 100)
    world.call_in(pause, _send_body, world, name, worker, told)


def _end_body(world, name, worker, ending):
    worker.busy.pop(name, None)
    world.end_attempt(name, *ending)


def _answer(world, name, stage, ending):
    worker = world.attempts[name].worker if name in world.attempts else None
    if worker is None or (worker.worker_id, name[0]) in world.cuts:
        return
    world.call_in(fakes.HOP, world.end_attempt, name, stage, ending)


@carry_out.register
def _cancel(effect: effects.CancelAttempt, world, node_id):
    name = (node_id, effect.request_id, effect.attempt)
    attempt = world.attempts.pop(name, None)
    if attempt is not None and attempt.worker.cancels:
        world.call_in(fakes.HOP, attempt.worker.busy.pop, name, None)


@carry_out.register
def _relay(effect: effects.RelayAnswer, world, node_id):
    """The answer is passed on as it comes."""


@carry_out.register
def _finish(effect: effects.FinishAnswer, world, node_id):
    told = world.told[effect.request_id]
    world.note_step("reply", node_id)
    world.tell_caller(told, Outcome.RAN, 200)


@carry_out.register
def _abort(effect: effects.AbortAnswer, world, node_id):
    told = world.told[effect.request_id]
    world.tell_caller(told, Outcome.UNKNOWN, 0, cut=True)


@carry_out.register
def _problem(effect: effects.AnswerProblem, world, node_id):
    told = world.told[effect.request_id]
    told.title = effect.title
    world.tell_caller(told, effect.outcome, effect.status)


@carry_out.register
def _stored(effect: effects.AnswerStored, world, node_id):
    told = world.told[effect.request_id]
    told.replayed = True
    world.tell_caller(told, Outcome.RAN, effect.answer.status)


@carry_out.register
def _read_log(effect: effects.ReadLog, world, node_id):
    if world.log.down or (node_id, "log") in world.cuts:
        world.call_in(
            fakes.PLATFORM_HOP,
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
        2 * fakes.PLATFORM_HOP,
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
                2 * fakes.PLATFORM_HOP,
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
        2 * fakes.PLATFORM_HOP,
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
            world.tell_caller(told, Outcome.UNKNOWN, 0, cut=True)
