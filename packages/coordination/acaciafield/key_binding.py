"""Queries to the deciders of a request's key.

The entry node sends them: the node that received the request.
"""

from acaciafield import attempts
from acaciafield import claims
from acaciafield import events
from acaciafield import key_records
from acaciafield import keys
from acaciafield import messages
from acaciafield import outcomes
from acaciafield import requests
from acaciafield import structs

HOME_TIMEOUT_S = 0.6  # includes the wait for the replica
POLL_PERIOD_S = 0.1  # while another run with the same key is in progress
DECIDER_TIMEOUT_S = 0.4  # for each decider that is to refuse the key
REPORT_PERIOD_S = 1.0
MAX_REPORTS = 60  # of one outcome; then its report is dropped

Outcome = outcomes.Outcome
Verdict = key_records.Verdict

_REFUSALS = {
    Verdict.NOT_RUN: (503, "The key's replica kept silent.", 1.0),
    Verdict.EXPIRED: (
        409,
        "The key's prefix no longer serves; ask for addresses again.",
        None,
    ),
    Verdict.UNKNOWN: (504, "Whether the request ran is not known.", None),
    Verdict.MISMATCH: (
        422,
        "The key was used before with another request body.",
        None,
    ),
    Verdict.FULL: (503, "The memory for keys is full.", 30.0),
}
_NOT_RUN_VERDICTS = (Verdict.NOT_RUN, Verdict.EXPIRED, Verdict.FULL)


class BindTimer(structs.Struct):
    """A decider did not answer in time."""

    __slots__ = ("request_id", "step")


class ReportTimer(structs.Struct):
    """An outcome must be reported again."""

    __slots__ = ("grant_id",)


class PollTimer(structs.Struct):
    """The home must be queried again about a run in progress."""

    __slots__ = ("request_id",)


class KeyBinding:
    """Progress of the queries to the deciders of a request's key.

    ``step`` is 0 while the home is queried for consent, 1 while the
    replica is queried, and 2 while the home is queried a second time.
    From step 1 on, the deciders are requested to refuse the key.
    ``decider`` is the node that was queried last.
    """

    __slots__ = ("key", "step", "decider")

    def __init__(self, key):
        self.key = key
        self.step = 0
        self.decider = None


class OutcomeReport:
    """An outcome that the key's home has not acknowledged yet."""

    __slots__ = ("message", "send_count")

    def __init__(self, message):
        self.message = message
        self.send_count = 0


def bind_key(request, key, state, now, out):
    """Ask the deciders of the key whether the request may run."""
    if isinstance(key, keys.IssuedKey):
        _start_binding(request, key, state, now, out)
        return
    request.key_binding = KeyBinding(None)
    claim = claims.request_claim(
        state, key.digest, request.request_id, now, out
    )
    if claim is not None:
        _start_binding(
            request, _make_issued_key(key.digest, claim), state, now, out
        )


def resume_with_claim(request, claim, state, now, out):
    """Continue a request once the claim of its opaque key is known."""
    if claim is None:
        requests.refuse_keyed_request(
            request,
            state,
            503,
            "The log is out of reach; an earlier try may have run.",
            Outcome.UNKNOWN,
            now,
            out,
            5.0,
        )
        return
    parsed = keys.parse_key(request.event.service, request.event.key).ok
    key = _make_issued_key(parsed.digest, claim)
    _start_binding(request, key, state, now, out)


def receive_verdict(message, state, sender, now, out):
    """Handle the verdict of a decider."""
    request = state.requests.get(_read_request_id(message.bind_id))
    verdict = Verdict(message.verdict)
    is_stale = (
        request is None
        or request.key_binding is None
        or request.key_binding.key is None
        or request.key_binding.key.digest != message.key
    )
    if is_stale:
        if verdict is Verdict.RUN:
            _release_grant(message, state, sender, now, out)
        return
    if verdict is Verdict.SEALED:
        _query_next_decider(request, state, now, out)
        return
    if verdict is Verdict.RUN and request.key_binding.step > 0:
        _release_grant(message, state, sender, now, out)
        return
    if verdict is Verdict.IN_PROGRESS:
        _schedule_poll(request, state, now)
        return
    _close_binding(request, state)
    if verdict is Verdict.RUN:
        request.key_grant = (request.event.key, message.grant_id, message.key)
        attempts.request_permit(request, state, now, out)
        return
    if verdict is Verdict.RAN:
        _send_ran_answer(request, message, state, now, out)
        return
    status, title, retry_after = _REFUSALS[verdict]
    outcome = (
        Outcome.NOT_RUN if verdict in _NOT_RUN_VERDICTS else Outcome.UNKNOWN
    )
    if verdict is Verdict.MISMATCH:
        outcome = Outcome.NOT_RUN
    requests.refuse_keyed_request(
        request, state, status, title, outcome, now, out, retry_after
    )


def fire_bind(timer, state, now, out):
    """Query the next decider if the current one did not answer."""
    request = state.requests.get(timer.request_id)
    if request is None or request.key_binding is None:
        return
    if request.key_binding.step == timer.step:
        _query_next_decider(request, state, now, out)


def fire_poll(timer, state, now, out):
    """Query the home again about a run that was in progress."""
    request = state.requests.get(timer.request_id)
    if request is not None and request.key_binding is not None:
        request.key_binding.step = 0
        _query_decider(
            request, state, request.key_binding.key.home, False, now, out
        )


def report_outcome(request, outcome, status, answer, state, now, out):
    """Report the outcome to the key's home until it is acknowledged."""
    _key, grant_id, digest = request.key_grant
    _start_report(grant_id, digest, outcome, status, answer, state, now, out)


def fire_report(timer, state, now, out):
    """Send the report of an outcome, and schedule its repetition."""
    report = state.outcome_reports.get(timer.grant_id)
    if report is None:
        return
    report.send_count += 1
    owner = report.message.owner
    holder = state.members.find_holder(owner)
    if report.send_count > MAX_REPORTS or holder is None:
        del state.outcome_reports[timer.grant_id]
        return
    state.timers.subscribe(
        ("report", timer.grant_id), now + REPORT_PERIOD_S, timer
    )
    state.send(holder, report.message, out)


def receive_outcome_ack(message, state, sender, now, out):
    """Stop reporting an outcome."""
    if state.outcome_reports.pop(message.grant_id, None) is not None:
        state.timers.cancel(("report", message.grant_id))


def _start_binding(request, key, state, now, out):
    request.key_binding = KeyBinding(key)
    _query_decider(request, state, key.home, False, now, out)


def _query_next_decider(request, state, now, out):
    key_binding = request.key_binding
    key_binding.step += 1
    if key_binding.step == 1 and key_binding.key.replica != keys.NO_REPLICA:
        _query_decider(request, state, key_binding.key.replica, True, now, out)
        return
    if key_binding.step <= 2:
        key_binding.step = 2
        _query_decider(request, state, key_binding.key.home, True, now, out)
        return
    _close_binding(request, state)
    status, title, retry_after = _REFUSALS[Verdict.UNKNOWN]
    requests.refuse_keyed_request(
        request, state, status, title, Outcome.UNKNOWN, now, out, retry_after
    )


def _query_decider(request, state, owner, refuse, now, out):
    holder = state.members.find_holder(owner)
    if holder is None:
        _query_next_decider(request, state, now, out)
        return
    key_binding = request.key_binding
    key_binding.decider = owner
    key = key_binding.key
    bind = messages.BindKey(
        "%s/%d" % (state.node_id, request.request_id),
        owner,
        key.replica,
        key.epoch,
        key.digest,
        request.event.body_digest,
        refuse,
    )
    timeout_s = DECIDER_TIMEOUT_S if refuse else HOME_TIMEOUT_S
    state.timers.subscribe(
        ("bind", request.request_id),
        now + timeout_s,
        BindTimer(request.request_id, key_binding.step),
    )
    state.send(holder, bind, out)


def _schedule_poll(request, state, now):
    name = ("bind", request.request_id)
    timer = PollTimer(request.request_id)
    state.timers.subscribe(name, now + POLL_PERIOD_S, timer)


def _close_binding(request, state):
    request.key_binding = None
    state.timers.cancel(("bind", request.request_id))


def _send_ran_answer(request, message, state, now, out):
    answer = events.StoredAnswer(
        message.status, message.content_type, message.body
    )
    requests.send_stored_answer(request, state, answer, now, out)


def _release_grant(message, state, sender, now, out):
    """Report that a run which this node no longer needs did not start."""
    _start_report(
        message.grant_id,
        message.key,
        Outcome.NOT_RUN,
        0,
        None,
        state,
        now,
        out,
    )


def _start_report(grant_id, digest, outcome, status, answer, state, now, out):
    owner = grant_id.split("/", 1)[0]
    message = messages.KeyOutcome(
        owner, digest, grant_id, outcome.value, status
    )
    if answer is not None:
        message.content_type = answer.content_type
        message.body = answer.body
    state.outcome_reports[grant_id] = OutcomeReport(message)
    fire_report(ReportTimer(grant_id), state, now, out)


def _make_issued_key(digest, claim):
    return keys.IssuedKey(claim.home, claim.replica, claim.epoch, digest)


def _read_request_id(bind_id):
    return int(bind_id.rpartition("/")[2])
