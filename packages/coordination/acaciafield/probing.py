"""Direct and indirect probes, and the exchange of member lists."""

from acaciafield import effects
from acaciafield import membership
from acaciafield import messages
from acaciafield import structs

PROBE_PERIOD_S = 1.0
DIRECT_PROBE_TIMEOUT_S = 0.3  # indirect probes start after this
MAX_INDIRECT_PROBES = 3
DEAD_RETENTION_S = 120.0  # before a dead member is removed
MAX_WELCOME_MEMBERS = 16  # in one datagram
MIN_REJOIN_PERIOD_S = 5.0  # between exchanges of whole member lists
REJOIN_PERIOD_PER_MEMBER_S = 0.06  # the period grows with the fleet


class ProbeTimer(structs.Struct):
    """The next member must be probed."""

    __slots__ = ("due",)


class DirectProbeTimer(structs.Struct):
    """The direct probe got no answer in time."""

    __slots__ = ("sequence",)


class ProbeEndTimer(structs.Struct):
    """Neither the direct nor the indirect probes got an answer."""

    __slots__ = ("sequence", "due")


class RejoinTimer(structs.Struct):
    """The next exchange of member lists is due.

    It involves a live member and one believed dead: gossip may not reach
    every member, and the end of a network partition must be detected.
    """

    __slots__ = ()


class Probe:
    """A probe without an answer yet."""

    __slots__ = ("node_id",)

    def __init__(self, node_id):
        self.node_id = node_id


def start_probing(state, now):
    """Schedule the first probe and the first exchange of lists."""
    first_due = now + state.random.random() * PROBE_PERIOD_S
    state.timers.subscribe("probe", first_due, ProbeTimer(first_due))
    rejoin_delay = state.random.random() * MIN_REJOIN_PERIOD_S
    state.timers.subscribe("rejoin", now + rejoin_delay, RejoinTimer())


def send_joins(state, addresses, out):
    """Send joins to unknown addresses of the platform's node list.

    Only one join is sent if more than half of the nodes are known.
    """
    members = state.members
    known = {
        "%s:%d" % (m.update.ip, m.update.peer_port)
        for m in members.members_by_id.values()
        if m.status != membership.DEAD
    }
    local_address = "%s:%d" % (
        members.local_member.ip,
        members.local_member.peer_port,
    )
    unknown = [a for a in addresses if a not in known and a != local_address]
    if len(known) > len(addresses) / 2:
        unknown = unknown[:1]
    state.random.shuffle(unknown)
    for address in unknown[:MAX_INDIRECT_PROBES]:
        out.append(
            effects.SendToAddress(
                address, messages.Join([members.local_member])
            )
        )


def fire_probe(timer, state, now, out):
    """Probe the next member in a shuffled round.

    A late timer shows that this node was paused. Answers to the pending
    probes may have been missed then, so these probes are dropped.
    """
    members = state.members
    due = now + PROBE_PERIOD_S
    state.timers.subscribe("probe", due, ProbeTimer(due))
    if now - timer.due > membership.MAX_TIMER_DELAY_S:
        members.pending_probes.clear()
    node_id = _choose_probe_target(state)
    _remove_dead(members, now)
    if node_id is None:
        return
    members.sequence += 1
    sequence = members.sequence
    members.pending_probes[sequence] = Probe(node_id)
    out.append(effects.Send(node_id, membership.make_ping(state, sequence)))
    state.timers.subscribe(
        ("direct", sequence),
        now + DIRECT_PROBE_TIMEOUT_S,
        DirectProbeTimer(sequence),
    )
    end = now + PROBE_PERIOD_S
    state.timers.subscribe(
        ("probe-end", sequence), end, ProbeEndTimer(sequence, end)
    )


def fire_direct(timer, state, now, out):
    """Request indirect probes of the unresponsive member."""
    probe = state.members.pending_probes.get(timer.sequence)
    if probe is None:
        return
    others = [
        n for n in state.members.list_usable_members() if n != probe.node_id
    ]
    others = [n for n in others if n != state.members.local_member.node_id]
    count = min(MAX_INDIRECT_PROBES, len(others))
    for node_id in state.random.sample(others, count):
        out.append(
            effects.Send(
                node_id,
                messages.PingRequest(
                    timer.sequence,
                    probe.node_id,
                    membership.pick_updates(state),
                ),
            )
        )


def fire_probe_end(timer, state, now, out):
    """Suspect the member unless this node itself was paused."""
    probe = state.members.pending_probes.pop(timer.sequence, None)
    if probe is None or now - timer.due > membership.MAX_TIMER_DELAY_S:
        return
    member = state.members.members_by_id.get(probe.node_id)
    if member is None or member.status in (
        membership.SUSPECT,
        membership.DEAD,
    ):
        return
    suspect = membership.copy_update(member.update, status=membership.SUSPECT)
    membership.apply_update(state, suspect, now, out)


def fire_rejoin(timer, state, now, out):
    """Send joins to a live member and to one believed dead."""
    members = state.members
    period = max(
        MIN_REJOIN_PERIOD_S,
        REJOIN_PERIOD_PER_MEMBER_S * len(members.members_by_id),
    )
    state.timers.subscribe("rejoin", now + period, timer)
    live = [
        m
        for m in members.members_by_id.values()
        if m.status != membership.DEAD
    ]
    dead = [
        m
        for m in members.members_by_id.values()
        if m.status == membership.DEAD and not m.leaving
    ]
    if live:
        update = state.random.choice(live).update
        join = messages.Join([members.local_member])
        out.append(effects.Send(update.node_id, join))
    if dead:
        update = state.random.choice(dead).update
        address = "%s:%d" % (update.ip, update.peer_port)
        join = messages.Join([members.local_member, update])
        out.append(effects.SendToAddress(address, join))


def receive_ping(message, state, sender, now, out):
    """Answer a probe."""
    membership.apply_updates(state, message.updates, now, out)
    reply = messages.Ack(
        message.sequence,
        state.members.local_member.node_id,
        membership.pick_updates(state),
        state.config.offset,
        state.config.compute_digest(),
    )
    out.append(effects.Send(sender, reply))
    state.fetch_newer_config(sender, message.offset, message.digest, now, out)


def receive_ack(message, state, sender, now, out):
    """Close the probe, or forward the answer to the probe's requester."""
    members = state.members
    membership.apply_updates(state, message.updates, now, out)
    relayed = members.relayed_probes.pop(message.sequence, None)
    if relayed is not None:
        requester, sequence = relayed
        forward = messages.Ack(sequence, message.node_id, [], 0, "")
        out.append(effects.Send(requester, forward))
        return
    probe = members.pending_probes.get(message.sequence)
    if probe is not None and probe.node_id == message.node_id:
        del members.pending_probes[message.sequence]
        state.timers.cancel(("direct", message.sequence))
        state.timers.cancel(("probe-end", message.sequence))
    if sender == message.node_id:
        state.fetch_newer_config(
            sender, message.offset, message.digest, now, out
        )


def receive_ping_request(message, state, sender, now, out):
    """Probe a member on behalf of the sender."""
    members = state.members
    membership.apply_updates(state, message.updates, now, out)
    if message.node_id not in members.members_by_id:
        return
    members.sequence += 1
    if len(members.relayed_probes) > 256:
        members.relayed_probes.clear()
    members.relayed_probes[members.sequence] = (sender, message.sequence)
    ping = membership.make_ping(state, members.sequence)
    out.append(effects.Send(message.node_id, ping))


def receive_join(message, state, sender, now, out):
    """Add the new node and send it the members."""
    membership.apply_updates(state, message.updates, now, out)
    updates = [m.update for m in state.members.members_by_id.values()]
    updates = [u for u in updates if u.status != membership.DEAD]
    updates.append(state.members.local_member)
    for start in range(0, len(updates), MAX_WELCOME_MEMBERS):
        part = updates[start : start + MAX_WELCOME_MEMBERS]
        welcome = messages.Welcome(
            part, state.config.offset, state.config.compute_digest()
        )
        out.append(effects.Send(sender, welcome))


def receive_welcome(message, state, sender, now, out):
    """Apply the updates of a member list."""
    membership.apply_updates(state, message.updates, now, out)
    state.fetch_newer_config(sender, message.offset, message.digest, now, out)


def _choose_probe_target(state):
    members = state.members
    while True:
        while members.probe_round:
            node_id = members.probe_round.pop()
            member = members.members_by_id.get(node_id)
            if member is not None and member.status != membership.DEAD:
                return node_id
        members.probe_round = [
            n
            for n, m in members.members_by_id.items()
            if m.status != membership.DEAD
        ]
        if not members.probe_round:
            return None
        state.random.shuffle(members.probe_round)


def _remove_dead(members, now):
    if members.probe_round:
        return
    for node_id in list(members.members_by_id):
        member = members.members_by_id[node_id]
        if (
            member.status == membership.DEAD
            and now - member.changed_at > DEAD_RETENTION_S
        ):
            del members.members_by_id[node_id]
            members.gossip_counts.pop(node_id, None)
