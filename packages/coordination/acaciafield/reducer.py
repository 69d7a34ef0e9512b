"""The reducer: ``reduce_event(state, event)`` returns the effects.

Events, messages and timers are dispatched by their type to the module
that handles them.
"""

import functools

from acaciafield import arrivals
from acaciafield import attempts
from acaciafield import claims
from acaciafield import effects
from acaciafield import events
from acaciafield import handover
from acaciafield import key_binding
from acaciafield import key_records
from acaciafield import membership
from acaciafield import messages
from acaciafield import permits
from acaciafield import probing
from acaciafield import requests
from acaciafield import synchronization


def reduce_event(state, event):
    """Apply an event to the state and return the resulting effects."""
    out = []
    now = event.now
    if now - state.now > permits.MIN_PROCESS_PAUSE_S:
        permits.handle_process_pause(state, now, out)
    state.now = now
    _apply_event(event, state, now, out)
    while state.local_messages:
        _receive_message(
            state.local_messages.popleft(), state, state.node_id, now, out
        )
    return out


def fire_timers(state, now, out):
    """Fire the timers that are due and deliver local messages."""
    for timer in state.timers.pop_due(now):
        _fire_timer(timer, state, now, out)
        while state.local_messages:
            message = state.local_messages.popleft()
            _receive_message(message, state, state.node_id, now, out)


@functools.singledispatch
def _apply_event(event, state, now, out):
    raise TypeError("unknown event %r" % (event,))


@_apply_event.register
def _apply_tick(event: events.Tick, state, now, out):
    fire_timers(state, now, out)


@_apply_event.register
def _apply_message(event: events.MessageReceived, state, now, out):
    _receive_message(event.message, state, event.sender, now, out)


@_apply_event.register
def _apply_request(event: events.RequestArrived, state, now, out):
    arrivals.admit_request(event, state, now, out)


@_apply_event.register
def _apply_caller_disconnected(
    event: events.CallerDisconnected, state, now, out
):
    requests.handle_caller_disconnected(event, state, now, out)


@_apply_event.register
def _apply_head(event: events.AttemptHeadReceived, state, now, out):
    requests.handle_head(event, state, now, out)


@_apply_event.register
def _apply_end(event: events.AttemptEnded, state, now, out):
    requests.handle_end(event, state, now, out)


@_apply_event.register
def _apply_hosts(event: events.HostsRead, state, now, out):
    synchronization.update_host_list(event, state, now, out)


@_apply_event.register
def _apply_log_read(event: events.LogRead, state, now, out):
    synchronization.handle_log_records(event, state, now, out)


@_apply_event.register
def _apply_log_read_failed(event: events.LogReadFailed, state, now, out):
    synchronization.handle_read_failure(event, state, now, out)


@_apply_event.register
def _apply_appended(event: events.LogAppended, state, now, out):
    synchronization.handle_append(event, state, now, out)


@_apply_event.register
def _apply_append_failed(event: events.LogAppendFailed, state, now, out):
    synchronization.handle_append_failure(event, state, now, out)


@_apply_event.register
def _apply_stop(event: events.StopRequested, state, now, out):
    handover.start_planned_stop(state, now, out)


@functools.singledispatch
def _receive_message(message, state, sender, now, out):
    out.append(
        effects.WriteLog("peers", "Dropped a message of an unknown type.")
    )


@functools.singledispatch
def _fire_timer(timer, state, now, out):
    raise TypeError("unknown timer %r" % (timer,))


for _dispatch_type, _handler in (
    (messages.Ping, probing.receive_ping),
    (messages.Ack, probing.receive_ack),
    (messages.PingRequest, probing.receive_ping_request),
    (messages.Join, probing.receive_join),
    (messages.Welcome, probing.receive_welcome),
    (messages.ConfigFetch, synchronization.receive_config_fetch),
    (messages.ConfigState, synchronization.receive_config_state),
    (messages.ClaimsFetch, synchronization.receive_claims_fetch),
    (messages.ClaimsState, synchronization.receive_claims_state),
    (messages.HostsNotice, synchronization.receive_hosts_notice),
    (messages.PermitRequest, permits.receive_request),
    (messages.PermitGrant, attempts.receive_grant),
    (messages.PermitRefused, requests.receive_refused),
    (messages.PermitQueued, attempts.receive_queued),
    (messages.PermitHead, permits.receive_head),
    (messages.PermitDone, permits.receive_done),
    (messages.PermitHeld, permits.receive_held),
    (messages.DropPath, permits.receive_drop),
    (messages.CrashNotice, permits.receive_crash),
    (messages.BindKey, key_records.receive_bind),
    (messages.KeyVerdict, key_binding.receive_verdict),
    (messages.KeyOutcome, key_records.receive_outcome),
    (messages.KeyOutcomeAck, key_binding.receive_outcome_ack),
    (messages.ReplicateKey, key_records.receive_replicate),
    (messages.ReplicaAnswer, key_records.receive_replica_answer),
    (messages.RecordsHandover, handover.receive_handover),
    (messages.HandoverAck, handover.receive_handover_ack),
):
    _receive_message.register(_dispatch_type, _handler)

for _dispatch_type, _handler in (
    (probing.ProbeTimer, probing.fire_probe),
    (probing.DirectProbeTimer, probing.fire_direct),
    (probing.ProbeEndTimer, probing.fire_probe_end),
    (membership.SuspicionTimer, membership.fire_suspicion),
    (probing.RejoinTimer, probing.fire_rejoin),
    (synchronization.ReadTimer, synchronization.fire_read),
    (synchronization.SeedsTimer, synchronization.fire_seeds),
    (permits.JudgeTimer, permits.fire_judge),
    (permits.HostsTimer, permits.fire_hosts),
    (requests.DeadlineTimer, requests.fire_deadline),
    (attempts.KeeperTimer, attempts.fire_keeper),
    (attempts.HedgeTimer, attempts.fire_hedge),
    (requests.RetryTimer, requests.fire_retry),
    (key_records.ReplicaTimer, key_records.fire_replica),
    (key_records.SweepTimer, key_records.fire_sweep),
    (key_binding.BindTimer, key_binding.fire_bind),
    (key_binding.PollTimer, key_binding.fire_poll),
    (key_binding.ReportTimer, key_binding.fire_report),
    (claims.ClaimTimer, claims.fire_claim),
    (claims.ClaimWaitTimer, claims.fire_claim_wait),
    (handover.StopTimer, handover.fire_stop),
):
    _fire_timer.register(_dispatch_type, _handler)
