"""Onsets of failures: who tests workers, and who goes to proven ones."""

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
        worker.record_grant(now - 1.0, now - 1.0)
        worker.record_success(now - 1.0, now - 0.9)
    scheduler.workers["w3"].record_success(now - 0.1, now)
    return scheduler


def test_request_that_runs_once_goes_to_a_worker_proven_a_moment_ago():
    scheduler = prepare(10.0)
    request = support.make_grant_request(idempotent=False)
    assert scheduler.decide(request, "", 10.0).worker_id == "w3"


def test_request_that_may_be_retried_goes_to_a_worker_not_proven_lately():
    scheduler = prepare(10.0)
    scheduler.workers["w3"].record_grant(9.9, 9.9)
    request = support.make_grant_request(idempotent=True)
    assert scheduler.decide(request, "", 10.0).worker_id != "w3"


def test_grant_without_a_result_proves_nothing_at_first():
    """Guards against several requests at a worker that just began to fail."""
    scheduler = support.make_scheduler(1)
    worker = scheduler.workers["w1"]
    worker.record_grant(5.0, 5.0)
    assert worker.find_proven_at(5.01) < 5.0
    assert worker.find_proven_at(5.1) == 5.0


def test_repeated_grants_still_prove_a_worker():
    scheduler = support.make_scheduler(1)
    worker = scheduler.workers["w1"]
    for number in range(20):
        at = 5.0 + 0.01 * number
        worker.record_grant(at, at)
    assert worker.find_proven_at(5.2) >= 5.1
