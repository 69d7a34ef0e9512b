"""Desks of several coordinators that tell each other what they do."""

import heapq
import random

from acaciafield.gateway import granting
from acaciafield.gateway import messages
from bench import placing

DELAY = 0.003  # seconds until another coordinator knows
LOSS = 0.02  # share of the messages between coordinators that are lost


class SharedDesks:
    """Stands in a placing.Play for one desk; asks go to their zone's."""

    def __init__(self, zones, seed):
        self.random = random.Random(seed)
        self.desks = {
            "z%d"
            % number: granting.Desk(
                "s", placing.TERMS, random.Random(seed + number)
            )
            for number in range(zones)
        }
        self._told = []
        self._count = 0

    @property
    def workers(self):
        """The workers as one of the desks knows them."""
        return self.desks["z0"].workers

    def take_entries(self, entries, now):
        """Give all desks the same list."""
        for desk in self.desks.values():
            desk.take_entries(entries, now)

    def decide(self, ask, sender, now):
        """Let the desk of the asking zone decide."""
        self._deliver(now)
        answer = self.desks[ask.zone].decide(ask, sender, now)
        self._tell_granted(ask, answer, now)
        return answer

    def dispatch(self, now):
        """Let all desks look at their queues."""
        self._deliver(now)
        found = []
        for desk in self.desks.values():
            found += desk.dispatch(now)
        for _, ask, answer in found:
            self._tell_granted(ask, answer, now)
        return found

    def take_report(self, report, now):
        """Tell all desks how an attempt ended."""
        for name in self.desks:
            self._tell(name, "take_report", report, now)

    def _tell_granted(self, ask, answer, now):
        if not isinstance(answer, messages.Grant):
            return
        granted = messages.Granted(
            "s",
            ask.ask_id,
            ask.node,
            answer.worker_id,
            ask.route,
            ask.left,
            ask.repeats,
            ask.fingerprint,
        )
        for name in self.desks:
            if name != ask.zone:
                self._tell(name, "take_granted", granted, now)

    def _tell(self, name, method, message, now):
        if self.random.random() < LOSS:
            return
        self._count += 1
        row = (now + DELAY, self._count, name, method, message)
        heapq.heappush(self._told, row)

    def _deliver(self, now):
        while self._told and self._told[0][0] <= now:
            due, _, name, method, message = heapq.heappop(self._told)
            getattr(self.desks[name], method)(message, due)
