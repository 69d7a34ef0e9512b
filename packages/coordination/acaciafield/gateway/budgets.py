"""The budget of repeated sends of one service over a sliding window."""

import collections
import math

SAFETY = 0.85  # share of the operator's allowance that is used
SPLIT = 10  # parts of a window that are counted apart
NEGLIGIBLE_COUNT = 0.01  # of a decaying count, which is then dropped
FIRST_SLACK = 0.3  # share of the slack that a budget without a past has


class WindowBudget:
    """Allows ratio x first sends + slack repeats in any window.

    ``window`` is in seconds. Counts are kept by slices of the window, so
    a repeat counts for up to one slice longer than it must. What others
    counted before ``started`` is unknown, so the slack grows to its full
    size within a window; ``share`` is the part of it that is used here.

    >>> budget = WindowBudget(ratio=0.2, slack=2, window=10.0)
    >>> [budget.take(0.0) for _ in range(3)]
    [True, False, False]
    """

    __slots__ = ("ratio", "slack", "window", "share", "_started", "_slices")

    def __init__(self, ratio, slack, window, started=None):
        self.ratio = ratio
        self.slack = slack
        self.window = window
        self.share = 1.0
        self._started = started
        self._slices = collections.deque()

    def dump(self, now):
        """Return rows of a slice's age in slices, firsts and repeats."""
        self._slice(now)
        newest = self._slices[-1][0]
        return [[newest - slot, *row] for slot, *row in self._slices]

    def load(self, rows, now):
        """Take over the counts of another coordinator's budget."""
        self._slice(now)
        table = {row[0]: row for row in self._slices}
        newest = self._slices[-1][0]
        for age, firsts, repeats in rows:
            known = table.setdefault(newest - age, [newest - age, 0, 0])
            known[1] = max(known[1], firsts)
            known[2] = max(known[2], repeats)
        self._slices = collections.deque(table[slot] for slot in sorted(table))
        self._started = None

    def add_first(self, now):
        """Count a first send."""
        self._slice(now)[1] += 1

    def add_repeat(self, now):
        """Count a repeat that was sent."""
        self._slice(now)[2] += 1

    def measure(self, now):
        """Return the share of the allowance that is used, from 0 up."""
        self._slice(now)
        firsts = sum(row[1] for row in self._slices)
        repeats = sum(row[2] for row in self._slices)
        slack = self.slack * self.share * self._earn_slack(now)
        allowed = SAFETY * (self.ratio * firsts + slack)
        return (repeats + 1) / max(allowed, 1e-9)

    def take(self, now):
        """Count a repeat if one is left; return whether it was."""
        if self.measure(now) > 1.0:
            return False
        self.add_repeat(now)
        return True

    def _earn_slack(self, now):
        if self._started is None:
            return 1.0
        return min(1.0, FIRST_SLACK + (now - self._started) / self.window)

    def _slice(self, now):
        slot = int(now * SPLIT / self.window)
        while self._slices and self._slices[0][0] < slot - SPLIT:
            self._slices.popleft()
        if not self._slices or self._slices[-1][0] != slot:
            self._slices.append([slot, 0, 0])
        return self._slices[-1]


class RecentShares:
    """Shares of what was counted lately, by a key that sorts.

    Counts decay with the time constant ``time`` in seconds.

    >>> shares = RecentShares(10.0)
    >>> for key in (0, 1, 1, 1):
    ...     shares.add(key, 0.0)
    >>> shares.measure_below(1, 0.0)
    0.25
    """

    __slots__ = ("time", "_counts", "_at")

    def __init__(self, time):
        self.time = time
        self._counts = {}
        self._at = 0.0

    def add(self, key, now):
        """Count one of a key."""
        self._decay(now)
        self._counts[key] = self._counts.get(key, 0.0) + 1.0

    def measure_below(self, key, now):
        """Return the share of the keys that sort before a key."""
        self._decay(now)
        total = sum(self._counts.values())
        below = sum(n for k, n in self._counts.items() if k < key)
        return below / total if total else 0.0

    def _decay(self, now):
        factor = math.exp(-max(0.0, now - self._at) / self.time)
        self._at = now
        self._counts = {
            key: count * factor
            for key, count in self._counts.items()
            if count * factor > NEGLIGIBLE_COUNT
        }
