"""A smaller fault matrix on real processes: kill, freeze, cut, stop.

Each row starts a fleet, sends checks and orders, brings the fault about
in the middle, heals it, and judges by the workers' ledgers.
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

NODES = 4
WORKERS = 4
SECONDS = 8.0
FAULT_AT = 2.0  # seconds
HEAL_AFTER = 3.0  # seconds
RATE = 25.0  # requests a second, of each kind
BODIES = {
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


class Scene:
    """A running fleet; worker 1 is reached through a relay."""

    def __init__(self, running, session, relay):
        self.running = running
        self.session = session
        self.relay = relay
        self.keeper = None
        self.stopped = None

    def find_worker(self, number):
        """Return the address of a worker's own port."""
        port = self.running.workers["prices-%d" % number]
        return "%s:%d" % (processes.IP, port)

    async def set_fault(self, address, **switches):
        """Set switches of a stand-in."""
        await processes.post(self.session, address, ".fault", switches)


async def kill_keeper(scene):
    """The keeper dies."""
    scene.keeper.signal(signal.SIGKILL)


async def freeze_keeper(scene):
    """The keeper stands still, then goes on."""
    scene.keeper.signal(signal.SIGSTOP)
    await asyncio.sleep(HEAL_AFTER)
    scene.keeper.signal(signal.SIGCONT)


async def stop_keeper(scene):
    """The keeper is stopped as planned, twice."""
    scene.stopped = scene.keeper.address
    scene.keeper.signal(signal.SIGTERM)
    await asyncio.sleep(0.3)
    scene.keeper.signal(signal.SIGTERM)


async def cut_there(scene):
    """What goes to one worker is lost."""
    scene.relay.switch("cut there")
    await asyncio.sleep(HEAL_AFTER)
    scene.relay.switch("heal")


async def cut_back(scene):
    """What one worker answers is lost."""
    scene.relay.switch("cut back")
    await asyncio.sleep(HEAL_AFTER)
    scene.relay.switch("heal")


async def stall_worker(scene):
    """One worker stalls."""
    await scene.set_fault(scene.find_worker(2), stall=True)
    await asyncio.sleep(HEAL_AFTER)
    await scene.set_fault(scene.find_worker(2), stall=None)


async def silence_worker(scene):
    """Open connections to one worker go silent for good."""
    await scene.set_fault(scene.find_worker(2), silent=True)


async def drain_worker(scene):
    """One worker leaves, and only its refusals say so."""
    await scene.set_fault(scene.find_worker(2), drain=True)


async def crash_request(scene):
    """A caller sends a request that crashes workers."""
    caller = clients.Caller(
        scene.session, [n.address for n in scene.running.nodes.values()]
    )
    for _ in range(6):
        await caller.get("prices", "crash")
        await asyncio.sleep(0.3)


async def drop_platform(scene):
    """The log and the host list are down."""
    for started in (scene.running.log, scene.running.hosts):
        await scene.set_fault(started.address, down=True)
    await asyncio.sleep(HEAL_AFTER)
    for started in (scene.running.log, scene.running.hosts):
        await scene.set_fault(started.address, down=None)


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
    """Run one fault; return the findings and the counts of outcomes."""
    relay = None
    async with clients.open_session() as session:
        running.start_platform()
        running.start_workers("prices", WORKERS, 6, 0.04, apart=True)
        await running.await_ready(session)
        target = "%s:%d" % (processes.IP, running.workers["prices-1"])
        relay = relays.Relay(target)
        port = running.find_ports(1)
        server = await asyncio.start_server(relay.handle, processes.IP, port)
        entry = running.listed["prices"][0]
        entry["address"] = "%s:%d" % (processes.IP, port)
        for number in range(NODES):
            running.start_node("n%d" % number, "abc"[number % 3])
        await running.publish_hosts(session)
        await processes.post_change(session, running, BODIES)
        await running.await_nodes(session)
        scene = Scene(running, session, relay)
        told = await send_through(scene, fault)
        findings = await judge(scene, told)
        server.close()
    counts = collections.Counter(t.outcome.value for t in told)
    return findings, counts


async def send_through(scene, fault):
    """Send the traffic while the fault comes and goes."""
    nodes = list(scene.running.nodes.values())
    caller = clients.Caller(scene.session, [n.address for n in nodes])
    answer = await caller.find_addresses("prices")
    scene.keeper = [n for n in nodes if n.address == answer["addresses"][0]][0]

    async def order(number):
        repeats = 2 if number % 3 == 0 else 1
        await caller.order("prices", "order-%d" % number, repeats)

    async def break_it():
        await asyncio.sleep(FAULT_AT)
        await fault(scene)

    await asyncio.gather(
        clients.run_steadily(
            RATE, SECONDS, lambda n: caller.get("prices", "check/%d" % n)
        ),
        clients.run_steadily(RATE, SECONDS, order),
        break_it(),
    )
    return caller.told


async def judge(scene, told):
    """Return what the ledgers say was broken."""
    runs, crashes = collections.Counter(), 0
    for number in range(WORKERS):
        address = scene.find_worker(number + 1)
        ledger = await processes.get(scene.session, address, ".ledger")
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
    for one in told:
        if one.order:
            by_order[one.order].add(one.outcome)
    for order, outcomes in by_order.items():
        if outcomes == {Outcome.NOT_RUN} and runs[order]:
            findings.append("%s was told not run but ran" % order)
        if Outcome.RAN in outcomes and not runs[order]:
            findings.append("%s was told ran but did not" % order)
    if scene.stopped and any(one.cut for one in told):
        findings.append("a planned stop cut a request")
    if crashes > 2:
        findings.append("the crashing request ran %d times" % crashes)
    return findings


@app.default
def run_matrix(*, seed: int = 1):
    """Run all rows in an order drawn by the seed."""
    faults = list(FAULTS)
    random.Random(seed).shuffle(faults)
    broken = 0
    for fault in faults:
        with processes.open_processes() as running:
            findings, counts = asyncio.run(run_row(running, fault))
        broken += bool(findings)
        name = fault.__name__.replace("_", " ")
        verdict = "BROKEN" if findings else "holds"
        print("%-16s %-40s %s" % (name, dict(counts), verdict), flush=True)
        for finding in findings:
            print("      " + finding)
    print("%d rows, %d broken" % (len(faults), broken))
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    app()
