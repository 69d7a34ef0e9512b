"""The retry budget of one service over a sliding window."""

import collections
import math

SAFETY_SHARE = 0.85  # of the operator's allowance that is used
SLICES_PER_WINDOW = 10
MIN_COUNT = 0.01  # decayed counts below it are dropped
INITIAL_SLACK_SHARE = 0.3  # of the slack, for a budget without a history


class RetryBudget:
    """Allows ``ratio`` x first attempts + ``slack`` repeats in any window.

    ``window`` is in seconds. Counts are grouped by slices of the window,
    so a repeat counts for up to one slice longer than necessary. What
    others counted before ``started`` is unknown, so the slack grows to its
    full size within a window. ``slack_share`` is the part of the slack that
    this coordinator may use.

    >>> budget = RetryBudget(ratio=0.2, slack=2, window=10.0)
    >>> [budget.try_acquire(0.0) for _ in range(3)]
    [True, False, False]
    """

    __slots__ = (
        "ratio",
        "slack",
        "window",
        "slack_share",
        "_started",
        "_slices",
    )

    def __init__(self, ratio, slack, window, started=None):
        self.ratio = ratio
        self.slack = slack
        self.window = window
        self.slack_share = 1.0
        self._started = started
        self._slices = collections.deque()

    def dump(self, now):
        """Return rows of age in slices, first attempts and repeats."""
        self._open_current_slice(now)
        newest = self._slices[-1][0]
        return [
            [newest - slice_number, *row]
            for slice_number, *row in self._slices
        ]

    def load(self, rows, now):
        """Merge the counts of another coordinator's budget."""
        self._open_current_slice(now)
        table = {row[0]: row for row in self._slices}
        newest = self._slices[-1][0]
        for age, firsts, repeats in rows:
            known = table.setdefault(newest - age, [newest - age, 0, 0])
            known[1] = max(known[1], firsts)
            known[2] = max(known[2], repeats)
        self._slices = collections.deque(
            table[slice_number] for slice_number in sorted(table)
        )
        self._started = None

    def add_first_attempt(self, now):
        """Count a first attempt."""
        self._open_current_slice(now)[1] += 1

    def add_repeat(self, now):
        """Count a repeat."""
        self._open_current_slice(now)[2] += 1

    def measure_used_share(self, now):
        """Return the share of the allowance used, including one more repeat.

        If it is above 1, the budget does not allow that repeat.
        """
        self._open_current_slice(now)
        firsts = sum(row[1] for row in self._slices)
        repeats = sum(row[2] for row in self._slices)
        slack = self.slack * self.slack_share * self._find_slack_growth(now)
        allowed = SAFETY_SHARE * (self.ratio * firsts + slack)
        return (repeats + 1) / max(allowed, 1e-9)

    def try_acquire(self, now):
        """Count a repeat if the budget allows it; return whether it did."""
        if self.measure_used_share(now) > 1.0:
            return False
        self.add_repeat(now)
        return True

    def _find_slack_growth(self, now):
        if self._started is None:
            return 1.0
        return min(
            1.0, INITIAL_SLACK_SHARE + (now - self._started) / self.window
        )

    def _open_current_slice(self, now):
        slice_number = int(now * SLICES_PER_WINDOW / self.window)
        while (
            self._slices
            and self._slices[0][0] < slice_number - SLICES_PER_WINDOW
        ):
            self._slices.popleft()
        if not self._slices or self._slices[-1][0] != slice_number:
            self._slices.append([slice_number, 0, 0])
        return self._slices[-1]


class DecayingShares:
    """Shares of recent counts by a sortable key, with exponential decay.

    ``time_constant`` is that of the decay, in seconds.

    >>> shares = DecayingShares(10.0)
    >>> for key in (0, 1, 1, 1):
    ...     shares.add(key, 0.0)
    >>> shares.measure_below(1, 0.0)
    0.25
    """

    __slots__ = ("time_constant", "_counts", "_updated_at")

    def __init__(self, time_constant):
        self.time_constant = time_constant
        self._counts = {}
        self._updated_at = 0.0

    def add(self, key, now):
        """Add one to the count of a key."""
        self._decay(now)
        self._counts[key] = self._counts.get(key, 0.0) + 1.0

    def measure_below(self, key, now):
        """Return the share of the counts whose keys sort before a key."""
        self._decay(now)
        total = sum(self._counts.values())
        below = sum(n for k, n in self._counts.items() if k < key)
        return below / total if total else 0.0

    def _decay(self, now):
        factor = math.exp(
            -max(0.0, now - self._updated_at) / self.time_constant
        )
        self._updated_at = now
        self._counts = {
            key: count * factor
            for key, count in self._counts.items()
            if count * factor > MIN_COUNT
        }
