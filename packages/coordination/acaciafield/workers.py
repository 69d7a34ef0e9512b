"""State that a keeper has of the workers of a service."""

import enum

from acaciafield import evidence

COLD_TIME_S = 10.0  # counted from the start of the worker
ANSWERS_PER_WARM_SLOT = 2
SHED_PAUSE_S = 0.05  # doubles with each consecutive shed request
MAX_SHED_PAUSE_S = 1.0
RESET_PAUSE_S = 0.2  # doubles with each consecutive reset
MAX_RESET_PAUSE_S = 2.0
UNLISTED_TIMEOUT_S = 30.0  # the host list of the platform lags behind


class Status(enum.Enum):
    """Statuses of a worker, which determine how it may be used.

    A COLD worker has started recently and gets few slots. A SUSPECT worker
    gets one canary request on a new connection. An EJECTED worker gets no
    request; after that, in PROBATION, it gets one canary request at a time.
    """

    HEALTHY = "healthy"
    COLD = "cold"
    SUSPECT = "suspect"
    EJECTED = "ejected"
    PROBATION = "probation"
    LEAVING = "leaving"


class InFlightRequest:
    """A granted slot in use by one in-flight request.

    ``started`` is in seconds; ``is_finish`` marks a request of the target
    FINISH; ``fresh`` one on a new connection; ``exclusive`` one that has
    the worker to itself; ``has_head`` one whose response head arrived or
    whose age must no longer count.
    """

    __slots__ = (
        "permit_id",
        "worker_id",
        "node_id",
        "class_name",
        "is_finish",
        "started",
        "fresh",
        "exclusive",
        "has_head",
        "fingerprint",
    )

    def __init__(self, permit_id, worker_id, node_id, class_name, started):
        self.permit_id = permit_id
        self.worker_id = worker_id
        self.node_id = node_id
        self.class_name = class_name
        self.is_finish = False
        self.started = started
        self.fresh = False
        self.exclusive = False
        self.has_head = False
        self.fingerprint = ""


class Worker:
    """One worker of a service.

    ``score`` is the value that ejections act on, a log-likelihood ratio.
    ``certain_score`` is the part that an unresponsive connection can't
    explain. ``total_score`` includes all doubtful evidence; workers are
    compared with each other by it. ``exclusive`` is the permit that has
    the worker to itself, or None. ``last_resort`` marks a worker that only
    the floor keeps in use. ``bad_paths`` maps a node to the time until
    which it avoids the worker. ``crashed_at`` is the time of the first of
    consecutive resets. All times are in seconds.
    """

    __slots__ = (
        "worker_id",
        "address",
        "availability_zone",
        "slots",
        "status",
        "started",
        "answer_count",
        "in_flight",
        "evidence",
        "score",
        "certain_score",
        "total_score",
        "last_resort",
        "ejections",
        "ejected_until",
        "successful_canaries",
        "healthy_since",
        "exclusive",
        "paused_until",
        "consecutive_resets",
        "consecutive_sheds",
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
        if now - entry.started < COLD_TIME_S:
            self.status = Status.COLD
        self.answer_count = 0
        self.in_flight = {}
        self.evidence = evidence.Evidence()
        self.score = 0.0
        self.certain_score = 0.0
        self.total_score = 0.0
        self.last_resort = False
        self.ejections = 0
        self.ejected_until = 0.0
        self.successful_canaries = 0
        self.healthy_since = now
        self.exclusive = None
        self.paused_until = 0.0
        self.consecutive_resets = 0
        self.consecutive_sheds = 0
        self.crashed_at = 0.0
        self.bad_paths = {}
        self.unlisted_since = None

    @property
    def is_canary(self):
        """Whether the next request to the worker is a canary request."""
        return self.status in (Status.SUSPECT, Status.PROBATION)

    def count_free_slots(self, now):
        """Return the number of slots that may still be granted."""
        if self.exclusive is not None or now < self.paused_until:
            return 0
        if self.status is Status.HEALTHY:
            return self.slots - len(self.in_flight)
        if self.status is Status.COLD:
            warm_slots = 1 + self.answer_count // ANSWERS_PER_WARM_SLOT
            return min(self.slots, warm_slots) - len(self.in_flight)
        if self.status is Status.PROBATION:
            return 1 - len(self.in_flight)
        if self.status is Status.SUSPECT:
            return 0 if any(r.fresh for r in self.in_flight.values()) else 1
        return 0

    def pause_after_shed(self, now):
        """Pause grants after the worker shed a request."""
        pause = min(MAX_SHED_PAUSE_S, SHED_PAUSE_S * 2**self.consecutive_sheds)
        self.consecutive_sheds += 1
        self.paused_until = now + pause

    def pause_after_reset(self, now):
        """Pause grants after a reset, which gives a crash time to recover."""
        if not self.consecutive_resets:
            self.crashed_at = now
        pause = min(
            MAX_RESET_PAUSE_S, RESET_PAUSE_S * 2**self.consecutive_resets
        )
        self.consecutive_resets += 1
        self.paused_until = now + pause

    def is_path_bad(self, node_id, now):
        """Return whether the path from a node to this worker is avoided."""
        avoided_until = self.bad_paths.get(node_id)
        return avoided_until is not None and now < avoided_until
