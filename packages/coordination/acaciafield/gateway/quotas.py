"""Token buckets for the quotas of workspaces at one coordinator.

Each coordinator refills its buckets by its share of the limits and moves
tokens to the others on request. A token belongs to exactly one coordinator
or to one message. docs/design/quotas.md derives the constants.
"""

import collections
import enum
import itertools
import math

from acaciafield import structs

LEASE_S = 0.75  # for which a heartbeat counts: one period and a delay
# A member counts if it has sent no other coordinator a heartbeat that names
# that one for this time, when its leases there have ended. Heartbeats that
# are later than the difference may let it count twice for a moment.
QUALIFICATION_S = 1.0
# A process needs at least 0.5 s from the end of the earlier one to its first
# heartbeat; the time that counts as without a heartbeat is shorter.
MIN_DOWNTIME_S = 0.4
# For which the order of a member's heartbeats is known after its last one.
ORDER_TIME_S = 10.0
# Parts of overage x window, by which starts may follow their tokens.
HOLD_PART = 0.2  # for which a queued request holds a token
TRANSFER_PART = 0.5  # from the request for tokens to their latest use
MAX_TRANSFER_AGE_S = 0.25
SLACK_PART = 0.75  # of the slack, added to the burst
DEMAND_DECAY_S = 0.3
LOOKAHEAD_S = 0.25  # of demand, for which tokens are requested
KEPT_DEMAND_S = 0.05  # of its own demand, which a coordinator keeps
ACTIVE_TIME_S = 1.2  # since the last request; four times the decay
MAX_CHECKED = 1000  # workspaces in one check of the buckets
MIN_TRANSFER = 0.01  # tokens
ROUNDING = 1e-9  # error of sums of fractions
# Growth of the share after which the buckets must fill first.
SETTLED_RATIO = 1.25
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 5.0
MAX_URGENT = 10.0  # requests for tokens at once, see quota_sharing
RECORD_SLACK_S = 1.0  # kept longer than the time left of a request


class TokenState(enum.Enum):
    """Where the token of a request is."""

    HELD = "held"
    RESERVED = "reserved"  # in the part of the bucket for queued requests
    GRANTED = "granted"


class Token(structs.Struct):
    """The token of one attempt; times in seconds."""

    __slots__ = ("workspace", "state", "taken_at", "expires")


class Bucket:
    """The tokens of one workspace at this coordinator.

    ``level`` is free for any request, ``reserved`` for requests that are
    queued; ``borrowed`` has [expiry, tokens] from transfers that exceed the
    bucket. ``accrued`` is the value of Quotas.accrued at the last refill.
    """

    __slots__ = (
        "level",
        "reserved",
        "borrowed",
        "accrued",
        "demand",
        "demand_at",
        "retry_at",
        "exhausted_until",
    )

    def __init__(self, now):
        self.level = 0.0
        self.reserved = 0.0
        self.borrowed = ()
        self.accrued = 0.0
        self.demand = 0.0
        self.demand_at = now
        self.retry_at = now
        self.exhausted_until = -math.inf

    def measure_demand(self, now):
        """Return the recent requests per second."""
        age = max(0.0, now - self.demand_at)
        return self.demand * math.exp(-age / DEMAND_DECAY_S) / DEMAND_DECAY_S

    def add_demand(self, now):
        """Count one request."""
        self.demand = self.measure_demand(now) * DEMAND_DECAY_S + 1.0
        self.demand_at = now

    def count_free(self):
        """Return the tokens that any request may take."""
        return self.level + sum(amount for _, amount in self.borrowed)

    def has_token(self):
        """Return whether a request may take a token."""
        return self.count_free() >= 1.0 - ROUNDING

    def take(self):
        """Take one free token, the earliest to expire first."""
        missing = 1.0
        borrowed = []
        for expires, amount in self.borrowed:
            used = min(missing, amount)
            missing -= used
            if amount > used:
                borrowed.append((expires, amount - used))
        self.borrowed = tuple(borrowed)
        self.level = max(0.0, self.level - missing)


class Lease(structs.Struct):
    """A member's last heartbeat; times in seconds.

    ``since`` is when the member last named another coordinator, None if
    the heartbeat names another one. ``sent_at`` is None or by the clock of
    the member, ``seen`` by that of this coordinator.
    """

    __slots__ = ("incarnation", "sent_at", "since", "seen")


class ZoneShare:
    """The part of its zone for which a coordinator is responsible.

    Each member names one coordinator of its zone in its heartbeats. It
    counts for no other until its lease here has ended, so that the parts of
    the coordinators of a zone never exceed the whole.
    """

    __slots__ = ("_leases",)

    def __init__(self):
        self._leases = {}

    def record_name(
        self,
        member,
        is_named,
        now,
        named_time=None,
        incarnation=0,
        sent_at=None,
    ):
        """Record whether a member's heartbeat names this coordinator.

        ``named_time`` is as of a messages.Heartbeat. A heartbeat that is
        older than the last one is ignored: the member may already count
        for another coordinator.
        """
        lease = self._leases.get(member)
        if lease is not None and sent_at is not None:
            last = (lease.incarnation, lease.sent_at or 0.0)
            if (incarnation, sent_at) <= last:
                return
        since = None
        if is_named:
            since = now - (named_time or 0.0)
            if named_time is None and lease is not None:
                is_unbroken = now - lease.seen <= LEASE_S
                if lease.since is not None and is_unbroken:
                    since = lease.since
        self._leases[member] = Lease(incarnation, sent_at, since, now)

    def has_lease(self, member):
        """Return whether a heartbeat of a member is recorded."""
        return member in self._leases

    def count_members(self, now):
        """Return the number of members that count; drop old leases."""
        count = 0
        for member, lease in list(self._leases.items()):
            age = now - lease.seen
            if age > ORDER_TIME_S:
                del self._leases[member]
            elif lease.since is not None and age <= LEASE_S:
                count += now - lease.since >= QUALIFICATION_S
        return count


class NamedCoordinators:
    """The coordinators that a member named in heartbeats to them.

    Each may count the member until its lease has ended, or until it
    answers a later heartbeat that names another one. Times are in seconds
    of CLOCK_BOOTTIME.
    """

    __slots__ = ("started_at", "_sent")

    def __init__(self):
        self.started_at = None
        self._sent = {}

    def measure_time(self, name, now):
        """Return for how long no other coordinator was named to itself.

        It does not know what an earlier process sent before it ended.
        """
        if self.started_at is None:
            self.started_at = now - MIN_DOWNTIME_S
        for other, sent_at in list(self._sent.items()):
            if now - sent_at > ORDER_TIME_S:
                del self._sent[other]
        others = [at for other, at in self._sent.items() if other != name]
        return min(ORDER_TIME_S, now - max([self.started_at, *others]))

    def record_sent(self, name, now):
        """Record a heartbeat to a coordinator that names it."""
        self._sent[name] = now

    def record_answer(self, name, sent_at):
        """Record a coordinator's answer to the heartbeat of ``sent_at``.

        Return whether the coordinator no longer counts this member.
        """
        if sent_at is None or sent_at <= self._sent.get(name, math.inf):
            return False
        del self._sent[name]
        return True

    def list_unreleased(self, name, now):
        """Return the coordinators other than ``name`` that may count it."""
        return [
            other
            for other, sent_at in self._sent.items()
            if other != name and now - sent_at < QUALIFICATION_S
        ]


class Quotas:
    """The buckets of one coordinator and the tokens of its requests.

    ``limits`` maps a name to a workspaces.Workspace; it is None while no
    configuration is known. ``share`` is the part of each limit that this
    coordinator refills, ``accrued`` its integral over time in seconds;
    ``share_grew_at`` is the time at which it last grew considerably.
    ``counts`` has totals since the start of the process.
    """

    __slots__ = (
        "terms",
        "limits",
        "buckets",
        "tokens",
        "zone_share",
        "share",
        "accrued",
        "share_grew_at",
        "counts",
        "_share_at",
        "_held",
        "_active",
    )

    def __init__(self, terms):
        self.terms = terms
        self.limits = None
        self.zone_share = ZoneShare()
        self.counts = collections.Counter()
        self.clear()

    def clear(self):
        """Forget all tokens, as a node does that stops coordinating."""
        self.buckets = {}
        self.tokens = {}
        self.share = 0.0
        self.accrued = 0.0
        self.share_grew_at = math.inf
        self._share_at = None
        self._held = collections.deque()
        self._active = {}

    @property
    def hold_time(self):
        """Seconds for which a queued request keeps its token."""
        return HOLD_PART * self.terms.quota_overage * self.terms.quota_window

    @property
    def transfer_time(self):
        """Seconds from a request for tokens to their latest use."""
        headroom = self.terms.quota_overage * self.terms.quota_window
        return min(MAX_TRANSFER_AGE_S, TRANSFER_PART * headroom)

    def find_limit(self, name):
        """Return the Workspace if it has a limit, else None."""
        workspace = (self.limits or {}).get(name)
        return workspace if workspace and workspace.rate > 0 else None

    def update_limits(self, limits, now):
        """Replace the limits; tokens above a lowered limit are lost."""
        for name, bucket in self.buckets.items():
            limit = self.find_limit(name)
            if limit is not None:
                self._refill(bucket, limit, now)
        self.limits = limits if limits is not None else {}
        for name in list(self.buckets):
            limit = self.find_limit(name)
            if limit is None:
                del self.buckets[name]
            else:
                self._refill(self.buckets[name], limit, now)

    def update_share(self, share, now):
        """Set the part of each limit that this coordinator refills."""
        self._accrue(now)
        if share > SETTLED_RATIO * self.share:
            self.share_grew_at = now
        self.share = share

    def is_settling(self, now):
        """Return whether the buckets may be empty although limits allow more.

        That is so within a window after a start or a change of coordinators.
        """
        return now < self.share_grew_at + self.terms.quota_window

    def _accrue(self, now):
        if self._share_at is not None:
            self.accrued += self.share * max(0.0, now - self._share_at)
        self._share_at = now

    def measure_capacity(self, limit):
        """Return the most tokens that the bucket of a limit may hold."""
        slack = SLACK_PART * self.terms.quota_slack
        return (limit.burst + slack) * self.share

    def _refill(self, bucket, limit, now):
        self._accrue(now)
        capacity = self.measure_capacity(limit)
        refill = limit.rate * (self.accrued - bucket.accrued)
        bucket.accrued = self.accrued
        bucket.level = min(capacity, bucket.level + refill)
        bucket.reserved = min(bucket.reserved, capacity - bucket.level)
        if bucket.borrowed:
            bucket.borrowed = tuple(
                row for row in bucket.borrowed if row[0] >= now
            )

    def find_bucket(self, limit, now):
        """Return the refilled bucket of a limit; create it on first use."""
        bucket = self.buckets.get(limit.name)
        if bucket is None:
            bucket = self.buckets[limit.name] = Bucket(now)
        self._refill(bucket, limit, now)
        return bucket

    def try_take(self, attempt_id, limit, time_left, now):
        """Take a token for an attempt; return whether it has one.

        An attempt that is asked for again keeps its token.
        """
        self.release_old(now)
        if attempt_id in self.tokens:
            return True
        bucket = self.find_bucket(limit, now)
        if not bucket.has_token():
            return False
        bucket.take()
        self.counts["taken"] += 1
        self.tokens[attempt_id] = Token(
            limit.name,
            TokenState.HELD,
            now,
            now + time_left + RECORD_SLACK_S,
        )
        self._held.append((now, attempt_id))
        return True

    def release_old(self, now):
        """Put the tokens of requests that queue for long back.

        Otherwise the starts of a long queue could fall into one window.
        Such a request takes a token again when it is granted.
        """
        while self._held and now - self._held[0][0] > self.hold_time:
            taken_at, attempt_id = self._held.popleft()
            token = self.tokens.get(attempt_id)
            if (
                token is None
                or token.state is not TokenState.HELD
                or token.taken_at != taken_at
            ):
                continue
            token.state = TokenState.RESERVED
            limit = self.find_limit(token.workspace)
            if limit is not None:
                bucket = self.find_bucket(limit, now)
                capacity = self.measure_capacity(limit)
                bucket.reserved = min(
                    bucket.reserved + 1.0, capacity - bucket.level
                )

    def confirm(self, attempt_id, now):
        """Spend the token of a granted attempt; return whether it may run."""
        self.release_old(now)
        token = self.tokens.get(attempt_id)
        if token is None:
            return True
        if token.state is TokenState.RESERVED:
            limit = self.find_limit(token.workspace)
            if limit is not None and not self._take_reserved(limit, now):
                del self.tokens[attempt_id]
                return False
        token.state = TokenState.GRANTED
        return True

    def _take_reserved(self, limit, now):
        bucket = self.find_bucket(limit, now)
        if bucket.reserved >= 1.0 - ROUNDING:
            bucket.reserved = max(0.0, bucket.reserved - 1.0)
            return True
        if not bucket.has_token():
            return False
        bucket.take()
        return True

    def give_back(self, attempt_id, now):
        """Return the token of an attempt that was not granted."""
        self.release_old(now)
        token = self.tokens.get(attempt_id)
        if token is None or token.state is TokenState.GRANTED:
            return
        del self.tokens[attempt_id]
        limit = self.find_limit(token.workspace)
        if limit is None:
            return
        bucket = self.find_bucket(limit, now)
        returned = 1.0
        if token.state is TokenState.RESERVED:
            returned = min(1.0, bucket.reserved)
            bucket.reserved -= returned
        room = self.measure_capacity(limit) - bucket.level - bucket.reserved
        bucket.level += max(0.0, min(returned, room))
        self.counts["returned"] += 1

    def sweep(self, now):
        """Remove the records of attempts whose time has passed."""
        for attempt_id, token in list(self.tokens.items()):
            if now > token.expires:
                self.give_back(attempt_id, now)
                self.tokens.pop(attempt_id, None)

    def lend(self, name, wanted, now):
        """Take tokens out of a bucket for another coordinator.

        The tokens for this coordinator's own recent demand stay.
        """
        limit = self.find_limit(name)
        if limit is None:
            return 0.0
        self.release_old(now)
        bucket = self.find_bucket(limit, now)
        kept = KEPT_DEMAND_S * bucket.measure_demand(now)
        amount = min(wanted, max(0.0, bucket.level - kept))
        if not amount >= MIN_TRANSFER:
            return 0.0
        bucket.level -= amount
        self.counts["lent"] += amount
        return amount

    def receive(self, name, amount, sent_at, now):
        """Add the tokens of a transfer that was requested at ``sent_at``.

        Those for which the bucket has no room must be used soon.
        """
        limit = self.find_limit(name)
        if limit is None or not amount > 0:
            return
        bucket = self.find_bucket(limit, now)
        room = self.measure_capacity(limit) - bucket.level - bucket.reserved
        kept = max(0.0, min(room, amount))
        bucket.level += kept
        if amount > kept:
            row = (sent_at + self.transfer_time, amount - kept)
            bucket.borrowed = (*bucket.borrowed, row)
        self.counts["borrowed"] += amount

    def find_shortage(self, name, waiting, now):
        """Return the tokens that a workspace will lack soon, or 0.0.

        ``waiting`` is the number of requests that wait for tokens.
        """
        limit = self.find_limit(name)
        bucket = self.buckets.get(name)
        if limit is None or bucket is None:
            return 0.0
        self._refill(bucket, limit, now)
        expected = LOOKAHEAD_S * bucket.measure_demand(now)
        refill = LOOKAHEAD_S * limit.rate * self.share
        # Two deviations of the expected number, and one request. Tokens
        # beyond the capacity would expire if the requests do not come.
        reserve = expected + 2.0 * math.sqrt(expected) + 1.0
        planned = max(expected, min(reserve, self.measure_capacity(limit)))
        needed = planned + 2.0 * waiting
        missing = needed - bucket.count_free() - refill
        most = limit.burst + self.terms.quota_slack + limit.rate
        return max(0.0, min(missing, most))

    def was_exhausted(self, name, at):
        """Return whether the others were found to have too few tokens."""
        bucket = self.buckets.get(name)
        return bucket is not None and at < bucket.exhausted_until

    def record_demand(self, limit, now):
        """Count a new request of a workspace."""
        self.find_bucket(limit, now).add_demand(now)
        self._active[limit.name] = None

    def list_active(self, now):
        """Return names of workspaces with recent requests, in turn.

        A call returns at most MAX_CHECKED of them, so that its cost is
        bounded; the next call starts with the others.
        """
        names = list(itertools.islice(self._active, MAX_CHECKED))
        active = []
        for name in names:
            del self._active[name]
            bucket = self.buckets.get(name)
            if bucket is not None and now - bucket.demand_at < ACTIVE_TIME_S:
                self._active[name] = None
                active.append(name)
        return active

    def measure_gauges(self):
        """Return numbers for the metrics page, over all workspaces."""
        if not self.limits:
            return {}
        names = ("taken", "returned", "refused", "lent", "borrowed")
        gauges = {
            "quota_tokens_%s" % name: round(self.counts[name], 2)
            for name in names
        }
        return gauges | {
            "quota_buckets": len(self.buckets),
            "quota_share": round(self.share, 4),
            "quota_messages": self.counts["messages"],
            "quota_transfers_dropped": self.counts["dropped_transfers"],
        }

    def choose_retry_after(self, limit, now):
        """Return a time in seconds at which there is capacity again.

        Callers that are refused one after the other get times that are as
        far apart as the tokens.
        """
        bucket = self.find_bucket(limit, now)
        missing = max(0.0, 1.0 - bucket.count_free())
        earliest = now + missing / limit.rate
        slot = max(earliest, bucket.retry_at + 1.0 / limit.rate)
        bucket.retry_at = min(slot, now + MAX_RETRY_AFTER_S)
        return max(MIN_RETRY_AFTER_S, bucket.retry_at - now)

    def describe(self, limit, now):
        """Return the state that explains a refusal, to log."""
        bucket = self.find_bucket(limit, now)
        return {
            "tokens": round(bucket.count_free(), 2),
            "reserved": round(bucket.reserved, 2),
            "limit": limit.rate,
            "burst": limit.burst,
            "share": round(self.share, 4),
            "demand": round(bucket.measure_demand(now), 2),
        }


class WaitingRequest(structs.Struct):
    """A grant request that waits for tokens until ``expires``.

    With ``is_queued`` it waits on although no coordinator has tokens now.
    """

    __slots__ = ("request", "sender", "expires", "is_queued")
    DEFAULTS = {"is_queued": False}


class Round:
    """One request for tokens to the coordinators at the addresses ``ips``.

    ``wanted`` maps each workspace in it to the tokens asked of each.
    """

    __slots__ = ("sent_at", "ips", "wanted", "_met")

    def __init__(self, sent_at, ips, rows):
        self.sent_at = sent_at
        self.ips = set(ips)
        self.wanted = {name: wanted for name, wanted in rows}
        self._met = set()

    def record_transfer(self, name, amount):
        """Record the tokens that one coordinator sent."""
        if amount >= self.wanted[name] - 2 * MIN_TRANSFER:
            self._met.add(name)

    def list_unmet(self):
        """Return the workspaces of which nobody had all tokens."""
        return [name for name in self.wanted if name not in self._met]


class Exchange:
    """The requests for tokens of one coordinator, and who waits for them.

    ``waiting`` maps an attempt id to a WaitingRequest, oldest first;
    ``urgent`` is the number of unplanned requests that may be sent now.
    """

    __slots__ = ("rounds", "waiting", "last_id", "sent_at", "urgent")

    def __init__(self):
        self.rounds = {}
        self.waiting = {}
        self.last_id = 0
        self.sent_at = -math.inf
        self.urgent = MAX_URGENT

    def count_waiting(self):
        """Return a Counter of the waiting requests by workspace."""
        return collections.Counter(
            waiting.request.workspace for waiting in self.waiting.values()
        )
