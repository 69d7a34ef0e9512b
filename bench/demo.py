"""The demo: real traffic through several nodes, and a gray failure.

Exit code 1 says that a promise was broken.
"""

import asyncio
import collections
import json
import sys
import time

from acaciafield import classes
from acaciafield import outcomes
from bench import clients
from bench import processes

SECONDS = 30.0
FAULT_AT = 10.0  # seconds
STOP_AT = 18.0  # seconds
NODES = 5
SICK = "prisliste-2"
DOWNLOAD = 4_000_000  # bytes
SERVICES = (
    ("lagerstatus", 9, 0.05),
    ("ordremottak", 18, 0.08),
    ("handbok", 6, 0.02),
    ("prisliste", 6, 0.08),
)
BODIES = {
    "lagerstatus": {
        "classes": {"stock-lookups": {"target": "quick", "within": 0.4}}
    },
    "ordremottak": {"classes": {"orders": {"target": "once"}}},
    "handbok": {"classes": {"downloads": {"target": "finish"}}},
    "prisliste": {
        "classes": {"price-checks": {"target": "quick", "within": 0.5}}
    },
}
RATES = {
    "lagerstatus": 60.0,
    "ordremottak": 25.0,
    "handbok": 1.5,
    "prisliste": 60.0,
}

Outcome = outcomes.Outcome


class Watch:
    """When the sick worker left use, and who left by mistake."""

    def __init__(self):
        self.fault_at = None
        self.left_at = None
        self.ejected = set()

    async def look(self, session, running, stop):
        """Look at the nodes until told to stop."""
        while not stop.is_set():
            for node in list(running.nodes.values()):
                status = await processes.get(
                    session, node.address, ".acaciafield/status"
                )
                for keeping in (status or {"services": {}})[
                    "services"
                ].values():
                    self._note(keeping["workers"])
            await asyncio.sleep(0.05)

    def _note(self, workers):
        for worker in workers:
            if worker["status"] not in ("ejected", "suspect"):
                continue
            if worker["worker"] == SICK and self.left_at is None:
                self.left_at = time.time()
            if worker["status"] == "ejected":
                self.ejected.add(worker["worker"])


async def run_demo(running):
    """Run the demo; return the exit code."""
    async with clients.open_session() as session:
        await start_fleet(running, session)
        print("Serving: %d nodes, %d workers." % (NODES, 39), flush=True)
        caller = clients.Caller(
            session, [n.address for n in running.nodes.values()]
        )
        watch, stop = Watch(), asyncio.Event()
        looking = asyncio.create_task(watch.look(session, running, stop))
        await asyncio.gather(
            send_traffic(caller),
            make_fault(session, running, watch),
            stop_a_node(running),
        )
        stop.set()
        await looking
        ledger = await read_ledgers(session, running)
        return report(caller, ledger, watch)


async def start_fleet(running, session):
    """Start everything and publish the configuration."""
    running.start_platform()
    for service, count, mean in SERVICES:
        running.start_workers(service, count, 6, mean)
    await running.await_ready(session)
    for number in range(NODES):
        running.start_node("n%d" % (number + 1), "abc"[number % 3])
    await running.publish_hosts(session)
    await processes.post_change(session, running, BODIES)
    await running.await_nodes(session)


async def send_traffic(caller):
    """Send all four kinds of work."""

    async def order(number):
        repeats = 2 if number % 5 == 0 else 1
        await caller.order("ordremottak", "order-%d" % number, repeats)

    await asyncio.gather(
        clients.run_steadily(
            RATES["lagerstatus"],
            SECONDS,
            lambda n: caller.get("lagerstatus", "stock/%d" % n),
        ),
        clients.run_steadily(
            RATES["prisliste"],
            SECONDS,
            lambda n: caller.get("prisliste", "price/%d" % n),
        ),
        clients.run_steadily(
            RATES["handbok"],
            SECONDS,
            lambda n: caller.get("handbok", "download/%d" % DOWNLOAD),
        ),
        clients.run_steadily(RATES["ordremottak"], SECONDS, order),
    )


async def make_fault(session, running, watch):
    """Let one worker stall; its probes still answer."""
    await asyncio.sleep(FAULT_AT)
    print("%s stalls now; its probes still answer." % SICK, flush=True)
    address = "%s:%d" % (processes.IP, running.workers[SICK])
    watch.fault_at = time.time()
    await processes.post(session, address, ".fault", {"stall": True})


async def stop_a_node(running):
    """Stop one node in a planned way, under load."""
    await asyncio.sleep(STOP_AT)
    name, node = sorted(running.nodes.items())[0]
    print("Node %s is stopped as planned." % name, flush=True)
    node.process.terminate()


async def read_ledgers(session, running):
    """Return how often each order ran, by the workers' own count."""
    runs = collections.Counter()
    for port in running.workers.values():
        address = "%s:%d" % (processes.IP, port)
        ledger = await processes.get(session, address, ".ledger")
        for run in ledger["runs"]:
            if run["order"]:
                runs[run["order"]] += 1
    return runs


def report(caller, ledger, watch):
    """Print what each class got; return the exit code."""
    for service, body in BODIES.items():
        print_class(service, body, caller.told)
    detection = None
    if watch.left_at is not None:
        detection = watch.left_at - watch.fault_at
    false_ejections = len(watch.ejected - {SICK})
    doubled = sum(count > 1 for count in ledger.values())
    cut = sum(told.cut for told in caller.told)
    lied = count_lies(caller.told, ledger)
    short = sum(
        told.status == 200 and told.size != DOWNLOAD
        for told in caller.told
        if told.service == "handbok"
    )
    seen = "not seen" if detection is None else "%.2f s" % detection
    print("Detection time: %s" % seen)
    print("False ejections: %d" % false_ejections)
    print("Doubled runs: %d" % doubled)
    print("Cut requests: %d" % cut)
    print("Told not run, but ran: %d" % lied)
    print("Downloads of a wrong size: %d" % short)
    broken = doubled or cut or lied or short or detection is None
    print("A promise was BROKEN." if broken else "Every promise held.")
    return 1 if broken else 0


def print_class(service, body, told):
    """Print one class's results against its target."""
    name, fields = next(iter(body["classes"].items()))
    own = [t for t in told if t.service == service]
    config = classes.check_service(service, body).ok
    work_class = config.classes[name]
    met = [t for t in own if t.outcome is Outcome.RAN and t.status < 500]
    if work_class.target is classes.Target.QUICK:
        met = [t for t in met if t.latency <= work_class.within]
    latencies = sorted(t.latency for t in own)
    share = len(met) / len(own)
    state = "met" if share >= work_class.share else "missed"
    counts = collections.Counter(t.outcome.value for t in own)
    print(
        "%-12s %-14s target %s: %.2f%% of %d (wanted %g%%), "
        "half in %.0f ms, 99%% in %.0f ms, %s"
        % (
            service,
            name,
            state,
            100 * share,
            len(own),
            100 * work_class.share,
            1000 * latencies[len(latencies) // 2],
            1000 * latencies[int(len(latencies) * 0.99)],
            json.dumps(dict(counts)),
        )
    )


def count_lies(told, ledger):
    """Count orders told not run at every try that ran all the same."""
    by_order = collections.defaultdict(set)
    for one in told:
        if one.order:
            by_order[one.order].add(one.outcome)
    return sum(
        found == {Outcome.NOT_RUN} and ledger[order] > 0
        for order, found in by_order.items()
    )


def main():
    """Run the demo and exit with its code."""
    with processes.open_processes() as running:
        code = asyncio.run(run_demo(running))
        running.stop()
    alive = [p.name for p in running.all if p.process.poll() is None]
    print("Left running: %d" % len(alive))
    sys.exit(1 if alive else code)


if __name__ == "__main__":
    main()
