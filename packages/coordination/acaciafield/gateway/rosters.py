"""The roster: which workers there are, and which are known to have left.

Lists of workers come from the store, where an old record may be written
after a newer one, and from other nodes, whose lists may be old. Each
worker counts its own writings, and no word of a worker is believed that
is older than its departure.
"""

import collections

from acaciafield import structs

MAX_DEPARTURES = 1000  # workers whose departure is remembered
NOTIFY_TIME_S = 3.0  # seconds for which other nodes are told of a departure
NO_VERSION = (-1, -1)  # before any writing of a worker
MAX_SEQUENCE = 2**53  # after any writing of one run of a worker


class Departure(structs.Struct):
    """A departure learned at ``at`` seconds; ``age`` as WorkerEntry's."""

    __slots__ = ("at", "worker_id", "age")


class Roster:
    """The workers that a node knows, by identifier.

    ``departed`` maps a worker to the age of its last writing before it
    left; a draining worker has left. ``entries`` stay when a node ceases
    to coordinate, so that a later list is compared to them.
    """

    __slots__ = ("entries", "departed", "_recent", "_following")

    def __init__(self):
        self.entries = {}
        self.departed = {}
        self._recent = collections.deque()
        self._following = False

    def stop_following(self):
        """Note that changes of the store's list are missed from now on."""
        self._following = False

    def replace_entries(self, entries, now):
        """Replace the workers by the store's list.

        Those that are missing have left, unless changes were missed.
        """
        before = self.entries
        self._replace(entries, now)
        if self._following:
            for worker_id, entry in before.items():
                if worker_id not in self.entries:
                    self._record_departure(worker_id, entry.age, now)
        self._following = True

    def merge_fetched(self, entries, rows, now):
        """Take in another node's list and rows of departures.

        It replaces what is known only while the store was not read. It
        never adds a worker that the store does not list.
        """
        self.apply_departures(rows, now)
        if not self._following:
            self._replace(entries, now)
            return
        for entry in entries:
            if entry.worker_id in self.entries:
                chosen = self._choose(entry, now)
                self.entries.pop(entry.worker_id, None)
                if chosen is not None:
                    self.entries[entry.worker_id] = chosen

    def apply_departures(self, rows, now):
        """Take in rows of worker id, born and sequence.

        Return whether the workers changed.
        """
        changed = False
        for worker_id, *version in rows:
            changed |= self._record_departure(worker_id, tuple(version), now)
        return changed

    def record_leaving(self, worker_id, born, now):
        """Take in that a run of a worker said itself that it leaves.

        Whatever it writes in the store later, it is not used again.
        """
        known = self.entries.get(worker_id)
        if known is not None and known.born == born:
            known.draining = True
        self._record_departure(worker_id, (born, MAX_SEQUENCE), now)

    def list_departed(self):
        """Return all departures as rows of worker id, born, sequence."""
        return [[w, *version] for w, version in self.departed.items()]

    def list_recent_departures(self, now):
        """Return the departures learned lately, as rows."""
        while self._recent and now - self._recent[0].at > NOTIFY_TIME_S:
            self._recent.popleft()
        return [
            [departure.worker_id, *departure.age] for departure in self._recent
        ]

    def is_departed(self, worker_id, version):
        """Tell whether a worker left after its writing of an age."""
        return tuple(version) <= self.departed.get(worker_id, NO_VERSION)

    def _replace(self, entries, now):
        chosen = [self._choose(entry, now) for entry in entries]
        self.entries = {e.worker_id: e for e in chosen if e is not None}

    def _choose(self, entry, now):
        """Return the newest entry of a worker, None if it left."""
        worker_id = entry.worker_id
        known = self.entries.get(worker_id)
        if known is not None and known.age > entry.age:
            entry = known
        if entry.draining:
            self._record_departure(worker_id, entry.age, now)
        elif self.is_departed(worker_id, entry.age):
            return None
        return entry

    def _record_departure(self, worker_id, version, now):
        """Remember a departure; return whether a listed worker left."""
        known = self.entries.get(worker_id)
        listed = known is not None and not known.draining
        listed = listed and known.age <= version
        if listed:
            del self.entries[worker_id]
        before = self.departed.pop(worker_id, NO_VERSION)
        self.departed[worker_id] = max(before, version)
        while len(self.departed) > MAX_DEPARTURES:
            del self.departed[next(iter(self.departed))]
        # A draining worker writes on, which is no news.
        if listed or before[0] < version[0]:
            self._recent.append(Departure(now, worker_id, version))
        return listed
