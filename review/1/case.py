"""A worker that sends interim heads without end, for some seconds."""

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
WORKERS = 7  # of each service; one of them is in trouble
CLIENTS = 48
TIMEOUT_MS = {"prices": 4000, "orders": 5000}
KINDS = {"prices": "safe", "orders": "unsafe"}
WORK_S = 0.2
PAUSE_S = 0.3  # of a client after each request
QUIET_S = 4.0  # before and after the trouble
TROUBLE_S = 5.0
ANSWER_SLACK_S = 0.5  # past the timeout of the route
PATIENCE_S = 3.0  # past the timeout, after which a client stops listening
MIN_OVERDUE = 8
INTERIM_HEADS = b"HTTP/1.1 100 Continue\r\n\r\n" * 2600  # about 64 KB
WRITE_PAUSE_S = 0.002


class TroubledWorker(harness.Worker):
    """Sends heads that are no answer while it is in trouble."""

    in_trouble = False

    async def answer(self, request_id, writer):
        """Answer, or send interim heads until the caller closes."""
        if not self.in_trouble:
            await super().answer(request_id, writer)
            return
        self.record.write("endless", worker=self.worker_id, request=request_id)
        while True:
            writer.write(INTERIM_HEADS)
            await writer.drain()
            await asyncio.sleep(WRITE_PAUSE_S)


class Result:
    """A client's request; ``latency`` is None without an answer."""

    def __init__(self, service):
        self.service = service
        self.latency = None
        self.ended = False


class Client:
    """A client with one kept connection to one node."""

    def __init__(self, record, number, node, results):
        self.record = record
        self.number = number
        self.node = node
        self.results = results
        self.count = 0
        self.random = random.Random(number)
        self.connection = None

    async def run(self, until):
        """Send one request after the other until a time."""
        while self.record.now() < until:
            await asyncio.sleep(self.random.uniform(0.5, 1.5) * PAUSE_S)
            try:
                await self._send()
            except (OSError, TimeoutError) as error:
                self.connection = None
                self.record.write("no-answer", cause=repr(error))

    async def _send(self):
        record = self.record
        if self.connection is None:
            address = self.node.find_address("front")
            self.connection = await harness.Connection.open(address)
        service = self.random.choice(list(KINDS))
        self.count += 1
        request_id = "c%d-%d" % (self.number, self.count)
        timeout_s = TIMEOUT_MS[service] / 1000.0
        result = Result(service)
        self.results.append(result)
        started = record.now()
        method = "GET" if KINDS[service] == "safe" else "POST"
        body = b"" if method == "GET" else b"order"
        self.connection.send_head(
            method,
            "/%s/x" % service,
            request_id,
            TIMEOUT_MS[service],
            None if method == "GET" else len(body),
        )
        self.connection.send_body(body)
        record.write("sent", request=request_id, node=self.node.name)
        async with asyncio.timeout(timeout_s + PATIENCE_S):
            answer = await self.connection.read_answer()
        result.latency = record.now() - started
        status = answer[0].words[1] if answer else "closed"
        record.write(
            "answered",
            request=request_id,
            status=status,
            latency=round(result.latency, 3),
        )
        if answer is None or answer[0].get("connection") == "close":
            self.connection.close()
            self.connection = None


def judge(record, results, nodes):
    """Apply the rule to all requests; return the exit code."""
    overdue = [
        r
        for r in results
        if r.latency is None or r.latency > TIMEOUT_MS[r.service] / 1000.0
    ]
    missing = [
        r
        for r in overdue
        if r.latency is None
        or r.latency > TIMEOUT_MS[r.service] / 1000.0 + ANSWER_SLACK_S
    ]
    for node in nodes:
        peak = node.read_peak_memory() // 1_000_000
        record.write("memory", node=node.name, peak_mb=peak)
    text = "%d requests, %d unanswered at the timeout, %d of them 0.5 s later"
    is_broken = len(overdue) >= MIN_OVERDUE and 2 * len(missing) > len(overdue)
    return record.finish(
        is_broken, text % (len(results), len(overdue), len(missing))
    )


async def run():
    """Run the case; return the exit code."""
    record = harness.Record(HERE)
    async with contextlib.AsyncExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        routes = [(s, KINDS[s], TIMEOUT_MS[s]) for s in KINDS]
        store = await stack.enter_async_context(harness.run_store(routes))
        workers = []
        for service in KINDS:
            for number in range(WORKERS):
                name = "i-%s-%d" % (service, number)
                worker = TroubledWorker(record, store, name, service)
                worker.zone = "nv-" + "abc"[number % 3]
                worker.work_s = WORK_S
                workers.append(await stack.enter_async_context(worker.open()))
        nodes = [
            harness.Gateway(record, folder, number, store.address)
            for number in range(1, NODES + 1)
        ]
        stack.enter_context(harness.end_processes(nodes))
        for node in nodes:
            node.start()
        for node in nodes:
            await node.wait_ready()
        started = record.now()
        until = started + 2 * QUIET_S + TROUBLE_S
        results = []
        clients = [
            Client(record, number, nodes[number % NODES], results)
            for number in range(CLIENTS)
        ]
        tasks = [
            asyncio.ensure_future(client.run(until)) for client in clients
        ]
        await asyncio.sleep(QUIET_S)
        if harness.is_troubled():
            workers[0].in_trouble = True
            record.write("trouble", worker=workers[0].worker_id)
        await asyncio.sleep(TROUBLE_S)
        workers[0].in_trouble = False
        record.write("calm", worker=workers[0].worker_id)
        await asyncio.gather(*tasks)
        return judge(record, results, nodes)


if __name__ == "__main__":
    sys.exit(harness.run_case(run))
