"""The fault matrix: every fault at every step, in virtual time.

Two tables, STEPS and FAULTS, make the rows. The decision code is real;
invariants are judged from what the fakes saw. Pairs of faults are drawn
by the seed.
"""

import random
import sys

import cyclopts

from acaciafield import ejections
from acaciafield import workers
from bench import fakes
from bench import faults

NODES = 6
SETTLE = 7.0  # seconds before the traffic
TRAFFIC = 16.0  # seconds of traffic
QUIET = 30.0  # seconds after it, the faults healed
PERIOD = 0.12  # seconds between background requests
Outcome = fakes.Outcome
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


class Row:
    """One row: faults, each at a step; ``broken`` lists findings."""

    __slots__ = ("plan", "seed", "broken", "fired", "counts")

    def __init__(self, plan, seed):
        self.plan = plan
        self.seed = seed
        self.broken = []
        self.fired = 0
        self.counts = {}

    @property
    def name(self):
        """The steps and faults, as words."""
        return " + ".join(
            "%s: %s" % (step, fault.__name__.replace("_", " "))
            for step, fault in self.plan
        )

    def format(self):
        """Return the row's line."""
        verdict = "holds" if not self.broken else "BROKEN"
        counts = " ".join(
            "%s %d" % (o.value if o else "no answer", n)
            for o, n in self.counts.items()
        )
        text = "%-52s %-34s %s" % (self.name, counts, verdict)
        if not self.fired:
            text += " (step not reached)"
        return "\n      ".join([text, *self.broken])


def make_world(seed):
    """Return a settled world."""
    world = fakes.World(seed)
    world.keys = {}
    world.download_time = 1.5
    world.add_workers("prices", 6, 3, 0.08)
    world.publish("first", {"prices": (0, faults.make_body(0.5))})
    for number in range(NODES):
        world.add_node("n%d" % number, "abc"[number % 3])
    world.run_for(SETTLE)
    return world


def send_work(world, number):
    """Send one background request."""
    live = world.list_live()
    entry = live[number % len(live)]
    world.note_step("ask", entry)
    if not world.hosts[entry].alive:
        return
    answer = world.ask_addresses(entry, "prices")
    if answer is None:
        return
    names = [a.partition(":")[0] for a in answer.addresses]
    entry = names[number % len(names)]
    kind = number % 4
    if kind == 0:
        world.request(entry, "prices", "check-%d" % number)
    elif kind == 1:
        send_order(world, entry, number, answer.key_prefix + ".")
    elif kind == 2:
        send_order(world, entry, number, "opaque-")
    elif number % 8 == 3:
        label = "file-%d" % number
        world.request(entry, "prices", label, class_name="downloads")


def send_order(world, entry, number, prefix):
    """Send an order, and repeat it elsewhere a little later."""
    label = "order-%d" % number
    world.keys[label] = key = "%s%d" % (prefix, number)
    world.request(entry, "prices", label, "POST", key=key)
    world.call_in(1.0, repeat_order, world, label, key, number)


def repeat_order(world, label, key, number):
    """Repeat an order at another node."""
    live = world.list_live()
    entry = live[(number + 1) % len(live)]
    world.request(entry, "prices", label, "POST", key=key)


def publish_change(world):
    """Publish one change in the middle of the traffic."""
    live = world.list_live()[0]
    world.note_step("read-base", live)
    base = world.hosts[live].node.state.config.offset
    world.note_step("append", live)
    if not world.log.down:
        world.publish("middle", faults.make_items(0.6, base))


def run_row(plan, seed):
    """Run one row; return it with its findings."""
    row = Row(plan, seed)
    world = make_world(seed)
    rng = random.Random(seed)
    left = list(plan)

    def watch(step, node_id, worker):
        for one in list(left):
            if one[0] == step:
                left.remove(one)
                row.fired += 1
                chosen = worker or rng.choice(list(world.workers.values()))
                one[1](world, node_id, chosen)
                world.call_in(faults.HEAL_AFTER, heal, world)

    world.on_step = watch
    for number in range(int(TRAFFIC / PERIOD)):
        world.call_in(number * PERIOD, send_work, world, number)
    world.call_in(4.0, publish_change, world)
    world.call_in(6.0, stop_one, world)
    offsets = {}
    for _ in range(int((TRAFFIC + QUIET) / 0.25)):
        world.run_for(0.25)
        check_always(world, row, offsets)
    check_end(world, row)
    return row


def stop_one(world):
    """Stop a node as planned and start another."""
    serving = [
        n
        for n in world.list_live()
        if world.hosts[n].node.stopping.value == "serving"
        and not world.hosts[n].frozen
    ]
    node_id = serving[-1]
    world.note_step("leave", node_id)
    world.add_node("late")
    if world.hosts[node_id].alive:
        world.stop(node_id)


def heal(world):
    """Heal what heals by itself."""
    world.cuts.clear()
    world.log.down = False
    world.log.lose_answers = False
    for worker in world.workers.values():
        worker.stall = False
        worker.slow = 1.0


def check_always(world, row, offsets):
    """Check what must hold at every moment."""
    for node_id, host in world.hosts.items():
        offset = host.node.state.config.offset
        if offset < offsets.get(node_id, 0):
            add(row, "%s went back in the configuration" % node_id)
        offsets[node_id] = offset
        keeping = host.node.state.services.get("prices")
        if keeping is not None and host.alive:
            check_floor(row, node_id, keeping)


def check_floor(row, node_id, keeping):
    """Check that ejections left the floor in use."""
    out, total = 0, 0
    for worker in keeping.workers.values():
        if worker.status is Status.LEAVING:
            continue
        total += worker.slots
        if worker.status in (Status.SUSPECT, Status.EJECTED):
            out += worker.slots
    if out and total - out < ejections.count_floor(keeping):
        add(row, "%s went below the floor" % node_id)


def check_end(world, row):
    """Check what must hold when all is over."""
    runs = world.count_runs()
    told = list(world.told.values())
    for one in told:
        row.counts[one.outcome] = row.counts.get(one.outcome, 0) + 1
    for label, count in runs.items():
        if label.startswith("order") and count > 1:
            add(row, "%s ran %d times" % (label, count))
    for label in {t.label for t in told if "order" in t.label}:
        outcomes = [t.outcome for t in told if t.label == label]
        if runs[label] and set(outcomes) == {Outcome.NOT_RUN}:
            add(row, "%s was told not run but ran" % label)
        if Outcome.RAN in outcomes and not runs[label]:
            add(row, "%s was told ran but did not" % label)
    for one in told:
        host = world.hosts[one.node_id]
        if one.done_at is None and host.alive:
            add(row, "%s was never answered" % one.label)
        if one.cut and host.node.stopping.value == "gone":
            add(row, "%s was cut by a planned stop" % one.label)
        if one.status == 422 and one.label != "poison":
            add(row, "%s was refused as crashing" % one.label)
        if "file" in one.label and one.outcome is Outcome.RAN:
            if one.offset != 100:
                add(row, "%s was not whole" % one.label)
    if runs["poison"] > 2:
        add(row, "poison ran %d times" % runs["poison"])
    check_leaving(world, row)
    check_recovery(world, row)


def check_leaving(world, row):
    """Check that leaving workers got no work after 3 s."""
    for worker in world.workers.values():
        since = worker.draining_since
        if since is None:
            continue
        late = sum(at > since + 3.0 for at, _, _ in worker.ledger)
        if late:
            add(row, "%s got work while leaving" % worker.worker_id)


def check_recovery(world, row):
    """Check that the fleet agrees and serves again."""
    live = [n for n in world.list_live() if not world.hosts[n].frozen]
    digests = {world.hosts[n].node.state.config.read_digest() for n in live}
    if len(digests) != 1:
        add(row, "the nodes disagree on the configuration")
    last = [
        world.request(n, "prices", "last-%s" % n, timeout=9.0) for n in live
    ]
    world.run_for(10.0)
    for one in last:
        if one.outcome is not Outcome.RAN:
            add(row, "%s does not serve at the end" % one.node_id)


def add(row, text):
    """Add a finding to a row, once."""
    if text not in row.broken:
        row.broken.append(text)


def make_plans(seed, pairs):
    """Return all single rows, then some pairs drawn by the seed."""
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
    """Run the matrix; ``every`` N takes each Nth row only."""
    plans = make_plans(seed, pairs)[::every]
    broken = 0
    for plan in plans:
        row = run_row(plan, seed)
        broken += bool(row.broken)
        print(row.format(), flush=True)
    print("%d rows, %d broken" % (len(plans), broken))
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    app()
