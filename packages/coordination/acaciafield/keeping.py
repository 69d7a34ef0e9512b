"""A keeper's state of one service: workers, queue, budget, evidence."""

from acaciafield import budgets
from acaciafield import classes
from acaciafield import ejections
from acaciafield import judging
from acaciafield import quarantine
from acaciafield import workers

HOSTS_PERIOD = 1.0  # seconds between reads of the host list
IDLE_AFTER = 60.0  # seconds without a request before a service is let go


class Keeping:
    """One service as its keeper sees it.

    Nothing is granted before ``held_until`` (seconds);
    ``slots`` counts those of the workers in use when last judged;
    ``silent`` holds the (node, worker) pairs whose open connections
    are to be dropped.
    """

    __slots__ = (
        "service",
        "workers",
        "baseline",
        "budget",
        "quarantine",
        "queue",
        "finish_queue",
        "solo_queue",
        "waiting",
        "flights",
        "finish_flights",
        "floor",
        "caution",
        "listed",
        "last_used",
        "mean_hold",
        "ejected",
        "suspected",
        "counter",
        "slots",
        "held_until",
        "early_held",
        "silent",
    )

    def __init__(self, service, now):
        self.service = service
        self.workers = {}
        self.baseline = judging.Baseline()
        self.budget = budgets.RetryBudget(now)
        self.quarantine = quarantine.Quarantine()
        self.queue = []
        self.finish_queue = []
        self.solo_queue = []
        self.waiting = {}
        self.flights = {}
        self.finish_flights = 0
        self.floor = classes.DEFAULT_FLOOR
        self.caution = classes.Caution.QUICK_DETECTION
        self.listed = False
        self.last_used = now
        self.mean_hold = 0.1
        self.ejected = 0
        self.suspected = 0
        self.counter = 0
        self.slots = 0
        self.held_until = 0.0
        self.early_held = []
        self.silent = set()

    def count_slots(self):
        """Return the slots of the workers in use."""
        return sum(
            w.slots
            for w in self.workers.values()
            if w.status
            in (
                workers.Status.HEALTHY,
                workers.Status.COLD,
                workers.Status.SUSPECT,
            )
        )


def take_hosts(keeping, hosts, now, out):
    """Take in the platform's list; the earliest sign of leaving wins.

    The list lags, so a worker that it does not show yet, or no more,
    is kept until it has been unlisted for a while.
    """
    keeping.listed = True
    listed = set()
    for entry in hosts:
        listed.add(entry.host_id)
        worker = keeping.workers.get(entry.host_id)
        if worker is None or _is_restarted(worker, entry):
            if worker is not None:
                _forget_flights(keeping, worker)
            worker = workers.Worker(entry, now)
            keeping.workers[entry.host_id] = worker
        if worker.unlisted_since is not None:
            worker.unlisted_since = None
            worker.status = workers.Status.HEALTHY
        if entry.state == "leaving":
            ejections.mark_leaving(keeping, worker, out)
    for worker in list(keeping.workers.values()):
        if worker.worker_id not in listed:
            _age_unlisted(keeping, worker, now)
    keeping.slots = keeping.count_slots()


def _is_restarted(worker, entry):
    return entry.address != worker.address or entry.started > worker.started


def _forget_flights(keeping, worker):
    for permit_id, flight in worker.flights.items():
        keeping.flights.pop(permit_id, None)
        keeping.finish_flights -= flight.finish


def _age_unlisted(keeping, worker, now):
    if worker.unlisted_since is None:
        worker.unlisted_since = now
    worker.status = workers.Status.LEAVING
    if worker.flights or now - worker.unlisted_since < workers.FORGET_AFTER:
        return
    del keeping.workers[worker.worker_id]
