"""The roster: the listed workers and those that are known to have left.

Lists of workers come from the store, where an old record may overwrite a
newer one, and from other nodes, whose lists may be stale. Each worker
numbers its records, and a record that is not newer than the worker's
departure is ignored.
"""

import collections

from acaciafield import structs

MAX_DEPARTURES = 1000  # the oldest are removed first
NOTIFY_TIME_S = 3.0  # for which heartbeat answers report a departure
NO_VERSION = (-1, -1)  # older than any version of a worker's entry
MAX_SEQUENCE = 2**53  # no entry of a worker has a greater sequence


class Departure(structs.Struct):
    """A departure recorded at ``at`` seconds.

    ``entry_version`` is that of the worker's last entry before it left.
    """

    __slots__ = ("at", "worker_id", "entry_version")


class Roster:
    """The workers that a node knows, by identifier.

    ``departures`` maps a worker to the version (incarnation and sequence) of
    its last entry before it left; a draining worker counts as departed.
    ``entries`` stay when a node stops coordinating, so that a later list
    is compared with them.
    """

    __slots__ = ("entries", "departures", "_recent", "_following")

    def __init__(self):
        self.entries = {}
        self.departures = {}
        self._recent = collections.deque()
        self._following = False

    def stop_following(self):
        """Record that changes of the store's list are missed from now on."""
        self._following = False

    def replace_entries(self, entries, now, departures=()):
        """Replace the workers by the store's list.

        ``departures`` has rows of the workers that were removed from the
        list; their last entries may never have been in a list. Workers
        missing from it have departed too, unless this node missed changes
        of the list.
        """
        before = self.entries
        self.apply_departures(departures, now)
        self._replace(entries, now)
        if self._following:
            for worker_id, entry in before.items():
                if worker_id not in self.entries:
                    self._record_departure(worker_id, entry.version, now)
        self._following = True

    def merge_fetched(self, entries, rows, now):
        """Merge the list and the departures of another node.

        The list replaces the workers only if this node does not read the
        store. Otherwise it updates known workers, but adds none that the
        store does not list.
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
        """Apply departures as rows of worker id, incarnation and sequence.

        Return whether the workers changed.
        """
        changed = False
        for worker_id, *version in rows:
            changed |= self._record_departure(worker_id, tuple(version), now)
        return changed

    def record_leaving(self, worker_id, incarnation, now):
        """Record that an incarnation of a worker announced its departure.

        It is not used again, whatever it writes to the store later.
        """
        known = self.entries.get(worker_id)
        if known is not None and known.incarnation == incarnation:
            known.draining = True
        self._record_departure(worker_id, (incarnation, MAX_SEQUENCE), now)

    def list_departed(self):
        """Return all departures: worker id, incarnation and sequence."""
        return [[w, *version] for w, version in self.departures.items()]

    def list_recent_departures(self, now):
        """Return the departures of the last NOTIFY_TIME_S, as rows."""
        while self._recent and now - self._recent[0].at > NOTIFY_TIME_S:
            self._recent.popleft()
        return [
            [departure.worker_id, *departure.entry_version]
            for departure in self._recent
        ]

    def is_departed(self, worker_id, version):
        """Return whether an entry version is no newer than the departure."""
        return tuple(version) <= self.departures.get(worker_id, NO_VERSION)

    def _replace(self, entries, now):
        chosen = [self._choose(entry, now) for entry in entries]
        self.entries = {e.worker_id: e for e in chosen if e is not None}

    def _choose(self, entry, now):
        """Return the newest entry of a worker, or None if it has left."""
        worker_id = entry.worker_id
        known = self.entries.get(worker_id)
        if known is not None and known.version > entry.version:
            entry = known
        if entry.draining:
            self._record_departure(worker_id, entry.version, now)
        elif self.is_departed(worker_id, entry.version):
            return None
        return entry

    def _record_departure(self, worker_id, version, now):
        """Record a departure; return whether a listed worker left."""
        known = self.entries.get(worker_id)
        is_listed = known is not None and not known.draining
        is_listed = is_listed and known.version <= version
        if is_listed:
            del self.entries[worker_id]
        before = self.departures.pop(worker_id, NO_VERSION)
        self.departures[worker_id] = max(before, version)
        while len(self.departures) > MAX_DEPARTURES:
            del self.departures[next(iter(self.departures))]
        # Later records of a draining worker are not departures of their own.
        if is_listed or before[0] < version[0]:
            self._recent.append(Departure(now, worker_id, version))
        return is_listed
