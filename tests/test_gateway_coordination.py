"""The choice of coordinators, and coordination without the store."""

from acaciafield.gateway import coordination
from acaciafield.gateway import effects
from acaciafield.gateway import events
from acaciafield.gateway import messages
from tests import gateway_support as support


def make_answer(name, **fields):
    values = {
        "name": name,
        "incarnation": 1,
        "config_version": 0,
        "store_age": 0.1,
        "is_store_reachable": True,
        "leaving": False,
        "digest": "",
        "members": None,
    }
    return messages.HeartbeatAnswer(**(values | fields))


def test_new_coordinator_fetches_workers_from_another_coordinator():
    state = support.make_state("n1")
    other = support.make_member("n2", zone="zb")
    state.membership.add_candidate(other)
    state.start(10.0)
    coordination.reduce_event(state, events.Tick(10.0))
    support.deliver_message(state, make_answer("n2", store_age=5.0), 10.1)
    out = support.deliver_message(
        state, support.make_grant_request(), 10.2, sender="10.0.0.3"
    )
    fetches = support.select_effects(out, effects.FetchWorkers)
    assert [fetch.ip for fetch in fetches] == [other.ip]


def test_workers_of_another_coordinator_are_used_until_the_store_answers():
    state = support.make_state("n1")
    state.start(10.0)
    entries = [support.make_entry("w1")]
    coordination.reduce_event(state, events.WorkersFetched(10.0, entries, 4.0))
    out = support.deliver_message(state, support.make_grant_request(), 10.1)
    sent = support.select_effects(out, effects.Send)
    assert isinstance(sent[0].message, messages.Grant)
    assert state.get_store_age(10.1) > 4.0
    newer = [support.make_entry("w2")]
    coordination.reduce_event(state, events.WorkersRead(10.2, newer))
    coordination.reduce_event(state, events.WorkersFetched(10.3, entries, 4.0))
    assert [e.worker_id for e in state.entries_by_service["orders"]] == ["w2"]


def test_candidate_without_workers_ranks_below_one_with_a_list():
    state = support.make_state("n9", zone="zz")
    for name in ("n1", "n2"):
        state.membership.add_candidate(support.make_member(name))
    first, second = state.membership.list_candidates("za")
    for candidate, age in ((first, None), (second, 30.0)):
        candidate.last_answer_at = 1.0
        candidate.store_age = age
    assert state.membership.find_coordinator("za", 1.1) is second


def test_leaving_node_is_not_chosen_as_coordinator():
    state = support.make_state("n9", zone="zz")
    for name in ("n1", "n2"):
        state.membership.add_candidate(support.make_member(name))
    first, second = state.membership.list_candidates("za")
    support.deliver_message(
        state, make_answer(first.member.name, leaving=True), 1.0
    )
    support.deliver_message(state, make_answer(second.member.name), 1.0)
    assert state.membership.find_coordinator("za", 1.1) is second


def test_candidate_that_is_sent_no_heartbeats_is_not_unresponsive():
    state = support.make_state("n9", zone="zz")
    state.membership.add_candidate(support.make_member("n1"))
    candidate = state.membership.list_candidates("za")[0]
    candidate.record_heartbeat_sent(1.0)
    candidate.record_answer(1.01)
    assert not candidate.is_unresponsive(20.0)
    candidate.record_heartbeat_sent(20.0)
    assert not candidate.is_unresponsive(21.0)
    assert candidate.is_unresponsive(21.5)
    candidate.record_heartbeat_sent(22.0)
    candidate.record_answer(22.1)
    assert not candidate.is_unresponsive(22.2)


def test_store_outage_does_not_make_every_candidate_coordinate():
    state = support.make_state("n9", zone="zz")
    for number in range(1, 9):
        state.membership.add_candidate(support.make_member("n%d" % number))
    chosen = state.membership.list_candidates("za")[0]
    heartbeat_targets, now = set(), 1.0
    while now < 3.9:
        for candidate in state.membership.list_heartbeat_targets(now):
            if candidate.member.zone == "za":
                candidate.record_heartbeat_sent(now)
                heartbeat_targets.add(candidate.member.name)
        chosen.record_answer(now)
        chosen.store_age = 30.0
        assert state.membership.find_coordinator("za", now) is chosen
        now += 0.5
    assert chosen.member.name in heartbeat_targets
    assert len(heartbeat_targets) <= 8 - 1


def test_unknown_candidate_is_probed_while_the_known_one_is_stale():
    state = support.make_state("n9", zone="zz")
    for name in ("n1", "n2"):
        state.membership.add_candidate(support.make_member(name))
    first, second = state.membership.list_candidates("za")
    first.record_answer(1.0)
    first.store_age = 30.0
    assert state.membership.find_coordinator("za", 1.1) is first
    targets = state.membership.list_heartbeat_targets(1.1)
    assert second in targets
    second.record_answer(1.2)
    second.store_age = 0.2
    assert state.membership.find_coordinator("za", 1.3) is second


def test_candidate_that_answered_long_ago_is_not_fresh():
    state = support.make_state("n9", zone="zz")
    for name in ("n1", "n2"):
        state.membership.add_candidate(support.make_member(name))
    first, second = state.membership.list_candidates("za")
    first.record_answer(1.0)
    first.store_age = 0.1
    second.record_answer(30.0)
    second.store_age = 20.0
    assert state.membership.find_coordinator("za", 30.1) is second


def test_new_coordinator_loads_the_state_of_workers_and_requests():
    old = support.make_state("n1")
    old.start(10.0)
    entries = [support.make_entry("w%d" % n, slots=4) for n in (1, 2)]
    coordination.reduce_event(old, events.WorkersRead(10.0, entries))
    support.deliver_message(
        old, support.make_grant_request("r1:1", time_left=5.0), 10.1
    )
    in_flight = next(iter(old.schedulers["orders"].in_flight.values()))
    failed_worker = in_flight.worker.entry.worker_id
    support.deliver_message(
        old, support.make_grant_request("r2:1", time_left=5.0), 10.1
    )
    report = support.make_report("r1:1", failed_worker, "failed")
    support.deliver_message(old, report, 10.2)
    new = support.make_state("n2")
    new.start(110.0)
    document = old.dump_schedulers(10.3)
    coordination.reduce_event(
        new, events.WorkersFetched(110.0, entries, 0.3, document)
    )
    scheduler = new.schedulers["orders"]
    assert scheduler.workers[failed_worker].estimate_risk(110.0) > 0.5
    assert list(scheduler.in_flight) == ["r2:1"]
    out = support.deliver_message(
        new, support.make_grant_request("r3:1", idempotent=False), 110.0
    )
    grant = support.select_effects(out, effects.Send)[0].message
    assert grant.worker_id != failed_worker


def test_node_without_coordinators_is_not_ready_until_it_has_workers():
    state = support.make_state("n1")
    state.start(10.0)
    state.is_ready = True
    assert state.is_serving(11.0)
    assert not state.is_serving(13.0)
    entries = [support.make_entry("w1")]
    coordination.reduce_event(state, events.WorkersRead(13.1, entries))
    assert state.is_serving(13.2)
    coordination.reduce_event(state, events.StopRequested(14.0))
    assert not state.is_serving(14.0)


def test_best_candidate_chooses_itself_beside_a_fresh_one():
    names = ["n%d" % number for number in range(1, 6)]
    probe = support.make_state("n9", zone="zz")
    for name in names:
        probe.membership.add_candidate(support.make_member(name))
    ranked = [c.member.name for c in probe.membership.list_candidates("za")]
    state = support.make_state(ranked[0])
    for name in names:
        if name != ranked[0]:
            state.membership.add_candidate(support.make_member(name))
    other = state.membership.candidates[ranked[2]]
    other.record_answer(10.0)
    other.store_age = 0.1
    state.start(10.0)
    coordination.reduce_event(state, events.Tick(10.1))
    state.store_read_at, state.entries_by_service = 10.2, {}
    for now in (10.7, 11.3, 11.9):
        other.record_answer(now)
        coordination.reduce_event(state, events.Tick(now))
    chosen = state.membership.find_coordinator("za", 11.95)
    assert chosen.member.name == ranked[0]


def test_coordinator_that_loses_the_store_notifies_its_members_at_once():
    state = support.make_state("n1")
    state.start(10.0)
    coordination.reduce_event(state, events.WorkersRead(10.0, []))
    heartbeat = support.make_heartbeat(support.make_state("n2"))
    support.deliver_message(state, heartbeat, 10.1, sender="10.0.0.2")
    out = coordination.reduce_event(state, events.StoreFailed(10.2))
    sent = support.select_effects(out, effects.Send)
    assert [(s.ip, s.message.is_store_reachable) for s in sent] == [
        ("10.0.0.2", False)
    ]
    out = coordination.reduce_event(state, events.StoreFailed(10.3))
    assert not support.select_effects(out, effects.Send)


def test_another_candidate_is_probed_once_one_loses_the_store():
    state = support.make_state("n9", zone="zz")
    for name in ("n1", "n2"):
        state.membership.add_candidate(support.make_member(name))
    first, second = state.membership.list_candidates("za")
    support.deliver_message(state, make_answer(first.member.name), 1.0)
    assert second not in state.membership.list_heartbeat_targets(1.1)
    lost = make_answer(first.member.name, is_store_reachable=False)
    support.deliver_message(state, lost, 1.2)
    assert second in state.membership.list_heartbeat_targets(1.3)
    support.deliver_message(state, make_answer(second.member.name), 1.35)
    assert state.membership.find_coordinator("za", 1.4) is second


def count_granted_retries(name, fleet):
    """Send requests to a node that just started; return granted retries."""
    state = support.make_state(name)
    state.start(0.0)
    members = [support.make_member(other) for other in fleet]
    coordination.reduce_event(state, events.MembersRead(0.0, members))
    workers = [support.make_entry("w%d" % n, slots=9) for n in range(1, 9)]
    coordination.reduce_event(state, events.WorkersRead(0.0, workers))
    granted = 0
    for number in range(8):
        request = support.make_grant_request(
            "%s-%d:1" % (name, number), retry_count=number % 2
        )
        out = support.deliver_message(state, request, 0.5, "10.0.0.9")
        sent = support.select_effects(out, effects.Send)
        granted += request.retry_count * any(
            isinstance(effect.message, messages.Grant) for effect in sent
        )
    return granted


def test_nodes_that_start_together_share_one_retry_budget():
    fleet = ["n%d" % number for number in range(1, 49)]
    granted = sum(count_granted_retries(name, fleet) for name in fleet)
    firsts = 4 * len(fleet)
    assert granted <= support.TERMS.ratio * firsts + support.TERMS.slack


def test_new_coordinator_continues_with_the_retry_budget_of_another():
    first = support.make_scheduler(4, slots=90)
    for number in range(60):
        first.decide(support.make_grant_request("f%d:1" % number), "", 1.0)
        repeat = support.make_grant_request("r%d:1" % number, retry_count=1)
        first.decide(repeat, "", 1.0)
    second = support.make_scheduler(4, slots=90)
    second.load(first.dump(2.0), 102.0)
    answer = second.decide(
        support.make_grant_request("x:1", retry_count=1), "", 102.1
    )
    assert answer.reason == "budget"


def test_node_that_has_not_started_is_not_ready():
    state = support.make_state()
    state.is_ready = True
    assert not state.is_serving(1.0)


def test_start_of_a_large_fleet_sends_few_lists_of_members():
    state = support.make_state("n1", weight=2.0)
    state.start(0.0)
    count = 60
    lists = 0
    for number in range(2, count + 2):
        joining = support.make_state("n%d" % number)
        heartbeat = support.make_heartbeat(joining)
        out = support.deliver_message(state, heartbeat, 0.1 + number * 0.005)
        lists += sum(
            1
            for effect in support.select_effects(out, effects.Send)
            if getattr(effect.message, "members", None) is not None
        )
    assert lists <= 4 * count
