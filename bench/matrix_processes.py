"""A smaller fault matrix on real processes.

Each row starts a fleet, sends checks and orders, injects a fault during
the traffic, heals it, and compares the results with the workers' ledgers.
"""

import asyncio
import collections
import random
import signal
import sys

import cyclopts

from bench import clients
from bench import processes
from standins import relay as relays

NODE_COUNT = 4
WORKER_COUNT = 4
DURATION_S = 8.0
FAULT_AT_S = 2.0
HEAL_AFTER_S = 3.0
RATE_PER_S = 25.0  # of checks and of orders each
SERVICE_BODIES = {
    "prices": {
        "floor": 0.5,
        "classes": {
            "price-checks": {"target": "quick", "within": 0.5},
            "orders": {"target": "once", "within": 8.0},
        },
    }
}

Outcome = clients.Outcome
app = cyclopts.App()


class Scenario:
    """A running fleet whose worker 1 is behind a relay."""

    def __init__(self, running, session, relay):
        self.running = running
        self.session = session
        self.relay = relay
        self.keeper = None
        self.stopped_address = None

    def find_worker(self, number):
        """Return the address of a worker's own port."""
        port = self.running.workers["prices-%d" % number]
        return "%s:%d" % (processes.IP, port)

    async def set_fault(self, address, **switches):
        """Set fault switches of a stand-in."""
        await processes.post_json(self.session, address, ".fault", switches)


async def kill_keeper(scenario):
    """Kill the keeper."""
    scenario.keeper.send_signal(signal.SIGKILL)


async def freeze_keeper(scenario):
    """Suspend the keeper for HEAL_AFTER_S."""
    scenario.keeper.send_signal(signal.SIGSTOP)
    await asyncio.sleep(HEAL_AFTER_S)
    scenario.keeper.send_signal(signal.SIGCONT)


async def stop_keeper(scenario):
    """Stop the keeper gracefully, with a repeated signal."""
    scenario.stopped_address = scenario.keeper.address
    scenario.keeper.send_signal(signal.SIGTERM)
    await asyncio.sleep(0.3)
    scenario.keeper.send_signal(signal.SIGTERM)


async def cut_there(scenario):
    """Drop all bytes to one worker for HEAL_AFTER_S."""
    scenario.relay.apply_command("cut there")
    await asyncio.sleep(HEAL_AFTER_S)
    scenario.relay.apply_command("heal")


async def cut_back(scenario):
    """Drop all bytes from one worker for HEAL_AFTER_S."""
    scenario.relay.apply_command("cut back")
    await asyncio.sleep(HEAL_AFTER_S)
    scenario.relay.apply_command("heal")


async def stall_worker(scenario):
    """Let one worker stall for HEAL_AFTER_S."""
    await scenario.set_fault(scenario.find_worker(2), stall=True)
    await asyncio.sleep(HEAL_AFTER_S)
    await scenario.set_fault(scenario.find_worker(2), stall=None)


async def silence_worker(scenario):
    """Make one worker's open connections permanently unresponsive."""
    await scenario.set_fault(scenario.find_worker(2), silent=True)


async def drain_worker(scenario):
    """Drain one worker, which shows only in its refusals."""
    await scenario.set_fault(scenario.find_worker(2), drain=True)


async def crash_request(scenario):
    """Send a request that crashes workers."""
    caller = clients.Caller(
        scenario.session, [n.address for n in scenario.running.nodes.values()]
    )
    for _ in range(6):
        await caller.send_get("prices", "crash")
        await asyncio.sleep(0.3)


async def drop_platform(scenario):
    """Make the log and the host list unavailable for HEAL_AFTER_S."""
    for started in (scenario.running.log, scenario.running.hosts):
        await scenario.set_fault(started.address, down=True)
    await asyncio.sleep(HEAL_AFTER_S)
    for started in (scenario.running.log, scenario.running.hosts):
        await scenario.set_fault(started.address, down=None)


FAULTS = (
    kill_keeper,
    freeze_keeper,
    stop_keeper,
    cut_there,
    cut_back,
    stall_worker,
    silence_worker,
    drain_worker,
    crash_request,
    drop_platform,
)


async def run_row(running, fault):
    """Run one fault; return the violations and the counts of outcomes."""
    relay = None
    async with clients.open_session() as session:
        running.start_platform_standins()
        running.start_workers(
            "prices", WORKER_COUNT, 6, 0.04, in_own_processes=True
        )
        await running.wait_for_standins(session)
        target = "%s:%d" % (processes.IP, running.workers["prices-1"])
        relay = relays.Relay(target)
        port = running.find_ports(1)
        server = await asyncio.start_server(relay.handle, processes.IP, port)
        entry = running.host_lists["prices"][0]
        entry["address"] = "%s:%d" % (processes.IP, port)
        for number in range(NODE_COUNT):
            running.start_node("n%d" % number, "abc"[number % 3])
        await running.publish_hosts(session)
        await processes.publish_services(session, running, SERVICE_BODIES)
        await running.wait_for_nodes(session)
        scenario = Scenario(running, session, relay)
        results = await send_through(scenario, fault)
        findings = await find_violations(scenario, results)
        server.close()
    counts = collections.Counter(t.outcome.value for t in results)
    return findings, counts


async def send_through(scenario, fault):
    """Send the traffic during the fault; return the RequestResults."""
    nodes = list(scenario.running.nodes.values())
    caller = clients.Caller(scenario.session, [n.address for n in nodes])
    answer = await caller.find_addresses("prices")
    scenario.keeper = [
        n for n in nodes if n.address == answer["addresses"][0]
    ][0]

    async def order(number):
        copies = 2 if number % 3 == 0 else 1
        await caller.send_order("prices", "order-%d" % number, copies)

    async def inject_fault():
        await asyncio.sleep(FAULT_AT_S)
        await fault(scenario)

    await asyncio.gather(
        clients.run_at_rate(
            RATE_PER_S,
            DURATION_S,
            lambda n: caller.send_get("prices", "check/%d" % n),
        ),
        clients.run_at_rate(RATE_PER_S, DURATION_S, order),
        inject_fault(),
    )
    return caller.results


async def find_violations(scenario, results):
    """Return a line for each violation that the ledgers show."""
    runs, crashes = collections.Counter(), 0
    for number in range(WORKER_COUNT):
        address = scenario.find_worker(number + 1)
        ledger = await processes.get_json(scenario.session, address, ".ledger")
        for run in ledger["runs"]:
            crashes += "crash" in run["path"]
            if run["order"]:
                runs[run["order"]] += 1
    findings = [
        "%s ran %d times" % (order, count)
        for order, count in runs.items()
        if count > 1
    ]
    by_order = collections.defaultdict(set)
    for result in results:
        if result.order:
            by_order[result.order].add(result.outcome)
    for order, outcomes in by_order.items():
        if outcomes == {Outcome.NOT_RUN} and runs[order]:
            findings.append("%s was reported as not run but ran" % order)
        if Outcome.RAN in outcomes and not runs[order]:
            findings.append("%s was reported as run but did not run" % order)
    if scenario.stopped_address and any(result.is_cut for result in results):
        findings.append("a graceful stop cut a request")
    if crashes > 2:
        findings.append("the crashing request ran %d times" % crashes)
    return findings


@app.default
def run_matrix(*, seed: int = 1):
    """Run all rows in a random order that the seed determines."""
    faults = list(FAULTS)
    random.Random(seed).shuffle(faults)
    broken_count = 0
    for fault in faults:
        with processes.open_processes() as running:
            findings, counts = asyncio.run(run_row(running, fault))
        broken_count += bool(findings)
        name = fault.__name__.replace("_", " ")
        verdict = "BROKEN" if findings else "holds"
        print("%-16s %-40s %s" % (name, dict(counts), verdict), flush=True)
        for finding in findings:
            print("      " + finding)
    print("%d rows, %d broken" % (len(faults), broken_count))
    sys.exit(1 if broken_count else 0)


if __name__ == "__main__":
    app()
