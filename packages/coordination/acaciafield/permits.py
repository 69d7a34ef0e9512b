"""Permits: the keeper of a service grants the slots of its workers.

The keeper orders queued requests by the due time that follows from their
target, grants one slot to each, and receives the result of every attempt.
"""

from acaciafield import attempt_endings
from acaciafield import effects
from acaciafield import ejections
from acaciafield import granting
from acaciafield import messages
from acaciafield import service_states
from acaciafield import structs
from acaciafield import workers

JUDGE_PERIOD_S = 0.1
MIN_PROCESS_PAUSE_S = 1.5  # a longer time without an event is a pause
GRANT_PAUSE_S = 0.3  # time to read the host lists after a process pause


class JudgeTimer(structs.Struct):
    """Due time for judging the workers of a service."""

    __slots__ = ("service",)


class HostsTimer(structs.Struct):
    """Due time for reading the host list of a service again."""

    __slots__ = ("service",)


def open_service(state, service, now, out):
    """Return the keeper's state of a service; create it if missing.

    A new state starts with the host list that this node knows already, and
    starts the periodic judging and host list timers.
    """
    service_state = state.services.get(service)
    if service_state is None:
        service_state = state.services[service] = service_states.ServiceState(
            service, now
        )
        known = state.host_lists.get(service)
        if known is not None:
            service_states.update_hosts(service_state, known.hosts, now, out)
        out.append(effects.ReadHosts(service))
        state.timers.subscribe(
            ("judge", service), now + JUDGE_PERIOD_S, JudgeTimer(service)
        )
        state.timers.subscribe(
            ("hosts", service),
            now + service_states.HOSTS_PERIOD_S,
            HostsTimer(service),
        )
    config = state.config.find_service(service)
    if config is not None:
        service_state.floor = config.floor
        service_state.caution = config.caution
    service_state.last_used = now
    return service_state


def handle_process_pause(state, now, out):
    """Read the host lists again after a process pause, and pause grants.

    The node may have missed that workers left while it was paused.
    """
    for service, service_state in state.services.items():
        service_state.grants_paused_until = now + GRANT_PAUSE_S
        out.append(effects.ReadHosts(service))


def fire_judge(timer, state, now, out):
    """Judge the workers of a service, or drop its state when it is idle."""
    service_state = state.services[timer.service]
    idle = now - service_state.last_used > service_states.IDLE_TIMEOUT_S
    if idle and not service_state.in_flight and not service_state.waiting:
        del state.services[timer.service]
        return
    due = now + JUDGE_PERIOD_S
    state.timers.subscribe(("judge", timer.service), due, timer)
    _reclaim_slots(service_state, state)
    ejections.judge_workers(service_state, now, out)
    _drop_paths(service_state, state, out)
    granting.dispatch_requests(service_state, state, now, out)


def _drop_paths(service_state, state, out):
    """Notify nodes of connections that they must close."""
    dropped, service_state.paths_to_drop = service_state.paths_to_drop, set()
    for node_id, worker_id in sorted(dropped):
        state.send(node_id, messages.DropPath(worker_id), out)


def receive_drop(message, state, sender, now, out):
    """Close the idle connections to a worker, which are unresponsive."""
    out.append(effects.DropConnections(message.worker_id))


def fire_hosts(timer, state, now, out):
    """Read the host list again while this node has the service's state."""
    if timer.service not in state.services:
        return
    due = now + service_states.HOSTS_PERIOD_S
    state.timers.subscribe(("hosts", timer.service), due, timer)
    out.append(effects.ReadHosts(timer.service))


def update_hosts(state, service, hosts, now, out):
    """Apply a host list to a service whose keeper is this node."""
    service_state = state.services.get(service)
    if service_state is None:
        return
    service_states.update_hosts(service_state, hosts, now, out)
    pending, service_state.pending_held = service_state.pending_held, []
    for node_id, message in pending:
        receive_held(message, state, node_id, now, out)
    granting.dispatch_requests(service_state, state, now, out)


def receive_request(message, state, sender, now, out):
    """Grant, queue or refuse a request for a slot.

    A repeated request gets the same grant again. A hedge is never queued:
    it is refused when no slot is free.
    """
    service_state = open_service(state, message.service, now, out)
    request = service_state.in_flight.get(message.permit_id)
    if request is not None:
        granting.send_grant(service_state, state, request, now, out)
        return
    if message.permit_id in service_state.waiting:
        queued = messages.PermitQueued(message.service, message.permit_id)
        state.send(sender, queued, out)
        return
    reason = granting.find_refusal(service_state, message, now)
    if reason is not None:
        granting.refuse_permit(
            service_state, state, message, sender, reason, out
        )
        return
    granting.enqueue_request(
        service_state, granting.WaitingRequest(message, sender, now), now
    )
    granting.dispatch_requests(service_state, state, now, out)
    if message.permit_id not in service_state.waiting:
        return
    if message.hedge:
        granting.remove_waiting(service_state, message.permit_id)
        granting.refuse_permit(
            service_state,
            state,
            message,
            sender,
            granting.PermitReason.OVERLOAD,
            out,
        )
    elif sender != state.node_id:
        queued = messages.PermitQueued(message.service, message.permit_id)
        state.send(sender, queued, out)


def receive_head(message, state, sender, now, out):
    """Add the time to the response head as a result of the worker."""
    service_state = state.services.get(message.service)
    request = service_state and service_state.in_flight.get(message.permit_id)
    if not request or request.has_head:
        return
    request.has_head = True
    worker = service_state.workers.get(request.worker_id)
    if worker is not None:
        failed = message.status >= 500
        ejections.add_result(
            service_state,
            worker,
            request,
            message.latency,
            failed,
            message.reused,
            now,
            out,
        )


def receive_done(message, state, sender, now, out):
    """Free the slot and apply the result of the attempt."""
    service_state = state.services.get(message.service)
    if service_state is None:
        return
    granting.remove_waiting(service_state, message.permit_id)
    request = service_state.in_flight.pop(message.permit_id, None)
    if request is None:
        return
    service_state.finish_in_flight -= request.is_finish
    service_state.last_used = now
    worker = service_state.workers.get(request.worker_id)
    if worker is not None:
        worker.in_flight.pop(message.permit_id, None)
        if worker.exclusive == message.permit_id:
            worker.exclusive = None
        attempt_endings.apply_ending(
            service_state, state, worker, request, message, now, out
        )
    granting.dispatch_requests(service_state, state, now, out)


def receive_held(message, state, sender, now, out):
    """Count an in-flight request that the previous keeper granted.

    A report that arrives before the first host list waits for it.
    """
    service_state = open_service(state, message.service, now, out)
    if not service_state.has_host_list:
        service_state.pending_held.append((sender, message))
        return
    worker = service_state.workers.get(message.worker_id)
    if worker is None or message.permit_id in service_state.in_flight:
        return
    request = workers.InFlightRequest(
        message.permit_id,
        message.worker_id,
        sender,
        message.class_name,
        now - message.age,
    )
    request.fingerprint = message.fingerprint
    worker.in_flight[request.permit_id] = request
    service_state.in_flight[request.permit_id] = request


def receive_crash(message, state, sender, now, out):
    """Merge another keeper's record of a request that crashes workers."""
    service_state = open_service(state, message.service, now, out)
    service_state.quarantine.merge_notice(
        message.fingerprint, message.crashes, message.quarantined, now
    )


def _reclaim_slots(service_state, state):
    """Free the slots of in-flight requests whose node is not alive."""
    for request in list(service_state.in_flight.values()):
        if state.members.is_alive(request.node_id):
            continue
        del service_state.in_flight[request.permit_id]
        service_state.finish_in_flight -= request.is_finish
        worker = service_state.workers.get(request.worker_id)
        if worker is not None:
            worker.in_flight.pop(request.permit_id, None)
            if worker.exclusive == request.permit_id:
                worker.exclusive = None
