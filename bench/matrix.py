"""The fault matrix: every fault at every step, in virtual time.

The rows combine STEPS and FAULTS; the seed draws further pairs of faults.
The decision code is real; the simulation records what happens, and the matrix
checks its invariants against that record.
"""

import random
import sys

import cyclopts

from acaciafield import ejections
from acaciafield import workers
from bench import faults
from bench import simulation

NODE_COUNT = 6
SETTLE_S = 7.0  # before the traffic
TRAFFIC_S = 16.0
RECOVERY_S = 30.0  # after the traffic, when most faults have ended
REQUEST_PERIOD_S = 0.12  # between background requests
Outcome = simulation.Outcome
Status = workers.Status
app = cyclopts.App()
STEPS = (
    "ask",
    "accept",
    "bind",
    "claim",
    "choose",
    "send",
    "wait",
    "first-byte",
    "body",
    "record",
    "reply",
    "read-base",
    "append",
    "fold",
    "tell-peers",
    "leave",
    "hand-over",
    "drain",
)


class MatrixRow:
    """Faults, each at a step; ``violations`` lists broken invariants."""

    __slots__ = (
        "plan",
        "seed",
        "violations",
        "steps_reached",
        "outcome_counts",
    )

    def __init__(self, plan, seed):
        self.plan = plan
        self.seed = seed
        self.violations = []
        self.steps_reached = 0
        self.outcome_counts = {}

    @property
    def name(self):
        """The steps and faults as text."""
        return " + ".join(
            "%s: %s" % (step, fault.__name__.replace("_", " "))
            for step, fault in self.plan
        )

    def format(self):
        """Return the text of the row and its violations."""
        verdict = "holds" if not self.violations else "BROKEN"
        counts = " ".join(
            "%s %d" % (o.value if o else "no answer", n)
            for o, n in self.outcome_counts.items()
        )
        text = "%-52s %-34s %s" % (self.name, counts, verdict)
        if not self.steps_reached:
            text += " (step not reached)"
        return "\n      ".join([text, *self.violations])


def make_world(seed):
    """Return a World with a service and settled membership."""
    world = simulation.World(seed)
    world.keys = {}
    world.download_s = 1.5
    world.add_workers("prices", 6, 3, 0.08)
    world.append_change("first", {"prices": (0, faults.make_body(0.5))})
    for number in range(NODE_COUNT):
        world.add_node("n%d" % number, "abc"[number % 3])
    world.run_for(SETTLE_S)
    return world


def send_background_request(world, number):
    """Send one background request."""
    live = world.list_running_nodes()
    entry = live[number % len(live)]
    world.report_step("ask", entry)
    if not world.simulated_nodes[entry].is_alive:
        return
    answer = world.request_addresses(entry, "prices")
    if answer is None:
        return
    names = [a.partition(":")[0] for a in answer.addresses]
    entry = names[number % len(names)]
    request_kind = number % 4
    if request_kind == 0:
        world.send_request(entry, "prices", "check-%d" % number)
    elif request_kind == 1:
        send_order(world, entry, number, answer.key_prefix + ".")
    elif request_kind == 2:
        send_order(world, entry, number, "opaque-")
    elif number % 8 == 3:
        label = "file-%d" % number
        world.send_request(entry, "prices", label, class_name="downloads")


def send_order(world, entry, number, prefix):
    """Send an order, and repeat it at another node 1 s later."""
    label = "order-%d" % number
    world.keys[label] = key = "%s%d" % (prefix, number)
    world.send_request(entry, "prices", label, "POST", key=key)
    world.call_in(1.0, repeat_order, world, label, key, number)


def repeat_order(world, label, key, number):
    """Repeat an order at another node."""
    live = world.list_running_nodes()
    entry = live[(number + 1) % len(live)]
    world.send_request(entry, "prices", label, "POST", key=key)


def publish_change(world):
    """Publish a change of the configuration during the traffic."""
    live = world.list_running_nodes()[0]
    world.report_step("read-base", live)
    base = world.simulated_nodes[live].node.state.config.offset
    world.report_step("append", live)
    if not world.log.is_down:
        world.append_change("middle", faults.make_items(0.6, base))


def run_row(plan, seed):
    """Run a plan of faults; return its row with the violations."""
    row = MatrixRow(plan, seed)
    world = make_world(seed)
    rng = random.Random(seed)
    pending_faults = list(plan)

    def inject_faults(step, node_id, worker):
        for pending in list(pending_faults):
            if pending[0] == step:
                pending_faults.remove(pending)
                row.steps_reached += 1
                chosen = worker or rng.choice(list(world.workers.values()))
                pending[1](world, node_id, chosen)
                world.call_in(faults.HEAL_AFTER_S, heal, world)

    world.on_step = inject_faults
    for number in range(int(TRAFFIC_S / REQUEST_PERIOD_S)):
        world.call_in(
            number * REQUEST_PERIOD_S, send_background_request, world, number
        )
    world.call_in(4.0, publish_change, world)
    world.call_in(6.0, replace_node, world)
    offsets = {}
    for _ in range(int((TRAFFIC_S + RECOVERY_S) / 0.25)):
        world.run_for(0.25)
        check_invariants(world, row, offsets)
    check_results(world, row)
    return row


def replace_node(world):
    """Start a node, and stop another one as planned."""
    serving = [
        n
        for n in world.list_running_nodes()
        if world.simulated_nodes[n].node.stopping.value == "serving"
        and not world.simulated_nodes[n].is_frozen
    ]
    node_id = serving[-1]
    world.report_step("leave", node_id)
    world.add_node("late")
    if world.simulated_nodes[node_id].is_alive:
        world.stop_node(node_id)


def heal(world):
    """End the cuts, log outages, stalls and slowness."""
    world.severed_links.clear()
    world.log.is_down = False
    world.log.loses_answers = False
    for worker in world.workers.values():
        worker.is_stalled = False
        worker.slowdown = 1.0


def check_invariants(world, row, offsets):
    """Check what must hold at all times."""
    for node_id, simulated_node in world.simulated_nodes.items():
        offset = simulated_node.node.state.config.offset
        if offset < offsets.get(node_id, 0):
            add_violation(
                row, "%s returned to an older configuration offset" % node_id
            )
        offsets[node_id] = offset
        service_state = simulated_node.node.state.services.get("prices")
        if service_state is not None and simulated_node.is_alive:
            check_floor(row, node_id, service_state)


def check_floor(row, node_id, service_state):
    """Check that ejections leave the floor in use."""
    ejected_slots, total_slots = 0, 0
    for worker in service_state.workers.values():
        if worker.status is Status.LEAVING:
            continue
        total_slots += worker.slots
        if worker.status in (Status.SUSPECT, Status.EJECTED):
            ejected_slots += worker.slots
    if (
        ejected_slots
        and total_slots - ejected_slots
        < ejections.count_floor_slots(service_state)
    ):
        add_violation(row, "%s went below the floor" % node_id)


def check_results(world, row):
    """Check the results of all requests after the traffic."""
    runs = world.count_runs()
    results = list(world.results.values())
    for result in results:
        row.outcome_counts[result.outcome] = (
            row.outcome_counts.get(result.outcome, 0) + 1
        )
    for label, count in runs.items():
        if label.startswith("order") and count > 1:
            add_violation(row, "%s ran %d times" % (label, count))
    for label in {t.label for t in results if "order" in t.label}:
        outcomes = [t.outcome for t in results if t.label == label]
        if runs[label] and set(outcomes) == {Outcome.NOT_RUN}:
            add_violation(row, "%s was reported as not run but ran" % label)
        if Outcome.RAN in outcomes and not runs[label]:
            add_violation(
                row, "%s was reported as run but did not run" % label
            )
    for result in results:
        simulated_node = world.simulated_nodes[result.node_id]
        if result.ended_at is None and simulated_node.is_alive:
            add_violation(row, "%s was never answered" % result.label)
        if result.is_aborted and simulated_node.node.stopping.value == "gone":
            add_violation(
                row, "%s was aborted by a planned stop" % result.label
            )
        if result.status == 422 and result.label != "poison":
            add_violation(
                row,
                "%s was refused as a crashing request" % result.label,
            )
        if "file" in result.label and result.outcome is Outcome.RAN:
            if result.received_parts != 100:
                add_violation(
                    row, "%s was delivered incomplete" % result.label
                )
    if runs["poison"] > 2:
        add_violation(row, "poison ran %d times" % runs["poison"])
    check_leaving_workers(world, row)
    check_recovery(world, row)


def check_leaving_workers(world, row):
    """Check that leaving workers receive no work after 3 s."""
    for worker in world.workers.values():
        since = worker.draining_since
        if since is None:
            continue
        late_starts = sum(at > since + 3.0 for at, _, _ in worker.ledger)
        if late_starts:
            add_violation(
                row, "%s received work while leaving" % worker.worker_id
            )


def check_recovery(world, row):
    """Check that the nodes agree on the configuration and serve."""
    live = [
        n
        for n in world.list_running_nodes()
        if not world.simulated_nodes[n].is_frozen
    ]
    digests = {
        world.simulated_nodes[n].node.state.config.compute_digest()
        for n in live
    }
    if len(digests) != 1:
        add_violation(row, "the nodes disagree on the configuration")
    final_requests = [
        world.send_request(n, "prices", "last-%s" % n, timeout_s=9.0)
        for n in live
    ]
    world.run_for(10.0)
    for result in final_requests:
        if result.outcome is not Outcome.RAN:
            add_violation(row, "%s does not serve at the end" % result.node_id)


def add_violation(row, text):
    """Add a violation to a row, once."""
    if text not in row.violations:
        row.violations.append(text)


def make_plans(seed, pairs):
    """Return a plan for each step and fault, then random pairs."""
    singles = [[(step, fault)] for step in STEPS for fault in faults.FAULTS]
    rng = random.Random(seed)
    for _ in range(pairs):
        plan = [
            (rng.choice(STEPS), rng.choice(faults.FAULTS)) for _ in range(2)
        ]
        if rng.random() < 0.25:
            plan[1] = plan[0]
        singles.append(plan)
    return singles


@app.default
def run_matrix(*, seed: int = 1, pairs: int = 60, every: int = 1):
    """Run the matrix, with ``every`` N only each Nth row."""
    plans = make_plans(seed, pairs)[::every]
    broken_rows = 0
    for plan in plans:
        row = run_row(plan, seed)
        broken_rows += bool(row.violations)
        print(row.format(), flush=True)
    print("%d rows, %d broken" % (len(plans), broken_rows))
    sys.exit(1 if broken_rows else 0)


if __name__ == "__main__":
    app()
