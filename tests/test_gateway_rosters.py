"""Workers that left: what a node takes over, from whom, and never back."""

import pytest

from acaciafield.gateway import coordination
from acaciafield.gateway import effects
from acaciafield.gateway import events
from acaciafield.gateway import messages
from tests import gateway_departures
from tests import gateway_support as support

READY = support.make_entry("w1", sequence=4)
DRAINING = support.make_entry("w1", sequence=5, draining=True)
OTHER = support.make_entry("w2")
DRAIN_TIME = 2.5  # seconds within which nobody uses a worker that leaves


def feed(state, kind, *fields):
    return coordination.reduce_event(state, kind(*fields))


def is_used(state, worker_id, now):
    """Tell whether a coordinator gives a worker to an ask."""
    others = {"w1", "w2"} - {worker_id}
    request = support.make_ask("r@%s:1" % now, left=0.1, avoid=list(others))
    out = support.receive(state, request, now, "10.0.0.3")
    sent = [effect.message for effect in support.pick(out, effects.Send)]
    return any(isinstance(message, messages.Grant) for message in sent)


def make_coordinator():
    """Return a coordinator that read that w1 leaves."""
    state = support.make_state()
    state.start(10.0)
    feed(state, events.WorkersRead, 10.0, [READY, OTHER])
    assert is_used(state, "w1", 10.1)
    feed(state, events.WorkersRead, 10.6, [DRAINING, OTHER])
    assert not is_used(state, "w1", 10.7)
    return state


def test_late_record_is_not_believed_by_a_node_that_coordinates_again():
    state = make_coordinator()
    # It was on duty only as others asked it; another node answers it now.
    peer = support.make_member("n2", weight=9.0)
    feed(state, events.MembersRead, 11.0, [peer])
    candidate = state.view.contacts["n2"]
    for now in range(12, 22):
        candidate.record_answer(float(now))
        candidate.store_age = 0.1
        state.answered_at = float(now)
        feed(state, events.Tick, now + 0.1)
    assert not state.following
    now = 23.0
    is_used(state, "w1", now)
    feed(state, events.WorkersRead, now + 0.1, [READY, OTHER])
    assert not is_used(state, "w1", now + 0.2)


def test_late_record_yields_to_what_another_coordinator_read():
    state = support.make_state()
    state.start(20.0)
    feed(state, events.WorkersRead, 20.0, [READY, OTHER])
    feed(state, events.WorkersFetched, 20.1, [DRAINING, OTHER], 0.3)
    assert not is_used(state, "w1", 20.2)


def test_what_another_coordinator_read_outlasts_a_late_record():
    state = support.make_state()
    state.start(20.0)
    feed(state, events.WorkersFetched, 20.0, [DRAINING, OTHER], 0.3)
    feed(state, events.WorkersRead, 20.1, [READY, OTHER])
    assert not is_used(state, "w1", 20.2)


def test_worker_that_started_anew_is_used_again():
    state = make_coordinator()
    anew = support.make_entry("w1", born=2, sequence=1)
    feed(state, events.WorkersRead, 11.2, [anew, OTHER])
    assert is_used(state, "w1", 11.3)


def test_worker_that_writes_on_after_it_was_missing_is_used_again():
    state = support.make_state()
    state.start(10.0)
    feed(state, events.WorkersRead, 10.0, [READY, OTHER])
    feed(state, events.WorkersRead, 10.6, [OTHER])
    assert not is_used(state, "w1", 10.7)
    back = support.make_entry("w1", sequence=6)
    feed(state, events.WorkersRead, 11.2, [back, OTHER])
    assert is_used(state, "w1", 11.3)


def make_node():
    """Return a node that no coordinator's list reached, and its peer."""
    state = support.make_state("n9", zone="zb")
    state.view.add_candidate(support.make_member("n1"))
    state.start(10.0)
    return state


def grant_by(entry):
    return messages.Grant(
        "r1:1", entry.worker_id, entry.address, 1.0, "n1", list(entry.age), 9.0
    )


def test_grant_of_a_worker_that_is_known_to_have_left_is_not_used():
    state = make_node()
    row = ["w1", *DRAINING.age]
    support.receive(state, messages.DepartureNotice([row]), 10.5)
    out = support.receive(state, grant_by(READY), 11.0, "10.0.0.1")
    (delivered,) = support.pick(out, effects.Deliver)
    assert delivered.message.reason == "stale"
    (sent,) = support.pick(out, effects.Send)
    assert (sent.ip, sent.message.rows) == ("10.0.0.1", [row])
    anew = support.make_entry("w1", born=2)
    out = support.receive(state, grant_by(anew), 11.1, "10.0.0.1")
    (delivered,) = support.pick(out, effects.Deliver)
    assert delivered.message.worker_id == "w1"


def test_coordinator_with_an_old_list_learns_that_a_worker_left():
    state = support.make_state()
    state.start(10.0)
    feed(state, events.WorkersRead, 10.0, [READY, OTHER])
    assert is_used(state, "w1", 10.1)
    message = messages.DepartureNotice([["w1", *DRAINING.age]])
    support.receive(state, message, 10.2)
    assert not is_used(state, "w1", 10.3)


def test_heartbeats_tell_every_node_of_the_zone_who_left():
    state = make_coordinator()
    other = support.make_state("n2")
    heartbeat = support.make_heartbeat(other)
    out = support.receive(state, heartbeat, 10.8, "10.0.0.2")
    answers = [e.message for e in support.pick(out, effects.Send)]
    rows = [a.departed for a in answers if hasattr(a, "departed")]
    assert ["w1", *DRAINING.age] in rows[0]
    out = support.receive(state, heartbeat, 30.0, "10.0.0.2")
    answers = [e.message for e in support.pick(out, effects.Send)]
    rows = [a.departed for a in answers if hasattr(a, "departed")]
    assert rows[0] == []


@pytest.mark.parametrize("seed", range(20))
def test_no_node_uses_a_worker_again_that_it_knew_had_left(seed):
    """Cuts, outages, late records and changes of coordinators, mixed."""
    play = gateway_departures.DeparturePlay(seed)
    play.run()
    assert play.grants_used > 200
    assert play.list_uses_of_known_departed() == []
    assert play.list_late_uses_in_touch(DRAIN_TIME) == []
