"""Builders of test data, shared by the tests."""

from acaciafield import configuration
from bench import fakes

QUICK = {"target": "quick", "within": 0.5}
ONCE = {"target": "once"}
FINISH = {"target": "finish"}


def make_body(floor=0.6, caution="quick-detection"):
    """Return a service's configuration with all three targets."""
    return {
        "floor": floor,
        "caution": caution,
        "classes": {
            "price-checks": QUICK,
            "orders": ONCE,
            "downloads": FINISH,
        },
    }


def make_world(
    nodes=5, workers=6, slots=6, mean=0.08, seed=1, body=None, settle=8.0
):
    """Return a settled World with one service named prices."""
    world = fakes.World(seed)
    world.add_workers("prices", workers, slots, mean)
    world.publish("first", {"prices": (0, body or make_body())})
    for number in range(nodes):
        world.add_node("n%d" % (number + 1), "abc"[number % 3])
    world.run_for(settle)
    return world


def make_key(world, node_id, suffix="1", service="prices"):
    """Return a fresh key and its answer from a node."""
    answer = world.ask_addresses(node_id, service)
    return "%s.%s" % (answer.key_prefix, suffix)


def name_deciders(key):
    """Return the home and the replica that a key names."""
    _, home, replica, _ = key.partition(".")[0].split("-")
    return home, replica


def encode_change(change_id, items):
    """Return a change as log bytes."""
    return configuration.encode_record(
        configuration.make_change(change_id, items)
    )


def send_orders(world, count, period, nodes=None, repeats=0):
    """Plan keyed orders at a steady pace; repeats go to other nodes."""
    told = []

    def send(number):
        live = [n for n in (nodes or world.list_live())]
        live = [n for n in live if world.hosts[n].alive]
        entry = live[number % len(live)]
        answer = world.ask_addresses(entry, "prices")
        if answer is None:
            return
        label = "order-%d" % number
        key = "%s.%d" % (answer.key_prefix, number)
        for repeat in range(1 + repeats):
            target = live[(number + repeat) % len(live)]
            told.append(
                world.request(target, "prices", label, "POST", key=key)
            )

    for number in range(count):
        world.call_in(number * period, send, number)
    return told


def check_orders(world, told):
    """Check the ledgers against what callers were told."""
    runs = world.count_runs()
    doubled = {k: n for k, n in runs.items() if "order" in k and n > 1}
    assert not doubled, doubled
    lied = [
        t.label
        for t in told
        if t.outcome is fakes.Outcome.NOT_RUN
        and runs[t.label]
        and not any(
            o.label == t.label and o.outcome is not fakes.Outcome.NOT_RUN
            for o in told
        )
    ]
    assert not lied, lied
    silent = [t.label for t in told if t.done_at is None]
    assert not silent, silent
