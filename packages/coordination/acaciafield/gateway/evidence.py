"""Evidence: what the end of an attempt tells about its worker."""

from acaciafield.gateway import backends
from acaciafield import outcomes

Ending = outcomes.Ending

GIVEN_UP_MEANS = 4.0  # mean latencies after which giving up is evidence
GIVEN_UP_WEIGHT = 0.5  # of a failure, as the request may have been long
IDLE_REFUSAL_WEIGHT = 0.25  # of a failure, as the request can be repeated


def judge_attempt(worker, report, latencies, suspects, alone, now):
    """Take in how an attempt at a worker ended.

    ``latencies`` is a backends.Latency by route, ``suspects`` the
    quarantine of requests that crash workers; ``alone`` tells whether
    nothing else ran at the worker.
    """
    ending = Ending(report.ending)
    if ending not in (Ending.UNREACHED, Ending.CANCELLED):
        worker.note_good_path(report.node)
    started = now - report.latency
    if ending is Ending.ANSWERED:
        latency = latencies[report.route]
        latency.add(report.latency, report.size)
        worker.note_good(started, now)
        suspects.add_good(report.fingerprint)
    elif ending in outcomes.REFUSALS:
        _judge_refusal(worker, report, now)
    elif ending is Ending.UNREACHED:
        worker.note_bad_path(report.node, now)
    elif ending is Ending.MISDIRECTED:
        worker.full_until = now + backends.PATH_REST
    elif ending in (Ending.FAILED, Ending.GARBLED, Ending.TIMEOUT):
        worker.note_failure(now)
    elif ending is Ending.CANCELLED:
        _judge_cancelled(worker, report, latencies, now)
    elif ending is Ending.RESET:
        worker.note_failure(now)
        suspects.add_crash(report.fingerprint, alone, now)


def _judge_refusal(worker, report, now):
    """Rest a full worker; one that refuses while idle is unsound."""
    if report.load is None or report.load[0] >= report.load[2]:
        worker.full_until = now + backends.FULL_REST
        return
    worker.note_failure(now, IDLE_REFUSAL_WEIGHT)


def _judge_cancelled(worker, report, latencies, now):
    latency = latencies.get(report.route)
    if latency is None or not latency.count:
        return
    if report.latency > GIVEN_UP_MEANS * latency.mean:
        worker.note_failure(now, GIVEN_UP_WEIGHT)
