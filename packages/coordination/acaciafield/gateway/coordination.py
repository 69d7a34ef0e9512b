"""The reducer of a gateway's node, which maps events to effects.

This module handles the list of workers, the requests for grants, the
grants and the reports; :mod:`acaciafield.gateway.heartbeats` handles
heartbeats.
"""

from acaciafield.gateway import crash_sharing
from acaciafield.gateway import effects
from acaciafield.gateway import events
from acaciafield.gateway import evidence
from acaciafield.gateway import evidence_batches
from acaciafield.gateway import handlers
from acaciafield.gateway import heartbeats
from acaciafield.gateway import messages
from acaciafield.gateway import node_state
from acaciafield.gateway import quota_sharing
from acaciafield.gateway import rosters
from acaciafield.gateway import scheduling
from acaciafield import outcomes

LOCAL_COORDINATION_TIME_S = 0.6  # after a request of the node itself
DISPATCH_PERIOD_S = 0.02  # while requests are queued
# Endings of attempts without an answer; the worker may have crashed.
UNANSWERED_ENDINGS = frozenset(
    ending.value
    for ending in (
        outcomes.Ending.RESET,
        outcomes.Ending.GARBLED,
        outcomes.Ending.TIMEOUT,
    )
)


def reduce_event(state, event, boot_now=None):
    """Apply an event to the state; return the requested effects.

    ``boot_now`` is the time of CLOCK_BOOTTIME, by default that of the event.
    """
    out = []
    state.now = event.now
    state.boot_now = event.now if boot_now is None else boot_now
    handlers.apply_event(event, state, event.now, out)
    return out


@handlers.apply_event.register
def _apply_tick(event: events.Tick, state, now, out):
    for timer in state.timers.pop_due(now):
        handlers.fire_timer(timer, state, now, out)


@handlers.apply_event.register
def _apply_message(event: events.MessageReceived, state, now, out):
    handlers.receive_message(event.message, state, event.sender, now, out)


@handlers.apply_event.register
def _apply_workers(event: events.WorkersRead, state, now, out):
    state.store_read_at = now
    state.roster.replace_entries(event.entries, now, event.departures)
    _update_schedulers(state, now, out)
    heartbeats.announce_store(state, now, out)


@handlers.apply_event.register
def _apply_fetched_workers(event: events.WorkersFetched, state, now, out):
    state.has_fetched_workers = True
    if state.entries_by_service is None:
        state.store_read_at = now - event.age
    state.roster.merge_fetched(event.entries, event.departures, now)
    _update_schedulers(state, now, out)
    for service, document in event.scheduler_states.items():
        state.get_scheduler(service).load(document, now)
    crash_sharing.merge_crashes(event.crashes, "", state, now, out)
    fields = {
        "age": event.age,
        "services": len(event.scheduler_states),
        "quarantined": len(state.crashes.list_quarantined(now)),
    }
    out.append(effects.LogDecision("workers-fetched", fields))


def _update_schedulers(state, now, out):
    state.group_entries()
    for scheduler in state.schedulers.values():
        _dispatch(scheduler, state, now, out)


@handlers.fire_timer.register
def _fire_sweep(timer: node_state.SweepTimer, state, now, out):
    state.timers.subscribe("sweep", now + node_state.SWEEP_PERIOD_S, timer)
    state.crashes.sweep(now)
    state.quotas.sweep(now)
    crash_sharing.persist_crashes(state, now, out)
    for scheduler in state.schedulers.values():
        scheduler.sweep(now)


@handlers.fire_timer.register
def _fire_floor(timer: node_state.FloorTimer, state, now, out):
    """Log each service below its floor, and once when it recovers."""
    if not state.is_coordinating:
        return
    state.timers.subscribe(
        "floor", now + node_state.FLOOR_CHECK_PERIOD_S, timer
    )
    for scheduler in state.schedulers.values():
        usage = scheduler.measure_usage(now)
        is_below_floor = usage is not None and usage.share < scheduler.floor
        if is_below_floor:
            fields = scheduler.describe_usage(usage, now)
            fields["service"] = scheduler.service
            out.append(effects.LogDecision("floor", fields))
        elif scheduler.is_below_floor:
            fields = {"service": scheduler.service, "share": None}
            if usage is not None:
                fields["share"] = round(usage.share, 3)
            out.append(effects.LogDecision("floor-held", fields))
        scheduler.is_below_floor = is_below_floor


@handlers.fire_timer.register
def _fire_dispatch(timer: node_state.DispatchTimer, state, now, out):
    for scheduler in state.schedulers.values():
        _dispatch(scheduler, state, now, out)


@handlers.receive_message.register
def _receive_grant_request(
    message: messages.GrantRequest, state, sender, now, out
):
    heartbeats.start_coordinating(
        state,
        now,
        out,
        (
            heartbeats.COORDINATION_TIME_S
            if sender
            else LOCAL_COORDINATION_TIME_S
        ),
    )
    if state.entries_by_service is None:
        out.append(
            effects.LogDecision("ask-early", {"ask": message.attempt_id})
        )
        heartbeats.request_workers(state, now, out)
        return
    if not quota_sharing.admit(message, state, sender, now, out):
        return
    scheduler = state.get_scheduler(message.service)
    scheduler.budget.slack_share = state.get_budget_share()
    answer = scheduler.decide(message, sender, now)
    _answer_request(answer, message, state, sender, out)
    if scheduler.queue:
        _schedule_dispatch(state, now)


def _answer_request(answer, request, state, sender, out):
    answer = _apply_quota(answer, request, state, out)
    if isinstance(answer, messages.Grant):
        answer.granted_by = state.local_member.name
        answer.list_age = state.get_store_age(state.now)
    local_ip = state.local_member.ip
    out.append(effects.make_delivery(sender, answer, local_ip))
    if isinstance(answer, messages.GrantQueued):
        return
    out.append(_describe_decision(answer, request, state))
    if isinstance(answer, messages.GrantRefusal):
        return
    notice = messages.GrantNotice(
        request.service,
        request.attempt_id,
        request.node,
        answer.worker_id,
        request.route,
        request.time_left,
        request.retry_count,
        request.fingerprint,
        request.workspace,
        is_hedge=request.is_hedge,
    )
    evidence_batches.queue_message(state, request.service, notice, state.now)


def _apply_quota(answer, request, state, out):
    """Return the answer, or a refusal for a grant above the quota.

    A request that was queued for long takes its token with the grant.
    """
    if isinstance(answer, messages.GrantRefusal):
        quota_sharing.return_token(request.attempt_id, state, state.now)
    if not isinstance(answer, messages.Grant):
        return answer
    refusal = quota_sharing.confirm_grant(request, state, state.now, out)
    if refusal is None:
        return answer
    state.schedulers[request.service].withdraw(request.attempt_id)
    return refusal


def _describe_decision(answer, request, state):
    scheduler = state.schedulers[request.service]
    fields = {
        "ask": request.attempt_id,
        "service": request.service,
        "store_age": state.get_store_age(state.now),
        "waiting": len(scheduler.queue),
    }
    if request.is_hedge:
        fields["hedge"] = True
    if isinstance(answer, messages.GrantRefusal):
        fields["reason"] = answer.reason
        fields["fingerprint"] = request.fingerprint
        fields.update(
            state.crashes.describe_crashes(request.fingerprint, state.now)
        )
        fields["retry_after"] = answer.retry_after
        fields.update(scheduler.describe_refusal(request, state.now))
        return effects.LogDecision("refusal", fields)
    fields["worker"] = answer.worker_id
    if state.crashes.is_suspect(request.fingerprint, state.now):
        fields["fingerprint"] = request.fingerprint
        fields.update(
            state.crashes.describe_crashes(request.fingerprint, state.now)
        )
    fields.update(scheduler.describe_choice(answer.worker_id, state.now))
    return effects.LogDecision("grant", fields)


def _schedule_dispatch(state, now):
    due = now + DISPATCH_PERIOD_S
    state.timers.subscribe("dispatch", due, node_state.DispatchTimer())


def _dispatch(scheduler, state, now, out):
    for sender, request, answer in scheduler.dispatch(now):
        _answer_request(answer, request, state, sender, out)
    if scheduler.queue:
        _schedule_dispatch(state, now)


@handlers.receive_message.register
def _receive_grant_notice(
    message: messages.GrantNotice, state, sender, now, out
):
    if state.entries_by_service is not None:
        state.get_scheduler(message.service).record_remote_grant(message, now)


@handlers.receive_message.register
def _receive_report(message: messages.AttemptReport, state, sender, now, out):
    if message.is_relayed:
        message.is_relayed = False
        evidence_batches.queue_message(
            state, message.service, message, now, exclude=message.node
        )
    _apply_worker_notices(message, state, now, out)
    if state.entries_by_service is None:
        evidence.record_unlisted_attempt(message, state.crashes, now)
        return
    scheduler = state.get_scheduler(message.service)
    risk_before = _get_risk(scheduler, message.worker_id, now)
    crashes_before = state.crashes.describe_crashes(message.fingerprint, now)[
        "crashes"
    ]
    refuted_crashes = scheduler.apply_report(message, now)
    if refuted_crashes:
        _notify_refuted_crashes(refuted_crashes, message, state, out)
    _log_crash_change(scheduler, message, crashes_before, state, out)
    risk_after = _get_risk(scheduler, message.worker_id, now)
    if risk_after > risk_before + 0.05:
        fields = {
            "worker": message.worker_id,
            "service": message.service,
            "request": message.attempt_id,
            "ending": message.ending,
            "reported_by": message.node,
            "risk_before": round(risk_before, 3),
            "risk": round(risk_after, 3),
        }
        out.append(effects.LogDecision("risk", fields))
    _dispatch(scheduler, state, now, out)


def _apply_worker_notices(report, state, now, out):
    """Apply a worker's notice that it is leaving or requests a pause."""
    fields = {
        "worker": report.worker_id,
        "born": report.incarnation,
        "request": report.attempt_id,
        "told_by": report.node,
    }
    departed_version = (report.incarnation, rosters.MAX_SEQUENCE)
    if report.leaving and not state.roster.is_departed(
        report.worker_id, departed_version
    ):
        out.append(effects.LogDecision("leaving", fields))
        state.roster.record_leaving(report.worker_id, report.incarnation, now)
        if state.entries_by_service is not None:
            state.group_entries()
    if report.pause is not None and report.node == state.local_member.name:
        out.append(
            effects.LogDecision("pause", fields | {"seconds": report.pause})
        )
        state.pauses.record_pause(
            report.service,
            report.worker_id,
            report.incarnation,
            report.pause,
            now,
        )


def _notify_refuted_crashes(refuted_crashes, report, state, out):
    """Notify the other nodes of crashes that a report refutes.

    Nodes that did not grant the answered attempt cannot refute them.
    """
    for fingerprint, attempt_id in refuted_crashes:
        fields = {
            "fingerprint": fingerprint,
            "request": attempt_id,
            "worker": report.worker_id,
            "answered": report.attempt_id,
        }
        out.append(effects.LogDecision("crash-refuted", fields))
    rows = state.crashes.list_rows(state.now)
    _notify_evidence_holders(
        report.service, messages.CrashRecords(rows), state, out
    )


def _notify_evidence_holders(service, message, state, out):
    """Send a message to the other nodes that hold a service's evidence."""
    ips = evidence_batches.list_holder_ips(state, service, state.now)
    out.extend(effects.Send(ip, message) for ip in ips)


def _log_crash_change(scheduler, report, crashes_before, state, out):
    """Log a possible crash or a change of a request's crash records."""
    current = state.crashes.describe_crashes(report.fingerprint, state.now)
    is_unanswered = report.ending in UNANSWERED_ENDINGS
    if current["crashes"] == crashes_before and not is_unanswered:
        return
    fields = {
        "fingerprint": report.fingerprint,
        "request": report.attempt_id,
        "service": report.service,
        "worker": report.worker_id,
        "worker_listed": report.worker_id in scheduler.workers,
        "ending": report.ending,
        "reported_by": report.node,
        "crashes_before": crashes_before,
    }
    out.append(effects.LogDecision("crash", fields | current))


def _get_risk(scheduler, worker_id, now):
    worker = scheduler.workers.get(worker_id)
    return worker.estimate_risk(now) if worker is not None else 0.0


@handlers.receive_message.register
def _receive_withdrawal(
    message: messages.GrantWithdrawal, state, sender, now, out
):
    quota_sharing.return_token(message.attempt_id, state, now)
    # The other holders may have the withdrawal already.
    state.evidence_batches.remove_notice(message.attempt_id)
    scheduler = state.schedulers.get(message.service)
    if scheduler is not None:
        scheduler.withdraw(message.attempt_id)
        _dispatch(scheduler, state, now, out)


@handlers.receive_message.register
def _receive_grant(message: messages.Grant, state, sender, now, out):
    """Deliver a grant, unless this node knows a reason not to use it.

    The coordinator may not have been notified yet that the request is
    quarantined, or that the worker has paused this node or has left.
    """
    worker_id = message.worker_id
    if state.crashes.is_quarantined(message.fingerprint, now):
        crash_sharing.notify_coordinator(message, state, sender, now, out)
        reason = scheduling.RefusalReason.QUARANTINED
        _reject_grant(message, reason, scheduling.MAX_RETRY_AFTER_S, out)
    elif state.pauses.is_paused(worker_id, message.entry_version[0], now):
        fields = {"ask": message.attempt_id, "worker": worker_id}
        fields["granter"] = message.granted_by
        out.append(effects.LogDecision("grant-unused", fields))
        reason = scheduling.RefusalReason.PAUSED
        _reject_grant(message, reason, scheduling.MIN_RETRY_AFTER_S, out)
    elif state.roster.is_departed(worker_id, message.entry_version):
        _notify_departure(message, state, sender, out)
        reason = scheduling.RefusalReason.STALE
        _reject_grant(message, reason, scheduling.MIN_RETRY_AFTER_S, out)
    else:
        out.append(effects.DeliverAnswer(message))


def _notify_departure(grant, state, sender, out):
    """Notify the granting coordinator that the worker has left."""
    departed_version = state.roster.departures[grant.worker_id]
    fields = {
        "ask": grant.attempt_id,
        "worker": grant.worker_id,
        "granter": grant.granted_by,
        "list_age": grant.list_age,
        "granted_age": grant.entry_version,
        "departed_age": departed_version,
    }
    out.append(effects.LogDecision("grant-stale", fields))
    rows = [[grant.worker_id, *departed_version]]
    notice = messages.DepartureNotice(rows)
    local_ip = state.local_member.ip
    out.append(effects.make_delivery(sender, notice, local_ip))


def _reject_grant(grant, reason, retry_after, out):
    """Deliver a refusal to the local request in place of the grant."""
    refusal = messages.GrantRefusal(grant.attempt_id, reason, retry_after)
    out.append(effects.DeliverAnswer(refusal))


@handlers.receive_message.register(messages.GrantQueued)
@handlers.receive_message.register(messages.GrantRefusal)
def _receive_reply(message, state, sender, now, out):
    out.append(effects.DeliverAnswer(message))
