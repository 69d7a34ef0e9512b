"""Synchronization with the platform's log and host lists, and with peers."""

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

SEEDS_PERIOD_S = 5.0  # between reads of the list of nodes
MIN_READ_PERIOD_S = 1.0  # between one node's reads of an idle stream
MAX_FLEET_READS_PER_S = 50.0  # of one stream, by all nodes together
CLAIM_READ_PERIOD_S = 0.02  # while requests wait for claims
SNAPSHOT_INTERVAL_RECORDS = 200
NODES_SERVICE = "acaciafield"  # name of this system in the host list
HOST_LIST_COPIES = 3  # nodes that store the host list of a service


class ReadTimer(structs.Struct):
    """Timer of the next read of a stream."""

    __slots__ = ("stream",)


class SeedsTimer(structs.Struct):
    """Timer of the next read of the list of nodes."""

    __slots__ = ()


class StreamProgress:
    """The progress of reading one stream.

    ``read_started_at`` is the start of the pending read, or None;
    ``failed`` is set after a failed read, so that an outage is logged only
    once; ``snapshot_offset`` is the offset of the last snapshot.
    """

    __slots__ = (
        "fold",
        "read_started_at",
        "failed",
        "snapshot_offset",
        "is_appending",
    )

    def __init__(self, fold):
        self.fold = fold
        self.read_started_at = None
        self.failed = False
        self.snapshot_offset = 0
        self.is_appending = False


def start_reading(state, now, out):
    """Start to read the streams and the list of nodes."""
    for stream in state.stream_progress:
        fire_read(ReadTimer(stream), state, now, out)
    fire_seeds(SeedsTimer(), state, now, out)


def fire_read(timer, state, now, out):
    """Read a stream and schedule the next read."""
    progress = state.stream_progress[timer.stream]
    period = max(
        MIN_READ_PERIOD_S,
        len(state.members.members_by_id) / MAX_FLEET_READS_PER_S,
    )
    period *= 0.75 + state.random.random() / 2
    if timer.stream == claims.STREAM and state.pending_claims.waiting_requests:
        period = CLAIM_READ_PERIOD_S
    state.timers.subscribe(("read", timer.stream), now + period, timer)
    if (
        progress.read_started_at is not None
        and now - progress.read_started_at < 5.0
    ):
        return
    progress.read_started_at = now
    out.append(effects.ReadLog(timer.stream, progress.fold.next_read_offset))


def fire_seeds(timer, state, now, out):
    """Read the list of nodes and schedule the next read."""
    state.timers.subscribe("seeds", now + SEEDS_PERIOD_S, timer)
    out.append(effects.ReadHosts(NODES_SERVICE))


def update_host_list(event, state, now, out):
    """Update a host list and send it to the nodes ranked as its keepers."""
    if event.service == NODES_SERVICE:
        addresses = [h.address for h in event.hosts]
        probing.send_joins(state, addresses, out)
        return
    notice = messages.HostsNotice(event.service, event.hosts)
    changed = state.host_lists.get(event.service) != notice
    state.host_lists[event.service] = notice
    permits.update_hosts(state, event.service, event.hosts, now, out)
    if not changed:
        return
    usable = state.members.list_usable_members()
    ranked = placement.rank_nodes(event.service, usable, HOST_LIST_COPIES)
    for node_id in ranked:
        if node_id != state.node_id:
            state.send(node_id, notice, out)


def receive_hosts_notice(message, state, sender, now, out):
    """Store a host list in case this node becomes its keeper."""
    state.host_lists[message.service] = message


def handle_log_records(event, state, now, out):
    """Apply the records of a read, and log unreadable ones."""
    progress = state.stream_progress[event.stream]
    progress.read_started_at = None
    if progress.failed:
        progress.failed = False
        text = "Reads of the stream %s succeed again." % event.stream
        out.append(effects.WriteLog("log", text))
    offset_before = progress.fold.offset
    skipped = progress.fold.apply_records(event.earliest, event.records)
    for offset in skipped:
        state.unreadable_records += 1
        text = "Record %d of the stream %s is unreadable and skipped."
        out.append(effects.WriteLog("log", text % (offset, event.stream)))
    for offset, data in event.records:
        if b'"snapshot"' in data[:4096] and offset not in skipped:
            progress.snapshot_offset = offset
    if event.stream == claims.STREAM:
        claims.resume_claimed_requests(state, now, out)
        state.claims.drop_expired_claims(now)
    elif progress.fold.offset > offset_before and event.records:
        membership.announce_config(state, out)
    _repair_gap(state, event.stream, progress, out)
    _append_snapshot(state, event.stream, progress, out)


def handle_read_failure(event, state, now, out):
    """Handle a failed read; log only the first one of an outage."""
    progress = state.stream_progress[event.stream]
    progress.read_started_at = None
    if not progress.failed:
        progress.failed = True
        text = "A read of the stream %s failed." % event.stream
        out.append(effects.WriteLog("log", text))


def handle_append(event, state, now, out):
    """Read the claims at once to find those that this node appended.

    After the append of a snapshot, allow the next one instead.
    """
    if event.append_id.startswith("snapshot/"):
        stream = event.append_id.partition("/")[2]
        state.stream_progress[stream].is_appending = False
        return
    fire_read(ReadTimer(claims.STREAM), state, now, out)


def handle_append_failure(event, state, now, out):
    """Read the log, as a failed append may have been written."""
    handle_append(event, state, now, out)


def fetch_newer_config(state, sender, offset, digest, now, out):
    """Fetch the configuration from a node with a newer one."""
    config = state.config
    if offset > config.offset:
        state.send(sender, messages.ConfigFetch(config.offset), out)


def receive_config_fetch(message, state, sender, now, out):
    """Send the whole configuration to a node with an older one."""
    config = state.config
    if not config.is_loaded or config.offset <= message.offset:
        return
    snapshot = configuration.encode_record(config.take_snapshot())
    reply = messages.ConfigState(config.offset, snapshot.decode())
    state.send(sender, reply, out)


def receive_config_state(message, state, sender, now, out):
    """Apply a peer's configuration if it is newer."""
    if _apply_snapshot(state.config, message):
        membership.announce_config(state, out)


def receive_claims_fetch(message, state, sender, now, out):
    """Send all known claims to a node that has a gap in its own."""
    fold = state.claims
    if not fold.is_complete or fold.offset < message.offset:
        return
    snapshot = configuration.encode_record(fold.take_snapshot())
    reply = messages.ClaimsState(fold.offset, snapshot.decode())
    state.send(sender, reply, out)


def receive_claims_state(message, state, sender, now, out):
    """Close a gap in the claims with a peer's snapshot."""
    if _apply_snapshot(state.claims, message):
        claims.resume_claimed_requests(state, now, out)


def _apply_snapshot(fold, message):
    try:
        return fold.apply_snapshot(json.loads(message.snapshot))
    except (ValueError, KeyError, TypeError):
        return False


def _repair_gap(state, stream, progress, out):
    if progress.fold.is_complete:
        return
    usable = state.members.list_usable_members()
    others = [n for n in usable if n != state.node_id]
    if not others:
        return
    node_id = state.random.choice(others)
    if stream == claims.STREAM:
        gap_end = progress.fold.gap_end or 0
        state.send(node_id, messages.ClaimsFetch(gap_end), out)
    else:
        state.send(node_id, messages.ConfigFetch(progress.fold.offset), out)


def _append_snapshot(state, stream, progress, out):
    """Append a snapshot if one is due on this node.

    Snapshots are appended well before the log drops the records that
    they cover.
    """
    fold = progress.fold
    if not fold.is_complete or progress.is_appending:
        return
    if fold.offset - progress.snapshot_offset < SNAPSHOT_INTERVAL_RECORDS:
        return
    usable = state.members.list_usable_members()
    if placement.rank_nodes(stream, usable, 1) != [state.node_id]:
        return
    progress.is_appending = True
    data = configuration.encode_record(fold.take_snapshot())
    out.append(effects.AppendLog(stream, "snapshot/" + stream, data))
