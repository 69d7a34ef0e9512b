"""An accepted configuration reaches every node and never reverts."""

import pytest

from acaciafield import configuration
from acaciafield import events
from acaciafield import messages
from acaciafield import node as nodes
from bench import simulation
from tests import support


def read_target_s(world, node_id):
    """Return the target time in force on a node, in seconds."""
    config = world.simulated_nodes[node_id].node.state.config
    service = config.find_service("prices")
    return service.classes["price-checks"].within if service else None


def make_change_items(target_s, base):
    """Return the items of a change to the target time of price checks."""
    body = support.make_service_config()
    body["classes"]["price-checks"] = {"target": "quick", "within": target_s}
    return {"prices": (base, body)}


def wait_until_everywhere(world, target_s, limit, node_ids=None):
    """Return the seconds until a change is in force everywhere."""
    start = world.now

    def is_everywhere():
        live = node_ids or world.list_running_nodes()
        return all(read_target_s(world, n) == target_s for n in live)

    assert world.run_until(is_everywhere, limit)
    return world.now - start


def test_change_is_in_force_on_48_nodes_within_5_seconds():
    world = support.make_world(nodes=48)
    world.append_change("c2", make_change_items(0.2, 1))
    assert wait_until_everywhere(world, 0.2, 5.0) <= 5.0


@pytest.mark.parametrize("seed", range(3))
def test_change_spreads_when_the_log_fails_right_after_the_append(seed):
    world = support.make_world(nodes=48, seed=seed)
    world.append_change("c2", make_change_items(0.2, 1))

    def is_known_somewhere():
        return any(
            read_target_s(world, n) == 0.2 for n in world.simulated_nodes
        )

    assert world.run_until(is_known_somewhere, 3.0)
    world.log.is_down = True
    assert wait_until_everywhere(world, 0.2, 5.0) <= 5.0


def test_one_way_cuts_do_not_stop_a_change():
    world = support.make_world(nodes=48)
    names = world.list_running_nodes()
    for node_id in names[:10]:
        world.cut_link(node_id, "log")
        for other in names[10:30]:
            world.cut_link(other, node_id)
    world.append_change("c2", make_change_items(0.2, 1))
    assert wait_until_everywhere(world, 0.2, 5.0) <= 5.0


def test_concurrent_changes_accept_one_and_reject_the_other():
    world = support.make_world(nodes=8)
    world.append_change("left", make_change_items(0.2, 1))
    world.append_change("right", make_change_items(0.9, 1))
    wait_until_everywhere(world, 0.2, 5.0)
    for simulated_node in world.simulated_nodes.values():
        verdicts = simulated_node.node.state.config.verdicts
        assert verdicts["left"][1] == configuration.ACCEPTED
        assert verdicts["right"][1] == configuration.STALE


def test_publish_repeated_after_a_lost_answer_applies_once():
    world = support.make_world(nodes=4)
    world.append_change("c2", make_change_items(0.2, 1))
    world.run_for(3.0)
    world.append_change("c3", make_change_items(0.9, 2))
    world.append_change("c2", make_change_items(0.2, 1))
    world.run_for(5.0)
    assert {read_target_s(world, n) for n in world.simulated_nodes} == {0.9}
    verdicts = world.simulated_nodes[
        world.list_running_nodes()[0]
    ].node.state.config.verdicts
    assert verdicts["c2"] == [1, configuration.ACCEPTED]


def check_offsets(world, seconds):
    """Advance the time; check that no configuration offset decreases."""
    offsets = {}
    for _ in range(int(seconds / 0.1)):
        world.run_for(0.1)
        for node_id, simulated_node in world.simulated_nodes.items():
            offset = simulated_node.node.state.config.offset
            assert offset >= offsets.get(node_id, 0)
            offsets[node_id] = offset


def test_frozen_node_catches_up_and_never_goes_back():
    world = support.make_world(nodes=6)
    frozen = world.list_running_nodes()[2]
    world.freeze_node(frozen)
    world.append_change("c2", make_change_items(0.2, 1))
    check_offsets(world, 10.0)
    world.append_change("c3", make_change_items(0.7, 2))
    world.resume_node(frozen)
    check_offsets(world, 10.0)
    assert read_target_s(world, frozen) == 0.7


def test_rolling_replacement_with_the_log_down_keeps_the_configuration():
    world = support.make_world(nodes=6)
    world.append_change("c2", make_change_items(0.2, 1))
    world.run_for(4.0)
    world.log.is_down = True
    for number, node_id in enumerate(world.list_running_nodes()):
        world.add_node("r%d" % number)
        world.run_for(6.0)
        world.stop_node(node_id)
        world.run_for(8.0)
    assert len(world.list_running_nodes()) == 6
    assert {read_target_s(world, n) for n in world.list_running_nodes()} == {
        0.2
    }


def test_node_without_configuration_serves_nothing():
    world = simulation.World()
    world.log.is_down = True
    node_id = world.add_node("n1")
    world.run_for(5.0)
    result = world.send_request(node_id, "prices", "check")
    assert result.outcome is simulation.Outcome.NOT_RUN
    assert result.status == 503
    assert world.request_addresses(node_id, "prices") is None


def test_truncation_past_the_changes_is_survived_by_snapshots():
    world = support.make_world(nodes=4)
    for number in range(250):
        world.append_change("x%d" % number, make_change_items(0.3, number + 1))
        world.run_for(0.05)
    world.run_for(5.0)
    stream = world.log.streams[configuration.STREAM]
    assert any(b'"snapshot"' in d for _, d in stream.read(0))
    world.log.max_records = 30
    isolated = world.add_node("late")
    world.isolate_node(isolated)
    world.run_for(8.0)
    assert read_target_s(world, isolated) == 0.3


def test_snapshots_of_two_writers_do_not_revert_the_configuration():
    fold = configuration.Configuration()
    bodies = [support.make_service_config(floor=f / 10) for f in (5, 6, 7)]
    records = [
        support.encode_change("c%d" % n, {"prices": (n, body)})
        for n, body in enumerate(bodies)
    ]
    fold.apply_records(0, [(0, records[0])])
    early = configuration.encode_record(fold.take_snapshot())
    fold.apply_records(0, [(1, records[1])])
    late = configuration.encode_record(fold.take_snapshot())
    rest = [(2, late), (3, early), (4, records[2])]
    fold.apply_records(0, rest)
    assert fold.find_service("prices").floor == 0.7
    fresh = configuration.Configuration()
    fresh.apply_records(1, [(1, records[1]), *rest])
    assert fresh.is_complete
    assert fresh.compute_digest() == fold.compute_digest()


def test_old_snapshot_alone_does_not_complete_a_reader():
    fold = configuration.Configuration()
    record = support.encode_change(
        "c1", {"prices": (0, support.make_service_config())}
    )
    fold.apply_records(0, [(0, record)])
    snapshot = configuration.encode_record(fold.take_snapshot())
    reader = configuration.Configuration()
    reader.apply_records(5, [(5, snapshot)])
    assert not reader.is_complete
    assert not reader.is_loaded


def test_unreadable_records_are_skipped_and_logged():
    world = support.make_world(nodes=2)
    stream = world.log.streams[configuration.STREAM]
    for data in (b"\xff\xfe", b"[]", b'{"kind": 3}', b'{"kind":"change"}'):
        stream.append(data, None)
    world.append_change("c2", make_change_items(0.2, 1))
    wait_until_everywhere(world, 0.2, 5.0)
    counts = [
        h.node.state.unreadable_records for h in world.simulated_nodes.values()
    ]
    assert max(counts) == 4
    texts = [text for _, _, _, text in world.log_entries]
    assert any("Record 3" in text for text in texts)


def test_snapshot_from_a_peer_that_is_behind_changes_nothing():
    node = nodes.Node("n1", 1)
    node.start(0.0)
    fold = node.state.config
    first = support.encode_change(
        "c1", {"prices": (0, support.make_service_config())}
    )
    fold.apply_records(0, [(0, first)])
    old = configuration.encode_record(fold.take_snapshot()).decode()
    second = support.encode_change("c2", make_change_items(0.2, 1))
    fold.apply_records(0, [(1, second)])
    message = messages.ConfigState(1, old)
    node.handle(events.MessageReceived(1.0, "n2", message))
    service = fold.find_service("prices")
    assert service.classes["price-checks"].within == 0.2
