"""Members are known in time, and live ones are not given up."""

from acaciafield import membership
from bench import fakes


def make_fleet(count, seed=1, settle=15.0):
    """Return a settled world of nodes alone."""
    world = fakes.World(seed)
    for number in range(count):
        world.add_node("n%d" % number, "abc"[number % 3])
    world.run_for(settle)
    return world


def list_dead(world, node_id):
    """Return whom a node thinks dead."""
    table = world.hosts[node_id].node.state.members.table
    return [n for n, m in table.items() if m.status == membership.DEAD]


def find_false(world):
    """Return (node, live member) pairs where a live one is given up."""
    live = set(world.list_live())
    return [
        (n, dead) for n in live for dead in list_dead(world, n) if dead in live
    ]


def test_every_node_knows_every_other():
    world = make_fleet(48)
    for host in world.hosts.values():
        assert len(host.node.state.members.list_usable()) == 48


def test_killed_node_is_known_dead_everywhere():
    world = make_fleet(48)
    victim = world.list_live()[7]
    world.kill(victim)
    assert world.run_until(
        lambda: all(victim in list_dead(world, n) for n in world.list_live()),
        30.0,
    )
    assert not find_false(world)


def test_one_way_cuts_give_up_no_live_node():
    world = make_fleet(24)
    names = world.list_live()
    for number in range(6):
        world.cut(names[number], names[number + 6])
        world.cut(names[number + 12], names[number])
    world.run_for(60.0)
    assert not find_false(world)


def test_node_frozen_for_a_minute_is_taken_back():
    world = make_fleet(24)
    frozen = world.list_live()[3]
    world.freeze(frozen)
    world.run_for(60.0)
    assert all(
        frozen in list_dead(world, n) for n in world.list_live() if n != frozen
    )
    world.thaw(frozen)
    world.run_for(40.0)
    assert not find_false(world)


def test_woken_node_gives_nobody_up():
    world = make_fleet(24)
    frozen = world.list_live()[3]
    world.freeze(frozen)
    world.run_for(2.5)
    world.thaw(frozen)
    for _ in range(100):
        world.run_for(0.1)
        members = world.hosts[frozen].node.state.members
        statuses = {m.status for m in members.table.values()}
        assert statuses == {membership.ALIVE}


def test_healed_partition_is_one_fleet_again():
    world = make_fleet(24)
    left, right = world.list_live()[:12], world.list_live()[12:]
    for one in left:
        for other in right:
            world.cut(one, other)
            world.cut(other, one)
    world.run_for(60.0)
    assert find_false(world)
    world.cuts.clear()
    assert world.run_until(lambda: not find_false(world), 90.0)


def test_mass_replacement_leaves_no_ghosts():
    world = make_fleet(24)
    old = world.list_live()
    for number, node_id in enumerate(old):
        world.add_node("r%d" % number)
        world.kill(node_id)
        world.listed_nodes.discard(node_id)
        world.run_for(1.0)
    world.run_for(40.0)
    assert not find_false(world)
    for node_id in world.list_live():
        usable = world.hosts[node_id].node.state.members.list_usable()
        assert sorted(usable) == sorted(world.list_live())
