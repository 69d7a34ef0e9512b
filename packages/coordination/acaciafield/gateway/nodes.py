"""What a gateway's node knows besides its requests, and its timers."""

import random

from acaciafield.gateway import crashes
from acaciafield.gateway import granting
from acaciafield.gateway import members
from acaciafield.gateway import pauses
from acaciafield.gateway import rosters
from acaciafield import structs
from acaciafield import timers

READINESS_TIMEOUT_S = 2.5  # seconds without coordinators that end readiness
LOCAL_GRANTS_AFTER_S = (
    1.0  # seconds without a coordinator before a node acts alone
)
SWEEP_PERIOD_S = 1.0  # seconds between sweeps of lost reports
FLOOR_CHECK_PERIOD_S = 0.5  # seconds between looks at the use of the workers


class HeartbeatTimer(structs.Struct):
    """Heartbeats are due."""

    __slots__ = ()


class SweepTimer(structs.Struct):
    """What was never reported is to be forgotten."""

    __slots__ = ()


class FloorTimer(structs.Struct):
    """The use of the workers is to be looked at."""

    __slots__ = ()


class DispatchTimer(structs.Struct):
    """Queues are to be looked at."""

    __slots__ = ()


class NodeState:
    """Everything that a node of a gateway knows besides its requests."""

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
        "kept",
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
        self.crashes = crashes.Ledger()
        self.pauses = pauses.Pauses()
        self.kept = []
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
        """Begin; return the first effects."""
        self.now = now
        self.answered_at = now
        self.timers.subscribe("beat", now, HeartbeatTimer())
        self.timers.subscribe("sweep", now + SWEEP_PERIOD_S, SweepTimer())
        return []

    def find_desk(self, service):
        """Return the desk of a service."""
        scheduler = self.desks.get(service)
        if scheduler is None:
            scheduler = granting.Desk(
                service, self.terms, self.random, self.now, self.crashes
            )
            self.desks[service] = scheduler
            self.update_scheduler(scheduler)
        return scheduler

    def update_scheduler(self, scheduler):
        """Give a desk the workers of its service as the store lists them."""
        if self.entries is not None:
            scheduler.take_entries(
                self.entries.get(scheduler.service, ()), self.now
            )

    def group_entries(self):
        """Arrange the workers of the roster by service."""
        self.entries = {}
        for entry in self.roster.entries.values():
            self.entries.setdefault(entry.service, []).append(entry)
        for scheduler in self.desks.values():
            self.update_scheduler(scheduler)

    def read_store_age(self, now):
        """Return how old the list of workers is, None without one."""
        if self.store_read_at is None or self.entries is None:
            return None
        return round(now - self.store_read_at, 2)

    def read_used_shares(self, now):
        """Return the share of the sound workers with work, by service."""
        found = {}
        for name, scheduler in self.desks.items():
            usage = scheduler.measure_usage(now)
            if usage is not None:
                found[name] = round(usage.share, 3)
        return found

    def has_followers(self):
        """Tell whether other nodes send their heartbeats to this one."""
        return any(name != self.own.name for name in self.registry.table)

    def take_terms(self, terms):
        """Take in the operator's changed bounds."""
        self.terms = terms
        for scheduler in self.desks.values():
            scheduler.budget.ratio = terms.ratio
            scheduler.budget.slack = terms.slack
            scheduler.floor = terms.floor

    def dump_knowledge(self, now):
        """Return what the desks know, for another coordinator."""
        return {
            name: scheduler.dump(now) for name, scheduler in self.desks.items()
        }

    def get_budget_share(self):
        """Return the share of the fleet's slack that is used here.

        A node that few send their heartbeats to may be one of many that
        coordinate without knowing of each other.
        """
        known = len(self.view.contacts)
        heard = len(self.registry.table)
        if 2 * len(self.view.list_zones()) * heard >= known:
            return 1.0
        return max(1, heard) / known

    def may_act_alone(self, now):
        """Tell whether no coordinator answered this node's heartbeats."""
        if not self.coordinated:
            return True
        return now - self.answered_at > LOCAL_GRANTS_AFTER_S

    def is_serving(self, now):
        """Tell whether callers' requests can be given workers here."""
        if not self.ready or self.leaving or self.answered_at is None:
            return False
        if self.entries is not None:
            return True
        return now - self.answered_at < READINESS_TIMEOUT_S

    def next_due(self):
        """Return when a tick is needed next, in seconds, or None."""
        return self.timers.next_due()
