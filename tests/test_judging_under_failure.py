"""Faulty workers are ejected quickly, healthy ones are not; floors hold."""

import pytest

from acaciafield import ejections
from acaciafield import workers
from bench import simulation
from tests import support

Outcome = simulation.Outcome
Status = workers.Status


def send_price_checks(world, rate, seconds, nodes=None):
    """Plan price checks at a steady rate; return the list of answers."""
    answers = []

    def send(number):
        live_nodes = nodes or world.list_running_nodes()
        entry = live_nodes[number % len(live_nodes)]
        label = "check-%d" % number
        answers.append(world.send_request(entry, "prices", label))

    for number in range(int(rate * seconds)):
        world.call_in(number / rate, send, number)
    return answers


def find_service_state(world):
    """Return the service state of the keeper with the most requests."""
    candidates = [
        h.node.state.services["prices"]
        for h in world.simulated_nodes.values()
        if "prices" in h.node.state.services
    ]
    return max(candidates, key=lambda state: state.baseline.sample_count)


def plan_fault(world, seconds, worker_id, **faults):
    """Plan a fault of a worker after some seconds."""

    def change():
        for name, value in faults.items():
            setattr(world.workers[worker_id], name, value)

    world.call_in(seconds, change)


def is_out_of_use(world, worker_id):
    """Return whether the keeper took a worker out of use."""
    worker = find_service_state(world).workers[worker_id]
    return worker.status in (Status.EJECTED, Status.SUSPECT)


@pytest.mark.parametrize(
    "faults",
    [
        {"is_stalled": True},
        {"slowdown": 10.0},
        {"slowdown": 3.0},
        {"error_share": 0.5},
    ],
    ids=str,
)
def test_one_faulty_worker_is_ejected(faults):
    world = support.make_world(nodes=8)
    send_price_checks(world, 220, 30.0)
    plan_fault(world, 10.0, "prices-2", **faults)
    world.run_for(10.0)
    assert find_service_state(world).ejected == 0
    assert world.run_until(lambda: is_out_of_use(world, "prices-2"), 5.0)
    world.run_for(10.0)
    others = [w for w in world.workers if w != "prices-2"]
    assert not any(is_out_of_use(world, w) for w in others)


def test_stall_is_detected_in_time():
    times = []
    for seed in range(20):
        world = support.make_world(nodes=8, seed=seed)
        send_price_checks(world, 220, 15.0)
        plan_fault(world, 10.0, "prices-2", is_stalled=True)
        world.run_for(10.0)
        started = world.now
        assert world.run_until(lambda: is_out_of_use(world, "prices-2"), 5.0)
        times.append(world.now - started)
    times.sort()
    assert times[len(times) // 2] <= 1.0, times
    assert times[-1] <= 3.0, times


@pytest.mark.parametrize("seed", range(4))
def test_slow_service_loses_no_worker(seed):
    world = support.make_world(nodes=8, seed=seed)
    answers = send_price_checks(world, 100, 40.0)
    for worker_id in world.workers:
        plan_fault(world, 10.0, worker_id, slowdown=3.0)
    world.run_for(60.0)
    assert find_service_state(world).ejected == 0
    assert all(answer.outcome is Outcome.RAN for answer in answers)


@pytest.mark.parametrize("seed", range(4))
def test_stalled_service_loses_no_worker(seed):
    world = support.make_world(nodes=8, seed=seed)
    send_price_checks(world, 100, 20.0)
    for worker_id in world.workers:
        plan_fault(world, 10.0, worker_id, is_stalled=True)
    world.run_for(20.0)
    assert find_service_state(world).ejected == 0


@pytest.mark.parametrize("seed", range(4))
def test_slow_zone_loses_no_worker(seed):
    world = support.make_world(nodes=8, seed=seed)
    send_price_checks(world, 100, 40.0)
    for worker_id, worker in world.workers.items():
        if worker.zone == "b":
            plan_fault(world, 10.0, worker_id, slowdown=3.0)
    world.run_for(60.0)
    assert find_service_state(world).ejected == 0


@pytest.mark.parametrize("seed", range(4))
def test_unresponsive_connections_eject_no_worker(seed):
    world = support.make_world(nodes=8, seed=seed)
    answers = send_price_checks(world, 150, 40.0)

    def make_unresponsive():
        keeper = [
            n
            for n, h in world.simulated_nodes.items()
            if "prices" in h.node.state.services
        ]
        world.workers["prices-2"].unresponsive_to = set(keeper)

    world.call_in(10.0, make_unresponsive)
    world.run_for(60.0)
    assert find_service_state(world).ejected == 0
    assert not world.workers["prices-2"].unresponsive_to
    late = [answer for answer in answers if answer.sent_at > world.now - 30.0]
    assert all(answer.outcome is Outcome.RAN for answer in late)


@pytest.mark.parametrize("seed", range(4))
def test_bad_path_of_one_node_ejects_no_worker(seed):
    world = support.make_world(nodes=8, seed=seed)
    keeper = world.request_addresses(world.list_running_nodes()[0], "prices")
    keeper = keeper.addresses[0].partition(":")[0]
    other = [n for n in world.list_running_nodes() if n != keeper][0]
    send_price_checks(world, 150, 30.0, nodes=[keeper, other])
    world.call_in(10.0, world.cut_link, "prices-2", other)
    world.run_for(40.0)
    service_state = world.simulated_nodes[keeper].node.state.services["prices"]
    assert service_state.ejected == 0
    assert service_state.workers["prices-2"].status is Status.HEALTHY


def check_floor(world):
    """Check that no keeper's ejections went below the floor."""
    for simulated_node in world.simulated_nodes.values():
        service_state = simulated_node.node.state.services.get("prices")
        if service_state is None or not service_state.workers:
            continue
        if any(
            w.status is Status.COLD for w in service_state.workers.values()
        ):
            continue
        slots_out = sum(
            w.slots
            for w in service_state.workers.values()
            if w.status in (Status.EJECTED, Status.SUSPECT, Status.PROBATION)
        )
        total = sum(
            w.slots
            for w in service_state.workers.values()
            if w.status is not Status.LEAVING
        )
        if slots_out:
            assert total - slots_out >= ejections.count_floor_slots(
                service_state
            )


@pytest.mark.parametrize("seed", range(4))
def test_floor_holds_however_many_workers_fail(seed):
    world = support.make_world(nodes=8, seed=seed)
    send_price_checks(world, 120, 60.0)
    for number in range(5):
        plan_fault(
            world,
            10.0 + 3.0 * number,
            "prices-%d" % (number + 1),
            slowdown=10.0,
            error_share=0.3,
        )
    for _ in range(600):
        world.run_for(0.1)
        check_floor(world)
    assert find_service_state(world).ejected >= 1


@pytest.mark.parametrize("seed", range(3))
def test_floor_holds_on_both_sides_of_a_partition(seed):
    world = support.make_world(nodes=8, seed=seed)
    send_price_checks(world, 160, 40.0)
    left, right = (
        world.list_running_nodes()[:4],
        world.list_running_nodes()[4:],
    )

    def cut_both_ways():
        for left_node in left:
            for right_node in right:
                world.cut_link(left_node, right_node)
                world.cut_link(right_node, left_node)

    world.call_in(8.0, cut_both_ways)
    for number in range(4):
        plan_fault(
            world, 15.0 + number, "prices-%d" % (number + 1), slowdown=10.0
        )
    for _ in range(400):
        world.run_for(0.1)
        check_floor(world)


def test_flapping_worker_is_ejected_longer_each_time():
    world = support.make_world(nodes=8)
    send_price_checks(world, 150, 120.0)
    for number in range(10):
        plan_fault(world, 10.0 + 10.0 * number, "prices-2", slowdown=10.0)
        plan_fault(world, 15.0 + 10.0 * number, "prices-2", slowdown=1.0)
    world.run_for(120.0)
    service_state = find_service_state(world)
    worker = service_state.workers["prices-2"]
    assert 2 <= worker.ejections <= 6
    assert service_state.ejected == worker.ejections


def test_recovered_worker_comes_back():
    world = support.make_world(nodes=8)
    send_price_checks(world, 150, 60.0)
    plan_fault(world, 10.0, "prices-2", slowdown=10.0)
    plan_fault(world, 14.0, "prices-2", slowdown=1.0)
    world.run_for(50.0)
    worker = find_service_state(world).workers["prices-2"]
    assert worker.ejections == 1
    assert worker.status is Status.HEALTHY


@pytest.mark.parametrize("seed", range(3))
def test_stalled_worker_that_sheds_delays_few_requests(seed):
    world = support.make_world(nodes=8, seed=seed)
    answers = send_price_checks(world, 60, 40.0)
    world.workers["prices-2"].stops_cancelled_work = False
    plan_fault(world, 10.0, "prices-2", is_stalled=True)
    world.run_for(60.0)
    assert all(answer.outcome is Outcome.RAN for answer in answers)
    slow = [answer for answer in answers if answer.latency > 1.0]
    assert len(slow) <= len(answers) // 100
