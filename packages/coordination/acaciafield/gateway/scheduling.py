"""The scheduler of a service: grants workers, queues and refuses.

A coordinator has one scheduler for each service. Near and over the
capacity of the service, requests queue in order of urgency, and a request
that cannot be served in time is refused at once.
"""

import collections
import enum
import math

from acaciafield.gateway import admission
from acaciafield.gateway import backends
from acaciafield.gateway import budgets
from acaciafield.gateway import crashes
from acaciafield.gateway import evidence
from acaciafield.gateway import floors
from acaciafield.gateway import hedging
from acaciafield.gateway import messages
from acaciafield.gateway import onsets
from acaciafield.gateway import selection
from acaciafield import outcomes
from acaciafield import structs

Ending = outcomes.Ending

# Share of the retry budget that is reserved for more urgent requests.
MAX_RESERVED_SHARE = 0.25
# Used share of the retry budget from which no canary request is sent.
CANARY_BUDGET_SHARE = 0.5
# Retry-After of a request refused for overload, as shares of its time left.
# Callers honour up to a third; an earlier return meets the same overload.
MIN_RETURN_SHARE = 0.15
MAX_RETURN_SHARE = 0.3
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 3.0
NO_WORKER_RETRY_AFTER_S = 0.5
# Latency assumed before the first answer, as a share of the target.
INITIAL_LATENCY_SHARE = 0.25
# Within this time a granted request may not have reached its worker yet.
GRANT_DELIVERY_TIME_S = 0.25
# Queued requests without a worker after which one dispatch stops trying.
MAX_MISSES = 8
# Share of attempts that are refused or fail above which orders use idle
# workers as well: the share from which the floor is required.
MAX_UNSERVED_SHARE = 0.1
MAX_LOGGED_WORKERS = 8  # in one log line


class RefusalReason:
    """Why a request got no worker."""

    NO_WORKERS = "no-workers"
    OVERLOAD = "overload"
    BUDGET = "budget"
    QUARANTINED = "quarantined"
    EXPIRED = "expired"
    AVOIDED = "avoided"
    STALE = "stale"
    PAUSED = "paused"
    QUOTA = "quota"


class ResultClass(enum.IntEnum):
    """How an attempt or a request ended; the better result is greater."""

    FAILURE = 0
    SUCCESS = 1


class InFlightRequest(structs.Struct):
    """An in-flight request at a worker; times in seconds.

    ``started`` is the time of the grant if this node granted it
    (``granted_here``), else the time at which this node learned of it.
    """

    __slots__ = (
        "attempt_id",
        "node",
        "route",
        "started",
        "expires",
        "retry_count",
        "fingerprint",
        "worker",
        "granted_here",
    )
    DEFAULTS = {"granted_here": False}

    def find_earliest_end(self, latency):
        """Return the earliest possible end, or None if granted elsewhere."""
        return self.started + latency if self.granted_here else None


class Scheduler:
    """The workers, queue and retry budget of one service.

    ``ledger`` is the node's crashes.CrashLedger, one for all services.
    """

    __slots__ = (
        "service",
        "workers",
        "queue",
        "latencies",
        "budget",
        "crashes",
        "random",
        "in_flight",
        "priorities",
        "floor",
        "due_workers",
        "is_below_floor",
        "last_request_at",
        "recent_results",
        "hedges",
        "onset_rate",
    )

    def __init__(self, service, terms, random, started=None, ledger=None):
        self.service = service
        self.workers = {}
        self.queue = admission.AdmissionQueue()
        self.latencies = {}
        self.budget = budgets.RetryBudget(
            terms.ratio, terms.slack, terms.window, started
        )
        self.crashes = crashes.CrashLedger() if ledger is None else ledger
        self.random = random
        self.in_flight = {}
        self.priorities = budgets.DecayingShares(terms.window)
        self.floor = terms.floor
        self.due_workers = floors.DueWorkers()
        self.is_below_floor = False
        self.last_request_at = None
        self.recent_results = budgets.DecayingShares(floors.WINDOW_S)
        self.hedges = hedging.HedgeControl(terms.window)
        self.onset_rate = onsets.OnsetRate()

    def update_entries(self, entries, now):
        """Replace the list of workers, but preserve the state of each."""
        listed = {entry.worker_id: entry for entry in entries}
        had_workers = bool(self.workers)
        for worker_id in list(self.workers):
            if worker_id not in listed:
                worker = self.workers.pop(worker_id)
                evidence.record_exit(worker, self.crashes, now)
                self.due_workers.reset()
        for worker_id, entry in listed.items():
            worker = self.workers.get(worker_id)
            if worker is None:
                worker = backends.Worker(entry, now)
                # A new scheduler does not know which workers had requests.
                if had_workers:
                    worker.granted_at = -math.inf
                self.workers[worker_id] = worker
            elif entry.is_same_except_sequence(worker.entry):
                worker.entry = entry
            else:
                if entry.incarnation != worker.entry.incarnation:
                    evidence.record_exit(worker, self.crashes, now)
                worker.update_entry(entry, now)

    def dump(self, now):
        """Return the state of this scheduler, with ages for times."""
        return {
            "workers": {
                worker_id: worker.dump(now)
                for worker_id, worker in self.workers.items()
            },
            "budget": self.budget.dump(now),
            "latencies": {
                route: latency.dump()
                for route, latency in self.latencies.items()
            },
            "flights": [
                [
                    active.attempt_id,
                    active.node,
                    active.route,
                    now - active.started,
                    active.expires - now,
                    active.retry_count,
                    active.fingerprint,
                    active.worker.entry.worker_id,
                ]
                for active in self.in_flight.values()
            ],
        }

    def load(self, document, now):
        """Merge the state dumped by another coordinator's scheduler."""
        self.budget.load(document["budget"], now)
        for worker_id, row in document["workers"].items():
            worker = self.workers.get(worker_id)
            if worker is not None:
                worker.load(row, now)
        for route, row in document["latencies"].items():
            known = self.latencies.setdefault(
                route, backends.RouteLatency(0.0)
            )
            if row[-1] > known.count:
                known.load(row)
        for row in document["flights"]:
            worker = self.workers.get(row[-1])
            if worker is None or row[0] in self.in_flight:
                continue
            (
                attempt_id,
                node,
                route,
                age,
                time_left,
                retry_count,
                fingerprint,
                _,
            ) = row
            active = InFlightRequest(
                attempt_id,
                node,
                route,
                now - age,
                now + time_left,
                retry_count,
                fingerprint,
                worker,
            )
            self._register_in_flight(active)

    def decide(self, request, sender, now):
        """Return a Grant, GrantQueued or GrantRefusal for a request."""
        self.last_request_at = now
        self.priorities.add(request.priority, now)
        active = self.in_flight.get(request.attempt_id)
        quarantined = self.crashes.is_quarantined(request.fingerprint, now)
        if (
            active is not None
            and not quarantined
            and self._is_still_valid(active, request)
        ):
            return self._make_grant(request, active.worker, now)
        self._remove_in_flight(request.attempt_id)
        if self.queue.has_attempt(request.attempt_id):
            return messages.GrantQueued(request.attempt_id)
        self.queue.record_arrival(request, now)
        refusal = self._find_refusal(
            request, now
        ) or self.hedges.prepare_hedge(request, self, now)
        if refusal is not None:
            return refusal
        worker = None
        if not self._has_runnable_ahead(request, now):
            worker = self.choose_worker(
                request, now, selection.INITIAL_MAX_RISK
            )
        if worker is not None:
            return self._grant(request, worker, now)
        return self._enqueue(request, sender, now)

    def _is_still_valid(self, active, request):
        """Return whether the grant of a request sent again still holds."""
        worker, worker_id = active.worker, active.worker.entry.worker_id
        if worker.entry.draining or worker_id in request.avoided_workers:
            return False
        if self.workers.get(worker_id) is not worker:
            return False
        return active.attempt_id in worker.in_flight

    def _is_suspect_in_flight(self, request, now):
        """Return whether a copy of a suspect request is in flight.

        A suspect request runs at one worker at a time. A copy that runs
        far longer than usual is ignored: it hangs, and may never have
        crashed a worker.
        """
        if not self.crashes.is_suspect(request.fingerprint, now):
            return False
        mean = self._find_latency(request.route, request.target).mean
        return any(
            active.fingerprint == request.fingerprint
            and now - active.started <= backends.HANG_LATENCY_RATIO * mean
            for active in self.in_flight.values()
        )

    def _find_refusal(self, request, now):
        if self.crashes.is_quarantined(request.fingerprint, now):
            return self._refuse(
                request, RefusalReason.QUARANTINED, MAX_RETRY_AFTER_S, now
            )
        absence = self._find_absence_reason(request)
        if absence is not None:
            return self._refuse(request, absence, NO_WORKER_RETRY_AFTER_S, now)
        if request.retry_count and self.budget.measure_used_share(
            now
        ) > self._find_budget_share(request, now):
            return self._refuse(
                request, RefusalReason.BUDGET, MIN_RETRY_AFTER_S, now
            )
        return None

    def _find_absence_reason(self, request):
        """Return the RefusalReason if no worker fits a request, or None."""
        reason = RefusalReason.NO_WORKERS
        for worker_id, worker in self.workers.items():
            if worker.entry.draining:
                continue
            if worker_id not in request.avoided_workers:
                return None
            reason = RefusalReason.AVOIDED
        return reason

    def _find_budget_share(self, request, now):
        """Return the share of the budget that a request may use up.

        The rest is reserved for more urgent requests, in proportion to
        their share of all requests.
        """
        urgent = self.priorities.measure_below(request.priority, now)
        return 1.0 - min(MAX_RESERVED_SHARE, urgent)

    def _refuse(self, request, reason, retry_after, now):
        self.recent_results.add(ResultClass.FAILURE, now)
        retry_after = round(retry_after, 2)
        self.queue.record_refusal(request, retry_after, now)
        return messages.GrantRefusal(request.attempt_id, reason, retry_after)

    def _has_runnable_ahead(self, request, now):
        """Return whether a request as urgent is queued that could run now."""
        level = self.queue.find_level(request)
        return any(
            queued.level <= level
            and not self._is_suspect_in_flight(queued.request, now)
            for queued in self.queue
        )

    def _enqueue(self, request, sender, now):
        if not self.hedges.may_queue(request):
            return self.hedges.refuse(
                request, hedging.HedgeRefusal.NO_CAPACITY, self.latencies
            )
        max_wait = self.queue.find_max_wait(request)
        wait = self.estimate_wait(request, now)
        if wait > max_wait or len(self.queue) >= admission.MAX_QUEUE_LENGTH:
            worker = self.choose_worker(request, now)
            if worker is not None:
                return self._grant(request, worker, now)
            return self._refuse(
                request,
                RefusalReason.OVERLOAD,
                self._spread_return(request.time_left),
                now,
            )
        self.queue.add(request, sender, max_wait, now)
        return messages.GrantQueued(request.attempt_id)

    def _spread_return(self, time_left):
        """Return a Retry-After that spreads the callers that return."""
        share = self.random.uniform(MIN_RETURN_SHARE, MAX_RETURN_SHARE)
        retry_after = share * time_left
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, retry_after))

    def estimate_wait(self, request, now):
        """Return the seconds until a request as urgent gets a slot."""
        slots = sum(
            w.entry.slots
            for w in self.workers.values()
            if not w.entry.draining and w.estimate_risk(now) < 0.5
        )
        if not slots:
            return request.target
        ahead = self.queue.count_ahead(request, now)
        mean = self._find_latency(request.route, request.target).mean
        return (ahead + 1) * mean / slots

    def _find_latency(self, route, target):
        """Return the RouteLatency of a route; create it on first use."""
        latency = self.latencies.get(route)
        if latency is None:
            initial_mean = INITIAL_LATENCY_SHARE * target
            latency = self.latencies[route] = backends.RouteLatency(
                initial_mean
            )
        return latency

    def choose_worker(self, request, now, max_risk=1.0):
        """Return the best worker for a request, or None.

        A first attempt goes to an idle worker if the floor requires it.
        A suspect request gets no worker while a copy of it is in flight.
        """
        if self._is_suspect_in_flight(request, now):
            return None
        workers = self.workers.values()
        if not request.retry_count:
            self.due_workers.refresh(workers, self.latencies, now)
            share = self._find_floor_share(request, now)
            worker = self.due_workers.choose_worker(request, share, now)
            if worker is not None:
                return worker
        size = self._find_latency(request.route, request.target).size
        return selection.choose_worker(
            workers,
            request,
            now,
            max_risk,
            size,
            self.latencies,
            self._may_send_canary(request, now),
            self._find_onset_rate(now),
        )

    def _find_floor_share(self, request, now):
        """Return the used share of workers that a request must maintain.

        It is the floor and a margin, which is larger where a failure
        costs little because another attempt may follow.
        """
        margin = floors.MARGIN_SHARE
        if (
            not request.is_last_attempt
            and self.budget.measure_used_share(now) < 1.0
        ):
            margin = floors.RETRYABLE_MARGIN_SHARE
        return min(1.0, self.floor + margin)

    def _find_onset_rate(self, now):
        """Return the rate of onsets by which to avoid idle workers.

        It is 0 while many requests are not served: the floor then matters,
        also within a part of the workers that this node cannot tell apart.
        """
        unserved = self.recent_results.measure_below(ResultClass.SUCCESS, now)
        if unserved > MAX_UNSERVED_SHARE:
            return 0.0
        return self.onset_rate.measure_rate()

    def record_unserved(self, now):
        """Count a request that was refused before it reached this service."""
        self.recent_results.add(ResultClass.FAILURE, now)

    def _may_send_canary(self, request, now):
        if request.is_last_attempt or request.retry_count:
            return False
        if request.time_left < request.target / 2:
            return False
        return self.budget.measure_used_share(now) < CANARY_BUDGET_SHARE

    def _grant(self, request, worker, now):
        if not request.is_last_attempt:
            self.onset_rate.scout_routes.add(request.route)
        self.queue.record_grant(request, now)
        self._count_attempt(request, now)
        self._add_in_flight(request, worker, now, granted_here=True)
        return self._make_grant(request, worker, now)

    def _count_attempt(self, message, now):
        self.hedges.count_attempt(message, now)
        if message.retry_count:
            self.budget.add_repeat(now)
        else:
            self.budget.add_first_attempt(now)
            self.onset_rate.add_first_attempt(message.route)

    def _add_in_flight(self, request, worker, now, granted_here=False):
        active = InFlightRequest(
            request.attempt_id,
            request.node,
            request.route,
            now,
            now + request.time_left,
            request.retry_count,
            request.fingerprint,
            worker,
            granted_here,
        )
        self._register_in_flight(active)

    def _register_in_flight(self, active):
        worker = active.worker
        worker.in_flight[active.attempt_id] = active
        worker.record_grant(active.started)
        self.in_flight[active.attempt_id] = active

    def _remove_in_flight(self, attempt_id):
        active = self.in_flight.pop(attempt_id, None)
        if active is not None:
            active.worker.in_flight.pop(attempt_id, None)
        return active

    def _make_grant(self, request, worker, now):
        latency = self._find_latency(request.route, request.target)
        return messages.Grant(
            request.attempt_id,
            worker.entry.worker_id,
            worker.entry.address,
            self.hedges.find_delay(request.route, latency.tail, now),
            entry_version=list(worker.entry.version),
            fingerprint=request.fingerprint,
        )

    def describe_choice(self, worker_id, now):
        """Return the state that explains the choice of a worker, to log."""
        worker = self.workers[worker_id]
        usable = sum(
            1
            for other in self.workers.values()
            if not other.entry.draining
            and len(other.in_flight) < other.entry.slots
            and now >= other.backoff_until
        )
        return {
            "risk": round(worker.estimate_risk(now), 3),
            "stuck": round(worker.estimate_hang_risk(self.latencies, now), 3),
            "flights": len(worker.in_flight),
            "usable": usable,
            "listed": len(self.workers),
        }

    def measure_usage(self, now):
        """Return the floors.Usage of the workers, None without requests.

        A scheduler that received no request in the window may not know
        all grants of the other coordinators.
        """
        if (
            self.last_request_at is None
            or now - self.last_request_at > floors.WINDOW_S
        ):
            return None
        return floors.measure_usage(self.workers.values(), self.latencies, now)

    def describe_usage(self, usage, now):
        """Return the state that explains idle healthy workers, to log."""
        return {
            "share": round(usage.share, 3),
            "floor": self.floor,
            "sound": usage.healthy,
            "listed": len(self.workers),
            "rested": [
                [
                    worker.entry.worker_id,
                    round(worker.estimate_risk(now), 3),
                    round(now - worker.granted_at, 2),
                ]
                for worker in usage.idle[:MAX_LOGGED_WORKERS]
            ],
            "unsuccessful": round(
                self.recent_results.measure_below(ResultClass.SUCCESS, now),
                3,
            ),
            "waiting": len(self.queue),
            "budget_used": round(self.budget.measure_used_share(now), 3),
        }

    def describe_refusal(self, request, now):
        """Return the state that explains a refusal, to log."""
        return {
            "expected_wait": round(self.estimate_wait(request, now), 3),
            "max_wait": round(self.queue.find_max_wait(request), 3),
            "served_share": round(self.queue.measure_served_share(now), 3),
            "rate": round(self.queue.measure_rate(now), 1),
            "workspace": request.workspace,
            "budget_used": round(self.budget.measure_used_share(now), 3),
            "budget_share": round(self._find_budget_share(request, now), 3),
        }

    def record_remote_grant(self, notice, now):
        """Record a grant of another coordinator."""
        if notice.attempt_id in self.in_flight:
            return
        worker = self.workers.get(notice.worker_id)
        self._count_attempt(notice, now)
        self.queue.record_remote_grant(notice, now)
        if worker is not None:
            self._add_in_flight(notice, worker, now)

    def apply_report(self, report, now):
        """Apply the report of an attempt that ended.

        Return the crashes that it refutes, as pairs of a fingerprint and
        an attempt id.
        """
        active = self._remove_in_flight(report.attempt_id)
        earliest_end = active and active.find_earliest_end(report.latency)
        succeeded = report.ending == Ending.ANSWERED.value
        self.recent_results.add(
            ResultClass.SUCCESS if succeeded else ResultClass.FAILURE, now
        )
        worker = self.workers.get(report.worker_id)
        if worker is None:
            evidence.record_unlisted_attempt(report, self.crashes, now)
            return []
        ran_alone = worker.ran_alone(now)
        failures_before = worker.failures
        if report.load is not None:
            self._remove_lost(worker, report.load, now)
        self.hedges.record_report(report, self.latencies, now)
        if succeeded:
            # A first answer sets the mean: 4.0 is 1 / INITIAL_LATENCY_SHARE.
            self._find_latency(report.route, report.latency * 4.0)
        refuted = evidence.record_attempt(
            worker,
            report,
            self.latencies,
            self.crashes,
            ran_alone,
            earliest_end,
            now,
        )
        self.onset_rate.advance(len(self.workers), now)
        # A second failure in a row tells an onset from an error of a request.
        if failures_before == 1 and worker.failures == 2:
            self.onset_rate.add_onset()
        return refuted

    def _remove_lost(self, worker, load, now):
        """Remove the oldest in-flight requests that the worker lacks.

        ``load`` is the number of requests that the worker runs and queues.
        The reports of the others were lost on the way, or with the node
        that sent the requests. The load includes the request just reported.
        """
        running, waiting, _ = load
        arrived = [
            active
            for active in worker.in_flight.values()
            if now - active.started > GRANT_DELIVERY_TIME_S
        ]
        excess = len(arrived) - max(0, running + waiting - 1)
        if excess <= 0:
            return
        arrived.sort(key=lambda active: active.started)
        for active in arrived[:excess]:
            self._remove_in_flight(active.attempt_id)

    def withdraw(self, attempt_id):
        """Remove a request whose caller no longer waits for it."""
        self.queue.remove(attempt_id)
        self._remove_in_flight(attempt_id)

    def dispatch(self, now):
        """Return (sender, request, answer) for requests that leave the queue.

        Once MAX_MISSES requests found no worker, the less urgent ones are
        not tried, so that a long queue costs no more than a short one. They
        are counted apart for requests whose failure is final, as the others
        accept workers of more risk.
        """
        answers, remaining, misses = [], [], collections.Counter()
        for queued in self.queue.sort(now):
            request, worker = queued.request, None
            quarantined = self.crashes.is_quarantined(request.fingerprint, now)
            is_last = request.is_last_attempt
            if misses[is_last] < MAX_MISSES and not quarantined:
                max_risk = queued.find_max_risk(now)
                worker = self.choose_worker(request, now, max_risk)
                if worker is None:
                    is_suspect = self._is_suspect_in_flight(request, now)
                    misses[is_last] += not is_suspect
            if worker is not None:
                answer = self._grant(request, worker, now)
            elif quarantined:
                answer = self._refuse(
                    request, RefusalReason.QUARANTINED, MAX_RETRY_AFTER_S, now
                )
            elif now >= queued.expires:
                answer = self._refuse(
                    queued.request,
                    RefusalReason.EXPIRED,
                    self._spread_return(queued.deadline - now),
                    now,
                )
            else:
                remaining.append(queued)
                continue
            answers.append((queued.sender, queued.request, answer))
        self.queue.entries = remaining
        return answers

    def sweep(self, now):
        """Remove in-flight requests whose reports were lost."""
        slack = backends.IN_FLIGHT_SLACK_S
        for attempt_id, active in list(self.in_flight.items()):
            if now > active.expires + slack:
                self._remove_in_flight(attempt_id)
