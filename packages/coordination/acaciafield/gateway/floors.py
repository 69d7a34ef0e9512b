"""The floor: the share of a service's sound workers that get work.

A worker that failed is left alone for a while, and only a request can
tell whether it is well again. Where most requests are worth more than
what one finds out, ever more of a large service would be left out; the
floor answers for that, under any load.
"""

import math

from acaciafield.gateway import placing
from acaciafield import structs

WINDOW = 2.0  # seconds in which a sound worker is to get a request
TURN = 1.7  # seconds of rest after which a worker may be due
LOOK_PERIOD = 0.05  # seconds for which one look at all workers serves
MARGIN = 0.02  # share above the floor, as other coordinators see it later
RETRY_MARGIN = 0.2  # the same for requests that can be sent once more
HUNG = 0.5  # risk of a hang from which a worker is not taken for sound


class Usage(structs.Struct):
    """Use of a service's workers: how many are ``sound``, which rested.

    ``rested`` lists the sound workers, as backends.Worker, that got no
    request within the window, least risky and longest rested first.
    """

    __slots__ = ("sound", "rested")

    @property
    def share(self):
        """The share of the sound workers that got work."""
        if not self.sound:
            return 1.0
        return 1.0 - len(self.rested) / self.sound


def measure_usage(workers, latencies, now, window=WINDOW):
    """Return the Usage of workers over the last ``window`` seconds.

    ``latencies`` is a backends.Latency by route.
    """
    sound, rested = 0, []
    for worker in workers:
        if not _is_sound(worker, latencies, now, window):
            continue
        if now - worker.granted_at > window:
            rested.append(worker)
        elif now - worker.failed_at <= WINDOW:
            continue
        sound += 1
    rested.sort(key=lambda worker: (worker.read_risk(now), worker.granted_at))
    return Usage(sound, rested)


def _is_sound(worker, latencies, now, window):
    """Tell whether nothing says that a worker cannot do its work.

    It neither leaves nor hangs, no two nodes failed to reach it lately,
    and it failed nothing within the window.
    """
    if worker.entry.draining or now - worker.failed_at <= window:
        return False
    if worker.is_out_of_reach(now):
        return False
    return worker.estimate_hang(latencies, now) < HUNG


class Turns:
    """The workers that are due for a request, so that the floor holds."""

    __slots__ = ("_usage", "_looked_at")

    def __init__(self):
        self.forget()

    def look(self, workers, latencies, now):
        """Bring the rested workers up to date, at most each period."""
        if now - self._looked_at >= LOOK_PERIOD:
            self._looked_at = now
            self._usage = measure_usage(workers, latencies, now, TURN)

    def forget(self):
        """Look anew at the next ask, as a worker is no longer listed."""
        self._usage = Usage(0, [])
        self._looked_at = -math.inf

    def choose_worker(self, ask, share, now):
        """Return the worker whose turn an ask must take, or None.

        ``share`` of the sound workers are to get work; of the others the
        least risky comes first.
        """
        usage = self._usage
        usage.rested = [w for w in usage.rested if now - w.granted_at > TURN]
        if usage.share >= share:
            return None
        for worker in usage.rested:
            if placing.is_eligible(worker, ask, now):
                return worker
        return None
