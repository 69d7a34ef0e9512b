"""Heartbeats: coordinators, membership and the state exchanged with them.

A node coordinates while other nodes send it heartbeats or requests for a
grant, and reads the platform's store during that time.
"""

from acaciafield.gateway import crash_sharing
from acaciafield.gateway import effects
from acaciafield.gateway import events
from acaciafield.gateway import handlers
from acaciafield.gateway import members
from acaciafield.gateway import messages
from acaciafield.gateway import node_state
from acaciafield.gateway import quota_sharing
from acaciafield.gateway import store_eras

COORDINATION_TIME_S = 3.0  # since the last heartbeat or request
PUSH_PERIOD_S = 0.5  # minimum between unsolicited lists of members
# Delay of a fetch from another availability zone, within which the
# coordinator of the local zone usually passes the configuration on.
REMOTE_FETCH_DELAY_S = 0.4


@handlers.apply_event.register
def _apply_store_answer(event: events.StoreAnswered, state, now, out):
    state.store_read_at = now
    if not state.is_store_reachable:
        state.is_store_reachable = True
        state.has_announced_store = False
    announce_store(state, now, out)


@handlers.apply_event.register
def _apply_store_failure(event: events.StoreFailed, state, now, out):
    """Notify the members at once, as they need another coordinator."""
    if not state.is_store_reachable:
        return
    state.is_store_reachable = False
    _notify_members(state, now, out)


def announce_store(state, now, out):
    """Notify the members once that the store answers this node.

    Their heartbeats may have arrived before the first answer of the
    store, so that they still look for a coordinator. No notice is needed
    where a better candidate of their zone reaches the store.
    """
    if state.has_announced_store or state.entries_by_service is None:
        return
    state.has_announced_store = True
    if not state.membership.has_better_candidate(state.local_member.name, now):
        _notify_members(state, now, out)


def _notify_members(state, now, out):
    """Send the state of the store to all nodes that send heartbeats."""
    answer = _make_answer(state, None)
    for member, _ in state.registry.table.values():
        if member.name == state.local_member.name:
            _receive_answer(answer, state, "", now, out)
        else:
            out.append(effects.Send(member.ip, answer))


@handlers.apply_event.register
def _apply_configuration(event: events.ConfigurationUpdated, state, now, out):
    if event.version <= state.config_version:
        return
    state.config_version = event.version
    state.freshness.adopt_version(event.version)
    quota_sharing.update_limits(event.limits, state, now, out)
    if now >= state.coordinating_until:
        return
    notice = messages.ConfigNotice(state.local_member.name, event.version)
    for ip in _list_notified_ips(state, now):
        out.append(effects.Send(ip, notice))


def _list_notified_ips(state, now):
    """Return the addresses of the nodes to notify of a new configuration.

    They are the other members of the local zone and the coordinators of the
    other zones, so that a large configuration crosses to each zone once.
    """
    local_member = state.local_member
    members_in_zone = [
        member
        for member, _ in state.registry.table.values()
        if member.zone == local_member.zone
    ]
    coordinators = [c.member for c in _list_other_coordinators(state, now)]
    ips = {member.ip for member in members_in_zone + coordinators}
    return sorted(ips - {local_member.ip})


@handlers.apply_event.register
def _apply_confirmation(event: events.ConfigurationConfirmed, state, now, out):
    state.freshness.record_proof(
        state.config_version, event.proven_at, state.boot_now
    )


@handlers.apply_event.register
def _apply_members(event: events.MembersRead, state, now, out):
    for member in event.members:
        state.membership.add_candidate(member)


@handlers.apply_event.register
def _apply_stop(event: events.StopRequested, state, now, out):
    state.leaving = True
    _send_heartbeats(state, now, out)


def start_coordinating(state, now, out, duration_s=COORDINATION_TIME_S):
    """Coordinate for at least ``duration_s`` and follow the store."""
    state.coordinating_until = max(state.coordinating_until, now + duration_s)
    if not state.is_coordinating:
        state.is_coordinating = True
        state.has_announced_store = False
        due = now + node_state.FLOOR_CHECK_PERIOD_S
        state.timers.subscribe("floor", due, node_state.FloorTimer())
        out.append(effects.FollowStore(True))
        out.append(effects.LogDecision("duty", {"taken": True}))
        request_workers(state, now, out)


def _list_other_coordinators(state, now):
    """Return the coordinators except this node."""
    return [
        candidate
        for candidate in state.membership.list_coordinators(now)
        if candidate.member.name != state.local_member.name
    ]


def request_workers(state, now, out):
    """Fetch the workers from a coordinator, as the store may not answer."""
    for candidate in _list_other_coordinators(state, now):
        if (
            candidate.last_answer_at is not None
            and candidate.store_age is not None
        ):
            out.append(effects.FetchWorkers(candidate.member.ip))
            return


@handlers.fire_timer.register
def _fire_heartbeat(timer: node_state.HeartbeatTimer, state, now, out):
    state.timers.subscribe("beat", now + members.HEARTBEAT_PERIOD_S, timer)
    _send_heartbeats(state, now, out)
    _fetch_announced_configuration(state, now, out)
    if now - state.answered_at > node_state.LOCAL_GRANTS_AFTER_S:
        start_coordinating(state, now, out)
    if state.is_coordinating and now > state.coordinating_until:
        state.is_coordinating = False
        state.has_fetched_workers = False
        state.schedulers.clear()
        state.entries_by_service = None
        state.roster.stop_following()
        out.append(effects.FollowStore(False))
        out.append(effects.LogDecision("duty", {"taken": False}))
    if state.is_coordinating and not state.has_fetched_workers:
        request_workers(state, now, out)
    lost = state.registry.remove_unresponsive(now)
    if lost:
        out.append(effects.LogDecision("members", {"gone": lost}))
        _push_members(state, out)


def _send_heartbeats(state, now, out):
    local_member = state.local_member
    named = quota_sharing.find_named_coordinator(state, now)
    named_time = quota_sharing.measure_named_time(state, named)
    targets = state.membership.list_heartbeat_targets(
        now, force_all=state.leaving
    )
    for candidate in quota_sharing.list_former_coordinators(state, named):
        if candidate not in targets:
            targets.append(candidate)
    for candidate in targets:
        heartbeat = messages.Heartbeat(
            local_member.name,
            local_member.incarnation,
            local_member.ip,
            local_member.zone,
            local_member.weight,
            state.is_serving(now),
            state.leaving,
            state.config_version,
            state.membership.digest,
            _is_list_wanted(state, candidate, now),
            state.crashes.digest,
            (
                state.crashes.list_rows(now)
                if candidate.is_missing_crashes
                else ()
            ),
            state.boot_now,
            coordinator=named,
            named_time=named_time,
        )
        if candidate.member.name == named:
            state.named_coordinators.record_sent(named, state.boot_now)
        candidate.is_missing_crashes = False
        candidate.record_heartbeat_sent(now)
        if candidate.member.name == local_member.name:
            _receive_heartbeat(heartbeat, state, "", now, out)
        else:
            out.append(effects.Send(candidate.member.ip, heartbeat))


def _is_list_wanted(state, candidate, now):
    """Return whether to ask a candidate for the list of members.

    A candidate of another zone is asked only while no coordinator of the
    local zone responds.
    """
    if candidate.member.zone == state.local_member.zone:
        return True
    coordinator = state.membership.find_coordinator(
        state.local_member.zone, now
    )
    return coordinator is None or coordinator.is_unresponsive(now)


@handlers.receive_message.register
def _receive_heartbeat(message: messages.Heartbeat, state, sender, now, out):
    start_coordinating(state, now, out)
    changed = state.registry.record_heartbeat(message, now)
    quota_sharing.record_heartbeat(message, state, now)
    registry = state.registry
    crash_sharing.merge_crashes(message.crashes, message.name, state, now, out)
    crashes = ()
    if message.crash_digest != state.crashes.digest:
        crashes = state.crashes.list_rows(now)
    member_rows = None
    if message.is_list_wanted and message.digest != registry.digest:
        member_rows = registry.list_rows()
    # Each node gets the departures from the coordinator of its own zone.
    departures = (
        state.roster.list_recent_departures(now)
        if message.is_list_wanted or now < state.share_departures_until
        else ()
    )
    answer = _make_answer(
        state, member_rows, departures, crashes, message.sent_at
    )
    if message.name == state.local_member.name:
        _receive_answer(answer, state, "", now, out)
    else:
        out.append(effects.Send(message.ip, answer))
        _fetch_newer_configuration(
            message.config_version, message.ip, state, out
        )
    if changed:
        _push_members(state, out)


def _make_answer(
    state, member_rows, departures=(), crashes=(), heartbeat_sent_at=None
):
    return messages.HeartbeatAnswer(
        state.local_member.name,
        state.local_member.incarnation,
        state.config_version,
        state.get_store_age(state.now),
        state.is_store_reachable,
        state.leaving,
        state.registry.digest,
        member_rows,
        departures,
        state.crashes.digest,
        crashes,
        heartbeat_sent_at,
        state.freshness.measure_age(state.boot_now),
        store_era=state.store_era or 0,
    )


def _push_members(state, out):
    """Send the list of members within the zone, at a limited rate.

    While many hosts start, a list at each change would cost the cube of
    their number; members receive what is left out with the answers to
    their next heartbeats.
    """
    if state.now < state.next_push_at:
        return
    state.next_push_at = state.now + PUSH_PERIOD_S
    registry = state.registry
    answer = _make_answer(state, registry.list_rows())
    for member, _ in registry.table.values():
        if member.zone != state.local_member.zone:
            continue
        if member.name == state.local_member.name:
            state.membership.replace_members(answer.members, answer.digest)
        else:
            out.append(effects.Send(member.ip, answer))


@handlers.receive_message.register
def _receive_answer(
    message: messages.HeartbeatAnswer, state, sender, now, out
):
    candidate = state.membership.candidates.get(message.name)
    if candidate is None:
        return
    candidate.record_answer(now)
    candidate.store_age = message.store_age
    candidate.is_store_reachable = message.is_store_reachable
    candidate.leaving = message.leaving
    state.answered_at = now
    state.has_reached_coordinator = True
    quota_sharing.record_answer(message, state, now)
    state.freshness.record_answer(
        message.config_version,
        message.heartbeat_sent_at,
        message.config_age,
        state.boot_now,
    )
    if message.store_era:
        store_eras.observe_era(
            state, message.store_era, message.name, now, out
        )
    crash_sharing.merge_crashes(message.crashes, message.name, state, now, out)
    candidate.is_missing_crashes = message.crash_digest != state.crashes.digest
    if message.departures:
        apply_departures(message.departures, message.name, state, now, out)
    if message.members is not None:
        coordinator = state.membership.find_coordinator(
            state.local_member.zone, now
        )
        if (
            coordinator is candidate
            or coordinator is None
            or coordinator.is_unresponsive(now)
        ):
            state.membership.replace_members(message.members, message.digest)
    if message.config_version > state.config_version:
        _receive_newer_version(message.config_version, candidate, state, out)


def apply_departures(rows, source, state, now, out):
    """Stop using the workers that left; ``rows`` as Roster.list_departed."""
    known = state.roster.departures
    new_rows = [row for row in rows if row[0] not in known]
    if new_rows:
        fields = {"workers": new_rows, "told_by": source}
        out.append(effects.LogDecision("departed", fields))
    if (
        state.roster.apply_departures(rows, now)
        and state.entries_by_service is not None
    ):
        state.group_entries()


@handlers.receive_message.register
def _receive_departure_notice(
    message: messages.DepartureNotice, state, sender, now, out
):
    apply_departures(message.rows, sender, state, now, out)


def _receive_newer_version(version, candidate, state, out):
    """Fetch a configuration that a heartbeat answer announces.

    A coordinator of another zone is asked only if the local zone does not
    pass the configuration on in time.
    """
    if candidate.member.zone == state.local_member.zone:
        _fetch_newer_configuration(version, candidate.member.ip, state, out)
        return
    announced = state.announced_version
    if announced is None or version > announced.version:
        state.announced_version = node_state.AnnouncedVersion(
            version, candidate.member.ip, state.now
        )


def _fetch_announced_configuration(state, now, out):
    """Fetch a configuration that only another zone has announced."""
    announced = state.announced_version
    if announced is None:
        return
    if announced.version <= state.config_version:
        state.announced_version = None
    elif now - announced.announced_at >= REMOTE_FETCH_DELAY_S:
        state.announced_version = None
        _fetch_newer_configuration(announced.version, announced.ip, state, out)


def _fetch_newer_configuration(version, ip, state, out):
    if version > state.config_version and ip != state.local_member.ip:
        out.append(effects.FetchConfiguration(ip, version))


@handlers.receive_message.register
def _receive_config_notice(
    message: messages.ConfigNotice, state, sender, now, out
):
    _fetch_newer_configuration(message.config_version, sender, state, out)
