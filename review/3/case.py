"""Workers leave without reporting that they drain; their entry is removed."""

import asyncio
import contextlib
import pathlib
import random
import sys
import tempfile

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import harness  # noqa: E402

NODES = 3
SERVICES = {"stock": "safe", "orders": "unsafe", "manuals": "download"}
WORKERS = 12  # of each service
CLIENTS = 9
TIMEOUT_MS = 4000
WORK_S = 0.2
PAUSE_S = 1.5  # of a client after each request
DRAIN_S = 2.0  # drainMs
SERVE_S = 12.0  # for which a worker serves after its entry is removed
ROUNDS = 10
ROUND_S = 6.0
LEAVERS = 5  # of 36 workers in each round, a share of 0.14
SEED = 1


class LeavingWorker(harness.Worker):
    """A worker that says in its answers that it leaves."""

    left_at = None

    def write_entry(self):
        """Write the entry, unless the worker has left."""
        if self.left_at is None:
            super().write_entry()

    def leave(self):
        """Remove the entry; the worker goes on serving."""
        self.store.put("keyed.servers", self.worker_id, None)
        self.left_at = self.record.now()
        self.is_leaving = True
        self.record.write("left", worker=self.worker_id)


class Fleet:
    """The workers, and the requests that reached one after it had left.

    ``sent_at`` maps a request id to the time at which a client sent it.
    """

    def __init__(self, record, store, stack):
        self.record = record
        self.store = store
        self.stack = stack
        self.random = random.Random(SEED)
        self.workers = []
        self.count = 0
        self.sent_at = {}

    async def add(self, service):
        """Add a worker of a service."""
        self.count += 1
        name = "i-%d" % self.count
        worker = LeavingWorker(self.record, self.store, name, service)
        worker.zone = "nv-" + "abc"[self.count % 3]
        worker.work_s = WORK_S
        self.workers.append(
            await self.stack.enter_async_context(worker.open())
        )

    async def replace(self):
        """Let some workers leave at random times; start others instead."""
        ready = [w for w in self.workers if w.left_at is None]
        leavers = self.random.sample(ready, LEAVERS)
        delays = sorted(self.random.uniform(0.0, 1.5) for _ in leavers)
        started = self.record.now()
        for worker, delay in zip(leavers, delays):
            await asyncio.sleep(started + delay - self.record.now())
            if harness.is_troubled():
                worker.leave()
                await self.add(worker.service)

    def find_late(self):
        """Return (worker, request id, seconds after it left)."""
        found = []
        for worker in self.workers:
            for at, request_id in worker.runs:
                if worker.left_at is None or at > worker.left_at + SERVE_S:
                    continue
                delay = self.sent_at[request_id] - worker.left_at
                if delay > DRAIN_S:
                    found.append((worker.worker_id, request_id, delay))
        return found


class Client:
    """A client with one kept connection to one node."""

    def __init__(self, fleet, number, node):
        self.fleet = fleet
        self.record = fleet.record
        self.number = number
        self.node = node
        self.count = 0
        self.random = random.Random(number)
        self.connection = None

    async def run(self, until):
        """Send one request after the other until a time."""
        while self.record.now() < until:
            await asyncio.sleep(self.random.uniform(0.5, 1.5) * PAUSE_S)
            await self._send()

    async def _send(self):
        if self.connection is None:
            address = self.node.find_address("front")
            self.connection = await harness.Connection.open(address)
        service = self.random.choice(list(SERVICES))
        method = "POST" if SERVICES[service] == "unsafe" else "GET"
        self.count += 1
        request_id = "c%d-%d" % (self.number, self.count)
        self.fleet.sent_at[request_id] = self.record.now()
        self.connection.send_head(
            method,
            "/%s/x" % service,
            request_id,
            TIMEOUT_MS,
            0 if method == "POST" else None,
        )
        self.record.write("sent", request=request_id, node=self.node.name)
        answer = await self.connection.read_answer()
        status = answer[0].words[1] if answer else "closed"
        self.record.write("answered", request=request_id, status=status)
        if answer is None or answer[0].get("connection") == "close":
            self.connection.close()
            self.connection = None


async def run():
    """Run the case; return the exit code."""
    record = harness.Record(HERE)
    async with contextlib.AsyncExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        routes = [(s, SERVICES[s], TIMEOUT_MS) for s in SERVICES]
        store = await stack.enter_async_context(harness.run_store(routes))
        fleet = Fleet(record, store, stack)
        for service in SERVICES:
            for _ in range(WORKERS):
                await fleet.add(service)
        nodes = [
            harness.Gateway(record, folder, number, store.address)
            for number in range(1, NODES + 1)
        ]
        stack.enter_context(harness.end_processes(nodes))
        for node in nodes:
            node.start()
        for node in nodes:
            await node.wait_ready()
        await asyncio.sleep(3.0)
        until = record.now() + (ROUNDS + 1) * ROUND_S
        clients = [
            Client(fleet, number, nodes[number % NODES])
            for number in range(CLIENTS)
        ]
        tasks = [
            asyncio.ensure_future(client.run(until)) for client in clients
        ]
        for _ in range(ROUNDS):
            round_end = record.now() + ROUND_S
            await fleet.replace()
            await asyncio.sleep(round_end - record.now())
        await asyncio.gather(*tasks)
        late = fleet.find_late()
        for worker_id, request_id, delay in late:
            record.write(
                "late", worker=worker_id, request=request_id, after=delay
            )
        left = sum(w.left_at is not None for w in fleet.workers)
        text = "%d workers left, %d requests reached %d of them too late"
        return record.finish(
            bool(late), text % (left, len(late), len({x[0] for x in late}))
        )


if __name__ == "__main__":
    sys.exit(harness.run_case(run))
