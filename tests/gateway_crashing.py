"""A play of a request that crashes the workers which run it.

Its caller sends it again and again at any node, beside ordinary ones.
"""

import random

from acaciafield.gateway import messages
from tests import gateway_fleet
from tests import gateway_support as support

ZONES = 3
NODES = 6  # in each zone
WORKERS = 24
SETTLED = 4.0  # seconds
END = 40.0  # seconds
ASK_TIMEOUT = 0.06  # seconds after which another coordinator is asked
RUN_TIME = 0.02  # seconds
DOWN_TIME = 3.0  # seconds until a crashed worker is back
ORDINARY_PERIOD = 0.02  # seconds
MOST_ATTEMPTS = 3
MOST_ASKED = 4  # coordinators
STABLE_WINDOW = 3.0  # seconds after the third crash; later runs are counted
BAD = "bad"  # the fingerprint of the crashing request


class CrashFleet(gateway_fleet.Fleet):
    """A fleet before workers that one request crashes.

    ``runs`` has the times at which that request ran, ``sends`` those of
    them where the sending node was not cut off.
    """

    def __init__(self, seed, loss=0.0, period=0.5):
        super().__init__(ZONES, NODES)
        self.draw = random.Random(seed)
        self.loss = loss
        self.period = period
        names = ["w%d" % number for number in range(1, WORKERS + 1)]
        self.entries = [support.make_entry(name) for name in names]
        self.waiting = {}
        self.queued = set()
        self.runs = []
        self.sends = []
        self.refused_others = 0
        self.down_until = {}
        self.on_duty = []  # time and name of each coordinator asked
        self._requests = 0

    def deliver(self, sender, ip, message):
        if self.draw.random() >= self.loss:
            super().deliver(sender, ip, message)

    def note_delivered(self, state, message):
        if isinstance(message, messages.Queued):
            self.queued.add(message.ask_id)
            return
        take = self.waiting.pop(getattr(message, "ask_id", None), None)
        if take is not None:
            take(message)

    def play(self, strike=None, strike_period=None):
        """Play to the end; ``strike`` is called in each period."""
        self.start()
        self.repeat(2.0, ORDINARY_PERIOD, lambda: self.request(""))
        self.repeat(SETTLED, self.period, lambda: self.request(BAD))
        if strike is not None:
            self.repeat(SETTLED + 2.0, strike_period, strike)
        self.run_until(END)

    def repeat(self, at, period, act):
        """Call ``act`` from a time on, once in each period."""

        def step(now):
            act()
            self.plan(now + period, step)

        self.plan(at, step)

    def count_late(self):
        """Return the runs that come too long after the third crash."""
        if len(self.runs) < 3:
            return 0
        return sum(at > self.runs[2] + STABLE_WINDOW for at in self.sends)

    def cut_busiest(self, count, duration_s):
        """Cut off the coordinators that were asked most lately."""
        recent = [n for at, n in self.on_duty if self.now - at < 1.0]
        found = sorted(set(recent), key=recent.count, reverse=True)
        self.cut_for(found[:count], duration_s)

    def cut_for(self, names, duration_s):
        """Cut nodes off for a time in seconds."""
        for name in names:
            self.cut(name)
            self.plan(
                self.now + duration_s, lambda now, name=name: self.heal(name)
            )

    def request(self, fingerprint):
        """Let a caller send a request to some node."""
        self._requests += 1
        stem = "r%d" % self._requests
        name = self.draw.choice(list(self.states))
        self._ask(name, stem, 1, [], fingerprint or "f-" + stem)

    def _ask(self, name, stem, attempt, avoid, fingerprint):
        state = self.states[name]
        request = support.make_ask(
            "%s:%d" % (stem, attempt),
            node=name,
            zone=state.own.zone,
            repeats=attempt - 1,
            last=attempt == MOST_ATTEMPTS,
            avoid=avoid,
            fingerprint=fingerprint,
        )

        def take(answer):
            if isinstance(answer, messages.Grant):
                self._send(name, request, answer, stem, attempt)
            elif answer.reason == "quarantined" and fingerprint != BAD:
                self.refused_others += 1

        self.waiting[request.ask_id] = take
        alone = state.may_act_alone(self.now)
        names = state.view.rank_coordinators("orders", self.now, alone)
        self._ask_next(state, request, list(names)[:MOST_ASKED])

    def _ask_next(self, state, request, names):
        if request.ask_id not in self.waiting or not names:
            self.waiting.pop(request.ask_id, None)
            return
        self.on_duty.append((self.now, names[0]))
        if names[0] == state.own.name:
            self.receive(state, "", request)
        else:
            ip = self.states[names[0]].own.ip
            self.deliver(state.own.ip, ip, request)

        def give_up(now):
            if request.ask_id in self.waiting.keys() - self.queued:
                state.view.note_missed_ask(names[0], now)
                self._ask_next(state, request, names[1:])

        self.plan(self.now + ASK_TIMEOUT, give_up)

    def _send(self, name, request, grant, stem, attempt):
        worker_id, bad = grant.worker_id, request.fingerprint == BAD
        ending = "reset" if bad else "answered"
        if self.now < self.down_until.get(worker_id, 0.0):
            ending = "unreached"
        elif bad:
            self.runs.append(self.now)
            self.down_until[worker_id] = self.now + DOWN_TIME
            if not self.is_cut(name):
                self.sends.append(self.now)

        def end(now):
            self._report(name, request, grant, ending)
            if ending != "answered" and attempt < MOST_ATTEMPTS:
                avoid = [*request.avoid, worker_id]
                self._ask(name, stem, attempt + 1, avoid, request.fingerprint)

        self.plan(self.now + RUN_TIME, end)

    def _report(self, name, request, grant, ending):
        state = self.states[name]
        report = support.make_report(
            request.ask_id,
            grant.worker_id,
            ending,
            node=name,
            latency=RUN_TIME,
            fingerprint=request.fingerprint,
        )
        names = set(state.view.list_evidence_holders("orders", self.now))
        for other in sorted((names | {grant.granter}) - {"", name}):
            self.deliver(state.own.ip, self.states[other].own.ip, report)
        self.receive(state, "", report)
