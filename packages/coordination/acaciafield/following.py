"""Following the platform: log streams and host lists, and peers' news."""

import json

from acaciafield import claims
from acaciafield import configuration
from acaciafield import effects
from acaciafield import membership
from acaciafield import messages
from acaciafield import permits
from acaciafield import placement
from acaciafield import probing
from acaciafield import structs

SEEDS_PERIOD = 5.0  # seconds between reads of the list of nodes
READ_PERIOD = 1.0  # seconds between reads of a quiet stream, at least
FLEET_READS = 50.0  # reads a second of one stream by all nodes together
CLAIM_READ = 0.02  # seconds between reads while claims wait
SNAPSHOT_AFTER = 200  # records after which a snapshot is appended
NODES = "acaciafield"  # the name of this system in the host list
NOTICE_NODES = 3  # nodes that know a service's host list


class ReadTimer(structs.Struct):
    """A stream is to be read again."""

    __slots__ = ("stream",)


class SeedsTimer(structs.Struct):
    """The list of nodes is to be read again."""

    __slots__ = ()


class Follower:
    """Progress on one stream, and what was said of outages.

    ``reading`` is the time of a read still unanswered, or None.
    """

    __slots__ = ("fold", "reading", "failed", "snapshot_at", "appending")

    def __init__(self, fold):
        self.fold = fold
        self.reading = None
        self.failed = False
        self.snapshot_at = 0
        self.appending = False


def start_following(state, now, out):
    """Begin reading both streams and the list of nodes."""
    for stream in state.followers:
        fire_read(ReadTimer(stream), state, now, out)
    fire_seeds(SeedsTimer(), state, now, out)


def fire_read(timer, state, now, out):
    """Read a stream, and plan the next read."""
    follower = state.followers[timer.stream]
    period = max(READ_PERIOD, len(state.members.table) / FLEET_READS)
    period *= 0.75 + state.random.random() / 2
    if timer.stream == claims.STREAM and state.claiming.waiting:
        period = CLAIM_READ
    state.timers.subscribe(("read", timer.stream), now + period, timer)
    if follower.reading is not None and now - follower.reading < 5.0:
        return
    follower.reading = now
    out.append(effects.ReadLog(timer.stream, follower.fold.read_from))


def fire_seeds(timer, state, now, out):
    """Ask the platform for the nodes."""
    state.timers.subscribe("seeds", now + SEEDS_PERIOD, timer)
    out.append(effects.ReadHosts(NODES))


def take_hosts(event, state, now, out):
    """Take in a host list, and share it with the next keepers."""
    if event.service == NODES:
        addresses = [h.address for h in event.hosts]
        probing.greet_seeds(state, addresses, out)
        return
    notice = messages.HostsNotice(event.service, event.hosts)
    changed = state.host_lists.get(event.service) != notice
    state.host_lists[event.service] = notice
    permits.take_hosts(state, event.service, event.hosts, now, out)
    if not changed:
        return
    usable = state.members.list_usable()
    ranked = placement.rank_nodes(event.service, usable, NOTICE_NODES)
    for node_id in ranked:
        if node_id != state.node_id:
            state.send(node_id, notice, out)


def receive_hosts(message, state, sender, now, out):
    """Keep a service's host list in case this node must keep it."""
    state.host_lists[message.service] = message


def take_records(event, state, now, out):
    """Fold what the log returned."""
    follower = state.followers[event.stream]
    follower.reading = None
    if follower.failed:
        follower.failed = False
        text = "The stream %s answers again." % event.stream
        out.append(effects.Note("log", text))
    before = follower.fold.offset
    skipped = follower.fold.read_records(event.earliest, event.records)
    for offset in skipped:
        state.unreadable += 1
        text = "Record %d of the stream %s is unreadable and skipped."
        out.append(effects.Note("log", text % (offset, event.stream)))
    for offset, data in event.records:
        if b'"snapshot"' in data[:4096] and offset not in skipped:
            follower.snapshot_at = offset
    if event.stream == claims.STREAM:
        claims.settle_claims(state, now, out)
        state.claims.forget_before(now)
    elif follower.fold.offset > before and event.records:
        membership.push_config(state, out)
    _repair_gap(state, event.stream, follower, out)
    _take_snapshot(state, event.stream, follower, out)


def note_outage(event, state, now, out):
    """Say once that a stream does not answer."""
    follower = state.followers[event.stream]
    follower.reading = None
    if not follower.failed:
        follower.failed = True
        text = "The stream %s does not answer." % event.stream
        out.append(effects.Note("log", text))


def take_append(event, state, now, out):
    """Read an append of this node back at once."""
    if event.append_id.startswith("snapshot/"):
        stream = event.append_id.partition("/")[2]
        state.followers[stream].appending = False
        return
    fire_read(ReadTimer(claims.STREAM), state, now, out)


def read_again(event, state, now, out):
    """Look in the log for an append that got no good answer."""
    take_append(event, state, now, out)


def compare_config(state, sender, offset, digest, now, out):
    """Fetch the configuration from a node that is ahead."""
    config = state.config
    if offset > config.offset:
        state.send(sender, messages.ConfigFetch(config.offset), out)


def receive_fetch(message, state, sender, now, out):
    """Give a node that is behind the whole configuration."""
    config = state.config
    if not config.serving or config.offset <= message.offset:
        return
    snapshot = configuration.encode_record(config.take_snapshot())
    reply = messages.ConfigState(config.offset, snapshot.decode())
    state.send(sender, reply, out)


def receive_state(message, state, sender, now, out):
    """Take a newer configuration from a peer."""
    if _read_snapshot(state.config, message):
        membership.push_config(state, out)


def receive_claims_fetch(message, state, sender, now, out):
    """Give a node with a gap the claims this node knows."""
    fold = state.claims
    if not fold.complete or fold.offset < message.offset:
        return
    snapshot = configuration.encode_record(fold.take_snapshot())
    reply = messages.ClaimsState(fold.offset, snapshot.decode())
    state.send(sender, reply, out)


def receive_claims_state(message, state, sender, now, out):
    """Close a gap in the claims with a peer's."""
    if _read_snapshot(state.claims, message):
        claims.settle_claims(state, now, out)


def _read_snapshot(fold, message):
    try:
        return fold.read_snapshot(json.loads(message.snapshot))
    except (ValueError, KeyError, TypeError):
        return False


def _repair_gap(state, stream, follower, out):
    if follower.fold.complete:
        return
    usable = state.members.list_usable()
    others = [n for n in usable if n != state.node_id]
    if not others:
        return
    node_id = state.random.choice(others)
    if stream == claims.STREAM:
        gap = follower.fold.gap or 0
        state.send(node_id, messages.ClaimsFetch(gap), out)
    else:
        state.send(node_id, messages.ConfigFetch(follower.fold.offset), out)


def _take_snapshot(state, stream, follower, out):
    """Append a snapshot well before the records behind it are lost."""
    fold = follower.fold
    if not fold.complete or follower.appending:
        return
    if fold.offset - follower.snapshot_at < SNAPSHOT_AFTER:
        return
    usable = state.members.list_usable()
    if placement.rank_nodes(stream, usable, 1) != [state.node_id]:
        return
    follower.appending = True
    data = configuration.encode_record(fold.take_snapshot())
    out.append(effects.AppendLog(stream, "snapshot/" + stream, data))
