"""Hedges: second attempts of idempotent requests whose first is slow.

Without a limit on their share, a hedge is due after mean + 3 deviations of
the latency and is treated as any further attempt. With a limit, the
coordinator of the service decides when a second attempt is worth its cost and
whether the service has room for it, and never queues one. Both need the retry
budget.
"""

import bisect
import itertools

from hdrh import histogram

from acaciafield.gateway import budgets
from acaciafield.gateway import messages
from acaciafield import outcomes
from acaciafield import structs

Ending = outcomes.Ending

MIN_LATENCY_MS = 1
MAX_LATENCY_MS = 600_000
SIGNIFICANT_DIGITS = 1  # errors up to 6%, about 270 counters per histogram
# A histogram is dropped after one to two times this age.
PERIOD_S = 15.0
MAX_PERIOD_COUNT = 5000  # a period also ends after this many values
REFRESH_S = 0.5  # between calculations of the delay of a route
MIN_VALUES = 50  # before, the delay is mean + 3 deviations
MIN_DELAY_S = 0.05
# No more than one request in twenty is hedged if the distribution is stable.
MIN_QUANTILE = 0.95
# A request that exceeds it may hang, whatever the distribution says.
MAX_QUANTILE = 0.99
# Expected time saved by a second attempt, in mean latencies. The attempt costs
# the service one mean latency.
MIN_GAIN = 1.0
# An attempt that was cancelled because the other one won counts as having
# taken this many mean latencies longer. Counted as it ended, it would show no
# gain from hedges where workers hang.
SUPERSEDED_EXCESS = 2.0
# Share of the slots in use, with the hedge, above which none is sent.
MAX_LOAD = 0.9
MAX_WORKER_RISK = 0.5  # the slots of a riskier worker are not counted
# Time for which a worker's report of waiting requests is believed.
WAITING_REPORT_S = 1.0
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 3.0


class HedgeRefusal:
    """Why a hedge is refused; also the reason in a GrantRefusal."""

    DISABLED = "hedge-disabled"
    SUSPECT = "hedge-suspect"
    SHARE = "hedge-share"
    NO_CAPACITY = "hedge-no-capacity"


# The hedge may be requested again after the time in the refusal.
REPEATABLE_REFUSALS = frozenset((HedgeRefusal.SHARE, HedgeRefusal.NO_CAPACITY))


class LatencyHistogram:
    """The recent latencies (seconds) of a route.

    It has two periods, the current and the previous one, so that a value is
    dropped at most two periods after it was recorded.
    """

    __slots__ = ("_current", "_previous", "_ends_at")

    def __init__(self, now):
        self._current = _make_histogram()
        self._previous = _make_histogram()
        self._ends_at = now + PERIOD_S

    def add(self, latency, now):
        """Record a latency."""
        self.expire(now)
        value = min(MAX_LATENCY_MS, max(MIN_LATENCY_MS, int(latency * 1000.0)))
        self._current.record_value(value)

    def expire(self, now):
        """Start a new period if the current one has ended."""
        is_full = self._current.total_count >= MAX_PERIOD_COUNT
        if now < self._ends_at and not is_full:
            return
        is_outdated = now >= self._ends_at + PERIOD_S
        self._previous = _make_histogram() if is_outdated else self._current
        self._current = _make_histogram()
        self._ends_at = now + PERIOD_S

    def list_counts(self):
        """Return (latency, count) in order of latency, in seconds."""
        merged = _make_histogram()
        merged.add(self._current)
        merged.add(self._previous)
        return [
            (
                item.value_iterated_to / 1000.0,
                item.count_added_in_this_iter_step,
            )
            for item in merged.get_recorded_iterator()
        ]


def _make_histogram():
    return histogram.HdrHistogram(
        MIN_LATENCY_MS, MAX_LATENCY_MS, SIGNIFICANT_DIGITS
    )


class Distribution:
    """A fixed distribution of latencies, given as (latency, count) pairs."""

    __slots__ = ("values", "counts", "total", "_products")

    def __init__(self, pairs):
        self.values = [value for value, _ in pairs]
        # The number of latencies up to each value, and their sum.
        self.counts = list(itertools.accumulate(n for _, n in pairs))
        self._products = list(itertools.accumulate(v * n for v, n in pairs))
        self.total = self.counts[-1] if pairs else 0

    @property
    def mean(self):
        """The mean latency."""
        return self._products[-1] / self.total

    def find_quantile(self, share):
        """Return the smallest value that ``share`` of the latencies reach."""
        index = bisect.bisect_left(self.counts, share * self.total)
        return self.values[min(index, len(self.values) - 1)]

    def estimate_gain(self, delay):
        """Return the seconds that a second attempt after ``delay`` saves.

        The second attempt takes an independent latency of the distribution.
        The result is the mean over the attempts that take longer than the
        delay.
        """
        first = bisect.bisect_right(self.values, delay)
        before = self.counts[first - 1] if first else 0
        remaining = self.total - before
        if not remaining:
            return 0.0
        saved = 0.0
        for index in range(first, len(self.values)):
            count = self.counts[index] - before
            before = self.counts[index]
            saved += count * self._measure_shortfall(
                self.values[index] - delay
            )
        return saved / remaining

    def _measure_shortfall(self, time):
        """Return the mean of max(0, time - latency)."""
        index = bisect.bisect_right(self.values, time)
        if not index:
            return 0.0
        count, product = self.counts[index - 1], self._products[index - 1]
        return (count * time - product) / self.total


def find_delay(answered, all_attempts, tail):
    """Return the seconds after which a second attempt is worth its cost.

    ``answered`` is the Distribution of the attempts with an answer,
    ``all_attempts`` also has those that a hedge superseded. ``tail`` is mean
    + 3 deviations. The delay is the least one beyond MIN_QUANTILE at which
    the gain reaches MIN_GAIN, and at most the tail or the MAX_QUANTILE of the
    answers, as an attempt beyond it may hang.
    """
    max_delay = max(tail, answered.find_quantile(MAX_QUANTILE))
    min_gain = MIN_GAIN * answered.mean
    lowest = all_attempts.find_quantile(MIN_QUANTILE)
    start = bisect.bisect_left(all_attempts.values, lowest)
    for delay in all_attempts.values[start:]:
        if delay >= max_delay:
            break
        if all_attempts.estimate_gain(delay) >= min_gain:
            return delay
    return max_delay


class RouteLatencies:
    """The distribution of a route's latency and the delay that follows."""

    __slots__ = ("answered", "superseded", "_delay", "_refresh_at")

    def __init__(self, now):
        self.answered = LatencyHistogram(now)
        self.superseded = LatencyHistogram(now)
        self._delay = None
        self._refresh_at = now

    def find_delay(self, tail, now):
        """Return the delay of a hedge in seconds, calculated at times."""
        if now >= self._refresh_at:
            self._refresh_at = now + REFRESH_S
            self._delay = self._calculate_delay(tail, now)
        return tail if self._delay is None else self._delay

    def _calculate_delay(self, tail, now):
        self.answered.expire(now)
        self.superseded.expire(now)
        pairs = self.answered.list_counts()
        answered = Distribution(pairs)
        if answered.total < MIN_VALUES:
            return None
        all_pairs = sorted([*pairs, *self.superseded.list_counts()])
        return find_delay(answered, Distribution(all_pairs), tail)


class HedgePolicy(structs.Struct):
    """What the operator allows: the largest ``share`` of hedged requests.

    At 1 only the retry budget limits hedges, at 0 there are none.
    """

    __slots__ = ("share",)
    DEFAULTS = {"share": 1.0}

    @property
    def is_limited(self):
        """Whether hedges are limited further than by the retry budget."""
        return self.share < 1.0


class HedgeControl:
    """The hedges of one service: when one is sent and whether it may be.

    ``policy`` is the HedgePolicy, one for all services of a node; ``window``
    is the time in seconds over which the share is measured.
    """

    __slots__ = ("policy", "routes", "spent", "_waiting_reports")

    def __init__(self, window):
        self.policy = HedgePolicy()
        self.routes = {}
        self.spent = budgets.RetryBudget(self.policy.share, 0.0, window)
        # Time of the report by worker whose requests wait.
        self._waiting_reports = {}

    def find_delay(self, route, tail, now):
        """Return the seconds from an attempt to its hedge, None for none.

        ``tail`` is the mean + 3 deviations of the route's latency.
        """
        if self.policy.share <= 0.0:
            return None
        if not self.policy.is_limited:
            return round(max(MIN_DELAY_S, tail), 3)
        latencies = self.routes.get(route)
        delay = latencies.find_delay(tail, now) if latencies else tail
        return round(max(MIN_DELAY_S, delay), 3)

    def count_attempt(self, message, now):
        """Count the attempt of a GrantRequest or GrantNotice."""
        if message.is_hedge:
            self.spent.add_repeat(now)
        elif not message.retry_count:
            self.spent.add_first_attempt(now)

    def record_report(self, report, latencies, now):
        """Record an AttemptReport.

        ``latencies`` is a backends.RouteLatency by route.
        """
        if not self.policy.is_limited:
            return
        if report.load is not None:
            self._waiting_reports.pop(report.worker_id, None)
            if report.load[1] > 0:
                self._waiting_reports[report.worker_id] = now
        if report.ending == Ending.ANSWERED.value:
            self._get_route(report.route, now).answered.add(
                report.latency, now
            )
        elif report.is_superseded:
            known = latencies.get(report.route)
            excess = SUPERSEDED_EXCESS * known.mean if known else 0.0
            self._get_route(report.route, now).superseded.add(
                report.latency + excess, now
            )

    def _get_route(self, route, now):
        latencies = self.routes.get(route)
        if latencies is None:
            latencies = self.routes[route] = RouteLatencies(now)
        return latencies

    def prepare_hedge(self, request, scheduler, now):
        """Return the GrantRefusal of a hedge, or None if it may be sent.

        A hedge then avoids the workers where it would be queued. An attempt
        that is no hedge is left as it is.
        """
        if not request.is_hedge:
            return None
        reason = self._find_refusal(request, scheduler, now)
        if reason is not None:
            return self.refuse(request, reason, scheduler.latencies)
        if not self.policy.is_limited:
            return None
        request.avoided_workers = self._list_avoided(
            request, scheduler.workers.values(), now
        )
        return None

    def may_queue(self, request):
        """Return whether a request may wait in the scheduler's queue."""
        return not (request.is_hedge and self.policy.is_limited)

    def refuse(self, request, reason, latencies):
        """Return the GrantRefusal of a hedge.

        It may be requested again once a request of the mean latency has
        ended.
        """
        known = latencies.get(request.route)
        retry_after = known.mean if known else MIN_RETRY_AFTER_S
        retry_after = min(
            MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, retry_after)
        )
        return messages.GrantRefusal(
            request.attempt_id, reason, round(retry_after, 2)
        )

    def _find_refusal(self, request, scheduler, now):
        share = self.policy.share
        if share <= 0.0:
            return HedgeRefusal.DISABLED
        if scheduler.crashes.is_suspect(request.fingerprint, now):
            return HedgeRefusal.SUSPECT
        if not self.policy.is_limited:
            return None
        if scheduler.queue or not has_room(scheduler.workers.values(), now):
            return HedgeRefusal.NO_CAPACITY
        self.spent.ratio = share
        if self.spent.measure_used_share(now) > 1.0:
            return HedgeRefusal.SHARE
        return None

    def _list_avoided(self, request, workers, now):
        """Return the identifiers of the workers that get no such hedge.

        They are those of the request itself and those where the hedge would
        be queued behind other requests.
        """
        self._waiting_reports = {
            worker_id: at
            for worker_id, at in self._waiting_reports.items()
            if now - at <= WAITING_REPORT_S
        }
        full = {
            worker.entry.worker_id
            for worker in workers
            if len(worker.in_flight) >= worker.entry.slots
        }
        return sorted(
            {*request.avoided_workers, *full, *self._waiting_reports}
        )


def has_room(workers, now):
    """Return whether usable workers have spare capacity for one hedge."""
    slots, in_flight = 0, 0
    for worker in workers:
        if worker.entry.draining or now < worker.backoff_until:
            continue
        if worker.estimate_risk(now) >= MAX_WORKER_RISK:
            continue
        slots += worker.entry.slots
        in_flight += len(worker.in_flight)
    return in_flight + 1 <= MAX_LOAD * slots
