"""The driver: passes events to the node and carries out its effects."""

import asyncio
import functools
import time

from aiohttp import web

from acaciafield import effects
from acaciafield import events
from acaciafield import outcomes
from acaciafield_daemon import burn
from acaciafield_daemon import caller_server
from acaciafield_daemon import loop_timers
from acaciafield_daemon import peers
from acaciafield_daemon import platform_client
from acaciafield_daemon import problems
from acaciafield_daemon import worker_client

# Exceptions that a malformed message from a peer can cause.
INPUT_ERRORS = (ValueError, KeyError, TypeError, AttributeError)


class Driver:
    """A node with its sockets and timers on one event loop."""

    def __init__(self, settings, node, log):
        self.settings = settings
        self.node = node
        self.log = log
        self.calls = {}
        self.rejected_messages = 0
        self.burn = burn.BurnTable()
        node.state.request_observer = self.burn.record_request
        self.platform_client = platform_client.PlatformClient(settings, self)
        self.worker_client = worker_client.WorkerClient(settings, self)
        self.peer_transport = peers.PeerTransport(
            self,
            settings.get("node", "ip"),
            settings.get("node", "peer-port"),
        )
        self.caller_server = caller_server.CallerServer(settings, self)
        self.stopped = asyncio.Event()
        self._loop = asyncio.get_running_loop()
        self._epoch_offset_s = time.time() - self._loop.time()
        self._timer = loop_timers.LoopTimer(self._loop, self._tick)
        self._tasks = set()

    def now(self):
        """Return seconds since the epoch, on a monotonic clock."""
        return self._epoch_offset_s + self._loop.time()

    def start(self):
        """Start the node."""
        self._apply_effects(self.node.start(self.now()))

    def dispatch_event(self, event_type, *fields):
        """Pass an event to the node and carry out the effects."""
        event = event_type(self.now(), *fields)
        try:
            new_effects = self.node.handle(event)
        except INPUT_ERRORS as error:
            if event_type is not events.MessageReceived:
                raise
            self.rejected_messages += 1
            self.write_log(
                "peers", "A message from a peer was rejected: %r." % error
            )
            return
        self._apply_effects(new_effects)

    def write_log(self, part, text):
        """Write a log line."""
        self.log.write(part, text, self.now())

    def start_task(self, coroutine):
        """Start a coroutine as a background task."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _apply_effects(self, new_effects):
        for effect in new_effects:
            apply_effect(effect, self)
        self._arm_timer()

    def _arm_timer(self):
        due = self.node.next_due()
        self._timer.schedule_at(
            None if due is None else due - self._epoch_offset_s
        )

    def _tick(self):
        self._apply_effects(self.node.tick(self.now()))


@functools.singledispatch
def apply_effect(effect, driver):
    """Carry out an effect."""
    raise TypeError("unknown effect %r" % (effect,))


@apply_effect.register
def _send(effect: effects.Send, driver):
    driver.peer_transport.send_message(effect.node_id, effect.message)


@apply_effect.register
def _send_to_address(effect: effects.SendToAddress, driver):
    ip, _, port = effect.address.rpartition(":")
    driver.peer_transport.send_datagram((ip, int(port)), effect.message)


@apply_effect.register
def _start_attempt(effect: effects.StartAttempt, driver):
    call = driver.calls.get(effect.request_id)
    if call is not None:
        driver.worker_client.start(effect, call)
        return
    driver.dispatch_event(
        events.AttemptEnded,
        effect.request_id,
        effect.attempt,
        outcomes.Stage.CONNECT,
        outcomes.Ending.CANCELLED,
    )


@apply_effect.register
def _cancel_attempt(effect: effects.CancelAttempt, driver):
    driver.worker_client.cancel(effect.request_id, effect.attempt)


@apply_effect.register
def _relay_answer(effect: effects.RelayAnswer, driver):
    """Do nothing, as the attempt's task forwards the answer."""


@apply_effect.register
def _finish_answer(effect: effects.FinishAnswer, driver):
    call = driver.calls.get(effect.request_id)
    if call is not None:
        call.finish_answer()


@apply_effect.register
def _abort_answer(effect: effects.AbortAnswer, driver):
    call = driver.calls.get(effect.request_id)
    if call is not None:
        call.abort()


@apply_effect.register
def _send_problem(effect: effects.SendProblem, driver):
    call = driver.calls.get(effect.request_id)
    if call is not None:
        call.set_answer(
            problems.make_problem(
                effect.status,
                effect.title,
                effect.outcome,
                effect.detail,
                effect.retry_after,
            )
        )


@apply_effect.register
def _send_stored_answer(effect: effects.SendStoredAnswer, driver):
    call = driver.calls.get(effect.request_id)
    if call is None:
        return
    answer = effect.answer
    headers = {"Acaciafield-Outcome": "ran", "Acaciafield-Replayed": "yes"}
    if answer.content_type:
        headers["Content-Type"] = answer.content_type
    call.set_answer(
        web.Response(status=answer.status, body=answer.body, headers=headers)
    )


@apply_effect.register
def _read_log(effect: effects.ReadLog, driver):
    driver.start_task(
        driver.platform_client.read_log(effect.stream, effect.offset)
    )


@apply_effect.register
def _append_log(effect: effects.AppendLog, driver):
    driver.start_task(
        driver.platform_client.append_record(
            effect.stream, effect.append_id, effect.data
        )
    )


@apply_effect.register
def _read_hosts(effect: effects.ReadHosts, driver):
    driver.start_task(driver.platform_client.read_hosts(effect.service))


@apply_effect.register
def _drop_connections(effect: effects.DropConnections, driver):
    driver.worker_client.drop_connections(effect.worker_id)


@apply_effect.register
def _write_log(effect: effects.WriteLog, driver):
    driver.write_log(effect.part, effect.text)


@apply_effect.register
def _exit(effect: effects.Exit, driver):
    driver.stopped.set()
