"""The floor: the share of a service's sound workers that get work.

A worker that failed is left alone for a while, and only a request can
tell whether it is well again.
"""

from acaciafield import structs

WINDOW = 2.0  # seconds in which a sound worker is to get a request
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

    Sound is one that neither leaves nor hangs and that failed nothing
    within the window. ``latencies`` is a backends.Latency by route.
    """
    sound, rested = 0, []
    for worker in workers:
        if worker.entry.draining or now - worker.failed_at <= window:
            continue
        if worker.estimate_hang(latencies, now) >= HUNG:
            continue
        sound += 1
        if now - worker.granted_at > window:
            rested.append(worker)
    rested.sort(key=lambda worker: (worker.read_risk(now), worker.granted_at))
    return Usage(sound, rested)
