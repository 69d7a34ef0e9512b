"""Schedulers of several coordinators that notify each other."""

import heapq
import random

from acaciafield.gateway import messages
from acaciafield.gateway import scheduling
from bench import placing

MESSAGE_DELAY_S = 0.003
MESSAGE_LOSS_SHARE = 0.02


class LinkedSchedulers:
    """Replaces a placing.PlacingSimulation's scheduler by one for each zone.

    A request goes to the scheduler of its availability zone.
    """

    def __init__(self, zones, seed):
        self.random = random.Random(seed)
        self.schedulers = {
            "z%d"
            % number: scheduling.Scheduler(
                "s", placing.TERMS, random.Random(seed + number)
            )
            for number in range(zones)
        }
        self._in_transit = []
        self._message_count = 0

    @property
    def workers(self):
        """The workers of one of the schedulers."""
        return self.schedulers["z0"].workers

    def update_entries(self, entries, now):
        """Replace the list of workers of all schedulers."""
        for scheduler in self.schedulers.values():
            scheduler.update_entries(entries, now)

    def decide(self, request, sender, now):
        """Return the answer of the scheduler in the request's zone."""
        self._deliver_due(now)
        answer = self.schedulers[request.zone].decide(request, sender, now)
        self._send_notice(request, answer, now)
        return answer

    def dispatch(self, now):
        """Dispatch the queues of all schedulers."""
        self._deliver_due(now)
        decided = []
        for scheduler in self.schedulers.values():
            decided += scheduler.dispatch(now)
        for _, request, answer in decided:
            self._send_notice(request, answer, now)
        return decided

    def apply_report(self, report, now):
        """Send a report to all schedulers."""
        for name in self.schedulers:
            self._send(name, "apply_report", report, now)

    def _send_notice(self, request, answer, now):
        if not isinstance(answer, messages.Grant):
            return
        notice = messages.GrantNotice(
            "s",
            request.attempt_id,
            request.node,
            answer.worker_id,
            request.route,
            request.time_left,
            request.retry_count,
            request.fingerprint,
        )
        for name in self.schedulers:
            if name != request.zone:
                self._send(name, "record_remote_grant", notice, now)

    def _send(self, name, method, message, now):
        if self.random.random() < MESSAGE_LOSS_SHARE:
            return
        self._message_count += 1
        row = (
            now + MESSAGE_DELAY_S,
            self._message_count,
            name,
            method,
            message,
        )
        heapq.heappush(self._in_transit, row)

    def _deliver_due(self, now):
        while self._in_transit and self._in_transit[0][0] <= now:
            due, _, name, method, message = heapq.heappop(self._in_transit)
            getattr(self.schedulers[name], method)(message, due)
