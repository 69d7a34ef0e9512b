"""The workers of a service and the evidence about their health."""

import collections
import math

from acaciafield import structs

FAILURE_RISK = 0.7  # probability that a worker which failed fails again
SUCCESS_RISK_FACTOR = 0.4  # by which a success multiplies the risk
RISK_DECAY_S = 4.0  # in which the risk of one failure falls to 1/e
MAX_RISK_DECAY_S = 16.0  # after consecutive failures
# Time past its deadline for which a request counts as in flight.
IN_FLIGHT_SLACK_S = 1.0
# Backoff of a node from a worker that accepted no connection; it doubles
# up to the maximum.
CONNECT_BACKOFF_S = 3.0
MAX_CONNECT_BACKOFF_S = 12.0
FULL_BACKOFF_S = 0.25  # from a worker that refused a request as it is full
# Age of an in-flight request, as a multiple of the mean latency, above
# which it may hang.
HANG_LATENCY_RATIO = 3.0
# Successes credited to each worker when the risk of a hang is estimated.
HANG_PRIOR_SUCCESSES = 1.0
# Time for which an attempt that a hedge superseded counts as a possible hang.
SUPERSEDED_HANG_S = 4.0
MAX_SUPERSEDED = 12  # latest superseded attempts recorded per worker
MAX_SUCCESS_TIMES = 12  # latest successes recorded per worker
MAX_RESETS = 8  # requests without an answer that are recorded per worker
RESTART_TIME_S = 1.0  # a worker that crashed is unavailable for longer
# Time within which a worker that fails at once is known to have done so.
PROOF_TIME_S = 0.05
MIN_RISK = 0.02  # a lower risk counts as none
# Delay from a failure to the next canary request; it doubles up to
# the maximum, below the 2 s after which the floor requires a request.
CANARY_DELAY_S = 0.5
MAX_CANARY_DELAY_S = 1.8


class WorkerEntry(structs.Struct):
    """A worker's own entry in the platform's store.

    ``incarnation`` is the Unix millisecond of its start;
    ``sequence`` counts the updates of its entry since then. ``warm_up`` is
    the time in seconds for which it stays slow.
    """

    __slots__ = (
        "worker_id",
        "service",
        "address",
        "zone",
        "slots",
        "draining",
        "warm_up",
        "incarnation",
        "sequence",
    )

    @property
    def version(self):
        """The version of the entry: incarnation and sequence."""
        return (self.incarnation, self.sequence)

    def is_same_except_sequence(self, other):
        """Return whether two entries differ at most in their sequence."""
        return all(
            getattr(self, name) == getattr(other, name)
            for name in self.__slots__[:-1]
        )


class RouteLatency:
    """Moving means of latency (seconds) and size (bytes) of a route."""

    __slots__ = ("mean", "deviation", "size", "count")

    MIN_WEIGHT = 0.05  # of a new value
    MAX_MEAN_RATIO = 4.0  # a value counts for at most this many means

    def __init__(self, initial_mean):
        self.mean = initial_mean
        self.deviation = initial_mean / 2.0
        self.size = 5000.0
        self.count = 0

    def dump(self):
        """Return the values as a list."""
        return [self.mean, self.deviation, self.size, self.count]

    def load(self, row):
        """Replace the values by those of another coordinator."""
        self.mean, self.deviation, self.size, self.count = row

    def add(self, latency, size):
        """Update the means with one answer."""
        self.count += 1
        weight = max(self.MIN_WEIGHT, 1.0 / (1.0 + self.count))
        value = min(latency, self.MAX_MEAN_RATIO * self.mean)
        error = value - self.mean
        self.mean += weight * error
        self.deviation += weight * (abs(error) - self.deviation)
        self.size += weight * (size - self.size)

    @property
    def tail(self):
        """A latency (seconds) that few answers exceed."""
        return self.mean + 3.0 * self.deviation


class Worker:
    """A worker with its in-flight requests and the evidence against it.

    ``risk`` is the estimated probability that it fails a request, as of
    ``risk_at``; it decays with the time constant ``decay``. Times are in
    seconds.
    """

    __slots__ = (
        "entry",
        "in_flight",
        "warm_at",
        "risk",
        "risk_at",
        "decay",
        "failures",
        "backoff_until",
        "connect_backoffs",
        "succeeded_at",
        "granted_at",
        "unproven_at",
        "proven_at",
        "failed_at",
        "reset_at",
        "resets",
        "unanswered",
        "superseded",
    )

    def __init__(self, entry, now):
        self.entry = entry
        self.in_flight = {}
        self.warm_at = now + entry.warm_up
        self.risk = 0.0
        self.risk_at = now
        self.decay = RISK_DECAY_S
        self.failures = 0
        self.backoff_until = now
        # By node: the end of its backoff, and the backoff in seconds.
        self.connect_backoffs = {}
        self.succeeded_at = collections.deque(maxlen=MAX_SUCCESS_TIMES)
        self.granted_at = now
        self.unproven_at = None
        self.proven_at = now
        self.failed_at = -math.inf
        self.reset_at = -math.inf
        # Earliest and latest time of the reset, fingerprint and attempt id.
        self.resets = collections.deque(maxlen=MAX_RESETS)
        # Time, fingerprint and attempt id of requests without an answer.
        self.unanswered = collections.deque(maxlen=MAX_RESETS)
        # Start and end of slow attempts that a hedge superseded.
        self.superseded = collections.deque(maxlen=MAX_SUPERSEDED)

    def update_entry(self, entry, now):
        """Replace the entry; a restart clears the recorded failures."""
        if entry.incarnation != self.entry.incarnation:
            self.risk, self.failures, self.decay = 0.0, 0, RISK_DECAY_S
            self.failed_at = -math.inf
            self.in_flight.clear()
            self.connect_backoffs.clear()
            self.resets.clear()
            self.unanswered.clear()
            self.superseded.clear()
        self.entry = entry
        self.warm_at = now + entry.warm_up

    def dump(self, now):
        """Return the risk, its age in seconds, its decay and the failures."""
        return [self.risk, now - self.risk_at, self.decay, self.failures]

    def load(self, row, now):
        """Apply the risk of another coordinator's dump, if it is higher."""
        risk, age, decay, failures = row
        decayed_risk = risk * math.exp(-age / decay)
        if decayed_risk <= self.estimate_risk(now):
            return
        self.risk, self.risk_at = risk, now - age
        self.failed_at = max(self.failed_at, now - age)
        self.decay, self.failures = decay, failures

    def record_grant(self, now):
        """Record the grant of a request."""
        self.granted_at = max(self.granted_at, now)
        self.proven_at = self.find_proven_at(now)
        if self.unproven_at is None or now - self.unproven_at >= PROOF_TIME_S:
            self.unproven_at = now

    def find_proven_at(self, now):
        """Return when a request last started that did not fail at once."""
        unproven = self.unproven_at
        if unproven is not None and now - unproven >= PROOF_TIME_S:
            return max(self.proven_at, unproven)
        return self.proven_at

    def estimate_risk(self, now):
        """Return the current probability of a failure."""
        if self.risk < MIN_RISK:
            return 0.0
        age = max(0.0, now - self.risk_at)
        return self.risk * math.exp(-age / self.decay)

    def record_success(self, started, now):
        """Record a success of a request that started at ``started``."""
        self.succeeded_at.append(now)
        self.proven_at = max(self.proven_at, started)
        if started < self.risk_at:
            return
        self.risk = self.estimate_risk(now) * SUCCESS_RISK_FACTOR
        self.failures //= 2
        if self.risk < MIN_RISK:
            self.failures, self.decay = 0, RISK_DECAY_S
        self.risk_at = max(self.risk_at, started)

    def record_failure(self, now, weight=1.0):
        """Record a failure; ``weight`` scales it, 1 for certain evidence."""
        current_risk = self.estimate_risk(now)
        self.risk = current_risk + (1.0 - current_risk) * FAILURE_RISK * weight
        self.risk_at = self.failed_at = now
        if weight >= 1.0:
            self.failures += 1
            self.decay = min(MAX_RISK_DECAY_S, RISK_DECAY_S * self.failures)

    def record_superseded(self, started, now):
        """Record a slow attempt that a hedge superseded.

        It is no failure, but a worker that answers nothing would otherwise
        look idle as soon as its attempts are cancelled.
        """
        self.superseded.append((started, now))

    def is_canary_due(self, now):
        """Return whether a canary request may test for a recovery.

        The worker failed, has no in-flight requests, and the delay since
        the failure has passed.
        """
        if not self.risk or self.in_flight or not self.estimate_risk(now):
            return False
        delay = CANARY_DELAY_S * 2 ** max(0, self.failures - 1)
        return now - self.risk_at >= min(MAX_CANARY_DELAY_S, delay)

    def ran_alone(self, now):
        """Return whether a request that just ended was the only one there.

        A crash resets several requests at once; the last one reported
        was not alone, though none is in flight any longer.
        """
        return not self.in_flight and now - self.reset_at >= RESTART_TIME_S

    def record_connect_failure(self, node, now):
        """Record a connection that the worker did not accept in time."""
        known = self.connect_backoffs.get(node)
        backoff = CONNECT_BACKOFF_S
        if known is not None:
            backoff = min(MAX_CONNECT_BACKOFF_S, 2.0 * known[1])
        self.connect_backoffs[node] = (now + backoff, backoff)
        self.record_failure(now, 1.0 if self.is_unreachable(now) else 0.3)

    def clear_connect_failure(self, node):
        """End the backoff of a node that reached the worker."""
        self.connect_backoffs.pop(node, None)

    def has_connect_backoff(self, node, now):
        """Return whether a node backs off after a connect failure."""
        known = self.connect_backoffs.get(node)
        return known is not None and known[0] > now

    def is_unreachable(self, now):
        """Return whether two or more nodes back off after connect failures."""
        node_count = sum(
            1 for until, _ in self.connect_backoffs.values() if until > now
        )
        return node_count >= 2

    def estimate_hang_risk(self, latencies, now):
        """Return the risk that the in-flight requests get no answer.

        It weighs the requests in flight for far longer than usual, and those
        that a hedge superseded after such a time, against the successes
        since the oldest of them started.
        """
        overdue, oldest = 0, now
        for active in self.in_flight.values():
            latency = latencies.get(active.route)
            if latency is None or not latency.count:
                continue
            if now - active.started > HANG_LATENCY_RATIO * latency.mean:
                overdue += 1
                oldest = min(oldest, active.started)
        for started, ended in self.superseded:
            if now - ended <= SUPERSEDED_HANG_S:
                overdue += 1
                oldest = min(oldest, started)
        if not overdue:
            return 0.0
        successes = sum(1 for at in self.succeeded_at if at > oldest)
        return overdue / (overdue + successes + HANG_PRIOR_SUCCESSES)
