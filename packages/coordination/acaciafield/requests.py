"""Requests at their entry: from arrival to the caller's answer."""

from acaciafield import attempts
from acaciafield import classes
from acaciafield import effects
from acaciafield import granting
from acaciafield import messages
from acaciafield import outcomes
from acaciafield import structs

MOST_ATTEMPTS = 4
MOST_RESUMES = 50
BUDGET_PAUSE = 1.0  # seconds until a retry is asked for again
RETRY_PAUSE = 0.02  # seconds, times the number of attempts made
Ending = outcomes.Ending
Outcome = outcomes.Outcome
Stage = outcomes.Stage


class DeadlineTimer(structs.Struct):
    """The request's deadline passed."""

    __slots__ = ("request_id",)


class RetryTimer(structs.Struct):
    """The pause before a retry is over.

    A retry is charged to the budget only if it can add to a worker's
    load, that is, if the attempt before had a connection.
    """

    __slots__ = ("request_id", "charged")


class Request:
    """One caller's request; ``binding`` is its KeyBinding, if any."""

    __slots__ = (
        "event",
        "work_class",
        "idempotent",
        "deadline",
        "attempts",
        "tried",
        "count",
        "resumes",
        "relayed",
        "status",
        "offset",
        "unknown",
        "hedged",
        "binding",
        "grant",
        "caller_gone",
        "last_reason",
    )

    def __init__(self, event, work_class, deadline):
        self.event = event
        self.work_class = work_class
        self.idempotent = work_class.target is not classes.Target.ONCE
        self.deadline = deadline
        self.attempts = {}
        self.tried = ()
        self.count = 0
        self.resumes = 0
        self.relayed = None
        self.status = 0
        self.offset = 0
        self.unknown = False
        self.hedged = False
        self.binding = None
        self.grant = None
        self.caller_gone = False
        self.last_reason = ""

    @property
    def request_id(self):
        """The identifier that the driver gave."""
        return self.event.request_id


def receive_refused(message, state, sender, now, out):
    """Tell the caller, or try again later."""
    request, attempt = attempts.find_attempt(state, message.permit_id)
    if attempt is None or attempt.granted is not None:
        return
    del request.attempts[attempt.number]
    state.timers.cancel(("keeper", request.request_id, attempt.number))
    request.last_reason = message.reason
    if request.attempts or request.relayed is not None:
        if request.relayed is not None and not request.attempts:
            _abort(request, state, "No worker could go on.", now, out)
        return
    if _may_wait(request, message, now):
        _plan_retry(request, state, now + BUDGET_PAUSE, charged=True)
        return
    _fail(request, state, now, out, retry_after=message.retry_after)


def take_head(event, state, now, out):
    """Pass the first answer on and give up the other attempts."""
    request = state.requests.get(event.request_id)
    attempt = request and request.attempts.get(event.attempt)
    if not attempt:
        return
    attempt.headed = True
    attempt.reused = event.reused
    state.unanswered.pop(attempt.worker_id, None)
    if request.relayed is None or request.offset:
        request.relayed = event.attempt
        request.status = event.status
        out.append(effects.RelayAnswer(event.request_id, event.attempt))
    for other in list(request.attempts.values()):
        if other.number != event.attempt:
            if _is_outrun(other, attempt):
                attempts.note_silence(other.worker_id, state, out)
            attempts.cancel(request, other, state, now, out)
    if request.work_class.target is classes.Target.FINISH:
        state.timers.cancel(("deadline", event.request_id))
        head = messages.PermitHead(
            request.event.service,
            attempt.permit.permit_id,
            now - attempt.granted,
            event.status,
            event.reused,
        )
        state.send(attempt.keeper, head, out)


def take_end(event, state, now, out):
    """Decide what the end of an attempt means for the request."""
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
    if event.ending is Ending.TIMEOUT and not attempt.headed:
        attempts.note_silence(attempt.worker_id, state, out)
    if event.ending is Ending.ANSWERED:
        _finish(request, state, event.status, event.answer, now, out)
        return
    if request.relayed == event.attempt and not event.offset:
        request.relayed = None
    if request.relayed is not None:
        _go_on(request, event, state, now, out)
        return
    outcome = outcomes.classify_ending(event.stage, event.ending)
    if outcome is not Outcome.NOT_RUN:
        request.unknown = True
    request.last_reason = event.ending.value
    if request.attempts:
        return
    if _may_retry(request, outcome, now):
        pause = RETRY_PAUSE * request.count
        connected = event.stage is not Stage.CONNECT
        _plan_retry(request, state, now + pause, connected)
        return
    _fail(request, state, now, out)


def lose_caller(event, state, now, out):
    """Give a request up whose caller has gone.

    Work that may run only once goes on, so that its outcome is known
    when the caller asks again.
    """
    request = state.requests.get(event.request_id)
    if request is None:
        return
    request.caller_gone = True
    started = any(a.granted is not None for a in request.attempts.values())
    if not request.idempotent and (started or request.binding):
        return
    for attempt in list(request.attempts.values()):
        attempts.cancel(request, attempt, state, now, out)
    _close(request, state, _tell_outcome(request), None, now, out)


def fire_deadline(timer, state, now, out):
    """Answer a request whose time is over."""
    request = state.requests.get(timer.request_id)
    if request is None:
        return
    for attempt in list(request.attempts.values()):
        if attempt.granted is not None:
            request.unknown = True
            if not attempt.headed:
                attempts.note_silence(attempt.worker_id, state, out)
        attempts.cancel(request, attempt, state, now, out)
    if request.relayed is not None:
        _abort(request, state, "The deadline passed.", now, out)
        return
    if request.binding is not None:
        request.unknown = True
    request.last_reason = "deadline"
    _fail(request, state, now, out)


def fire_retry(timer, state, now, out):
    """Try again."""
    request = state.requests.get(timer.request_id)
    if request is not None and not request.attempts:
        attempts.seek_permit(request, state, now, out, retry=timer.charged)


def refuse_request(request, state, status, title, outcome, now, out, wait):
    """Answer a request that its key's deciders do not let run."""
    answer = effects.AnswerProblem(
        request.request_id, status, title, outcome, "", wait
    )
    if not request.caller_gone:
        out.append(answer)
    _close(request, state, outcome, None, now, out)


def answer_stored(request, state, answer, now, out):
    """Answer with what an earlier run of the same key answered."""
    if not request.caller_gone:
        out.append(effects.AnswerStored(request.request_id, answer))
    _close(request, state, Outcome.RAN, None, now, out)


def _may_wait(request, message, now):
    """Tell whether to wait for the retry budget rather than give up."""
    spent = message.reason == granting.PermitReason.BUDGET.value
    late = now + BUDGET_PAUSE >= request.deadline
    return spent and request.idempotent and not late


def _plan_retry(request, state, due, charged):
    state.timers.subscribe(
        ("retry", request.request_id),
        due,
        RetryTimer(request.request_id, charged),
    )


def _is_outrun(other, winner):
    return other.granted is not None and other.granted < winner.granted


def _may_retry(request, outcome, now):
    if request.count >= MOST_ATTEMPTS or now >= request.deadline:
        return False
    if not request.event.replayable and outcome is not Outcome.NOT_RUN:
        return False
    if request.unknown:
        return request.idempotent
    if request.idempotent or request.grant is not None:
        return True
    return outcome is Outcome.NOT_RUN and request.event.key is not None


def _go_on(request, event, state, now, out):
    """Resume a broken body on another worker where that is safe."""
    request.offset = event.offset
    request.resumes += 1
    if event.resumable and request.resumes <= MOST_RESUMES:
        attempts.seek_permit(request, state, now, out)
        return
    _abort(request, state, "The body broke off.", now, out)


def _finish(request, state, status, answer, now, out):
    out.append(effects.FinishAnswer(request.request_id))
    for attempt in list(request.attempts.values()):
        attempts.cancel(request, attempt, state, now, out)
    _close(request, state, Outcome.RAN, answer, now, out, status)


def _abort(request, state, detail, now, out):
    out.append(effects.AbortAnswer(request.request_id, detail))
    outcome = Outcome.RAN if request.status else Outcome.UNKNOWN
    _close(request, state, outcome, None, now, out, request.status)


def _tell_outcome(request):
    started = any(a.granted is not None for a in request.attempts.values())
    if request.unknown or started:
        return Outcome.UNKNOWN
    return Outcome.NOT_RUN


_REASONS = {
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


def _fail(request, state, now, out, retry_after=1.0):
    outcome = _tell_outcome(request)
    status, title = _REASONS.get(
        request.last_reason, (502, "The backend server gave no answer.")
    )
    if outcome is Outcome.UNKNOWN and request.last_reason == "deadline":
        status, title = 504, "The answer did not come before the deadline."
    if not request.caller_gone:
        out.append(
            effects.AnswerProblem(
                request.request_id,
                status,
                title,
                outcome,
                request.last_reason,
                retry_after,
            )
        )
    _close(request, state, outcome, None, now, out)


def _close(request, state, outcome, answer, now, out, status=0):
    request_id = request.request_id
    del state.requests[request_id]
    for name in ("deadline", "hedge", "retry", "bind"):
        state.timers.cancel((name, request_id))
    state.observe(request, outcome, status, now)
    if request.grant is not None:
        state.report_outcome(request, outcome, status, answer, now, out)
