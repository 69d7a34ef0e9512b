"""Execution of the effects that a node requests, by the simulation."""

import functools

from acaciafield import effects
from acaciafield import events
from acaciafield import messages
from acaciafield import outcomes
from bench import simulation

Ending = outcomes.Ending
Outcome = outcomes.Outcome
Stage = outcomes.Stage


class Attempt:
    """An attempt that a node started at a worker."""

    __slots__ = ("worker", "offset", "is_download", "has_head")

    def __init__(self, worker, offset, is_download):
        self.worker = worker
        self.offset = offset
        self.is_download = is_download
        self.has_head = False


def copy_message(message):
    """Copy the key records in a message, as a codec does."""
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


_STEP_BY_MESSAGE = {
    messages.PermitRequest: "choose",
    messages.ReplicateKey: "bind",
    messages.KeyOutcome: "record",
    messages.ConfigState: "tell-peers",
    messages.RecordsHandover: "hand-over",
    messages.HandoverAck: "drain",
}


@functools.singledispatch
def apply_effect(effect, world, node_id):
    """Apply an effect of a node; ignore effects of other kinds."""


@apply_effect.register
def _send_message(effect: effects.Send, world, node_id):
    target = effect.node_id
    world.report_step(_STEP_BY_MESSAGE.get(type(effect.message)), node_id)
    if world.on_message is not None:
        world.on_message(node_id, target, effect.message)
    if (
        node_id,
        target,
    ) in world.severed_links or target not in world.simulated_nodes:
        return
    message = copy_message(effect.message)
    world.call_in(
        simulation.NODE_DELAY_S,
        world.deliver_event,
        target,
        events.MessageReceived,
        node_id,
        message,
    )


@apply_effect.register
def _send_to_address(effect: effects.SendToAddress, world, node_id):
    target = effect.address.partition(":")[0]
    _send_message(effects.Send(target, effect.message), world, node_id)


@apply_effect.register
def _start_attempt(effect: effects.StartAttempt, world, node_id):
    attempt_key = (node_id, effect.request_id, effect.attempt)
    worker = world.workers[effect.worker_id]
    result = world.results[effect.request_id]
    is_download = result.class_name == "downloads"
    world.attempts[attempt_key] = Attempt(worker, effect.offset, is_download)
    world.report_step("send", node_id, worker)
    is_unresponsive = not effect.fresh and node_id in worker.unresponsive_to
    world.call_in(effect.timeout, _time_out_attempt, world, attempt_key)
    if is_unresponsive:
        return
    if (node_id, worker.worker_id) in world.severed_links:
        if effect.fresh or node_id not in worker.connected_nodes:
            ending = (Stage.CONNECT, Ending.TIMEOUT)
            world.call_in(
                simulation.CONNECT_TIMEOUT_S,
                world.end_attempt,
                attempt_key,
                *ending,
            )
        return
    world.call_in(
        simulation.NODE_DELAY_S, _reach_worker, world, attempt_key, result
    )


def _time_out_attempt(world, attempt_key):
    attempt = world.attempts.get(attempt_key)
    if attempt is not None and not attempt.has_head:
        world.end_attempt(attempt_key, Stage.WAIT, Ending.TIMEOUT)


def _reach_worker(world, attempt_key, result):
    attempt = world.attempts.get(attempt_key)
    if attempt is None:
        return
    worker = attempt.worker
    if world.now < worker.down_until:
        stage = (
            Stage.WAIT if worker.accepts_while_restarting else Stage.CONNECT
        )
        _end_after_delay(world, attempt_key, stage, Ending.RESET)
        return
    worker.connected_nodes.add(attempt_key[0])
    if worker.is_draining:
        _end_after_delay(
            world, attempt_key, Stage.WAIT, Ending.REFUSED_DRAINING
        )
        return
    if len(worker.in_flight) >= worker.slots:
        _end_after_delay(world, attempt_key, Stage.WAIT, Ending.REFUSED_SHED)
        return
    fingerprint = result.label
    worker.ledger.append((world.now, fingerprint, attempt_key[0]))
    worker.in_flight[attempt_key] = fingerprint
    world.report_step("wait", attempt_key[0], worker)
    if attempt_key not in world.attempts:
        return
    if (
        worker.crash_fingerprint is not None
        and worker.crash_fingerprint in fingerprint
    ):
        _crash_worker(world, worker)
        return
    service_time = worker.draw_service_time()
    if service_time is not None:
        world.call_in(
            service_time, _finish_work, world, attempt_key, worker, result
        )


def _crash_worker(world, worker):
    worker.down_until = world.now + worker.restart_s
    worker.started_at = worker.down_until
    interrupted, worker.in_flight = worker.in_flight, {}
    for attempt_key in interrupted:
        _end_after_delay(world, attempt_key, Stage.WAIT, Ending.RESET)


def crash_worker(world, worker):
    """Crash a worker with all its in-flight requests."""
    _crash_worker(world, worker)


def _finish_work(world, attempt_key, worker, result):
    if worker.in_flight.pop(attempt_key, None) is None:
        return
    worker.answer_count += 1
    status = 200
    if worker.random.random() < worker.error_share:
        status = 500
    if (worker.worker_id, attempt_key[0]) in world.severed_links:
        return
    attempt = world.attempts.get(attempt_key)
    if attempt is not None and attempt.is_download:
        worker.in_flight[attempt_key] = result.label
        world.call_in(
            simulation.NODE_DELAY_S, _send_head, world, attempt_key, 200
        )
        world.call_in(
            simulation.NODE_DELAY_S,
            _send_body,
            world,
            attempt_key,
            worker,
            result,
        )
        return
    world.call_in(
        simulation.NODE_DELAY_S, _send_answer, world, attempt_key, status
    )


def _send_answer(world, attempt_key, status):
    _send_head(world, attempt_key, status)
    answer = events.StoredAnswer(status, "text/plain", b"done")
    ending = (Stage.BODY, Ending.ANSWERED, status, 0, False, answer)
    world.end_attempt(attempt_key, *ending)


def _send_head(world, attempt_key, status):
    node_id, request_id, number = attempt_key
    if attempt_key in world.attempts:
        world.attempts[attempt_key].has_head = True
        world.report_step("first-byte", node_id)
        world.deliver_event(
            node_id,
            events.AttemptHeadReceived,
            request_id,
            number,
            status,
            False,
        )


def _send_body(world, attempt_key, worker, result):
    """Send a body in 100 parts, spread evenly over the download time."""
    attempt = world.attempts.get(attempt_key)
    if attempt is None:
        worker.in_flight.pop(attempt_key, None)
        return
    if (
        worker.is_stalled
        or (worker.worker_id, attempt_key[0]) in world.severed_links
    ):
        ending = (Stage.BODY, Ending.STALLED, 200, attempt.offset, True)
        world.call_in(
            simulation.STALL_TIMEOUT_S,
            _end_body,
            world,
            attempt_key,
            worker,
            ending,
        )
        return
    if world.now < worker.down_until:
        ending = (Stage.BODY, Ending.RESET, 200, attempt.offset, True)
        _end_body(world, attempt_key, worker, ending)
        return
    world.report_step("body", attempt_key[0], worker)
    attempt.offset += 1
    result.received_parts = max(result.received_parts, attempt.offset)
    if attempt.offset >= 100:
        ending = (Stage.DONE, Ending.ANSWERED, 200, attempt.offset, True)
        _end_body(world, attempt_key, worker, ending)
        return
    pause = max(simulation.NODE_DELAY_S, world.download_s / 100)
    world.call_in(pause, _send_body, world, attempt_key, worker, result)


def _end_body(world, attempt_key, worker, ending):
    worker.in_flight.pop(attempt_key, None)
    world.end_attempt(attempt_key, *ending)


def _end_after_delay(world, attempt_key, stage, ending):
    worker = (
        world.attempts[attempt_key].worker
        if attempt_key in world.attempts
        else None
    )
    if (
        worker is None
        or (worker.worker_id, attempt_key[0]) in world.severed_links
    ):
        return
    world.call_in(
        simulation.NODE_DELAY_S, world.end_attempt, attempt_key, stage, ending
    )


@apply_effect.register
def _cancel_attempt(effect: effects.CancelAttempt, world, node_id):
    attempt_key = (node_id, effect.request_id, effect.attempt)
    attempt = world.attempts.pop(attempt_key, None)
    if attempt is not None and attempt.worker.stops_cancelled_work:
        world.call_in(
            simulation.NODE_DELAY_S,
            attempt.worker.in_flight.pop,
            attempt_key,
            None,
        )


@apply_effect.register
def _relay_answer(effect: effects.RelayAnswer, world, node_id):
    """Do nothing; the simulation relays no answer bodies."""


@apply_effect.register
def _finish_answer(effect: effects.FinishAnswer, world, node_id):
    result = world.results[effect.request_id]
    world.report_step("reply", node_id)
    world.record_result(result, Outcome.RAN, 200)


@apply_effect.register
def _abort_answer(effect: effects.AbortAnswer, world, node_id):
    result = world.results[effect.request_id]
    world.record_result(result, Outcome.UNKNOWN, 0, is_aborted=True)


@apply_effect.register
def _send_problem(effect: effects.SendProblem, world, node_id):
    result = world.results[effect.request_id]
    result.title = effect.title
    world.record_result(result, effect.outcome, effect.status)


@apply_effect.register
def _send_stored_answer(effect: effects.SendStoredAnswer, world, node_id):
    result = world.results[effect.request_id]
    result.replayed = True
    world.record_result(result, Outcome.RAN, effect.answer.status)


@apply_effect.register
def _read_log(effect: effects.ReadLog, world, node_id):
    if world.log.is_down or (node_id, "log") in world.severed_links:
        world.call_in(
            simulation.PLATFORM_DELAY_S,
            world.deliver_event,
            node_id,
            events.LogReadFailed,
            effect.stream,
        )
        return
    stream = world.log.streams[effect.stream]
    if effect.offset < stream.first_offset + len(stream.records):
        world.report_step("fold", node_id)
    if world.log.max_records is not None:
        stream.truncate(world.log.max_records)
    records = stream.read(effect.offset)
    world.call_in(
        2 * simulation.PLATFORM_DELAY_S,
        world.deliver_event,
        node_id,
        events.LogRead,
        effect.stream,
        stream.first_offset,
        records,
    )


@apply_effect.register
def _append_log(effect: effects.AppendLog, world, node_id):
    is_cut_off = (node_id, "log") in world.severed_links
    if effect.append_id.startswith("claims"):
        world.report_step("claim", node_id)
    if not (world.log.is_down or is_cut_off):
        offset = world.log.append(effect.stream, effect.data)
        if not world.log.loses_answers:
            world.call_in(
                2 * simulation.PLATFORM_DELAY_S,
                world.deliver_event,
                node_id,
                events.LogAppended,
                effect.append_id,
                offset,
            )
            return
    world.call_in(
        2.0,
        world.deliver_event,
        node_id,
        events.LogAppendFailed,
        effect.append_id,
    )


@apply_effect.register
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
                world.listed_workers[w.worker_id],
                w.slots,
                w.started_at,
            )
            for w in world.workers.values()
            if w.service == effect.service
            and w.worker_id in world.listed_workers
        ]
    world.call_in(
        2 * simulation.PLATFORM_DELAY_S,
        world.deliver_event,
        node_id,
        events.HostsRead,
        effect.service,
        hosts,
    )


@apply_effect.register
def _drop_connections(effect: effects.DropConnections, world, node_id):
    world.workers[effect.worker_id].unresponsive_to.discard(node_id)


@apply_effect.register
def _record_log_entry(effect: effects.WriteLog, world, node_id):
    world.log_entries.append((world.now, node_id, effect.part, effect.text))


@apply_effect.register
def _exit_node(effect: effects.Exit, world, node_id):
    world.simulated_nodes[node_id].is_alive = False
    for result in world.results.values():
        if result.node_id == node_id and result.ended_at is None:
            world.record_result(result, Outcome.UNKNOWN, 0, is_aborted=True)
