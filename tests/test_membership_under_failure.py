"""Dead members are detected in time; live ones are not declared dead."""

from acaciafield import membership
from bench import simulation


def build_fleet(count, seed=1, settle_s=15.0):
    """Return a settled World of nodes without workers."""
    world = simulation.World(seed)
    for number in range(count):
        world.add_node("n%d" % number, "abc"[number % 3])
    world.run_for(settle_s)
    return world


def list_dead(world, node_id):
    """Return the ids of members that a node believes dead."""
    members_by_id = world.simulated_nodes[
        node_id
    ].node.state.members.members_by_id
    return [n for n, m in members_by_id.items() if m.status == membership.DEAD]


def find_falsely_dead(world):
    """Return (node, live member) pairs where the node believes it dead."""
    live = set(world.list_running_nodes())
    return [
        (n, dead) for n in live for dead in list_dead(world, n) if dead in live
    ]


def test_every_node_knows_every_other():
    world = build_fleet(48)
    for simulated_node in world.simulated_nodes.values():
        assert (
            len(simulated_node.node.state.members.list_usable_members()) == 48
        )


def test_killed_node_is_known_dead_everywhere():
    world = build_fleet(48)
    killed = world.list_running_nodes()[7]
    world.kill_node(killed)
    assert world.run_until(
        lambda: all(
            killed in list_dead(world, n) for n in world.list_running_nodes()
        ),
        30.0,
    )
    assert not find_falsely_dead(world)


def test_one_way_cuts_mark_no_live_node_dead():
    world = build_fleet(24)
    names = world.list_running_nodes()
    for number in range(6):
        world.cut_link(names[number], names[number + 6])
        world.cut_link(names[number + 12], names[number])
    world.run_for(60.0)
    assert not find_falsely_dead(world)


def test_node_paused_for_a_minute_rejoins_the_fleet():
    world = build_fleet(24)
    paused = world.list_running_nodes()[3]
    world.freeze_node(paused)
    world.run_for(60.0)
    assert all(
        paused in list_dead(world, n)
        for n in world.list_running_nodes()
        if n != paused
    )
    world.resume_node(paused)
    world.run_for(40.0)
    assert not find_falsely_dead(world)


def test_resumed_node_suspects_no_live_member():
    world = build_fleet(24)
    paused = world.list_running_nodes()[3]
    world.freeze_node(paused)
    world.run_for(2.5)
    world.resume_node(paused)
    for _ in range(100):
        world.run_for(0.1)
        members = world.simulated_nodes[paused].node.state.members
        statuses = {m.status for m in members.members_by_id.values()}
        assert statuses == {membership.ALIVE}


def test_fleet_merges_after_a_partition_ends():
    world = build_fleet(24)
    first_half, second_half = (
        world.list_running_nodes()[:12],
        world.list_running_nodes()[12:],
    )
    for one in first_half:
        for other in second_half:
            world.cut_link(one, other)
            world.cut_link(other, one)
    world.run_for(60.0)
    assert find_falsely_dead(world)
    world.severed_links.clear()
    assert world.run_until(lambda: not find_falsely_dead(world), 90.0)


def test_mass_replacement_leaves_no_dead_node_in_use():
    world = build_fleet(24)
    old_nodes = world.list_running_nodes()
    for number, node_id in enumerate(old_nodes):
        world.add_node("r%d" % number)
        world.kill_node(node_id)
        world.listed_nodes.discard(node_id)
        world.run_for(1.0)
    world.run_for(40.0)
    assert not find_falsely_dead(world)
    for node_id in world.list_running_nodes():
        usable = world.simulated_nodes[
            node_id
        ].node.state.members.list_usable_members()
        assert sorted(usable) == sorted(world.list_running_nodes())
