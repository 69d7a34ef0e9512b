"""What a service's keeper knows of its workers."""

import enum

from acaciafield import judging

COLD_TIME = 10.0  # seconds after its start in which a worker is cold
COLD_STEP = 2  # answers for which a cold worker gets one more slot
SHED_PAUSE = 0.05  # seconds for a worker that shed; it doubles
MOST_SHED_PAUSE = 1.0  # seconds
DOWN_PAUSE = 0.2  # seconds for one that refuses connections; it doubles
MOST_DOWN_PAUSE = 2.0  # seconds
FORGET_AFTER = 30.0  # seconds unlisted and idle


class Status(enum.Enum):
    """How a worker may be used."""

    HEALTHY = "healthy"
    COLD = "cold"
    SUSPECT = "suspect"
    EJECTED = "ejected"
    PROBATION = "probation"
    LEAVING = "leaving"


class Flight:
    """A granted slot in use; ``started`` in seconds."""

    __slots__ = (
        "permit_id",
        "worker_id",
        "node_id",
        "class_name",
        "finish",
        "started",
        "fresh",
        "solo",
        "headed",
        "fingerprint",
    )

    def __init__(self, permit_id, worker_id, node_id, class_name, started):
        self.permit_id = permit_id
        self.worker_id = worker_id
        self.node_id = node_id
        self.class_name = class_name
        self.finish = False
        self.started = started
        self.fresh = False
        self.solo = False
        self.headed = False
        self.fingerprint = ""


class Worker:
    """One worker of a service.

    ``weight`` is the evidence against it, ``certain`` the part that no
    silent connection explains; ``pressure`` counts all doubtful
    evidence too, and is what its siblings are compared by.
    """

    __slots__ = (
        "worker_id",
        "address",
        "availability_zone",
        "slots",
        "status",
        "started",
        "answers",
        "flights",
        "evidence",
        "weight",
        "certain",
        "pressure",
        "last_resort",
        "ejections",
        "held_until",
        "good_canaries",
        "healthy_since",
        "solo",
        "paused_until",
        "refusals",
        "sheds",
        "crashed_at",
        "bad_paths",
        "unlisted_since",
    )

    def __init__(self, entry, now):
        self.worker_id = entry.host_id
        self.address = entry.address
        self.availability_zone = entry.availability_zone
        self.slots = entry.slots
        self.started = entry.started
        self.status = Status.HEALTHY
        if now - entry.started < COLD_TIME:
            self.status = Status.COLD
        self.answers = 0
        self.flights = {}
        self.evidence = judging.Evidence()
        self.weight = 0.0
        self.certain = 0.0
        self.pressure = 0.0
        self.last_resort = False
        self.ejections = 0
        self.held_until = 0.0
        self.good_canaries = 0
        self.healthy_since = now
        self.solo = None
        self.paused_until = 0.0
        self.refusals = 0
        self.sheds = 0
        self.crashed_at = 0.0
        self.bad_paths = {}
        self.unlisted_since = None

    @property
    def is_canary(self):
        """Whether the next request decides about the worker."""
        return self.status in (Status.SUSPECT, Status.PROBATION)

    def count_free(self, now):
        """Return how many more requests the worker may be given."""
        if self.solo is not None or now < self.paused_until:
            return 0
        if self.status is Status.HEALTHY:
            return self.slots - len(self.flights)
        if self.status is Status.COLD:
            warm = 1 + self.answers // COLD_STEP
            return min(self.slots, warm) - len(self.flights)
        if self.status is Status.PROBATION:
            return 1 - len(self.flights)
        if self.status is Status.SUSPECT:
            return 0 if any(f.fresh for f in self.flights.values()) else 1
        return 0

    def pause_shedding(self, now):
        """Give a worker that shed a moment's rest."""
        pause = min(MOST_SHED_PAUSE, SHED_PAUSE * 2**self.sheds)
        self.sheds += 1
        self.paused_until = now + pause

    def pause_down(self, now):
        """Give a worker that breaks off or refuses time to come up."""
        if not self.refusals:
            self.crashed_at = now
        pause = min(MOST_DOWN_PAUSE, DOWN_PAUSE * 2**self.refusals)
        self.refusals += 1
        self.paused_until = now + pause

    def is_path_bad(self, node_id, now):
        """Tell whether the path from a node to this worker is avoided."""
        until = self.bad_paths.get(node_id)
        return until is not None and now < until
