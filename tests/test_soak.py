"""The soak test: its checks find violations, and a short run has none."""

import asyncio

import pytest

from bench import soak
from bench import soak_record

SEED = 1
SECONDS = 6.0
NODES = 4


def make_sent(request_id="c1-1", **fields):
    values = {
        "request_id": request_id,
        "is_order": True,
        "address": "127.0.1.1:21000",
        "started_at": 10.0,
        "ended_at": 10.1,
        "status": 200,
        "is_expected": True,
    }
    return soak_record.SentRequest(**(values | fields))


def make_record(*sent, **fields):
    record = soak_record.Record()
    record.sent.extend(sent)
    for name, value in fields.items():
        getattr(record, name).update(value)
    return record


def test_undisturbed_record_has_no_violation():
    record = make_record(make_sent(), runs={"c1-1": [("i-1", 10.0)]})
    assert record.find_violations() == []


@pytest.mark.parametrize(
    ("sent", "runs", "expected_text"),
    [
        ({"is_expected": False}, 1, "got another answer"),
        ({"status": 502}, 2, "ran 2 times"),
        ({"status": 503}, 1, "was refused and ran"),
    ],
)
def test_violation_towards_a_caller_is_found(sent, runs, expected_text):
    found = {"c1-1": [("i-1", 10.0)] * runs}
    record = make_record(make_sent(**sent), runs=found)
    (line,) = record.find_violations()
    assert expected_text in line


def test_request_after_drain_is_found_only_without_disruption():
    runs = {"c1-1": [("i-1", 10.0)]}
    record = make_record(make_sent(), runs=runs, drained_at={"i-1": 7.9})
    (line,) = record.find_violations()
    assert "which had left" in line
    record.disruptions.append((5.0, 6.0))
    assert record.find_violations() == []


def test_request_that_a_stop_cuts_is_found():
    sent = make_sent(status=0)
    record = make_record(sent, runs={"c1-1": [("i-1", 10.0)]})
    record.stops.append((sent.address, 9.0, 11.0))
    (line,) = record.find_violations()
    assert "cut by a stop" in line


def test_configuration_that_reverts_is_found():
    record = make_record(versions={"n1#1": [3, 2]})
    (line,) = record.find_violations()
    assert "went back" in line


def test_request_after_a_leaving_notice_is_found_only_without_disruption():
    record = make_record(make_sent(), make_sent("c1-2", started_at=13.0))
    record.arrivals["i-1"] += [("c1-1", 10.0), ("c1-2", 13.0)]
    record.notices.append(soak_record.WorkerNotice("i-1", "c1-1", 10.1, None))
    (line,) = record.find_violations()
    assert "after its notice to" in line
    record.disruptions.append((11.0, 12.0))
    assert record.find_violations() == []


def test_requests_during_a_requested_pause_are_found():
    sent = [make_sent("c1-%d" % n, started_at=10.0 + n) for n in range(1, 5)]
    record = make_record(*sent)
    record.arrivals["i-1"] += [("c1-%d" % n, 10.0 + n) for n in range(1, 5)]
    record.notices.append(soak_record.WorkerNotice("i-1", "c1-1", 11.0, 2.5))
    assert record.find_violations() == []
    record.notices.append(soak_record.WorkerNotice("i-1", "c1-1", 11.0, 3.5))
    (line,) = record.find_violations()
    assert "after its notice to" in line


def test_request_that_keeps_crashing_workers_is_found():
    record = make_record()
    record.crash_times += [1.0, 2.0, 3.0, 5.0, 7.0, 8.0, 9.0]
    assert record.find_violations() == []
    record.crash_times.append(10.0)
    (line,) = record.find_violations()
    assert "crashes workers" in line


def test_short_soak_has_no_violations():
    run, violations = soak.run_soak(SEED, SECONDS, NODES)
    assert violations == []
    assert sum(run.record.fault_counts.values()) > 3
    assert len(run.record.sent) > 100


def test_endless_answer_on_a_kept_connection_counts_as_cut():
    # Guards against a soak that takes an endless answer for a wrong one.
    async def read():
        reader = asyncio.StreamReader()
        reader.feed_data(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nxxxxx"
        )
        reader.feed_eof()
        sent = make_sent(status=0, is_expected=False)
        caller = soak.KeptConnectionCaller(soak.Soak(SEED, SECONDS, NODES), 1)
        with pytest.raises(EOFError):
            await caller._read_answer(reader, sent)
        return sent.status

    assert asyncio.run(read()) == 0
