"""Pauses: times in which this node sends a worker no requests.

A worker that refuses a request may request a pause from the node that sent
it; the pause does not apply to other nodes.
"""

from acaciafield import structs

MAX_PAUSE_S = 3600.0
MAX_PAUSED_WORKERS = 1000


class Pause(structs.Struct):
    """A pause of one ``incarnation``; ``until`` is in seconds."""

    __slots__ = ("service", "incarnation", "until")


class Pauses:
    """The pauses of workers that a node observes, by worker identifier.

    >>> pauses = Pauses()
    >>> pauses.record_pause("orders", "w1", 7, 2.0, now=10.0)
    >>> pauses.is_paused("w1", 7, 11.9), pauses.is_paused("w1", 7, 12.1)
    (True, False)
    """

    __slots__ = ("_table",)

    def __init__(self):
        self._table = {}

    def record_pause(self, service, worker_id, incarnation, seconds, now):
        """Record that a worker requested a pause of ``seconds``."""
        until = now + min(seconds, MAX_PAUSE_S)
        known = self._table.pop(worker_id, None)
        if known is not None and known.incarnation == incarnation:
            until = max(until, known.until)
        self._table[worker_id] = Pause(service, incarnation, until)
        self._sweep(now)

    def is_paused(self, worker_id, incarnation, now):
        """Return whether this incarnation of a worker is paused."""
        pause = self._table.get(worker_id)
        return (
            pause is not None
            and pause.incarnation == incarnation
            and now < pause.until
        )

    def list_paused(self, service, now):
        """Return the identifiers of the paused workers of a service."""
        return [
            worker_id
            for worker_id, pause in self._table.items()
            if pause.service == service and now < pause.until
        ]

    def count_paused(self, now):
        """Return the number of paused workers of all services."""
        return sum(now < pause.until for pause in self._table.values())

    def find_remaining_pause(self, service, now):
        """Return the seconds until a service's first pause ends, or None."""
        paused = self.list_paused(service, now)
        ends = [self._table[worker_id].until for worker_id in paused]
        return min(ends) - now if ends else None

    def _sweep(self, now):
        if len(self._table) <= MAX_PAUSED_WORKERS:
            return
        for worker_id, pause in list(self._table.items()):
            if now >= pause.until:
                del self._table[worker_id]
        while len(self._table) > MAX_PAUSED_WORKERS:
            first = min(self._table, key=lambda w: self._table[w].until)
            del self._table[first]
