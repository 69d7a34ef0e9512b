"""Requests that crash workers are quarantined across nodes."""

import pytest

from bench import effect_execution
from bench import simulation
from tests import support
from tests import test_judging_under_failure as judging

Outcome = simulation.Outcome


def send_crashing_request(world, count, period, method="GET"):
    """Plan repeats of a crashing request; return the list of answers."""
    answers = []

    def send(number):
        live_nodes = world.list_running_nodes()
        answers.append(
            world.send_request(
                live_nodes[number % len(live_nodes)],
                "prices",
                "poison",
                method,
            )
        )

    for number in range(count):
        world.call_in(1.0 + number * period, send, number)
    return answers


def count_crashes(world):
    """Return how often the crashing request ran."""
    return world.count_runs()["poison"]


@pytest.mark.parametrize("method", ["GET", "POST"])
@pytest.mark.parametrize("seed", range(5))
def test_crashing_request_is_quarantined_before_the_floor(method, seed):
    world = support.make_world(nodes=8, workers=6, seed=seed)
    for worker in world.workers.values():
        worker.crash_fingerprint = "poison"
    normal = judging.send_price_checks(world, 60, 60.0)
    crashing = send_crashing_request(world, 30, 1.5, method)
    world.run_for(80.0)
    assert count_crashes(world) <= 2
    assert crashing[-1].status == 422
    assert crashing[-1].outcome is Outcome.NOT_RUN
    refused = [answer for answer in normal if answer.status == 422]
    assert not refused
    ran = [answer for answer in normal if answer.outcome is Outcome.RAN]
    assert len(ran) == len(normal)


def test_quarantine_survives_loss_of_its_keeper():
    world = support.make_world(nodes=8)
    for worker in world.workers.values():
        worker.crash_fingerprint = "poison"
    send_crashing_request(world, 6, 1.5)
    world.run_for(12.0)
    keeper = world.request_addresses(world.list_running_nodes()[0], "prices")
    world.kill_node(keeper.addresses[0].partition(":")[0])
    world.run_for(12.0)
    before = count_crashes(world)
    send_crashing_request(world, 6, 1.5)
    world.run_for(20.0)
    assert count_crashes(world) == before <= 2


def test_worker_crash_quarantines_no_other_request():
    world = support.make_world(nodes=8)
    answers = judging.send_price_checks(world, 150, 30.0)
    for number in range(4):
        worker = world.workers["prices-%d" % (number + 1)]
        world.call_in(
            5.0 + 4.0 * number, effect_execution.crash_worker, world, worker
        )
    world.run_for(45.0)
    assert not [answer for answer in answers if answer.status == 422]
    assert all(answer.outcome is Outcome.RAN for answer in answers)


@pytest.mark.parametrize("seed", range(5))
def test_worker_that_resets_in_restart_quarantines_no_other_request(seed):
    world = support.make_world(
        nodes=8, workers=4, mean_run_time=0.04, seed=seed
    )
    for worker in world.workers.values():
        worker.crash_fingerprint = "poison"
        worker.accepts_while_restarting = True
        worker.restart_s = 2.0
    answers = []

    def send(number):
        live_nodes = world.list_running_nodes()
        entry = live_nodes[number % len(live_nodes)]
        args = ("prices", "check", "POST", "", None, None, "body", "same")
        answers.append(world.send_request(entry, *args))

    for number in range(750):
        world.call_in(number / 50.0, send, number)
    crashing = send_crashing_request(world, 12, 0.5)
    world.run_for(40.0)
    assert not [answer for answer in answers if answer.status == 422]
    assert crashing[-1].status == 422
    assert count_crashes(world) <= 2
