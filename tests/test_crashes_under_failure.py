"""A request that crashes workers is quarantined across nodes."""

import pytest

from bench import carrying
from bench import fakes
from tests import support
from tests import test_judging_under_failure as judging

Outcome = fakes.Outcome


def send_poison(world, count, period, method="GET"):
    """Plan a crashing request that its caller sends again and again."""
    told = []

    def send(number):
        live = world.list_live()
        told.append(
            world.request(live[number % len(live)], "prices", "poison", method)
        )

    for number in range(count):
        world.call_in(1.0 + number * period, send, number)
    return told


def count_crashes(world):
    """Count how often the crashing request ran."""
    return world.count_runs()["poison"]


@pytest.mark.parametrize("method", ["GET", "POST"])
@pytest.mark.parametrize("seed", range(5))
def test_poison_is_quarantined_before_the_floor(method, seed):
    world = support.make_world(nodes=8, workers=6, seed=seed)
    for worker in world.workers.values():
        worker.crash_on = "poison"
    innocent = judging.send_checks(world, 60, 60.0)
    poison = send_poison(world, 30, 1.5, method)
    world.run_for(80.0)
    assert count_crashes(world) <= 2
    assert poison[-1].status == 422
    assert poison[-1].outcome is Outcome.NOT_RUN
    refused = [t for t in innocent if t.status == 422]
    assert not refused
    ran = [t for t in innocent if t.outcome is Outcome.RAN]
    assert len(ran) == len(innocent)


def test_quarantine_survives_its_keeper():
    world = support.make_world(nodes=8)
    for worker in world.workers.values():
        worker.crash_on = "poison"
    send_poison(world, 6, 1.5)
    world.run_for(12.0)
    keeper = world.ask_addresses(world.list_live()[0], "prices")
    world.kill(keeper.addresses[0].partition(":")[0])
    world.run_for(12.0)
    before = count_crashes(world)
    send_poison(world, 6, 1.5)
    world.run_for(20.0)
    assert count_crashes(world) == before <= 2


def test_worker_crash_convicts_no_innocent_request():
    world = support.make_world(nodes=8)
    told = judging.send_checks(world, 150, 30.0)
    for number in range(4):
        worker = world.workers["prices-%d" % (number + 1)]
        world.call_in(5.0 + 4.0 * number, carrying.crash_worker, world, worker)
    world.run_for(45.0)
    assert not [t for t in told if t.status == 422]
    assert all(t.outcome is Outcome.RAN for t in told)


@pytest.mark.parametrize("seed", range(5))
def test_worker_that_resets_while_it_restarts_convicts_nobody(seed):
    world = support.make_world(nodes=8, workers=4, mean=0.04, seed=seed)
    for worker in world.workers.values():
        worker.crash_on = "poison"
        worker.resets = True
        worker.crash_time = 2.0
    told = []

    def send(number):
        live = world.list_live()
        entry = live[number % len(live)]
        args = ("prices", "check", "POST", "", None, None, "body", "same")
        told.append(world.request(entry, *args))

    for number in range(750):
        world.call_in(number / 50.0, send, number)
    poison = send_poison(world, 12, 0.5)
    world.run_for(40.0)
    assert not [t for t in told if t.status == 422]
    assert poison[-1].status == 422
    assert count_crashes(world) <= 2
