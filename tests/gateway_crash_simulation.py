"""Simulation of a request that crashes the workers that run it.

Its caller sends it repeatedly to any node, among ordinary requests.
"""

import random

from acaciafield.gateway import messages
from tests import gateway_fleet
from tests import gateway_support as support

ZONES = 3
NODES = 6  # in each zone
WORKERS = 24
SETTLED_AT_S = 4.0
END_S = 40.0
REQUEST_TIMEOUT_S = 0.06  # before the next coordinator is tried
RUN_TIME_S = 0.02
RESTART_TIME_S = 3.0  # of a crashed worker
ORDINARY_PERIOD_S = 0.02  # between ordinary requests
MAX_ATTEMPTS = 3
MAX_COORDINATORS = 4  # tried for one attempt
LATE_AFTER_S = 3.0  # after the third crash; later runs are counted
CRASHING = "bad"  # the fingerprint of the crashing request


class CrashFleet(gateway_fleet.Fleet):
    """A fleet in front of workers that one request crashes.

    ``runs`` has the times at which that request ran, ``sends`` those at
    which the sending node was not cut off; ``request_log`` has the time and
    name of each coordinator that a request was sent to.
    """

    def __init__(self, seed, loss=0.0, period=0.5):
        super().__init__(ZONES, NODES)
        self.rng = random.Random(seed)
        self.loss = loss
        self.period = period
        names = ["w%d" % number for number in range(1, WORKERS + 1)]
        self.entries = [support.make_entry(name) for name in names]
        self.waiting = {}
        self.queued = set()
        self.runs = []
        self.sends = []
        self.refused_ordinary = 0
        self.down_until = {}
        self.request_log = []
        self._requests = 0

    def deliver(self, sender, ip, message):
        if self.rng.random() >= self.loss:
            super().deliver(sender, ip, message)

    def record_delivery(self, state, message):
        if isinstance(message, messages.GrantQueued):
            self.queued.add(message.attempt_id)
            return
        handle_answer = self.waiting.pop(
            getattr(message, "attempt_id", None), None
        )
        if handle_answer is not None:
            handle_answer(message)

    def simulate(self, disrupt=None, disruption_period_s=None):
        """Run to the end; call ``disrupt`` once in each period."""
        self.start()
        self.repeat(2.0, ORDINARY_PERIOD_S, lambda: self.request(""))
        self.repeat(SETTLED_AT_S, self.period, lambda: self.request(CRASHING))
        if disrupt is not None:
            self.repeat(SETTLED_AT_S + 2.0, disruption_period_s, disrupt)
        self.run_until(END_S)

    def repeat(self, at, period, act):
        """Call ``act`` from a time on, once in each period."""

        def step(now):
            act()
            self.plan(now + period, step)

        self.plan(at, step)

    def count_late_runs(self):
        """Return the number of runs too long after the third crash."""
        if len(self.runs) < 3:
            return 0
        return sum(at > self.runs[2] + LATE_AFTER_S for at in self.sends)

    def cut_busiest(self, count, duration_s):
        """Cut off the coordinators with the most requests in 1 second."""
        recent = [n for at, n in self.request_log if self.now - at < 1.0]
        names = sorted(set(recent), key=recent.count, reverse=True)
        self.cut_for(names[:count], duration_s)

    def cut_for(self, names, duration_s):
        """Cut nodes off for a time in seconds."""
        for name in names:
            self.cut(name)
            self.plan(
                self.now + duration_s, lambda now, name=name: self.heal(name)
            )

    def request(self, fingerprint):
        """Send a caller's request to a random node."""
        self._requests += 1
        request_id = "r%d" % self._requests
        name = self.rng.choice(list(self.states))
        self._request_worker(
            name, request_id, 1, [], fingerprint or "f-" + request_id
        )

    def _request_worker(
        self, name, request_id, attempt, avoided_workers, fingerprint
    ):
        state = self.states[name]
        request = support.make_grant_request(
            "%s:%d" % (request_id, attempt),
            node=name,
            zone=state.local_member.zone,
            retry_count=attempt - 1,
            is_last_attempt=attempt == MAX_ATTEMPTS,
            avoided_workers=avoided_workers,
            fingerprint=fingerprint,
        )

        def handle_answer(answer):
            if isinstance(answer, messages.Grant):
                self._send(name, request, answer, request_id, attempt)
            elif answer.reason == "quarantined" and fingerprint != CRASHING:
                self.refused_ordinary += 1

        self.waiting[request.attempt_id] = handle_answer
        include_local = state.may_grant_locally(self.now)
        names = state.membership.rank_coordinators(
            "orders", self.now, include_local
        )
        self._try_next(state, request, list(names)[:MAX_COORDINATORS])

    def _try_next(self, state, request, names):
        if request.attempt_id not in self.waiting or not names:
            self.waiting.pop(request.attempt_id, None)
            return
        self.request_log.append((self.now, names[0]))
        if names[0] == state.local_member.name:
            self.receive(state, "", request)
        else:
            ip = self.states[names[0]].local_member.ip
            self.deliver(state.local_member.ip, ip, request)

        def give_up(now):
            if request.attempt_id in self.waiting.keys() - self.queued:
                state.membership.record_missed_request(names[0], now)
                self._try_next(state, request, names[1:])

        self.plan(self.now + REQUEST_TIMEOUT_S, give_up)

    def _send(self, name, request, grant, request_id, attempt):
        worker_id, is_crashing = (
            grant.worker_id,
            request.fingerprint == CRASHING,
        )
        ending = "reset" if is_crashing else "answered"
        if self.now < self.down_until.get(worker_id, 0.0):
            ending = "unreached"
        elif is_crashing:
            self.runs.append(self.now)
            self.down_until[worker_id] = self.now + RESTART_TIME_S
            if not self.is_cut(name):
                self.sends.append(self.now)

        def end(now):
            self._report(name, request, grant, ending)
            if ending != "answered" and attempt < MAX_ATTEMPTS:
                avoided_workers = [*request.avoided_workers, worker_id]
                self._request_worker(
                    name,
                    request_id,
                    attempt + 1,
                    avoided_workers,
                    request.fingerprint,
                )

        self.plan(self.now + RUN_TIME_S, end)

    def _report(self, name, request, grant, ending):
        state = self.states[name]
        report = support.make_report(
            request.attempt_id,
            grant.worker_id,
            ending,
            node=name,
            latency=RUN_TIME_S,
            fingerprint=request.fingerprint,
        )
        names = set(state.membership.list_evidence_holders("orders", self.now))
        for other in sorted((names | {grant.granted_by}) - {"", name}):
            self.deliver(
                state.local_member.ip,
                self.states[other].local_member.ip,
                report,
            )
        self.receive(state, "", report)
