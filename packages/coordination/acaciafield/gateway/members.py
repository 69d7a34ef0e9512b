"""Membership of the gateway and the choice of coordinators.

Each availability zone has one coordinator: the best candidate, by weight
and name, that answers and reaches the platform's store. Every node
computes this locally. Nodes whose views differ only share less evidence.
"""

import enum
import math

import xxhash

from acaciafield import placement
from acaciafield import structs

EVIDENCE_COPIES = 3  # coordinators that receive each grant and its result
HEARTBEAT_PERIOD_S = 0.5
REMOTE_HEARTBEAT_PERIOD_S = 1.0  # to other availability zones
UNRESPONSIVE_AFTER_S = 1.3  # two lost heartbeats and a delay
MEMBER_TIMEOUT_S = 1.7  # three lost heartbeats and a delay
REMOTE_MEMBER_TIMEOUT_S = 3.2  # the same for other availability zones
PROBE_PERIOD_S = 1.0  # between probes of one candidate
MAX_PROBES = 1  # other candidates of a zone, in one round of heartbeats
REQUEST_BACKOFF_S = 1.0  # after a coordinator did not answer a request
# A candidate that was sent no heartbeat for this time counts as responsive.
FORGET_AFTER_S = 10.0
HASH_RANGE = 2.0**64 + 1  # above all values of the 64-bit hash
WEIGHT_TOLERANCE = 1e-6  # rounding error of weights, sums of fractions
STALE_AFTER_S = 2.5  # without the store; such a candidate ranks lower


class Member(structs.Struct):
    """A node of the gateway.

    ``incarnation`` is the Unix millisecond of its start; a greater
    ``weight`` ranks it higher as a coordinator.
    """

    __slots__ = ("name", "incarnation", "ip", "zone", "weight", "is_ready")

    def as_row(self):
        """Return the fields as a list."""
        return [getattr(self, name) for name in self.__slots__]


class Grade(enum.IntEnum):
    """How current a candidate's list of workers is; lower is better."""

    FRESH = 0
    STALE = 1
    UNKNOWN = 2
    NO_WORKERS = 3
    LEAVING = 4


class Candidate:
    """A node's view of a candidate for coordinator; times in seconds.

    ``store_age`` is None where the candidate has no list of workers;
    ``is_missing_crashes`` is set where its crash digest differs. Until
    ``backoff_until`` it ranks last for requests.
    """

    __slots__ = (
        "member",
        "last_answer_at",
        "heartbeat_sent_at",
        "unanswered_since",
        "backoff_until",
        "store_age",
        "is_store_reachable",
        "leaving",
        "is_missing_crashes",
    )

    def __init__(self, member):
        self.member = member
        self.last_answer_at = None
        self.heartbeat_sent_at = None
        self.unanswered_since = None
        self.backoff_until = 0.0
        self.store_age = None
        self.is_store_reachable = True
        self.leaving = False
        self.is_missing_crashes = False

    def record_heartbeat_sent(self, now):
        """Record that a heartbeat is sent to the candidate."""
        self.heartbeat_sent_at = now
        if self.unanswered_since is None:
            self.unanswered_since = now

    def record_answer(self, now):
        """Record that the candidate answered a heartbeat."""
        self.last_answer_at = now
        self.unanswered_since = None
        self.backoff_until = 0.0

    def is_heartbeat_due(self, now):
        """Return whether a coordinator of another zone gets a heartbeat now.

        An unanswered heartbeat is repeated at the period used in the zone.
        """
        if self.heartbeat_sent_at is None or self.unanswered_since is not None:
            return True
        return (
            now - self.heartbeat_sent_at
            > REMOTE_HEARTBEAT_PERIOD_S - HEARTBEAT_PERIOD_S / 2
        )

    def is_unresponsive(self, now):
        """Return whether heartbeats have been unanswered for too long."""
        if (
            self.unanswered_since is None
            or now - self.heartbeat_sent_at > FORGET_AFTER_S
        ):
            return False
        return now - self.unanswered_since > UNRESPONSIVE_AFTER_S

    def grade(self, now):
        """Return the Grade of the candidate's list of workers."""
        if (
            self.last_answer_at is None
            or now - self.last_answer_at > STALE_AFTER_S
        ):
            return Grade.UNKNOWN
        if self.leaving:
            return Grade.LEAVING
        if self.store_age is None:
            return Grade.NO_WORKERS
        if not self.is_store_reachable or self.store_age > STALE_AFTER_S:
            return Grade.STALE
        return Grade.FRESH


class MemberRegistry:
    """The members that send heartbeats to a coordinator of a ``zone``."""

    __slots__ = ("zone", "table", "_digest")

    def __init__(self, zone):
        self.zone = zone
        self.table = {}
        self._digest = None

    def record_heartbeat(self, heartbeat, now):
        """Record a heartbeat; return whether the list of members changed."""
        known = self.table.get(heartbeat.name)
        if known is not None and known[0].incarnation > heartbeat.incarnation:
            return False
        is_ready = bool(heartbeat.is_ready and not heartbeat.leaving)
        member = Member(
            heartbeat.name,
            heartbeat.incarnation,
            heartbeat.ip,
            heartbeat.zone,
            heartbeat.weight,
            is_ready,
        )
        self.table[heartbeat.name] = (member, now)
        if known is not None and known[0] == member:
            return False
        self._digest = None
        return True

    def remove_unresponsive(self, now):
        """Remove members whose heartbeats stopped; return their names."""
        lost_names = [
            name
            for name, (member, seen) in self.table.items()
            if now - seen > self._get_timeout(member)
        ]
        for name in lost_names:
            del self.table[name]
            self._digest = None
        return lost_names

    def _get_timeout(self, member):
        is_local_zone = member.zone == self.zone
        return MEMBER_TIMEOUT_S if is_local_zone else REMOTE_MEMBER_TIMEOUT_S

    def list_rows(self):
        """Return the members as rows, ordered by name."""
        return [self.table[name][0].as_row() for name in sorted(self.table)]

    @property
    def digest(self):
        """A digest of the list of members."""
        if self._digest is None:
            text = repr(self.list_rows())
            self._digest = xxhash.xxh3_64_hexdigest(text.encode())[:8]
        return self._digest


class MembershipView:
    """A node's view of the coordinator candidates and of the members."""

    __slots__ = ("local_member", "candidates", "members", "digest", "_order")

    def __init__(self, local_member):
        self.local_member = local_member
        self.candidates = {local_member.name: Candidate(local_member)}
        self.members = {local_member.name: local_member}
        self.digest = ""
        self._order = None

    def add_candidate(self, member):
        """Add a node that may coordinate, or update its newer incarnation."""
        known = self.candidates.get(member.name)
        if known is None:
            self.candidates[member.name] = Candidate(member)
            self._order = None
        elif member.incarnation > known.member.incarnation:
            known.member = member

    def replace_members(self, rows, digest):
        """Replace the members by the list of a coordinator."""
        self.members = {}
        for row in rows:
            member = Member(*row)
            self.members[member.name] = member
            self.add_candidate(member)
        self.digest = digest

    def list_zones(self):
        """Return the zones that have a candidate, the local zone first."""
        zones = {c.member.zone for c in self.candidates.values()}
        zones.discard(self.local_member.zone)
        return [self.local_member.zone, *sorted(zones)]

    def list_candidates(self, zone):
        """Return the candidates of a zone, best first."""
        if self._order is None:
            self._order = {}
            for candidate in self.candidates.values():
                member = candidate.member
                self._order.setdefault(member.zone, []).append(candidate)
            for candidates in self._order.values():
                candidates.sort(key=_rank_candidate)
        return self._order.get(zone, [])

    def find_coordinator(self, zone, now):
        """Return the candidate that coordinates a zone, or None."""
        best, best_grade = None, None
        for candidate in self.list_candidates(zone):
            if candidate.is_unresponsive(now):
                continue
            grade = candidate.grade(now)
            if grade is Grade.FRESH:
                return candidate
            if best is None or grade < best_grade:
                best, best_grade = candidate, grade
        return best

    def has_better_candidate(self, name, now):
        """Return whether a better candidate of a node's zone is fresh."""
        candidate = self.candidates[name]
        coordinator = self.find_coordinator(candidate.member.zone, now)
        if coordinator is None or coordinator.grade(now) is not Grade.FRESH:
            return False
        ranked = self.list_candidates(candidate.member.zone)
        return ranked.index(coordinator) < ranked.index(candidate)

    def list_coordinators(self, now):
        """Return the coordinator of each zone, the local zone first."""
        candidates = [self.find_coordinator(z, now) for z in self.list_zones()]
        return [candidate for candidate in candidates if candidate is not None]

    def list_heartbeat_targets(self, now, force_all=False):
        """Return the candidates to send a heartbeat to now.

        Coordinators of other zones get fewer, unless ``force_all``.
        """
        targets = []
        for zone in self.list_zones():
            targets.extend(self._list_targets_in_zone(zone, now, force_all))
        return targets

    def _list_targets_in_zone(self, zone, now, force_all):
        coordinator = self.find_coordinator(zone, now)
        if coordinator is None:
            return self._list_probe_targets(zone, None, now)
        if coordinator.grade(now) is Grade.FRESH:
            rank = self.list_candidates(zone).index(coordinator)
            probes = self._list_probe_targets(zone, rank, now)
            is_local_zone = zone == self.local_member.zone
            is_due = (
                is_local_zone or force_all or coordinator.is_heartbeat_due(now)
            )
            return [coordinator, *probes] if is_due else probes
        return [
            coordinator,
            *self._list_probe_targets(zone, None, now, coordinator),
        ]

    def _list_probe_targets(self, zone, rank, now, coordinator=None):
        """Return the candidates before ``rank`` to probe, oldest probe first.

        ``rank`` is an index in the candidates of the zone; None means all.
        """
        targets = [
            candidate
            for candidate in self.list_candidates(zone)[:rank]
            if candidate is not coordinator
            and now - (candidate.heartbeat_sent_at or 0.0) >= PROBE_PERIOD_S
        ]
        targets.sort(key=lambda candidate: candidate.heartbeat_sent_at or 0.0)
        return targets[:MAX_PROBES]

    def rank_coordinators(self, service, now, include_local=True):
        """Return the coordinators to request grants from, by preference.

        The local node comes last if no coordinator is known or
        ``include_local`` is set.
        """
        available, last_resort = {}, {}
        for candidate in self.list_coordinators(now):
            is_last_resort = (
                candidate.backoff_until > now or candidate.is_unresponsive(now)
            )
            table = last_resort if is_last_resort else available
            table[candidate.member.name] = candidate
        ranked = []
        for grade in Grade:
            names = [n for n, c in available.items() if c.grade(now) is grade]
            ranked += placement.rank_nodes(service, names, len(names))
        ranked += placement.rank_nodes(service, list(last_resort), 1)
        if not ranked or (
            include_local and self.local_member.name not in ranked
        ):
            ranked.append(self.local_member.name)
        return ranked

    def list_evidence_holders(self, service, now):
        """Return the names of the nodes that hold a service's evidence.

        They are the preferred coordinators of the service, so that one of
        them can take over; their number does not grow with the zones.
        """
        return self.rank_coordinators(service, now, False)[:EVIDENCE_COPIES]

    def record_missed_request(self, name, now):
        """Back off from a coordinator that did not answer a request."""
        candidate = self.candidates.get(name)
        if candidate is not None:
            candidate.backoff_until = now + REQUEST_BACKOFF_S

    def list_ready_ips(self, zone, min_count, caller=""):
        """Return addresses for a caller of a zone.

        If the zone has fewer than ``min_count`` ready members, those of
        all zones are candidates. Where hosts differ in weight, a caller
        gets as many addresses as it takes hosts of the greatest weight to
        carry the whole load, and keeps them while they are ready.
        """
        ready = [member for member in self.members.values() if member.is_ready]
        selected = [member for member in ready if member.zone == zone]
        if len(selected) < min_count:
            selected = ready
        largest = max((member.weight for member in selected), default=0.0)
        if not largest:
            return [member.ip for member in selected]
        count = math.ceil(
            sum(member.weight for member in selected) / largest
            - WEIGHT_TOLERANCE
        )
        selected.sort(key=lambda member: _rank_for_caller(member, caller))
        return [member.ip for member in selected[: max(min_count, count)]]


def _rank_for_caller(member, caller):
    """Return the rank of a member for a caller; the lowest comes first.

    This is weighted rendezvous hashing: the share of callers for which a
    member comes first is in proportion to its weight.
    """
    digest = xxhash.xxh3_64_intdigest(
        ("%s|%s" % (caller, member.name)).encode()
    )
    hash_share = (digest + 1) / HASH_RANGE
    return -math.log(hash_share) / max(member.weight, WEIGHT_TOLERANCE)


def _rank_candidate(candidate):
    member = candidate.member
    text = "%s|%s" % (member.zone, member.name)
    tie_breaker = xxhash.xxh3_64_intdigest(text.encode())
    return (-member.weight, tie_breaker, member.name)
