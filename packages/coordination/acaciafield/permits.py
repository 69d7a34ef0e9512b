"""Permits: a service's keeper grants the slots of its workers.

The keeper queues requests by the time their target asks for, grants
one slot to each, and hears how every attempt went.
"""

from acaciafield import effects
from acaciafield import ejections
from acaciafield import endings
from acaciafield import granting
from acaciafield import keeping as keepings
from acaciafield import messages
from acaciafield import structs
from acaciafield import workers

JUDGE_PERIOD = 0.1  # seconds
WAKE_GAP = 1.5  # seconds without any event that tell of a pause
WAKE_HOLD = 0.3  # seconds without grants after a pause


class JudgeTimer(structs.Struct):
    """The workers of a service are to be judged."""

    __slots__ = ("service",)


class HostsTimer(structs.Struct):
    """The host list of a service is to be read again."""

    __slots__ = ("service",)


def open_service(state, service, now, out):
    """Return the keeper's state of a service, begun if need be."""
    keeping = state.services.get(service)
    if keeping is None:
        keeping = state.services[service] = keepings.Keeping(service, now)
        known = state.host_lists.get(service)
        if known is not None:
            keepings.take_hosts(keeping, known.hosts, now, out)
        out.append(effects.ReadHosts(service))
        state.timers.subscribe(
            ("judge", service), now + JUDGE_PERIOD, JudgeTimer(service)
        )
        state.timers.subscribe(
            ("hosts", service),
            now + keepings.HOSTS_PERIOD,
            HostsTimer(service),
        )
    config = state.config.find_service(service)
    if config is not None:
        keeping.floor = config.floor
        keeping.caution = config.caution
    keeping.last_used = now
    return keeping


def wake(state, now, out):
    """Read host lists anew after a pause, and grant nothing meanwhile.

    What this node knew of leaving workers may be long out of date.
    """
    for service, keeping in state.services.items():
        keeping.held_until = now + WAKE_HOLD
        out.append(effects.ReadHosts(service))


def fire_judge(timer, state, now, out):
    """Judge the workers, and let go of a service long unused."""
    keeping = state.services[timer.service]
    idle = now - keeping.last_used > keepings.IDLE_AFTER
    if idle and not keeping.flights and not keeping.waiting:
        del state.services[timer.service]
        return
    due = now + JUDGE_PERIOD
    state.timers.subscribe(("judge", timer.service), due, timer)
    _reclaim(keeping, state)
    ejections.judge_workers(keeping, now, out)
    _drop_silent(keeping, state, out)
    granting.dispatch(keeping, state, now, out)


def _drop_silent(keeping, state, out):
    silent, keeping.silent = keeping.silent, set()
    for node_id, worker_id in sorted(silent):
        state.send(node_id, messages.DropPath(worker_id), out)


def receive_drop(message, state, sender, now, out):
    """Use no open connection to a worker any longer."""
    out.append(effects.DropConnections(message.worker_id))


def fire_hosts(timer, state, now, out):
    """Read the host list again while the service is kept."""
    if timer.service not in state.services:
        return
    due = now + keepings.HOSTS_PERIOD
    state.timers.subscribe(("hosts", timer.service), due, timer)
    out.append(effects.ReadHosts(timer.service))


def take_hosts(state, service, hosts, now, out):
    """Take in the host list of a kept service."""
    keeping = state.services.get(service)
    if keeping is None:
        return
    keepings.take_hosts(keeping, hosts, now, out)
    early, keeping.early_held = keeping.early_held, []
    for node_id, message in early:
        receive_held(message, state, node_id, now, out)
    granting.dispatch(keeping, state, now, out)


def receive_request(message, state, sender, now, out):
    """Queue a request for a slot, or say at once why there is none."""
    keeping = open_service(state, message.service, now, out)
    flight = keeping.flights.get(message.permit_id)
    if flight is not None:
        granting.send_grant(keeping, state, flight, now, out)
        return
    if message.permit_id in keeping.waiting:
        queued = messages.PermitQueued(message.service, message.permit_id)
        state.send(sender, queued, out)
        return
    reason = granting.find_refusal(keeping, message, now)
    if reason is not None:
        granting.refuse(keeping, state, message, sender, reason, out)
        return
    granting.enqueue(keeping, granting.Waiting(message, sender, now), now)
    granting.dispatch(keeping, state, now, out)
    if message.permit_id not in keeping.waiting:
        return
    if message.hedge:
        granting.forget_waiting(keeping, message.permit_id)
        granting.refuse(
            keeping,
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
    """Stop the clock of a flight whose answer has begun."""
    keeping = state.services.get(message.service)
    flight = keeping and keeping.flights.get(message.permit_id)
    if not flight or flight.headed:
        return
    flight.headed = True
    worker = keeping.workers.get(flight.worker_id)
    if worker is not None:
        failed = message.status >= 500
        ejections.add_result(
            keeping,
            worker,
            flight,
            message.latency,
            failed,
            message.reused,
            now,
            out,
        )


def receive_done(message, state, sender, now, out):
    """Free the slot and take in how the attempt went."""
    keeping = state.services.get(message.service)
    if keeping is None:
        return
    granting.forget_waiting(keeping, message.permit_id)
    flight = keeping.flights.pop(message.permit_id, None)
    if flight is None:
        return
    keeping.finish_flights -= flight.finish
    keeping.last_used = now
    worker = keeping.workers.get(flight.worker_id)
    if worker is not None:
        worker.flights.pop(message.permit_id, None)
        if worker.solo == message.permit_id:
            worker.solo = None
        endings.take_ending(keeping, state, worker, flight, message, now, out)
    granting.dispatch(keeping, state, now, out)


def receive_held(message, state, sender, now, out):
    """Count a permit that the former keeper granted."""
    keeping = open_service(state, message.service, now, out)
    if not keeping.listed:
        keeping.early_held.append((sender, message))
        return
    worker = keeping.workers.get(message.worker_id)
    if worker is None or message.permit_id in keeping.flights:
        return
    flight = workers.Flight(
        message.permit_id,
        message.worker_id,
        sender,
        message.class_name,
        now - message.age,
    )
    flight.fingerprint = message.fingerprint
    worker.flights[flight.permit_id] = flight
    keeping.flights[flight.permit_id] = flight


def receive_crash(message, state, sender, now, out):
    """Take in what another keeper knows of a crashing request."""
    keeping = open_service(state, message.service, now, out)
    keeping.quarantine.take_notice(
        message.fingerprint, message.crashes, message.quarantined, now
    )


def _reclaim(keeping, state):
    for flight in list(keeping.flights.values()):
        if state.members.is_alive(flight.node_id):
            continue
        del keeping.flights[flight.permit_id]
        keeping.finish_flights -= flight.finish
        worker = keeping.workers.get(flight.worker_id)
        if worker is not None:
            worker.flights.pop(flight.permit_id, None)
            if worker.solo == flight.permit_id:
                worker.solo = None
