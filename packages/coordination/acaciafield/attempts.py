"""Attempts of a request: permit requests, hedges and cancellation."""

from acaciafield import classes
from acaciafield import effects
from acaciafield import messages
from acaciafield import outcomes
from acaciafield import placement
from acaciafield import structs

HEAD_TIMEOUT_S = 10.0  # for downloads; others have until the deadline
KEEPER_TIMEOUT_S = 0.4  # then the permit request is sent again
KEEPER_BACKOFF_S = 5.0  # an unresponsive keeper is skipped meanwhile
MAX_RANKED_KEEPERS = 3
UNANSWERED_ATTEMPTS_TO_DROP = 2  # in a row; then connections are closed


Ending = outcomes.Ending
Stage = outcomes.Stage


class KeeperTimer(structs.Struct):
    """Timeout of a permit request; ``send_count`` counts tries at a keeper."""

    __slots__ = ("request_id", "attempt", "send_count")


class HedgeTimer(structs.Struct):
    """Due time of the hedge of a request."""

    __slots__ = ("request_id",)


class Attempt:
    """One attempt to run a request on a worker.

    It begins with the permit request; ``granted_at`` is in seconds, or
    None before the grant; ``has_head`` is set once the response head
    arrived.
    """

    __slots__ = (
        "number",
        "permit_request",
        "keeper",
        "worker_id",
        "granted_at",
        "has_head",
        "reused",
    )

    def __init__(self, number, permit_request):
        self.number = number
        self.permit_request = permit_request
        self.keeper = None
        self.worker_id = None
        self.granted_at = None
        self.has_head = False
        self.reused = False


def request_permit(request, state, now, out, retry=False, hedge=False):
    """Start an attempt: send a permit request to the service's keeper."""
    request.attempt_count += 1
    number = request.attempt_count
    event = request.event
    target = request.work_class.within
    if request.work_class.target is classes.Target.FINISH:
        target = classes.FINISH_TIMEOUT_S
    permit_request = messages.PermitRequest(
        event.service,
        "%s/%d/%d" % (state.node_id, request.request_id, number),
        request.work_class.name,
        max(0.0, request.deadline - now),
        target,
        event.fingerprint,
        request.idempotent,
        request.tried_workers,
        retry,
        hedge,
    )
    attempt = request.attempts[number] = Attempt(number, permit_request)
    _send_permit_request(request, attempt, state, now, out, send_count=1)


def receive_grant(message, state, sender, now, out):
    """Send the request to the worker that the grant names."""
    request, attempt = find_attempt(state, message.permit_id)
    if attempt is None:
        _return_permit(state, message, sender, out)
        return
    if attempt.granted_at is not None:
        return
    attempt.granted_at = now
    attempt.worker_id = message.worker_id
    attempt.keeper = sender
    state.timers.cancel(("keeper", request.request_id, attempt.number))
    request.tried_workers = tuple(request.tried_workers) + (message.worker_id,)
    out.append(
        effects.StartAttempt(
            request.request_id,
            attempt.number,
            message.worker_id,
            message.address,
            message.fresh or _needs_new_connection(request, attempt),
            request.offset,
            _find_head_timeout(request, now),
        )
    )
    _schedule_hedge(request, state, message.hedge_after, now)


def receive_queued(message, state, sender, now, out):
    """Restart the keeper timer; the keeper has queued the request."""
    request, attempt = find_attempt(state, message.permit_id)
    if attempt is not None and attempt.granted_at is None:
        _start_keeper_timer(request, attempt, state, now, send_count=1)


def fire_keeper(timer, state, now, out):
    """Send the permit request again, then to the next keeper."""
    request = state.requests.get(timer.request_id)
    attempt = request and request.attempts.get(timer.attempt)
    if not attempt or attempt.granted_at is not None:
        return
    send_count = timer.send_count + 1
    if send_count > 2:
        state.unresponsive_keepers[attempt.keeper] = now + KEEPER_BACKOFF_S
        send_count = 1
    _send_permit_request(request, attempt, state, now, out, send_count)


def fire_hedge(timer, state, now, out):
    """Start a hedge: a second attempt of a late request."""
    request = state.requests.get(timer.request_id)
    if (
        request is None
        or request.relayed_attempt is not None
        or request.has_hedge
    ):
        return
    if len(request.attempts) != 1:
        return
    request.has_hedge = True
    request_permit(request, state, now, out, hedge=True)


def replace_keeper(request, node_id, state, now, out):
    """Send the permit requests that a lost keeper had to another one."""
    for attempt in list(request.attempts.values()):
        if attempt.granted_at is None and attempt.keeper == node_id:
            _send_permit_request(
                request, attempt, state, now, out, send_count=1
            )


def find_keeper(state, service, now):
    """Return the keeper of a service, in this node's view.

    Unresponsive keepers are skipped until their backoff ends. Without any
    other keeper, this node is the keeper itself.
    """
    for node_id in rank_keepers(state, service):
        if now >= state.unresponsive_keepers.get(node_id, 0.0):
            return node_id
    return state.node_id


def rank_keepers(state, service):
    """Return the ranked keepers, cached until the membership changes."""
    usable = state.members.list_usable_members()
    if state.ranked_members is not usable:
        state.ranked_members = usable
        state.ranked_keepers = {}
    ranked = state.ranked_keepers.get(service)
    if ranked is None:
        ranked = placement.rank_nodes(service, usable, MAX_RANKED_KEEPERS)
        state.ranked_keepers[service] = ranked
    return ranked


def _send_permit_request(request, attempt, state, now, out, send_count):
    keeper = find_keeper(state, request.event.service, now)
    _report_held_permits(state, request.event.service, keeper, now, out)
    attempt.keeper = keeper
    if keeper != state.node_id:
        _start_keeper_timer(request, attempt, state, now, send_count)
    state.send(keeper, attempt.permit_request, out)


def _start_keeper_timer(request, attempt, state, now, send_count):
    state.timers.subscribe(
        ("keeper", request.request_id, attempt.number),
        now + KEEPER_TIMEOUT_S,
        KeeperTimer(request.request_id, attempt.number, send_count),
    )


def _report_held_permits(state, service, keeper, now, out):
    """Report granted permits to a new keeper of the service."""
    previous_keeper = state.last_keepers.get(service)
    state.last_keepers[service] = keeper
    if previous_keeper is None or previous_keeper == keeper:
        return
    for request in state.requests.values():
        if request.event.service != service:
            continue
        for attempt in request.attempts.values():
            if attempt.granted_at is None:
                continue
            attempt.keeper = keeper
            notice = messages.PermitHeld(
                service,
                attempt.permit_request.permit_id,
                attempt.worker_id,
                request.work_class.name,
                now - attempt.granted_at,
                request.event.fingerprint,
            )
            state.send(keeper, notice, out)


def _needs_new_connection(request, attempt):
    """Return whether the attempt must use a new connection.

    An open connection may be unresponsive. That must not delay a retry or
    a request that can't be hedged.
    """
    return not request.idempotent or attempt.number > 1


def _find_head_timeout(request, now):
    """Return the seconds until the response head must arrive."""
    remaining = max(0.001, request.deadline - now)
    if request.work_class.target is classes.Target.FINISH:
        return min(HEAD_TIMEOUT_S, remaining)
    return remaining


def find_attempt(state, permit_id):
    """Return the Request and Attempt of a permit; None for an ended one."""
    _node_id, request_id, number = permit_id.rsplit("/", 2)
    request = state.requests.get(int(request_id))
    if request is None:
        return None, None
    return request, request.attempts.get(int(number))


def _return_permit(state, message, sender, out):
    """Return a permit that no attempt waits for to its keeper."""
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


def _schedule_hedge(request, state, hedge_after, now):
    if not request.idempotent or request.relayed_attempt is not None:
        return
    if request.has_hedge or hedge_after <= 0.0:
        return
    state.timers.subscribe(
        ("hedge", request.request_id),
        now + hedge_after,
        HedgeTimer(request.request_id),
    )


def report_done(request, attempt, state, stage, ending, status, now, out):
    """Report the end of an attempt to the keeper, which frees the slot."""
    latency = 0.0
    if attempt.granted_at is not None:
        latency = now - attempt.granted_at
    done = messages.PermitDone(
        request.event.service,
        attempt.permit_request.permit_id,
        attempt.worker_id or "",
        stage.value,
        ending.value,
        status,
        latency,
        attempt.reused,
        request.event.fingerprint,
    )
    state.send(attempt.keeper, done, out)


def cancel(request, attempt, state, now, out):
    """Cancel an attempt and report it to the keeper."""
    del request.attempts[attempt.number]
    state.timers.cancel(("keeper", request.request_id, attempt.number))
    if attempt.granted_at is not None:
        out.append(effects.CancelAttempt(request.request_id, attempt.number))
    report_done(
        request,
        attempt,
        state,
        Stage.BODY if attempt.has_head else Stage.WAIT,
        Ending.CANCELLED,
        0,
        now,
        out,
    )


def count_unanswered(worker_id, state, out):
    """Close a worker's connections after several unanswered attempts.

    They may stay unresponsive while new connections work. Opening new ones
    costs little, and does not count as evidence against the worker.
    """
    count = state.unanswered_attempts.get(worker_id, 0) + 1
    if count < UNANSWERED_ATTEMPTS_TO_DROP:
        state.unanswered_attempts[worker_id] = count
        return
    state.unanswered_attempts.pop(worker_id, None)
    out.append(effects.DropConnections(worker_id))
