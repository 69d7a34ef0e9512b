"""Builders for tests of a gateway process against untrusted clients."""

import asyncio
import contextlib
import os
import random
import re
import resource
import socket

import aiohttp
import orjson

from acaciafield.gateway import messages
from bench import soak_crowd
from bench import soak_fleet
from standins import store as stores
from tests import test_endless_answers

PEER_OFFSET = len(soak_fleet.PORT_OFFSETS)
PORT_OFFSETS = {
    "caller": soak_fleet.PORT_OFFSETS["front"],
    "readiness": soak_fleet.PORT_OFFSETS["readiness"],
    "directory": soak_fleet.PORT_OFFSETS["directory"],
    "peers": PEER_OFFSET,
    "metrics": PEER_OFFSET + 1,
}
PATHS = {
    "caller": b"/orders/x",
    "readiness": b"/-/readyz",
    "directory": b"/addresses",
    "peers": b"/members",
    "metrics": b"/metrics",
}
LIMITS = {
    "maxHeaderBytes": 16_384,
    "maxBodyBytes": 67_108_864,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15_000,
}
ROUTE_TIMEOUT_MS = 20_000  # bodies are held for longer than a test takes
SEND_TIME_S = 1.2  # for a crowd to send its data, as far as it is taken
HOLD_TIME_S = 0.3  # for which the node processes what it was sent
CALL_TIME_S = 6.0  # of one attempt of an ordinary request
SERVE_TIME_S = 12.0  # until an ordinary request must have been answered
RESERVED_DESCRIPTORS = 200  # of the host's limit
DATAGRAM_BATCH = 50  # sent without a pause
# Values of datagrams; most are of another type than a field has.
MISTYPED_VALUES = (
    None,
    "",
    "n1",
    0,
    -1,
    1e300,
    True,
    [],
    {},
    ["n1"],
    [[]],
    [["n1", 1]],
    {"a": 1},
)
LENGTH = re.compile(rb"content-length: (\d+)", re.IGNORECASE)
REQUEST_ID = re.compile(rb"acaciafield-request-id: (\S+)", re.IGNORECASE)


class Worker:
    """A worker that discards bodies; ``runs`` has the ids of requests."""

    def __init__(self):
        self.runs = []
        self.body_sizes = []
        self.answer_bytes = 10
        self.address = None

    @contextlib.asynccontextmanager
    async def open(self):
        """Serve on a free port."""
        server = await asyncio.start_server(self._answer, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        self.address = "127.0.0.1:%d" % port
        try:
            yield self
        finally:
            server.close()

    async def _answer(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            head = await reader.readuntil(soak_crowd.HEAD_END)
            found = LENGTH.search(head)
            left = int(found.group(1)) if found else 0
            self.body_sizes.append(left)
            while left:
                data = await reader.read(min(left, soak_crowd.PIECE_BYTES))
                if not data:
                    return
                left -= len(data)
            request_id = REQUEST_ID.search(head).group(1)
            self.runs.append(request_id.decode())
            writer.write(
                b"HTTP/1.1 200 OK\r\nAcaciafield-Request-Id: %s\r\n"
                b"Acaciafield-Upstream-Signature: s\r\n"
                b"Content-Length: %d\r\n\r\n" % (request_id, self.answer_bytes)
            )
            for _ in range(self.answer_bytes // soak_crowd.PIECE_BYTES):
                writer.write(bytes(soak_crowd.PIECE_BYTES))
                await writer.drain()
            writer.write(bytes(self.answer_bytes % soak_crowd.PIECE_BYTES))
            await writer.drain()
        writer.close()


class Target:
    """A gateway process under attack, with its limits and its worker."""

    def __init__(self, node, worker, memory_mb, max_descriptors):
        self.node = node
        self.worker = worker
        self.memory_bytes = memory_mb * 1_000_000
        self.max_descriptors = max_descriptors

    def get_address(self, listener):
        """Return the ip and the port of a listener."""
        return self.node.ip, soak_fleet.FIRST_PORT + PORT_OFFSETS[listener]

    def count_descriptors(self):
        """Return the number of open descriptors of the process."""
        return len(os.listdir("/proc/%d/fd" % self.node.process.pid))

    async def send_ordinary(self, body=b"order"):
        """Send an ordinary order until it is served, as callers repeat it."""
        loop = asyncio.get_running_loop()
        end = loop.time() + SERVE_TIME_S
        url = "http://%s:%d/orders/x" % self.get_address("caller")
        headers = {
            "Host": soak_fleet.HOSTNAME,
            "Acaciafield-Request-Id": "ordinary",
            "Acaciafield-Deadline-Ms": "5000",
        }
        status = 0
        while status != 200 and loop.time() < end:
            with contextlib.suppress(OSError, aiohttp.ClientError):
                timeout = aiohttp.ClientTimeout(total=CALL_TIME_S)
                async with aiohttp.ClientSession(timeout=timeout) as session:
                    async with session.post(
                        url, headers=headers, data=body
                    ) as response:
                        status = response.status
                        await response.read()
            await asyncio.sleep(0.05)
        return status

    async def send_mistyped_messages(self, seed, count):
        """Send datagrams of known kinds with fields of random types."""
        rng = random.Random(seed)
        kinds = sorted(messages.CLASS_BY_KIND)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            for number in range(count):
                kind = rng.choice(kinds)
                names = messages.CLASS_BY_KIND[kind].__slots__
                fields = rng.choices(MISTYPED_VALUES, k=len(names))
                sock.sendto(
                    orjson.dumps([kind, *fields]), self.get_address("peers")
                )
                if number % DATAGRAM_BATCH == 0:
                    await asyncio.sleep(0.005)

    async def get_page(self, listener):
        """Return whether a listener answers an ordinary request in time."""
        url = "http://%s:%d" % self.get_address(listener)
        url += PATHS[listener].decode()
        timeout = aiohttp.ClientTimeout(total=CALL_TIME_S)
        loop = asyncio.get_running_loop()
        end = loop.time() + SERVE_TIME_S
        while loop.time() < end:
            with contextlib.suppress(OSError, aiohttp.ClientError):
                async with aiohttp.ClientSession(timeout=timeout) as session:
                    async with session.get(url) as response:
                        await response.read()
                        return True
            await asyncio.sleep(0.05)
        return False

    async def check(self):
        """Check the process and that it still serves an ordinary order."""
        descriptors = self.count_descriptors()
        status = await self.send_ordinary()
        assert self.node.process.poll() is None
        peak = self.node.read_peak()
        print("peak %.1f MB, %d descriptors" % (peak / 1e6, descriptors))
        assert peak < self.memory_bytes
        assert descriptors <= self.max_descriptors - RESERVED_DESCRIPTORS
        assert status == 200


@contextlib.asynccontextmanager
async def run_target(folder, memory_mb=152, max_descriptors=1535, limits=None):
    """Run a node with the limits of a host, a store and a worker."""
    worker = Worker()
    async with stores.StoreServer().open() as store, worker.open():
        test_endless_answers.put_worker(
            store, "i-orders", "orders", worker.address
        )
        configuration = soak_fleet.make_configuration(1)
        configuration["limits"] = LIMITS | (limits or {})
        for route in configuration["routes"]:
            route["timeoutMs"] = ROUTE_TIMEOUT_MS
        store.put("keyed.op", "config", configuration)
        environment = test_endless_answers.Environment(store)
        node = soak_fleet.Node(environment, 1, folder)
        node.write_settings(store.address)
        text = node.path.read_text().replace(
            "[self.limits]\n",
            "[self.limits]\nmemoryMb = %d\nmaxFds = %d\n"
            % (memory_mb, max_descriptors),
        )
        node.path.write_text(text)
        await node.start()
        pid = node.process.pid
        resource.prlimit(pid, resource.RLIMIT_NOFILE, (max_descriptors,) * 2)
        try:
            async with asyncio.timeout(soak_fleet.START_TIMEOUT_S):
                while not await node.is_ready():
                    await asyncio.sleep(0.05)
            yield Target(node, worker, memory_mb, max_descriptors)
        finally:
            node.process.kill()
            node.process.wait()


@contextlib.asynccontextmanager
async def run_crowd(clients):
    """Let clients send at once; keep their connections during the block."""
    tasks = [asyncio.ensure_future(client.send()) for client in clients]
    try:
        await asyncio.wait(tasks, timeout=SEND_TIME_S)
        await asyncio.sleep(HOLD_TIME_S)
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for client in clients:
            client.close()
