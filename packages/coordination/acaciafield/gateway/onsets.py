"""The measured rate at which healthy workers begin to fail.

A worker that begins to fail shows nothing until a request meets it. The
longer ago its last request, the more likely it has begun to fail since.
"""

import math

TIME_CONSTANT_S = 20.0  # of the decay of the counts
# Prior exposure in worker-seconds without an onset, so that the first onset
# after a start does not count for a high rate.
PRIOR_EXPOSURE_S = 60.0


# Requests that may be retried, per second and worker, from which they alone
# reach 0.95 of the workers in 2 s by chance. With 0.5, a part of the workers
# without disruption fell below the floor that is required of it.
MIN_SCOUT_RATE = 1.5
# Time constant in which a lack of them is noticed. With 20 s, the share of
# workers in use fell to 0.3 when they ceased.
RECENT_TIME_S = 1.0


class OnsetRate:
    """Onsets of failures per second of one worker, with a decay.

    Scouts are the first attempts of requests that may be retried; they test
    workers at little cost. ``scout_routes`` are the routes of such requests.
    """

    __slots__ = (
        "scout_routes",
        "_onsets",
        "_scouts",
        "_recent_scouts",
        "_worker_count",
        "_exposure",
        "_updated_at",
    )

    def __init__(self):
        self.scout_routes = set()
        self._onsets = 0.0
        self._scouts = 0.0
        self._recent_scouts = 0.0
        self._worker_count = 0
        self._exposure = PRIOR_EXPOSURE_S
        self._updated_at = None

    def advance(self, worker_count, now):
        """Count the time that ``worker_count`` workers were observed."""
        if self._updated_at is None:
            self._updated_at = now
        elapsed = now - self._updated_at
        if elapsed <= 0.0:
            return
        self._updated_at = now
        self._worker_count = worker_count
        self._recent_scouts *= math.exp(-elapsed / RECENT_TIME_S)
        factor = math.exp(-elapsed / TIME_CONSTANT_S)
        self._onsets *= factor
        self._scouts *= factor
        self._exposure = self._exposure * factor + worker_count * elapsed

    def add_onset(self):
        """Count one confirmed onset."""
        self._onsets += 1.0

    def add_first_attempt(self, route):
        """Count the first attempt of a request of a route."""
        if route in self.scout_routes:
            self._scouts += 1.0
            self._recent_scouts += 1.0

    def measure_rate(self):
        """Return the onsets per second of one worker.

        It is 0 while too few scouts test the workers, as other requests
        must then be spread over all workers.
        """
        exposure = max(self._exposure, PRIOR_EXPOSURE_S)
        if self._scouts < MIN_SCOUT_RATE * exposure:
            return 0.0
        recent_rate = self._recent_scouts / RECENT_TIME_S
        if recent_rate < MIN_SCOUT_RATE * self._worker_count:
            return 0.0
        return self._onsets / exposure
