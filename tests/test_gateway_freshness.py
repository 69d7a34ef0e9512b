"""The age of the configuration: proofs, heartbeats, and a whole fleet."""

import random

import pytest

from acaciafield.gateway import coordination
from acaciafield.gateway import effects
from acaciafield.gateway import events
from acaciafield.gateway import freshness
from acaciafield.gateway import members
from acaciafield.gateway import messages
from acaciafield_daemon.gateway import authentication
from tests import gateway_freshness_simulation as simulation
from tests import gateway_support as support
from tests import workspace_support

TERMS = workspace_support.make_strict_terms()
SETTLED_AT_S = 10.0  # after the start, when coordinators are stable
# The wait of a read, a heartbeat period and delays; see the design note.
HEALTHY_AGE_S = 1.6


def make_age(version=3, confirmed_at=None):
    """Return the ConfigurationAge of a node with a version."""
    age = freshness.ConfigurationAge()
    age.adopt_version(version)
    if confirmed_at is not None:
        age.record_proof(version, confirmed_at, confirmed_at)
    return age


def test_adopted_version_is_unconfirmed_until_a_proof():
    age = make_age()
    assert age.measure_age(10.0) is None
    age.record_answer(3, 10.0, 0.5, 10.1)
    assert age.measure_age(10.1) == 0.6


def test_answer_proves_the_time_of_the_heartbeat_less_the_age():
    age = make_age()
    age.record_answer(3, 10.0, 0.25, 14.0)
    assert age.measure_age(14.0) == 4.25


def test_late_answer_does_not_replace_a_newer_proof():
    age = make_age(confirmed_at=12.0)
    age.record_answer(3, 10.0, 0.25, 14.0)
    assert age.measure_age(14.0) == 2.0


@pytest.mark.parametrize(
    "version, sent_at, config_age",
    [
        (2, 13.0, 0.0),
        (0, 13.0, 0.0),
        (3, None, 0.0),
        (3, 13.0, None),
        (3, 15.0, 0.0),
        (3, 13.0, -1.0),
    ],
    ids=["older", "none", "unsolicited", "no-age", "future", "negative"],
)
def test_answer_that_proves_nothing(version, sent_at, config_age):
    age = make_age(confirmed_at=10.0)
    age.record_answer(version, sent_at, config_age, 14.0)
    age.adopt_version(4)
    assert age.measure_age(14.0) == 4.0


def test_proof_for_a_newer_version_counts_once_the_node_has_it():
    age = make_age(confirmed_at=10.0)
    age.record_answer(5, 13.0, 0.0, 14.0)
    age.record_answer(5, 12.0, 0.0, 14.0)
    assert age.measure_age(14.0) == 4.0
    age.adopt_version(4)
    assert age.measure_age(14.0) == 4.0
    age.adopt_version(6)
    assert age.measure_age(14.0) == 1.0


def test_newer_version_keeps_the_proof_of_the_one_before():
    age = make_age(confirmed_at=10.0)
    age.adopt_version(4)
    assert age.measure_age(14.0) == 4.0


def test_proof_without_a_configuration_does_not_confirm_the_first_one():
    age = freshness.ConfigurationAge()
    age.record_proof(0, 10.0, 10.0)
    age.adopt_version(1)
    assert age.measure_age(10.0) is None


def test_age_is_rounded_up():
    assert make_age(confirmed_at=0.0).measure_age(1.0001) == 1.001


def make_pair():
    """Return a node and its coordinator, which know each other."""
    node, coordinator = support.make_state("n1"), support.make_state("n2")
    found = [node.local_member, coordinator.local_member]
    for state in (node, coordinator):
        state.is_ready = True
        event = events.MembersRead(0.0, found)
        coordination.reduce_event(state, event)
    return node, coordinator


def answer_heartbeat(coordinator, heartbeat, now):
    """Return the answer of a coordinator to a heartbeat."""
    out = support.deliver_message(coordinator, heartbeat, now, "10.0.0.1")
    return find_message(out, messages.HeartbeatAnswer)


def find_message(out, kind):
    """Return the first sent message of a class."""
    return next(
        effect.message
        for effect in support.select_effects(out, effects.Send)
        if isinstance(effect.message, kind)
    )


def test_heartbeat_carries_the_boot_clock_and_its_answer_the_age():
    node, coordinator = make_pair()
    for state in (node, coordinator):
        event = events.ConfigurationUpdated(0.0, 3)
        coordination.reduce_event(state, event)
    event = events.ConfigurationConfirmed(1.0, 5000.0)
    coordination.reduce_event(coordinator, event, 5000.5)
    node.start(1.0)
    out = coordination.reduce_event(node, events.Tick(1.0), 70.0)
    heartbeat = find_message(out, messages.Heartbeat)
    assert heartbeat.sent_at == 70.0
    event = events.MessageReceived(1.1, "10.0.0.1", heartbeat)
    out = coordination.reduce_event(coordinator, event, 5001.0)
    answer = find_message(out, messages.HeartbeatAnswer)
    assert (answer.heartbeat_sent_at, answer.config_age) == (70.0, 1.0)
    event = events.MessageReceived(1.2, "10.0.0.2", answer)
    coordination.reduce_event(node, event, 70.25)
    assert node.freshness.measure_age(70.25) == 1.25


def test_heartbeat_of_an_older_build_gets_an_answer_without_proof():
    node, coordinator = make_pair()
    heartbeat = support.make_heartbeat(node)
    fields = messages.pack_message(heartbeat)[:-1]
    heartbeat = messages.unpack_message(fields)
    assert heartbeat.sent_at is None
    assert answer_heartbeat(coordinator, heartbeat, 1.0).config_age is None


def test_time_while_a_host_is_suspended_counts():
    # Guards against an age by the clock of the event loop, which stands
    # still while the host is suspended.
    node, _ = make_pair()
    coordination.reduce_event(node, events.ConfigurationUpdated(1.0, 3))
    event = events.ConfigurationConfirmed(1.0, 50.0)
    coordination.reduce_event(node, event, 50.0)
    coordination.reduce_event(node, events.Tick(1.1), 110.0)
    assert node.freshness.measure_age(node.boot_now) == 60.0


def make_fleet(zones=3, count=8):
    """Return a fleet in its steady state."""
    fleet = simulation.FreshnessFleet(zones, count)
    fleet.start()
    fleet.run_until(SETTLED_AT_S)
    fleet.clear_ages()
    return fleet


def is_served(fleet, name):
    """Return whether a node serves a key that it knows."""
    table = workspace_support.decode(
        workspace_support.make_document()
    ).workspaces
    found = authentication.check_key(
        "key-small", table, fleet.measure_age(name), TERMS
    )
    return not isinstance(found, authentication.KeyRefusal)


@pytest.mark.parametrize("zones, count", [(1, 1), (1, 8), (3, 8), (4, 12)])
def test_host_in_touch_never_refuses(zones, count):
    fleet = make_fleet(zones, count)
    for number in range(20):
        fleet.write_version()
        fleet.run_until(fleet.now + 1.9 + 0.01 * number)
    assert fleet.find_greatest_age() < HEALTHY_AGE_S
    versions = {state.config_version for state in fleet.states.values()}
    assert versions == {fleet.version}


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("zones", [1, 3])
def test_host_with_lost_heartbeats_never_refuses(zones, seed):
    fleet = make_fleet(zones)
    fleet.delay = simulation.lose_heartbeats(random.Random(seed), 0.2)
    fleet.run_until(SETTLED_AT_S + 60.0)
    assert fleet.find_greatest_age() < TERMS.revoke_bound


@pytest.mark.parametrize("zones", [1, 3])
def test_loss_of_all_coordinators_makes_no_other_host_refuse(zones):
    fleet = make_fleet(zones)
    lost = fleet.list_coordinators()
    for name in lost:
        fleet.cut(name)
        fleet.refused.add(name)
    fleet.run_until(SETTLED_AT_S + 20.0)
    others = [name for name in fleet.states if name not in lost]
    assert fleet.find_greatest_age(others) < TERMS.config_bound
    assert not any(is_served(fleet, name) for name in lost)


def find_follower(fleet):
    """Return the name of a node that does not coordinate."""
    coordinators = fleet.list_coordinators()
    return [name for name in fleet.states if name not in coordinators][0]


def test_host_that_is_cut_off_refuses_in_time():
    fleet = make_fleet()
    name = find_follower(fleet)
    fleet.cut(name)
    fleet.refused.add(name)
    fleet.write_version()
    assert is_served(fleet, name)
    fleet.run_until(SETTLED_AT_S + TERMS.revoke_bound)
    assert fleet.states[name].config_version < fleet.version
    assert not is_served(fleet, name)
    fleet.heal(name)
    fleet.refused.discard(name)
    fleet.run_until(fleet.now + 2.0)
    assert fleet.states[name].config_version == fleet.version
    assert is_served(fleet, name)


def test_host_that_reaches_only_the_store_serves():
    fleet = make_fleet()
    name = find_follower(fleet)
    fleet.cut(name)
    fleet.run_until(SETTLED_AT_S + 20.0)
    assert fleet.find_greatest_age([name]) < TERMS.config_bound


def test_outage_of_the_store_makes_all_hosts_refuse_until_it_ends():
    fleet = make_fleet()
    fleet.down = True
    fleet.run_until(SETTLED_AT_S + TERMS.revoke_bound)
    assert not any(is_served(fleet, name) for name in fleet.states)
    fleet.run_until(SETTLED_AT_S + 20.0)
    assert not any(is_served(fleet, name) for name in fleet.states)
    fleet.down = False
    fleet.run_until(fleet.now + 2.0)
    assert all(is_served(fleet, name) for name in fleet.states)


@pytest.mark.parametrize("is_coordinator", [False, True])
def test_frozen_host_refuses_until_it_has_a_new_proof(is_coordinator):
    fleet = make_fleet()
    name = find_follower(fleet)
    if is_coordinator:
        name = fleet.list_coordinators()[0]
    fleet.freeze(name)
    fleet.run_until(fleet.now + 0.2)
    fleet.write_version()
    fleet.run_until(fleet.now + TERMS.revoke_bound + 0.2)
    fleet.thaw(name)
    # The answers that waited belong to heartbeats and reads that were sent
    # before the freeze. A coordinator's may have the new version already.
    if not is_coordinator:
        assert fleet.states[name].config_version < fleet.version
    assert not is_served(fleet, name)
    fleet.run_until(fleet.now + 2.0)
    assert fleet.states[name].config_version == fleet.version
    assert is_served(fleet, name)


def test_delayed_answer_proves_the_time_of_its_heartbeat():
    fleet = make_fleet()
    name = find_follower(fleet)
    ip = fleet.states[name].local_member.ip
    fleet.delay = simulation.delay_answers(ip, TERMS.revoke_bound)
    fleet.refused.add(name)
    fleet.run_until(SETTLED_AT_S + TERMS.revoke_bound)
    for _ in range(100):
        fleet.run_until(fleet.now + 0.1)
        assert not is_served(fleet, name)


def test_coordinator_with_an_older_version_proves_nothing():
    node, coordinator = make_pair()
    coordination.reduce_event(node, events.ConfigurationUpdated(0.0, 4))
    event = events.ConfigurationUpdated(0.0, 3)
    coordination.reduce_event(coordinator, event)
    event = events.ConfigurationConfirmed(1.0, 1.0)
    coordination.reduce_event(coordinator, event)
    heartbeat = support.make_heartbeat(node, sent_at=1.0)
    answer = answer_heartbeat(coordinator, heartbeat, 1.0)
    assert answer.config_age == 0.0
    support.deliver_message(node, answer, 1.1, "10.0.0.2")
    assert node.freshness.measure_age(1.1) is None


def test_unsolicited_answer_proves_nothing():
    node, coordinator = make_pair()
    for state in (node, coordinator):
        event = events.ConfigurationUpdated(0.0, 3)
        coordination.reduce_event(state, event)
    event = events.ConfigurationConfirmed(1.0, 1.0)
    coordination.reduce_event(coordinator, event)
    heartbeat = support.make_heartbeat(node, sent_at=None)
    answer = answer_heartbeat(coordinator, heartbeat, 1.0)
    assert answer.config_age == 0.0
    support.deliver_message(node, answer, 1.1, "10.0.0.2")
    assert node.freshness.measure_age(1.1) is None


class FaultPlan:
    """Random faults of a fleet, one after another."""

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.random = random.Random(seed)

    def inject(self):
        """Inject a random fault; return a function that ends it."""
        fleet = self.fleet
        name = self.random.choice(sorted(fleet.states))
        kind = self.random.choice(
            ["freeze", "cut", "cut-off", "down", "loss", "delay"]
        )
        if kind == "freeze":
            fleet.freeze(name)
            return lambda: fleet.thaw(name)
        if kind in ("cut", "cut-off"):
            fleet.cut(name)
            if kind == "cut-off":
                fleet.refused.add(name)
            return lambda: (fleet.heal(name), fleet.refused.discard(name))
        if kind == "down":
            fleet.down = True
            return lambda: setattr(fleet, "down", False)
        fleet.delay = simulation.lose_heartbeats(self.random, 0.5)
        if kind == "delay":

            def delay(sender, ip, message):
                return self.random.choice([0.0, 0.0, 0.3, 3.0])

            fleet.delay = delay
        return lambda: setattr(fleet, "delay", None)


@pytest.mark.parametrize("seed", range(8))
def test_proofs_are_sound_under_any_faults(seed):
    """The fleet checks the proof of a node after each of its events."""
    fleet = make_fleet(3, 4)
    plan = FaultPlan(fleet, seed)
    for _ in range(25):
        ends = [plan.inject() for _ in range(plan.random.randint(1, 3))]
        for _ in range(plan.random.randint(1, 4)):
            fleet.run_until(fleet.now + plan.random.uniform(0.0, 2.0))
            fleet.write_version()
        for end in ends:
            end()
        fleet.run_until(fleet.now + plan.random.uniform(0.0, 1.0))
    fleet.run_until(fleet.now + 2 * members.FORGET_AFTER_S)
    assert fleet.version > 20
    assert all(is_served(fleet, name) for name in fleet.states)
