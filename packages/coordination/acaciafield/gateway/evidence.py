"""Evidence: what the end of an attempt shows about its worker."""

from acaciafield.gateway import backends
from acaciafield import outcomes

Ending = outcomes.Ending
RESPONSE_ENDINGS = (Ending.ANSWERED, Ending.FAILED, *outcomes.REFUSAL_ENDINGS)

# Age of a cancelled request, in mean latencies, from which the
# cancellation counts as a failure of the worker.
CANCEL_LATENCY_RATIO = 4.0
CANCEL_FAILURE_WEIGHT = 0.5  # the request itself may have been long
# Time within which the list of workers shows that a worker exited.
MAX_EXIT_NOTICE_S = 10.0
IDLE_REFUSAL_FAILURE_WEIGHT = 0.25  # a refused request can be retried


def record_attempt(
    worker, report, latencies, ledger, ran_alone, earliest_end, now
):
    """Record how an attempt at a worker ended.

    ``latencies`` is a backends.RouteLatency by route, ``ledger`` the
    crashes.CrashLedger; ``ran_alone`` is set if nothing else ran at the
    worker. ``earliest_end`` is the earliest time at which the attempt can
    have ended, None if another node granted it. Return the fingerprint
    and attempt id of each crash that the attempt refutes.
    """
    ending = Ending(report.ending)
    if ending not in (Ending.UNREACHED, Ending.CANCELLED):
        worker.clear_connect_failure(report.node)
    started = now - report.latency
    refuted = []
    if ending in RESPONSE_ENDINGS:
        refuted = _refute_resets(worker, started, earliest_end, ledger)
    if ending is Ending.ANSWERED:
        latency = latencies[report.route]
        latency.add(report.latency, report.size)
        worker.record_success(started, now)
        ledger.refute_all(report.fingerprint)
    elif ending in outcomes.REFUSAL_ENDINGS:
        _record_refusal(worker, report, now)
    elif ending is Ending.UNREACHED:
        worker.record_connect_failure(report.node, now)
    elif ending is Ending.MISDIRECTED:
        worker.backoff_until = now + backends.CONNECT_BACKOFF_S
    elif ending is Ending.FAILED:
        worker.record_failure(now)
    elif ending in (Ending.GARBLED, Ending.TIMEOUT):
        worker.record_failure(now)
        _record_unanswered(worker, report, now)
    elif ending is Ending.CANCELLED:
        _record_cancellation(worker, report, latencies, now)
    elif ending is Ending.RESET:
        worker.record_failure(now)
        worker.reset_at = now
        if earliest_end is not None:
            reset = (earliest_end, now, report.fingerprint, report.attempt_id)
            worker.resets.append(reset)
        _record_crash(report, ledger, ran_alone, now)
    return refuted


def record_unlisted_attempt(report, ledger, now):
    """Record how an attempt at an unlisted worker ended.

    The worker's entry may have expired already or not have been read yet.
    """
    if report.ending == Ending.RESET.value:
        _record_crash(report, ledger, False, now)


def record_exit(worker, ledger, now):
    """Record that a worker exited, unless it drained before.

    The requests that it did not answer shortly before may have crashed it.
    """
    if worker.entry.draining:
        return
    for at, fingerprint, attempt_id in worker.unanswered:
        if now - at < MAX_EXIT_NOTICE_S:
            worker_id = worker.entry.worker_id
            ledger.add(fingerprint, worker_id, attempt_id, False, now)


def _record_crash(report, ledger, ran_alone, now):
    ledger.add(
        report.fingerprint, report.worker_id, report.attempt_id, ran_alone, now
    )


def _refute_resets(worker, started, earliest_end, ledger):
    """Refute and return the crashes whose reset the worker survived.

    After the reset it answered a request that started before, or so soon
    after that the worker cannot have restarted: an answer was lost, but
    nothing crashed. Reports may arrive late, so a reset lies between two
    times. The answered request started before ``started`` and ended after
    ``earliest_end``.
    """
    if earliest_end is None:
        return []
    remaining, refuted = [], []
    for earliest, latest, fingerprint, attempt_id in worker.resets:
        if (
            earliest_end > latest
            and started < earliest + backends.RESTART_TIME_S
        ):
            ledger.refute(fingerprint, worker.entry.worker_id, attempt_id)
            refuted.append((fingerprint, attempt_id))
        else:
            remaining.append((earliest, latest, fingerprint, attempt_id))
    worker.resets.clear()
    worker.resets.extend(remaining)
    return refuted


def _record_refusal(worker, report, now):
    """Back off from a full worker; a refusal while idle is a failure."""
    if report.load is None or report.load[0] >= report.load[2]:
        worker.backoff_until = now + backends.FULL_BACKOFF_S
        return
    worker.record_failure(now, IDLE_REFUSAL_FAILURE_WEIGHT)


def _record_cancellation(worker, report, latencies, now):
    latency = latencies.get(report.route)
    if latency is None or not latency.count:
        return
    if report.latency > CANCEL_LATENCY_RATIO * latency.mean:
        if report.is_superseded:
            worker.record_superseded(now - report.latency, now)
        else:
            worker.record_failure(now, CANCEL_FAILURE_WEIGHT)
        _record_unanswered(worker, report, now)


def _record_unanswered(worker, report, now):
    request = (now, report.fingerprint, report.attempt_id)
    worker.unanswered.append(request)
