"""Service-level burn: how fast each class of work uses its error budget."""

from hdrh import histogram

from acaciafield import classes
from acaciafield import outcomes

MINUTE_S = 60.0
RETAINED_MINUTES = 60
MIN_LATENCY_US = 1
MAX_LATENCY_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2  # of a latency in the histogram


class ClassBurn:
    """Counts of finished requests of one class of work.

    ``minutes`` holds [minute since the epoch, total, missed] of up to 60
    minutes that had requests, oldest first.
    """

    __slots__ = (
        "service",
        "work_class",
        "total",
        "missed",
        "outcomes",
        "minutes",
        "latencies",
    )

    def __init__(self, service, work_class):
        self.service = service
        self.work_class = work_class
        self.total = 0
        self.missed = 0
        self.outcomes = {outcome: 0 for outcome in outcomes.Outcome}
        self.minutes = []
        self.latencies = histogram.HdrHistogram(
            MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS
        )

    def add_request(self, outcome, status, latency, now):
        """Count a finished request; ``latency`` is in seconds."""
        is_met = meets_target(self.work_class, outcome, status, latency)
        self.total += 1
        self.missed += not is_met
        self.outcomes[outcome] += 1
        self.latencies.record_value(max(MIN_LATENCY_US, int(latency * 1e6)))
        minute = int(now // MINUTE_S)
        if not self.minutes or self.minutes[-1][0] != minute:
            self.minutes.append([minute, 0, 0])
            del self.minutes[:-RETAINED_MINUTES]
        self.minutes[-1][1] += 1
        self.minutes[-1][2] += not is_met

    def describe(self):
        """Return the counts as a JSON document."""
        return {
            "service": self.service,
            "class": self.work_class.name,
            "target": self.work_class.target.value,
            "within": self.work_class.within,
            "share": self.work_class.share,
            "total": self.total,
            "missed": self.missed,
            "outcomes": {o.value: n for o, n in self.outcomes.items()},
            "minutes": self.minutes,
            "histogram": self.latencies.encode().decode(),
        }


class BurnTable:
    """The counts of all classes of work that this node served."""

    __slots__ = ("table",)

    def __init__(self):
        self.table = {}

    def record_request(self, request, outcome, status, now):
        """Count a finished request in its class of work."""
        key = (request.event.service, request.work_class.name)
        class_burn = self.table.get(key)
        if class_burn is None:
            class_burn = self.table[key] = ClassBurn(
                request.event.service, request.work_class
            )
        class_burn.work_class = request.work_class
        class_burn.add_request(outcome, status, now - request.event.now, now)

    def describe(self):
        """Return a list with one document for each class of work."""
        return [class_burn.describe() for class_burn in self.table.values()]


def meets_target(work_class, outcome, status, latency):
    """Return whether a finished request met the target of its class."""
    if outcome is not outcomes.Outcome.RAN or status >= 500:
        return False
    if work_class.target is classes.Target.QUICK:
        return latency <= work_class.within
    return True
