"""The budget of repeated sends of one service over a sliding window."""

import collections

SAFETY = 0.85  # share of the operator's allowance that is used
SPLIT = 10  # parts of a window that are counted apart


class WindowBudget:
    """Allows ratio x first sends + slack repeats in any window.

    ``window`` is in seconds. Counts are kept by slices of the window, so
    a repeat counts for up to one slice longer than it must.

    >>> budget = WindowBudget(ratio=0.2, slack=2, window=10.0)
    >>> [budget.take(0.0) for _ in range(3)]
    [True, False, False]
    """

    __slots__ = ("ratio", "slack", "window", "_slices")

    def __init__(self, ratio, slack, window):
        self.ratio = ratio
        self.slack = slack
        self.window = window
        self._slices = collections.deque()

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
        allowed = SAFETY * (self.ratio * firsts + self.slack)
        return (repeats + 1) / max(allowed, 1e-9)

    def take(self, now):
        """Count a repeat if one is left; return whether it was."""
        if self.measure(now) > 1.0:
            return False
        self.add_repeat(now)
        return True

    def _slice(self, now):
        slot = int(now * SPLIT / self.window)
        while self._slices and self._slices[0][0] < slot - SPLIT:
            self._slices.popleft()
        if not self._slices or self._slices[-1][0] != slot:
            self._slices.append([slot, 0, 0])
        return self._slices[-1]
