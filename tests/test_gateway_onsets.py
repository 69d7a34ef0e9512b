"""Onsets of failures: who tests workers, and who goes to proven ones."""

import heapq
import random

from acaciafield.gateway import messages
from acaciafield.gateway import onsets
from tests import gateway_support as support

WORKERS = 8


def make_rate(scouts, failures):
    rate = onsets.OnsetRate()
    rate.scout_routes.add("r")
    rate.advance(WORKERS, 0.0)
    rate.advance(WORKERS, 10.0)
    for _ in range(scouts):
        rate.add_first_attempt("r")
    for _ in range(failures):
        rate.add_onset()
    return rate


def test_onsets_count_only_while_scouts_test_all_workers():
    """Guards against workers left idle where every request runs once."""
    assert make_rate(scouts=10, failures=5).measure_rate() == 0.0
    assert make_rate(scouts=400, failures=5).measure_rate() > 0.0


def prepare(now):
    """Return a scheduler with onsets measured and one worker proven."""
    scheduler = support.make_scheduler(WORKERS, slots=2)
    scheduler.onset_rate = make_rate(scouts=400, failures=20)
    for worker in scheduler.workers.values():
        worker.record_grant(now - 1.0)
        worker.record_success(now - 1.0, now - 0.9)
    scheduler.workers["w3"].record_success(now - 0.1, now)
    return scheduler


def test_request_that_runs_once_goes_to_a_worker_proven_a_moment_ago():
    scheduler = prepare(10.0)
    request = support.make_grant_request(idempotent=False)
    assert scheduler.decide(request, "", 10.0).worker_id == "w3"


def test_request_that_may_be_retried_goes_to_a_worker_not_proven_lately():
    scheduler = prepare(10.0)
    scheduler.workers["w3"].record_grant(9.9)
    request = support.make_grant_request(idempotent=True)
    assert scheduler.decide(request, "", 10.0).worker_id != "w3"


def test_grant_without_a_result_proves_nothing_at_first():
    """Guards against several requests at a worker that just began to fail."""
    scheduler = support.make_scheduler(1)
    worker = scheduler.workers["w1"]
    worker.record_grant(5.0)
    assert worker.find_proven_at(5.01) < 5.0
    assert worker.find_proven_at(5.1) == 5.0


def test_repeated_grants_still_prove_a_worker():
    scheduler = support.make_scheduler(1)
    worker = scheduler.workers["w1"]
    for number in range(20):
        at = 5.0 + 0.01 * number
        worker.record_grant(at)
    assert worker.find_proven_at(5.2) >= 5.1


def play_orders(scheduler, rate, start, end):
    """Play requests that run once; return the lowest used share.

    ``rate`` is in requests per second; each takes 0.2 s.
    """
    chance = random.Random(1)
    running, lowest = [], 1.0
    for step in range(int(200 * start), int(200 * end)):
        now = step / 200
        while running and running[0][0] <= now:
            _, attempt_id, worker_id = heapq.heappop(running)
            report = support.make_report(attempt_id, worker_id, latency=0.2)
            scheduler.apply_report(report, now)
        if chance.random() < rate / 200:
            request = support.make_grant_request(
                "q%d:1" % step, route="order", idempotent=False
            )
            answer = scheduler.decide(request, "", now)
            assert isinstance(answer, messages.Grant)
            heapq.heappush(
                running, (now + 0.2, answer.attempt_id, answer.worker_id)
            )
        usage = scheduler.measure_usage(now)
        if usage is not None:
            lowest = min(lowest, usage.share)
    return lowest


def test_floor_holds_when_scouts_cease():
    """Guards against idle workers until the count of scouts has decayed."""
    scheduler = support.make_scheduler(30, slots=2)
    scheduler.onset_rate.scout_routes.add("r")
    scheduler.onset_rate.advance(30, 0.0)
    scheduler.onset_rate.advance(30, 10.0)
    for _ in range(1200):
        scheduler.onset_rate.add_first_attempt("r")
    for _ in range(20):
        scheduler.onset_rate.add_onset()
    for number, worker in enumerate(scheduler.workers.values()):
        worker.record_grant(9.0 + number / 30)
        worker.record_success(9.0 + number / 30, 9.5 + number / 60)
    assert scheduler.onset_rate.measure_rate() > 0.0
    assert play_orders(scheduler, 20, 10.0, 25.0) >= 0.7
