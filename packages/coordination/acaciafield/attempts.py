"""Attempts at their entry: permits asked for, slots used, given up."""

from acaciafield import classes
from acaciafield import effects
from acaciafield import messages
from acaciafield import outcomes
from acaciafield import placement
from acaciafield import structs

HEAD_WAIT = 10.0  # seconds for the head of a download
KEEPER_WAIT = 0.4  # seconds for a keeper's word
KEEPER_AVOID = 5.0  # seconds for which a silent keeper is passed over
KEEPERS = 3  # nodes that are asked in turn
SILENT_ATTEMPTS = 2  # in a row, after which open connections are dropped


Ending = outcomes.Ending
Stage = outcomes.Stage


class KeeperTimer(structs.Struct):
    """The keeper kept silent about a permit."""

    __slots__ = ("request_id", "attempt", "asked")


class HedgeTimer(structs.Struct):
    """The request is late enough for a second attempt."""

    __slots__ = ("request_id",)


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
    request, attempt = find_attempt(state, message.permit_id)
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


def receive_queued(message, state, sender, now, out):
    """Wait on: the keeper has the request."""
    request, attempt = find_attempt(state, message.permit_id)
    if attempt is not None and attempt.granted is None:
        _watch_keeper(request, attempt, state, now, asked=1)


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


def find_attempt(state, permit_id):
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


def report_done(request, attempt, state, stage, ending, status, now, out):
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


def cancel(request, attempt, state, now, out):
    del request.attempts[attempt.number]
    state.timers.cancel(("keeper", request.request_id, attempt.number))
    if attempt.granted is not None:
        out.append(effects.CancelAttempt(request.request_id, attempt.number))
    report_done(
        request,
        attempt,
        state,
        Stage.BODY if attempt.headed else Stage.WAIT,
        Ending.CANCELLED,
        0,
        now,
        out,
    )


def note_silence(worker_id, state, out):
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
