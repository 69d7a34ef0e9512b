"""Sick workers leave use quickly, healthy ones do not, floors hold."""

import pytest

from acaciafield import ejections
from acaciafield import workers
from bench import fakes
from tests import support

Outcome = fakes.Outcome
Status = workers.Status


def send_checks(world, rate, seconds, nodes=None):
    """Plan price checks at a steady rate; return the Tolds."""
    told = []

    def send(number):
        live = nodes or world.list_live()
        entry = live[number % len(live)]
        label = "check-%d" % number
        told.append(world.request(entry, "prices", label))

    for number in range(int(rate * seconds)):
        world.call_in(number / rate, send, number)
    return told


def find_keeping(world):
    """Return the keeper's state of the service."""
    kept = [
        h.node.state.services["prices"]
        for h in world.hosts.values()
        if "prices" in h.node.state.services
    ]
    return max(kept, key=lambda k: k.baseline.count)


def make_fault(world, seconds, worker_id, **faults):
    """Plan a fault of a worker."""

    def change():
        for name, value in faults.items():
            setattr(world.workers[worker_id], name, value)

    world.call_in(seconds, change)


def is_out(world, worker_id):
    """Tell whether the keeper took a worker out of use."""
    worker = find_keeping(world).workers[worker_id]
    return worker.status in (Status.EJECTED, Status.SUSPECT)


@pytest.mark.parametrize(
    "faults",
    [{"stall": True}, {"slow": 10.0}, {"slow": 3.0}, {"errors": 0.5}],
    ids=str,
)
def test_one_sick_worker_leaves_use(faults):
    world = support.make_world(nodes=8)
    send_checks(world, 220, 30.0)
    make_fault(world, 10.0, "prices-2", **faults)
    world.run_for(10.0)
    assert find_keeping(world).ejected == 0
    assert world.run_until(lambda: is_out(world, "prices-2"), 5.0)
    world.run_for(10.0)
    others = [w for w in world.workers if w != "prices-2"]
    assert not any(is_out(world, w) for w in others)


def test_stall_is_seen_on_time():
    times = []
    for seed in range(20):
        world = support.make_world(nodes=8, seed=seed)
        send_checks(world, 220, 15.0)
        make_fault(world, 10.0, "prices-2", stall=True)
        world.run_for(10.0)
        started = world.now
        assert world.run_until(lambda: is_out(world, "prices-2"), 5.0)
        times.append(world.now - started)
    times.sort()
    assert times[len(times) // 2] <= 1.0, times
    assert times[-1] <= 3.0, times


@pytest.mark.parametrize("seed", range(4))
def test_slow_service_loses_no_worker(seed):
    world = support.make_world(nodes=8, seed=seed)
    told = send_checks(world, 100, 40.0)
    for worker_id in world.workers:
        make_fault(world, 10.0, worker_id, slow=3.0)
    world.run_for(60.0)
    assert find_keeping(world).ejected == 0
    assert all(t.outcome is Outcome.RAN for t in told)


@pytest.mark.parametrize("seed", range(4))
def test_stalled_service_loses_no_worker(seed):
    world = support.make_world(nodes=8, seed=seed)
    send_checks(world, 100, 20.0)
    for worker_id in world.workers:
        make_fault(world, 10.0, worker_id, stall=True)
    world.run_for(20.0)
    assert find_keeping(world).ejected == 0


@pytest.mark.parametrize("seed", range(4))
def test_slow_zone_loses_no_worker(seed):
    world = support.make_world(nodes=8, seed=seed)
    send_checks(world, 100, 40.0)
    for worker_id, worker in world.workers.items():
        if worker.zone == "b":
            make_fault(world, 10.0, worker_id, slow=3.0)
    world.run_for(60.0)
    assert find_keeping(world).ejected == 0


@pytest.mark.parametrize("seed", range(4))
def test_silent_connections_blame_nobody(seed):
    world = support.make_world(nodes=8, seed=seed)
    told = send_checks(world, 150, 40.0)

    def silence():
        keeper = [
            n
            for n, h in world.hosts.items()
            if "prices" in h.node.state.services
        ]
        world.workers["prices-2"].silent_to = set(keeper)

    world.call_in(10.0, silence)
    world.run_for(60.0)
    assert find_keeping(world).ejected == 0
    assert not world.workers["prices-2"].silent_to
    late = [t for t in told if t.at > world.now - 30.0]
    assert all(t.outcome is Outcome.RAN for t in late)


@pytest.mark.parametrize("seed", range(4))
def test_bad_path_of_one_node_blames_nobody(seed):
    world = support.make_world(nodes=8, seed=seed)
    keeper = world.ask_addresses(world.list_live()[0], "prices")
    keeper = keeper.addresses[0].partition(":")[0]
    other = [n for n in world.list_live() if n != keeper][0]
    send_checks(world, 150, 30.0, nodes=[keeper, other])
    world.call_in(10.0, world.cut, "prices-2", other)
    world.run_for(40.0)
    keeping = world.hosts[keeper].node.state.services["prices"]
    assert keeping.ejected == 0
    assert keeping.workers["prices-2"].status is Status.HEALTHY


def check_floor(world):
    """Check that no keeper's ejections went below the floor."""
    for host in world.hosts.values():
        keeping = host.node.state.services.get("prices")
        if keeping is None or not keeping.workers:
            continue
        if any(w.status is Status.COLD for w in keeping.workers.values()):
            continue
        out = sum(
            w.slots
            for w in keeping.workers.values()
            if w.status in (Status.EJECTED, Status.SUSPECT, Status.PROBATION)
        )
        total = sum(
            w.slots
            for w in keeping.workers.values()
            if w.status is not Status.LEAVING
        )
        if out:
            assert total - out >= ejections.count_floor(keeping)


@pytest.mark.parametrize("seed", range(4))
def test_floor_holds_however_many_fall_sick(seed):
    world = support.make_world(nodes=8, seed=seed)
    send_checks(world, 120, 60.0)
    for number in range(5):
        make_fault(
            world,
            10.0 + 3.0 * number,
            "prices-%d" % (number + 1),
            slow=10.0,
            errors=0.3,
        )
    for _ in range(600):
        world.run_for(0.1)
        check_floor(world)
    assert find_keeping(world).ejected >= 1


@pytest.mark.parametrize("seed", range(3))
def test_floor_holds_on_both_sides_of_a_partition(seed):
    world = support.make_world(nodes=8, seed=seed)
    send_checks(world, 160, 40.0)
    left, right = world.list_live()[:4], world.list_live()[4:]

    def part():
        for one in left:
            for other in right:
                world.cut(one, other)
                world.cut(other, one)

    world.call_in(8.0, part)
    for number in range(4):
        make_fault(world, 15.0 + number, "prices-%d" % (number + 1), slow=10.0)
    for _ in range(400):
        world.run_for(0.1)
        check_floor(world)


def test_flapping_worker_rests_longer_each_time():
    world = support.make_world(nodes=8)
    send_checks(world, 150, 120.0)
    for number in range(10):
        make_fault(world, 10.0 + 10.0 * number, "prices-2", slow=10.0)
        make_fault(world, 15.0 + 10.0 * number, "prices-2", slow=1.0)
    world.run_for(120.0)
    keeping = find_keeping(world)
    worker = keeping.workers["prices-2"]
    assert 2 <= worker.ejections <= 6
    assert keeping.ejected == worker.ejections


def test_recovered_worker_comes_back():
    world = support.make_world(nodes=8)
    send_checks(world, 150, 60.0)
    make_fault(world, 10.0, "prices-2", slow=10.0)
    make_fault(world, 14.0, "prices-2", slow=1.0)
    world.run_for(50.0)
    worker = find_keeping(world).workers["prices-2"]
    assert worker.ejections == 1
    assert worker.status is Status.HEALTHY


@pytest.mark.parametrize("seed", range(3))
def test_stalled_worker_that_goes_on_shedding_costs_nobody(seed):
    world = support.make_world(nodes=8, seed=seed)
    told = send_checks(world, 60, 40.0)
    world.workers["prices-2"].cancels = False
    make_fault(world, 10.0, "prices-2", stall=True)
    world.run_for(60.0)
    assert all(t.outcome is Outcome.RAN for t in told)
    slow = [t for t in told if t.latency > 1.0]
    assert len(slow) <= len(told) // 100
