"""Service-level burn: how fast each class uses up its error budget."""

from hdrh import histogram

from acaciafield import classes
from acaciafield import outcomes

MINUTE = 60.0  # seconds
KEPT_MINUTES = 60
LOWEST = 1  # microseconds
HIGHEST = 3_600_000_000  # microseconds
DIGITS = 2


class ClassBurn:
    """Counts of one class of work.

    ``minutes`` holds [minute, all, missed] for the last hour.
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
        self.latencies = histogram.HdrHistogram(LOWEST, HIGHEST, DIGITS)

    def add(self, outcome, status, latency, now):
        """Count a finished request; ``latency`` is in seconds."""
        met = meets_target(self.work_class, outcome, status, latency)
        self.total += 1
        self.missed += not met
        self.outcomes[outcome] += 1
        self.latencies.record_value(max(LOWEST, int(latency * 1e6)))
        minute = int(now // MINUTE)
        if not self.minutes or self.minutes[-1][0] != minute:
            self.minutes.append([minute, 0, 0])
            del self.minutes[:-KEPT_MINUTES]
        self.minutes[-1][1] += 1
        self.minutes[-1][2] += not met

    def describe(self):
        """Return the counts as a document."""
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


class Burn:
    """The burn of all classes that this node served."""

    __slots__ = ("table",)

    def __init__(self):
        self.table = {}

    def observe(self, request, outcome, status, now):
        """Count a request that ended."""
        name = (request.event.service, request.work_class.name)
        found = self.table.get(name)
        if found is None:
            found = self.table[name] = ClassBurn(
                request.event.service, request.work_class
            )
        found.work_class = request.work_class
        found.add(outcome, status, now - request.event.now, now)

    def describe(self):
        """Return the burn of all classes as a list."""
        return [found.describe() for found in self.table.values()]


def meets_target(work_class, outcome, status, latency):
    """Tell whether a finished request met the target of its class."""
    if outcome is not outcomes.Outcome.RAN or status >= 500:
        return False
    if work_class.target is classes.Target.QUICK:
        return latency <= work_class.within
    return True
