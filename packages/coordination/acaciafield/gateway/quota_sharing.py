"""Quotas at a coordinator: admission, and transfers of tokens.

A coordinator requests tokens from those of the other zones before a
workspace runs out of them, by its recent demand. docs/design/quotas.md
describes the protocol.
"""

import math

from acaciafield.gateway import admission
from acaciafield.gateway import effects
from acaciafield.gateway import handlers
from acaciafield.gateway import messages
from acaciafield.gateway import node_state
from acaciafield.gateway import quotas as quota_buckets
from acaciafield.gateway import scheduling

CHECK_PERIOD_S = 0.1  # of the buckets; at most one planned request in it
# Requests for tokens, beyond the planned ones, for requests that wait.
MIN_URGENT_PAUSE_S = 0.01
URGENT_RATE = 30.0  # a second; with 2, those of small workspaces waited
# With round trips it must be less than grant_requests.FIRST_TIMEOUT_S, after
# which the node asks another coordinator, which takes a second token.
MAX_WAIT_S = 0.04
EXHAUSTED_TIME_S = 0.1  # after the others had no tokens
# After that, in which only planned requests are sent for the workspace, so
# that one over its limit does not use up the urgent requests of the others.
NOT_URGENT_S = 0.15
# With less, given by the terms, most transfers would be late and lost.
MIN_TRANSFER_TIME_S = 0.02
MAX_ROWS = 200  # in a message, which must fit a datagram
MAX_WAITING = 1000  # requests of all workspaces


def update_limits(limits, state, now, out):
    """Apply the limits of a configuration, None without workspaces."""
    state.quotas.update_limits(limits, now)
    _start_timer(state, now)
    _retry_waiting(state, now, out)


def _start_timer(state, now):
    if state.quotas.limits and not state.has_quota_timer:
        state.has_quota_timer = True
        state.timers.subscribe(
            "quota", now + CHECK_PERIOD_S, node_state.QuotaTimer()
        )


def find_named_coordinator(state, now):
    """Return the name that heartbeats give for this zone's coordinator.

    It is "" where no workspace has a limit.
    """
    if not state.quotas.limits:
        return ""
    zone = state.local_member.zone
    coordinator = state.membership.find_coordinator(zone, now)
    return coordinator.member.name if coordinator is not None else ""


def list_former_coordinators(state, name):
    """Return candidates that may count this member, which names another.

    They get a heartbeat as well, so that they stop at once.
    """
    candidates = state.membership.candidates
    return [
        candidates[other]
        for other in state.named_coordinators.list_unreleased(
            name, state.boot_now
        )
        if other in candidates
    ]


def measure_named_time(state, name):
    """Return the ``named_time`` of heartbeats that name a coordinator."""
    time = state.named_coordinators.measure_time(name, state.boot_now)
    return math.floor(time * 1000) / 1000 if name else None


def record_heartbeat(heartbeat, state, now):
    """Record whether a member of this zone names this coordinator."""
    # A member without limits names nobody, which ends its lease as well.
    is_relevant = heartbeat.coordinator or state.quotas.zone_share.has_lease(
        heartbeat.name
    )
    if heartbeat.zone == state.local_member.zone and is_relevant:
        is_named = heartbeat.coordinator == state.local_member.name
        if heartbeat.leaving:
            is_named = False
        state.quotas.zone_share.record_name(
            heartbeat.name,
            is_named,
            now,
            heartbeat.named_time,
            heartbeat.incarnation,
            heartbeat.sent_at,
        )
        if not is_named and state.is_coordinating:
            # The member may count for another coordinator from now on.
            state.quotas.update_share(_measure_share(state, now), now)
        _start_timer(state, now)


def record_answer(answer, state, now):
    """Name the new coordinator again once the former one has released it."""
    if state.named_coordinators.record_answer(
        answer.name, answer.heartbeat_sent_at
    ):
        state.timers.subscribe("beat", now, node_state.HeartbeatTimer())


def admit(request, state, sender, now, out):
    """Return whether a grant request may go to its scheduler now.

    Otherwise it has been refused, or it waits for tokens.
    """
    if not request.workspace or request.retry_count:
        return True
    quotas = state.quotas
    if quotas.limits is None:
        # The node asks the next coordinator, which may know the limits.
        fields = {"ask": request.attempt_id, "unknown": "limits"}
        out.append(effects.LogDecision("ask-early", fields))
        return False
    limit = quotas.find_limit(request.workspace)
    waiting = state.exchange.waiting
    if limit is None:
        waiting.pop(request.attempt_id, None)
        return True
    is_new = (
        request.attempt_id not in quotas.tokens
        and request.attempt_id not in waiting
    )
    if is_new:
        quotas.record_demand(limit, now)
    if quotas.try_take(request.attempt_id, limit, request.time_left, now):
        waiting.pop(request.attempt_id, None)
        return True
    known = waiting.get(request.attempt_id)
    if known is not None:
        if known.is_queued:
            _confirm_queued(request, state, sender, out)
        return False
    _await_tokens(request, limit, state, sender, now, out)
    return False


def _await_tokens(request, limit, state, sender, now, out):
    exchange = state.exchange
    bucket = state.quotas.find_bucket(limit, now)
    if _may_queue(request, limit, state, now):
        expires = now + _find_max_wait(request)
        exchange.waiting[request.attempt_id] = quota_buckets.WaitingRequest(
            request, sender, expires, True
        )
        _confirm_queued(request, state, sender, out)
        _request_urgently(state, now, out)
        _schedule_wait(state, now)
        return
    cause = None
    if not _list_others(state, now):
        cause = "alone"
    elif now < bucket.exhausted_until:
        cause = "others-empty"
    elif len(exchange.waiting) >= MAX_WAITING:
        cause = "many-waiting"
    if cause is not None:
        _refuse(request, cause, state, sender, now, out)
        return
    expires = now + MAX_WAIT_S
    exchange.waiting[request.attempt_id] = quota_buckets.WaitingRequest(
        request, sender, expires
    )
    _request_urgently(state, now, out)
    _schedule_wait(state, now)


def _may_queue(request, limit, state, now):
    """Return whether a request may wait until the buckets are filled.

    Without it, a start or a change of coordinators would refuse workspaces
    far below their limits. More requests than the limit provides for in that
    time are refused at once.
    """
    exchange = state.exchange
    if not state.quotas.is_settling(now):
        return False
    if len(exchange.waiting) >= MAX_WAITING:
        return False
    ahead = exchange.count_waiting()[request.workspace]
    return ahead + 1 <= limit.rate * _find_max_wait(request)


def _find_max_wait(request):
    """Return the seconds for which a request may wait for its token."""
    return admission.MAX_WAIT_SHARE * request.time_left


def _confirm_queued(request, state, sender, out):
    """Tell the node that its request waits, so that it asks nobody else."""
    queued = messages.GrantQueued(request.attempt_id)
    local_ip = state.local_member.ip
    out.append(effects.make_delivery(sender, queued, local_ip))


def _schedule_wait(state, now):
    """Set the timer for the next request for tokens, or for a refusal."""
    exchange = state.exchange
    if not exchange.waiting:
        return
    due = min(waiting.expires for waiting in exchange.waiting.values())
    next_request_at = exchange.sent_at + MIN_URGENT_PAUSE_S
    if exchange.urgent >= 1.0 and next_request_at > now:
        due = min(due, next_request_at)
    state.timers.subscribe("quota-wait", due, node_state.QuotaWaitTimer())


def _request_urgently(state, now, out):
    exchange = state.exchange
    if exchange.urgent < 1.0 or now < exchange.sent_at + MIN_URGENT_PAUSE_S:
        return
    if all(
        state.quotas.was_exhausted(
            waiting.request.workspace, now - NOT_URGENT_S
        )
        for waiting in exchange.waiting.values()
    ):
        return
    exchange.urgent -= 1.0
    _request_tokens(state, now, out)


def confirm_grant(request, state, now, out):
    """Return None, or the refusal that a grant must be replaced by."""
    if state.quotas.confirm(request.attempt_id, now):
        return None
    return _make_refusal(request, "queued", state, now, out)


def return_token(attempt_id, state, now):
    """Return the token of a request that was not granted."""
    state.exchange.waiting.pop(attempt_id, None)
    state.quotas.give_back(attempt_id, now)


def _make_refusal(request, cause, state, now, out):
    quotas = state.quotas
    retry_after = 1.0
    fields = {
        "ask": request.attempt_id,
        "workspace": request.workspace,
        "service": request.service,
        "cause": cause,
    }
    limit = quotas.find_limit(request.workspace)
    if limit is not None:
        retry_after = quotas.choose_retry_after(limit, now)
        fields.update(quotas.describe(limit, now))
    retry_after = round(retry_after, 2)
    quotas.counts["refused"] += 1
    out.append(
        effects.LogDecision("quota", fields | {"retry_after": retry_after})
    )
    return messages.GrantRefusal(
        request.attempt_id, scheduling.RefusalReason.QUOTA, retry_after
    )


def _refuse(request, cause, state, sender, now, out):
    refusal = _make_refusal(request, cause, state, now, out)
    state.get_scheduler(request.service).record_unserved(now)
    local_ip = state.local_member.ip
    out.append(effects.make_delivery(sender, refusal, local_ip))


def _list_others(state, now):
    """Return the addresses of the coordinators to request tokens from.

    Other nodes may already use this one while the members of its zone still
    name another, which then has the tokens of the zone.
    """
    if state.quotas.transfer_time < MIN_TRANSFER_TIME_S:
        return []
    local = state.local_member
    candidates = [
        candidate
        for candidate in state.membership.list_coordinators(now)
        if candidate.member.zone != local.zone
    ]
    candidates += list_former_coordinators(state, local.name)
    return [
        candidate.member.ip
        for candidate in candidates
        if candidate.member.name != local.name
        and not candidate.is_unresponsive(now)
    ]


@handlers.fire_timer.register
def _fire_quota(timer: node_state.QuotaTimer, state, now, out):
    quotas, exchange = state.quotas, state.exchange
    if not quotas.limits:
        state.has_quota_timer = False
        return
    state.timers.subscribe("quota", now + CHECK_PERIOD_S, timer)
    if not state.is_coordinating:
        quotas.clear()
        exchange.rounds.clear()
        exchange.waiting.clear()
        return
    quotas.update_share(_measure_share(state, now), now)
    quotas.release_old(now)
    exchange.urgent = min(
        quota_buckets.MAX_URGENT,
        exchange.urgent + URGENT_RATE * CHECK_PERIOD_S,
    )
    _end_rounds(state, now, out)
    if exchange.waiting:
        _retry_waiting(state, now, out)
    if now - exchange.sent_at >= CHECK_PERIOD_S / 2:
        _request_tokens(state, now, out)


def _measure_share(state, now):
    """Return the part of all limits that this coordinator refills."""
    membership = state.membership
    candidates = len(membership.list_candidates(state.local_member.zone))
    members = min(candidates, state.quotas.zone_share.count_members(now))
    return members / candidates / len(membership.list_zones())


def _request_tokens(state, now, out):
    """Request tokens for all workspaces that run low, in one message."""
    quotas, exchange = state.quotas, state.exchange
    ips = _list_others(state, now)
    if not ips:
        return
    rows = []
    waiting_counts = exchange.count_waiting()
    for name in dict.fromkeys([*waiting_counts, *quotas.list_active(now)]):
        if quotas.was_exhausted(name, now + EXHAUSTED_TIME_S / 2):
            continue
        waiting = waiting_counts[name]
        missing = quotas.find_shortage(name, waiting, now)
        if missing > 0.0:
            # Some of the others may have nothing for a waiting request.
            wanted = missing if waiting else missing / len(ips)
            rows.append([name, round(wanted, 2)])
            if len(rows) >= MAX_ROWS:
                break
    if not rows:
        return
    exchange.last_id += 1
    exchange.sent_at = now
    exchange.rounds[exchange.last_id] = quota_buckets.Round(now, ips, rows)
    request_id = "%d-%d" % (state.local_member.incarnation, exchange.last_id)
    request = messages.QuotaRequest(state.local_member.name, request_id, rows)
    out.extend(effects.Send(ip, request) for ip in ips)
    quotas.counts["messages"] += len(ips)


@handlers.receive_message.register
def _receive_quota_request(
    message: messages.QuotaRequest, state, sender, now, out
):
    """Send tokens, also if there are none, so that nobody waits."""
    quotas = state.quotas
    if not state.is_coordinating or not quotas.limits:
        return
    rows = []
    for name, wanted in message.rows:
        # Rounding down keeps a message from carrying more than was taken.
        amount = int(quotas.lend(name, wanted, now) * 100) / 100
        if amount > 0.0:
            rows.append([name, amount])
    transfer = messages.QuotaTransfer(
        state.local_member.name, message.request_id, rows
    )
    out.append(effects.Send(sender, transfer))
    quotas.counts["messages"] += 1


def _find_round(message, state):
    incarnation, _, number = str(message.request_id).partition("-")
    if incarnation != str(state.local_member.incarnation):
        return None, None
    number = int(number) if number.isdecimal() else None
    return number, state.exchange.rounds.get(number)


@handlers.receive_message.register
def _receive_quota_transfer(
    message: messages.QuotaTransfer, state, sender, now, out
):
    """Take up the tokens of a transfer, once and only if it is recent."""
    quotas, exchange = state.quotas, state.exchange
    number, pending = _find_round(message, state)
    is_expected = pending is not None and sender in pending.ips
    if not is_expected or now - pending.sent_at > quotas.transfer_time:
        quotas.counts["dropped_transfers"] += 1
        fields = {"from": message.node, "request": message.request_id}
        out.append(effects.LogDecision("quota-dropped", fields))
        return
    pending.ips.discard(sender)
    for name, amount in message.rows:
        if name in pending.wanted:
            pending.record_transfer(name, amount)
            quotas.receive(name, amount, pending.sent_at, now)
    if not pending.ips:
        del exchange.rounds[number]
        _mark_exhausted(pending, state, now)
    _retry_waiting(state, now, out)


def _mark_exhausted(pending, state, now):
    """Record the workspaces that no other coordinator can help now."""
    for name in pending.list_unmet():
        bucket = state.quotas.buckets.get(name)
        if bucket is not None and not bucket.has_token():
            bucket.exhausted_until = now + EXHAUSTED_TIME_S


def _has_token(request, state, now):
    """Return whether a waiting request would be admitted now."""
    limit = state.quotas.find_limit(request.workspace)
    if limit is None:
        return True
    return state.quotas.find_bucket(limit, now).has_token()


def _retry_waiting(state, now, out):
    """Decide on waiting requests that have tokens, or will have none."""
    exchange = state.exchange
    is_lacking = False
    for attempt_id, waiting in list(exchange.waiting.items()):
        request = waiting.request
        if _has_token(request, state, now):
            handlers.receive_message(request, state, waiting.sender, now, out)
        elif waiting.is_queued:
            is_lacking = True
        elif state.quotas.was_exhausted(request.workspace, now):
            del exchange.waiting[attempt_id]
            _refuse(request, "others-empty", state, waiting.sender, now, out)
        else:
            is_lacking = True
    if is_lacking:
        _request_urgently(state, now, out)
    _schedule_wait(state, now)


@handlers.fire_timer.register
def _fire_wait(timer: node_state.QuotaWaitTimer, state, now, out):
    for attempt_id, waiting in list(state.exchange.waiting.items()):
        if now < waiting.expires:
            continue
        request, sender = waiting.request, waiting.sender
        if _has_token(request, state, now):
            handlers.receive_message(request, state, sender, now, out)
        if state.exchange.waiting.pop(attempt_id, None) is not None:
            _refuse(request, "no-transfer", state, sender, now, out)
    if state.exchange.waiting:
        _request_urgently(state, now, out)
    _schedule_wait(state, now)


def _end_rounds(state, now, out):
    """Forget the rounds for which answers are too late."""
    exchange = state.exchange
    for number, pending in list(exchange.rounds.items()):
        if now - pending.sent_at > state.quotas.transfer_time:
            del exchange.rounds[number]
            fields = {"request": number, "silent": sorted(pending.ips)}
            out.append(effects.LogDecision("quota-unanswered", fields))
