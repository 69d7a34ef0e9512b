"""Placing under load in virtual time: one desk, workers in bad spells.

``python -m bench.placing`` prints, for a service of each user's size and
several loads, what callers of work that may run once would get.
"""

import bisect
import collections
import heapq
import math
import random

from acaciafield.gateway import backends
from acaciafield.gateway import granting
from acaciafield.gateway import messages
from acaciafield import structs

TERMS = granting.Terms(ratio=0.2, slack=60.0, window=10.0, floor=0.7)
FAILURE_TIME = 0.003  # seconds in which a worker in a bad spell fails
OWN_ERRORS = 0.012  # share of requests that fail at sound workers
LENGTH = 40.0  # seconds of one play
SLOWLY = 0.125  # share of the target within which refusing is at once
DISPATCH = 0.02  # seconds between looks at the queue


class Load(structs.Struct):
    """A service and its callers; times in seconds.

    In each ``epoch`` the share ``bad`` of the workers fails ``fails`` of
    what it runs for ``spell`` seconds. The share ``once`` of the
    requests may run once at most, the others go to ``attempts`` workers.
    Workers and callers are spread over ``zones`` availability zones.
    """

    __slots__ = (
        "name",
        "workers",
        "slots",
        "rate",
        "mean",
        "spread",
        "target",
        "deadline",
        "epoch",
        "spell",
        "bad",
        "fails",
        "attempts",
        "once",
        "zones",
    )
    DEFAULTS = {"attempts": 2, "once": 1.0, "zones": 1}


ORDERS = Load("orders", 18, 6, 72.3, 0.47, 0.8, 2.0, 5.0, 9.0, 5.0, 0.3, 0.75)
BOOKINGS = Load(
    "bookings", 21, 2, 84.5, 0.16, 0.3, 0.6, 4.0, 12.0, 6.0, 0.3, 0.9
)
RECORDS = Load(
    "records", 9, 2, 94.6, 0.062, 0.3, 0.609, 3.65, 12.0, 6.0, 0.3, 0.9, 2, 0.0
)
PRICES = Load(
    "prices", 9, 6, 94.8, 0.19, 0.8, 0.912, 2.28, 9.0, 5.0, 0.3, 0.75, 2, 0.0
)
# Bookings beside look-ups at one service, as one in three may be repeated.
MIXED = Load(
    "mixed", 26, 4, 150.7, 0.24, 0.5, 0.8, 2.0, 9.0, 5.0, 0.3, 0.9, 2, 0.69
)
# Many workers, used to a sixth.
LARGE = Load(
    "large", 285, 6, 385.0, 0.702, 0.8, 3.07, 8.16, 9.0, 5.0, 0.3, 0.75
)
# The same at half the rate, in five availability zones.
ZONED = Load(
    "zoned",
    285,
    6,
    192.0,
    0.702,
    0.8,
    3.07,
    8.16,
    9.0,
    5.0,
    0.3,
    0.75,
    zones=5,
)
# Orders alone at many workers; the same with twice the bad spells.
DESK = Load("desk", 78, 6, 300.0, 0.46, 0.8, 2.0, 6.0, 9.0, 5.0, 0.3, 0.75)
ROUGH_DESK = Load(
    "rough desk", 78, 6, 300.0, 0.46, 0.8, 2.0, 6.0, 9.0, 5.0, 0.6, 0.75
)
ZONED_DESK = Load(
    "zoned desk",
    78,
    6,
    300.0,
    0.46,
    0.8,
    2.0,
    6.0,
    9.0,
    5.0,
    0.3,
    0.75,
    zones=3,
)
# Half of the requests can be repeated, and their budget is used up.
SHORT = Load(
    "short",
    112,
    4,
    115.0,
    0.3,
    0.5,
    1.2,
    2.5,
    9.0,
    5.0,
    0.6,
    0.9,
    once=0.5,
)
UPLOADS = Load("uploads", 6, 4, 27.8, 0.2, 0.5, 0.8, 2.0, 9.0, 5.0, 0.3, 0.9)

LOADS = (
    ORDERS,
    BOOKINGS,
    RECORDS,
    PRICES,
    MIXED,
    UPLOADS,
    LARGE,
    ZONED,
    DESK,
    SHORT,
)


class Tally:
    """What the callers of one play got.

    ``held`` is the longest time in seconds that a refused one was held,
    ``slowly`` counts those refused after an eighth of their target and
    ``away`` the grants in another availability zone than the caller's.
    """

    __slots__ = (
        "asked",
        "served",
        "late",
        "failed",
        "refused",
        "slowly",
        "away",
        "held",
    )

    def __init__(self):
        self.asked = 0
        self.served = 0
        self.late = 0
        self.failed = 0
        self.refused = 0
        self.slowly = 0
        self.away = 0
        self.held = 0.0

    def __repr__(self):
        words = ["%s %d" % (n, getattr(self, n)) for n in self.__slots__[:-1]]
        return "%s held %.3f" % (" ".join(words), self.held)


class Play:
    """One play of a load against a desk."""

    __slots__ = (
        "load",
        "random",
        "desk",
        "tally",
        "events",
        "count",
        "spells",
        "arrived",
        "busy",
        "grants",
        "failures",
    )

    def __init__(self, load, factor, seed):
        self.load = load
        self.random = random.Random(seed)
        self.desk = granting.Desk("s", TERMS, random.Random(seed + 1))
        self.tally = Tally()
        self.events = []
        self.count = 0
        self.arrived = {}
        self.busy = {}
        # Times of grants and of failures, by worker.
        self.grants = collections.defaultdict(list)
        self.failures = collections.defaultdict(list)
        names = ["w%d" % number for number in range(load.workers)]
        entries = [
            backends.WorkerEntry(
                name,
                "s",
                "a:1",
                "z%d" % (number % load.zones),
                load.slots,
                False,
                0.0,
                1,
                1,
            )
            for number, name in enumerate(names)
        ]
        self.desk.take_entries(entries, 0.0)
        self.spells = {name: self._draw_spells() for name in names}
        now = 0.0
        while now < LENGTH:
            now += self.random.expovariate(load.rate * factor)
            self._add(now, self._arrive)
        now = 0.0
        while now < LENGTH + load.deadline:
            now += DISPATCH
            self._add(now, self._dispatch)

    def run(self):
        """Play to the end; return the Tally."""
        while self.events:
            now, _, action, fields = heapq.heappop(self.events)
            action(now, *fields)
        return self.tally

    def measure_used(self, start, window, calm):
        """Return the share of sound workers that got work in a window.

        Sound is one that failed nothing in the ``window`` seconds from
        ``start`` on, nor in the ``calm`` seconds before.
        """
        end = start + window
        sound = [
            worker_id
            for worker_id in self.desk.workers
            if not _has_between(self.failures[worker_id], start - calm, end)
        ]
        used = [w for w in sound if _has_between(self.grants[w], start, end)]
        return len(used) / len(sound)

    def _add(self, now, action, *fields):
        self.count += 1
        heapq.heappush(self.events, (now, self.count, action, fields))

    def _draw_spells(self):
        load, start, found = self.load, 0.0, []
        while start < LENGTH:
            if self.random.random() < load.bad:
                begin = start + self.random.random() * load.epoch
                found.append((begin, begin + load.spell))
            start += load.epoch
        return found

    def _fails(self, worker_id, now):
        for begin, end in self.spells[worker_id]:
            if begin <= now < end:
                return self.random.random() < self.load.fails
        return False

    def _arrive(self, now):
        self.tally.asked += 1
        load = self.load
        once = load.once >= 1.0 or self.random.random() < load.once
        most = 1 if once else load.attempts
        self._send("q%d" % self.tally.asked, now, now, [], most)

    def _send(self, request_id, arrived, now, avoid, most):
        load = self.load
        number = len(avoid) + 1
        ask = messages.Ask(
            "%s:%d" % (request_id, number),
            "n1",
            "z%d" % (int(request_id[1:]) % load.zones),
            "s",
            "r",
            most > 1,
            1,
            load.target,
            load.deadline - (now - arrived),
            number - 1,
            number >= most,
            avoid,
            "f" + request_id,
        )
        self.arrived[ask.ask_id] = arrived
        self._take(self.desk.decide(ask, "", now), ask, now)

    def _dispatch(self, now):
        for _, ask, answer in self.desk.dispatch(now):
            self._take(answer, ask, now)

    def _take(self, answer, ask, now):
        if isinstance(answer, messages.Queued):
            return
        held = now - self.arrived[ask.ask_id]
        if isinstance(answer, messages.Refusal):
            self.tally.refused += 1
            self.tally.slowly += held > SLOWLY * self.load.target
            self.tally.held = max(self.tally.held, held)
            return
        self.grants[answer.worker_id].append(now)
        worker = self.desk.workers[answer.worker_id]
        self.tally.away += worker.entry.zone != ask.zone
        failed = self._fails(answer.worker_id, now)
        length = FAILURE_TIME
        if not failed:
            length = self._draw_work()
            failed = self.random.random() < OWN_ERRORS
        ending = "failed" if failed else "answered"
        length += self._wait_for_slot(answer.worker_id, now, length)
        fields = (ask, answer.worker_id, ending, length)
        self._add(now + length, self._end, *fields)

    def _wait_for_slot(self, worker_id, now, length):
        """Return the seconds that a request waits at its worker."""
        ends = self.busy.setdefault(worker_id, [])
        while ends and ends[0] <= now:
            heapq.heappop(ends)
        start = now
        if len(ends) >= self.load.slots:
            start = heapq.heappop(ends)
        heapq.heappush(ends, start + length)
        return start - now

    def _draw_work(self):
        load = self.load
        log_mean = math.log(load.mean) - load.spread**2 / 2
        return self.random.lognormvariate(log_mean, load.spread)

    def _end(self, now, ask, worker_id, ending, length):
        report = messages.Report(
            "s",
            ask.ask_id,
            "n1",
            worker_id,
            "r",
            ending,
            length,
            500,
            None,
            ask.fingerprint,
        )
        self.desk.take_report(report, now)
        if ending == "failed":
            self.failures[worker_id].append(now)
            self._repeat(ask, worker_id, now)
            return
        self.tally.served += 1
        if now - self.arrived[ask.ask_id] > self.load.target:
            self.tally.late += 1

    def _repeat(self, ask, worker_id, now):
        if ask.last:
            self.tally.failed += 1
            return
        request_id = ask.ask_id.rpartition(":")[0]
        arrived = self.arrived[ask.ask_id]
        avoid = [*ask.avoid, worker_id]
        self._send(request_id, arrived, now, avoid, self.load.attempts)


def _has_between(times, start, end):
    """Tell whether sorted times hold one from start to end."""
    place = bisect.bisect_left(times, start)
    return place < len(times) and times[place] < end


def count_spells(play):
    """Return how many bad spells began during a play."""
    return sum(len(found) for found in play.spells.values())


def print_table():
    """Print what callers got for both users' sizes and several loads."""
    for load in LOADS:
        for factor in (0.7, 1.0, 1.35, 2.0, 2.5, 3.0, 4.0):
            play = Play(load, factor, 1)
            tally = play.run()
            print(load.name, factor, "spells", count_spells(play), tally)


if __name__ == "__main__":
    print_table()
