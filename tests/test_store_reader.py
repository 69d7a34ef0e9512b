"""Tests of the worker table and of the readers of the store."""

import asyncio
import collections
import itertools

import pytest

from acaciafield_daemon.gateway import decision_log
from acaciafield_daemon.gateway import store_reader
from tests import gateway_support as support
from tests import store_support


def make_table(now=0.0):
    table = store_reader.WorkerTable()
    table.record_answer(now)
    entries = [("w%d" % n, support.make_entry("w%d" % n)) for n in (1, 2)]
    table.apply(entries, True, now)
    return table


def test_removed_entry_is_unlisted_at_once():
    table = make_table()
    table.record_answer(0.5)
    assert table.apply([("w1", None)], False, 0.5)
    assert list(table.entries) == ["w2"]


def test_entries_that_expired_in_an_outage_may_be_written_again():
    table = make_table()
    table.record_answer(10.0)
    assert not table.apply([("w1", None), ("w2", None)], False, 10.0)
    assert sorted(table.entries) == ["w1", "w2"]
    rewritten = [
        ("w%d" % n, support.make_entry("w%d" % n, sequence=2)) for n in (1, 2)
    ]
    table.apply(rewritten, False, 11.0)
    assert not table.remove_expired(13.0)
    assert sorted(table.entries) == ["w1", "w2"]


def test_entries_still_missing_after_an_outage_are_unlisted():
    table = make_table()
    table.record_answer(10.0)
    table.apply([], True, 10.0)
    assert not table.remove_expired(11.0)
    assert table.remove_expired(12.3)
    assert list(table.entries) == []


def test_single_entry_missing_after_an_outage_has_left():
    table = store_reader.WorkerTable()
    table.record_answer(0.0)
    entries = [("w%d" % n, support.make_entry("w%d" % n)) for n in range(1, 7)]
    table.apply(entries, True, 0.0)
    table.record_answer(10.0)
    assert table.apply(entries[1:], True, 10.0)
    assert "w1" not in table.entries


def test_outage_does_not_retain_a_leaving_worker():
    table = make_table()
    table.record_answer(10.0)
    leaving = support.make_entry("w1", draining=True)
    assert table.apply([("w1", leaving)], False, 10.0)
    assert table.entries["w1"].draining


def test_record_of_an_earlier_run_changes_nothing():
    table = make_table()
    table.apply([("w1", support.make_entry("w1", incarnation=5))], False, 1.0)
    old = support.make_entry("w1", incarnation=4, draining=True)
    assert not table.apply([("w1", old)], False, 1.1)
    assert not table.entries["w1"].draining


def test_late_record_does_not_undo_that_a_worker_leaves():
    table = make_table()
    leaving = support.make_entry("w1", draining=True, sequence=7)
    table.apply([("w1", leaving)], False, 1.0)
    late = support.make_entry("w1", sequence=6)
    assert not table.apply([("w1", late)], False, 1.1)
    assert table.entries["w1"].draining


def test_late_record_does_not_bring_back_a_worker_that_left():
    table = make_table()
    table.apply([("w1", support.make_entry("w1", sequence=7))], False, 1.0)
    table.apply([("w1", None)], False, 1.2)
    late = support.make_entry("w1", sequence=7)
    assert not table.apply([("w1", late)], False, 1.3)
    assert "w1" not in table.entries
    alive = support.make_entry("w1", sequence=8)
    assert table.apply([("w1", alive)], False, 1.4)


def test_record_with_only_a_new_sequence_is_no_change():
    table = make_table()
    newer = support.make_entry("w1", sequence=2)
    assert not table.apply([("w1", newer)], False, 1.0)
    older = support.make_entry("w1", sequence=1, draining=True)
    assert not table.apply([("w1", older)], False, 1.1)


RECORD_KINDS = ("beat", "late", "drain", "restart", "removal")


def make_records(kinds):
    """Return the records of w1, as (worker id, WorkerEntry or None)."""
    records, incarnation, sequence = [], 1, 1
    for kind in kinds:
        if kind == "removal":
            records.append(("w1", None))
            continue
        if kind == "restart":
            incarnation, sequence = incarnation + 1, 0
        sequence += kind != "late"
        entry = support.make_entry(
            "w1",
            incarnation=incarnation,
            sequence=sequence,
            draining=kind == "drain",
        )
        records.append(("w1", entry))
    return records


def list_splits(records):
    """Return all ways to split records into reads."""
    for size in range(2 ** (len(records) - 1)):
        reads = [[records[0]]]
        for number, record in enumerate(records[1:]):
            if size >> number & 1:
                reads.append([record])
            else:
                reads[-1].append(record)
        yield reads


def read_all(reads, is_after_outage):
    """Apply reads to a table; return w1's entry or its last departure.

    After an outage, the entries of the other workers expire in the first
    read, and its time limit passes after the last one.
    """
    table = make_table()
    now = 10.0 if is_after_outage else 1.0
    table.record_answer(now)
    others = [("w2", None)] if is_after_outage else []
    for read in reads:
        table.apply(others + read, False, now)
        others = []
    table.remove_expired(now + store_reader.SETTLE_TIME_S)
    departures = [row for row in table.take_departures() if row[0] == "w1"]
    return table.entries.get("w1") or departures[-1:]


@pytest.mark.parametrize("is_after_outage", [False, True])
@pytest.mark.parametrize("count", [2, 3, 4])
def test_reads_of_several_records_equal_reads_of_each(count, is_after_outage):
    # Guards against a removed worker that is listed again by its last
    # heartbeat, where one read of the store brings both.
    for kinds in itertools.product(RECORD_KINDS, repeat=count):
        records = make_records(kinds)
        expected = read_all([[r] for r in records], is_after_outage)
        if kinds[-1] == "removal":
            assert isinstance(expected, list)
        for reads in list_splits(records):
            assert read_all(reads, is_after_outage) == expected, reads


def test_snapshot_without_a_worker_removes_it_after_any_record():
    for kinds in itertools.product(RECORD_KINDS, repeat=3):
        table = make_table()
        table.apply(make_records(kinds), False, 1.0)
        table.apply([], True, 1.6)
        assert "w1" not in table.entries, kinds


class CountingStore:
    """A store that answers unless it is down and counts calls by stream."""

    def __init__(self):
        self.is_down = False
        self.calls = collections.Counter()
        self.decode_worker = lambda key, value: value

    async def read_newest(self, stream):
        return await self._answer(stream)

    async def read_changes(self, stream, offset, wait):
        await asyncio.sleep(0.0 if self.is_down else wait)
        return await self._answer(stream)

    async def _answer(self, stream):
        self.calls[stream] += 1
        if self.is_down:
            raise store_reader.StoreError("away")
        return store_reader.StreamChanges([], 1)


UNREADABLE = b"junk"


class Hooks(store_support.ReaderHooks):
    """Hooks that record the lists of workers that the reader passes on."""

    def __init__(self, sole_member=False):
        self.sole_member = sole_member
        self.lists = []
        self.is_keyed = False
        self.proofs = []

    def is_sole_member(self):
        return self.sole_member

    def checks_keys(self):
        return self.is_keyed

    def update_configuration(self, raw):
        return raw != UNREADABLE

    def confirm_configuration(self, proven_at):
        self.proofs.append(proven_at)

    def update_workers(self, found, departures, changed):
        self.lists.append(found)


def run_reader(store, seconds, sole_member=False, recovers_at=None):
    """Read a store for some seconds; return the calls by stream.

    The store recovers after ``recovers_at`` seconds, if that is given;
    calls before that do not count.
    """

    async def run():
        loop = asyncio.get_running_loop()
        log = decision_log.DecisionLog("n1", loop.time)
        reader = store_reader.StoreReader(
            store, loop.time, log, Hooks(sole_member)
        )
        reader.set_active(True)
        if recovers_at is not None:
            await asyncio.sleep(recovers_at)
            store.is_down = False
            store.calls.clear()
        await asyncio.sleep(seconds - (recovers_at or 0.0))
        reader.set_active(False)

    asyncio.run(run())
    return store.calls


def test_one_reader_checks_a_store_that_is_down():
    store = CountingStore()
    store.is_down = True
    calls = run_reader(store, 3.0)
    workers = calls[store_reader.Stream.WORKERS]
    assert workers >= 3.0 / store_reader.MAX_RETRY_PAUSE_S - 1
    assert calls[store_reader.Stream.CONFIGURATION] <= 0.5 * workers + 1


def test_configuration_is_read_as_soon_as_the_store_recovers():
    store = CountingStore()
    store.is_down = True
    seconds = 1.5 + 2 * store_reader.MAX_RETRY_PAUSE_S
    calls = run_reader(store, seconds, recovers_at=1.5)
    assert calls[store_reader.Stream.CONFIGURATION] >= 1


def test_sole_member_reads_less_often():
    shared = run_reader(CountingStore(), 2.7)[store_reader.Stream.WORKERS]
    sole = run_reader(CountingStore(), 2.7, sole_member=True)[
        store_reader.Stream.WORKERS
    ]
    assert sole < shared
    assert store_reader.SOLE_MEMBER_READ_PERIOD_S < store_reader.OUTAGE_AFTER_S


class UnreadableRecordStore(CountingStore):
    """A store with one unreadable and one valid record of a worker."""

    def __init__(self, decode):
        super().__init__()
        self.decode_worker = decode

    async def _answer(self, stream):
        self.calls[stream] += 1
        records = [("i-odd", b"{}"), ("w1", b"sound")]
        return store_reader.StreamChanges(records, 1)


def read_unreadable(decode):
    """Read the workers for two seconds; return the hooks and the log."""
    hooks, log = Hooks(), store_support.RecordingLog()

    async def run():
        loop = asyncio.get_running_loop()
        reader = store_reader.StoreReader(
            UnreadableRecordStore(decode), loop.time, log, hooks
        )
        reader.set_active(True)
        await asyncio.sleep(2.0)
        reader.set_active(False)

    asyncio.run(run())
    return hooks, log


def test_unreadable_record_is_logged_once():
    def decode(key, value):
        return support.make_entry(key) if value == b"sound" else None

    hooks, log = read_unreadable(decode)
    logged = [f for kind, f in log.lines if kind == "worker-unreadable"]
    assert [fields["worker"] for fields in logged] == ["i-odd"]
    assert len(hooks.lists) > 2
    assert [entry.worker_id for entry in hooks.lists[-1]] == ["w1"]


def test_failed_reader_restarts_and_is_logged():
    calls = []

    def decode(key, value):
        calls.append(key)
        raise OverflowError("odd")

    _, log = read_unreadable(decode)
    assert len(calls) > 1
    assert "reader-failed" in [kind for kind, _ in log.lines]


class WaitingStore(CountingStore):
    """A store whose reads of the configuration take set times.

    ``answers`` has the seconds until each answer and the number of records
    in it; ``waits`` gets the seconds for which each read would wait.
    """

    def __init__(self, clock, answers):
        super().__init__()
        self.clock = clock
        self.answers = list(answers)
        self.waits = []

    async def read_changes(self, stream, offset, wait):
        if stream is not store_reader.Stream.CONFIGURATION:
            return store_reader.StreamChanges([], offset)
        if not self.answers:
            await asyncio.sleep(30.0)
        self.waits.append(wait)
        seconds, count = self.answers.pop(0)
        self.clock.now += seconds
        return store_reader.StreamChanges([], offset + count)


class ManualClock:
    """A clock that moves only when it is told to."""

    def __init__(self):
        self.now = 100.0

    def read(self):
        """Return the time in seconds."""
        return self.now


def read_proofs(answers, is_keyed=True):
    """Return the proofs after the first read, and the waits of the reads."""
    clock = ManualClock()
    store = WaitingStore(clock, answers)
    hooks = Hooks()
    hooks.is_keyed = is_keyed

    async def run():
        loop = asyncio.get_running_loop()
        reader = store_reader.StoreReader(
            store, loop.time, store_support.RecordingLog(), hooks, clock.read
        )
        reader.set_active(True)
        while len(hooks.proofs) <= len(answers):
            await asyncio.sleep(0.01)
        reader.set_active(False)

    asyncio.run(asyncio.wait_for(run(), 5.0))
    assert hooks.proofs[0] == 100.0
    return hooks.proofs[1:], store.waits


def test_empty_answer_proves_the_end_of_the_wait():
    proofs, waits = read_proofs([(1.05, 0), (1.0, 0)])
    assert waits == [1.0, 1.0]
    assert proofs == [101.0, 102.05]


def test_empty_answer_before_the_end_of_the_wait_proves_its_start():
    # Guards against a store that does not wait, or answers too early.
    proofs, _ = read_proofs([(0.4, 0)])
    assert proofs == [100.0]


def test_answer_with_a_change_proves_its_start_and_the_next_does_not_wait():
    proofs, waits = read_proofs([(1.05, 1), (0.01, 0), (1.01, 0)])
    assert waits == [1.0, 0.0, 1.0]
    assert proofs == [100.0, 101.05, pytest.approx(102.06)]


def test_reads_wait_as_before_where_no_keys_are_checked():
    _, waits = read_proofs([(2.01, 0), (1.0, 1), (2.01, 0)], is_keyed=False)
    assert waits == [store_reader.CONFIG_READ_WAIT_S] * 3


class ConfigurationStore(CountingStore):
    """A store that returns set records of the configuration.

    ``reads`` has the values that each read returns, the first one of all
    keys. The reads after them fail.
    """

    def __init__(self, reads):
        super().__init__()
        self.reads = list(reads)

    async def read_changes(self, stream, offset, wait):
        await asyncio.sleep(0.01)
        return await self._answer(stream)

    async def _answer(self, stream):
        if stream is not store_reader.Stream.CONFIGURATION:
            return store_reader.StreamChanges([], 1)
        if not self.reads:
            raise store_reader.StoreError("away")
        records = [("config", value) for value in self.reads.pop(0)]
        return store_reader.StreamChanges(records, 1)


@pytest.mark.parametrize(
    "reads, count",
    [
        ([[b"v1"], [UNREADABLE], [], []], 1),
        ([[UNREADABLE], []], 0),
        ([[b"v1"], [b"v2", UNREADABLE]], 1),
        ([[b"v1"], [UNREADABLE], [], [b"v3"], []], 3),
        ([[b"v1"], [UNREADABLE, b"v3"]], 2),
    ],
    ids=["then-unreadable", "only", "last", "repaired", "passed"],
)
def test_unreadable_newest_version_is_no_proof(reads, count):
    # Guards against a key that is served for good, because the version
    # that removed it could not be read.
    store, hooks = ConfigurationStore(reads), Hooks()

    async def run():
        loop = asyncio.get_running_loop()
        reader = store_reader.StoreReader(
            store, loop.time, store_support.RecordingLog(), hooks
        )
        reader.set_active(True)
        while store.reads:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.05)
        reader.set_active(False)

    asyncio.run(asyncio.wait_for(run(), 5.0))
    assert len(hooks.proofs) == count
