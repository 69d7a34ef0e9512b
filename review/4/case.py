"""A machine is stopped shortly after a route was dropped."""

import asyncio
import contextlib
import json
import pathlib
import random
import signal
import sys
import tempfile

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import harness  # noqa: E402

NODES = 3
WORKERS = 9
CLIENTS = 36
ROUTES = [("orders", "unsafe", 5000), ("returns", "unsafe", 5000)]
TIMEOUT_MS = 5000
WORK_S = 0.47
BODY = b"x" * 300
BODY_DELAY_S = 0.01  # between a head and its body
APPLY_S = 2.5  # from the change of the configuration; configApplyMs is 2,000
STOP_AFTER_S = 0.5  # from the clients' first orders to the stop
ORDER_AFTER_S = 5.25  # from the stop to the clients' next orders
PATIENCE = 3  # clients keep an answer of the directory three times its ttlS


class Client:
    """A client that keeps its addresses and its connection."""

    def __init__(self, record, number, nodes):
        self.record = record
        self.number = number
        self.nodes = nodes
        self.random = random.Random(number)
        self.addresses = []
        self.address = None
        self.valid_until = 0.0
        self.connection = None
        self.order_id = "c%d-2" % number
        self.sent_at = None
        self.status = None

    async def resolve(self):
        """Ask a node for addresses."""
        node = self.nodes[self.number % NODES]
        host, port = node.find_address("directory").split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        path = "/-/resolve?name=%s&region=nord-vest&zone=%s"
        writer.write(
            b"GET %s HTTP/1.1\r\nHost: d\r\n\r\n"
            % (path % (harness.HOST, node.zone)).encode()
        )
        head = harness.Head(await reader.readuntil(harness.HEAD_END))
        answer = json.loads(await harness.read_body(reader, head))
        writer.close()
        self.addresses = answer["addresses"]
        self.valid_until = self.record.now() + PATIENCE * answer["ttlS"]

    async def send(self, path, request_id):
        """Send a head and then its body; return the status of the answer."""
        self.connection.send_head(
            "POST", path, request_id, TIMEOUT_MS, len(BODY)
        )
        await asyncio.sleep(BODY_DELAY_S)
        self.connection.send_body(BODY)
        self.record.write("sent", request=request_id, address=self.address)
        answer = await self.connection.read_answer()
        status = answer[0].words[1] if answer else "closed"
        self.record.write("answered", request=request_id, status=status)
        return status

    async def connect(self):
        """Connect to a random address, another one if it fails."""
        self.random.shuffle(self.addresses)
        for address in self.addresses:
            with contextlib.suppress(OSError, TimeoutError):
                self.connection = await harness.Connection.open(address)
                self.address = address
                return

    async def begin(self):
        """Send an order on the dropped route."""
        await self.resolve()
        await self.connect()
        await self.send("/returns/x", "c%d-1" % self.number)

    async def go_on(self):
        """Send an order on the other route, on the open connection if any."""
        if self.record.now() > self.valid_until:
            self.record.write("address-expired", client=self.number)
            return
        if self.connection.reader.at_eof():
            self.record.write("connection-closed", client=self.number)
            await self.connect()
        self.sent_at = self.record.now()
        with contextlib.suppress(OSError):
            self.status = await self.send("/orders/x", self.order_id)


async def run():
    """Run the case; return the exit code."""
    record = harness.Record(HERE)
    async with contextlib.AsyncExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        store = await stack.enter_async_context(harness.run_store(ROUTES))
        workers = []
        for number in range(WORKERS):
            worker = harness.Worker(record, store, "i-%d" % number, "orders")
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
        await asyncio.sleep(3.0)
        configuration = harness.make_configuration(2, ROUTES[:1])
        store.put("keyed.op", "config", configuration)
        record.write("configuration", version=2, dropped="returns")
        await asyncio.sleep(APPLY_S)
        clients = [Client(record, n, nodes) for n in range(CLIENTS)]
        await asyncio.gather(*(client.begin() for client in clients))
        await asyncio.sleep(STOP_AFTER_S)
        if harness.is_troubled():
            nodes[0].signal(signal.SIGTERM)
        await asyncio.sleep(ORDER_AFTER_S)
        await asyncio.gather(*(client.go_on() for client in clients))
        run_ids = {r for worker in workers for _, r in worker.runs}
        sent = [c for c in clients if c.sent_at is not None]
        lost = [c for c in sent if c.order_id in run_ids and c.status != "200"]
        served = sum(c.status == "200" for c in sent)
        text = "%d orders sent, %d served, %d ran and were broken off"
        return record.finish(bool(lost), text % (len(sent), served, len(lost)))


if __name__ == "__main__":
    sys.exit(harness.run_case(run))
