"""Which nodes coordinate, and how often they ask the store."""

from acaciafield.gateway import members
from acaciafield.gateway import messages
from tests import gateway_fleet

SETTLED = 10.0  # seconds after which a fleet that started is calm
OUTAGE = 8.0  # seconds


def make_fleet(zones, count):
    """Return a fleet that has settled."""
    fleet = gateway_fleet.Fleet(zones, count)
    fleet.start()
    fleet.run_until(SETTLED)
    return fleet


def count_outage_calls(count):
    """Return the calls to a store that is down, and those on duty."""
    fleet = make_fleet(3, count)
    before = fleet.calls
    fleet.down = True
    fleet.run_until(SETTLED + OUTAGE)
    return fleet.calls - before, fleet.list_on_duty()


def test_settled_fleet_has_one_coordinator_in_each_zone():
    fleet = make_fleet(3, 12)
    zones = [fleet.states[name].own.zone for name in fleet.list_on_duty()]
    assert sorted(zones) == ["z0", "z1", "z2"]


def test_outage_of_the_store_costs_the_same_in_a_larger_fleet():
    calls, on_duty = count_outage_calls(12)
    more_calls, more_on_duty = count_outage_calls(48)
    assert len(more_on_duty) <= 1.5 * len(on_duty)
    assert more_calls <= 1.5 * calls


def test_coordinators_are_as_before_once_the_store_is_back():
    fleet = make_fleet(3, 24)
    before = fleet.list_on_duty()
    fleet.down = True
    fleet.run_until(SETTLED + OUTAGE)
    fleet.down = False
    fleet.run_until(SETTLED + OUTAGE + 6.0)
    assert fleet.list_on_duty() == before


def test_node_that_the_store_serves_is_found_among_many_refused():
    fleet = make_fleet(1, 40)
    chosen = fleet.list_on_duty()[0]
    ranked = fleet.states[chosen].view.list_candidates("z0")
    served = ranked[11].member.name
    fleet.refused = set(fleet.states) - {served}
    fleet.run_until(SETTLED + 12.0)
    for state in fleet.states.values():
        found = state.view.find_coordinator("z0", fleet.now)
        assert found.member.name == served


def count_beats(fleet, seconds):
    """Return the heartbeats in and between zones in some seconds."""
    near, far = [], []
    deliver = fleet.deliver

    def watch(sender, ip, message):
        if isinstance(message, messages.Heartbeat):
            zone = fleet.find_state(ip).own.zone
            (near if zone == message.zone else far).append(message.name)
        deliver(sender, ip, message)

    fleet.deliver = watch
    fleet.run_until(fleet.now + seconds)
    fleet.deliver = deliver
    return len(near), len(far)


def test_calm_fleet_sends_one_heartbeat_a_second_to_another_zone():
    fleet = make_fleet(3, 12)
    near, far = count_beats(fleet, 10.0)
    assert near <= 1.05 * 20 * (36 - 3)
    assert far <= 1.1 * 10 * 36 * 2


def test_coordinator_that_fell_silent_is_replaced_in_all_zones():
    fleet = make_fleet(3, 12)
    dead = fleet.list_on_duty()[0]
    fleet.cut(dead)
    fleet.run_until(SETTLED + 4.0)
    zone = fleet.states[dead].own.zone
    for name, state in fleet.states.items():
        if name != dead:
            found = state.view.find_coordinator(zone, fleet.now)
            assert found.member.name != dead
            assert found.grade(fleet.now) is members.Grade.FRESH
