"""A demo of real traffic through several nodes with a gray failure.

The exit code is 1 if a guarantee was violated.
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

DURATION_S = 30.0
FAULT_AT_S = 10.0
STOP_AT_S = 18.0
NODE_COUNT = 5
FAULTY_WORKER = "prisliste-2"
DOWNLOAD_BYTES = 4_000_000
SERVICES = (
    ("lagerstatus", 9, 0.05),
    ("ordremottak", 18, 0.08),
    ("handbok", 6, 0.02),
    ("prisliste", 6, 0.08),
)
SERVICE_BODIES = {
    "lagerstatus": {
        "classes": {"stock-lookups": {"target": "quick", "within": 0.4}}
    },
    "ordremottak": {"classes": {"orders": {"target": "once"}}},
    "handbok": {"classes": {"downloads": {"target": "finish"}}},
    "prisliste": {
        "classes": {"price-checks": {"target": "quick", "within": 0.5}}
    },
}
RATES_PER_S = {
    "lagerstatus": 60.0,
    "ordremottak": 25.0,
    "handbok": 1.5,
    "prisliste": 60.0,
}

Outcome = outcomes.Outcome


class EjectionWatch:
    """Records when the faulty worker is detected and who is ejected."""

    def __init__(self):
        self.fault_at = None
        self.detected_at = None
        self.ejected = set()

    async def poll_nodes(self, session, running, stop):
        """Poll the status of the nodes until ``stop`` is set."""
        while not stop.is_set():
            for node in list(running.nodes.values()):
                status = await processes.get_json(
                    session, node.address, ".acaciafield/status"
                )
                for service_state in (status or {"services": {}})[
                    "services"
                ].values():
                    self._record_statuses(service_state["workers"])
            await asyncio.sleep(0.05)

    def _record_statuses(self, workers):
        for worker in workers:
            if worker["status"] not in ("ejected", "suspect"):
                continue
            if worker["worker"] == FAULTY_WORKER and self.detected_at is None:
                self.detected_at = time.time()
            if worker["status"] == "ejected":
                self.ejected.add(worker["worker"])


async def run_demo(running):
    """Run the demo; return the exit code."""
    async with clients.open_session() as session:
        await start_fleet(running, session)
        print("Serving: %d nodes, %d workers." % (NODE_COUNT, 39), flush=True)
        caller = clients.Caller(
            session, [n.address for n in running.nodes.values()]
        )
        watch, stop = EjectionWatch(), asyncio.Event()
        poll_task = asyncio.create_task(
            watch.poll_nodes(session, running, stop)
        )
        await asyncio.gather(
            send_traffic(caller),
            inject_fault(session, running, watch),
            stop_node(running),
        )
        stop.set()
        await poll_task
        ledger = await read_ledgers(session, running)
        return report(caller, ledger, watch)


async def start_fleet(running, session):
    """Start all processes and publish the configuration."""
    running.start_platform_standins()
    for service, count, mean in SERVICES:
        running.start_workers(service, count, 6, mean)
    await running.wait_for_standins(session)
    for number in range(NODE_COUNT):
        running.start_node("n%d" % (number + 1), "abc"[number % 3])
    await running.publish_hosts(session)
    await processes.publish_services(session, running, SERVICE_BODIES)
    await running.wait_for_nodes(session)


async def send_traffic(caller):
    """Send requests to all four services."""

    async def order(number):
        copies = 2 if number % 5 == 0 else 1
        await caller.send_order("ordremottak", "order-%d" % number, copies)

    await asyncio.gather(
        clients.run_at_rate(
            RATES_PER_S["lagerstatus"],
            DURATION_S,
            lambda n: caller.send_get("lagerstatus", "stock/%d" % n),
        ),
        clients.run_at_rate(
            RATES_PER_S["prisliste"],
            DURATION_S,
            lambda n: caller.send_get("prisliste", "price/%d" % n),
        ),
        clients.run_at_rate(
            RATES_PER_S["handbok"],
            DURATION_S,
            lambda n: caller.send_get(
                "handbok", "download/%d" % DOWNLOAD_BYTES
            ),
        ),
        clients.run_at_rate(RATES_PER_S["ordremottak"], DURATION_S, order),
    )


async def inject_fault(session, running, watch):
    """Let one worker stall while it still answers probes."""
    await asyncio.sleep(FAULT_AT_S)
    print(
        "%s stalls now; its probes still answer." % FAULTY_WORKER, flush=True
    )
    address = "%s:%d" % (processes.IP, running.workers[FAULTY_WORKER])
    watch.fault_at = time.time()
    await processes.post_json(session, address, ".fault", {"stall": True})


async def stop_node(running):
    """Stop one node gracefully under load."""
    await asyncio.sleep(STOP_AT_S)
    name, node = sorted(running.nodes.items())[0]
    print("Node %s is stopped as planned." % name, flush=True)
    node.process.terminate()


async def read_ledgers(session, running):
    """Return how often each order ran according to the workers' ledgers."""
    runs = collections.Counter()
    for port in running.workers.values():
        address = "%s:%d" % (processes.IP, port)
        ledger = await processes.get_json(session, address, ".ledger")
        for run in ledger["runs"]:
            if run["order"]:
                runs[run["order"]] += 1
    return runs


def report(caller, ledger, watch):
    """Print the results of each class; return the exit code."""
    for service, body in SERVICE_BODIES.items():
        print_class(service, body, caller.results)
    detection_s = None
    if watch.detected_at is not None:
        detection_s = watch.detected_at - watch.fault_at
    false_ejections = len(watch.ejected - {FAULTY_WORKER})
    repeated_runs = sum(count > 1 for count in ledger.values())
    cut_count = sum(result.is_cut for result in caller.results)
    wrong_refusals = count_wrong_refusals(caller.results, ledger)
    wrong_sizes = sum(
        result.status == 200 and result.size != DOWNLOAD_BYTES
        for result in caller.results
        if result.service == "handbok"
    )
    shown = "not seen" if detection_s is None else "%.2f s" % detection_s
    print("Detection time: %s" % shown)
    print("False ejections: %d" % false_ejections)
    print("Doubled runs: %d" % repeated_runs)
    print("Cut requests: %d" % cut_count)
    print("Told not run, but ran: %d" % wrong_refusals)
    print("Downloads of a wrong size: %d" % wrong_sizes)
    broken = (
        repeated_runs
        or cut_count
        or wrong_refusals
        or wrong_sizes
        or detection_s is None
    )
    print("A promise was BROKEN." if broken else "Every promise held.")
    return 1 if broken else 0


def print_class(service, body, results):
    """Print the results of one class and whether it met its target."""
    name, fields = next(iter(body["classes"].items()))
    class_results = [r for r in results if r.service == service]
    config = classes.check_service(service, body).ok
    work_class = config.classes[name]
    met = [
        r for r in class_results if r.outcome is Outcome.RAN and r.status < 500
    ]
    if work_class.target is classes.Target.QUICK:
        met = [r for r in met if r.latency_s <= work_class.within]
    latencies = sorted(r.latency_s for r in class_results)
    share = len(met) / len(class_results)
    state = "met" if share >= work_class.share else "missed"
    counts = collections.Counter(r.outcome.value for r in class_results)
    print(
        "%-12s %-14s target %s: %.2f%% of %d (wanted %g%%), "
        "half in %.0f ms, 99%% in %.0f ms, %s"
        % (
            service,
            name,
            state,
            100 * share,
            len(class_results),
            100 * work_class.share,
            1000 * latencies[len(latencies) // 2],
            1000 * latencies[int(len(latencies) * 0.99)],
            json.dumps(dict(counts)),
        )
    )


def count_wrong_refusals(results, ledger):
    """Count orders that ran although all results report them as not run."""
    by_order = collections.defaultdict(set)
    for result in results:
        if result.order:
            by_order[result.order].add(result.outcome)
    return sum(
        order_outcomes == {Outcome.NOT_RUN} and ledger[order] > 0
        for order, order_outcomes in by_order.items()
    )


def main():
    """Run the demo; exit with 1 if processes are left or it failed."""
    with processes.open_processes() as running:
        code = asyncio.run(run_demo(running))
        running.stop()
    alive = [p.name for p in running.all_processes if p.process.poll() is None]
    print("Left running: %d" % len(alive))
    sys.exit(1 if alive else code)


if __name__ == "__main__":
    main()
