"""The scheduler: placement, queue and refusals under load and faults."""

import heapq
import random

import pytest

from acaciafield.gateway import budgets
from acaciafield.gateway import coordination
from acaciafield.gateway import effects
from acaciafield.gateway import events
from acaciafield.gateway import messages
from acaciafield.gateway import scheduling
from tests import gateway_support as support


def grant(scheduler, attempt_id, now, **fields):
    return scheduler.decide(
        support.make_grant_request(attempt_id, **fields), "", now
    )


def report_ending(scheduler, attempt_id, worker_id, now, ending="failed"):
    scheduler.apply_report(
        support.make_report(attempt_id, worker_id, ending), now
    )


def train_latency(scheduler, now, latency=0.1):
    """Report enough answers for the scheduler to know the latency."""
    for number in range(20):
        attempt_id = "teach%d:1" % number
        granted = grant(scheduler, attempt_id, now)
        report = support.make_report(
            attempt_id, granted.worker_id, latency=latency
        )
        scheduler.apply_report(report, now)


def test_order_waits_for_a_healthy_worker_while_only_a_risky_one_is_free():
    scheduler = support.make_scheduler(2, slots=1)
    train_latency(scheduler, 0.0)
    first = grant(scheduler, "a:1", 1.0, idempotent=False)
    report_ending(scheduler, "a:1", first.worker_id, 1.0)
    second = grant(scheduler, "b:1", 1.1, idempotent=False)
    assert second.worker_id != first.worker_id
    waiting = grant(scheduler, "c:1", 1.15, idempotent=False)
    assert isinstance(waiting, messages.GrantQueued)
    scheduler.apply_report(support.make_report("b:1", second.worker_id), 1.2)
    ((_, _, answer),) = scheduler.dispatch(1.2)
    assert answer.worker_id == second.worker_id


def test_order_takes_a_risky_worker_before_its_wait_is_over():
    scheduler = support.make_scheduler(2, slots=1)
    train_latency(scheduler, 0.0)
    first = grant(scheduler, "a:1", 1.0, idempotent=False)
    report_ending(scheduler, "a:1", first.worker_id, 1.0)
    grant(scheduler, "b:1", 1.1, idempotent=False)
    grant(scheduler, "c:1", 1.15, idempotent=False)
    answers = []
    now = 1.15
    while not answers and now < 5.0:
        now += 0.02
        answers = scheduler.dispatch(now)
    assert answers[0][2].worker_id == first.worker_id
    assert now < 1.15 + 0.5


def test_long_request_beside_good_answers_is_not_taken_for_a_hang():
    scheduler = support.make_scheduler(1, slots=6)
    train_latency(scheduler, 0.0)
    grant(scheduler, "long:1", 1.0)
    for number in range(8):
        now = 1.0 + number * 0.1
        granted = grant(scheduler, "s%d:1" % number, now)
        report = support.make_report("s%d:1" % number, granted.worker_id)
        scheduler.apply_report(report, now + 0.1)
    worker = scheduler.workers["w1"]
    assert worker.estimate_hang_risk(scheduler.latencies, 1.9) < 0.2


def test_worker_that_answers_nothing_is_taken_for_hanging():
    scheduler = support.make_scheduler(1, slots=6)
    train_latency(scheduler, 0.0)
    for number in range(3):
        grant(scheduler, "h%d:1" % number, 1.0 + number * 0.1)
    worker = scheduler.workers["w1"]
    assert worker.estimate_hang_risk(scheduler.latencies, 1.9) > 0.5


def crash(scheduler, number, now, worker_id="w1"):
    report = support.make_report(
        "c%d:1" % number, worker_id, "reset", fingerprint="bad"
    )
    scheduler.apply_report(report, now)


def request_suspect(scheduler, number, now):
    return grant(scheduler, "c%d:1" % number, now, fingerprint="bad")


def test_request_that_crashed_three_workers_among_others_is_refused():
    scheduler = support.make_scheduler(1, slots=8)
    for number in range(3):
        now = float(number)
        granted = request_suspect(scheduler, number, now)
        assert isinstance(granted, messages.Grant)
        scheduler.decide(
            support.make_grant_request("beside%d:1" % number, time_left=60.0),
            "",
            now,
        )
        crash(scheduler, number, now + 0.1, granted.worker_id)
    assert request_suspect(scheduler, 9, 4.0).reason == "quarantined"


def test_quarantined_request_is_retried_ever_more_rarely():
    scheduler = support.make_scheduler(4, slots=4)
    passed, now = 0, 0.0
    while now < 120.0:
        answer = request_suspect(scheduler, int(now * 10), now)
        if isinstance(answer, messages.Grant):
            passed += 1
            crash(scheduler, int(now * 10), now + 0.05, answer.worker_id)
        now += 0.5
    assert passed <= 2 + 3


def test_harmless_request_is_not_refused_for_long():
    scheduler = support.make_scheduler(4, slots=4)
    for number in range(2):
        granted = request_suspect(scheduler, number, 1.0)
        crash(scheduler, number, 1.1, granted.worker_id)
    assert request_suspect(scheduler, 8, 2.0).reason == "quarantined"
    granted = request_suspect(scheduler, 9, 25.0)
    report = support.make_report("c9:1", granted.worker_id, fingerprint="bad")
    scheduler.apply_report(report, 25.1)
    assert isinstance(request_suspect(scheduler, 10, 25.2), messages.Grant)


def test_request_is_not_refused_while_a_risky_worker_is_free():
    scheduler = support.make_scheduler(3, slots=1)
    train_latency(scheduler, 0.0)
    for number in range(3):
        granted = grant(scheduler, "f%d:1" % number, 1.0)
        report_ending(scheduler, "f%d:1" % number, granted.worker_id, 1.0)
    answers = [
        grant(scheduler, "o%d:1" % number, 1.1, idempotent=False, target=0.4)
        for number in range(40)
    ]
    kinds = [type(answer) for answer in answers]
    assert kinds.count(messages.Grant) == 3
    assert messages.GrantRefusal in kinds


def test_in_flight_requests_that_a_worker_no_longer_runs_are_dropped():
    scheduler = support.make_scheduler(1, slots=4)
    train_latency(scheduler, 0.0)
    for number in range(3):
        grant(scheduler, "lost%d:1" % number, 1.0, time_left=30.0)
    grant(scheduler, "a:1", 1.2)
    report = support.make_report("a:1", "w1", load=[1, 0, 4])
    scheduler.apply_report(report, 1.5)
    assert len(scheduler.workers["w1"].in_flight) <= 1
    assert len(scheduler.in_flight) <= 1


def test_request_granted_just_now_is_kept_whatever_the_load_says():
    scheduler = support.make_scheduler(1, slots=4)
    train_latency(scheduler, 0.0)
    grant(scheduler, "a:1", 1.0)
    grant(scheduler, "b:1", 1.09)
    report = support.make_report("a:1", "w1", load=[1, 0, 4])
    scheduler.apply_report(report, 1.1)
    assert list(scheduler.workers["w1"].in_flight) == ["b:1"]


def test_worker_that_refuses_while_idle_gets_no_backoff():
    scheduler = support.make_scheduler(1, slots=4)
    granted = grant(scheduler, "a:1", 1.0)
    report = support.make_report(
        "a:1", granted.worker_id, "shed", load=[0, 0, 4]
    )
    scheduler.apply_report(report, 1.01)
    assert isinstance(grant(scheduler, "b:1", 1.02), messages.Grant)


def test_worker_that_refuses_because_it_is_full_gets_a_short_backoff():
    scheduler = support.make_scheduler(1, slots=4)
    granted = grant(scheduler, "a:1", 1.0)
    report = support.make_report(
        "a:1", granted.worker_id, "shed", load=[4, 2, 4]
    )
    scheduler.apply_report(report, 1.01)
    assert not isinstance(grant(scheduler, "b:1", 1.02), messages.Grant)


def test_backoff_grows_while_connections_keep_failing():
    scheduler = support.make_scheduler(1, slots=4)
    worker = scheduler.workers["w1"]
    backoffs, now = [], 1.0
    for _ in range(3):
        worker.record_connect_failure("n1", now)
        start = now
        while worker.has_connect_backoff("n1", now):
            now += 0.1
        backoffs.append(now - start)
    assert backoffs[0] < 3.5
    assert backoffs[1] > 1.8 * backoffs[0]
    assert backoffs[2] > 1.8 * backoffs[1]
    worker.clear_connect_failure("n1")
    worker.record_connect_failure("n1", now)
    assert not worker.has_connect_backoff("n1", now + 3.5)


def test_dispatch_of_a_long_queue_tries_no_more_than_of_a_short_one(
    monkeypatch,
):
    scheduler = support.make_scheduler(2, slots=1)
    train_latency(scheduler, 0.0, latency=0.001)
    for number in range(2):
        grant(scheduler, "run%d:1" % number, 1.0)
    for number in range(300):
        grant(scheduler, "q%d:1" % number, 1.0, target=30.0, time_left=60.0)
    assert len(scheduler.queue) > 100
    choices = []
    monkeypatch.setattr(
        scheduling.Scheduler,
        "choose_worker",
        lambda self, request, now, max_risk=1.0: choices.append(request),
    )
    scheduler.dispatch(1.1)
    assert len(choices) <= 10


def test_scarce_retry_budget_goes_to_the_most_urgent_requests():
    scheduler = support.make_scheduler(20, slots=4)
    granted = {1: 0, 2: 0}
    refused = {1: 0, 2: 0}
    for number in range(2000):
        now = number * 0.01
        priority = 1 + number % 2
        for attempt in (1, 2):
            attempt_id = "s%d:%d" % (number, attempt)
            answer = grant(
                scheduler,
                attempt_id,
                now,
                priority=priority,
                retry_count=attempt - 1,
            )
            if isinstance(answer, messages.GrantRefusal):
                refused[priority] += 1
                continue
            granted[priority] += attempt - 1
            report = support.make_report(attempt_id, answer.worker_id)
            scheduler.apply_report(report, now)
    assert refused[1] and refused[2]
    assert granted[1] > 2 * granted[2]


def test_whole_budget_serves_a_single_priority():
    scheduler = support.make_scheduler(4)
    less_urgent = support.make_grant_request("b:1", priority=2)
    scheduler.decide(support.make_grant_request("a:1", priority=2), "", 0.0)
    assert scheduler._find_budget_share(less_urgent, 0.0) == 1.0
    scheduler.decide(support.make_grant_request("c:1", priority=1), "", 0.0)
    assert scheduler._find_budget_share(less_urgent, 0.0) < 1.0
    assert scheduler._find_budget_share(less_urgent, 100.0) == 1.0


def test_few_more_urgent_requests_reserve_little_of_the_budget():
    """Each request is repeated once; one in fifty is more urgent."""
    scheduler = support.make_scheduler(20, slots=90)
    retries = 0
    for number in range(1000):
        now = number * 0.01
        priority = 0 if number % 50 == 0 else 1
        for attempt in (1, 2):
            attempt_id = "s%d:%d" % (number, attempt)
            answer = grant(
                scheduler,
                attempt_id,
                now,
                priority=priority,
                retry_count=attempt - 1,
            )
            if isinstance(answer, messages.Grant):
                retries += attempt - 1
    terms = support.TERMS
    allowed = budgets.SAFETY_SHARE * (terms.ratio * 1000 + terms.slack)
    assert retries >= 0.95 * allowed


def test_idle_worker_gets_work_though_others_are_idle_too():
    scheduler = support.make_scheduler(6, slots=6)
    train_latency(scheduler, 0.0)
    scheduler.workers["w1"].record_failure(1.0)
    now, given = 1.0, set()
    while now < 8.0:
        now += 0.05
        attempt_id = "o%d:1" % int(now * 100)
        granted = grant(scheduler, attempt_id, now, idempotent=False)
        given.add(granted.worker_id)
        report = support.make_report(attempt_id, granted.worker_id)
        scheduler.apply_report(report, now + 0.04)
    assert "w1" in given


def test_hanging_worker_gets_no_request_while_others_are_idle():
    scheduler = support.make_scheduler(6, slots=6)
    train_latency(scheduler, 0.0)
    hung = messages.GrantNotice("orders", "h:1", "n1", "w1", "r", 60.0, 0, "f")
    scheduler.record_remote_grant(hung, 0.5)
    now = 1.0
    while now < 8.0:
        now += 0.05
        attempt_id = "o%d:1" % int(now * 100)
        granted = grant(scheduler, attempt_id, now, idempotent=False)
        assert granted.worker_id != "w1"
        report = support.make_report(attempt_id, granted.worker_id)
        scheduler.apply_report(report, now + 0.04)


def test_worker_that_keeps_failing_is_retried_within_the_floor_window():
    """The floor counts a worker as healthy 2 s after its last failure."""
    scheduler = support.make_scheduler(4, slots=4)
    train_latency(scheduler, 0.0)
    bad, tried, now = "w1", [], 1.0
    for number in range(2000):
        now += 0.01
        granted = grant(scheduler, "q%d:1" % number, now)
        failed = granted.worker_id == bad
        if failed:
            tried.append(now)
        ending = "failed" if failed else "answered"
        report_ending(
            scheduler, granted.attempt_id, granted.worker_id, now, ending
        )
    intervals = [b - a for a, b in zip(tried, tried[1:])]
    assert len(tried) > 6
    assert max(intervals) < 2.0


def test_queued_request_is_refused_once_it_is_known_to_crash():
    scheduler = support.make_scheduler(3, slots=1)
    running = [request_suspect(scheduler, number, 1.0) for number in range(3)]
    assert isinstance(request_suspect(scheduler, 3, 1.0), messages.GrantQueued)
    for number, granted in enumerate(running):
        crash(scheduler, number, 1.1, granted.worker_id)
    answers = [answer for _, _, answer in scheduler.dispatch(1.2)]
    assert [answer.reason for answer in answers] == ["quarantined"]


def test_request_sent_again_is_refused_once_it_is_known_to_crash():
    scheduler = support.make_scheduler(4, slots=1)
    granted = [request_suspect(scheduler, number, 1.0) for number in range(3)]
    for number in (1, 2):
        crash(scheduler, number, 1.1, granted[number].worker_id)
    assert request_suspect(scheduler, 0, 1.2).reason == "quarantined"


def test_suspect_request_runs_at_one_worker_at_a_time():
    scheduler = support.make_scheduler(4, slots=4)
    crash(scheduler, 0, 1.0, request_suspect(scheduler, 0, 0.9).worker_id)
    granted = request_suspect(scheduler, 1, 1.1)
    assert isinstance(granted, messages.Grant)
    assert isinstance(request_suspect(scheduler, 2, 1.1), messages.GrantQueued)
    for number in range(8):
        assert isinstance(
            grant(scheduler, "o%d:1" % number, 1.2), messages.Grant
        )
    report = support.make_report("c1:1", granted.worker_id, fingerprint="bad")
    scheduler.apply_report(report, 1.3)
    assert [
        request.attempt_id for _, request, _ in scheduler.dispatch(1.3)
    ] == ["c2:1"]


def test_answer_from_before_a_crash_that_is_reported_late_proves_nothing():
    scheduler = support.make_scheduler(1, slots=4)
    before = grant(scheduler, "o1:1", 0.9)
    crash(scheduler, 0, 1.2, request_suspect(scheduler, 0, 1.0).worker_id)
    report = support.make_report("o1:1", before.worker_id, latency=0.1)
    scheduler.apply_report(report, 1.6)
    assert scheduler.crashes.is_suspect("bad", 1.7)


def test_answer_after_a_crash_that_was_reported_late_proves_nothing():
    scheduler = support.make_scheduler(1, slots=4)
    bad = request_suspect(scheduler, 0, 1.0)
    later = grant(scheduler, "o1:1", 5.0)
    crash(scheduler, 0, 5.05, bad.worker_id)
    report = support.make_report("o1:1", later.worker_id, latency=0.2)
    scheduler.apply_report(report, 5.2)
    assert scheduler.crashes.is_suspect("bad", 5.3)


def test_worker_that_answers_across_a_reset_did_not_crash():
    scheduler = support.make_scheduler(1, slots=4)
    bad, beside = request_suspect(scheduler, 0, 1.0), grant(
        scheduler, "o1:1", 1.0
    )
    crash(scheduler, 0, 1.1, bad.worker_id)
    report = support.make_report("o1:1", beside.worker_id, latency=0.3)
    scheduler.apply_report(report, 1.3)
    assert not scheduler.crashes.is_suspect("bad", 1.4)


def test_hanging_suspect_delays_its_copies_only_briefly():
    scheduler = support.make_scheduler(4, slots=4)
    train_latency(scheduler, 0.0)
    crash(scheduler, 0, 1.0, request_suspect(scheduler, 0, 0.9).worker_id)
    assert isinstance(request_suspect(scheduler, 1, 1.1), messages.Grant)
    assert isinstance(request_suspect(scheduler, 2, 1.2), messages.GrantQueued)
    assert scheduler.dispatch(1.3) == []
    ((_, request, answer),) = scheduler.dispatch(1.1 + 3.0 * 0.1 + 0.05)
    assert request.attempt_id == "c2:1"
    assert isinstance(answer, messages.Grant)


def crash_with_copies(scheduler, workers, copies, now):
    """Crash workers that run several copies of one harmless request."""
    for worker in range(1, workers + 1):
        for copy in range(copies):
            notice = messages.GrantNotice(
                "orders",
                "h%d-%d:1" % (worker, copy),
                "n1",
                "w%d" % worker,
                "r",
                9.0,
                0,
                "hot",
            )
            scheduler.record_remote_grant(notice, now)
        for copy in range(copies):
            attempt_id = "h%d-%d:1" % (worker, copy)
            report = support.make_report(
                attempt_id, "w%d" % worker, "reset", fingerprint="hot"
            )
            scheduler.apply_report(report, now + 0.01 * copy)


def test_crash_of_one_worker_counts_once_for_all_copies_it_ran():
    scheduler = support.make_scheduler(8)
    crash_with_copies(scheduler, 2, 4, 1.0)
    assert scheduler.crashes.describe_crashes("hot", 1.1)["crashes"] == 2
    assert not scheduler.crashes.is_quarantined("hot", 1.1)


def test_request_running_in_many_crashes_at_once_is_not_refused_for_long():
    scheduler = support.make_scheduler(12)
    crash_with_copies(scheduler, 10, 3, 1.0)
    answer = grant(scheduler, "h9:1", 1.0 + 16.0, fingerprint="hot")
    assert isinstance(answer, messages.Grant)


def test_worker_that_restarts_and_crashes_again_counts_again():
    scheduler = support.make_scheduler(1)
    for number in range(3):
        crash(scheduler, number, 1.0 + 3.0 * number, "w1")
    assert scheduler.crashes.is_quarantined("bad", 7.5)


def test_crash_of_a_worker_that_is_not_listed_is_counted():
    scheduler = support.make_scheduler(1)
    for number in range(3):
        crash(scheduler, number, 1.0, "w%d" % (number + 5))
    assert request_suspect(scheduler, 9, 1.1).reason == "quarantined"


def stop_workers(scheduler, count, now, restarted=False, draining=False):
    """Stop the first ``count`` workers, or restart them."""
    entries = [worker.entry for worker in scheduler.workers.values()]
    if draining:
        leaving = [support.make_entry("w1", sequence=2, draining=True)]
        scheduler.update_entries(leaving + entries[1:], now)
    listed = entries[count:]
    for entry in entries[:count] if restarted else ():
        listed.append(support.make_entry(entry.worker_id, incarnation=2))
    scheduler.update_entries(listed, now)


@pytest.mark.parametrize("ending", ["garbled", "cancelled", "timeout"])
@pytest.mark.parametrize("restarted", [False, True])
def test_worker_that_exits_after_a_request_without_answer_crashed(
    ending, restarted
):
    scheduler = support.make_scheduler(5)
    train_latency(scheduler, 0.0)
    for number in range(3):
        report = support.make_report(
            "c%d:1" % number,
            "w%d" % (number + 1),
            ending,
            fingerprint="bad",
            latency=2.0,
        )
        scheduler.apply_report(report, 1.0)
    assert isinstance(request_suspect(scheduler, 8, 1.1), messages.Grant)
    stop_workers(scheduler, 3, 2.0, restarted)
    assert request_suspect(scheduler, 9, 2.1).reason == "quarantined"


@pytest.mark.parametrize("ending", ["garbled", "timeout"])
def test_worker_that_announced_its_exit_did_not_crash(ending):
    scheduler = support.make_scheduler(2)
    report = support.make_report(
        "c1:1", "w1", ending, fingerprint="bad", latency=2.0
    )
    scheduler.apply_report(report, 1.0)
    stop_workers(scheduler, 1, 2.0, draining=True)
    assert not scheduler.crashes.is_suspect("bad", 2.1)


def test_request_cancelled_early_is_not_suspected_of_a_crash():
    scheduler = support.make_scheduler(2)
    train_latency(scheduler, 0.0)
    report = support.make_report(
        "c1:1", "w1", "cancelled", fingerprint="bad", latency=0.05
    )
    scheduler.apply_report(report, 1.0)
    stop_workers(scheduler, 1, 2.0)
    assert not scheduler.crashes.is_suspect("bad", 2.1)


def count_quarantine_refusals(share, crashes):
    """Return the quarantine refusals while a caller repeats a request.

    For four seconds, each of ten workers resets a ``share`` of its
    answers. If the request ``crashes`` workers, only its answers are
    reset; the crash resets all other requests of that worker, which then
    answers nothing for two seconds. Other callers send other requests.
    """
    scheduler = support.make_scheduler(10, slots=4)
    train_latency(scheduler, 0.0)
    generator = random.Random(1)
    down_until, pending_ends, refused = {}, [], 0
    for number in range(1600):
        now = 1.0 + number * 0.0025
        while pending_ends and pending_ends[0][0] <= now:
            at, attempt_id, worker_id, fingerprint, lost = heapq.heappop(
                pending_ends
            )
            lost = lost or down_until.get(worker_id, 0.0) > at
            if lost and crashes:
                down_until.setdefault(worker_id, at + 2.0)
            report = support.make_report(
                attempt_id,
                worker_id,
                "reset" if lost else "answered",
                fingerprint=fingerprint,
            )
            scheduler.apply_report(report, at)
        fingerprint = "same" if number % 60 == 0 else "f%d" % number
        answer = grant(
            scheduler, "q%d:1" % number, now, fingerprint=fingerprint
        )
        if isinstance(answer, messages.GrantRefusal):
            refused += answer.reason == scheduling.RefusalReason.QUARANTINED
        elif isinstance(answer, messages.Grant):
            may_fail = fingerprint == "same" if crashes else True
            lost = may_fail and generator.random() < share
            end = (
                now + 0.1,
                answer.attempt_id,
                answer.worker_id,
                fingerprint,
                lost,
            )
            heapq.heappush(pending_ends, end)
    return refused


def test_request_whose_answers_are_lost_is_not_taken_for_a_crashing_one():
    assert count_quarantine_refusals(0.3, crashes=False) == 0


def test_request_that_crashes_its_workers_is_refused_among_others():
    assert count_quarantine_refusals(1.0, crashes=True) > 20


def test_grant_sent_again_names_no_worker_that_was_removed():
    # Guards against a request at a removed worker, where the first answer to
    # the request for a grant was lost.
    entries = [support.make_entry("w1"), support.make_entry("w2")]
    state = support.make_state()
    state.start(10.0)
    coordination.reduce_event(state, events.WorkersRead(10.0, entries))
    request = support.make_grant_request(idempotent=False)

    def ask(now):
        out = support.deliver_message(state, request, now, "10.0.0.3")
        sent = [e.message for e in support.select_effects(out, effects.Send)]
        return [m.worker_id for m in sent if isinstance(m, messages.Grant)]

    (first,) = ask(10.1)
    assert ask(10.2) == [first]
    others = [e for e in entries if e.worker_id != first]
    coordination.reduce_event(state, events.WorkersRead(10.3, others))
    assert ask(10.4) == [others[0].worker_id]
