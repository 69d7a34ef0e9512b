"""The processes, stand-ins and settings of a soak test."""

import asyncio
import contextlib
import hashlib
import os
import pathlib
import re
import signal
import subprocess
import sys

import aiohttp
from aiohttp import web

from bench import soak_record
from standins import relay

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOSTNAME = "soak.example"
ZONES = ("za", "zb")
GRACE_S = 4.0  # from SIGTERM until the node stops; graceS in its settings
EXIT_SLACK_S = 3.0  # a process that runs longer after GRACE_S is killed
START_TIMEOUT_S = 20.0  # for all nodes to become ready
WORK_TIME_S = 0.05  # of a worker for one request
LEAVE_TIME_S = 5.0  # a leaving worker still serves for this long
WORKER_SLOTS = 4
WORKERS_PER_SERVICE = 5
# The kind of route of each service.
ROUTE_KINDS = {"orders": "unsafe", "uploads": "upload", "reads": "safe"}
SHEDDING_FAULTS = ("shed", "rest")
WORKER_FAULTS = (
    "errors",
    "false-refusals",
    "reset",
    "hang",
    "extra",
    "endless",
    "heads",
    *SHEDDING_FAULTS,
)
FALSE_REFUSAL_STATUSES = (408, 429, 503)  # of requests that ran
REQUESTED_PAUSE_S = 2.5  # that a worker requests with Retry-After
CRASH_PATH = "/crash"  # in the path of a request that crashes its worker
RESTART_DELAY_S = 2.0  # of a crashed worker
ENDLESS_CHUNK = b"x" * 65536
READ_BYTES = 65536  # of an endless answer at a time
INTERIM_HEADS = b"HTTP/1.1 100 Continue\r\n\r\n" * 2600
PORT_OFFSETS = {"front": 0, "readiness": 1, "directory": 2, "control": 3}
FIRST_PORT = 21000  # each node has an IP address of its own
PORTS_PER_NODE = 8

_SETTINGS = """\
[self]
nodeName = "%(name)s"
ip = "%(ip)s"
zone = "%(zone)s"
[self.limits]
cpuShare = 1.0
cpuCores = 1
linkMbps = 1000
[network]
internalPorts = [%(internal)d, %(last)d]
seeds = ["%(seed)s:1"]
[network.listen]
front = "%(ip)s:%(front)d"
readiness = "%(ip)s:%(readiness)d"
directory = "%(ip)s:%(directory)d"
[provider.provider]
address = "%(store)s"
[terms.bounds]
retryBudgetRatio = 0.2
retryBudgetSlack = 60
retryWindowS = 10
graceS = 4
ttl_max_s = 5
"""


def make_answer(request_id):
    """Return the body of a worker's answer to a request."""
    return hashlib.sha512(request_id.encode()).digest() * 40


def make_configuration(version):
    """Return a configuration as the platform's document."""
    routes = [
        {
            "name": service,
            "hostname": HOSTNAME,
            "pathPrefix": "/%s/" % service,
            "kind": kind,
            "timeoutMs": 2000,
            "targetLatencyMs": 500,
            "priority": 1,
            "service": service,
            "maxAttempts": 2,
        }
        for service, kind in ROUTE_KINDS.items()
    ]
    services = [{"name": service} for service in ROUTE_KINDS]
    return {"version": version, "routes": routes, "services": services}


def get_loopback_prefix():
    """Return the loopback network of this process, as ``a.b.c.``.

    Soak tests that run at the same time use different networks.
    """
    high, low = divmod(os.getpid(), 250)
    return "127.%d.%d." % (1 + high % 250, low)


class Node:
    """One gateway process; ``start_count`` counts its incarnations."""

    def __init__(self, soak, number, folder):
        self.soak = soak
        self.name = "n%d" % number
        self.ip = get_loopback_prefix() + str(number)
        self.zone = ZONES[number % len(ZONES)]
        self.path = folder / (self.name + ".toml")
        self.log_path = folder / (self.name + ".log")
        self.relay = relay.Relay(soak.store.address)
        self.process = None
        self.start_count = 0
        self.is_reserved = False

    def find_address(self, part):
        """Return the address of a listener of the node, as ``ip:port``."""
        return "%s:%d" % (self.ip, FIRST_PORT + PORT_OFFSETS[part])

    @contextlib.contextmanager
    def reserve(self):
        """Exclude the node from other faults while the context is open."""
        self.is_reserved = True
        try:
            yield
        finally:
            self.is_reserved = False

    def write_settings(self, store_address):
        """Write the settings file in the platform's format."""
        fields = {part: FIRST_PORT + n for part, n in PORT_OFFSETS.items()}
        fields |= {
            "name": self.name,
            "ip": self.ip,
            "zone": self.zone,
            "internal": FIRST_PORT + len(PORT_OFFSETS),
            "last": FIRST_PORT + PORTS_PER_NODE - 1,
            "seed": get_loopback_prefix() + "1",
            "store": store_address,
        }
        self.path.write_text(_SETTINGS % fields)

    async def start(self):
        """Start the process."""
        self.start_count += 1
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, str(ROOT / "platform" / "gatewayd.py")],
                env=os.environ | {"ACACIAFIELD_CONFIG": str(self.path)},
                stdout=log,
                stderr=log,
            )

    async def stop(self, signal_number):
        """Send a signal and wait for the exit; kill the process if late."""
        self.process.send_signal(signal_number)
        loop = asyncio.get_running_loop()
        end = loop.time() + GRACE_S + EXIT_SLACK_S
        while self.process.poll() is None:
            if loop.time() > end:
                self.process.kill()
            await asyncio.sleep(0.02)

    def read_peak(self):
        """Return the peak resident memory of the process in bytes."""
        with open("/proc/%d/status" % self.process.pid) as file:
            found = re.search(r"VmHWM:\s+(\d+) kB", file.read())
        return int(found.group(1)) * 1024

    async def read_version(self):
        """Return the version of the node's configuration, 0 if unknown."""
        return await self.read_gauge("configuration_version")

    async def read_gauge(self, name):
        """Return an integer from the node's metrics, 0 if unknown."""
        port = FIRST_PORT + len(PORT_OFFSETS) + 1
        timeout = aiohttp.ClientTimeout(total=0.5)
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with aiohttp.ClientSession(timeout=timeout) as session:
                url = "http://%s:%d/metrics" % (self.ip, port)
                async with session.get(url) as response:
                    text = await response.text()
            found = re.search(r"%s (\d+)" % name, text)
            return int(found.group(1)) if found else 0
        return 0

    async def is_ready(self):
        """Return whether the node reports that it is ready."""
        with contextlib.suppress(aiohttp.ClientError):
            async with aiohttp.ClientSession() as session:
                url = "http://%s/-/readyz" % self.find_address("readiness")
                async with session.get(url) as response:
                    return response.status == 200
        return False


class Worker:
    """A worker that records each run in the soak test's record."""

    def __init__(self, soak, worker_id, service):
        self.soak = soak
        self.worker_id = worker_id
        self.service = service
        self.fault = None
        self.is_leaving = False
        self.is_down = False
        self.incarnation = 1
        self.address = None
        self.sequence = 0
        self._listener = None
        self._server = None
        self._restart_task = None

    async def open(self):
        """Serve on a free port."""
        self._server = web.Server(self._answer)
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(self._server, "127.0.0.1", 0)
        port = self._listener.sockets[0].getsockname()[1]
        self.address = "127.0.0.1:%d" % port

    async def close(self):
        """Stop serving."""
        if self._restart_task is not None:
            self._restart_task.cancel()
        self._listener.close()
        await self._server.shutdown(0.1)

    def write_entry(self, state="ready"):
        """Write the worker's entry to the store, or delete it if gone."""
        self.sequence += 1
        self.is_leaving = state != "ready"
        row = {
            "service": self.service,
            "address": self.address,
            "zone": ZONES[self.sequence % len(ZONES)],
            "maxConcurrency": WORKER_SLOTS,
            "state": state,
            "warmupLeftMs": 0,
            "sequence": self.sequence,
            "born": self.incarnation,
        }
        row = None if state == "gone" else row
        self.soak.store.put("keyed.servers", self.worker_id, row)

    def write_again(self):
        """Write the entry to a restored store, unless the worker is gone."""
        if self.is_running() and not self.is_down:
            self.write_entry("draining" if self.is_leaving else "ready")

    def is_running(self):
        """Return whether the worker has an entry in the store."""
        fleet = self.soak.fleet
        return self in fleet.workers or self in fleet.leaving_workers

    async def _answer(self, request):
        request_id = request.headers["Acaciafield-Request-Id"]
        body = await request.content.read()
        headers = {"Acaciafield-Request-Id": request_id}
        expected = request.headers["Acaciafield-Expect-Instance"]
        record = self.soak.record
        if expected == self.worker_id:
            record.arrivals[self.worker_id].append(
                (request_id, self.soak.clock())
            )
        if self.is_leaving and expected == self.worker_id:
            headers["Server-Leaving"] = "1"
            self._record_notice(request_id, None)
        if self.fault in SHEDDING_FAULTS or expected != self.worker_id:
            status = 503 if expected == self.worker_id else 421
            headers["Acaciafield-Not-Executed"] = "1"
            if status == 503 and self.fault == "rest":
                headers["Retry-After"] = str(REQUESTED_PAUSE_S)
                self._record_notice(request_id, REQUESTED_PAUSE_S)
            return web.Response(status=status, headers=headers)
        if CRASH_PATH in request.path:
            self._crash()
            return web.Response()
        record.runs[request_id].append((self.worker_id, self.soak.clock()))
        if self.fault == "reset":
            request.transport.abort()
        if self.fault == "hang":
            await asyncio.sleep(10.0)
        headers["Acaciafield-Upstream-Signature"] = "s"
        if self.fault == "endless":
            return await _send_endless(request, headers)
        if self.fault == "heads":
            await _send_heads(request)
        if self.fault == "errors":
            return web.Response(status=500, headers=headers, body=body)
        if self.fault == "false-refusals":
            status = self.soak.random.choice(FALSE_REFUSAL_STATUSES)
            return web.Response(status=status, headers=headers, body=body)
        await asyncio.sleep(WORK_TIME_S)
        answer = web.Response(headers=headers, body=make_answer(request_id))
        if self.fault == "extra" and request.transport is not None:
            await answer.prepare(request)
            await answer.write_eof()
            request.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0")
        return answer

    def _record_notice(self, request_id, pause):
        notice = soak_record.WorkerNotice(
            self.worker_id, request_id, self.soak.clock(), pause
        )
        self.soak.record.notices.append(notice)

    def _crash(self):
        """Close all connections and the listener; restart after a delay."""
        if self.is_down:
            return
        self.is_down = True
        self.soak.record.crash_times.append(self.soak.clock())
        self._listener.close()
        for handler in self._server.connections:
            if handler.transport is not None:
                handler.transport.abort()
        self._restart_task = asyncio.ensure_future(self._reopen_later())

    async def _reopen_later(self):
        await asyncio.sleep(RESTART_DELAY_S)
        self.is_down = False
        self.incarnation += 1
        await self.open()
        if not self.is_leaving and self in self.soak.fleet.workers:
            self.write_entry()


async def _send_endless(request, headers):
    """Send a body until the caller closes the connection."""
    answer = web.StreamResponse(headers=headers)
    await answer.prepare(request)
    while request.transport is not None:
        await answer.write(ENDLESS_CHUNK)
        await asyncio.sleep(0.002)
    return answer


async def _send_heads(request):
    """Send interim heads until the caller closes the connection."""
    while request.transport is not None:
        request.transport.write(INTERIM_HEADS)
        await asyncio.sleep(0.002)


class Fleet:
    """The nodes and workers of a soak test."""

    def __init__(self, soak, folder):
        self.soak = soak
        self.folder = folder
        self.nodes = []
        self.workers = []
        self.leaving_workers = set()
        self.count = 0

    @contextlib.asynccontextmanager
    async def open(self):
        """Run all processes and stand-ins while the context is open."""
        listeners = []
        try:
            for service in ROUTE_KINDS:
                for _ in range(WORKERS_PER_SERVICE):
                    await self.add_worker(service)
            for number in range(1, self.soak.count + 1):
                node = Node(self.soak, number, self.folder)
                listener = await asyncio.start_server(
                    node.relay.handle, "127.0.0.1", 0
                )
                listeners.append(listener)
                port = listener.sockets[0].getsockname()[1]
                node.write_settings("127.0.0.1:%d" % port)
                self.nodes.append(node)
                await node.start()
            yield self
        finally:
            for node in self.nodes:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                node.process.wait()
            for listener in listeners:
                listener.close()
            for worker in self.workers:
                await worker.close()

    async def wait_ready(self):
        """Wait until all nodes report that they are ready."""
        async with asyncio.timeout(START_TIMEOUT_S):
            for node in self.nodes:
                while not await node.is_ready():
                    await asyncio.sleep(0.05)

    def pick_node(self):
        """Return a node without a fault, or None if too few have none."""
        available = [node for node in self.nodes if not node.is_reserved]
        if len(available) <= len(self.nodes) // 2:
            return None
        return self.soak.random.choice(available)

    def pick_worker(self):
        """Return a random worker."""
        return self.soak.random.choice(self.workers)

    def list_running_workers(self):
        """Return the workers that have an entry in the store."""
        return [*self.workers, *self.leaving_workers]

    async def add_worker(self, service):
        """Add a worker to a service."""
        self.count += 1
        worker = Worker(self.soak, "i-%d" % self.count, service)
        await worker.open()
        worker.write_entry()
        self.workers.append(worker)

    async def replace_worker(self):
        """Add a worker to a service, then drain and remove another one."""
        worker = await self._exchange_worker()
        worker.write_entry("draining")
        self.leaving_workers.add(worker)
        self.soak.record.drained_at[worker.worker_id] = self.soak.clock()
        await asyncio.sleep(LEAVE_TIME_S)
        self.leaving_workers.discard(worker)
        worker.write_entry("gone")
        await worker.close()

    async def remove_worker(self):
        """Add a worker to a service, then remove another one undrained.

        A heartbeat precedes the removal. The worker serves on and does not
        say that it leaves.
        """
        worker = await self._exchange_worker()
        worker.write_entry()
        worker.write_entry("gone")
        worker.is_leaving = False
        self.soak.record.drained_at[worker.worker_id] = self.soak.clock()
        await asyncio.sleep(LEAVE_TIME_S)
        await worker.close()

    async def _exchange_worker(self):
        """Add a worker and return another one of its service to remove."""
        worker = self.pick_worker()
        self.workers.remove(worker)
        await self.add_worker(worker.service)
        return worker
