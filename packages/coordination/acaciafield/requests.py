"""Requests at the node that received them, up to the answer."""

from acaciafield import attempts
from acaciafield import classes
from acaciafield import effects
from acaciafield import granting
from acaciafield import messages
from acaciafield import outcomes
from acaciafield import structs

MAX_ATTEMPTS = 4  # hedges included; then a failure is not retried
MAX_RESUMES = 50  # of one response body
BUDGET_RETRY_BACKOFF_S = 1.0  # backoff while the retry budget is spent
RETRY_BACKOFF_S = 0.02  # backoff, multiplied by the number of attempts
Ending = outcomes.Ending
Outcome = outcomes.Outcome
Stage = outcomes.Stage


class DeadlineTimer(structs.Struct):
    """Deadline of a request."""

    __slots__ = ("request_id",)


class RetryTimer(structs.Struct):
    """End of the backoff before a retry.

    With ``is_charged`` the retry takes a token of the retry budget. It is
    set if the retry can add to a worker's load, that is, if the previous
    attempt had a connection.
    """

    __slots__ = ("request_id", "is_charged")


class Request:
    """One caller's request.

    ``deadline`` is a time in seconds; ``attempts`` maps a number to the
    Attempt that has not ended; ``relayed_attempt`` is the number of the
    attempt whose answer goes to the caller; ``offset`` is the number of
    body bytes that were relayed before a resume; ``may_have_run`` is set
    once an attempt ended with an unknown outcome; ``key_binding`` is the
    KeyBinding, if any; ``key_grant`` is the run that the key's deciders
    allowed, as (key, grant identifier, key digest); ``last_reason`` is the
    reason of the last refusal or the ending of the last attempt.
    """

    __slots__ = (
        "event",
        "work_class",
        "idempotent",
        "deadline",
        "attempts",
        "tried_workers",
        "attempt_count",
        "resume_count",
        "relayed_attempt",
        "status",
        "offset",
        "may_have_run",
        "has_hedge",
        "key_binding",
        "key_grant",
        "has_caller_left",
        "last_reason",
    )

    def __init__(self, event, work_class, deadline):
        self.event = event
        self.work_class = work_class
        self.idempotent = work_class.target is not classes.Target.ONCE
        self.deadline = deadline
        self.attempts = {}
        self.tried_workers = ()
        self.attempt_count = 0
        self.resume_count = 0
        self.relayed_attempt = None
        self.status = 0
        self.offset = 0
        self.may_have_run = False
        self.has_hedge = False
        self.key_binding = None
        self.key_grant = None
        self.has_caller_left = False
        self.last_reason = ""

    @property
    def request_id(self):
        """Identifier that the driver gave to the request."""
        return self.event.request_id


def receive_refused(message, state, sender, now, out):
    """Handle a refused permit: retry later, or fail the request."""
    request, attempt = attempts.find_attempt(state, message.permit_id)
    if attempt is None or attempt.granted_at is not None:
        return
    del request.attempts[attempt.number]
    state.timers.cancel(("keeper", request.request_id, attempt.number))
    request.last_reason = message.reason
    if request.attempts or request.relayed_attempt is not None:
        if request.relayed_attempt is not None and not request.attempts:
            _abort_request(
                request, state, "No worker could resume the body.", now, out
            )
        return
    if _may_wait_for_budget(request, message, now):
        _schedule_retry(
            request, state, now + BUDGET_RETRY_BACKOFF_S, is_charged=True
        )
        return
    _fail_request(request, state, now, out, retry_after=message.retry_after)


def handle_head(event, state, now, out):
    """Relay the first answer and cancel the other attempts."""
    request = state.requests.get(event.request_id)
    attempt = request and request.attempts.get(event.attempt)
    if not attempt:
        return
    attempt.has_head = True
    attempt.reused = event.reused
    state.unanswered_attempts.pop(attempt.worker_id, None)
    if request.relayed_attempt is None or request.offset:
        request.relayed_attempt = event.attempt
        request.status = event.status
        out.append(effects.RelayAnswer(event.request_id, event.attempt))
    for other in list(request.attempts.values()):
        if other.number != event.attempt:
            if _is_overtaken(other, attempt):
                attempts.count_unanswered(other.worker_id, state, out)
            attempts.cancel(request, other, state, now, out)
    if request.work_class.target is classes.Target.FINISH:
        state.timers.cancel(("deadline", event.request_id))
        head = messages.PermitHead(
            request.event.service,
            attempt.permit_request.permit_id,
            now - attempt.granted_at,
            event.status,
            event.reused,
        )
        state.send(attempt.keeper, head, out)


def handle_end(event, state, now, out):
    """Finish, resume, retry or fail a request after an attempt ended."""
    request = state.requests.get(event.request_id)
    attempt = request and request.attempts.pop(event.attempt, None)
    if not attempt:
        return
    attempts.report_done(
        request,
        attempt,
        state,
        event.stage,
        event.ending,
        event.status,
        now,
        out,
    )
    if event.ending is Ending.TIMEOUT and not attempt.has_head:
        attempts.count_unanswered(attempt.worker_id, state, out)
    if event.ending is Ending.ANSWERED:
        _finish_request(request, state, event.status, event.answer, now, out)
        return
    if request.relayed_attempt == event.attempt and not event.offset:
        request.relayed_attempt = None
    if request.relayed_attempt is not None:
        _resume_body(request, event, state, now, out)
        return
    outcome = outcomes.classify_ending(event.stage, event.ending)
    if outcome is not Outcome.NOT_RUN:
        request.may_have_run = True
    request.last_reason = event.ending.value
    if request.attempts:
        return
    if _may_retry(request, outcome, now):
        backoff = RETRY_BACKOFF_S * request.attempt_count
        connected = event.stage is not Stage.CONNECT
        _schedule_retry(request, state, now + backoff, connected)
        return
    _fail_request(request, state, now, out)


def handle_caller_disconnected(event, state, now, out):
    """Cancel a request whose caller closed the connection.

    A request that may run only once continues if it was granted or while its
    key is bound, so that its outcome is known when the caller repeats it.
    """
    request = state.requests.get(event.request_id)
    if request is None:
        return
    request.has_caller_left = True
    was_granted = any(
        a.granted_at is not None for a in request.attempts.values()
    )
    if not request.idempotent and (was_granted or request.key_binding):
        return
    for attempt in list(request.attempts.values()):
        attempts.cancel(request, attempt, state, now, out)
    _close_request(request, state, _find_outcome(request), None, now, out)


def fire_deadline(timer, state, now, out):
    """Answer a request whose deadline passed."""
    request = state.requests.get(timer.request_id)
    if request is None:
        return
    for attempt in list(request.attempts.values()):
        if attempt.granted_at is not None:
            request.may_have_run = True
            if not attempt.has_head:
                attempts.count_unanswered(attempt.worker_id, state, out)
        attempts.cancel(request, attempt, state, now, out)
    if request.relayed_attempt is not None:
        _abort_request(request, state, "The deadline passed.", now, out)
        return
    if request.key_binding is not None:
        request.may_have_run = True
    request.last_reason = "deadline"
    _fail_request(request, state, now, out)


def fire_retry(timer, state, now, out):
    """Start the attempt that the backoff delayed."""
    request = state.requests.get(timer.request_id)
    if request is not None and not request.attempts:
        attempts.request_permit(
            request, state, now, out, retry=timer.is_charged
        )


def refuse_keyed_request(
    request, state, status, title, outcome, now, out, retry_after
):
    """Answer a request that the deciders of its key refuse."""
    answer = effects.SendProblem(
        request.request_id, status, title, outcome, "", retry_after
    )
    if not request.has_caller_left:
        out.append(answer)
    _close_request(request, state, outcome, None, now, out)


def send_stored_answer(request, state, answer, now, out):
    """Answer with the stored answer of an earlier run of the same key."""
    if not request.has_caller_left:
        out.append(effects.SendStoredAnswer(request.request_id, answer))
    _close_request(request, state, Outcome.RAN, None, now, out)


def _may_wait_for_budget(request, message, now):
    """Return whether to wait for the retry budget instead of failing."""
    is_budget_spent = message.reason == granting.PermitReason.BUDGET.value
    is_too_late = now + BUDGET_RETRY_BACKOFF_S >= request.deadline
    return is_budget_spent and request.idempotent and not is_too_late


def _schedule_retry(request, state, due, is_charged):
    state.timers.subscribe(
        ("retry", request.request_id),
        due,
        RetryTimer(request.request_id, is_charged),
    )


def _is_overtaken(other, winner):
    """Return whether an attempt started first but was answered later."""
    return (
        other.granted_at is not None and other.granted_at < winner.granted_at
    )


def _may_retry(request, outcome, now):
    """Return whether another attempt is safe and still in time.

    A request that is neither idempotent nor allowed to run by the deciders
    of its key is retried only if it has a key and the attempt did not run.
    """
    if request.attempt_count >= MAX_ATTEMPTS or now >= request.deadline:
        return False
    if not request.event.replayable and outcome is not Outcome.NOT_RUN:
        return False
    if request.may_have_run:
        return request.idempotent
    if request.idempotent or request.key_grant is not None:
        return True
    return outcome is Outcome.NOT_RUN and request.event.key is not None


def _resume_body(request, event, state, now, out):
    """Resume a broken body on another worker if that is possible."""
    request.offset = event.offset
    request.resume_count += 1
    if event.resumable and request.resume_count <= MAX_RESUMES:
        attempts.request_permit(request, state, now, out)
        return
    _abort_request(
        request, state, "The body ended before it was complete.", now, out
    )


def _finish_request(request, state, status, answer, now, out):
    out.append(effects.FinishAnswer(request.request_id))
    for attempt in list(request.attempts.values()):
        attempts.cancel(request, attempt, state, now, out)
    _close_request(request, state, Outcome.RAN, answer, now, out, status)


def _abort_request(request, state, detail, now, out):
    out.append(effects.AbortAnswer(request.request_id, detail))
    outcome = Outcome.RAN if request.status else Outcome.UNKNOWN
    _close_request(request, state, outcome, None, now, out, request.status)


def _find_outcome(request):
    """Return the outcome of a request that ends without an answer."""
    was_granted = any(
        a.granted_at is not None for a in request.attempts.values()
    )
    if request.may_have_run or was_granted:
        return Outcome.UNKNOWN
    return Outcome.NOT_RUN


_PROBLEMS = {
    granting.PermitReason.OVERLOAD.value: (
        503,
        "The service has more work than it can do in time.",
    ),
    granting.PermitReason.NO_WORKERS.value: (
        503,
        "The service has no backend server.",
    ),
    granting.PermitReason.QUARANTINED.value: (
        422,
        "Requests like this one crashed backend servers and are refused.",
    ),
    granting.PermitReason.DEADLINE.value: (
        503,
        "No backend server was free before the deadline.",
    ),
}


def _fail_request(request, state, now, out, retry_after=1.0):
    outcome = _find_outcome(request)
    status, title = _PROBLEMS.get(
        request.last_reason, (502, "The backend server gave no answer.")
    )
    if outcome is Outcome.UNKNOWN and request.last_reason == "deadline":
        status, title = 504, "The answer did not come before the deadline."
    if not request.has_caller_left:
        out.append(
            effects.SendProblem(
                request.request_id,
                status,
                title,
                outcome,
                request.last_reason,
                retry_after,
            )
        )
    _close_request(request, state, outcome, None, now, out)


def _close_request(request, state, outcome, answer, now, out, status=0):
    request_id = request.request_id
    del state.requests[request_id]
    for name in ("deadline", "hedge", "retry", "bind"):
        state.timers.cancel((name, request_id))
    state.report_finished_request(request, outcome, status, now)
    if request.key_grant is not None:
        state.report_outcome(request, outcome, status, answer, now, out)
