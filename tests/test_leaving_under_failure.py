"""Leaving workers get no new work; planned stops abort no request."""

import pytest

from acaciafield import handover
from bench import simulation
from tests import support
from tests import test_judging_under_failure as judging

Outcome = simulation.Outcome


def count_late_runs(world, worker_id, since):
    """Return how many runs a worker started after a time."""
    ledger = world.workers[worker_id].ledger
    return sum(at > since for at, _, _ in ledger)


@pytest.mark.parametrize("signal", ["list", "refusal"])
def test_leaving_worker_gets_no_new_work_after_three_seconds(signal):
    world = support.make_world(nodes=8)
    calls = judging.send_price_checks(world, 150, 20.0)
    world.run_for(8.0)
    if signal == "list":
        world.listed_workers["prices-3"] = "leaving"
    else:
        world.workers["prices-3"].is_draining = True
    left_at = world.now
    world.run_for(15.0)
    assert count_late_runs(world, "prices-3", left_at + 3.0) == 0
    assert all(call.outcome is Outcome.RAN for call in calls)


def test_leaving_worker_gets_no_new_work_from_an_isolated_keeper():
    world = support.make_world(nodes=8)
    judging.send_price_checks(world, 150, 20.0)
    world.run_for(8.0)
    keeper = world.request_addresses(world.list_running_nodes()[0], "prices")
    world.isolate_node(keeper.addresses[0].partition(":")[0])
    world.listed_workers["prices-3"] = "leaving"
    left_at = world.now
    world.run_for(15.0)
    assert count_late_runs(world, "prices-3", left_at + 3.0) == 0


def send_mixed_requests(world, seconds):
    """Schedule price checks, orders and downloads; return the results."""
    calls = []
    answers = {}

    def find_entry(number):
        cached = answers.get(number % 5)
        if cached is not None and world.now < cached[0]:
            return cached[1]
        live = [
            n
            for n in world.list_running_nodes()
            if world.simulated_nodes[n].node.stopping is handover.Phase.SERVING
        ]
        answer = world.request_addresses(live[number % len(live)], "prices")
        names = [a.partition(":")[0] for a in answer.addresses]
        entry = names[number % len(names)]
        end = world.now + answer.validity
        answers[number % 5] = (end, (entry, answer.key_prefix))
        return entry, answer.key_prefix

    def send(number):
        entry, prefix = find_entry(number)
        kind = number % 3
        if kind == 0:
            label = "check-%d" % number
            calls.append(world.send_request(entry, "prices", label))
        elif kind == 1:
            label = "order-%d" % number
            key = "%s.%d" % (prefix, number)
            calls.append(
                world.send_request(entry, "prices", label, "POST", key=key)
            )
        elif number % 30 == 2:
            label = "file-%d" % number
            calls.append(
                world.send_request(
                    entry, "prices", label, class_name="downloads"
                )
            )

    for number in range(int(seconds * 40)):
        world.call_in(number / 40.0, send, number)
    return calls


@pytest.mark.parametrize("seed", range(3))
def test_rolling_restart_aborts_no_request(seed):
    world = support.make_world(nodes=6, seed=seed)
    world.download_s = 12.0
    calls = send_mixed_requests(world, 70.0)
    for number, node_id in enumerate(world.list_running_nodes()):
        world.call_in(5.0 + 10.0 * number, world.stop_node, node_id)
        world.call_in(6.0 + 10.0 * number, world.add_node, "r%d" % number)
    world.run_for(120.0)
    assert not [call.label for call in calls if call.is_aborted]
    support.check_orders(
        world, [call for call in calls if "order" in call.label]
    )
    files = [call for call in calls if "file" in call.label]
    assert files and all(call.outcome is Outcome.RAN for call in files)
    assert all(call.received_parts == 100 for call in files)
    assert len(world.list_running_nodes()) == 6


def test_successor_stopped_during_the_handover():
    world = support.make_world(nodes=6)
    key = support.make_key(world, world.list_running_nodes()[0])
    home, _ = support.name_deciders(key)
    first = world.send_request(home, "prices", "order-a", "POST", key=key)
    world.run_for(1.0)
    state = world.simulated_nodes[home].node.state
    world.stop_node(home)
    successor = handover._choose_successor(state)
    world.run_for(2.0)
    world.stop_node(successor)
    world.stop_node(home)
    world.run_for(15.0)
    repeated = world.send_request(
        world.list_running_nodes()[0], "prices", "order-a", "POST", key=key
    )
    world.run_for(10.0)
    assert first.outcome is Outcome.RAN
    assert repeated.outcome is Outcome.RAN and repeated.replayed
    assert world.count_runs()["order-a"] == 1


def test_successor_killed_during_the_handover():
    world = support.make_world(nodes=6)
    key = support.make_key(world, world.list_running_nodes()[0])
    home, _ = support.name_deciders(key)
    calls = [world.send_request(home, "prices", "order-a", "POST", key=key)]
    world.run_for(1.0)
    state = world.simulated_nodes[home].node.state
    world.stop_node(home)
    world.kill_node(handover._choose_successor(state))
    world.run_for(30.0)
    assert home not in world.list_running_nodes()
    calls.append(
        world.send_request(
            world.list_running_nodes()[0], "prices", "order-a", "POST", key=key
        )
    )
    world.run_for(10.0)
    assert calls[1].outcome is Outcome.RAN
    assert world.count_runs()["order-a"] == 1


def test_last_node_stops():
    world = support.make_world(nodes=1)
    node_id = world.list_running_nodes()[0]
    call = world.send_request(node_id, "prices", "check")
    world.stop_node(node_id)
    world.run_for(20.0)
    assert call.outcome is Outcome.RAN
    assert not world.list_running_nodes()


def test_resumed_keeper_sends_no_work_to_a_leaving_worker():
    world = support.make_world(nodes=6)
    judging.send_price_checks(world, 60, 30.0)
    world.run_for(4.0)
    keeper = world.request_addresses(world.list_running_nodes()[0], "prices")
    keeper = keeper.addresses[0].partition(":")[0]
    world.freeze_node(keeper)
    world.listed_workers["prices-3"] = "leaving"
    left_at = world.now
    for number in range(12):
        world.send_request(keeper, "prices", "check-in-hand-%d" % number)
    world.run_for(8.0)
    world.resume_node(keeper)
    world.run_for(10.0)
    assert count_late_runs(world, "prices-3", left_at + 3.0) == 0
