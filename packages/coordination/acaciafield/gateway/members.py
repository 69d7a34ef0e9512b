"""Members of the gateway, and which of them coordinate.

Each availability zone has one coordinator: the best candidate by weight
and name that answers and hears the platform's store. Every node works
this out by itself; two views that differ cost only shared evidence.
"""

import enum
import math

import xxhash

from acaciafield import placement
from acaciafield import structs

EVIDENCE_COPIES = 3  # coordinators that learn each grant and its end
HEARTBEAT_PERIOD_S = 0.5  # seconds between heartbeats
REMOTE_HEARTBEAT_PERIOD_S = (
    1.0  # seconds between those to other availability zones
)
UNRESPONSIVE_AFTER_S = (
    1.3  # seconds without an answer, two lost beats and a delay
)
MEMBER_TIMEOUT_S = 1.7  # seconds without a beat, three lost beats and a delay
REMOTE_MEMBER_TIMEOUT_S = 3.2  # seconds, the same for other availability zones
PROBE_PERIOD_S = 1.0  # seconds between beats to a silent better candidate
MAX_PROBES = 1  # other candidates of a zone that one round may probe
REQUEST_PAUSE_S = 1.0  # seconds without asks to a coordinator that missed one
FORGET_AFTER_S = 10.0  # seconds without beats after which silence is forgotten
HASH_RANGE = 2.0**64 + 1  # values of the hash that draws addresses
WEIGHT_TOLERANCE = 1e-6  # of weights, which are sums of fractions
STALE_AFTER_S = 2.5  # seconds without the store that make a candidate worse


class Member(structs.Struct):
    """A node; ``weight`` ranks it as a coordinator, more is better."""

    __slots__ = ("name", "born", "ip", "zone", "weight", "ready")

    def as_row(self):
        """Return the fields as a list."""
        return [getattr(self, name) for name in self.__slots__]


class Grade(enum.IntEnum):
    """What a candidate knows of the workers; less is better."""

    FRESH = 0
    STALE = 1
    UNKNOWN = 2
    NO_WORKERS = 3
    LEAVING = 4


class Candidate:
    """What a node knows of a candidate; times in seconds.

    ``store_age`` is None where it knows no workers at all;
    ``lacks_crashes`` tells that it seems not to know of crashes.
    """

    __slots__ = (
        "member",
        "last_answer_at",
        "heartbeat_sent_at",
        "unanswered_since",
        "paused_until",
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
        self.paused_until = 0.0
        self.store_age = None
        self.is_store_reachable = True
        self.leaving = False
        self.is_missing_crashes = False

    def record_heartbeat_sent(self, now):
        """Note that a heartbeat is sent."""
        self.heartbeat_sent_at = now
        if self.unanswered_since is None:
            self.unanswered_since = now

    def record_answer(self, now):
        """Note that a heartbeat was answered."""
        self.last_answer_at = now
        self.unanswered_since = None
        self.paused_until = 0.0

    def is_heartbeat_due(self, now):
        """Tell whether another zone's coordinator gets a beat now.

        One that was not answered is sent again as soon as in the zone.
        """
        if self.heartbeat_sent_at is None or self.unanswered_since is not None:
            return True
        return (
            now - self.heartbeat_sent_at
            > REMOTE_HEARTBEAT_PERIOD_S - HEARTBEAT_PERIOD_S / 2
        )

    def is_unresponsive(self, now):
        """Tell whether beats went unanswered."""
        if (
            self.unanswered_since is None
            or now - self.heartbeat_sent_at > FORGET_AFTER_S
        ):
            return False
        return now - self.unanswered_since > UNRESPONSIVE_AFTER_S

    def grade(self, now):
        """Return how much less it knows than it could, as a Grade."""
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
    """The members that a coordinator of a ``zone`` hears of."""

    __slots__ = ("zone", "table", "_digest")

    def __init__(self, zone):
        self.zone = zone
        self.table = {}
        self._digest = None

    def record_heartbeat(self, heartbeat, now):
        """Take a heartbeat in; return whether the list changed."""
        known = self.table.get(heartbeat.name)
        if known is not None and known[0].born > heartbeat.born:
            return False
        ready = bool(heartbeat.ready and not heartbeat.leaving)
        member = Member(
            heartbeat.name,
            heartbeat.born,
            heartbeat.ip,
            heartbeat.zone,
            heartbeat.weight,
            ready,
        )
        self.table[heartbeat.name] = (member, now)
        if known is not None and known[0] == member:
            return False
        self._digest = None
        return True

    def remove_unresponsive(self, now):
        """Drop members without beats; return their names."""
        gone = [
            name
            for name, (member, seen) in self.table.items()
            if now - seen > self._get_timeout(member)
        ]
        for name in gone:
            del self.table[name]
            self._digest = None
        return gone

    def _get_timeout(self, member):
        near = member.zone == self.zone
        return MEMBER_TIMEOUT_S if near else REMOTE_MEMBER_TIMEOUT_S

    def list_rows(self):
        """Return the members as rows, by name."""
        return [self.table[name][0].as_row() for name in sorted(self.table)]

    @property
    def digest(self):
        """A digest of the members."""
        if self._digest is None:
            text = repr(self.list_rows())
            self._digest = xxhash.xxh3_64_hexdigest(text.encode())[:8]
        return self._digest


class MembershipView:
    """A node's view: candidates by availability zone, and members."""

    __slots__ = ("own", "contacts", "members", "digest", "_order")

    def __init__(self, own):
        self.own = own
        self.contacts = {own.name: Candidate(own)}
        self.members = {own.name: own}
        self.digest = ""
        self._order = None

    def add_candidate(self, member):
        """Learn of a node that may coordinate."""
        known = self.contacts.get(member.name)
        if known is None:
            self.contacts[member.name] = Candidate(member)
            self._order = None
        elif member.born > known.member.born:
            known.member = member

    def replace_members(self, rows, digest):
        """Replace the members by a coordinator's list."""
        self.members = {}
        for row in rows:
            member = Member(*row)
            self.members[member.name] = member
            self.add_candidate(member)
        self.digest = digest

    def list_zones(self):
        """Return the availability zones with a candidate, own first."""
        zones = {c.member.zone for c in self.contacts.values()}
        zones.discard(self.own.zone)
        return [self.own.zone, *sorted(zones)]

    def list_candidates(self, zone):
        """Return the contacts of a zone, best first."""
        if self._order is None:
            self._order = {}
            for candidate in self.contacts.values():
                member = candidate.member
                self._order.setdefault(member.zone, []).append(candidate)
            for contacts in self._order.values():
                contacts.sort(key=_rank_contact)
        return self._order.get(zone, [])

    def find_coordinator(self, zone, now):
        """Return the contact that coordinates a zone, or None."""
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
        """Tell whether a better candidate of a node's zone is fresh."""
        found = self.contacts[name]
        near = self.find_coordinator(found.member.zone, now)
        if near is None or near.grade(now) is not Grade.FRESH:
            return False
        ranked = self.list_candidates(found.member.zone)
        return ranked.index(near) < ranked.index(found)

    def list_coordinators(self, now):
        """Return the contact that coordinates each zone, own zone first."""
        found = [self.find_coordinator(z, now) for z in self.list_zones()]
        return [candidate for candidate in found if candidate is not None]

    def list_heartbeat_targets(self, now, force_all=False):
        """Return the contacts to send a heartbeat to now.

        Coordinators of other zones get fewer, unless ``all_due``.
        """
        found = []
        for zone in self.list_zones():
            found.extend(self._list_targets_in_zone(zone, now, force_all))
        return found

    def _list_targets_in_zone(self, zone, now, force_all):
        chosen = self.find_coordinator(zone, now)
        if chosen is None:
            return self._list_probe_targets(zone, None, now)
        if chosen.grade(now) is Grade.FRESH:
            rank = self.list_candidates(zone).index(chosen)
            probes = self._list_probe_targets(zone, rank, now)
            near = zone == self.own.zone
            due = near or force_all or chosen.is_heartbeat_due(now)
            return [chosen, *probes] if due else probes
        return [chosen, *self._list_probe_targets(zone, None, now, chosen)]

    def _list_probe_targets(self, zone, rank, now, chosen=None):
        """Return the candidates, before ``rank``, to look for life."""
        found = [
            candidate
            for candidate in self.list_candidates(zone)[:rank]
            if candidate is not chosen
            and now - (candidate.heartbeat_sent_at or 0.0) >= PROBE_PERIOD_S
        ]
        found.sort(key=lambda candidate: candidate.heartbeat_sent_at or 0.0)
        return found[:MAX_PROBES]

    def rank_coordinators(self, service, now, include_local=True):
        """Return the names to ask for a service, first choice first.

        The node itself comes last if it may decide ``alone``.
        """
        chosen, paused = {}, {}
        for candidate in self.list_coordinators(now):
            is_paused = (
                candidate.paused_until > now or candidate.is_unresponsive(now)
            )
            table = paused if is_paused else chosen
            table[candidate.member.name] = candidate
        ranked = []
        for grade in Grade:
            names = [n for n, c in chosen.items() if c.grade(now) is grade]
            ranked += placement.rank_nodes(service, names, len(names))
        ranked += placement.rank_nodes(service, list(paused), 1)
        if not ranked or (include_local and self.own.name not in ranked):
            ranked.append(self.own.name)
        return ranked

    def list_evidence_holders(self, service, now):
        """Return the names that hold the evidence of a service.

        They are the first choices to ask for it, so that one of them can
        take over; the number does not grow with the zones.
        """
        return self.rank_coordinators(service, now, False)[:EVIDENCE_COPIES]

    def note_missed_ask(self, name, now):
        """Send no asks for a while to a coordinator that missed one."""
        candidate = self.contacts.get(name)
        if candidate is not None:
            candidate.paused_until = now + REQUEST_PAUSE_S

    def list_ready_ips(self, zone, min_count, caller=""):
        """Return addresses for a caller of a zone.

        With fewer than ``least`` ready members there, those of all zones
        are taken. Where hosts differ in weight, each caller gets as many
        as the largest would need to be to carry all, and keeps them
        while they are ready.
        """
        ready = [m for m in self.members.values() if m.ready]
        near = [m for m in ready if m.zone == zone]
        if len(near) < min_count:
            near = ready
        largest = max((m.weight for m in near), default=0.0)
        if not largest:
            return [m.ip for m in near]
        count = math.ceil(
            sum(m.weight for m in near) / largest - WEIGHT_TOLERANCE
        )
        near.sort(key=lambda member: _draw_rank(member, caller))
        return [m.ip for m in near[: max(min_count, count)]]


def _draw_rank(member, caller):
    """Return where a member stands for a caller, lowest first.

    In proportion to its weight a member stands first for callers.
    """
    digest = xxhash.xxh3_64_intdigest(
        ("%s|%s" % (caller, member.name)).encode()
    )
    share = (digest + 1) / HASH_RANGE
    return -math.log(share) / max(member.weight, WEIGHT_TOLERANCE)


def _rank_contact(candidate):
    member = candidate.member
    text = "%s|%s" % (member.zone, member.name)
    weight = xxhash.xxh3_64_intdigest(text.encode())
    return (-member.weight, weight, member.name)
