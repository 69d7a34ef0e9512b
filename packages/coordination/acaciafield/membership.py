"""Membership by random probing, with indirect probes and suspicion.

Sources: Das, Gupta and Motivala, "SWIM: scalable weakly-consistent
infection-style process group membership protocol", DSN 2002; the rule
for a prober that was itself paused follows the thought of Dadgar,
Phillips and Currey, "Lifeguard", 2017.
"""

import math

from acaciafield import effects
from acaciafield import messages
from acaciafield import structs

PROBE_PERIOD = 1.0  # seconds
DIRECT_WAIT = 0.3  # seconds before others are asked to probe
INDIRECT_PROBES = 3
SUSPICION = 3.0  # seconds a suspect has for an objection
PAUSE_LIMIT = 0.6  # seconds a timer may be late before we blame ourselves
DEAD_KEPT = 120.0  # seconds
UPDATES_PER_MESSAGE = 6
WELCOME_SIZE = 16  # members in one datagram
CONFIG_PUSHES = 3
REJOIN_PERIOD = 5.0  # seconds between exchanges of whole lists, at least
REJOIN_COST = 0.06  # seconds of that period for each member

ALIVE = "alive"
SUSPECT = "suspect"
LEAVING = "leaving"
DEAD = "dead"
_RANK = {ALIVE: 0, LEAVING: 0, SUSPECT: 1, DEAD: 2}


class Member:
    """What this node believes of another."""

    __slots__ = ("update", "leaving", "changed", "transmissions")

    def __init__(self, update, now):
        self.update = update
        self.leaving = update.status == LEAVING
        self.changed = now
        self.transmissions = 0

    @property
    def status(self):
        """The believed status, one of the module's constants."""
        return self.update.status


class Members:
    """All known members, this node included."""

    __slots__ = (
        "own",
        "table",
        "holders",
        "ring",
        "sequence",
        "pending",
        "relayed",
        "next_probe",
        "gossip",
        "seeds",
        "usable",
    )

    def __init__(self, own):
        self.own = own
        self.table = {}
        self.holders = {}
        self.ring = []
        self.sequence = 0
        self.pending = {}
        self.relayed = {}
        self.next_probe = 0.0
        self.gossip = {own.node_id: 0}
        self.seeds = set()
        self.usable = None

    def get_update(self, node_id):
        """Return the update that describes a node, or None."""
        if node_id == self.own.node_id:
            return self.own
        member = self.table.get(node_id)
        return member.update if member else None

    def is_alive(self, node_id):
        """Tell whether the node is believed to run, leaving or not."""
        if node_id == self.own.node_id:
            return True
        member = self.table.get(node_id)
        return member is not None and member.status != DEAD

    def list_usable(self):
        """Return the node identifiers fit for new work, cached."""
        if self.usable is None:
            self.usable = [
                node_id
                for node_id, member in self.table.items()
                if member.status != DEAD and not member.leaving
            ]
            if self.own.status == ALIVE:
                self.usable.append(self.own.node_id)
        return self.usable

    def find_holder(self, node_id):
        """Return the live node that holds the node's key records.

        That is the node itself, or whoever adopted them; else None.
        """
        if self.is_alive(node_id) and node_id not in self.holders:
            return node_id
        holder = self.holders.get(node_id)
        if holder is not None and self.is_alive(holder):
            return holder
        return node_id if self.is_alive(node_id) else None


class ProbeTimer(structs.Struct):
    """The next member is to be probed."""

    __slots__ = ("due",)


class DirectTimer(structs.Struct):
    """The direct probe had no answer in time."""

    __slots__ = ("sequence",)


class ProbeEndTimer(structs.Struct):
    """The probe had no answer at all."""

    __slots__ = ("sequence", "due")


class SuspicionTimer(structs.Struct):
    """The suspect had its time to object."""

    __slots__ = ("node_id", "version", "due")


class RejoinTimer(structs.Struct):
    """Lists are compared: with a live member, and with one thought dead.

    Gossip may pass a member by, and a healed cut must be noticed.
    """

    __slots__ = ()


class Probe:
    """A probe under way."""

    __slots__ = ("node_id",)

    def __init__(self, node_id):
        self.node_id = node_id


def start_membership(state, now):
    """Begin probing."""
    first = now + state.random.random() * PROBE_PERIOD
    state.timers.subscribe("probe", first, ProbeTimer(first))
    spread = state.random.random() * REJOIN_PERIOD
    state.timers.subscribe("rejoin", now + spread, RejoinTimer())


def greet_seeds(state, addresses, out):
    """Introduce this node to addresses that the platform listed."""
    members = state.members
    known = {
        "%s:%d" % (m.update.ip, m.update.peer_port)
        for m in members.table.values()
        if m.status != DEAD
    }
    own = "%s:%d" % (members.own.ip, members.own.peer_port)
    unknown = [a for a in addresses if a not in known and a != own]
    if len(known) > len(addresses) / 2:
        unknown = unknown[:1]
    state.random.shuffle(unknown)
    for address in unknown[:INDIRECT_PROBES]:
        out.append(
            effects.SendToAddress(address, messages.Join([members.own]))
        )


def fire_probe(timer, state, now, out):
    """Probe the next member in a shuffled round."""
    members = state.members
    due = now + PROBE_PERIOD
    state.timers.subscribe("probe", due, ProbeTimer(due))
    if now - timer.due > PAUSE_LIMIT:
        members.pending.clear()
    node_id = _next_target(state)
    _forget_dead(members, now)
    if node_id is None:
        return
    members.sequence += 1
    sequence = members.sequence
    members.pending[sequence] = Probe(node_id)
    out.append(effects.Send(node_id, _make_ping(state, sequence)))
    state.timers.subscribe(
        ("direct", sequence), now + DIRECT_WAIT, DirectTimer(sequence)
    )
    end = now + PROBE_PERIOD
    state.timers.subscribe(
        ("probe-end", sequence), end, ProbeEndTimer(sequence, end)
    )


def fire_direct(timer, state, now, out):
    """Ask other members to probe the silent one."""
    probe = state.members.pending.get(timer.sequence)
    if probe is None:
        return
    others = [n for n in state.members.list_usable() if n != probe.node_id]
    others = [n for n in others if n != state.members.own.node_id]
    count = min(INDIRECT_PROBES, len(others))
    for node_id in state.random.sample(others, count):
        out.append(
            effects.Send(
                node_id,
                messages.PingRequest(
                    timer.sequence, probe.node_id, _pick_updates(state)
                ),
            )
        )


def fire_probe_end(timer, state, now, out):
    """Suspect the member, unless this node itself was paused."""
    probe = state.members.pending.pop(timer.sequence, None)
    if probe is None or now - timer.due > PAUSE_LIMIT:
        return
    member = state.members.table.get(probe.node_id)
    if member is None or member.status in (SUSPECT, DEAD):
        return
    suspect = copy_update(member.update, status=SUSPECT)
    apply_update(state, suspect, now, out)


def fire_suspicion(timer, state, now, out):
    """Declare the suspect dead if nobody objected."""
    member = state.members.table.get(timer.node_id)
    if member is None or member.status != SUSPECT:
        return
    if member.update.version != timer.version:
        return
    if now - timer.due > PAUSE_LIMIT:
        _await_objection(state, timer.node_id, timer.version, now)
        return
    apply_update(state, copy_update(member.update, status=DEAD), now, out)


def fire_rejoin(timer, state, now, out):
    """Ask a live member for its list, and greet one thought dead."""
    members = state.members
    period = max(REJOIN_PERIOD, REJOIN_COST * len(members.table))
    state.timers.subscribe("rejoin", now + period, timer)
    live = [m for m in members.table.values() if m.status != DEAD]
    dead = [
        m for m in members.table.values() if m.status == DEAD and not m.leaving
    ]
    if live:
        update = state.random.choice(live).update
        join = messages.Join([members.own])
        out.append(effects.Send(update.node_id, join))
    if dead:
        update = state.random.choice(dead).update
        address = "%s:%d" % (update.ip, update.peer_port)
        join = messages.Join([members.own, update])
        out.append(effects.SendToAddress(address, join))


def receive_ping(message, state, sender, now, out):
    """Answer a probe."""
    apply_updates(state, message.updates, now, out)
    reply = messages.Ack(
        message.sequence,
        state.members.own.node_id,
        _pick_updates(state),
        state.config.offset,
        state.config.read_digest(),
    )
    out.append(effects.Send(sender, reply))
    state.compare_config(sender, message.offset, message.digest, now, out)


def receive_ack(message, state, sender, now, out):
    """Close the probe, or pass the answer on to who asked for it."""
    members = state.members
    apply_updates(state, message.updates, now, out)
    relayed = members.relayed.pop(message.sequence, None)
    if relayed is not None:
        asker, sequence = relayed
        forward = messages.Ack(sequence, message.node_id, [], 0, "")
        out.append(effects.Send(asker, forward))
        return
    probe = members.pending.get(message.sequence)
    if probe is not None and probe.node_id == message.node_id:
        del members.pending[message.sequence]
        state.timers.cancel(("direct", message.sequence))
        state.timers.cancel(("probe-end", message.sequence))
    if sender == message.node_id:
        state.compare_config(sender, message.offset, message.digest, now, out)


def receive_ping_request(message, state, sender, now, out):
    """Probe a member on behalf of the sender."""
    members = state.members
    apply_updates(state, message.updates, now, out)
    if message.node_id not in members.table:
        return
    members.sequence += 1
    if len(members.relayed) > 256:
        members.relayed.clear()
    members.relayed[members.sequence] = (sender, message.sequence)
    ping = _make_ping(state, members.sequence)
    out.append(effects.Send(message.node_id, ping))


def receive_join(message, state, sender, now, out):
    """Take a new node in and tell it of the members."""
    apply_updates(state, message.updates, now, out)
    updates = [m.update for m in state.members.table.values()]
    updates = [u for u in updates if u.status != DEAD]
    updates.append(state.members.own)
    for start in range(0, len(updates), WELCOME_SIZE):
        part = updates[start : start + WELCOME_SIZE]
        welcome = messages.Welcome(
            part, state.config.offset, state.config.read_digest()
        )
        out.append(effects.Send(sender, welcome))


def receive_welcome(message, state, sender, now, out):
    """Learn of the members."""
    apply_updates(state, message.updates, now, out)
    state.compare_config(sender, message.offset, message.digest, now, out)


def push_config(state, out):
    """Tell a few random members that the configuration moved on."""
    members = state.members
    others = [n for n in members.list_usable() if n != members.own.node_id]
    count = min(CONFIG_PUSHES, len(others))
    for node_id in state.random.sample(others, count):
        out.append(effects.Send(node_id, _make_ping(state, 0)))


def announce(state, **changes):
    """Change what this node says of itself."""
    members = state.members
    version = members.own.version + 1
    members.own = copy_update(members.own, version=version, **changes)
    members.usable = None
    members.gossip[members.own.node_id] = 0


def apply_updates(state, updates, now, out):
    """Take in news of members."""
    for update in updates:
        apply_update(state, update, now, out)


def apply_update(state, update, now, out):
    """Take in news of one member; older news changes nothing."""
    members = state.members
    if update.node_id == members.own.node_id:
        _object(state, update)
        return
    member = members.table.get(update.node_id)
    if member is None:
        if update.status == DEAD:
            return
        member = members.table[update.node_id] = Member(update, now)
    elif _is_newer(update, member.update):
        if member.status == DEAD and update.version == member.update.version:
            return
        member.leaving = member.leaving or update.status == LEAVING
        member.update = update
        member.changed = now
    else:
        return
    members.usable = None
    members.gossip[update.node_id] = 0
    for owner in update.adopted:
        members.holders[owner] = update.node_id
    if update.status == SUSPECT:
        _await_objection(state, update.node_id, update.version, now)
    if update.status == DEAD:
        out.append(effects.Note("members", "%s is dead." % update.node_id))
    state.notice_member(update, now, out)


def copy_update(update, **changes):
    """Return a copy of a member update with some fields changed."""
    fields = {n: getattr(update, n) for n in update.__slots__}
    fields.update(changes)
    return messages.MemberUpdate(**fields)


def _is_newer(update, known):
    if update.version != known.version:
        return update.version > known.version
    return _RANK.get(update.status, 0) > _RANK.get(known.status, 0)


def _object(state, update):
    own = state.members.own
    if update.version < own.version or update.status == own.status:
        return
    if update.status in (SUSPECT, DEAD):
        state.members.own = copy_update(own, version=update.version)
        announce(state)


def _await_objection(state, node_id, version, now):
    due = now + SUSPICION
    state.timers.subscribe(
        ("suspicion", node_id), due, SuspicionTimer(node_id, version, due)
    )


def _next_target(state):
    members = state.members
    while True:
        while members.ring:
            node_id = members.ring.pop()
            member = members.table.get(node_id)
            if member is not None and member.status != DEAD:
                return node_id
        members.ring = [
            n for n, m in members.table.items() if m.status != DEAD
        ]
        if not members.ring:
            return None
        state.random.shuffle(members.ring)


def _forget_dead(members, now):
    if members.ring:
        return
    for node_id in list(members.table):
        member = members.table[node_id]
        if member.status == DEAD and now - member.changed > DEAD_KEPT:
            del members.table[node_id]
            members.gossip.pop(node_id, None)


def _make_ping(state, sequence):
    return messages.Ping(
        sequence,
        _pick_updates(state),
        state.config.offset,
        state.config.read_digest(),
    )


def _pick_updates(state):
    members = state.members
    limit = 3 * math.ceil(math.log2(len(members.table) + 2))
    names = sorted(members.gossip, key=members.gossip.get)
    updates = []
    for node_id in names[:UPDATES_PER_MESSAGE]:
        members.gossip[node_id] += 1
        if members.gossip[node_id] >= limit:
            del members.gossip[node_id]
        update = members.get_update(node_id)
        if update is not None:
            updates.append(update)
    return updates
