"""One gateway node: its start, its work on an event loop and its stop."""

import asyncio
import collections
import contextlib
import functools
import signal
import time

import aiohttp
import orjson

from acaciafield.gateway import backends
from acaciafield.gateway import coordination
from acaciafield.gateway import events
from acaciafield.gateway import members
from acaciafield.gateway import node_state
from acaciafield.gateway import planned_stop
from acaciafield_daemon.gateway import boot_clock
from acaciafield_daemon.gateway import connection_limits
from acaciafield_daemon.gateway import decision_log
from acaciafield_daemon.gateway import grant_requests
from acaciafield_daemon.gateway import listeners
from acaciafield_daemon.gateway import memory_ledger
from acaciafield_daemon.gateway import metrics
from acaciafield_daemon.gateway import node_effects
from acaciafield_daemon.gateway import pages
from acaciafield_daemon.gateway import peers
from acaciafield_daemon.gateway import request_server
from acaciafield_daemon.gateway import store_reader
from acaciafield_daemon.gateway import upstream
from acaciafield_daemon import loop_timers

START_PAUSE_S = 0.3  # after the first attempt to join the fleet
CONFIG_WAIT_S = 1.5  # for a coordinator to announce a configuration
MAX_START_PAUSE_S = 2.0  # the pause doubles up to this value
MAX_WRITE_PAUSE_S = 8.0  # the same once a coordinator answers
STOP_PAUSE_S = 0.05
LAST_ANSWER_TIME_S = 0.15  # for the answers of requests that the exit ends
MAX_LOGGED_FINDINGS = 20  # of one configuration
MAX_FETCHES = 3  # concurrent fetches of one document from other nodes


class GatewayNode:
    """One node with its sockets and timers, on one event loop.

    ``read_options`` returns a Result with the options of the settings
    file as it is now, or a list of findings.
    """

    def __init__(self, options, store, read_options):
        loop = asyncio.get_running_loop()
        self.options = options
        self.store = store
        store.observe_era = self._record_store_era
        self.read_options = read_options
        self.clock = loop.time
        self.loop = loop
        self.raw_configuration = None
        self.log = decision_log.DecisionLog(options.name, self.clock)
        self.metrics = metrics.Metrics()
        local_member = members.Member(
            options.name,
            int(time.time() * 1000),
            options.ip,
            options.zone,
            options.weight,
            False,
        )
        self.state = node_state.NodeState(
            local_member, options.terms, local_member.incarnation
        )
        self.state.hedge_policy.share = options.limits.hedge_share
        self.pages = pages.NodePages(self)
        documents = {
            "configuration": lambda: self.raw_configuration,
            "members": self._dump_members,
            "workers": self._dump_workers,
            "metrics": self.pages.dump_metrics,
        }
        self.ledger = memory_ledger.MemoryLedger(
            options.memory_bytes, options.limits
        )
        self.guard = connection_limits.ConnectionGuard(
            options, self.clock, self.log, self.metrics, self.ledger
        )
        self.peers = peers.PeerTransport(
            options.ip,
            options.peer_port,
            self._receive,
            documents,
            functools.partial(
                listeners.PageServer, guard=self.guard, name="peers"
            ),
        )
        self.grant_requester = grant_requests.GrantRequester(
            self.state, self._send_to_node, self.clock, self.log
        )
        self.worker_client = upstream.WorkerClient(
            options.headers, self.clock, self.ledger
        )
        self.request_server = request_server.RequestServer(
            options,
            self.clock,
            self.log,
            self.metrics,
            self.worker_client,
            self.grant_requester,
        )
        self.store_reader = store_reader.StoreReader(
            store, self.clock, self.log, self
        )
        self.stopping = asyncio.Event()
        self._listeners = []
        self.caller_server = listeners.CallerServer(
            self.request_server.handle_request, self.guard
        )
        self._running_calls = collections.Counter()
        self._tick_timer = loop_timers.LoopTimer(loop, self._tick)

    async def run(self):
        """Serve until a stop signal, then finish the requests in progress."""
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(signal_number, self.stopping.set)
        self.loop.add_signal_handler(signal.SIGHUP, self._reload_options)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
        self.log.open()
        self.log.write("start", ip=self.options.ip, zone=self.options.zone)
        async with contextlib.AsyncExitStack() as stack:
            await stack.enter_async_context(self.store.open())
            await stack.enter_async_context(self.worker_client.open())
            await stack.enter_async_context(self.peers.open())
            await self._listen()
            self._flush_log()
            join = asyncio.ensure_future(self._join_fleet())
            sweep = asyncio.ensure_future(self.guard.sweep())
            await self.stopping.wait()
            join.cancel()
            await self._stop()
            sweep.cancel()
        self.log.write("stop", active=self.request_server.active)
        self.log.flush()

    async def _listen(self):
        options = self.options
        await self._open_listener(self.caller_server, options.caller_port)
        for answer, name, port in (
            (self.pages.answer_ready, "readiness", options.readiness_port),
            (self.pages.answer_addresses, "directory", options.directory_port),
            (self.pages.answer_metrics, "metrics", options.metrics_port),
        ):
            server = listeners.PageServer(answer, self.guard, name)
            await self._open_listener(server, port)

    async def _open_listener(self, server, port):
        listener = await self.loop.create_server(
            server, self.options.ip, port, reuse_address=True, backlog=512
        )
        self._listeners.append(listener)

    async def _join_fleet(self):
        """Publish this node and find other nodes; retry until both succeed.

        The node writes its own record first, so that of two nodes which
        start at the same time at least one finds the other. Coordinators
        distribute the members after that: a node that a coordinator has
        answered gains nothing from the store's list.
        """
        pause = START_PAUSE_S
        written = knows_members = False
        started = False
        while not (written and knows_members):
            written = written or await self._write_member()
            knows_members = knows_members or await self._read_members()
            if not knows_members:
                await self._read_seeds()
            if not started:
                started = True
                self._run_effects(self.state.start(self.clock()))
            knows_members = knows_members or self.state.has_reached_coordinator
            if not (written and knows_members):
                await asyncio.sleep(pause)
                max_pause = (
                    MAX_WRITE_PAUSE_S if knows_members else MAX_START_PAUSE_S
                )
                pause = min(max_pause, 2 * pause)
        await self._wait_for_configuration()

    async def _wait_for_configuration(self):
        """Read the configuration if no coordinator sends it in time.

        A coordinator reads it for all nodes, so that hundreds of nodes
        which start at the same time do not all read it from the store.
        """
        pause = CONFIG_WAIT_S
        while True:
            await asyncio.sleep(pause)
            if self.request_server.configuration is not None:
                return
            await self._read_configuration()
            pause = MAX_START_PAUSE_S

    async def _write_member(self):
        try:
            era = await self.store.write_member(self.state.local_member)
        except store_reader.StoreError as error:
            self.log.write("dependency", part="store", lost=str(error))
            return False
        self._apply_event(events.RecordWritten, era)
        return True

    async def rewrite_member(self):
        """Write the member record to a store that was restored."""
        if not await self._write_member():
            self._apply_event(events.MemberWriteFailed)

    async def _read_configuration(self):
        sent_at = boot_clock.read_boot_clock()
        try:
            changes = await self.store.read_newest(
                store_reader.Stream.CONFIGURATION
            )
        except store_reader.StoreError as error:
            self.log.write("dependency", part="store", lost=str(error))
            return
        values = [value for _, value in changes.records if value is not None]
        if all([self.update_configuration(value) for value in values]):
            self.confirm_configuration(sent_at)

    async def _read_members(self):
        try:
            changes = await self.store.read_newest(store_reader.Stream.MEMBERS)
        except store_reader.StoreError as error:
            self.log.write("dependency", part="store", lost=str(error))
            return False
        found = [
            self.store.decode_member(key, value)
            for key, value in changes.records
        ]
        self._apply_members([m for m in found if m is not None])
        self._apply_stored_crashes(changes.records)
        return True

    def _apply_stored_crashes(self, records):
        for key, value in records:
            stored = self.store.decode_crashes(key, value, time.time())
            if stored is not None:
                self._apply_event(events.CrashRowsRead, *stored)

    async def persist_crashes(self, rows):
        """Persist crash records in the platform's store."""
        try:
            name = self.options.name
            era = await self.store.write_crashes(name, rows, time.time())
        except store_reader.StoreError as error:
            self.log.write("dependency", part="store", lost=str(error))
            self._apply_event(events.CrashWriteFailed)
        else:
            self._apply_event(events.RecordWritten, era)

    async def _read_seeds(self):
        for ip in self.options.seed_ips:
            if ip == self.options.ip:
                continue
            try:
                rows = await self.peers.fetch(ip, "members")
                await self.fetch_configuration(
                    ip, self.state.config_version + 1
                )
                if rows is not None:
                    self._apply_members(
                        [members.Member(*row) for row in orjson.loads(rows)]
                    )
            except (aiohttp.ClientError, OSError, ValueError) as error:
                self.log.write("seed-silent", seed=ip, cause=repr(error))

    def _apply_members(self, found):
        self._apply_event(events.MembersRead, found)

    def _dump_members(self):
        rows = [m.as_row() for m in self.state.membership.members.values()]
        return orjson.dumps(rows)

    def _dump_workers(self):
        age = self.state.get_store_age(self.clock())
        if age is None:
            return None
        rows = [
            [getattr(entry, name) for name in entry.__slots__]
            for entries in self.state.entries_by_service.values()
            for entry in entries
        ]
        return orjson.dumps(
            {
                "age": age,
                "workers": rows,
                "knowledge": self.state.dump_schedulers(self.clock()),
                "departed": self.state.roster.list_departed(),
                "crashes": self.state.crashes.dump(self.clock()),
            }
        )

    def is_sole_member(self):
        """Return whether this node coordinates for no other node."""
        return not self.state.has_remote_members()

    def record_store_answer(self):
        """Record that the store answered."""
        self._apply_event(events.StoreAnswered)

    def checks_keys(self):
        """Return whether the keys of requests are checked."""
        configuration = self.request_server.configuration
        return self.options.terms.strict_revocation or (
            configuration is not None and configuration.workspaces is not None
        )

    def confirm_configuration(self, proven_at):
        """Record that this node has all that the store had at a boot time."""
        self._apply_event(events.ConfigurationConfirmed, proven_at)

    def record_store_failure(self):
        """Record that the store did not answer."""
        self._apply_event(events.StoreFailed)

    def record_refused_offset(self):
        """Record that the store refused an offset."""
        self._apply_event(events.OffsetRefused)

    def _record_store_era(self, era):
        if era != self.state.store_era:
            self._apply_event(events.StoreEraRead, era)

    def update_workers(self, found, departures, changed):
        """Replace the list of workers; ``departures`` has rows of rosters."""
        if changed:
            self.log.write(
                "workers",
                listed=len(found),
                draining=[w.worker_id for w in found if w.draining],
                removed=departures,
            )
        self._apply_event(events.WorkersRead, found, departures)

    def update_configuration(self, raw):
        """Apply a configuration, given as bytes in the store's format.

        An older or unreadable one leaves the current one in force. Return
        whether it was readable.
        """
        current = self.request_server.configuration
        configuration = self.store.decode_configuration(raw)
        if configuration is None:
            self.log.write(
                "configuration-unreadable",
                size=len(raw),
                version=current.version if current else None,
            )
            return False
        if current is not None and configuration.version <= current.version:
            return True
        self.request_server.configuration = configuration
        self.caller_server.limits = configuration.limits
        self.state.is_ready = True
        self.raw_configuration = self.store.hide_keys(raw, configuration)
        self.log.write(
            "configuration",
            version=configuration.version,
            before=current.version if current else None,
            routes=len(configuration.routes),
            findings=configuration.findings[:MAX_LOGGED_FINDINGS],
            unreadable=len(configuration.findings),
        )
        self._apply_event(
            events.ConfigurationUpdated,
            configuration.version,
            configuration.limits_by_workspace,
        )
        return True

    def _apply_event(self, event_class, *fields):
        event = event_class(self.clock(), *fields)
        boot_now = boot_clock.read_boot_clock()
        self._run_effects(
            coordination.reduce_event(self.state, event, boot_now)
        )

    def _receive(self, sender, message):
        self._apply_event(events.MessageReceived, sender, message)

    def _send_to_node(self, name, message):
        if name == self.options.name:
            self._receive("", message)
            return
        candidate = self.state.membership.candidates.get(name)
        if candidate is not None:
            self.peers.send(candidate.member.ip, message)

    def _run_effects(self, requested_effects):
        for effect in requested_effects:
            node_effects.apply_effect(effect, self)
        self._arm_timer()

    def _arm_timer(self):
        self._tick_timer.schedule_at(self.state.next_due())

    def _tick(self):
        self._apply_event(events.Tick)

    def start_fetch(self, name, coroutine):
        """Run a fetch of a document, unless too many of it are running."""
        if self._running_calls[name] >= MAX_FETCHES:
            coroutine.close()
            return
        self.start_call(coroutine, name)

    def start_call(self, coroutine, name=""):
        """Run a call in the background and log its failure."""
        self._running_calls[name] += 1
        task = asyncio.ensure_future(coroutine)
        task.add_done_callback(functools.partial(self._end_call, name))

    def _end_call(self, name, task):
        self._running_calls[name] -= 1
        if not task.cancelled() and task.exception() is not None:
            cause = repr(task.exception())
            self.log.write("fetch-failed", cause=cause)

    async def fetch_configuration(self, ip, version):
        """Fetch a configuration that is newer than the current one."""
        current = self.request_server.configuration
        if current is not None and current.version >= version:
            return
        raw = await self._fetch_document(ip, "configuration")
        if raw is not None:
            self.update_configuration(raw)

    async def fetch_workers(self, ip):
        """Fetch the workers and the state of their services."""
        raw = await self._fetch_document(ip, "workers")
        if raw is None:
            return
        document = orjson.loads(raw)
        entries = [backends.WorkerEntry(*row) for row in document["workers"]]
        self._apply_event(
            events.WorkersFetched,
            entries,
            document["age"],
            document["knowledge"],
            document["departed"],
            document["crashes"],
        )

    async def _fetch_document(self, ip, name):
        try:
            return await self.peers.fetch(ip, name)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            self.log.write(
                "fetch-failed", peer=ip, document=name, cause=repr(error)
            )
            return None

    def _flush_log(self):
        self.log.flush()
        self.loop.call_later(decision_log.FLUSH_PERIOD_S, self._flush_log)

    def _reload_options(self):
        """Apply the limits of a changed settings file.

        Changed addresses and ports take effect at the next start.
        """
        result = self.read_options()
        if result.is_error():
            self.log.write("reload", findings=result.error)
            return
        found = result.ok
        self.options.terms = found.terms
        self.options.grace = found.grace
        self.options.max_address_ttl = found.max_address_ttl
        self.options.limits = found.limits
        self.ledger.apply_limits(found.limits)
        self.state.apply_terms(found.terms)
        self.state.hedge_policy.share = found.limits.hedge_share
        self.log.write("reload", terms=repr(found.terms), grace=found.grace)

    async def _stop(self):
        stop = planned_stop.plan_stop(self.clock(), self.options.grace)
        self.request_server.stop = stop
        self.log.write("stop", active=self.request_server.active, began=True)
        self._apply_event(events.StopRequested)
        await asyncio.sleep(stop.close_at - self.clock())
        for listener in self._listeners:
            listener.close()
        await self._close_connections(stop.exit_at)
        self.request_server.abort_calls()
        await self._close_connections(stop.exit_at + LAST_ANSWER_TIME_S)
        self.caller_server.abort_connections()
        await asyncio.sleep(STOP_PAUSE_S)
        self.store_reader.set_active(False)

    async def _close_connections(self, until):
        """Close each connection as soon as it is idle.

        The listener may still accept a connection while it closes, so the
        loop checks for new ones until none is left.
        """
        while self.caller_server.connections and self.clock() < until:
            for handler in self.caller_server.connections:
                if handler.is_idle():
                    handler.force_close()
            await asyncio.sleep(STOP_PAUSE_S)
