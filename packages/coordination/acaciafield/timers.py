"""Timers of a node."""

import heapq


class Timers:
    """A queue of named timers, ordered by due time.

    Scheduling a timer replaces the pending timer of the same name.

    >>> timers = Timers()
    >>> timers.subscribe("probe", 2.0, "ping")
    >>> timers.subscribe("probe", 1.0, "ping again")
    >>> timers.pop_due(1.5)
    ['ping again']
    >>> timers.next_due() is None
    True
    """

    __slots__ = ("_heap", "_active", "_last_sequence")

    def __init__(self):
        self._heap = []
        self._active = {}
        self._last_sequence = 0

    def subscribe(self, name, due, timer):
        """Schedule the timer ``name`` at the time ``due``, in seconds."""
        self._last_sequence += 1
        self._active[name] = self._last_sequence
        heapq.heappush(self._heap, (due, self._last_sequence, name, timer))

    def cancel(self, name):
        """Cancel the timer ``name``; an unknown name is ignored."""
        self._active.pop(name, None)

    def pop_due(self, now):
        """Remove and return the timers due at ``now``, earliest first."""
        due = []
        while self._heap and self._heap[0][0] <= now:
            _due, sequence, name, timer = heapq.heappop(self._heap)
            if self._active.get(name) == sequence:
                del self._active[name]
                due.append(timer)
        return due

    def next_due(self):
        """Return the due time of the next timer in seconds, or None."""
        while self._heap:
            due, sequence, name, _timer = self._heap[0]
            if self._active.get(name) == sequence:
                return due
            heapq.heappop(self._heap)
        return None
