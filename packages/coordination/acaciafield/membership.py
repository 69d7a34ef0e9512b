"""Membership by random probing, with indirect probes and suspicion.

The protocol follows Das, Gupta and Motivala, "SWIM: scalable
weakly-consistent infection-style process group membership protocol",
DSN 2002. The rule for a prober that was itself paused follows Dadgar,
Phillips and Currey, "Lifeguard", 2017.
"""

import math

from acaciafield import effects
from acaciafield import messages
from acaciafield import structs

SUSPICION_TIMEOUT_S = 3.0  # for a suspect to refute the suspicion
MAX_TIMER_DELAY_S = 0.6  # a later timer shows that this node was paused
MAX_UPDATES_PER_MESSAGE = 6
MAX_CONFIG_PUSHES = 3  # members to which a new version is announced
ALIVE = "alive"
SUSPECT = "suspect"
LEAVING = "leaving"
DEAD = "dead"
_STATUS_RANK = {ALIVE: 0, LEAVING: 0, SUSPECT: 1, DEAD: 2}


class Member:
    """State of another node as this node knows it."""

    __slots__ = ("update", "leaving", "changed_at", "transmissions")

    def __init__(self, update, now):
        self.update = update
        self.leaving = update.status == LEAVING
        self.changed_at = now
        self.transmissions = 0

    @property
    def status(self):
        """The last known status, one of the module's constants."""
        return self.update.status


class Members:
    """All known members, including this node.

    ``gossip_counts`` maps the node id of each update still spread by
    gossip to the number of messages that carried it. ``holders`` maps a
    stopped node to the node that adopted its key records. ``probe_round``
    lists the nodes still to probe in this round. ``pending_probes`` maps a
    sequence number to the Probe, ``relayed_probes`` to the requester and
    its sequence number.
    """

    __slots__ = (
        "local_member",
        "members_by_id",
        "holders",
        "probe_round",
        "sequence",
        "pending_probes",
        "relayed_probes",
        "gossip_counts",
        "usable_members",
    )

    def __init__(self, local_member):
        self.local_member = local_member
        self.members_by_id = {}
        self.holders = {}
        self.probe_round = []
        self.sequence = 0
        self.pending_probes = {}
        self.relayed_probes = {}
        self.gossip_counts = {local_member.node_id: 0}
        self.usable_members = None

    def get_update(self, node_id):
        """Return the latest update of a node, or None."""
        if node_id == self.local_member.node_id:
            return self.local_member
        member = self.members_by_id.get(node_id)
        return member.update if member else None

    def is_alive(self, node_id):
        """Return whether the node is not known as dead."""
        if node_id == self.local_member.node_id:
            return True
        member = self.members_by_id.get(node_id)
        return member is not None and member.status != DEAD

    def list_usable_members(self):
        """Return the ids of nodes that accept new work; the list is cached."""
        if self.usable_members is None:
            self.usable_members = [
                node_id
                for node_id, member in self.members_by_id.items()
                if member.status != DEAD and not member.leaving
            ]
            if self.local_member.status == ALIVE:
                self.usable_members.append(self.local_member.node_id)
        return self.usable_members

    def find_holder(self, node_id):
        """Return the live node that holds the node's key records.

        That is the node itself or the node that adopted its records;
        None if neither is alive.
        """
        if self.is_alive(node_id) and node_id not in self.holders:
            return node_id
        holder = self.holders.get(node_id)
        if holder is not None and self.is_alive(holder):
            return holder
        return node_id if self.is_alive(node_id) else None


class SuspicionTimer(structs.Struct):
    """The suspect has not refuted the suspicion in time."""

    __slots__ = ("node_id", "version", "due")


def fire_suspicion(timer, state, now, out):
    """Declare the suspect dead unless it refuted the suspicion.

    A late timer shows that this node was paused, so that it may have
    missed the refutation. The timer is then restarted.
    """
    member = state.members.members_by_id.get(timer.node_id)
    if member is None or member.status != SUSPECT:
        return
    if member.update.version != timer.version:
        return
    if now - timer.due > MAX_TIMER_DELAY_S:
        _start_suspicion_timer(state, timer.node_id, timer.version, now)
        return
    apply_update(state, copy_update(member.update, status=DEAD), now, out)


def announce_config(state, out):
    """Send the configuration version to a few random members."""
    members = state.members
    others = [
        n
        for n in members.list_usable_members()
        if n != members.local_member.node_id
    ]
    count = min(MAX_CONFIG_PUSHES, len(others))
    for node_id in state.random.sample(others, count):
        out.append(effects.Send(node_id, make_ping(state, 0)))


def update_local_member(state, **changes):
    """Change the update of this node and spread it by gossip."""
    members = state.members
    version = members.local_member.version + 1
    members.local_member = copy_update(
        members.local_member, version=version, **changes
    )
    members.usable_members = None
    members.gossip_counts[members.local_member.node_id] = 0


def apply_updates(state, updates, now, out):
    """Apply updates of members."""
    for update in updates:
        apply_update(state, update, now, out)


def apply_update(state, update, now, out):
    """Apply the update of one member unless it is outdated."""
    members = state.members
    if update.node_id == members.local_member.node_id:
        _refute_suspicion(state, update)
        return
    member = members.members_by_id.get(update.node_id)
    if member is None:
        if update.status == DEAD:
            return
        member = members.members_by_id[update.node_id] = Member(update, now)
    elif _is_newer(update, member.update):
        if member.status == DEAD and update.version == member.update.version:
            return
        member.leaving = member.leaving or update.status == LEAVING
        member.update = update
        member.changed_at = now
    else:
        return
    members.usable_members = None
    members.gossip_counts[update.node_id] = 0
    for owner in update.adopted:
        members.holders[owner] = update.node_id
    if update.status == SUSPECT:
        _start_suspicion_timer(state, update.node_id, update.version, now)
    if update.status == DEAD:
        out.append(effects.WriteLog("members", "%s is dead." % update.node_id))
    state.handle_member_update(update, now, out)


def copy_update(update, **changes):
    """Return a copy of a member update with some fields changed."""
    fields = {n: getattr(update, n) for n in update.__slots__}
    fields.update(changes)
    return messages.MemberUpdate(**fields)


def _is_newer(update, known):
    if update.version != known.version:
        return update.version > known.version
    return _STATUS_RANK.get(update.status, 0) > _STATUS_RANK.get(
        known.status, 0
    )


def _refute_suspicion(state, update):
    local_member = state.members.local_member
    if (
        update.version < local_member.version
        or update.status == local_member.status
    ):
        return
    if update.status in (SUSPECT, DEAD):
        state.members.local_member = copy_update(
            local_member, version=update.version
        )
        update_local_member(state)


def _start_suspicion_timer(state, node_id, version, now):
    due = now + SUSPICION_TIMEOUT_S
    state.timers.subscribe(
        ("suspicion", node_id), due, SuspicionTimer(node_id, version, due)
    )


def make_ping(state, sequence):
    """Return a ping with updates and the configuration version."""
    return messages.Ping(
        sequence,
        pick_updates(state),
        state.config.offset,
        state.config.compute_digest(),
    )


def pick_updates(state):
    """Return the least often sent updates for the next message.

    An update leaves the gossip after a number of messages that grows
    with the logarithm of the number of members.
    """
    members = state.members
    limit = 3 * math.ceil(math.log2(len(members.members_by_id) + 2))
    node_ids = sorted(members.gossip_counts, key=members.gossip_counts.get)
    updates = []
    for node_id in node_ids[:MAX_UPDATES_PER_MESSAGE]:
        members.gossip_counts[node_id] += 1
        if members.gossip_counts[node_id] >= limit:
            del members.gossip_counts[node_id]
        update = members.get_update(node_id)
        if update is not None:
            updates.append(update)
    return updates
