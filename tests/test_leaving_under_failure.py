"""Leaving workers get no new work; planned stops cut nothing."""

import pytest

from acaciafield import handover
from bench import fakes
from tests import support
from tests import test_judging_under_failure as judging

Outcome = fakes.Outcome


def count_late_runs(world, worker_id, since):
    """Count work that a worker was given after a time."""
    ledger = world.workers[worker_id].ledger
    return sum(at > since for at, _, _ in ledger)


@pytest.mark.parametrize("sign", ["list", "refusal"])
def test_leaving_worker_gets_no_new_work_after_three_seconds(sign):
    world = support.make_world(nodes=8)
    told = judging.send_checks(world, 150, 20.0)
    world.run_for(8.0)
    if sign == "list":
        world.listed["prices-3"] = "leaving"
    else:
        world.workers["prices-3"].draining = True
    left_at = world.now
    world.run_for(15.0)
    assert count_late_runs(world, "prices-3", left_at + 3.0) == 0
    assert all(t.outcome is Outcome.RAN for t in told)


def test_leaving_worker_gets_no_new_work_from_a_cut_off_keeper():
    world = support.make_world(nodes=8)
    judging.send_checks(world, 150, 20.0)
    world.run_for(8.0)
    keeper = world.ask_addresses(world.list_live()[0], "prices")
    world.isolate(keeper.addresses[0].partition(":")[0])
    world.listed["prices-3"] = "leaving"
    left_at = world.now
    world.run_for(15.0)
    assert count_late_runs(world, "prices-3", left_at + 3.0) == 0


def send_mixed(world, seconds):
    """Plan price checks, orders and downloads; return the Tolds."""
    told = []
    answers = {}

    def find_entry(number):
        kept = answers.get(number % 5)
        if kept is not None and world.now < kept[0]:
            return kept[1]
        live = [
            n
            for n in world.list_live()
            if world.hosts[n].node.stopping is handover.Phase.SERVING
        ]
        answer = world.ask_addresses(live[number % len(live)], "prices")
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
            told.append(world.request(entry, "prices", label))
        elif kind == 1:
            label = "order-%d" % number
            key = "%s.%d" % (prefix, number)
            told.append(world.request(entry, "prices", label, "POST", key=key))
        elif number % 30 == 2:
            label = "file-%d" % number
            told.append(
                world.request(entry, "prices", label, class_name="downloads")
            )

    for number in range(int(seconds * 40)):
        world.call_in(number / 40.0, send, number)
    return told


@pytest.mark.parametrize("seed", range(3))
def test_rolling_restart_cuts_nothing(seed):
    world = support.make_world(nodes=6, seed=seed)
    world.download_time = 12.0
    told = send_mixed(world, 70.0)
    for number, node_id in enumerate(world.list_live()):
        world.call_in(5.0 + 10.0 * number, world.stop, node_id)
        world.call_in(6.0 + 10.0 * number, world.add_node, "r%d" % number)
    world.run_for(120.0)
    assert not [t.label for t in told if t.cut]
    support.check_orders(world, [t for t in told if "order" in t.label])
    files = [t for t in told if "file" in t.label]
    assert files and all(t.outcome is Outcome.RAN for t in files)
    assert all(t.offset == 100 for t in files)
    assert len(world.list_live()) == 6


def test_successor_stopped_during_the_handover():
    world = support.make_world(nodes=6)
    key = support.make_key(world, world.list_live()[0])
    home, _ = support.name_deciders(key)
    first = world.request(home, "prices", "order-a", "POST", key=key)
    world.run_for(1.0)
    state = world.hosts[home].node.state
    world.stop(home)
    successor = handover._choose_successor(state)
    world.run_for(2.0)
    world.stop(successor)
    world.stop(home)
    world.run_for(15.0)
    again = world.request(
        world.list_live()[0], "prices", "order-a", "POST", key=key
    )
    world.run_for(10.0)
    assert first.outcome is Outcome.RAN
    assert again.outcome is Outcome.RAN and again.replayed
    assert world.count_runs()["order-a"] == 1


def test_successor_killed_during_the_handover():
    world = support.make_world(nodes=6)
    key = support.make_key(world, world.list_live()[0])
    home, _ = support.name_deciders(key)
    told = [world.request(home, "prices", "order-a", "POST", key=key)]
    world.run_for(1.0)
    state = world.hosts[home].node.state
    world.stop(home)
    world.kill(handover._choose_successor(state))
    world.run_for(30.0)
    assert home not in world.list_live()
    told.append(
        world.request(
            world.list_live()[0], "prices", "order-a", "POST", key=key
        )
    )
    world.run_for(10.0)
    assert told[1].outcome is Outcome.RAN
    assert world.count_runs()["order-a"] == 1


def test_last_node_stops_too():
    world = support.make_world(nodes=1)
    node_id = world.list_live()[0]
    told = world.request(node_id, "prices", "check")
    world.stop(node_id)
    world.run_for(20.0)
    assert told.outcome is Outcome.RAN
    assert not world.list_live()


def test_woken_keeper_gives_a_leaving_worker_no_work():
    world = support.make_world(nodes=6)
    judging.send_checks(world, 60, 30.0)
    world.run_for(4.0)
    keeper = world.ask_addresses(world.list_live()[0], "prices")
    keeper = keeper.addresses[0].partition(":")[0]
    world.freeze(keeper)
    world.listed["prices-3"] = "leaving"
    left_at = world.now
    for number in range(12):
        world.request(keeper, "prices", "check-in-hand-%d" % number)
    world.run_for(8.0)
    world.thaw(keeper)
    world.run_for(10.0)
    assert count_late_runs(world, "prices-3", left_at + 3.0) == 0
