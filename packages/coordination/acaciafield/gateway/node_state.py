"""State of a gateway's node, without its requests, and its timers."""

import random

from acaciafield.gateway import crashes
from acaciafield.gateway import members
from acaciafield.gateway import pauses
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


class NodeState:
    """State of a gateway's node, except its own requests.

    ``entries`` maps a service to its workers, None while these are unknown;
    ``following`` is set while the node coordinates and reads the store.
    Times are in seconds.
    """

    __slots__ = (
        "now",
        "own",
        "terms",
        "random",
        "timers",
        "view",
        "registry",
        "desks",
        "entries",
        "roster",
        "crashes",
        "pauses",
        "persisted_crashes",
        "next_persist_at",
        "coordinating_until",
        "following",
        "has_fetched_workers",
        "store_read_at",
        "is_store_reachable",
        "has_announced_store",
        "answered_at",
        "coordinated",
        "next_push_at",
        "config_version",
        "ready",
        "leaving",
    )

    def __init__(self, own, terms, seed):
        self.now = 0.0
        self.own = own
        self.terms = terms
        self.random = random.Random(seed)
        self.timers = timers.Timers()
        self.view = members.MembershipView(own)
        self.registry = members.MemberRegistry(own.zone)
        self.desks = {}
        self.entries = None
        self.roster = rosters.Roster()
        self.crashes = crashes.CrashLedger()
        self.pauses = pauses.Pauses()
        self.persisted_crashes = []
        self.next_persist_at = 0.0
        self.coordinating_until = 0.0
        self.following = False
        self.has_fetched_workers = False
        self.store_read_at = None
        self.is_store_reachable = True
        self.has_announced_store = False
        self.answered_at = None
        self.coordinated = False
        self.next_push_at = 0.0
        self.config_version = 0
        self.ready = False
        self.leaving = False

    def start(self, now):
        """Start the timers; return the first effects."""
        self.now = now
        self.answered_at = now
        self.timers.subscribe("beat", now, HeartbeatTimer())
        self.timers.subscribe("sweep", now + SWEEP_PERIOD_S, SweepTimer())
        return []

    def find_desk(self, service):
        """Return the scheduler of a service; create it on first use."""
        scheduler = self.desks.get(service)
        if scheduler is None:
            scheduler = scheduling.Scheduler(
                service, self.terms, self.random, self.now, self.crashes
            )
            self.desks[service] = scheduler
            self.update_scheduler(scheduler)
        return scheduler

    def update_scheduler(self, scheduler):
        """Pass a scheduler the listed workers of its service."""
        if self.entries is not None:
            scheduler.take_entries(
                self.entries.get(scheduler.service, ()), self.now
            )

    def group_entries(self):
        """Group the roster's workers by service; update the schedulers."""
        self.entries = {}
        for entry in self.roster.entries.values():
            self.entries.setdefault(entry.service, []).append(entry)
        for scheduler in self.desks.values():
            self.update_scheduler(scheduler)

    def read_store_age(self, now):
        """Return the age of the list of workers in seconds, or None."""
        if self.store_read_at is None or self.entries is None:
            return None
        return round(now - self.store_read_at, 2)

    def read_used_shares(self, now):
        """Return the share of the healthy workers in use, by service."""
        shares = {}
        for service, scheduler in self.desks.items():
            usage = scheduler.measure_usage(now)
            if usage is not None:
                shares[service] = round(usage.share, 3)
        return shares

    def has_followers(self):
        """Return whether other nodes send heartbeats to this one."""
        return any(name != self.own.name for name in self.registry.table)

    def take_terms(self, terms):
        """Apply the operator's changed terms to all schedulers."""
        self.terms = terms
        for scheduler in self.desks.values():
            scheduler.budget.ratio = terms.ratio
            scheduler.budget.slack = terms.slack
            scheduler.floor = terms.floor

    def dump_knowledge(self, now):
        """Return the state of the schedulers for another coordinator."""
        return {
            name: scheduler.dump(now) for name, scheduler in self.desks.items()
        }

    def get_budget_share(self):
        """Return the share of the fleet's retry budget that applies here.

        A node that receives heartbeats from few nodes may be one of many
        that coordinate without knowing of each other.
        """
        candidate_count = len(self.view.contacts)
        member_count = len(self.registry.table)
        if 2 * len(self.view.list_zones()) * member_count >= candidate_count:
            return 1.0
        return max(1, member_count) / candidate_count

    def may_act_alone(self, now):
        """Return whether no coordinator answers this node's heartbeats."""
        if not self.coordinated:
            return True
        return now - self.answered_at > LOCAL_GRANTS_AFTER_S

    def is_serving(self, now):
        """Return whether requests of callers can be granted workers here."""
        if not self.ready or self.leaving or self.answered_at is None:
            return False
        if self.entries is not None:
            return True
        return now - self.answered_at < READINESS_TIMEOUT_S

    def next_due(self):
        """Return the time of the next tick in seconds, or None."""
        return self.timers.next_due()
