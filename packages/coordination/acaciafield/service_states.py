"""State that a keeper has of one service."""

from acaciafield import budgets
from acaciafield import classes
from acaciafield import ejections
from acaciafield import evidence
from acaciafield import quarantine
from acaciafield import workers

HOSTS_PERIOD_S = 1.0
IDLE_TIMEOUT_S = 60.0


class ServiceState:
    """Workers, queues, retry budget and evidence of one service.

    ``waiting`` maps a permit to its WaitingRequest, ``in_flight`` to its
    in-flight request; ``exclusive_queue`` holds requests that need a
    worker without other requests; ``slots`` counts the slots of the workers
    in use at the last judging; ``mean_slot_time`` is in seconds;
    ``ejected`` and ``suspected`` count ejections and suspicions;
    ``queue_sequence`` breaks ties between equal due times. Until
    ``grants_paused_until`` (seconds) no slot is granted.
    ``pending_held`` holds reports of permits that arrived before the
    first host list. ``paths_to_drop`` holds the (node, worker) pairs whose
    open connections are to be closed.
    """

    __slots__ = (
        "service",
        "workers",
        "baseline",
        "budget",
        "quarantine",
        "queue",
        "finish_queue",
        "exclusive_queue",
        "waiting",
        "in_flight",
        "finish_in_flight",
        "floor",
        "caution",
        "has_host_list",
        "last_used",
        "mean_slot_time",
        "ejected",
        "suspected",
        "queue_sequence",
        "slots",
        "grants_paused_until",
        "pending_held",
        "paths_to_drop",
    )

    def __init__(self, service, now):
        self.service = service
        self.workers = {}
        self.baseline = evidence.Baseline()
        self.budget = budgets.RetryBudget(now)
        self.quarantine = quarantine.Quarantine()
        self.queue = []
        self.finish_queue = []
        self.exclusive_queue = []
        self.waiting = {}
        self.in_flight = {}
        self.finish_in_flight = 0
        self.floor = classes.DEFAULT_FLOOR_SHARE
        self.caution = classes.Caution.QUICK_DETECTION
        self.has_host_list = False
        self.last_used = now
        self.mean_slot_time = 0.1
        self.ejected = 0
        self.suspected = 0
        self.queue_sequence = 0
        self.slots = 0
        self.grants_paused_until = 0.0
        self.pending_held = []
        self.paths_to_drop = set()

    def count_slots(self):
        """Return the number of slots of the workers in use."""
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


def update_hosts(service_state, hosts, now, out):
    """Apply the platform's host list.

    The list lags behind. A worker that is known to drain stays LEAVING
    while the list still shows it as live, and a worker that the list lacks
    is removed only after UNLISTED_TIMEOUT_S.
    """
    service_state.has_host_list = True
    listed = set()
    for entry in hosts:
        listed.add(entry.host_id)
        worker = service_state.workers.get(entry.host_id)
        if worker is None or _is_restarted(worker, entry):
            if worker is not None:
                _forget_in_flight(service_state, worker)
            worker = workers.Worker(entry, now)
            service_state.workers[entry.host_id] = worker
        if worker.unlisted_since is not None:
            worker.unlisted_since = None
            worker.status = workers.Status.HEALTHY
        if entry.state == "leaving":
            ejections.mark_leaving(service_state, worker, out)
    for worker in list(service_state.workers.values()):
        if worker.worker_id not in listed:
            _expire_unlisted(service_state, worker, now)
    service_state.slots = service_state.count_slots()


def _is_restarted(worker, entry):
    return entry.address != worker.address or entry.started > worker.started


def _forget_in_flight(service_state, worker):
    for permit_id, request in worker.in_flight.items():
        service_state.in_flight.pop(permit_id, None)
        service_state.finish_in_flight -= request.is_finish


def _expire_unlisted(service_state, worker, now):
    if worker.unlisted_since is None:
        worker.unlisted_since = now
    worker.status = workers.Status.LEAVING
    if (
        worker.in_flight
        or now - worker.unlisted_since < workers.UNLISTED_TIMEOUT_S
    ):
        return
    del service_state.workers[worker.worker_id]
