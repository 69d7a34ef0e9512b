"""Readers of the platform's store: workers, configuration, members."""

import asyncio
import contextlib
import enum

from acaciafield import structs
from acaciafield_daemon.gateway import boot_clock

WORKER_READ_PERIOD_S = 0.6  # between reads of changes to workers
SOLE_MEMBER_READ_PERIOD_S = 1.0  # for a node that coordinates for itself only
CONFIG_READ_WAIT_S = 2.0  # after which a read without changes is answered
# The same where keys are checked, which needs a recent configuration.
KEYED_CONFIG_READ_WAIT_S = 1.0
RETRY_PAUSE_S = 0.25  # after a failed read
MAX_RETRY_PAUSE_S = 0.5  # the pause doubles up to this value
OUTAGE_PAUSE_S = 1.0  # extra, while reads of the workers fail as well
OUTAGE_AFTER_S = 1.2  # failed reads for this long count as an outage
READER_RESTART_PAUSE_S = 1.0
MAX_UNREADABLE_KEYS = 1000  # keys remembered so that each is logged once
MAX_LOGGED_KEY_LENGTH = 64  # characters
MAX_REMOVED_WORKERS = 1000  # workers whose last version is remembered
NO_VERSION = (-1, -1)  # older than any version of a worker's entry
SETTLE_TIME_S = 1.6  # in which workers write entries again after an outage
# If more than this share of the entries is missing at once, they expired in
# an outage.
MASS_EXPIRY_SHARE = 0.34
# In which live workers write their entries to a restored store. They need
# about 2 s; the rest covers the period between two reads.
REWRITE_TIME_S = 3.0
# A listed entry that was not written to a restored store is removed only if
# it is among at most this share of the entries, so that workers which write
# only what is missing are not removed all at once.
MAX_UNWRITTEN_SHARE = 0.5


class Stream(enum.Enum):
    """The streams of records that the store has for the gateway."""

    CONFIGURATION = "configuration"
    WORKERS = "workers"
    MEMBERS = "members"


class StreamChanges(structs.Struct):
    """Records that were read, as (key, value); None deletes the key.

    ``next_offset`` is the one from which to continue. ``is_truncated`` is
    set where the store does not have the offset; the reader must then read
    the newest record of each key. ``is_end_before_offset`` is also set if
    the log is known to be shorter. ``era`` is that of the answer, 0 without
    one; ``is_restored`` is set by the reader if records that it read
    earlier may have been lost.
    """

    __slots__ = (
        "records",
        "next_offset",
        "is_truncated",
        "is_end_before_offset",
        "era",
        "is_restored",
    )
    DEFAULTS = {
        "is_truncated": False,
        "is_end_before_offset": False,
        "era": 0,
        "is_restored": False,
    }


class StoreError(Exception):
    """The store returned no valid answer; the text gives the reason."""


class StreamReader:
    """Reads one stream of the store incrementally.

    ``offset`` is valid only in the store's ``era``. ``has_lost_records`` is
    set from the time at which a restore is found until the stream was read
    in full, as that read may fail. ``refused_count`` counts the offsets
    that the store did not have.
    """

    __slots__ = (
        "store",
        "stream",
        "offset",
        "era",
        "has_lost_records",
        "refused_count",
    )

    def __init__(self, store, stream):
        self.store = store
        self.stream = stream
        self.offset = None
        self.era = None
        self.has_lost_records = False
        self.refused_count = 0

    async def read(self, wait):
        """Return (changes, is_snapshot) since the last read.

        A snapshot replaces all known records; it is read again where the
        era of an answer differs, as the records in that answer do not
        follow the known ones. Without changes, the store answers after
        ``wait`` seconds. Raises StoreError.
        """
        if self.offset is None:
            return await self._read_newest(), True
        changes = await self.store.read_changes(self.stream, self.offset, wait)
        if changes.is_truncated or changes.era != self.era:
            self.refused_count += changes.is_truncated
            self.has_lost_records |= changes.is_end_before_offset
            self.has_lost_records |= changes.era > self.era
            self.offset = None
            return await self._read_newest(), True
        self.offset = changes.next_offset
        return changes, False

    async def _read_newest(self):
        changes = await self.store.read_newest(self.stream)
        changes.is_restored = self.has_lost_records
        if self.era is not None and changes.era > self.era:
            changes.is_restored = True
        self.has_lost_records = False
        self.offset = changes.next_offset
        self.era = changes.era
        return changes


class WorkerTable:
    """The workers as the store lists them.

    Entries expire together during an outage of the store, and workers
    write them again shortly after it. After an outage the table therefore
    retains many missing entries for SETTLE_TIME_S. A few missing entries
    mean that these workers have left. Records may arrive late, so the
    table ignores versions older than the newest one of a worker.

    A store that was restored from an older copy may list workers that have
    left, and lack live ones, until these write their entries again.
    ``unwritten`` maps each worker that has not done so to whether the copy
    lists it; the time for it ends at ``rewritten_by``.

    ``absent`` maps a missing worker whose entry is retained to the time
    at which it is removed, ``removed`` a removed worker to its last version.
    ``unreported`` has the departures since the last take_departures().
    """

    __slots__ = (
        "entries",
        "absent",
        "removed",
        "unreported",
        "unwritten",
        "answered_at",
        "settled_at",
        "rewritten_by",
    )

    def __init__(self):
        self.entries = {}
        self.absent = {}
        self.removed = {}
        self.unreported = []
        self.unwritten = {}
        self.answered_at = None
        self.settled_at = 0.0
        self.rewritten_by = 0.0

    def record_answer(self, now):
        """Record that the store answered at ``now`` seconds."""
        if (
            self.answered_at is not None
            and now - self.answered_at > OUTAGE_AFTER_S
        ):
            self.settled_at = now + SETTLE_TIME_S
            # Workers could not write either while the store was down.
            if self.unwritten:
                self.rewritten_by = now + REWRITE_TIME_S
        self.answered_at = now

    def apply_restored(self, entries, now):
        """Apply the entries of a store that was restored from a copy.

        Known entries stay until their workers had the time to write them
        again. Return whether the list changed, apart from sequences.
        """
        before = {w: entry.version for w, entry in self.entries.items()}
        self.absent.clear()
        changed = False
        for worker_id, entry in entries:
            changed |= self._put_entry(worker_id, entry)
        listed = dict(entries)
        self.unwritten = {}
        for worker_id, version in before.items():
            if worker_id not in listed:
                self.unwritten[worker_id] = False
            elif listed[worker_id].version <= version:
                self.unwritten[worker_id] = True
        self.rewritten_by = now + REWRITE_TIME_S
        # Entries of the copy may expire together before they are rewritten.
        self.settled_at = max(self.settled_at, self.rewritten_by)
        return changed

    def apply(self, entries, is_snapshot, now):
        """Apply (worker id, WorkerEntry or None) pairs in their order.

        One read may bring several records of a worker, such as a heartbeat
        and then its removal. Return whether the list changed, apart from
        sequences.
        """
        newest = dict(entries)
        missing_ids = [w for w, entry in newest.items() if entry is None]
        if is_snapshot:
            missing_ids += [
                w
                for w in self.entries
                if w not in newest and w not in self.unwritten
            ]
        self._record_rewritten(entries, is_snapshot)
        retained_ids = self._select_retained(missing_ids, now)
        changed = False
        for worker_id, entry in entries:
            if entry is not None:
                changed |= self._put_entry(worker_id, entry)
            elif worker_id not in retained_ids:
                changed |= self._remove_entry(worker_id)
        for worker_id in missing_ids:
            if worker_id in retained_ids:
                self.absent.setdefault(worker_id, self.settled_at)
            else:
                changed |= self._remove_entry(worker_id)
        return changed

    def _select_retained(self, missing_ids, now):
        """Return the missing workers whose entries expired in an outage."""
        known_ids = {w for w in missing_ids if w in self.entries}
        is_mass_expiry = len(known_ids) > MASS_EXPIRY_SHARE * len(self.entries)
        return known_ids if is_mass_expiry and now < self.settled_at else ()

    def take_departures(self):
        """Return rows of the workers removed since the last call.

        A row has the worker id and the incarnation and sequence of the last
        entry.
        """
        rows, self.unreported = self.unreported, []
        return rows

    def remove_expired(self, now):
        """Remove entries not written again in time; return whether any."""
        expired_ids = [w for w, until in self.absent.items() if now >= until]
        if self.unwritten and now >= self.rewritten_by:
            expired_ids += self._list_unwritten()
            self.unwritten = {}
        for worker_id in expired_ids:
            self._remove_entry(worker_id)
        return bool(expired_ids)

    def _record_rewritten(self, entries, is_snapshot):
        """Record which workers wrote their entries to a restored store.

        A snapshot may still contain an entry from the copy.
        """
        for worker_id, entry in entries:
            is_listed = self.unwritten.get(worker_id)
            if entry is None or is_listed is None:
                continue
            known = self.entries[worker_id]
            is_same = entry.version == known.version
            if is_same and is_listed and is_snapshot:
                continue
            if entry.version >= known.version:
                del self.unwritten[worker_id]
                self.absent.pop(worker_id, None)

    def _list_unwritten(self):
        """Return the workers that did not write to a restored store."""
        listed = [w for w, is_listed in self.unwritten.items() if is_listed]
        gone = [w for w, is_listed in self.unwritten.items() if not is_listed]
        if len(listed) <= MAX_UNWRITTEN_SHARE * len(self.entries):
            gone += listed
        return gone

    def _put_entry(self, worker_id, entry):
        known = self.entries.get(worker_id)
        if entry.version <= self.removed.get(worker_id, NO_VERSION):
            return False
        if known is not None and entry.version < known.version:
            return False
        if worker_id in self.absent and entry.version == known.version:
            # A late copy of the entry that is missing.
            return False
        self.absent.pop(worker_id, None)
        self.removed.pop(worker_id, None)
        self.entries[worker_id] = entry
        return known is None or not entry.is_same_except_sequence(known)

    def _remove_entry(self, worker_id):
        self.absent.pop(worker_id, None)
        self.unwritten.pop(worker_id, None)
        entry = self.entries.pop(worker_id, None)
        if entry is None:
            return False
        while len(self.removed) >= MAX_REMOVED_WORKERS:
            del self.removed[next(iter(self.removed))]
        self.removed[worker_id] = entry.version
        self.unreported.append([worker_id, *entry.version])
        return True


class StoreReader:
    """The tasks with which a coordinator reads the store.

    ``hooks`` receives the records and the state of the store.
    ``boot_clock`` returns the time of CLOCK_BOOTTIME in seconds.
    """

    __slots__ = (
        "store",
        "clock",
        "log",
        "hooks",
        "boot_clock",
        "_tasks",
        "_failing_since",
        "_store_recovered",
        "_logged_keys",
    )

    def __init__(
        self, store, clock, log, hooks, boot_clock=boot_clock.read_boot_clock
    ):
        self.store = store
        self.clock = clock
        self.log = log
        self.hooks = hooks
        self.boot_clock = boot_clock
        self._tasks = []
        self._failing_since = {}
        self._store_recovered = asyncio.Event()
        self._logged_keys = {}

    def set_active(self, active):
        """Start or stop the reading tasks."""
        for task in self._tasks:
            task.cancel()
        self._tasks = []
        self._failing_since.clear()
        if active:
            self._tasks = [
                asyncio.ensure_future(self._run_reader(self._follow_workers)),
                asyncio.ensure_future(
                    self._run_reader(self._follow_configuration)
                ),
            ]

    async def _run_reader(self, follow):
        """Follow a stream, and restart the reader if it raises an error."""
        while True:
            try:
                await follow()
            except Exception as error:
                self.hooks.record_store_failure()
                self.log.write(
                    "reader-failed", reader=follow.__name__, cause=repr(error)
                )
                await asyncio.sleep(READER_RESTART_PAUSE_S)

    def _decode_workers(self, records):
        """Return (worker id, WorkerEntry or None); log unreadable records."""
        rows = []
        for key, value in records:
            entry = self.store.decode_worker(key, value)
            if value is not None and entry is None:
                self._log_unreadable(key, value)
            rows.append((key, entry))
        return rows

    def _log_unreadable(self, key, value):
        if key in self._logged_keys:
            return
        while len(self._logged_keys) >= MAX_UNREADABLE_KEYS:
            del self._logged_keys[next(iter(self._logged_keys))]
        self._logged_keys[key] = None
        self.log.write(
            "worker-unreadable",
            worker=key[:MAX_LOGGED_KEY_LENGTH],
            size=len(value),
        )

    async def _follow_workers(self):
        reader = StreamReader(self.store, Stream.WORKERS)
        table = WorkerTable()
        first = True
        pause = RETRY_PAUSE_S
        while True:
            read = await self._read_stream(reader, 0.0)
            now = self.clock()
            if read is None:
                await asyncio.sleep(pause)
                pause = min(MAX_RETRY_PAUSE_S, 2 * pause)
                continue
            pause = RETRY_PAUSE_S
            table.record_answer(now)
            changes, is_snapshot = read
            rows = self._decode_workers(changes.records)
            if is_snapshot:
                rows = [row for row in rows if row[1] is not None]
            if changes.is_restored:
                changed = table.apply_restored(rows, now)
            else:
                changed = table.apply(rows, is_snapshot, now)
            changed |= table.remove_expired(now)
            self.hooks.record_store_answer()
            # Rows that change only the sequence matter too, as the sequence
            # shows which of two records of a worker is newer.
            if rows or changed or first:
                listed = list(table.entries.values())
                self.hooks.update_workers(
                    listed, table.take_departures(), changed or first
                )
                first = False
            is_sole_member = self.hooks.is_sole_member()
            await asyncio.sleep(
                SOLE_MEMBER_READ_PERIOD_S
                if is_sole_member
                else WORKER_READ_PERIOD_S
            )

    async def _follow_configuration(self):
        reader = StreamReader(self.store, Stream.CONFIGURATION)
        pause = RETRY_PAUSE_S
        is_proof_recent = is_newest_readable = True
        while True:
            wait = self._choose_configuration_wait(is_proof_recent)
            sent_at, offset = self.boot_clock(), reader.offset
            read = await self._read_stream(reader, wait)
            if read is None:
                await self._wait_for_store(pause)
                pause = min(MAX_RETRY_PAUSE_S, 2 * pause)
                continue
            pause = RETRY_PAUSE_S
            for _, value in read[0].records:
                if value is not None:
                    is_newest_readable = self.hooks.update_configuration(value)
            is_unchanged = not read[1] and reader.offset == offset
            proven_at = sent_at
            if is_unchanged and self.boot_clock() >= sent_at + wait:
                # The store had no change for all the time that it waited.
                proven_at = sent_at + wait
            # A version that cannot be read may have removed a key.
            if is_newest_readable:
                self.hooks.confirm_configuration(proven_at)
            is_proof_recent = read[1] or proven_at == sent_at + wait

    def _choose_configuration_wait(self, is_proof_recent):
        """Return how long the next read may wait for a change, in seconds.

        If the answer to a read that waited has a change, it proves only the
        time at which the read was sent. Where keys are checked, the next read
        then does not wait, as the age would grow to twice the waiting time.
        """
        if not self.hooks.checks_keys():
            return CONFIG_READ_WAIT_S
        return KEYED_CONFIG_READ_WAIT_S if is_proof_recent else 0.0

    async def _wait_for_store(self, pause):
        """Wait ``pause`` seconds; in an outage, also for the workers' reader.

        If reads of the workers fail as well, the whole store is down, and
        one reader is enough to detect its recovery.
        """
        await asyncio.sleep(pause)
        if Stream.WORKERS.value not in self._failing_since:
            return
        self._store_recovered.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(OUTAGE_PAUSE_S):
                await self._store_recovered.wait()

    async def _read_stream(self, reader, wait):
        name = reader.stream.value
        refused_count = reader.refused_count
        try:
            read = await reader.read(wait)
        except StoreError as error:
            self.hooks.record_store_failure()
            if name not in self._failing_since:
                self._failing_since[name] = self.clock()
                self.log.write(
                    "dependency", part="store", stream=name, lost=str(error)
                )
            return None
        finally:
            if reader.refused_count > refused_count:
                self.hooks.record_refused_offset()
        failing_since = self._failing_since.pop(name, None)
        if failing_since is not None:
            if reader.stream is Stream.WORKERS:
                self._store_recovered.set()
            outage = round(self.clock() - failing_since, 3)
            self.log.write(
                "dependency", part="store", stream=name, regained_after=outage
            )
        return read
