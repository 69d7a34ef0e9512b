"""Workers whose answers have no end, against a real process of the gateway."""

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

CALLERS = 100
DEADLINE_MS = 1500
END_SLACK = 1.5  # seconds past the deadline, as all share one processor
MOST_TIME = DEADLINE_MS / 1000.0 + END_SLACK  # seconds for one request
START_SLACK = 5.0  # seconds in which the callers' process sends them all
HOST_MEMORY = 200_000_000  # bytes, of the users' smallest hosts
SLOTS = 60
CLOSE_WAIT = 3.0  # seconds for the connections to the worker to end
WORKERS = 2
LOG_TAIL = 2000  # characters of the node's log beside a failure


class Workers:
    """Endless workers in a process of their own.

    They write all the time, which must not delay the callers' clock.
    """

    def __init__(self, process):
        self.process = process
        self.addresses = json.loads(process.stdout.readline())

    def count_open(self):
        """Return how many connections to them are open."""
        self.process.stdin.write("\n")
        self.process.stdin.flush()
        return int(self.process.stdout.readline())


@contextlib.contextmanager
def run_workers(form):
    """Run the process of the workers."""
    process = subprocess.Popen(
        [sys.executable, "-m", "standins.endless", form, str(WORKERS)],
        cwd=soak_fleet.ROOT,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    with process:
        try:
            yield Workers(process)
        finally:
            process.kill()


class World:
    """What a soak_fleet.Node asks of its surroundings."""

    def __init__(self, store):
        self.store = store


def put_worker(store, name, service, address):
    """Write the entry of a worker."""
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
    """Run a process of the gateway before the workers at addresses."""
    async with stores.StoreServer().open() as store:
        for number, address in enumerate(addresses):
            for service in soak_fleet.KINDS:
                name = "i-%s-%d" % (service, number)
                put_worker(store, name, service, address)
        store.put("keyed.op", "config", soak_fleet.make_configuration(1))
        node = soak_fleet.Node(World(store), 1, folder)
        node.write_settings(store.address)
        await node.start()
        try:
            async with asyncio.timeout(soak_fleet.START_WAIT):
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


class Sending:
    """When the requests of a session were sent, by their number."""

    def __init__(self):
        self.sent_at = {}
        self.trace = aiohttp.TraceConfig()
        self.trace.on_request_headers_sent.append(self._note)

    async def _note(self, session, context, params):
        number = context.trace_request_ctx
        self.sent_at[number] = asyncio.get_running_loop().time()


async def call(session, node, number, service):
    """Send a request; return its status, 0 where it broke off."""
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

    Each must end in time after it was sent: while all start, sending
    the last one takes the callers' process a while.
    """
    loop = asyncio.get_running_loop()
    sending = Sending()

    async def time_call(number):
        status = await call(session, node, number, service)
        return status, loop.time() - sending.sent_at[number]

    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(
        connector=connector, trace_configs=[sending.trace]
    ) as session:
        async with asyncio.timeout(START_SLACK + MOST_TIME):
            ends = await asyncio.gather(*map(time_call, range(CALLERS)))
    longest = max(time for _, time in ends)
    if longest > MOST_TIME:
        raise TimeoutError("a request took %.2f s" % longest)
    return collections.Counter(status for status, _ in ends)


def play(folder, form, service):
    """Return (statuses, peak memory, connections left) of one play."""

    async def steps(workers):
        async with run_node(folder, workers.addresses) as node:
            try:
                statuses = await call_all(node, service)
            except TimeoutError:
                print(node.log.read_text()[-LOG_TAIL:])
                raise
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(CLOSE_WAIT):
                    while workers.count_open():
                        await asyncio.sleep(0.05)
            return statuses, read_peak(node), workers.count_open()

    with run_workers(form) as workers:
        return asyncio.run(steps(workers))


@pytest.mark.parametrize("service", list(soak_fleet.KINDS))
@pytest.mark.parametrize("form", list(endless.FORMS))
def test_answer_without_end_is_cut_off(tmp_path, form, service):
    statuses, peak, left = play(tmp_path, form, service)
    print(form, service, dict(statuses), peak // 1_000_000, "MB")
    assert statuses[200] == 0
    assert statuses[500] == 0
    assert sum(statuses.values()) == CALLERS
    assert peak < HOST_MEMORY
    assert left == 0
