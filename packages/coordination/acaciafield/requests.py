"""Requests at their entry: from arrival to the caller's answer."""

from acaciafield import classes
from acaciafield import effects
from acaciafield import keys
from acaciafield import messages
from acaciafield import outcomes
from acaciafield import permits
from acaciafield import placement
from acaciafield import structs

QUICK_DEADLINE = 10.0  # seconds, where the caller names none
HEAD_WAIT = 10.0  # seconds for the head of a download
MOST_ATTEMPTS = 4
MOST_RESUMES = 50
KEEPER_WAIT = 0.4  # seconds for a keeper's word
KEEPER_AVOID = 5.0  # seconds for which a silent keeper is passed over
BUDGET_PAUSE = 1.0  # seconds until a retry is asked for again
RETRY_PAUSE = 0.02  # seconds, times the number of attempts made
KEEPERS = 3
SILENT_ATTEMPTS = 2  # in a row, after which open connections are dropped

Ending = outcomes.Ending
Outcome = outcomes.Outcome
Stage = outcomes.Stage


class DeadlineTimer(structs.Struct):
    """The request's deadline passed."""

    __slots__ = ("request_id",)


class KeeperTimer(structs.Struct):
    """The keeper kept silent about a permit."""

    __slots__ = ("request_id", "attempt", "asked")


class HedgeTimer(structs.Struct):
    """The request is late enough for a second attempt."""

    __slots__ = ("request_id",)


class RetryTimer(structs.Struct):
    """The pause before a retry is over.

    A retry is charged to the budget only if it can add to a worker's
    load, that is, if the attempt before had a connection.
    """

    __slots__ = ("request_id", "charged")


class Attempt:
    """One try at a worker, from the asking for a permit on."""

    __slots__ = (
        "number",
        "permit",
        "keeper",
        "worker_id",
        "granted",
        "headed",
        "reused",
    )

    def __init__(self, number, permit):
        self.number = number
        self.permit = permit
        self.keeper = None
        self.worker_id = None
        self.granted = None
        self.headed = False
        self.reused = False


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


def arrive(event, state, now, out):
    """Take a caller's request in, or refuse it at once."""
    request_id = event.request_id
    if not state.config.serving:
        _refuse(
            request_id,
            503,
            "This node has no configuration yet.",
            out,
            retry_after=1.0,
        )
        return
    service = state.config.find_service(event.service)
    if service is None:
        text = "There is no service %s." % event.service
        _refuse(request_id, 404, text, out)
        return
    work_class = service.find_class(event.method, event.class_name)
    if work_class is None:
        text = "The service %s has no class of work %s."
        _refuse(request_id, 404, text % (event.service, event.class_name), out)
        return
    deadline = _find_deadline(work_class, event.timeout)
    request = Request(event, work_class, now + deadline)
    parsed = _parse_key(request, out)
    if parsed is False:
        return
    state.requests[request_id] = request
    state.timers.subscribe(
        ("deadline", request_id), now + deadline, DeadlineTimer(request_id)
    )
    if parsed is None:
        seek_permit(request, state, now, out)
    else:
        state.bind_key(request, parsed, now, out)


def seek_permit(request, state, now, out, retry=False, hedge=False):
    """Ask the service's keeper for a slot."""
    request.count += 1
    number = request.count
    event = request.event
    target = request.work_class.within
    if request.work_class.target is classes.Target.FINISH:
        target = classes.FINISH_WAIT
    permit = messages.PermitRequest(
        event.service,
        "%s/%d/%d" % (state.node_id, request.request_id, number),
        request.work_class.name,
        max(0.0, request.deadline - now),
        target,
        event.fingerprint,
        request.idempotent,
        request.tried,
        retry,
        hedge,
    )
    attempt = request.attempts[number] = Attempt(number, permit)
    _ask_keeper(request, attempt, state, now, out, asked=1)


def receive_grant(message, state, sender, now, out):
    """Send the request to the granted worker."""
    request, attempt = _find_attempt(state, message.permit_id)
    if attempt is None:
        _give_back(state, message, sender, out)
        return
    if attempt.granted is not None:
        return
    attempt.granted = now
    attempt.worker_id = message.worker_id
    attempt.keeper = sender
    state.timers.cancel(("keeper", request.request_id, attempt.number))
    request.tried = tuple(request.tried) + (message.worker_id,)
    out.append(
        effects.StartAttempt(
            request.request_id,
            attempt.number,
            message.worker_id,
            message.address,
            message.fresh or _needs_fresh(request, attempt),
            request.offset,
            _find_patience(request, now),
        )
    )
    _plan_hedge(request, state, message.hedge_after, now)


def receive_refused(message, state, sender, now, out):
    """Tell the caller, or try again later."""
    request, attempt = _find_attempt(state, message.permit_id)
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


def receive_queued(message, state, sender, now, out):
    """Wait on: the keeper has the request."""
    request, attempt = _find_attempt(state, message.permit_id)
    if attempt is not None and attempt.granted is None:
        _watch_keeper(request, attempt, state, now, asked=1)


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
                _note_silence(other.worker_id, state, out)
            _cancel(request, other, state, now, out)
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
    _report_done(
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
        _note_silence(attempt.worker_id, state, out)
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
        _cancel(request, attempt, state, now, out)
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
                _note_silence(attempt.worker_id, state, out)
        _cancel(request, attempt, state, now, out)
    if request.relayed is not None:
        _abort(request, state, "The deadline passed.", now, out)
        return
    if request.binding is not None:
        request.unknown = True
    request.last_reason = "deadline"
    _fail(request, state, now, out)


def fire_keeper(timer, state, now, out):
    """Ask a silent keeper once more, then the next one."""
    request = state.requests.get(timer.request_id)
    attempt = request and request.attempts.get(timer.attempt)
    if not attempt or attempt.granted is not None:
        return
    asked = timer.asked + 1
    if asked > 2:
        state.silent[attempt.keeper] = now + KEEPER_AVOID
        asked = 1
    _ask_keeper(request, attempt, state, now, out, asked)


def fire_hedge(timer, state, now, out):
    """Start a second attempt at a late request."""
    request = state.requests.get(timer.request_id)
    if request is None or request.relayed is not None or request.hedged:
        return
    if len(request.attempts) != 1:
        return
    request.hedged = True
    seek_permit(request, state, now, out, hedge=True)


def fire_retry(timer, state, now, out):
    """Try again."""
    request = state.requests.get(timer.request_id)
    if request is not None and not request.attempts:
        seek_permit(request, state, now, out, retry=timer.charged)


def leave_keeper(request, node_id, state, now, out):
    """Ask another keeper for the permits that a lost one owed."""
    for attempt in list(request.attempts.values()):
        if attempt.granted is None and attempt.keeper == node_id:
            _ask_keeper(request, attempt, state, now, out, asked=1)


def find_keeper(state, service, now):
    """Return the node that keeps a service, by this node's view."""
    for node_id in rank_keepers(state, service):
        if now >= state.silent.get(node_id, 0.0):
            return node_id
    return state.node_id


def rank_keepers(state, service):
    """Return the first nodes for a service, cached until members change."""
    usable = state.members.list_usable()
    if state.ranked_for is not usable:
        state.ranked_for = usable
        state.ranked = {}
    ranked = state.ranked.get(service)
    if ranked is None:
        ranked = placement.rank_nodes(service, usable, KEEPERS)
        state.ranked[service] = ranked
    return ranked


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


def _parse_key(request, out):
    event = request.event
    if request.idempotent:
        return None
    if event.key is None:
        if request.work_class.key_required:
            text = "The class of work %s needs an Idempotency-Key."
            _refuse(event.request_id, 400, text % request.work_class.name, out)
            return False
        return None
    parsed = keys.parse_key(event.service, event.key)
    if parsed.is_error():
        _refuse(event.request_id, 400, parsed.error, out)
        return False
    return parsed.ok


def _find_deadline(work_class, timeout):
    deadline = {
        classes.Target.QUICK: max(QUICK_DEADLINE, work_class.within),
        classes.Target.ONCE: work_class.within,
        classes.Target.FINISH: work_class.within,
    }[work_class.target]
    if timeout is not None:
        deadline = min(deadline, timeout)
    return deadline


def _refuse(request_id, status, title, out, retry_after=None):
    out.append(
        effects.AnswerProblem(
            request_id, status, title, Outcome.NOT_RUN, "", retry_after
        )
    )


def _ask_keeper(request, attempt, state, now, out, asked):
    keeper = find_keeper(state, request.event.service, now)
    _tell_held(state, request.event.service, keeper, now, out)
    attempt.keeper = keeper
    if keeper != state.node_id:
        _watch_keeper(request, attempt, state, now, asked)
    state.send(keeper, attempt.permit, out)


def _watch_keeper(request, attempt, state, now, asked):
    state.timers.subscribe(
        ("keeper", request.request_id, attempt.number),
        now + KEEPER_WAIT,
        KeeperTimer(request.request_id, attempt.number, asked),
    )


def _tell_held(state, service, keeper, now, out):
    former = state.keepers.get(service)
    state.keepers[service] = keeper
    if former is None or former == keeper:
        return
    for request in state.requests.values():
        if request.event.service != service:
            continue
        for attempt in request.attempts.values():
            if attempt.granted is None:
                continue
            attempt.keeper = keeper
            held = messages.PermitHeld(
                service,
                attempt.permit.permit_id,
                attempt.worker_id,
                request.work_class.name,
                now - attempt.granted,
                request.event.fingerprint,
            )
            state.send(keeper, held, out)


def _needs_fresh(request, attempt):
    """Tell whether a connection that went silent must not matter."""
    return not request.idempotent or attempt.number > 1


def _find_patience(request, now):
    """Return the seconds that one attempt has for its answer's head."""
    left = max(0.001, request.deadline - now)
    if request.work_class.target is classes.Target.FINISH:
        return min(HEAD_WAIT, left)
    return left


def _find_attempt(state, permit_id):
    _node_id, request_id, number = permit_id.rsplit("/", 2)
    request = state.requests.get(int(request_id))
    if request is None:
        return None, None
    return request, request.attempts.get(int(number))


def _give_back(state, message, sender, out):
    done = messages.PermitDone(
        message.service,
        message.permit_id,
        message.worker_id,
        Stage.CONNECT.value,
        Ending.CANCELLED.value,
        0,
        0.0,
        False,
        "",
    )
    state.send(sender, done, out)


def _plan_hedge(request, state, hedge_after, now):
    if not request.idempotent or request.relayed is not None:
        return
    if request.hedged or hedge_after <= 0.0:
        return
    state.timers.subscribe(
        ("hedge", request.request_id),
        now + hedge_after,
        HedgeTimer(request.request_id),
    )


def _report_done(request, attempt, state, stage, ending, status, now, out):
    latency = 0.0
    if attempt.granted is not None:
        latency = now - attempt.granted
    done = messages.PermitDone(
        request.event.service,
        attempt.permit.permit_id,
        attempt.worker_id or "",
        stage.value,
        ending.value,
        status,
        latency,
        attempt.reused,
        request.event.fingerprint,
    )
    state.send(attempt.keeper, done, out)


def _cancel(request, attempt, state, now, out):
    del request.attempts[attempt.number]
    state.timers.cancel(("keeper", request.request_id, attempt.number))
    if attempt.granted is not None:
        out.append(effects.CancelAttempt(request.request_id, attempt.number))
    _report_done(
        request,
        attempt,
        state,
        Stage.BODY if attempt.headed else Stage.WAIT,
        Ending.CANCELLED,
        0,
        now,
        out,
    )


def _may_wait(request, message, now):
    """Tell whether to wait for the retry budget rather than give up."""
    spent = message.reason == permits.PermitReason.BUDGET.value
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


def _note_silence(worker_id, state, out):
    """Drop a worker's connections when several brought no answer.

    They may have gone silent for good while new ones work; to open
    them anew costs little and blames nobody.
    """
    count = state.unanswered.get(worker_id, 0) + 1
    if count < SILENT_ATTEMPTS:
        state.unanswered[worker_id] = count
        return
    state.unanswered.pop(worker_id, None)
    out.append(effects.DropConnections(worker_id))


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
        seek_permit(request, state, now, out)
        return
    _abort(request, state, "The body broke off.", now, out)


def _finish(request, state, status, answer, now, out):
    out.append(effects.FinishAnswer(request.request_id))
    for attempt in list(request.attempts.values()):
        _cancel(request, attempt, state, now, out)
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
    permits.PermitReason.OVERLOAD.value: (
        503,
        "The service has more work than it can do in time.",
    ),
    permits.PermitReason.NO_WORKERS.value: (
        503,
        "The service has no backend server.",
    ),
    permits.PermitReason.QUARANTINED.value: (
        422,
        "Requests like this one crashed backend servers and are refused.",
    ),
    permits.PermitReason.DEADLINE.value: (
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
