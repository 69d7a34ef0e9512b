"""Stand-in for workers: slots, refusals, faults, and a ledger.

One process serves ``count`` workers on consecutive ports. Each lists its
runs at ``/.ledger`` and accepts fault switches at ``/.fault``:
``stall``, ``slow`` (factor), ``errors`` (share), ``silent`` (the open
connections), ``drain``, ``crash_on`` (text in the path), ``stall_body``
(bytes after which a download stalls), ``cold`` (seconds of slow start),
``refuse`` (all connections are aborted).
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

SERVICE_TIME_SIGMA = 0.47  # of the natural logarithm of a service time
PROBE_TIME_S = 0.025
CHUNK_BYTES = 65536
COLD_FACTOR = 4.0
ATTEMPT_ID_HEADER = "Attempt-Id"
STALL_TIME_S = 3600.0

app = cyclopts.App()


class Worker:
    """One worker with fault switches; ``mean_s`` is its mean service time."""

    def __init__(self, worker_id, slots, mean_s, seed):
        self.worker_id = worker_id
        self.slots = slots
        self.log_mean = (
            math.log(mean_s) - SERVICE_TIME_SIGMA * SERVICE_TIME_SIGMA / 2
        )
        self.fault_switches = servers.FaultSwitches()
        self.random = random.Random(seed)
        self.busy = 0
        self.ledger = []
        self.started_at = time.monotonic()
        self.connections = set()
        self.silent_connections = set()
        self.crashed_until = 0.0

    async def handle(self, request):
        """Answer a request according to the fault switches."""
        if request.path == "/.fault":
            return await self._handle_switches(request)
        if request.path == "/.ledger":
            return servers.make_json(
                {"worker": self.worker_id, "runs": self.ledger}
            )
        if request.path == "/health":
            await asyncio.sleep(PROBE_TIME_S)
            return servers.make_json({"healthy": True})
        if request.path == "/load":
            load = {"busy": self.busy, "slots": self.slots}
            return servers.make_json(load)
        self.connections.add(id(request.transport))
        if id(request.transport) in self.silent_connections:
            await asyncio.sleep(STALL_TIME_S)
        if self.fault_switches.get("refuse") or self._is_crashed():
            request.transport.abort()
            return web.Response()
        response = await self._admit(request)
        attempt_id = request.headers.get(ATTEMPT_ID_HEADER)
        if attempt_id is not None and not response.prepared:
            response.headers[ATTEMPT_ID_HEADER] = attempt_id
        return response

    async def _admit(self, request):
        if self.fault_switches.get("drain"):
            return _make_refusal("draining")
        if float(request.headers.get("Request-Deadline", 1.0)) <= 0.0:
            return _make_refusal("deadline")
        if self.busy >= self.slots:
            return _make_refusal("shed")
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
        crash_on = self.fault_switches.get("crash_on") or "/crash"
        if crash_on in request.path:
            self.crashed_until = time.monotonic() + 1.0
            self.started_at = self.crashed_until
            request.transport.abort()
            return web.Response()
        await asyncio.sleep(self._draw_time())
        if self.random.random() < self.fault_switches.get("errors", 0.0):
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
        if self.fault_switches.get("stall"):
            return STALL_TIME_S
        time_s = self.random.lognormvariate(self.log_mean, SERVICE_TIME_SIGMA)
        time_s *= self.fault_switches.get("slow", 1.0)
        cold = self.fault_switches.get("cold", 0.0)
        if time.monotonic() - self.started_at < cold:
            time_s *= COLD_FACTOR
        return time_s

    def _is_crashed(self):
        return time.monotonic() < self.crashed_until

    async def _send_file(self, request, size):
        etag = '"file-%d"' % size
        start = 0
        range_match = re.match(
            r"bytes=(\d+)-$", request.headers.get("Range", "")
        )
        if range_match and request.headers.get("If-Range", etag) == etag:
            start = int(range_match.group(1))
        response = web.StreamResponse(status=206 if start else 200)
        response.headers["ETag"] = etag
        if start:
            response.headers["Content-Range"] = "bytes %d-%d/%d" % (
                start,
                size - 1,
                size,
            )
        response.headers[ATTEMPT_ID_HEADER] = request.headers.get(
            ATTEMPT_ID_HEADER, ""
        )
        response.content_length = size - start
        await response.prepare(request)
        for offset in range(start, size, CHUNK_BYTES):
            stall_at = self.fault_switches.get("stall_body")
            if stall_at is not None and offset - start >= stall_at:
                await asyncio.sleep(STALL_TIME_S)
            chunk = make_file_bytes(offset, min(CHUNK_BYTES, size - offset))
            await response.write(chunk)
        await response.write_eof()
        return response

    async def _handle_switches(self, request):
        response = await self.fault_switches.handle_request(request)
        if self.fault_switches.get("silent"):
            self.silent_connections |= self.connections
            self.fault_switches.switches.pop("silent")
        return response


def make_file_bytes(offset, length):
    """Return a part of the content that all files share."""
    first = offset // 8
    last = (offset + length + 7) // 8
    content = b"".join(n.to_bytes(8, "big") for n in range(first, last))
    start = offset - first * 8
    return content[start : start + length]


def _make_refusal(reason):
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
    """Serve the worker stand-ins of one service."""

    async def serve(stopped):
        async with contextlib.AsyncExitStack() as stack:
            for number in range(count):
                name = "%s-%d" % (service, number + 1)
                worker = Worker(name, slots, mean, seed + number)
                await stack.enter_async_context(
                    servers.open_server(worker.handle, ip, port + number)
                )
            await stopped.wait()

    servers.run_until_signal(serve)


if __name__ == "__main__":
    app()
