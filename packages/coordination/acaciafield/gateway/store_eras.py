"""The era of the platform's store, and this node's own records in it.

The era increases when the store is restored from an older copy, which may
lack what was written last. Each node then writes its records again.
"""

import random

from acaciafield.gateway import crash_sharing
from acaciafield.gateway import effects
from acaciafield.gateway import events
from acaciafield.gateway import handlers
from acaciafield import structs

REWRITE_SPREAD_S = 1.5  # so that hundreds of nodes do not write at once
REWRITE_RETRY_S = 2.0  # after a failed write, plus a part of the spread
# After a restore, departures are reported to all nodes for this time: 3 s in
# which workers write their entries again, and 3 s of repeated reports. A
# coordinator that started meanwhile has read nothing to compare with.
SHARE_DEPARTURES_S = 8.0


class RecordsTimer(structs.Struct):
    """Timer that writes this node's own records again."""

    __slots__ = ()


def observe_era(state, era, source, now, out):
    """Record an era that an answer of the store or a node reported.

    An answer from before a restore may arrive late, so the highest era
    counts.
    """
    if state.store_era is None:
        state.store_era = era
    if era <= state.store_era:
        return
    fields = {"era": era, "before": state.store_era, "told_by": source}
    out.append(effects.LogDecision("store-era", fields))
    state.store_era = era
    state.share_departures_until = now + SHARE_DEPARTURES_S
    _schedule_rewrite(state, now)


def _schedule_rewrite(state, now, delay_s=0.0):
    """Write the records at a time that differs from node to node.

    The node's random numbers are seeded by its start, which nodes share.
    """
    name = state.local_member.name
    spread = random.Random("%s %s" % (name, state.store_era))
    due = now + delay_s + spread.uniform(0.0, REWRITE_SPREAD_S)
    state.timers.subscribe("records", due, RecordsTimer())


@handlers.fire_timer.register
def _rewrite_records(timer: RecordsTimer, state, now, out):
    out.append(effects.WriteMember())
    crash_sharing.request_rewrite(state)


@handlers.apply_event.register
def _apply_era(event: events.StoreEraRead, state, now, out):
    observe_era(state, event.era, "store", now, out)


@handlers.apply_event.register
def _apply_refused_offset(event: events.OffsetRefused, state, now, out):
    """Write the records again, as the store may have lost them."""
    _schedule_rewrite(state, now)


@handlers.apply_event.register
def _apply_record_written(event: events.RecordWritten, state, now, out):
    """Write the records again if the store was restored meanwhile."""
    if 0 < event.era < (state.store_era or 0):
        _schedule_rewrite(state, now, REWRITE_RETRY_S)


@handlers.apply_event.register
def _apply_write_failure(event: events.MemberWriteFailed, state, now, out):
    _schedule_rewrite(state, now, REWRITE_RETRY_S)
