"""Crash records: requests that crash the workers that run them.

Each crash has an identity of its own (fingerprint, worker and attempt), so
that nodes can exchange records repeatedly and in any order. Which requests
are quarantined, and until when, depends on the set of records alone.
"""

import math

import xxhash

from acaciafield.gateway import backends
from acaciafield import structs

SUSPECT_TIME_S = 300.0  # retention of records beyond any quarantine
FIRST_QUARANTINE_S = 15.0
QUARANTINE_GROWTH_FACTOR = 3.0  # with each further round of crashes
ROUND_TIME_S = 10.0  # crashes closer in time belong to one round
MAX_QUARANTINE_S = 3600.0
MAX_ROUNDS = 4  # from which the longest quarantine applies
# Crashes after which a request is quarantined: if one of the workers ran
# nothing else, and if all of them also ran other requests.
MIN_CRASHES_ALONE = 2
MIN_CRASHES_SHARED = 3
MAX_SINGLE_SUSPECTS = 4096  # fingerprints with one crash
# Fingerprints with several crashes; their records go to all nodes.
MAX_REPEATED_SUSPECTS = 32
MAX_CRASHES_PER_SUSPECT = 16
MAX_DUMP_ROWS = 500  # sent to a new coordinator


class Crash(structs.Struct):
    """A crash of a worker while it ran a request, at ``crashed_at`` seconds.

    ``is_alone`` is set if the worker ran nothing else, ``is_refuted`` if the
    worker did not crash after all or not because of this request.
    """

    __slots__ = ("crashed_at", "is_alone", "is_refuted")


class Suspect:
    """The crash records of one fingerprint, by worker and attempt."""

    __slots__ = ("records",)

    def __init__(self):
        self.records = {}

    @property
    def crashes(self):
        """The crashes that are not refuted."""
        return [
            crash for crash in self.records.values() if not crash.is_refuted
        ]

    def add(self, key, crash):
        """Merge a crash record; return whether it changes anything."""
        known = self.records.get(key)
        if known is None:
            self.records[key] = crash
            self._trim()
            return key in self.records
        changed = (
            crash.is_refuted > known.is_refuted
            or crash.is_alone > known.is_alone
        )
        known.crashed_at = min(known.crashed_at, crash.crashed_at)
        known.is_alone = known.is_alone or crash.is_alone
        known.is_refuted = known.is_refuted or crash.is_refuted
        return changed

    def _trim(self):
        """Remove excess records; nodes with equal records remove the same."""
        if len(self.records) <= MAX_CRASHES_PER_SUSPECT:
            return
        ranked = sorted(
            self.records, key=lambda key: (self.records[key].is_refuted, key)
        )
        for key in ranked[MAX_CRASHES_PER_SUSPECT:]:
            del self.records[key]

    def list_crash_times(self):
        """Return the times at which workers crashed, oldest first.

        A worker that runs several copies of a request crashes only once.
        """
        by_worker = {}
        for (worker_id, _), crash in self.records.items():
            if not crash.is_refuted:
                by_worker.setdefault(worker_id, []).append(crash.crashed_at)
        times = []
        for worker_times in by_worker.values():
            times += _select_spaced(
                sorted(worker_times), backends.RESTART_TIME_S
            )
        return sorted(times)

    def get_quarantine_s(self):
        """Return the length of the quarantine after the last crash.

        Workers may crash at the same time for unrelated reasons, so the
        quarantine grows only with successive rounds of crashes.
        """
        times = self.list_crash_times()
        is_alone = any(crash.is_alone for crash in self.crashes)
        min_crashes = MIN_CRASHES_ALONE if is_alone else MIN_CRASHES_SHARED
        if len(times) < min_crashes:
            return 0.0
        rounds = len(_select_spaced(times, ROUND_TIME_S))
        if rounds >= MAX_ROUNDS:
            return MAX_QUARANTINE_S
        return FIRST_QUARANTINE_S * QUARANTINE_GROWTH_FACTOR ** (rounds - 1)

    def get_quarantine_end(self):
        """Return the time until which such requests are quarantined."""
        quarantine_s = self.get_quarantine_s()
        if not quarantine_s:
            return -math.inf
        return max(crash.crashed_at for crash in self.crashes) + quarantine_s

    def get_expiry(self):
        """Return the time at which the records expire."""
        newest = max(crash.crashed_at for crash in self.records.values())
        return newest + self.get_quarantine_s() + SUSPECT_TIME_S


class CrashLedger:
    """A node's records of requests that crash workers, by fingerprint.

    >>> ledger = CrashLedger()
    >>> ledger.add("f", "w1", "r1:1", False, 0.0)
    >>> ledger.is_suspect("f", 0.5), ledger.is_quarantined("f", 0.5)
    (True, False)
    >>> ledger.add("f", "w2", "r1:2", True, 1.0)
    >>> ledger.is_quarantined("f", 15.5), ledger.is_quarantined("f", 16.5)
    (True, False)
    """

    __slots__ = ("_single", "_repeated", "_digest")

    def __init__(self):
        self._single = {}
        self._repeated = {}
        self._digest = None

    def add(self, fingerprint, worker_id, attempt_id, is_alone, now):
        """Record a crash that happened now."""
        crash = Crash(now, is_alone, False)
        self._add(fingerprint, (worker_id, attempt_id), crash)

    def refute(self, fingerprint, worker_id, attempt_id):
        """Mark a crash as refuted, if it is recorded."""
        suspect = self._get_suspect(fingerprint)
        crash = suspect and suspect.records.get((worker_id, attempt_id))
        if crash:
            crash.is_refuted = True
            self._digest = None

    def refute_all(self, fingerprint):
        """Mark all crashes of a request as refuted, as it was answered."""
        suspect = self._get_suspect(fingerprint)
        if suspect is None:
            return
        for crash in suspect.records.values():
            crash.is_refuted = True
        self._digest = None

    def is_suspect(self, fingerprint, now):
        """Return whether a worker crashed while it ran such a request."""
        suspect = self._find_unexpired(fingerprint, now)
        return suspect is not None and bool(suspect.crashes)

    def is_quarantined(self, fingerprint, now):
        """Return whether such requests are quarantined."""
        suspect = self._find_unexpired(fingerprint, now)
        return suspect is not None and now < suspect.get_quarantine_end()

    def describe_crashes(self, fingerprint, now):
        """Return the state of a fingerprint as fields of a log entry."""
        suspect = self._find_unexpired(fingerprint, now)
        if suspect is None:
            return {"crashes": 0, "held_for": 0.0}
        remaining_s = max(0.0, suspect.get_quarantine_end() - now)
        return {
            "crashes": len(suspect.list_crash_times()),
            "held_for": round(remaining_s, 2),
        }

    def list_quarantined(self, now):
        """Return the fingerprints that are quarantined at present."""
        return [
            fingerprint
            for fingerprint, suspect in self._repeated.items()
            if now < suspect.get_quarantine_end()
        ]

    @property
    def digest(self):
        """A digest of the records that all nodes share."""
        if self._digest is None:
            rows = sorted(
                (fingerprint, key, crash.is_alone, crash.is_refuted)
                for fingerprint, suspect in self._repeated.items()
                for key, crash in suspect.records.items()
            )
            text = repr(rows).encode()
            self._digest = xxhash.xxh3_64_hexdigest(text)[:8] if rows else ""
        return self._digest

    def list_rows(self, now):
        """Return the records that all nodes share.

        Rows are fingerprint, worker id, attempt id, age in seconds,
        whether the worker ran nothing else, whether it is refuted.
        """
        return _make_rows(self._repeated, now)

    def dump(self, now):
        """Return rows for a new coordinator, repeated crashes last."""
        rows = _make_rows(self._single, now) + _make_rows(self._repeated, now)
        return rows[-MAX_DUMP_ROWS:]

    def merge(self, rows, now):
        """Merge another node's rows; return newly quarantined fingerprints."""
        before = set(self.list_quarantined(now))
        for fingerprint, worker_id, attempt_id, age, is_alone, refuted in rows:
            crash = Crash(now - age, bool(is_alone), bool(refuted))
            self._add(fingerprint, (worker_id, attempt_id), crash)
        return [f for f in self.list_quarantined(now) if f not in before]

    def sweep(self, now):
        """Remove the records that have expired."""
        for table in (self._single, self._repeated):
            for fingerprint in list(table):
                self._find_unexpired(fingerprint, now)

    def _add(self, fingerprint, key, crash):
        suspect = self._get_suspect(fingerprint)
        if suspect is None:
            suspect = self._single[fingerprint] = Suspect()
        if not suspect.add(key, crash):
            return
        if len(suspect.records) > 1:
            self._single.pop(fingerprint, None)
            self._repeated[fingerprint] = suspect
            self._digest = None
        self._remove_excess()

    def _get_suspect(self, fingerprint):
        return self._repeated.get(fingerprint) or self._single.get(fingerprint)

    def _find_unexpired(self, fingerprint, now):
        """Return the Suspect or None; remove it first if it has expired."""
        suspect = self._get_suspect(fingerprint)
        if suspect is None or now < suspect.get_expiry():
            return suspect
        self._remove(fingerprint)
        return None

    def _remove_excess(self):
        """Remove excess fingerprints.

        Of the repeated ones, those with the fewest crashes are removed, so
        that nodes with the same records remove the same ones.
        """
        while len(self._single) > MAX_SINGLE_SUSPECTS:
            del self._single[next(iter(self._single))]
        while len(self._repeated) > MAX_REPEATED_SUSPECTS:
            self._remove(min(self._repeated, key=self._rank))

    def _rank(self, fingerprint):
        return (
            len(self._repeated[fingerprint].list_crash_times()),
            fingerprint,
        )

    def _remove(self, fingerprint):
        self._single.pop(fingerprint, None)
        if self._repeated.pop(fingerprint, None) is not None:
            self._digest = None


def _select_spaced(times, min_gap_s):
    """Return sorted times without those too close to an earlier one.

    A time is selected if it is ``min_gap_s`` or more after the last one that
    was selected.

    >>> _select_spaced([1.0, 1.2, 3.0, 3.5], 1.0)
    [1.0, 3.0]
    """
    selected = []
    for at in times:
        if not selected or at - selected[-1] >= min_gap_s:
            selected.append(at)
    return selected


def _make_rows(table, now):
    return [
        [
            fingerprint,
            *key,
            round(now - crash.crashed_at, 3),
            int(crash.is_alone),
            int(crash.is_refuted),
        ]
        for fingerprint, suspect in table.items()
        for key, crash in suspect.records.items()
    ]
