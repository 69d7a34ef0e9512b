"""Judging workers by sequential evidence against their siblings.

Each worker has two cumulative sums of log-likelihood ratios (CUSUM:
Page, "Continuous inspection schemes", Biometrika 41, 1954): one over
the logarithm of latencies, one over errors. Requests still in flight
count with their age, so that a stall needs no completion to be seen.
"""

import math

SICK_FACTOR = 3.0  # the slowdown that the latency sum is tuned to
LEAST_SIGMA = 0.25  # of the natural logarithm of latencies
MOST_SHIFT = 3.0  # standard deviations
LEAST_SHIFT = 1.0  # standard deviations
DONE_CLIP = (-2.0, 4.5)  # standard deviations, of one completed request
AGE_CLIP = 8.0  # standard deviations, of one request in flight
UPDATE_CLIP = 2.5  # standard deviations, of what moves the baseline
UPDATE_RATE = 0.02  # weight of one latency in the baseline
FIRST_UPDATES = 20  # completions before the baseline counts as known
SICK_ERRORS = 0.2  # the error share that the error sum is tuned to
LEAST_ERRORS = 0.01
ERROR_RATE = 0.01  # weight of one answer in the error share
FRESH_DOUBT = 0.95  # most of a threshold that old connections can give
PATH_SHARE = 0.7  # of the bad evidence from one node: a path fault
PATH_WINDOW = 5.0  # seconds within which other nodes' good answers count


class Baseline:
    """A service's own past: log latency and the share of errors."""

    __slots__ = ("mean", "variance", "count", "errors")

    def __init__(self):
        self.mean = 0.0
        self.variance = 0.25
        self.count = 0
        self.errors = LEAST_ERRORS

    @property
    def known(self):
        """Whether there were enough completions to judge by."""
        return self.count >= FIRST_UPDATES

    @property
    def sigma(self):
        """Standard deviation of the log latency."""
        return max(LEAST_SIGMA, math.sqrt(self.variance))

    @property
    def shift(self):
        """Standard deviations by which a sick worker is slower."""
        shift = math.log(SICK_FACTOR) / self.sigma
        return min(MOST_SHIFT, max(LEAST_SHIFT, shift))

    def add_latency(self, latency):
        """Take a healthy worker's latency (seconds) in."""
        value = math.log(max(latency, 1e-5))
        self.count += 1
        if self.count == 1:
            self.mean = value
            return
        rate = max(UPDATE_RATE, 1.0 / self.count)
        limit = UPDATE_CLIP * self.sigma if self.known else math.inf
        step = max(-limit, min(limit, value - self.mean))
        self.mean += rate * step
        self.variance += rate * (step * step - self.variance)

    def add_answer(self, failed):
        """Take an answer into the share of errors."""
        self.errors += ERROR_RATE * (float(failed) - self.errors)

    def measure(self, latency):
        """Return the latency in standard deviations above the mean."""
        value = math.log(max(latency, 1e-5))
        return (value - self.mean) / self.sigma

    def quantile(self, deviations):
        """Return the latency (seconds) this many deviations above."""
        return math.exp(self.mean + deviations * self.sigma)


class Weights:
    """Evidence against a worker, by whether connections explain it."""

    __slots__ = ("certain", "doubtful")

    def __init__(self, certain, doubtful):
        self.certain = certain
        self.doubtful = doubtful

    def combine(self, threshold):
        """Return the evidence to act on.

        Doubtful evidence, of connections that may have gone silent, can
        bring it close to the threshold but not over it.
        """
        room = max(0.0, FRESH_DOUBT * threshold - self.certain)
        return self.certain + min(self.doubtful, room)


class Evidence:
    """The sums of one worker, and which nodes saw what.

    ``doubtful`` sums what connections that may have gone silent gave;
    ``bad`` maps a node to the weight of its bad evidence, ``good`` to
    the time of its last good answer.
    """

    __slots__ = ("slow", "doubtful", "errors", "bad", "good")

    def __init__(self):
        self.clear()

    def clear(self):
        """Forget all evidence."""
        self.slow = 0.0
        self.doubtful = 0.0
        self.errors = 0.0
        self.bad = {}
        self.good = {}

    def add_latency(self, baseline, latency, node_id, now, limit):
        """Count a completed request's latency."""
        shift = baseline.shift
        low, high = DONE_CLIP
        deviation = min(high, max(low, baseline.measure(latency)))
        step = shift * (deviation - shift / 2)
        self.slow = min(limit, max(0.0, self.slow + step))
        if step < 0.0:
            self.doubtful = max(0.0, self.doubtful + step)
        self._note(node_id, step, now)

    def add_silence(self, baseline, age, node_id, now, limit):
        """Count a request given up on a connection that may be silent."""
        step = weigh_age(baseline, age)
        self.doubtful = min(limit, self.doubtful + step)
        self._note(node_id, step, now)

    def add_answer(self, baseline, failed, node_id, now, limit):
        """Count an answer as good or as an error."""
        usual = min(0.9, max(LEAST_ERRORS, baseline.errors))
        sick = min(0.95, max(SICK_ERRORS, 3.0 * usual))
        if failed:
            step = math.log(sick / usual)
            self._note(node_id, step, now)
        else:
            step = math.log((1.0 - sick) / (1.0 - usual))
        self.errors = min(limit, max(0.0, self.errors + step))

    def weigh_flights(self, baseline, flights, now):
        """Return the Weights, requests in flight included."""
        certain, doubtful = self.slow, self.doubtful
        if not baseline.known:
            return Weights(self.errors, 0.0)
        oldest_usual = now - baseline.quantile(baseline.shift / 2)
        for flight in flights:
            if flight.headed or flight.started > oldest_usual:
                continue
            weight = weigh_age(baseline, now - flight.started)
            if flight.fresh:
                certain += weight
            else:
                doubtful += weight
        return Weights(max(certain, self.errors), doubtful)

    def find_bad_path(self, flights, baseline, now):
        """Return the one node whose path explains the evidence, or None."""
        bad = dict(self.bad)
        for flight in flights:
            if not flight.headed and baseline.known:
                weight = weigh_age(baseline, now - flight.started)
                bad[flight.node_id] = bad.get(flight.node_id, 0.0) + weight
        total = sum(bad.values())
        if total <= 0.0:
            return None
        node_id = max(bad, key=bad.get)
        if bad[node_id] < PATH_SHARE * total:
            return None
        for other, when in self.good.items():
            if other != node_id and now - when < PATH_WINDOW:
                return node_id
        return None

    def _note(self, node_id, step, now):
        if step > 0.0:
            self.bad[node_id] = self.bad.get(node_id, 0.0) + step
            return
        self.good[node_id] = now
        left = self.bad.get(node_id, 0.0) + step
        if left > 0.0:
            self.bad[node_id] = left
        else:
            self.bad.pop(node_id, None)


def weigh_age(baseline, age):
    """Return the evidence of a request in flight for ``age`` seconds."""
    shift = baseline.shift
    deviation = min(AGE_CLIP, baseline.measure(age))
    return max(0.0, shift * (deviation - shift / 2))
