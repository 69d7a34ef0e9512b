"""The faults that the matrix injects at a step."""

from bench import effect_execution
from bench import simulation

Outcome = simulation.Outcome

HEAL_AFTER_S = 8.0


def crash_worker(world, node_id, worker):
    """Crash the worker with all its in-flight requests."""
    effect_execution.crash_worker(world, worker)


def stall_worker(world, node_id, worker):
    """Stall the worker while it still answers probes."""
    worker.is_stalled = True


def slow_worker(world, node_id, worker):
    """Slow the worker by a factor of ten."""
    worker.slowdown = 10.0


def flap_worker(world, node_id, worker):
    """Alternate the worker between slow and normal, every second."""
    for number in range(6):
        factor = 1.0 if number % 2 else 10.0
        world.call_in(1.0 * number, setattr, worker, "slowdown", factor)


def shed_worker(world, node_id, worker):
    """Let the worker shed every request for some time."""
    world.call_in(HEAL_AFTER_S, setattr, worker, "slots", worker.slots)
    worker.slots = 0


def drain_worker(world, node_id, worker):
    """Drain the worker, which shows only in its refusals."""
    worker.is_draining = True
    worker.draining_since = world.now


def list_leaving(world, node_id, worker):
    """Drain the worker, which shows only in the host list."""
    world.listed_workers[worker.worker_id] = "leaving"
    worker.draining_since = world.now


def silence_connections(world, node_id, worker):
    """Make all open connections to the worker unresponsive."""
    worker.unresponsive_to = set(world.simulated_nodes)


def cut_to_worker(world, node_id, worker):
    """Lose the messages from the node to the worker."""
    world.cut_link(node_id, worker.worker_id)


def cut_from_worker(world, node_id, worker):
    """Lose the answers from the worker to the node."""
    world.cut_link(worker.worker_id, node_id)


def cut_out(world, node_id, worker):
    """Lose the messages from the node to all other nodes."""
    for other in list(world.simulated_nodes):
        world.cut_link(node_id, other)


def cut_in(world, node_id, worker):
    """Lose the messages from all other nodes to the node."""
    for other in list(world.simulated_nodes):
        world.cut_link(other, node_id)


def kill_node(world, node_id, worker):
    """Kill the node."""
    world.kill_node(node_id)


def freeze_node(world, node_id, worker):
    """Pause the node and resume it later."""
    world.freeze_node(node_id)
    world.call_in(HEAL_AFTER_S, world.resume_node, node_id)


def stop_node(world, node_id, worker):
    """Request a planned stop of the node twice."""
    world.stop_node(node_id)
    world.call_in(0.5, world.stop_node, node_id)


def drop_log(world, node_id, worker):
    """Make the log unavailable."""
    world.log.is_down = True


def lose_log_answers(world, node_id, worker):
    """Lose the log's answers to appends that it has stored."""
    world.log.loses_answers = True


def pass_retention(world, node_id, worker):
    """Truncate the log to its newest record."""
    world.log.max_records = 1


def stale_list(world, node_id, worker):
    """Remove half of the workers from the host list for some time."""
    for number, worker_id in enumerate(sorted(world.workers)):
        if number % 2:
            listed = world.listed_workers.pop(worker_id, "live")
            world.call_in(
                HEAL_AFTER_S,
                world.listed_workers.__setitem__,
                worker_id,
                listed,
            )


def race_operators(world, node_id, worker):
    """Publish two conflicting changes of a service at once."""
    for within in (0.3, 0.4):
        world.append_change("race-%s" % within, make_items(within, 1))


def crash_request(world, node_id, worker):
    """Send a request that crashes workers six times."""
    for fleet_worker in world.workers.values():
        fleet_worker.crash_fingerprint = "poison"
    for number in range(6):
        world.call_in(0.5 * number, send_crashing_request, world, number)


def lose_callers(world, node_id, worker):
    """Disconnect every caller of the node."""
    for request_id, result in world.results.items():
        if result.node_id == node_id and result.ended_at is None:
            world.deliver_event(
                node_id, simulation.events.CallerDisconnected, request_id
            )
            world.record_result(result, Outcome.UNKNOWN, 0)


def repeat_orders(world, node_id, worker):
    """Repeat every in-flight order at three nodes at once."""
    for result in [t for t in world.results.values() if t.ended_at is None]:
        key = world.keys.get(result.label)
        if key is None:
            continue
        for other in world.list_running_nodes()[:3]:
            world.send_request(other, "prices", result.label, "POST", key=key)


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
    """Return a change of the target of the price checks."""
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


def send_crashing_request(world, number):
    """Send the request that crashes workers once."""
    live = world.list_running_nodes()
    world.send_request(live[number % len(live)], "prices", "poison")
