"""Tests of hedges: their time, their limits and what becomes of attempts."""

import asyncio
import random

import pytest

from acaciafield.gateway import hedging
from acaciafield.gateway import messages
from acaciafield_daemon.gateway import calls
from acaciafield_daemon.gateway import grant_requests
from acaciafield_daemon.gateway import hedges
from acaciafield_daemon.gateway import settings
from acaciafield_daemon.gateway import upstream
from bench import hedging as bench
from tests import gateway_support as support
from tests import test_gateway_node
from tests import test_platform

MEAN_S = 0.1
LIMITED_SHARE = 0.5
SPENT_SHARE = 1e-6  # no hedge is ever within it


def make_distribution(values):
    """Return the Distribution of latencies as a route records them."""
    recorded = hedging.LatencyHistogram(0.0)
    for value in values:
        recorded.add(value, 0.0)
    return hedging.Distribution(recorded.list_counts())


def find_delay(values, tail=10.0):
    found = make_distribution(values)
    return hedging.find_delay(found, found, tail)


def test_slow_few_are_hedged_just_after_the_others():
    values = [0.09, 0.1, 0.11] * 32 + [0.7] * 4
    assert 0.1 <= find_delay(values) <= 0.13


def test_uniformly_slow_service_is_hedged_at_the_last_only():
    # A second attempt would take as long as the first.
    values = [1.0 + number / 1000.0 for number in range(100)]
    assert find_delay(values, tail=3.0) == 3.0


def test_exponential_latency_is_not_worth_an_early_hedge():
    # The time left is always the mean, of which half can be saved.
    source = random.Random(1)
    values = [source.expovariate(1 / MEAN_S) for _ in range(4000)]
    delay = find_delay(values, tail=0.0)
    assert sum(value > delay for value in values) < 0.02 * len(values)


def test_delay_never_exceeds_the_tail_of_the_answers():
    # Superseded attempts must not push the delay ever further out.
    answered = make_distribution([0.1] * 90)
    pairs = [(0.1, 90), (5.0, 10)]
    delay = hedging.find_delay(answered, hedging.Distribution(pairs), 0.3)
    assert delay <= 0.3


def test_latencies_are_dropped_after_two_periods():
    recorded = hedging.LatencyHistogram(0.0)
    recorded.add(0.1, 0.0)
    recorded.expire(1.5 * hedging.PERIOD_S)
    assert recorded.list_counts()
    recorded.expire(4.0 * hedging.PERIOD_S)
    assert recorded.list_counts() == []


def make_scheduler(share, count=4, **fields):
    """Return a scheduler with trained latencies and this limit."""
    scheduler = support.make_scheduler(count, **fields)
    scheduler.hedges.policy.share = share
    for number in range(60):
        request = support.make_grant_request("t%d:1" % number)
        grant = scheduler.decide(request, "", 0.0)
        report = support.make_report(request.attempt_id, grant.worker_id)
        scheduler.apply_report(report, MEAN_S)
    return scheduler


def decide(scheduler, attempt_id, now=1.0, **fields):
    request = support.make_grant_request(attempt_id, **fields)
    return scheduler.decide(request, "", now)


def hedge(scheduler, number, now=1.0, **fields):
    """Return the decision on a hedge of the request ``number``."""
    values = {"retry_count": 1, "is_hedge": True} | fields
    return decide(scheduler, "r%d:2" % number, now, **values)


def test_disabled_hedges_are_neither_announced_nor_granted():
    scheduler = make_scheduler(0.0)
    assert decide(scheduler, "r1:1").hedge_after is None
    assert hedge(scheduler, 1).reason == hedging.HedgeRefusal.DISABLED


def test_default_hedges_after_mean_and_three_deviations():
    scheduler = make_scheduler(1.0)
    tail = scheduler.latencies["r"].tail
    assert decide(scheduler, "r1:1").hedge_after == round(tail, 3)
    assert isinstance(hedge(scheduler, 1), messages.Grant)


@pytest.mark.parametrize("share", [LIMITED_SHARE, 1.0])
def test_suspect_request_is_never_hedged(share):
    scheduler = make_scheduler(share)
    scheduler.crashes.add("f-r1", "w9", "r0:1", True, 0.9)
    decide(scheduler, "r1:1", fingerprint="f-r1")
    refusal = hedge(scheduler, 1, fingerprint="f-r1")
    assert refusal.reason == hedging.HedgeRefusal.SUSPECT


def test_retry_of_a_suspect_request_is_not_taken_for_a_hedge():
    scheduler = make_scheduler(LIMITED_SHARE)
    scheduler.crashes.add("f-r1", "w9", "r0:1", True, 0.9)
    answer = decide(scheduler, "r1:2", fingerprint="f-r1", retry_count=1)
    assert isinstance(answer, messages.Grant)


def test_no_hedge_near_the_capacity():
    scheduler = make_scheduler(LIMITED_SHARE)
    for number in range(7):
        decide(scheduler, "r%d:1" % number)
    refusal = hedge(scheduler, 1)
    assert refusal.reason == hedging.HedgeRefusal.NO_CAPACITY
    assert refusal.retry_after > 0.0
    # A request that is no hedge still gets the last slot.
    assert isinstance(decide(scheduler, "r9:1"), messages.Grant)


def test_no_hedge_while_requests_are_queued():
    scheduler = make_scheduler(LIMITED_SHARE, count=2)
    number = 0
    while not scheduler.queue:
        number += 1
        decide(scheduler, "r%d:1" % number)
    for worker in scheduler.workers.values():
        for attempt_id in list(worker.in_flight):
            scheduler.withdraw(attempt_id)
    refusal = hedge(scheduler, 1)
    assert refusal.reason == hedging.HedgeRefusal.NO_CAPACITY
    assert len(scheduler.queue) == 1


def test_no_hedge_goes_to_a_worker_with_waiting_requests():
    scheduler = make_scheduler(LIMITED_SHARE, count=2)
    decide(scheduler, "r1:1", avoided_workers=["w2"])
    decide(scheduler, "r2:1", avoided_workers=["w1"])
    report = support.make_report("r2:1", "w2", load=[2, 1, 2])
    scheduler.apply_report(report, 1.0)
    refusal = hedge(scheduler, 1, avoided_workers=["w1"])
    assert refusal.reason == hedging.HedgeRefusal.NO_CAPACITY
    later = 1.1 + hedging.WAITING_REPORT_S
    grant = hedge(scheduler, 1, now=later, avoided_workers=["w1"])
    assert grant.worker_id == "w2"


def test_hedges_stay_within_the_share_of_the_operator():
    share = 0.1
    scheduler = make_scheduler(share, count=20)
    granted, now = 0, 1.0
    for number in range(400):
        now += 0.01
        grant = decide(scheduler, "r%d:1" % number, now)
        answer = hedge(scheduler, number, now)
        if isinstance(answer, messages.Grant):
            granted += 1
            scheduler.withdraw("r%d:2" % number)
        else:
            assert answer.reason == hedging.HedgeRefusal.SHARE
        report = support.make_report("r%d:1" % number, grant.worker_id)
        scheduler.apply_report(report, now)
    assert 0.5 * share * 400 <= granted <= share * 460


def test_hedges_of_other_coordinators_count_towards_the_share():
    scheduler = make_scheduler(0.1)
    for number in range(6):
        notice = messages.GrantNotice(
            "orders", "x%d:2" % number, "n2", "w1", "r", 1.0, 1, "f", "", True
        )
        scheduler.record_remote_grant(notice, 1.0)
        scheduler.withdraw(notice.attempt_id)
    assert hedge(scheduler, 1).reason == hedging.HedgeRefusal.SHARE


def test_hedges_and_retries_share_the_retry_budget():
    scheduler = make_scheduler(LIMITED_SHARE)
    while scheduler.budget.try_acquire(1.0):
        pass
    assert hedge(scheduler, 1).reason == "budget"


def supersede(scheduler, number, now, latency):
    """Grant a request, then report that a hedge superseded it at w1."""
    attempt_id = "s%d:1" % number
    others = [name for name in scheduler.workers if name != "w1"]
    decide(scheduler, attempt_id, now, avoided_workers=others)
    report = support.make_report(
        attempt_id, "w1", "cancelled", latency=latency, is_superseded=True
    )
    scheduler.apply_report(report, now + latency)


def test_superseded_attempt_is_no_failure_of_its_worker():
    scheduler = make_scheduler(1.0)
    supersede(scheduler, 1, 1.0, 10 * MEAN_S)
    assert scheduler.workers["w1"].estimate_risk(2.0) == 0.0


def test_worker_whose_attempts_are_all_superseded_is_taken_for_hanging():
    # It looks idle once its attempts are cancelled, and would attract more.
    scheduler = make_scheduler(1.0)
    for number in range(2):
        supersede(scheduler, number, 1.0, 10 * MEAN_S)
    worker = scheduler.workers["w1"]
    assert worker.estimate_hang_risk(scheduler.latencies, 2.1) > 0.5
    worker.record_success(2.1, 2.2)
    worker.record_success(2.1, 2.2)
    assert worker.estimate_hang_risk(scheduler.latencies, 2.3) < 0.5
    assert worker.estimate_hang_risk(scheduler.latencies, 9.0) == 0.0


@pytest.mark.parametrize(
    "message",
    [
        support.make_grant_request(is_hedge=True),
        support.make_report("r1:1", "w1", is_superseded=True),
    ],
)
def test_message_of_an_older_build_has_the_defaults(message):
    row = messages.pack_message(message)
    assert messages.unpack_message(row) == message
    older = messages.unpack_message(row[:-1])
    assert not getattr(older, message.__slots__[-1])


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize(
    "condition", [bench.Condition.HANG, bench.Condition.SHARE]
)
def test_default_fails_no_more_requests_than_before(condition, seed):
    failed = {}
    for rule in (bench.Rule.EARLIER, bench.Rule.DEFAULT):
        simulation = bench.HedgingSimulation(condition, 0.8, rule, seed)
        failed[rule] = simulation.run().failed
    assert failed[bench.Rule.DEFAULT] <= failed[bench.Rule.EARLIER]


def test_hedges_help_against_few_slow_attempts_within_their_share():
    p99 = {}
    for rule in (bench.Rule.NONE, bench.Rule.LIMITED):
        simulation = bench.HedgingSimulation(
            bench.Condition.SHARE, 0.5, rule, 1
        )
        tally = simulation.run()
        assert simulation.hedges <= 0.05 * tally.asked
        p99[rule] = simulation.find_latency(0.99)
    assert p99[bench.Rule.LIMITED] < 0.6 * p99[bench.Rule.NONE]


def test_slow_service_gets_few_hedges():
    simulation = bench.HedgingSimulation(
        bench.Condition.SERVICE, 1.0, bench.Rule.LIMITED, 1
    )
    tally = simulation.run()
    assert simulation.hedges <= 0.01 * tally.asked


def run_hedged(steps, share=1.0):
    """Run steps at a node with this limit, whose first worker hangs."""
    options = test_gateway_node.make_options(
        limits=settings.GatewaySettings(hedge_share=share)
    )
    table = test_platform.CONFIGURATION["routes"]
    names, row = table["columns"], list(table["rows"][1])
    # The first hedge is due after 0.625 of the target.
    row[names.index("targetLatencyMs")] = 400
    row[names.index("trafficSplit")] = [{"service": "s1", "weight": 1}]
    routes = {"columns": names, "rows": [table["rows"][0], row]}
    test_gateway_node.run_steps(
        steps,
        options=options,
        configuration=test_platform.CONFIGURATION | {"routes": routes},
    )


def hang_first(harness, cancelled):
    """Let the first request hang; ``cancelled`` lists it once closed."""
    seen = []

    async def answer(request, worker):
        seen.append(request)
        if len(seen) > 1:
            return await worker._answer(request)
        while request.transport is not None:
            await asyncio.sleep(0.01)
        cancelled.append(request.headers["Acaciafield-Request-Id"])
        raise asyncio.CancelledError

    for worker in harness.workers:
        worker.answer = lambda request, worker=worker: answer(request, worker)
    return seen


def count_hedges(harness):
    """Return the counts of hedges by result."""
    return {
        dict(labels)["result"]: count
        for (name, labels), count in harness.node.metrics.counts.items()
        if name == "hedges"
    }


@pytest.mark.parametrize("share", [LIMITED_SHARE, 1.0])
def test_first_answer_wins_and_the_other_attempt_is_cancelled(share):
    cancelled = []

    async def steps(harness):
        seen = hang_first(harness, cancelled)
        # A limit of its own needs requests to take a share of.
        scheduler = harness.node.state.get_scheduler("s1")
        for _ in range(10):
            scheduler.hedges.spent.add_first_attempt(harness.node.clock())
        reports = []
        send_report = harness.node.grant_requester.send_report
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(
                type(harness.node.grant_requester),
                "send_report",
                lambda self, report, by: (
                    reports.append(report),
                    send_report(report, by),
                ),
            )
            status, _, _ = await harness.call()
            assert status == 200
            while len(reports) < 2 or not cancelled:
                await asyncio.sleep(0.01)
        assert len(seen) == 2
        assert cancelled == ["q1"]
        endings = sorted((r.ending, r.is_superseded) for r in reports)
        assert endings == [("answered", False), ("cancelled", True)]
        assert count_hedges(harness) == {"sent": 1, "won": 1}

    run_hedged(steps, share)


def test_refused_hedge_leaves_the_first_attempt_running():
    async def steps(harness):
        for worker in harness.workers:
            worker.delay = 0.9
        status, _, _ = await harness.call()
        assert status == 200
        assert len(harness.seen) == 1
        counts = count_hedges(harness)
        assert counts["refused"] >= 2  # requested again, as the time passes
        assert "sent" not in counts

    run_hedged(steps, SPENT_SHARE)


def test_failure_while_a_hedge_is_decided_is_retried(monkeypatch):
    # The request has an attempt left that the refused hedge did not use.
    request_grant = grant_requests.GrantRequester.request_grant

    async def refuse_hedge(requester, request, give_up_at):
        if not request.is_hedge:
            return await request_grant(requester, request, give_up_at)
        await asyncio.sleep(0.6)
        reason = hedging.HedgeRefusal.NO_CAPACITY
        return messages.GrantRefusal(request.attempt_id, reason, 0.1)

    monkeypatch.setattr(
        grant_requests.GrantRequester, "request_grant", refuse_hedge
    )

    async def steps(harness):
        for worker in harness.workers:
            worker.delay = 0.7
            worker.statuses = [500]
        first = asyncio.ensure_future(harness.call())
        while not harness.seen:
            await asyncio.sleep(0.01)
        for worker in harness.workers:
            worker.delay = 0.0
            if not worker.seen:
                worker.statuses = []
        status, _, _ = await first
        assert status == 200
        assert len(harness.seen) == 2
        assert count_hedges(harness) == {"refused": 1}

    run_hedged(steps)


def test_refused_hedge_does_not_make_a_later_retry_the_last():
    # Guards against a retry that avoids risky workers like a final attempt,
    # although the route has another one left.
    async def refuse(requester, request, give_up_at):
        reason = hedging.HedgeRefusal.NO_CAPACITY
        return messages.GrantRefusal(request.attempt_id, reason, 0.1)

    async def steps(harness):
        outgoing = upstream.OutgoingRequest("GET", "/", {}, b"", "q1")
        route = support.make_route(max_attempts=3)
        call = calls.Call(outgoing, route, harness.node.clock(), 5.0, "f")
        server = harness.node.request_server
        call.attempt_count = 1
        hedges.record_due(call)
        call.attempt_count = 2
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(
                grant_requests.GrantRequester, "request_grant", refuse
            )
            assert (await server._run_attempt(call, 2)).is_hedge
        assert not server._make_grant_request(call, 3).is_last_attempt
        assert server._make_grant_request(call, 4).is_last_attempt

    run_hedged(steps)


def test_disabled_hedges_are_not_sent():
    async def steps(harness):
        for worker in harness.workers:
            worker.delay = 0.9
        status, _, _ = await harness.call()
        assert status == 200
        assert len(harness.seen) == 1
        assert count_hedges(harness) == {}

    run_hedged(steps, 0.0)


def test_reload_changes_the_share():
    async def steps(harness):
        scheduler = harness.node.state.get_scheduler("s1")
        assert scheduler.hedges.policy.share == 0.25
        harness.node._reload_options()
        assert scheduler.hedges.policy.share == 1.0

    run_hedged(steps, 0.25)
