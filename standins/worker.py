"""Stand-in of workers: slots, refusals, faults, and a ledger.

One process serves ``count`` workers on successive ports. Each tells
what really ran at ``/.ledger`` and takes switches at ``/.fault``:
``stall``, ``slow`` (factor), ``errors`` (share), ``silent`` (the open
connections), ``drain``, ``crash_on`` (text in the path), ``stall_body``
(bytes after which a download stalls), ``cold`` (seconds of slow start),
``refuse`` (all new connections are cut).
"""

import asyncio
import contextlib
import math
import random
import re
import time

from aiohttp import web
import cyclopts

from standins import servers

SIGMA = 0.47  # of the natural logarithm of service times
PROBE_TIME = 0.025  # seconds
CHUNK = 65536  # bytes
COLD_FACTOR = 4.0
ATTEMPT_ID = "Attempt-Id"  # header that names the attempt
FOREVER = 3600.0  # seconds

app = cyclopts.App()


class Worker:
    """One worker behind its fault switches."""

    def __init__(self, worker_id, slots, mean, seed):
        self.worker_id = worker_id
        self.slots = slots
        self.log_mean = math.log(mean) - SIGMA * SIGMA / 2
        self.faults = servers.Faults()
        self.random = random.Random(seed)
        self.busy = 0
        self.ledger = []
        self.started = time.monotonic()
        self.connections = set()
        self.silent = set()
        self.crashed_until = 0.0

    async def handle(self, request):
        """Answer a request as a worker in this state would."""
        if request.path == "/.fault":
            return await self._set_faults(request)
        if request.path == "/.ledger":
            return servers.make_json(
                {"worker": self.worker_id, "runs": self.ledger}
            )
        if request.path == "/health":
            await asyncio.sleep(PROBE_TIME)
            return servers.make_json({"healthy": True})
        if request.path == "/load":
            load = {"busy": self.busy, "slots": self.slots}
            return servers.make_json(load)
        self.connections.add(id(request.transport))
        if id(request.transport) in self.silent:
            await asyncio.sleep(FOREVER)
        if self.faults.get("refuse") or self._is_crashed():
            request.transport.abort()
            return web.Response()
        response = await self._admit(request)
        name = request.headers.get(ATTEMPT_ID)
        if name is not None and not response.prepared:
            response.headers[ATTEMPT_ID] = name
        return response

    async def _admit(self, request):
        if self.faults.get("drain"):
            return _refuse("draining")
        if float(request.headers.get("Request-Deadline", 1.0)) <= 0.0:
            return _refuse("deadline")
        if self.busy >= self.slots:
            return _refuse("shed")
        run = {
            "at": time.time(),
            "method": request.method,
            "path": request.path,
            "order": request.headers.get("Order-Id"),
            "ended": False,
        }
        self.busy += 1
        self.ledger.append(run)
        try:
            body = await request.read()
            response = await self._run(request, run, body)
            run["ended"] = True
            return response
        finally:
            self.busy -= 1

    async def _run(self, request, run, body):
        crash_on = self.faults.get("crash_on") or "/crash"
        if crash_on in request.path:
            self.crashed_until = time.monotonic() + 1.0
            self.started = self.crashed_until
            request.transport.abort()
            return web.Response()
        await asyncio.sleep(self._draw_time())
        if self.random.random() < self.faults.get("errors", 0.0):
            return servers.make_json({"error": "failed"}, 500)
        size = re.match(r"/download/(\d+)$", request.path)
        if size:
            return await self._send_file(request, int(size.group(1)))
        return servers.make_json(
            {
                "worker": self.worker_id,
                "path": request.path,
                "order": run["order"],
                "size": len(body),
            }
        )

    def _draw_time(self):
        if self.faults.get("stall"):
            return FOREVER
        drawn = self.random.lognormvariate(self.log_mean, SIGMA)
        drawn *= self.faults.get("slow", 1.0)
        cold = self.faults.get("cold", 0.0)
        if time.monotonic() - self.started < cold:
            drawn *= COLD_FACTOR
        return drawn

    def _is_crashed(self):
        return time.monotonic() < self.crashed_until

    async def _send_file(self, request, size):
        etag = '"file-%d"' % size
        start = 0
        wanted = re.match(r"bytes=(\d+)-$", request.headers.get("Range", ""))
        if wanted and request.headers.get("If-Range", etag) == etag:
            start = int(wanted.group(1))
        response = web.StreamResponse(status=206 if start else 200)
        response.headers["ETag"] = etag
        if start:
            response.headers["Content-Range"] = "bytes %d-%d/%d" % (
                start,
                size - 1,
                size,
            )
        response.headers[ATTEMPT_ID] = request.headers.get(ATTEMPT_ID, "")
        response.content_length = size - start
        await response.prepare(request)
        for offset in range(start, size, CHUNK):
            stall_at = self.faults.get("stall_body")
            if stall_at is not None and offset - start >= stall_at:
                await asyncio.sleep(FOREVER)
            piece = make_bytes(offset, min(CHUNK, size - offset))
            await response.write(piece)
        await response.write_eof()
        return response

    async def _set_faults(self, request):
        response = await self.faults.answer(request)
        if self.faults.get("silent"):
            self.silent |= self.connections
            self.faults.switches.pop("silent")
        return response


def make_bytes(offset, length):
    """Return the bytes of every file from an offset on."""
    first = offset // 8
    last = (offset + length + 7) // 8
    whole = b"".join(n.to_bytes(8, "big") for n in range(first, last))
    start = offset - first * 8
    return whole[start : start + length]


def _refuse(reason):
    return web.Response(status=503, headers={"Refused": reason})


@app.default
def run_workers(
    *,
    ip: str = "127.0.0.1",
    port: int,
    service: str,
    count: int = 1,
    slots: int = 6,
    mean: float = 0.08,
    seed: int = 1,
):
    """Serve the stand-in workers of one service."""

    async def serve(stopped):
        async with contextlib.AsyncExitStack() as stack:
            for number in range(count):
                name = "%s-%d" % (service, number + 1)
                worker = Worker(name, slots, mean, seed + number)
                await stack.enter_async_context(
                    servers.open_server(worker.handle, ip, port + number)
                )
            await stopped.wait()

    servers.run_until_told(serve)


if __name__ == "__main__":
    app()
