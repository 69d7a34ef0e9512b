"""A timer service to which the parts of a node subscribe."""

import heapq


class Timers:
    """Timers by due time; a name holds at most one timer.

    >>> timers = Timers()
    >>> timers.subscribe("probe", 2.0, "ping")
    >>> timers.subscribe("probe", 1.0, "ping again")
    >>> timers.pop_due(1.5)
    ['ping again']
    >>> timers.next_due() is None
    True
    """

    __slots__ = ("_heap", "_live", "_count")

    def __init__(self):
        self._heap = []
        self._live = {}
        self._count = 0

    def subscribe(self, name, due, timer):
        """Set the timer ``name`` to fire at ``due`` seconds."""
        self._count += 1
        self._live[name] = self._count
        heapq.heappush(self._heap, (due, self._count, name, timer))

    def cancel(self, name):
        """Forget the timer ``name``; an unknown name is ignored."""
        self._live.pop(name, None)

    def pop_due(self, now):
        """Remove and return the timers due at ``now``, in order."""
        due = []
        while self._heap and self._heap[0][0] <= now:
            _due, count, name, timer = heapq.heappop(self._heap)
            if self._live.get(name) == count:
                del self._live[name]
                due.append(timer)
        return due

    def next_due(self):
        """Return the time of the next timer in seconds, or None."""
        while self._heap:
            due, count, name, _timer = self._heap[0]
            if self._live.get(name) == count:
                return due
            heapq.heappop(self._heap)
        return None
