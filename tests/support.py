"""Builders and checks shared by the tests."""

from acaciafield import configuration
from bench import simulation

QUICK = {"target": "quick", "within": 0.5}
ONCE = {"target": "once"}
FINISH = {"target": "finish"}


def make_service_config(floor=0.6, caution="quick-detection"):
    """Return a service configuration with all three targets."""
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
    nodes=5,
    workers=6,
    slots=6,
    mean_run_time=0.08,
    seed=1,
    body=None,
    settle_s=8.0,
):
    """Return a settled World with one service, prices.

    ``mean_run_time`` is the mean run time of a request in seconds;
    ``settle_s`` is the time for which the nodes run first.
    """
    world = simulation.World(seed)
    world.add_workers("prices", workers, slots, mean_run_time)
    world.append_change(
        "first", {"prices": (0, body or make_service_config())}
    )
    for number in range(nodes):
        world.add_node("n%d" % (number + 1), "abc"[number % 3])
    world.run_for(settle_s)
    return world


def make_key(world, node_id, suffix="1", service="prices"):
    """Return an unused issued key from the address answer of a node."""
    answer = world.request_addresses(node_id, service)
    return "%s.%s" % (answer.key_prefix, suffix)


def name_deciders(key):
    """Return the home and the replica that a key names."""
    _, home, replica, _ = key.partition(".")[0].split("-")
    return home, replica


def encode_change(change_id, items):
    """Return a configuration change as bytes of a log record."""
    return configuration.encode_record(
        configuration.make_change(change_id, items)
    )


def send_orders(world, count, period, nodes=None, repeats=0):
    """Schedule keyed orders at a fixed period; return the results.

    Each order is repeated ``repeats`` times at other nodes.
    """
    calls = []

    def send_order(number):
        live = [n for n in (nodes or world.list_running_nodes())]
        live = [n for n in live if world.simulated_nodes[n].is_alive]
        entry = live[number % len(live)]
        answer = world.request_addresses(entry, "prices")
        if answer is None:
            return
        label = "order-%d" % number
        key = "%s.%d" % (answer.key_prefix, number)
        for repeat in range(1 + repeats):
            target = live[(number + repeat) % len(live)]
            calls.append(
                world.send_request(target, "prices", label, "POST", key=key)
            )

    for number in range(count):
        world.call_in(number * period, send_order, number)
    return calls


def check_orders(world, calls):
    """Check the outcomes reported to callers against the ledgers.

    No order runs twice, no caller gets a false not-run outcome, and each
    caller gets an answer.
    """
    runs = world.count_runs()
    repeated_runs = {k: n for k, n in runs.items() if "order" in k and n > 1}
    assert not repeated_runs, repeated_runs
    false_not_run = [
        call.label
        for call in calls
        if call.outcome is simulation.Outcome.NOT_RUN
        and runs[call.label]
        and not any(
            other.label == call.label
            and other.outcome is not simulation.Outcome.NOT_RUN
            for other in calls
        )
    ]
    assert not false_not_run, false_not_run
    unanswered = [call.label for call in calls if call.ended_at is None]
    assert not unanswered, unanswered
