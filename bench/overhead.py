"""Added latency of one node, its saturation rate, and its memory.

Requests go alternately through the node and directly to a worker within
one run. The remote row goes through a node that requests the permit from
another node.
"""

import asyncio
import subprocess
import sys
import time

from bench import clients
from bench import processes

RATES_PER_S = (250, 1000)
DURATION_S = 10.0
MAX_ADDED_P99_S = 0.0025
SERVICE = "echo"
SERVICE_BODIES = {SERVICE: {"classes": {"checks": {"target": "quick"}}}}
_BARE_MEMORY_SCRIPT = (
    "import acaciafield_daemon.main, acaciafield_daemon.driver, time;"
    "print(open('/proc/self/statm').read().split()[1])"
)


async def start_fleet(running, session):
    """Start the platform stand-ins, fast workers, and two nodes."""
    running.start_platform_standins()
    running.start_workers(SERVICE, 4, 100, 0.0005)
    await running.wait_for_standins(session)
    for name in ("n1", "n2"):
        running.start_node(name)
    await running.publish_hosts(session)
    await processes.publish_services(session, running, SERVICE_BODIES)
    await running.wait_for_nodes(session)


async def time_get(session, url):
    """Return the duration of one request in seconds."""
    started_at = time.perf_counter()
    async with session.get(url) as response:
        await response.read()
        assert response.status == 200, response.status
    return time.perf_counter() - started_at


async def measure_pairs(session, direct, through, rate):
    """Return sorted latencies of both paths, each at the full rate."""
    latencies = {direct: [], through: []}

    async def send(number):
        url = (direct, through)[number % 2]
        latencies[url].append(await time_get(session, url))

    await clients.run_at_rate(rate * 2, DURATION_S, send)
    return sorted(latencies[direct]), sorted(latencies[through])


async def measure_saturation(session, url, seconds=5.0, callers=32):
    """Return the requests per second of concurrent callers."""
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


def read_memory_mb(pid):
    """Return a process's resident memory in MB."""
    with open("/proc/%d/statm" % pid, encoding="ascii") as file:
        return int(file.read().split()[1]) * 4096 / 1e6


def measure_bare_memory_mb():
    """Return the memory in MB of an interpreter with the same imports."""
    done = subprocess.run(
        [sys.executable, "-c", _BARE_MEMORY_SCRIPT],
        capture_output=True,
        check=True,
    )
    return int(done.stdout) * 4096 / 1e6


def find_quantile(latencies, share):
    """Return a quantile of sorted latencies."""
    return latencies[min(len(latencies) - 1, int(share * len(latencies)))]


async def run_bench(running):
    """Print the tables."""
    async with clients.open_session() as session:
        await start_fleet(running, session)
        nodes = list(running.nodes.values())
        worker = "%s:%d" % (processes.IP, running.workers[SERVICE + "-1"])
        answer = await processes.get_json(
            session,
            nodes[0].address,
            ".acaciafield/addresses?service=" + SERVICE,
        )
        keeper = answer["addresses"][0]
        remote = [n.address for n in nodes if n.address != keeper][0]
        idle_mb = read_memory_mb(nodes[0].process.pid)
        bare_mb = measure_bare_memory_mb()
        print(
            "idle node %.1f MB, interpreter with the imports %.1f MB: "
            "%.1f MB of its own" % (idle_mb, bare_mb, idle_mb - bare_mb)
        )
        for name, address in (("keeper", keeper), ("remote", remote)):
            for rate in RATES_PER_S:
                await print_pair(session, name, address, worker, rate)
        rate = await measure_saturation(
            session, "http://%s/%s/x" % (keeper, SERVICE)
        )
        print("one node saturates at %.0f requests a second" % rate)


async def print_pair(session, name, address, worker, rate):
    """Print the latency that a node adds at one rate."""
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
            "met" if added[1] <= MAX_ADDED_P99_S else "MISSED",
        ),
        flush=True,
    )


def main():
    """Run the benchmark."""
    with processes.open_processes() as running:
        asyncio.run(run_bench(running))


if __name__ == "__main__":
    main()
