"""The soak: its checks see what they are for, and a short run holds."""

import pytest

from bench import soak
from bench import soak_record

SEED = 1
SECONDS = 6.0
NODES = 4


def make_sent(request_id="c1-1", **fields):
    values = {
        "request_id": request_id,
        "order": True,
        "address": "127.0.1.1:21000",
        "began": 10.0,
        "ended": 10.1,
        "status": 200,
        "whole": True,
    }
    return soak_record.Sent(**(values | fields))


def make_record(*sent, **fields):
    record = soak_record.Record()
    record.sent.extend(sent)
    for name, value in fields.items():
        getattr(record, name).update(value)
    return record


def test_calm_record_breaks_nothing():
    record = make_record(make_sent(), runs={"c1-1": [("i-1", 10.0)]})
    assert record.find_broken() == []


@pytest.mark.parametrize(
    ("sent", "runs", "words"),
    [
        ({"whole": False}, 1, "got another answer"),
        ({"status": 502}, 2, "ran 2 times"),
        ({"status": 503}, 1, "was refused and ran"),
    ],
)
def test_broken_promise_to_a_caller_is_found(sent, runs, words):
    found = {"c1-1": [("i-1", 10.0)] * runs}
    record = make_record(make_sent(**sent), runs=found)
    (line,) = record.find_broken()
    assert words in line


def test_work_for_a_worker_that_left_is_found_in_calm_times_only():
    runs = {"c1-1": [("i-1", 10.0)]}
    record = make_record(make_sent(), runs=runs, drained={"i-1": 7.9})
    (line,) = record.find_broken()
    assert "which had left" in line
    record.disturbed.append((5.0, 6.0))
    assert record.find_broken() == []


def test_request_that_a_stop_cuts_is_found():
    sent = make_sent(status=0)
    record = make_record(sent, runs={"c1-1": [("i-1", 10.0)]})
    record.stops.append((sent.address, 9.0, 11.0))
    (line,) = record.find_broken()
    assert "cut by a stop" in line


def test_configuration_that_goes_back_is_found():
    record = make_record(versions={"n1#1": [3, 2]})
    (line,) = record.find_broken()
    assert "went back" in line


def test_short_soak_keeps_all_promises():
    run, broken = soak.run_soak(SEED, SECONDS, NODES)
    assert broken == []
    assert sum(run.record.actions.values()) > 3
    assert len(run.record.sent) > 100
