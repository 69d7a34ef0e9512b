"""Sequential evidence of latency and errors against each worker.

Each worker has two cumulative sums of log-likelihood ratios (CUSUM:
Page, "Continuous inspection schemes", Biometrika 41, 1954): one over
the logarithm of latencies, one over errors. In-flight requests count
by their age, so that a stall is detected before any request completes.
"""

import math

FAULTY_SLOWDOWN_RATIO = 3.0  # slowdown that the latency sum detects best
MIN_SIGMA = 0.25  # standard deviation of the natural log of latencies
MAX_SHIFT = 3.0  # standard deviations, as the clips below
MIN_SHIFT = 1.0
COMPLETED_CLIP = (-2.0, 4.5)  # bounds what one completed request adds
IN_FLIGHT_CLIP = 8.0  # bounds what one in-flight request adds
BASELINE_CLIP = 2.5  # bounds how far one latency moves the baseline
LATENCY_EWMA_WEIGHT = 0.02
MIN_SAMPLES = 20
FAULTY_ERROR_SHARE = 0.2  # error share that the error sum detects best
MIN_ERROR_SHARE = 0.01
ERROR_EWMA_WEIGHT = 0.01
MAX_DOUBTFUL_THRESHOLD_SHARE = 0.95  # so that it alone ejects no worker
BAD_PATH_SHARE = 0.7  # of the evidence from one node: a path fault
SUCCESS_WINDOW_S = 5.0  # age up to which another node's answer counts


class Baseline:
    """Usual latency and errors of a service.

    ``mean_log_latency`` and ``log_latency_variance`` describe the natural
    logarithm of latencies in seconds; ``error_share`` is the share of answers
    that are errors. All are exponentially weighted averages;
    ``sample_count`` counts the latencies.
    """

    __slots__ = (
        "mean_log_latency",
        "log_latency_variance",
        "sample_count",
        "error_share",
    )

    def __init__(self):
        self.mean_log_latency = 0.0
        self.log_latency_variance = 0.25
        self.sample_count = 0
        self.error_share = MIN_ERROR_SHARE

    @property
    def is_ready(self):
        """Whether enough requests completed to judge workers by."""
        return self.sample_count >= MIN_SAMPLES

    @property
    def sigma(self):
        """Standard deviation of the log latency, with a lower bound."""
        return max(MIN_SIGMA, math.sqrt(self.log_latency_variance))

    @property
    def shift(self):
        """Standard deviations by which a faulty worker is slower."""
        shift = math.log(FAULTY_SLOWDOWN_RATIO) / self.sigma
        return min(MAX_SHIFT, max(MIN_SHIFT, shift))

    def add_latency(self, latency):
        """Update the latency baseline with a healthy worker's seconds."""
        value = math.log(max(latency, 1e-5))
        self.sample_count += 1
        if self.sample_count == 1:
            self.mean_log_latency = value
            return
        rate = max(LATENCY_EWMA_WEIGHT, 1.0 / self.sample_count)
        limit = BASELINE_CLIP * self.sigma if self.is_ready else math.inf
        step = max(-limit, min(limit, value - self.mean_log_latency))
        self.mean_log_latency += rate * step
        self.log_latency_variance += rate * (
            step * step - self.log_latency_variance
        )

    def add_answer(self, failed):
        """Update the share of errors with an answer."""
        self.error_share += ERROR_EWMA_WEIGHT * (
            float(failed) - self.error_share
        )

    def measure_deviation(self, latency):
        """Return how many standard deviations a latency is above the mean."""
        value = math.log(max(latency, 1e-5))
        return (value - self.mean_log_latency) / self.sigma

    def estimate_latency(self, deviations):
        """Return the latency in seconds at so many standard deviations."""
        return math.exp(self.mean_log_latency + deviations * self.sigma)


class Scores:
    """Evidence against a worker, as log-likelihood ratios.

    ``doubtful_score`` is the part that an unresponsive connection may
    explain, ``certain_score`` the rest.
    """

    __slots__ = ("certain_score", "doubtful_score")

    def __init__(self, certain_score, doubtful_score):
        self.certain_score = certain_score
        self.doubtful_score = doubtful_score

    def combine(self, threshold):
        """Return the score to compare with the threshold.

        Doubtful evidence can bring the score close to the threshold but
        not over it.
        """
        max_doubtful = max(
            0.0, MAX_DOUBTFUL_THRESHOLD_SHARE * threshold - self.certain_score
        )
        return self.certain_score + min(self.doubtful_score, max_doubtful)


class Evidence:
    """Cumulative sums of one worker, and the evidence from each node.

    ``slow_score`` sums latencies, ``error_score`` error answers, and
    ``doubtful_score`` requests on connections that may be unresponsive.
    ``bad_scores`` maps a node to the score of its evidence against it,
    ``success_times`` to the time in seconds of its last successful answer.
    The ``limit`` of the methods is the upper bound of each sum.
    """

    __slots__ = (
        "slow_score",
        "doubtful_score",
        "error_score",
        "bad_scores",
        "success_times",
    )

    def __init__(self):
        self.clear()

    def clear(self):
        """Clear all evidence."""
        self.slow_score = 0.0
        self.doubtful_score = 0.0
        self.error_score = 0.0
        self.bad_scores = {}
        self.success_times = {}

    def add_latency(self, baseline, latency, node_id, now, limit):
        """Add the latency in seconds of a completed request."""
        shift = baseline.shift
        low, high = COMPLETED_CLIP
        deviation = min(high, max(low, baseline.measure_deviation(latency)))
        step = shift * (deviation - shift / 2)
        self.slow_score = min(limit, max(0.0, self.slow_score + step))
        if step < 0.0:
            self.doubtful_score = max(0.0, self.doubtful_score + step)
        self._add_node_evidence(node_id, step, now)

    def add_unanswered(self, baseline, age, node_id, now, limit):
        """Add a request that got no answer on a reused connection.

        The connection may be unresponsive rather than the worker, so the
        evidence is doubtful.
        """
        step = score_age(baseline, age)
        self.doubtful_score = min(limit, self.doubtful_score + step)
        self._add_node_evidence(node_id, step, now)

    def add_answer(self, baseline, failed, node_id, now, limit):
        """Add an answer, which is a success or an error."""
        usual_share = min(0.9, max(MIN_ERROR_SHARE, baseline.error_share))
        faulty_share = min(0.95, max(FAULTY_ERROR_SHARE, 3.0 * usual_share))
        if failed:
            step = math.log(faulty_share / usual_share)
            self._add_node_evidence(node_id, step, now)
        else:
            step = math.log((1.0 - faulty_share) / (1.0 - usual_share))
        self.error_score = min(limit, max(0.0, self.error_score + step))

    def score_requests(self, baseline, requests, now):
        """Return the Scores, with in-flight requests counted by age."""
        certain_score, doubtful_score = self.slow_score, self.doubtful_score
        if not baseline.is_ready:
            return Scores(self.error_score, 0.0)
        usual_start = now - baseline.estimate_latency(baseline.shift / 2)
        for request in requests:
            if request.has_head or request.started > usual_start:
                continue
            score = score_age(baseline, now - request.started)
            if request.fresh:
                certain_score += score
            else:
                doubtful_score += score
        return Scores(max(certain_score, self.error_score), doubtful_score)

    def find_bad_path(self, requests, baseline, now):
        """Return the node whose path explains the evidence, or None.

        A path is at fault when most bad evidence comes from one node while
        another node got successful answers recently.
        """
        bad_scores = dict(self.bad_scores)
        for request in requests:
            if not request.has_head and baseline.is_ready:
                score = score_age(baseline, now - request.started)
                bad_scores[request.node_id] = (
                    bad_scores.get(request.node_id, 0.0) + score
                )
        total = sum(bad_scores.values())
        if total <= 0.0:
            return None
        node_id = max(bad_scores, key=bad_scores.get)
        if bad_scores[node_id] < BAD_PATH_SHARE * total:
            return None
        for other_id, succeeded_at in self.success_times.items():
            if other_id != node_id and now - succeeded_at < SUCCESS_WINDOW_S:
                return node_id
        return None

    def _add_node_evidence(self, node_id, step, now):
        if step > 0.0:
            self.bad_scores[node_id] = self.bad_scores.get(node_id, 0.0) + step
            return
        self.success_times[node_id] = now
        remaining = self.bad_scores.get(node_id, 0.0) + step
        if remaining > 0.0:
            self.bad_scores[node_id] = remaining
        else:
            self.bad_scores.pop(node_id, None)


def score_age(baseline, age):
    """Return the score of a request in flight for ``age`` seconds."""
    shift = baseline.shift
    deviation = min(IN_FLIGHT_CLIP, baseline.measure_deviation(age))
    return max(0.0, shift * (deviation - shift / 2))
