"""Departed workers: a notified node sends them no further requests."""

import pytest

from acaciafield.gateway import coordination
from acaciafield.gateway import effects
from acaciafield.gateway import events
from acaciafield.gateway import messages
from tests import gateway_departure_simulation
from tests import gateway_support as support

READY = support.make_entry("w1", sequence=4)
DRAINING = support.make_entry("w1", sequence=5, draining=True)
OTHER = support.make_entry("w2")
DRAIN_TIME_S = 2.5  # after which no node uses a worker that leaves


def feed(state, kind, *fields):
    return coordination.reduce_event(state, kind(*fields))


def is_used(state, worker_id, now):
    """Return whether a coordinator grants a worker to a request."""
    others = {"w1", "w2"} - {worker_id}
    request = support.make_grant_request(
        "r@%s:1" % now, time_left=0.1, avoided_workers=list(others)
    )
    out = support.deliver_message(state, request, now, "10.0.0.3")
    sent = [
        effect.message for effect in support.select_effects(out, effects.Send)
    ]
    return any(isinstance(message, messages.Grant) for message in sent)


def make_coordinator():
    """Return a coordinator that read the departure of w1."""
    state = support.make_state()
    state.start(10.0)
    feed(state, events.WorkersRead, 10.0, [READY, OTHER])
    assert is_used(state, "w1", 10.1)
    feed(state, events.WorkersRead, 10.6, [DRAINING, OTHER])
    assert not is_used(state, "w1", 10.7)
    return state


def test_late_record_is_ignored_by_a_node_that_coordinates_again():
    state = make_coordinator()
    # It stops coordinating while another node answers its heartbeats.
    peer = support.make_member("n2", weight=9.0)
    feed(state, events.MembersRead, 11.0, [peer])
    candidate = state.membership.candidates["n2"]
    for now in range(12, 22):
        candidate.record_answer(float(now))
        candidate.store_age = 0.1
        state.answered_at = float(now)
        feed(state, events.Tick, now + 0.1)
    assert not state.is_coordinating
    now = 23.0
    is_used(state, "w1", now)
    feed(state, events.WorkersRead, now + 0.1, [READY, OTHER])
    assert not is_used(state, "w1", now + 0.2)


def test_late_record_is_replaced_by_what_another_coordinator_read():
    state = support.make_state()
    state.start(20.0)
    feed(state, events.WorkersRead, 20.0, [READY, OTHER])
    feed(state, events.WorkersFetched, 20.1, [DRAINING, OTHER], 0.3)
    assert not is_used(state, "w1", 20.2)


def test_late_record_does_not_replace_what_another_coordinator_read():
    state = support.make_state()
    state.start(20.0)
    feed(state, events.WorkersFetched, 20.0, [DRAINING, OTHER], 0.3)
    feed(state, events.WorkersRead, 20.1, [READY, OTHER])
    assert not is_used(state, "w1", 20.2)


def test_worker_that_restarted_is_used_again():
    state = make_coordinator()
    restarted = support.make_entry("w1", incarnation=2, sequence=1)
    feed(state, events.WorkersRead, 11.2, [restarted, OTHER])
    assert is_used(state, "w1", 11.3)


def test_worker_that_reappears_after_it_was_missing_is_used_again():
    state = support.make_state()
    state.start(10.0)
    feed(state, events.WorkersRead, 10.0, [READY, OTHER])
    feed(state, events.WorkersRead, 10.6, [OTHER])
    assert not is_used(state, "w1", 10.7)
    reappeared = support.make_entry("w1", sequence=6)
    feed(state, events.WorkersRead, 11.2, [reappeared, OTHER])
    assert is_used(state, "w1", 11.3)


def make_node():
    """Return a node that received no coordinator's list, with one peer."""
    state = support.make_state("n9", zone="zb")
    state.membership.add_candidate(support.make_member("n1"))
    state.start(10.0)
    return state


def make_grant(entry):
    return messages.Grant(
        "r1:1",
        entry.worker_id,
        entry.address,
        1.0,
        "n1",
        list(entry.version),
        9.0,
    )


def test_grant_of_a_worker_that_is_known_to_have_left_is_not_used():
    state = make_node()
    row = ["w1", *DRAINING.version]
    support.deliver_message(state, messages.DepartureNotice([row]), 10.5)
    out = support.deliver_message(state, make_grant(READY), 11.0, "10.0.0.1")
    (delivered,) = support.select_effects(out, effects.DeliverAnswer)
    assert delivered.message.reason == "stale"
    (sent,) = support.select_effects(out, effects.Send)
    assert (sent.ip, sent.message.rows) == ("10.0.0.1", [row])
    restarted = support.make_entry("w1", incarnation=2)
    out = support.deliver_message(
        state, make_grant(restarted), 11.1, "10.0.0.1"
    )
    (delivered,) = support.select_effects(out, effects.DeliverAnswer)
    assert delivered.message.worker_id == "w1"


def test_coordinator_with_an_old_list_applies_a_departure_notice():
    state = support.make_state()
    state.start(10.0)
    feed(state, events.WorkersRead, 10.0, [READY, OTHER])
    assert is_used(state, "w1", 10.1)
    message = messages.DepartureNotice([["w1", *DRAINING.version]])
    support.deliver_message(state, message, 10.2)
    assert not is_used(state, "w1", 10.3)


def test_heartbeat_answers_report_departures_to_the_nodes_of_the_zone():
    state = make_coordinator()
    other = support.make_state("n2")
    heartbeat = support.make_heartbeat(other)
    out = support.deliver_message(state, heartbeat, 10.8, "10.0.0.2")
    answers = [e.message for e in support.select_effects(out, effects.Send)]
    rows = [a.departures for a in answers if hasattr(a, "departures")]
    assert ["w1", *DRAINING.version] in rows[0]
    out = support.deliver_message(state, heartbeat, 30.0, "10.0.0.2")
    answers = [e.message for e in support.select_effects(out, effects.Send)]
    rows = [a.departures for a in answers if hasattr(a, "departures")]
    assert rows[0] == []


@pytest.mark.parametrize("seed", range(20))
def test_no_node_uses_a_worker_again_that_it_knew_had_left(seed):
    """Mixes network cuts, outages, late records and coordinator changes."""
    simulation = gateway_departure_simulation.DepartureSimulation(seed)
    simulation.run()
    assert simulation.grants_used > 200
    assert simulation.list_uses_of_known_departed() == []
    assert simulation.list_late_uses_of_connected(DRAIN_TIME_S) == []


@pytest.mark.parametrize("seed", range(20))
def test_no_node_uses_a_worker_that_was_removed(seed):
    # Guards against a removed worker that is listed again by its last
    # heartbeat, where one read of the store brings both.
    simulation = gateway_departure_simulation.RemovalSimulation(seed)
    simulation.run()
    assert simulation.grants_used > 200
    assert simulation.left_at
    assert simulation.list_late_uses_of_connected(DRAIN_TIME_S) == []


def test_departure_covers_an_entry_that_was_never_listed():
    # Another coordinator may have listed the entry that this one read
    # together with the removal.
    state = support.make_state()
    state.start(10.0)
    feed(state, events.WorkersRead, 10.0, [READY, OTHER])
    last = support.make_entry("w1", sequence=READY.sequence + 1)
    rows = [["w1", *last.version]]
    feed(state, events.WorkersRead, 10.6, [OTHER], rows)
    assert state.roster.is_departed("w1", last.version)
    assert rows == state.roster.list_recent_departures(10.7)
    other = support.make_state("n2")
    other.start(10.0)
    feed(other, events.WorkersFetched, 10.6, [last, OTHER], 0.1)
    assert is_used(other, "w1", 10.7)
    departed = state.roster.list_departed()
    feed(other, events.WorkersFetched, 10.8, [last, OTHER], 0.1, {}, departed)
    assert not is_used(other, "w1", 10.9)


def test_second_departure_of_a_run_is_reported_too():
    # An entry that expired in an outage is written again by the same run.
    state = support.make_state()
    state.start(10.0)
    feed(state, events.WorkersRead, 10.0, [READY, OTHER])
    rows = [["w1", *READY.version]]
    feed(state, events.WorkersRead, 10.6, [OTHER], rows)
    back = support.make_entry("w1", sequence=9)
    feed(state, events.WorkersRead, 20.0, [back, OTHER])
    rows = [["w1", *back.version]]
    feed(state, events.WorkersRead, 20.6, [OTHER], rows)
    assert rows == state.roster.list_recent_departures(20.7)
