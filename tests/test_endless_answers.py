"""Tests of a gateway process against workers whose answers never end."""

import asyncio
import collections
import contextlib
import json
import re
import subprocess
import sys

import aiohttp
import pytest

from bench import soak_fleet
from standins import endless
from standins import store as stores

CALLER_COUNT = 100
DEADLINE_MS = 1500
END_SLACK_S = 1.5  # past the deadline, as all share one processor
MAX_REQUEST_TIME_S = DEADLINE_MS / 1000.0 + END_SLACK_S
START_TIMEOUT_S = 5.0  # for the callers' process to send all requests
HOST_MEMORY_BYTES = 200_000_000  # of the users' smallest hosts
SLOTS = 60
CLOSE_TIMEOUT_S = 3.0  # for the connections to the workers to close
WORKER_COUNT = 2
LOG_TAIL_LENGTH = 2000  # characters of the node's log to print on a failure


class EndlessWorkers:
    """Endless workers in a separate process.

    They write all the time, which must not delay the callers' clock.
    """

    def __init__(self, process):
        self.process = process
        self.addresses = json.loads(process.stdout.readline())

    def count_open(self):
        """Return the number of open connections to the workers."""
        self.process.stdin.write("\n")
        self.process.stdin.flush()
        return int(self.process.stdout.readline())


@contextlib.contextmanager
def run_workers(form):
    """Run the process of the workers during the block."""
    process = subprocess.Popen(
        [sys.executable, "-m", "standins.endless", form, str(WORKER_COUNT)],
        cwd=soak_fleet.ROOT,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    with process:
        try:
            yield EndlessWorkers(process)
        finally:
            process.kill()


class Environment:
    """The part of a soak's environment that soak_fleet.Node needs."""

    def __init__(self, store):
        self.store = store


def put_worker(store, name, service, address):
    """Write the entry of a worker to the store."""
    row = {
        "service": service,
        "address": address,
        "zone": "za",
        "maxConcurrency": SLOTS,
        "state": "ready",
        "sequence": 1,
        "born": 1,
    }
    store.put("keyed.servers", name, row)


@contextlib.asynccontextmanager
async def run_node(folder, addresses):
    """Run a gateway process with workers at these addresses."""
    async with stores.StoreServer().open() as store:
        for number, address in enumerate(addresses):
            for service in soak_fleet.ROUTE_KINDS:
                name = "i-%s-%d" % (service, number)
                put_worker(store, name, service, address)
        store.put("keyed.op", "config", soak_fleet.make_configuration(1))
        node = soak_fleet.Node(Environment(store), 1, folder)
        node.write_settings(store.address)
        await node.start()
        try:
            async with asyncio.timeout(soak_fleet.START_TIMEOUT_S):
                while not await node.is_ready():
                    await asyncio.sleep(0.05)
            yield node
        finally:
            node.process.kill()
            node.process.wait()


def read_peak(node):
    """Return the peak resident memory of a node's process in bytes."""
    with open("/proc/%d/status" % node.process.pid) as file:
        found = re.search(r"VmHWM:\s+(\d+) kB", file.read())
    return int(found.group(1)) * 1024


class SendTimes:
    """The time at which each request of a session was sent, by number."""

    def __init__(self):
        self.sent_at = {}
        self.trace = aiohttp.TraceConfig()
        self.trace.on_request_headers_sent.append(self._record_send)

    async def _record_send(self, session, context, params):
        number = context.trace_request_ctx
        self.sent_at[number] = asyncio.get_running_loop().time()


async def call(session, node, number, service):
    """Send a request; return its status, or 0 if the answer was cut off."""
    headers = {
        "Host": soak_fleet.HOSTNAME,
        "Acaciafield-Request-Id": "q%d" % number,
        "Acaciafield-Deadline-Ms": str(DEADLINE_MS),
    }
    url = "http://%s/%s/x" % (node.find_address("front"), service)
    try:
        async with session.get(
            url, headers=headers, trace_request_ctx=number
        ) as response:
            async for _ in response.content.iter_any():
                pass
            return response.status
    except (aiohttp.ClientError, OSError):
        return 0


async def call_all(node, service):
    """Send all callers' requests at once; count their statuses.

    The time limit of each request counts from when it was sent, as the
    callers' process needs a while to send all of them.
    """
    loop = asyncio.get_running_loop()
    send_times = SendTimes()

    async def time_call(number):
        status = await call(session, node, number, service)
        return status, loop.time() - send_times.sent_at[number]

    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(
        connector=connector, trace_configs=[send_times.trace]
    ) as session:
        async with asyncio.timeout(START_TIMEOUT_S + MAX_REQUEST_TIME_S):
            results = await asyncio.gather(
                *map(time_call, range(CALLER_COUNT))
            )
    longest = max(time for _, time in results)
    if longest > MAX_REQUEST_TIME_S:
        raise TimeoutError("a request took %.2f s" % longest)
    return collections.Counter(status for status, _ in results)


def run_case(folder, form, service):
    """Return the statuses, the peak memory and the open connections."""

    async def steps(workers):
        async with run_node(folder, workers.addresses) as node:
            try:
                statuses = await call_all(node, service)
            except TimeoutError:
                print(node.log_path.read_text()[-LOG_TAIL_LENGTH:])
                raise
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(CLOSE_TIMEOUT_S):
                    while workers.count_open():
                        await asyncio.sleep(0.05)
            return statuses, read_peak(node), workers.count_open()

    with run_workers(form) as workers:
        return asyncio.run(steps(workers))


@pytest.mark.parametrize("service", list(soak_fleet.ROUTE_KINDS))
@pytest.mark.parametrize("form", list(endless.ANSWER_FORMS))
def test_endless_answer_is_aborted(tmp_path, form, service):
    statuses, peak, open_connections = run_case(tmp_path, form, service)
    print(form, service, dict(statuses), peak // 1_000_000, "MB")
    assert statuses[200] == 0
    assert statuses[500] == 0
    assert sum(statuses.values()) == CALLER_COUNT
    assert peak < HOST_MEMORY_BYTES
    assert open_connections == 0
