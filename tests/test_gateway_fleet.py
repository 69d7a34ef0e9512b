"""The choice of coordinators in a fleet, and their calls to the store."""

from acaciafield.gateway import members
from acaciafield.gateway import messages
from tests import gateway_fleet

SETTLED_AT_S = 10.0  # after the start, when coordinators are stable
OUTAGE_S = 8.0


def make_fleet(zones, count):
    """Return a fleet in its steady state."""
    fleet = gateway_fleet.Fleet(zones, count)
    fleet.start()
    fleet.run_until(SETTLED_AT_S)
    return fleet


def count_outage_calls(count):
    """Return the calls to an unavailable store, and the coordinators."""
    fleet = make_fleet(3, count)
    before = fleet.calls
    fleet.down = True
    fleet.run_until(SETTLED_AT_S + OUTAGE_S)
    return fleet.calls - before, fleet.list_coordinators()


def test_settled_fleet_has_one_coordinator_in_each_zone():
    fleet = make_fleet(3, 12)
    zones = [
        fleet.states[name].local_member.zone
        for name in fleet.list_coordinators()
    ]
    assert sorted(zones) == ["z0", "z1", "z2"]


def test_outage_of_the_store_costs_the_same_in_a_larger_fleet():
    calls, coordinators = count_outage_calls(12)
    more_calls, more_coordinators = count_outage_calls(48)
    assert len(more_coordinators) <= 1.5 * len(coordinators)
    assert more_calls <= 1.5 * calls


def test_coordinators_are_the_same_after_an_outage_of_the_store():
    fleet = make_fleet(3, 24)
    before = fleet.list_coordinators()
    fleet.down = True
    fleet.run_until(SETTLED_AT_S + OUTAGE_S)
    fleet.down = False
    fleet.run_until(SETTLED_AT_S + OUTAGE_S + 6.0)
    assert fleet.list_coordinators() == before


def test_only_node_that_reaches_the_store_becomes_coordinator():
    fleet = make_fleet(1, 40)
    chosen = fleet.list_coordinators()[0]
    ranked = fleet.states[chosen].membership.list_candidates("z0")
    only_name = ranked[11].member.name
    fleet.refused = set(fleet.states) - {only_name}
    fleet.run_until(SETTLED_AT_S + 12.0)
    for state in fleet.states.values():
        found = state.membership.find_coordinator("z0", fleet.now)
        assert found.member.name == only_name


def count_heartbeats(fleet, seconds):
    """Return the numbers of heartbeats within and between zones."""
    nearby, remote = [], []
    deliver = fleet.deliver

    def watch(sender, ip, message):
        if isinstance(message, messages.Heartbeat):
            zone = fleet.find_state(ip).local_member.zone
            (nearby if zone == message.zone else remote).append(message.name)
        deliver(sender, ip, message)

    fleet.deliver = watch
    fleet.run_until(fleet.now + seconds)
    fleet.deliver = deliver
    return len(nearby), len(remote)


def test_settled_fleet_sends_one_heartbeat_a_second_to_another_zone():
    fleet = make_fleet(3, 12)
    nearby, remote = count_heartbeats(fleet, 10.0)
    assert nearby <= 1.05 * 20 * (36 - 3)
    assert remote <= 1.1 * 10 * 36 * 2


def test_unresponsive_coordinator_is_replaced_in_all_zones():
    fleet = make_fleet(3, 12)
    dead = fleet.list_coordinators()[0]
    fleet.cut(dead)
    fleet.run_until(SETTLED_AT_S + 4.0)
    zone = fleet.states[dead].local_member.zone
    for name, state in fleet.states.items():
        if name != dead:
            found = state.membership.find_coordinator(zone, fleet.now)
            assert found.member.name != dead
            assert found.grade(fleet.now) is members.Grade.FRESH
