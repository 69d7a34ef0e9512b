"""The floor: the share of a service's healthy workers that stay in use.

A worker that failed gets no requests for a time, and only a request can
show whether it has recovered. Where a failed request costs more than this
information is worth, more and more workers of a large service would stay
idle. The floor prevents this under any load.
"""

import math

from acaciafield.gateway import selection
from acaciafield import structs

WINDOW_S = 2.0  # in which each healthy worker is to get a request
DUE_AFTER_S = 1.7  # idle time after which a worker may be due
REFRESH_PERIOD_S = 0.05
# Share above the floor, as grants reach the other coordinators late.
MARGIN_SHARE = 0.02
# The same for requests that may be retried.
RETRYABLE_MARGIN_SHARE = 0.2
MAX_HANG_RISK = 0.5  # at and above it, a worker does not count as healthy


class Usage(structs.Struct):
    """The number of ``healthy`` workers of a service, and the idle ones.

    ``idle`` lists the healthy workers, as backends.Worker, that got no
    request within the window, least risky and longest idle first.
    """

    __slots__ = ("healthy", "idle")

    @property
    def share(self):
        """The share of the healthy workers that got requests."""
        if not self.healthy:
            return 1.0
        return 1.0 - len(self.idle) / self.healthy


def measure_usage(workers, latencies, now, window=WINDOW_S):
    """Return the Usage of workers over the last ``window`` seconds.

    ``latencies`` is a backends.RouteLatency by route.
    """
    healthy, idle = 0, []
    for worker in workers:
        if not _is_healthy(worker, latencies, now, window):
            continue
        if now - worker.granted_at > window:
            idle.append(worker)
        elif now - worker.failed_at <= WINDOW_S:
            continue
        healthy += 1
    idle.sort(
        key=lambda worker: (worker.estimate_risk(now), worker.granted_at)
    )
    return Usage(healthy, idle)


def _is_healthy(worker, latencies, now, window):
    """Return whether there is no evidence against a worker.

    It neither drains nor hangs, is not unreachable to two nodes or more,
    and failed no request within the window.
    """
    if worker.entry.draining or now - worker.failed_at <= window:
        return False
    if worker.is_unreachable(now):
        return False
    return worker.estimate_hang_risk(latencies, now) < MAX_HANG_RISK


class DueWorkers:
    """The idle workers that are due for a request to keep the floor."""

    __slots__ = ("_usage", "_refreshed_at")

    def __init__(self):
        self.reset()

    def refresh(self, workers, latencies, now):
        """Update the idle workers, at most once per REFRESH_PERIOD_S."""
        if now - self._refreshed_at >= REFRESH_PERIOD_S:
            self._refreshed_at = now
            self._usage = measure_usage(workers, latencies, now, DUE_AFTER_S)

    def reset(self):
        """Discard the idle workers, as one is no longer listed."""
        self._usage = Usage(0, [])
        self._refreshed_at = -math.inf

    def choose_worker(self, request, share, now):
        """Return the worker that a request must go to, or None.

        None if ``share`` of the healthy workers get requests already or no
        idle worker is eligible; else the least risky eligible one.
        """
        usage = self._usage
        usage.idle = [
            w for w in usage.idle if now - w.granted_at > DUE_AFTER_S
        ]
        if usage.share >= share:
            return None
        for worker in usage.idle:
            if selection.is_eligible(worker, request, now):
                return worker
        return None
