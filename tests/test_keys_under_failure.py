"""Non-idempotent work runs at most once and reported outcomes are true."""

from bench import simulation
from tests import support

Outcome = simulation.Outcome


def test_order_runs_once_when_repeated_at_three_nodes_at_once():
    world = support.make_world()
    calls = support.send_orders(world, 40, 0.05, repeats=2)
    world.run_for(10.0)
    support.check_orders(world, calls)
    assert all(call.outcome is Outcome.RAN for call in calls)


def test_order_at_killed_home_is_answered_by_replica():
    world = support.make_world()
    entry = world.list_running_nodes()[0]
    key = support.make_key(world, entry)
    home, replica = support.name_deciders(key)
    first = world.send_request(home, "prices", "order-a", "POST", key=key)
    world.run_for(2.0)
    assert first.outcome is Outcome.RAN
    world.kill_node(home)
    other = [n for n in world.list_running_nodes() if n != replica][0]
    repeated = world.send_request(other, "prices", "order-a", "POST", key=key)
    unused_key = key + "x"
    unused_key_call = world.send_request(
        other, "prices", "order-b", "POST", key=unused_key
    )
    world.run_for(10.0)
    assert repeated.outcome is Outcome.RAN and repeated.replayed
    assert unused_key_call.outcome is Outcome.NOT_RUN
    support.check_orders(world, [first, repeated, unused_key_call])


def test_frozen_home_does_not_run_what_the_replica_refused():
    world = support.make_world()
    entry = world.list_running_nodes()[0]
    key = support.make_key(world, entry)
    home, replica = support.name_deciders(key)
    other = [
        n for n in world.list_running_nodes() if n not in (home, replica)
    ][0]
    home_call = world.send_request(home, "prices", "order-a", "POST", key=key)
    world.freeze_node(home)
    world.run_for(0.01)
    other_call = world.send_request(
        other, "prices", "order-a", "POST", key=key
    )
    world.run_for(60.0)
    assert other_call.outcome is not None
    world.resume_node(home)
    world.run_for(60.0)
    support.check_orders(world, [home_call, other_call])


def test_home_paused_before_the_replica_query_runs_nothing():
    world = support.make_world()
    entry = world.list_running_nodes()[0]
    key = support.make_key(world, entry)
    home, replica = support.name_deciders(key)
    other = [
        n for n in world.list_running_nodes() if n not in (home, replica)
    ][0]
    world.freeze_node(home)
    other_call = world.send_request(
        other, "prices", "order-a", "POST", key=key
    )
    world.run_for(30.0)
    assert other_call.outcome is Outcome.NOT_RUN
    world.resume_node(home)
    world.run_for(30.0)
    assert world.count_runs()["order-a"] == 0


def test_outcome_is_unknown_when_both_deciders_are_dead():
    world = support.make_world()
    entry = world.list_running_nodes()[0]
    key = support.make_key(world, entry)
    home, replica = support.name_deciders(key)
    world.kill_node(home)
    world.kill_node(replica)
    other = world.list_running_nodes()[0]
    other_call = world.send_request(
        other, "prices", "order-a", "POST", key=key
    )
    world.run_for(20.0)
    assert other_call.outcome is Outcome.UNKNOWN
    assert world.count_runs()["order-a"] == 0


def test_rolling_replacement_leaves_no_outcome_unknown():
    world = support.make_world()
    calls = support.send_orders(world, 600, 0.1, repeats=1)
    for number, node_id in enumerate(world.list_running_nodes()):
        world.call_in(10.0 * number, world.stop_node, node_id)
        world.call_in(
            10.0 * number + 1.0, world.add_node, "r%d" % (number + 1)
        )
    world.run_for(75.0)
    support.check_orders(world, calls)
    unknown = [call for call in calls if call.outcome is Outcome.UNKNOWN]
    assert not unknown


def test_repeat_after_every_node_was_replaced_is_replayed():
    world = support.make_world()
    key = support.make_key(world, world.list_running_nodes()[0])
    home, _ = support.name_deciders(key)
    first = world.send_request(home, "prices", "order-a", "POST", key=key)
    world.run_for(1.0)
    for number, node_id in enumerate(world.list_running_nodes()):
        world.add_node("r%d" % number)
        world.run_for(5.0)
        world.stop_node(node_id)
        world.run_for(8.0)
    repeated = world.send_request(
        world.list_running_nodes()[0], "prices", "order-a", "POST", key=key
    )
    world.run_for(5.0)
    assert first.outcome is Outcome.RAN
    assert repeated.outcome is Outcome.RAN and repeated.replayed
    assert world.count_runs()["order-a"] == 1


def test_log_down_does_not_stop_issued_keys():
    world = support.make_world()
    world.log.is_down = True
    calls = support.send_orders(world, 50, 0.05, repeats=1)
    world.run_for(10.0)
    support.check_orders(world, calls)
    assert all(call.outcome is Outcome.RAN for call in calls)


def test_opaque_key_with_the_log_down_does_not_run():
    world = support.make_world()
    world.log.is_down = True
    node_id = world.list_running_nodes()[0]
    call = world.send_request(node_id, "prices", "order-a", "POST", key="mine")
    world.run_for(10.0)
    assert call.outcome is Outcome.UNKNOWN
    assert world.count_runs()["order-a"] == 0


def test_opaque_key_that_ran_before_an_outage_is_not_reported_as_not_run():
    world = support.make_world()
    first_node, second_node = world.list_running_nodes()[:2]
    world.cut_link(second_node, "log")
    first = world.send_request(
        first_node, "prices", "order-a", "POST", key="mine"
    )
    world.run_for(2.0)
    assert first.outcome is Outcome.RAN
    world.log.is_down = True
    repeated = world.send_request(
        second_node, "prices", "order-a", "POST", key="mine"
    )
    world.run_for(10.0)
    assert repeated.outcome is not Outcome.NOT_RUN
    assert world.count_runs()["order-a"] == 1


def test_opaque_key_whose_claim_answer_is_lost_runs_once():
    world = support.make_world()
    world.log.loses_answers = True
    calls = [
        world.send_request(n, "prices", "order-a", "POST", key="mine")
        for n in world.list_running_nodes()[:3]
    ]
    world.run_for(10.0)
    support.check_orders(world, calls)
    assert world.count_runs()["order-a"] == 1


def test_new_node_with_truncated_claims_does_not_run_a_repeat():
    world = support.make_world()
    key = "mine"
    first = world.send_request(
        world.list_running_nodes()[0], "prices", "order-a", "POST", key=key
    )
    world.run_for(2.0)
    for number in range(30):
        world.send_request(
            world.list_running_nodes()[0],
            "prices",
            "order-%d" % number,
            "POST",
            key="other-%d" % number,
        )
        world.run_for(0.2)
    world.log.max_records = 3
    new = world.add_node("late")
    world.run_for(6.0)
    repeated = world.send_request(new, "prices", "order-a", "POST", key=key)
    world.run_for(10.0)
    assert first.outcome is Outcome.RAN
    assert repeated.outcome is Outcome.RAN and repeated.replayed
    assert world.count_runs()["order-a"] == 1


def test_same_key_with_another_body_is_refused():
    world = support.make_world()
    key = support.make_key(world, world.list_running_nodes()[0])
    node_id = world.list_running_nodes()[0]
    world.send_request(node_id, "prices", "order-a", "POST", key=key)
    world.run_for(2.0)
    other = world.send_request(
        node_id, "prices", "order-b", "POST", key=key, body="other"
    )
    world.run_for(2.0)
    assert other.status == 422
    assert world.count_runs()["order-b"] == 0


def test_order_runs_once_despite_one_way_cut_between_entry_and_home():
    world = support.make_world()
    entry, *others = world.list_running_nodes()
    key = support.make_key(world, entry)
    home, _ = support.name_deciders(key)
    entry = [n for n in world.list_running_nodes() if n != home][0]
    world.cut_link(home, entry)
    calls = [world.send_request(entry, "prices", "order-a", "POST", key=key)]
    world.run_for(20.0)
    calls.append(
        world.send_request(home, "prices", "order-a", "POST", key=key)
    )
    world.run_for(20.0)
    support.check_orders(world, calls)


def test_one_way_cut_from_worker_to_node_is_unknown_and_runs_once():
    world = support.make_world(workers=3)
    for worker_id in world.workers:
        for node_id in world.simulated_nodes:
            world.cut_link(worker_id, node_id)
    node_id = world.list_running_nodes()[0]
    key = support.make_key(world, node_id)
    calls = [world.send_request(node_id, "prices", "order-a", "POST", key=key)]
    world.run_for(40.0)
    calls.append(
        world.send_request(node_id, "prices", "order-a", "POST", key=key)
    )
    world.run_for(40.0)
    assert {call.outcome for call in calls} == {Outcome.UNKNOWN}
    assert world.count_runs()["order-a"] == 1


def test_no_key_means_one_attempt():
    world = support.make_world()
    for worker in world.workers.values():
        worker.crash_fingerprint = "order"
    node_id = world.list_running_nodes()[0]
    call = world.send_request(node_id, "prices", "order-a", "POST")
    world.run_for(20.0)
    assert call.outcome is Outcome.UNKNOWN
    assert world.count_runs()["order-a"] == 1


def test_outcome_is_stored_after_the_caller_disconnects():
    world = support.make_world()
    node_id = world.list_running_nodes()[0]
    key = support.make_key(world, node_id)
    world.send_request(node_id, "prices", "order-a", "POST", key=key)
    request_id = max(world.results)
    world.run_for(0.02)
    world.deliver_event(
        node_id, simulation.events.CallerDisconnected, request_id
    )
    world.run_for(2.0)
    repeated = world.send_request(
        node_id, "prices", "order-a", "POST", key=key
    )
    world.run_for(2.0)
    assert repeated.outcome is Outcome.RAN and repeated.replayed
    assert world.count_runs()["order-a"] == 1


def test_long_running_order_is_not_started_again():
    """Guards against a second run through lock expiry.

    Key patterns with an expiring in-progress lock run the order again.
    Here a worker runs it for longer than such a lock would last, and a
    repeated request after that time must not start it again.
    """
    world = support.make_world(mean_run_time=0.08)
    for worker in world.workers.values():
        worker.is_stalled = True
    node_id = world.list_running_nodes()[0]
    key = support.make_key(world, node_id)
    calls = [world.send_request(node_id, "prices", "order-a", "POST", key=key)]
    world.run_for(400.0)
    for worker in world.workers.values():
        worker.is_stalled = False
    calls.append(
        world.send_request(node_id, "prices", "order-a", "POST", key=key)
    )
    world.run_for(40.0)
    assert world.count_runs()["order-a"] == 1
    assert calls[1].outcome is Outcome.UNKNOWN


def test_resumed_home_with_an_in_flight_request_obeys_the_replica():
    world = support.make_world()
    entry = world.list_running_nodes()[0]
    key = support.make_key(world, entry)
    home, replica = support.name_deciders(key)
    other = [
        n for n in world.list_running_nodes() if n not in (home, replica)
    ][0]
    world.freeze_node(home)
    home_call = world.send_request(home, "prices", "order-a", "POST", key=key)
    other_call = world.send_request(
        other, "prices", "order-a", "POST", key=key
    )
    world.run_for(20.0)
    assert other_call.outcome is Outcome.NOT_RUN
    world.resume_node(home)
    world.run_for(20.0)
    assert home_call.outcome is Outcome.NOT_RUN
    assert world.count_runs()["order-a"] == 0


def test_cut_off_node_with_truncated_claims_runs_no_opaque_key():
    world = support.make_world()
    first = world.send_request(
        world.list_running_nodes()[0], "prices", "order-a", "POST", key="mine"
    )
    world.run_for(2.0)
    for number in range(5):
        label = "order-%d" % number
        node_id = world.list_running_nodes()[0]
        world.send_request(node_id, "prices", label, "POST", key=label)
        world.run_for(0.2)
    world.log.max_records = 2
    new = world.add_node("late")
    world.isolate_node(new)
    world.run_for(6.0)
    repeated = world.send_request(new, "prices", "order-a", "POST", key="mine")
    world.run_for(10.0)
    assert first.outcome is Outcome.RAN
    assert repeated.outcome is Outcome.UNKNOWN
    assert world.count_runs()["order-a"] == 1


def test_first_claim_in_log_order_decides_for_later_claimers():
    world = support.make_world()
    first_node, second_node = world.list_running_nodes()[:2]
    calls = []
    for number in range(10):
        label = "order-%d" % number
        args = ("prices", label, "POST", "", label)
        calls.append(world.send_request(first_node, *args))
        world.run_for(0.3)
        calls.append(world.send_request(second_node, *args))
    world.run_for(10.0)
    support.check_orders(world, calls)
    assert all(call.outcome is Outcome.RAN for call in calls)
