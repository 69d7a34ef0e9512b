"""Added latency of one node, its saturation, and its memory.

Pairs of requests go through the node and to the same worker directly,
in turn, within one run. A remote row goes through a node that asks
another node for the permit.
"""

import asyncio
import subprocess
import sys
import time

from bench import clients
from bench import processes

RATES = (250, 1000)  # requests a second
SECONDS = 10.0
GOAL = 0.0025  # seconds added at p99
SERVICE = "echo"
BODY = {SERVICE: {"classes": {"checks": {"target": "quick"}}}}
_IMPORTS = (
    "import acaciafield_daemon.main, acaciafield_daemon.driver, time;"
    "print(open('/proc/self/statm').read().split()[1])"
)


async def start(running, session):
    """Start the platform, quick workers, and two nodes."""
    running.start_platform()
    running.start_workers(SERVICE, 4, 100, 0.0005)
    await running.await_ready(session)
    for name in ("n1", "n2"):
        running.start_node(name)
    await running.publish_hosts(session)
    await processes.post_change(session, running, BODY)
    await running.await_nodes(session)


async def time_get(session, url):
    """Return the seconds that one request takes."""
    begin = time.perf_counter()
    async with session.get(url) as response:
        await response.read()
        assert response.status == 200, response.status
    return time.perf_counter() - begin


async def measure_pairs(session, direct, through, rate):
    """Return sorted latencies of both ways at half the rate each."""
    rows = {direct: [], through: []}

    async def send(number):
        url = (direct, through)[number % 2]
        rows[url].append(await time_get(session, url))

    await clients.run_steadily(rate * 2, SECONDS, send)
    return sorted(rows[direct]), sorted(rows[through])


async def saturate(session, url, seconds=5.0, callers=32):
    """Return the requests a second with many callers at once."""
    end = time.perf_counter() + seconds
    counts = []

    async def call():
        count = 0
        while time.perf_counter() < end:
            await time_get(session, url)
            count += 1
        counts.append(count)

    await asyncio.gather(*(call() for _ in range(callers)))
    return sum(counts) / seconds


def read_memory(pid):
    """Return a process's resident memory in MB."""
    with open("/proc/%d/statm" % pid, encoding="ascii") as file:
        return int(file.read().split()[1]) * 4096 / 1e6


def read_bare_memory():
    """Return an interpreter's memory in MB with the same imports."""
    done = subprocess.run(
        [sys.executable, "-c", _IMPORTS], capture_output=True, check=True
    )
    return int(done.stdout) * 4096 / 1e6


def find_quantile(rows, share):
    """Return a quantile of sorted rows."""
    return rows[min(len(rows) - 1, int(share * len(rows)))]


async def run_bench(running):
    """Print the tables."""
    async with clients.open_session() as session:
        await start(running, session)
        nodes = list(running.nodes.values())
        worker = "%s:%d" % (processes.IP, running.workers[SERVICE + "-1"])
        asked = await processes.get(
            session,
            nodes[0].address,
            ".acaciafield/addresses?service=" + SERVICE,
        )
        keeper = asked["addresses"][0]
        other = [n.address for n in nodes if n.address != keeper][0]
        idle = read_memory(nodes[0].process.pid)
        bare = read_bare_memory()
        print(
            "idle node %.1f MB, interpreter with the imports %.1f MB: "
            "%.1f MB of its own" % (idle, bare, idle - bare)
        )
        for name, address in (("keeper", keeper), ("remote", other)):
            for rate in RATES:
                await print_pair(session, name, address, worker, rate)
        rate = await saturate(session, "http://%s/%s/x" % (keeper, SERVICE))
        print("one node saturates at %.0f requests a second" % rate)


async def print_pair(session, name, address, worker, rate):
    """Print what one way adds at one rate."""
    direct, through = await measure_pairs(
        session,
        "http://%s/x" % worker,
        "http://%s/%s/x" % (address, SERVICE),
        rate,
    )
    added = [
        find_quantile(through, q) - find_quantile(direct, q)
        for q in (0.5, 0.99)
    ]
    print(
        "%s at %d/s: direct p50 %.2f p99 %.2f ms; added p50 %.2f "
        "p99 %.2f ms; goal %s"
        % (
            name,
            rate,
            1000 * find_quantile(direct, 0.5),
            1000 * find_quantile(direct, 0.99),
            1000 * added[0],
            1000 * added[1],
            "met" if added[1] <= GOAL else "MISSED",
        ),
        flush=True,
    )


def main():
    """Run the bench."""
    with processes.open_processes() as running:
        asyncio.run(run_bench(running))


if __name__ == "__main__":
    main()
