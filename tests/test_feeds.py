"""The table of workers, and how often the store is read for it."""

import asyncio
import collections

from acaciafield_daemon.gateway import decisions
from acaciafield_daemon.gateway import feeds
from tests import gateway_support as support


def make_table(now=0.0):
    table = feeds.WorkerTable()
    table.note_heard(now)
    entries = [("w%d" % n, support.make_entry("w%d" % n)) for n in (1, 2)]
    table.apply(entries, True, now)
    return table


def test_entry_that_is_removed_is_gone_at_once():
    table = make_table()
    table.note_heard(0.5)
    assert table.apply([("w1", None)], False, 0.5)
    assert list(table.entries) == ["w2"]


def test_entries_that_lapsed_in_an_outage_may_come_back():
    table = make_table()
    table.note_heard(10.0)
    assert not table.apply([("w1", None), ("w2", None)], False, 10.0)
    assert sorted(table.entries) == ["w1", "w2"]
    back = [
        ("w%d" % n, support.make_entry("w%d" % n, sequence=2)) for n in (1, 2)
    ]
    table.apply(back, False, 11.0)
    assert not table.expire(13.0)
    assert sorted(table.entries) == ["w1", "w2"]


def test_entries_still_missing_after_an_outage_are_gone():
    table = make_table()
    table.note_heard(10.0)
    table.apply([], True, 10.0)
    assert not table.expire(11.0)
    assert table.expire(12.3)
    assert list(table.entries) == []


def test_single_entry_missing_after_an_outage_has_left():
    table = feeds.WorkerTable()
    table.note_heard(0.0)
    entries = [("w%d" % n, support.make_entry("w%d" % n)) for n in range(1, 7)]
    table.apply(entries, True, 0.0)
    table.note_heard(10.0)
    assert table.apply(entries[1:], True, 10.0)
    assert "w1" not in table.entries


def test_leaving_worker_is_not_kept_by_an_outage():
    table = make_table()
    table.note_heard(10.0)
    leaving = support.make_entry("w1", draining=True)
    assert table.apply([("w1", leaving)], False, 10.0)
    assert table.entries["w1"].draining


def test_record_of_an_earlier_run_changes_nothing():
    table = make_table()
    table.apply([("w1", support.make_entry("w1", born=5))], False, 1.0)
    old = support.make_entry("w1", born=4, draining=True)
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


def test_record_that_only_counts_up_is_no_change():
    table = make_table()
    newer = support.make_entry("w1", sequence=2)
    assert not table.apply([("w1", newer)], False, 1.0)
    older = support.make_entry("w1", sequence=1, draining=True)
    assert not table.apply([("w1", older)], False, 1.1)


class CountingStore:
    """A store that answers, or not, and counts the calls by stream."""

    def __init__(self):
        self.away = False
        self.calls = collections.Counter()
        self.decode_worker = lambda key, value: value

    async def read_newest(self, stream):
        return await self._answer(stream)

    async def read_changes(self, stream, offset, wait):
        await asyncio.sleep(0.0 if self.away else wait)
        return await self._answer(stream)

    async def _answer(self, stream):
        self.calls[stream] += 1
        if self.away:
            raise feeds.StoreError("away")
        return feeds.Changes([], 1)


class Hooks:
    """What a node does with what its feeds read."""

    def __init__(self, alone=False):
        self.alone = alone
        self.listed = []

    def is_alone(self):
        return self.alone

    def record_store_answer(self):
        pass

    def record_store_failure(self):
        pass

    def update_workers(self, found, changed):
        self.listed.append(found)


class Log:
    """Keeps the lines that are logged."""

    def __init__(self):
        self.lines = []

    def write(self, kind, **fields):
        self.lines.append((kind, fields))


def follow(store, seconds, alone=False, back_at=None):
    """Follow a store for some seconds; return the calls by stream."""

    async def run():
        loop = asyncio.get_running_loop()
        log = decisions.DecisionLog("n1", loop.time)
        following = feeds.StoreReader(store, loop.time, log, Hooks(alone))
        following.set_active(True)
        if back_at is not None:
            await asyncio.sleep(back_at)
            store.away = False
            store.calls.clear()
        await asyncio.sleep(seconds - (back_at or 0.0))
        following.set_active(False)

    asyncio.run(run())
    return store.calls


def test_one_reader_looks_for_a_store_that_is_away():
    store = CountingStore()
    store.away = True
    calls = follow(store, 3.0)
    workers = calls[feeds.Stream.WORKERS]
    assert workers >= 3.0 / feeds.MOST_RETRY_PAUSE - 1
    assert calls[feeds.Stream.CONFIGURATION] <= 0.5 * workers + 1


def test_configuration_is_read_as_soon_as_the_store_is_back():
    store = CountingStore()
    store.away = True
    back = 1.5 + 2 * feeds.MOST_RETRY_PAUSE
    calls = follow(store, back, back_at=1.5)
    assert calls[feeds.Stream.CONFIGURATION] >= 1


def test_node_that_nobody_asks_reads_less_often():
    shared = follow(CountingStore(), 2.7)[feeds.Stream.WORKERS]
    alone = follow(CountingStore(), 2.7, alone=True)[feeds.Stream.WORKERS]
    assert alone < shared
    assert feeds.ALONE_READ_PERIOD_S < feeds.OUTAGE_AFTER_S


class OddStore(CountingStore):
    """A store with one record that cannot be read, beside a sound one."""

    def __init__(self, decode):
        super().__init__()
        self.decode_worker = decode

    async def _answer(self, stream):
        self.calls[stream] += 1
        records = [("i-odd", b"{}"), ("w1", b"sound")]
        return feeds.Changes(records, 1)


def follow_odd(decode):
    """Follow the workers for a while; return the hooks and the log."""
    hooks, log = Hooks(), Log()

    async def run():
        loop = asyncio.get_running_loop()
        following = feeds.StoreReader(OddStore(decode), loop.time, log, hooks)
        following.set_active(True)
        await asyncio.sleep(2.0)
        following.set_active(False)

    asyncio.run(run())
    return hooks, log


def test_odd_record_is_named_once_in_the_log():
    def decode(key, value):
        return support.make_entry(key) if value == b"sound" else None

    hooks, log = follow_odd(decode)
    named = [f for kind, f in log.lines if kind == "worker-unreadable"]
    assert [fields["worker"] for fields in named] == ["i-odd"]
    assert len(hooks.listed) > 2
    assert [entry.worker_id for entry in hooks.listed[-1]] == ["w1"]


def test_reader_that_fails_goes_on_and_says_so():
    calls = []

    def decode(key, value):
        calls.append(key)
        raise OverflowError("odd")

    _, log = follow_odd(decode)
    assert len(calls) > 1
    assert "reader-failed" in [kind for kind, _ in log.lines]
