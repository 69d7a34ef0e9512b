"""The state of a gateway's node, except its requests, and its timers."""

import random

from acaciafield.gateway import crashes
from acaciafield.gateway import evidence_batches
from acaciafield.gateway import freshness
from acaciafield.gateway import hedging
from acaciafield.gateway import members
from acaciafield.gateway import pauses
from acaciafield.gateway import quotas
from acaciafield.gateway import rosters
from acaciafield.gateway import scheduling
from acaciafield import structs
from acaciafield import timers

READINESS_TIMEOUT_S = 2.5  # without an answer of a coordinator
# A node that no coordinator has answered for this time grants locally.
LOCAL_GRANTS_AFTER_S = 1.0
SWEEP_PERIOD_S = 1.0
FLOOR_CHECK_PERIOD_S = 0.5


class HeartbeatTimer(structs.Struct):
    """Timer of the heartbeats to the coordinators."""

    __slots__ = ()


class SweepTimer(structs.Struct):
    """Timer that removes expired crashes and requests without a report."""

    __slots__ = ()


class FloorTimer(structs.Struct):
    """Timer that checks the share of the workers in use."""

    __slots__ = ()


class DispatchTimer(structs.Struct):
    """Timer that grants workers to queued requests."""

    __slots__ = ()


class AnnouncedVersion(structs.Struct):
    """A configuration that the node at ``ip`` has announced.

    ``announced_at`` is the time in seconds of its first announcement.
    """

    __slots__ = ("version", "ip", "announced_at")


class QuotaTimer(structs.Struct):
    """Timer that checks which workspaces run low on tokens."""

    __slots__ = ()


class QuotaWaitTimer(structs.Struct):
    """Timer that refuses the requests that got no token in time."""

    __slots__ = ()


class NodeState:
    """State of a gateway's node, except its own requests.

    ``entries_by_service`` maps a service to its workers, None while these
    are unknown; ``is_coordinating`` is set while the node coordinates and
    reads the store; ``announced_version`` is an AnnouncedVersion that is not
    fetched yet, or None. ``store_era`` is the highest era of the store that is
    known, None before its first answer. ``has_written_crashes`` is set once
    this node persisted crash records, ``is_crash_rewrite_due`` while it
    must write them again. Times are in seconds, of the event loop's clock
    except ``boot_now`` and those of ``freshness``, which are of
    CLOCK_BOOTTIME.
    """

    __slots__ = (
        "now",
        "boot_now",
        "local_member",
        "terms",
        "random",
        "timers",
        "membership",
        "registry",
        "schedulers",
        "entries_by_service",
        "roster",
        "crashes",
        "evidence_batches",
        "pauses",
        "quotas",
        "exchange",
        "named_coordinators",
        "has_quota_timer",
        "hedge_policy",
        "persisted_counts",
        "next_persist_at",
        "has_written_crashes",
        "is_crash_rewrite_due",
        "store_era",
        "share_departures_until",
        "coordinating_until",
        "is_coordinating",
        "has_fetched_workers",
        "store_read_at",
        "is_store_reachable",
        "has_announced_store",
        "answered_at",
        "has_reached_coordinator",
        "next_push_at",
        "config_version",
        "announced_version",
        "freshness",
        "is_ready",
        "leaving",
    )

    def __init__(self, local_member, terms, seed):
        self.now = 0.0
        self.boot_now = 0.0
        self.local_member = local_member
        self.terms = terms
        self.random = random.Random(seed)
        self.timers = timers.Timers()
        self.membership = members.MembershipView(local_member)
        self.registry = members.MemberRegistry(local_member.zone)
        self.schedulers = {}
        self.entries_by_service = None
        self.roster = rosters.Roster()
        self.crashes = crashes.CrashLedger()
        self.evidence_batches = evidence_batches.EvidenceBatches()
        self.pauses = pauses.Pauses()
        self.quotas = quotas.Quotas(terms)
        self.exchange = quotas.Exchange()
        self.named_coordinators = quotas.NamedCoordinators()
        self.has_quota_timer = False
        self.hedge_policy = hedging.HedgePolicy()
        self.persisted_counts = []
        self.next_persist_at = 0.0
        self.has_written_crashes = False
        self.is_crash_rewrite_due = False
        self.store_era = None
        self.share_departures_until = 0.0
        self.coordinating_until = 0.0
        self.is_coordinating = False
        self.has_fetched_workers = False
        self.store_read_at = None
        self.is_store_reachable = True
        self.has_announced_store = False
        self.answered_at = None
        self.has_reached_coordinator = False
        self.next_push_at = 0.0
        self.config_version = 0
        self.announced_version = None
        self.freshness = freshness.ConfigurationAge()
        self.is_ready = False
        self.leaving = False

    def start(self, now):
        """Start the timers; return the first effects."""
        self.now = now
        self.answered_at = now
        self.timers.subscribe("beat", now, HeartbeatTimer())
        self.timers.subscribe("sweep", now + SWEEP_PERIOD_S, SweepTimer())
        return []

    def get_scheduler(self, service):
        """Return the scheduler of a service; create it on first use."""
        scheduler = self.schedulers.get(service)
        if scheduler is None:
            scheduler = scheduling.Scheduler(
                service, self.terms, self.random, self.now, self.crashes
            )
            scheduler.hedges.policy = self.hedge_policy
            self.schedulers[service] = scheduler
            self.update_scheduler(scheduler)
        return scheduler

    def update_scheduler(self, scheduler):
        """Pass a scheduler the listed workers of its service."""
        if self.entries_by_service is not None:
            scheduler.update_entries(
                self.entries_by_service.get(scheduler.service, ()), self.now
            )

    def group_entries(self):
        """Group the roster's workers by service; update the schedulers."""
        self.entries_by_service = {}
        for entry in self.roster.entries.values():
            self.entries_by_service.setdefault(entry.service, []).append(entry)
        for scheduler in self.schedulers.values():
            self.update_scheduler(scheduler)

    def get_store_age(self, now):
        """Return the age of the list of workers in seconds, or None."""
        if self.store_read_at is None or self.entries_by_service is None:
            return None
        return round(now - self.store_read_at, 2)

    def measure_used_shares(self, now):
        """Return the share of the healthy workers in use, by service."""
        shares = {}
        for service, scheduler in self.schedulers.items():
            usage = scheduler.measure_usage(now)
            if usage is not None:
                shares[service] = round(usage.share, 3)
        return shares

    def has_remote_members(self):
        """Return whether other nodes send heartbeats to this one."""
        return any(
            name != self.local_member.name for name in self.registry.table
        )

    def apply_terms(self, terms):
        """Apply the operator's changed terms to all schedulers."""
        self.terms = terms
        self.quotas.terms = terms
        for scheduler in self.schedulers.values():
            scheduler.budget.ratio = terms.ratio
            scheduler.budget.slack = terms.slack
            scheduler.floor = terms.floor

    def dump_schedulers(self, now):
        """Return the state of the schedulers for another coordinator."""
        return {
            service: scheduler.dump(now)
            for service, scheduler in self.schedulers.items()
        }

    def get_budget_share(self):
        """Return the share of the fleet's retry budget that applies here.

        A node that receives heartbeats from few nodes may be one of many
        that coordinate without knowing of each other.
        """
        candidate_count = len(self.membership.candidates)
        member_count = len(self.registry.table)
        if (
            2 * len(self.membership.list_zones()) * member_count
            >= candidate_count
        ):
            return 1.0
        return max(1, member_count) / candidate_count

    def may_grant_locally(self, now):
        """Return whether no coordinator answers this node's heartbeats."""
        if not self.has_reached_coordinator:
            return True
        return now - self.answered_at > LOCAL_GRANTS_AFTER_S

    def is_serving(self, now):
        """Return whether requests of callers can be granted workers here."""
        if not self.is_ready or self.leaving or self.answered_at is None:
            return False
        if self.entries_by_service is not None:
            return True
        return now - self.answered_at < READINESS_TIMEOUT_S

    def next_due(self):
        """Return the time of the next tick in seconds, or None."""
        return self.timers.next_due()
