"""The floor: what a scheduler measures, logs and maintains."""

from acaciafield.gateway import coordination
from acaciafield.gateway import effects
from acaciafield.gateway import events
from acaciafield.gateway import floors
from tests import gateway_support as support


def make_coordinator(count, **fields):
    """Return a coordinator's state with ``count`` workers, at 10 s."""
    state = support.make_state()
    state.start(10.0)
    entries = [
        support.make_entry("w%d" % number, **fields)
        for number in range(1, count + 1)
    ]
    coordination.reduce_event(state, events.WorkersRead(10.0, entries))
    request_grant(state, 0, 10.0)
    return state


def request_grant(state, number, now, **fields):
    message = support.make_grant_request("r%d:1" % number, **fields)
    return support.deliver_message(state, message, now)


def tick(state, now):
    """Advance the time to ``now``; return the logged fields by kind."""
    out = coordination.reduce_event(state, events.Tick(now))
    logged = support.select_effects(out, effects.LogDecision)
    return {decision.kind: decision.fields for decision in logged}


def test_worker_counts_as_healthy_again_when_its_failure_is_past():
    scheduler = support.make_scheduler(3, now=10.0)
    scheduler.workers["w1"].record_failure(10.5)
    workers, latencies = scheduler.workers.values(), scheduler.latencies
    usage = floors.measure_usage(workers, latencies, 12.4)
    assert usage.healthy == 2
    usage = floors.measure_usage(workers, latencies, 12.6)
    assert usage.healthy == 3
    assert usage.share == 0.0
    assert usage.idle[-1].entry.worker_id == "w1"


def test_draining_worker_is_not_counted():
    scheduler = support.make_scheduler(2, now=10.0, draining=True)
    usage = floors.measure_usage(scheduler.workers.values(), {}, 13.0)
    assert (usage.healthy, usage.share) == (0, 1.0)


def test_share_below_the_floor_is_logged_with_what_keeps_workers_idle():
    state = make_coordinator(6)
    scheduler = state.get_scheduler("orders")
    request_grant(state, 1, 13.0, idempotent=False)
    scheduler.workers["w6"].risk = 0.6
    scheduler.workers["w6"].risk_at = 13.0
    fields = tick(state, 13.2)["floor"]
    assert fields["service"] == "orders"
    assert (fields["sound"], fields["floor"]) == (6, 0.7)
    assert fields["share"] < 0.7
    worker_id, risk, idle_time = fields["rested"][-1]
    assert (worker_id, idle_time) == ("w6", 3.2)
    assert risk > 0.5
    assert "budget_used" in fields


def test_restored_floor_is_logged():
    state = make_coordinator(2)
    request_grant(state, 1, 13.0)
    assert "floor" in tick(state, 13.2)
    request_grant(state, 2, 13.6)
    assert tick(state, 13.8)["floor-held"]["share"] == 1.0
    assert "floor-held" not in tick(state, 14.4)


def test_scheduler_without_requests_does_not_check_the_floor():
    state = make_coordinator(2)
    assert not {"floor", "floor-held"} & set(tick(state, 12.9))
    assert state.measure_used_shares(12.9) == {}


def test_used_share_is_reported_for_each_service_with_requests():
    state = make_coordinator(2)
    request_grant(state, 1, 13.0)
    assert state.measure_used_shares(13.1) == {"orders": 0.5}


def mark_all_granted(scheduler, now, except_for=()):
    """Set the time of the last grant of all workers but some."""
    for name, worker in scheduler.workers.items():
        if name not in except_for:
            worker.granted_at = now


def decide(scheduler, attempt_id, now, **fields):
    return scheduler.decide(
        support.make_grant_request(attempt_id, **fields), "", now
    )


def test_order_goes_to_the_least_risky_worker_where_the_floor_requires_it():
    scheduler = support.make_scheduler(10, now=10.0, slots=6)
    failing = ("w1", "w2", "w3", "w4")
    for name in failing:
        scheduler.workers[name].record_failure(11.0)
    scheduler.workers["w3"].record_failure(11.0)
    mark_all_granted(scheduler, 12.8, except_for=failing)
    names = [
        decide(scheduler, "r%d:1" % n, 13.0, idempotent=False).worker_id
        for n in range(6)
    ]
    assert len({"w1", "w2", "w4"} & set(names)) == 2
    assert "w3" not in names


def test_second_attempt_is_not_used_to_keep_the_floor():
    scheduler = support.make_scheduler(3, now=10.0, slots=6)
    scheduler.workers["w1"].record_failure(11.0)
    mark_all_granted(scheduler, 12.8, except_for=("w1",))
    answer = decide(
        scheduler,
        "r1:2",
        13.0,
        retry_count=1,
        is_last_attempt=True,
        avoided_workers=["w2"],
    )
    assert answer.worker_id == "w3"


def test_worker_that_two_nodes_cannot_reach_gets_no_order():
    scheduler = support.make_scheduler(3, now=10.0, slots=6)
    for node in ("n1", "n2"):
        scheduler.workers["w1"].record_connect_failure(node, 11.0)
    mark_all_granted(scheduler, 12.8, except_for=("w1",))
    answer = decide(scheduler, "r1:1", 13.0, idempotent=False, node="n3")
    assert answer.worker_id != "w1"


def test_draining_worker_is_not_used_to_keep_the_floor():
    scheduler = support.make_scheduler(2, now=10.0, slots=6)
    scheduler.workers["w1"].entry.draining = True
    mark_all_granted(scheduler, 12.8, except_for=("w1",))
    assert decide(scheduler, "r1:1", 13.0).worker_id == "w2"


def test_changed_floor_of_the_settings_is_applied():
    state = make_coordinator(4)
    terms = support.TERMS
    state.apply_terms(type(terms)(terms.ratio, terms.slack, 10.0, 0.2))
    assert state.schedulers["orders"].floor == 0.2


def test_worker_that_joined_is_due_before_it_ever_got_work():
    scheduler = support.make_scheduler(6, now=10.0, slots=6)
    mark_all_granted(scheduler, 12.9)
    names = ["w7", "w8", "w9", "w10"]
    known = [worker.entry for worker in scheduler.workers.values()]
    joining = [support.make_entry(n, slots=6, warm_up=3.0) for n in names]
    scheduler.update_entries([*known, *joining], 13.0)
    granted = [
        decide(scheduler, "r%d:1" % n, 13.1, idempotent=False).worker_id
        for n in range(6)
    ]
    assert len(set(granted) & set(names)) == 2


def test_worker_that_is_no_longer_listed_gets_no_request():
    scheduler = support.make_scheduler(4, now=10.0, slots=6)
    mark_all_granted(scheduler, 12.8, except_for=("w1", "w2"))
    decide(scheduler, "r1:1", 13.0, avoided_workers=["w1", "w2"])
    remaining = [scheduler.workers[name].entry for name in ("w3", "w4")]
    scheduler.update_entries(remaining, 13.01)
    answer = decide(scheduler, "r2:1", 13.02)
    assert answer.worker_id in ("w3", "w4")


def test_orders_use_idle_workers_while_many_requests_are_not_served():
    """Guards against a part of the workers that stays below the floor.

    Two of eight hunted days broke the floor: quotas refused a tenth of the
    requests while orders went to few, lately proven workers.
    """
    scheduler = support.make_scheduler(4)
    scheduler.onset_rate = FixedRate()
    assert scheduler._find_onset_rate(1.0) == FixedRate.RATE
    for number in range(10):
        scheduler.apply_report(
            support.make_report("a%d:1" % number, "w1"), 1.0
        )
    scheduler.record_unserved(1.0)
    scheduler.record_unserved(1.0)
    assert scheduler._find_onset_rate(1.0) == 0.0
    assert scheduler._find_onset_rate(9.0) == 0.0
    scheduler.recent_results.add(1, 30.0)
    assert scheduler._find_onset_rate(30.0) == FixedRate.RATE


class FixedRate:
    """Stands for a measured rate of onsets."""

    RATE = 0.03

    def measure_rate(self):
        """Return the rate."""
        return self.RATE

    def advance(self, worker_count, now):
        """Ignore the time."""
