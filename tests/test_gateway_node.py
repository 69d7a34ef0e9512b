"""Tests of one gateway node with stand-ins for the store and workers."""

import asyncio
import contextlib
import itertools
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile

import aiohttp
from aiohttp import web
import expression
import uvloop

from acaciafield.gateway import effects
from acaciafield.gateway import planned_stop
from acaciafield_daemon.gateway import decision_log
from acaciafield_daemon.gateway import node as gateway_node
from acaciafield_daemon.gateway import node_effects
from acaciafield_daemon.gateway import options as gateway_options
from acaciafield_platform import settings
from acaciafield_platform import store as stores
from standins import store as stand_in
from tests import gateway_support as support
from tests import test_platform

FIRST_PORT = 12000
PORT_COUNT = 8000

_ports = itertools.count(FIRST_PORT + os.getpid() * 16 % PORT_COUNT)


def find_ports(count):
    """Return free ports of the loopback address.

    They lie below the ephemeral ports, as the system may give one of those
    to a connection before the node binds it.
    """
    found = []
    while len(found) < count:
        number = FIRST_PORT + (next(_ports) - FIRST_PORT) % PORT_COUNT
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(("127.0.0.1", number))
            found.append(number)
    return found


def make_options(**fields):
    """Return Options of a node on free ports."""
    caller, readiness, directory, peer, metrics = find_ports(5)
    values = {
        "name": "n1",
        "ip": "127.0.0.1",
        "zone": "za",
        "weight": 1.0,
        "memory_bytes": 200_000_000,
        "caller_port": caller,
        "readiness_port": readiness,
        "directory_port": directory,
        "peer_port": peer,
        "metrics_port": metrics,
        "seed_ips": [],
        "terms": support.TERMS,
        "grace": 4.0,
        "max_address_ttl": 5.0,
        "headers": settings.HEADER_NAMES,
    }
    return gateway_options.Options(**(values | fields))


class Worker:
    """A worker that answers with a list of statuses, then with 200.

    In ``statuses``, 503 refuses the request and 0 resets its connection.
    """

    def __init__(self):
        self.seen = []
        self.statuses = []
        self.delay = 0.0
        self.answer = self._answer
        self.address = None

    @contextlib.asynccontextmanager
    async def open(self):
        """Serve on a free port."""
        server = web.Server(lambda request: self.answer(request))
        loop = asyncio.get_running_loop()
        listener = await loop.create_server(server, "127.0.0.1", 0)
        port = listener.sockets[0].getsockname()[1]
        self.address = "127.0.0.1:%d" % port
        try:
            yield self
        finally:
            listener.close()
            await server.shutdown(0.1)

    async def _answer(self, request):
        request_id = request.headers["Acaciafield-Request-Id"]
        self.seen.append(request_id)
        await asyncio.sleep(self.delay)
        status = self.statuses.pop(0) if self.statuses else 200
        headers = {"Acaciafield-Request-Id": request_id}
        if status == 503:
            headers["Acaciafield-Not-Executed"] = "1"
        else:
            headers["Acaciafield-Upstream-Signature"] = "s"
        if status == 0:
            request.transport.abort()
        body = await request.content.read()
        return web.Response(status=status or 500, headers=headers, body=body)


class NodeHarness:
    """A node with its store, its workers and a caller."""

    def __init__(self, node, server, workers, session):
        self.node = node
        self.server = server
        self.workers = workers
        self.session = session
        self.count = 0

    async def call(self, method="GET", path="/b/x", host="b.example", **kw):
        """Send a request to the node; return its status, headers and body."""
        self.count += 1
        headers = {
            "Host": host,
            "Acaciafield-Request-Id": "q%d" % self.count,
            "Acaciafield-Deadline-Ms": "2000",
        }
        url = "http://127.0.0.1:%d%s" % (self.node.options.caller_port, path)
        async with self.session.request(
            method, url, headers=headers, **kw
        ) as response:
            return response.status, response.headers, await response.read()

    async def get(self, port, path):
        """Return the status and body of a page that the node serves itself."""
        url = "http://127.0.0.1:%d%s" % (port, path)
        async with self.session.get(url) as response:
            return response.status, await response.read()

    async def wait_ready(self):
        """Wait until the node is ready and has workers."""
        while True:
            with contextlib.suppress(aiohttp.ClientError):
                port = self.node.options.readiness_port
                status, _ = await self.get(port, "/-/readyz")
                if status == 200 and self.node.state.entries_by_service:
                    return
            await asyncio.sleep(0.02)

    @property
    def seen(self):
        """The ids of the requests that reached the workers."""
        return [seen for worker in self.workers for seen in worker.seen]


def run_steps(
    steps,
    options=None,
    configuration=test_platform.CONFIGURATION,
    make_worker=Worker,
):
    """Run steps against a node with two workers, made by ``make_worker``."""

    async def run():
        options_ = options or make_options()
        async with contextlib.AsyncExitStack() as stack:
            server = await stack.enter_async_context(
                stand_in.StoreServer().open()
            )
            workers = [
                await stack.enter_async_context(make_worker().open())
                for _ in range(2)
            ]
            for number, worker in enumerate(workers):
                for service in ("s1", "s2"):
                    row = test_platform.WORKER | {
                        "service": service,
                        "address": worker.address,
                    }
                    name = "i-%s-%d" % (service, number)
                    server.put("keyed.servers", name, row)
            if configuration is not None:
                server.put("keyed.op", "config", configuration)
            session = await stack.enter_async_context(aiohttp.ClientSession())
            node = gateway_node.GatewayNode(
                options_,
                stores.Store(server.address),
                lambda: expression.Ok(make_options(grace=9.0)),
            )
            node.log.descriptor = os.open(os.devnull, os.O_WRONLY)
            task = asyncio.ensure_future(node.run())
            harness = NodeHarness(node, server, workers, session)
            try:
                if configuration is not None:
                    await harness.wait_ready()
                await steps(harness)
            finally:
                node.stopping.set()
                await task
                os.close(node.log.descriptor)

    asyncio.run(asyncio.wait_for(run(), 20.0))


class UnusedStore:
    """A store that must not be read."""

    decode_worker = decode_configuration = decode_member = None


def test_timer_that_is_already_due_can_be_set_again():
    async def run():
        node = gateway_node.GatewayNode(make_options(), UnusedStore(), None)
        node.state.start(node.clock() - 1.0)
        node._arm_timer()
        node._arm_timer()

    uvloop.run(run())


def test_request_is_forwarded_and_answered_whole():
    async def steps(harness):
        status, headers, body = await harness.call(
            "POST", "/a/x", "a.example", data=b"order"
        )
        assert (status, body) == (200, b"order")
        assert headers["Acaciafield-Request-Id"] == "q1"
        assert headers["Acaciafield-Upstream-Signature"] == "s"
        assert harness.seen == ["q1"]

    run_steps(steps)


def test_safe_request_is_repeated_after_a_failure():
    async def steps(harness):
        for worker in harness.workers:
            worker.statuses = [500]
        harness.workers[1].statuses = []
        for _ in range(6):
            status, _, _ = await harness.call()
            assert status == 200
        assert len(harness.seen) == 7

    run_steps(steps)


def test_order_that_may_have_run_is_not_repeated():
    async def steps(harness):
        for worker in harness.workers:
            worker.statuses = [0]
        status, headers, _ = await harness.call("POST", "/a/x", "a.example")
        assert status == 502
        assert "Acaciafield-Upstream-Signature" not in headers
        assert len(harness.seen) == 1

    run_steps(steps)


def test_order_that_was_not_run_goes_to_another_worker():
    async def steps(harness):
        for worker in harness.workers:
            worker.statuses = [503]
        harness.workers[0].statuses = []
        for _ in range(4):
            status, _, _ = await harness.call("POST", "/a/x", "a.example")
            assert status == 200

    run_steps(steps)


def test_order_refused_by_all_workers_gets_a_retry_after():
    async def steps(harness):
        for worker in harness.workers:
            worker.statuses = [503] * 9
        status, headers, _ = await harness.call("POST", "/a/x", "a.example")
        assert status == 503
        assert float(headers["Retry-After"]) > 0.0

    run_steps(steps)


def test_failure_of_a_worker_is_forwarded_unchanged():
    async def steps(harness):
        for worker in harness.workers:
            worker.statuses = [500] * 9
        status, headers, body = await harness.call(
            "POST", "/a/x", "a.example", data=b"z"
        )
        assert (status, body) == (500, b"z")
        assert headers["Acaciafield-Upstream-Signature"] == "s"

    run_steps(steps)


def test_unknown_route_is_404_and_large_body_413():
    async def steps(harness):
        status, _, _ = await harness.call(path="/none/")
        assert status == 404
        status, _, _ = await harness.call("POST", data=b"x" * 2000)
        assert status == 413
        assert harness.seen == []

    run_steps(steps)


def test_route_that_cannot_be_read_refuses_and_others_serve():
    async def steps(harness):
        status, headers, _ = await harness.call("POST", "/a/x", "a.example")
        assert status == 503
        assert "Retry-After" in headers
        assert (await harness.call())[0] == 200

    broken = test_platform.change_route(timeoutMs="soon")
    run_steps(steps, configuration=broken)


def test_unreadable_version_leaves_the_earlier_one_in_force():
    async def steps(harness):
        version = harness.node.request_server.configuration.version
        harness.server.put("keyed.op", "config", b"junk")
        harness.server.put("keyed.op", "config", {"version": version + 1})
        harness.node.update_configuration(b"junk")
        await asyncio.sleep(0.3)
        assert harness.node.request_server.configuration.version == version
        assert (await harness.call())[0] == 200

    run_steps(steps)


def test_node_without_a_configuration_answers_503():
    async def steps(harness):
        while True:
            with contextlib.suppress(aiohttp.ClientError):
                status, headers, _ = await harness.call()
                break
            await asyncio.sleep(0.02)
        assert status == 503
        assert "Retry-After" in headers
        port = harness.node.options.readiness_port
        assert (await harness.get(port, "/-/readyz"))[0] == 503

    run_steps(steps, configuration=None)


def test_newer_configuration_is_applied_and_an_older_one_is_not():
    async def steps(harness):
        version = harness.node.request_server.configuration.version
        newer = test_platform.CONFIGURATION | {"version": version + 5}
        harness.server.put("keyed.op", "config", newer)
        while harness.node.request_server.configuration.version == version:
            await asyncio.sleep(0.02)
        older = test_platform.CONFIGURATION | {"version": version + 1}
        harness.server.put("keyed.op", "config", older)
        latest = test_platform.CONFIGURATION | {"version": version + 6}
        harness.server.put("keyed.op", "config", latest)
        while harness.node.request_server.configuration.version < version + 6:
            assert (
                harness.node.request_server.configuration.version
                == version + 5
            )
            await asyncio.sleep(0.01)

    run_steps(steps)


def test_directory_and_metrics_are_served():
    async def steps(harness):
        await harness.call()
        options = harness.node.options
        while not harness.node.state.membership.members["n1"].is_ready:
            await asyncio.sleep(0.02)
        status, body = await harness.get(
            options.directory_port, "/-/resolve?name=x&zone=za"
        )
        assert status == 200
        assert ("127.0.0.1:%d" % options.caller_port).encode() in body
        status, body = await harness.get(options.metrics_port, "/metrics")
        assert b'acaciafield_requests_total{outcome="passed"' in body
        assert b"acaciafield_latency_seconds" in body

    run_steps(steps)


def test_stop_finishes_requests_in_progress():
    async def steps(harness):
        for worker in harness.workers:
            worker.delay = 0.6
        running = asyncio.ensure_future(harness.call())
        while not harness.seen:
            await asyncio.sleep(0.01)
        os.kill(os.getpid(), signal.SIGTERM)
        status, headers, _ = await running
        assert status == 200
        assert headers["Connection"] == "close"
        port = harness.node.options.readiness_port
        assert (await harness.get(port, "/-/readyz"))[0] == 503

    run_steps(steps)


def test_reload_applies_changed_limits():
    async def steps(harness):
        os.kill(os.getpid(), signal.SIGHUP)
        while harness.node.options.grace != 9.0:
            await asyncio.sleep(0.01)
        harness.node.options.grace = 4.0

    run_steps(steps)


def test_caller_that_leaves_frees_its_worker():
    async def steps(harness):
        for worker in harness.workers:
            worker.delay = 5.0
        running = asyncio.ensure_future(harness.call())
        while not harness.seen:
            await asyncio.sleep(0.01)
        running.cancel()
        schedulers = harness.node.state.schedulers
        while any(scheduler.in_flight for scheduler in schedulers.values()):
            await asyncio.sleep(0.01)

    run_steps(steps)


def test_stop_closes_idle_connections_before_its_end():
    async def steps(harness):
        port = harness.node.options.caller_port
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        while harness.node.request_server.stop is None:
            harness.node.stopping.set()
            await asyncio.sleep(0.01)
        began = asyncio.get_running_loop().time()
        assert await reader.read() == b""
        ended = asyncio.get_running_loop().time()
        grace = harness.node.options.grace
        assert ended - began < (planned_stop.CLOSE_IDLE_SHARE + 0.2) * grace
        writer.close()

    run_steps(steps)


def test_safe_request_at_an_unresponsive_worker_is_hedged():
    async def steps(harness):
        for worker in harness.workers:
            worker.delay = 30.0
        running = asyncio.ensure_future(harness.call())
        while not harness.seen:
            await asyncio.sleep(0.01)
        for worker in harness.workers:
            worker.delay = 0.0
        status, _, _ = await running
        assert status == 200
        assert len(harness.seen) == 2

    run_steps(steps)


def test_order_at_an_unresponsive_worker_is_not_sent_again():
    async def steps(harness):
        for worker in harness.workers:
            worker.delay = 30.0
        status, _, _ = await harness.call("POST", "/a/x", "a.example")
        assert status == 504
        assert len(harness.seen) == 1

    run_steps(steps)


def test_gateway_loads_its_http_library_without_tls():
    code = (
        "import acaciafield_daemon.gateway, aiohttp.connector, ssl\n"
        "assert aiohttp.connector.ssl is None and ssl.SSLContext"
    )
    subprocess.run([sys.executable, "-c", code], check=True)


def test_configuration_is_fetched_while_other_calls_hang():
    # Guards against a configuration that arrives seconds late at a new
    # coordinator, as fetches of workers from a node that was just lost and
    # writes to the store took all places.
    async def steps(harness):
        node = harness.node
        version = node.request_server.configuration.version + 1
        fetched = []

        async def fetch(ip, name):
            fetched.append(name)
            await asyncio.sleep(30.0)

        async def write(member):
            await asyncio.sleep(30.0)

        node.peers.fetch = fetch
        node.store.write_member = write
        for _ in range(10):
            fetch_workers = effects.FetchWorkers("127.0.0.9")
            node_effects.apply_effect(fetch_workers, node)
            node_effects.apply_effect(effects.WriteMember(), node)
        notice = effects.FetchConfiguration("127.0.0.8", version)
        node_effects.apply_effect(notice, node)
        await asyncio.sleep(0.05)
        assert fetched.count("configuration") == 1
        assert fetched.count("workers") == gateway_node.MAX_FETCHES

    run_steps(steps)


def test_request_id_that_is_no_text_disturbs_no_other_request():
    # Guards against ids that no datagram and no log line can hold: they
    # stopped the log and the batch with the evidence of other requests, and
    # workers that cannot return such an id counted as failing.
    async def steps(harness):
        for host in (b"b.example", b"none"):
            head = await send_odd_id(harness, host)
            assert head.startswith(b"HTTP/1.1 400")
        assert harness.seen == []
        with tempfile.TemporaryFile() as output:
            harness.node.log.descriptor = output.fileno()
            harness.node.log.write("caller-left", request="q\udcff")
            harness.node.log.write("last", request="q")
            await asyncio.sleep(2 * decision_log.FLUSH_PERIOD_S)
            output.seek(0)
            lines = [json.loads(line) for line in output]
            harness.node.log.descriptor = os.open(os.devnull, os.O_WRONLY)
        kinds = [line["message_type"] for line in lines]
        assert kinds[-2:] == ["gateway:caller-left", "gateway:last"]

    run_steps(steps)


async def send_odd_id(harness, host):
    """Send a request whose id is no UTF-8 text; return the answer's head."""
    port = harness.node.options.caller_port
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(
        b"GET /b/x HTTP/1.1\r\nHost: %s\r\n"
        b"Acaciafield-Request-Id: q\xff\r\n"
        b"Acaciafield-Deadline-Ms: 2000\r\n\r\n" % host
    )
    head = await reader.readuntil(b"\r\n\r\n")
    writer.close()
    return head
