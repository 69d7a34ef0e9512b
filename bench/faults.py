"""The faults of the matrix: what goes wrong at a step."""

from bench import carrying
from bench import fakes

Outcome = fakes.Outcome

HEAL_AFTER = 8.0  # seconds


def crash_worker(world, node_id, worker):
    """The worker crashes with all it runs."""
    carrying.crash_worker(world, worker)


def stall_worker(world, node_id, worker):
    """The worker stalls; probes still answer."""
    worker.stall = True


def slow_worker(world, node_id, worker):
    """The worker is ten times slow."""
    worker.slow = 10.0


def flap_worker(world, node_id, worker):
    """The worker is slow and well in turn."""
    for number in range(6):
        factor = 1.0 if number % 2 else 10.0
        world.call_in(1.0 * number, setattr, worker, "slow", factor)


def shed_worker(world, node_id, worker):
    """The worker sheds whatever comes."""
    world.call_in(HEAL_AFTER, setattr, worker, "slots", worker.slots)
    worker.slots = 0


def drain_worker(world, node_id, worker):
    """The worker leaves, and only its refusals say so."""
    worker.draining = True
    worker.draining_since = world.now


def list_leaving(world, node_id, worker):
    """The worker leaves, and only the list says so."""
    world.listed[worker.worker_id] = "leaving"
    worker.draining_since = world.now


def silence_connections(world, node_id, worker):
    """Open connections to the worker go silent for good."""
    worker.silent_to = set(world.hosts)


def cut_to_worker(world, node_id, worker):
    """What the node sends the worker is lost."""
    world.cut(node_id, worker.worker_id)


def cut_from_worker(world, node_id, worker):
    """What the worker answers the node is lost."""
    world.cut(worker.worker_id, node_id)


def cut_out(world, node_id, worker):
    """What the node tells other nodes is lost."""
    for other in list(world.hosts):
        world.cut(node_id, other)


def cut_in(world, node_id, worker):
    """What other nodes tell the node is lost."""
    for other in list(world.hosts):
        world.cut(other, node_id)


def kill_node(world, node_id, worker):
    """The node dies."""
    world.kill(node_id)


def freeze_node(world, node_id, worker):
    """The node stands still and is woken."""
    world.freeze(node_id)
    world.call_in(HEAL_AFTER, world.thaw, node_id)


def stop_node(world, node_id, worker):
    """The node is stopped as planned, twice over."""
    world.stop(node_id)
    world.call_in(0.5, world.stop, node_id)


def drop_log(world, node_id, worker):
    """The log is down."""
    world.log.down = True


def lose_log_answers(world, node_id, worker):
    """The log takes appends and its answers are lost."""
    world.log.lose_answers = True


def pass_retention(world, node_id, worker):
    """The log forgets all but the newest record."""
    world.log.retention = 1


def stale_list(world, node_id, worker):
    """The host list misses half of the workers."""
    for number, worker_id in enumerate(sorted(world.workers)):
        if number % 2:
            listed = world.listed.pop(worker_id, "live")
            world.call_in(
                HEAL_AFTER, world.listed.__setitem__, worker_id, listed
            )


def race_operators(world, node_id, worker):
    """Two operators change the same service at once."""
    for within in (0.3, 0.4):
        world.publish("race-%s" % within, make_items(within, 1))


def crash_request(world, node_id, worker):
    """A caller sends a crashing request again and again."""
    for one in world.workers.values():
        one.crash_on = "poison"
    for number in range(6):
        world.call_in(0.5 * number, send_poison, world, number)


def lose_callers(world, node_id, worker):
    """Every caller of the node goes away."""
    for request_id, told in world.told.items():
        if told.node_id == node_id and told.done_at is None:
            world.feed(node_id, fakes.events.CallerGone, request_id)
            world.tell_caller(told, Outcome.UNKNOWN, 0)


def repeat_orders(world, node_id, worker):
    """Every order in hand is repeated at three nodes at once."""
    for told in [t for t in world.told.values() if t.done_at is None]:
        key = world.keys.get(told.label)
        if key is None:
            continue
        for other in world.list_live()[:3]:
            world.request(other, "prices", told.label, "POST", key=key)


FAULTS = (
    crash_worker,
    stall_worker,
    slow_worker,
    flap_worker,
    shed_worker,
    drain_worker,
    list_leaving,
    silence_connections,
    cut_to_worker,
    cut_from_worker,
    cut_out,
    cut_in,
    kill_node,
    freeze_node,
    stop_node,
    drop_log,
    lose_log_answers,
    pass_retention,
    stale_list,
    race_operators,
    crash_request,
    lose_callers,
    repeat_orders,
)


def make_items(within, base):
    """Return a change of the service's target."""
    return {"prices": (base, make_body(within))}


def make_body(within):
    """Return the service's configuration."""
    return {
        "floor": 0.5,
        "classes": {
            "price-checks": {"target": "quick", "within": within},
            "orders": {"target": "once"},
            "downloads": {"target": "finish"},
        },
    }


def send_poison(world, number):
    """Send the crashing request once."""
    live = world.list_live()
    world.request(live[number % len(live)], "prices", "poison")
