"""The store returns from an older copy: what a coordinator then reads."""

import asyncio
import contextlib
import itertools
import time

import pytest

from acaciafield.gateway import effects
from acaciafield.gateway import events
from acaciafield.gateway import messages
from acaciafield.gateway import store_eras
from acaciafield_daemon.gateway import store_reader
from acaciafield_platform import documents
from acaciafield_platform import store as stores
from standins import store as stand_in
from tests import gateway_fleet
from tests import gateway_support as support
from tests import store_support

READ_TIME_S = 1.5  # for a coordinator to read what was written
WORKER_COUNT = 6


class Hooks(store_support.ReaderHooks):
    """What a coordinator's reader passes on."""

    def __init__(self):
        self.workers = []
        self.versions = []

    def update_workers(self, found, departures, changed):
        self.workers = sorted(entry.worker_id for entry in found)

    def update_configuration(self, raw):
        configuration = documents.decode_configuration(raw)
        self.versions.append(configuration.version)
        return True


def put_worker(server, number, sequence):
    """Write the entry of a worker."""
    row = {
        "service": "orders",
        "address": "127.0.0.1:%d" % (9000 + number),
        "zone": "za",
        "maxConcurrency": 2,
        "state": "ready",
        "sequence": sequence,
        "born": 1,
    }
    server.put("keyed.servers", "w%d" % number, row)


def put_configuration(server, version):
    """Write a version of the configuration."""
    server.put("keyed.op", "config", {"version": version, "routes": []})


@contextlib.asynccontextmanager
async def open_reader():
    """Run a coordinator's reader of a store with workers."""
    server = stand_in.StoreServer()
    server.era = 1
    hooks = Hooks()
    loop = asyncio.get_running_loop()
    async with server.open(), stores.Store(server.address).open() as client:
        for number in range(1, WORKER_COUNT + 1):
            put_worker(server, number, 1)
        put_configuration(server, 1)
        reader = store_reader.StoreReader(
            client, loop.time, store_support.RecordingLog(), hooks
        )
        reader.set_active(True)
        await asyncio.sleep(READ_TIME_S)
        yield server, hooks
        reader.set_active(False)


def test_worker_removed_while_the_store_was_away_is_unlisted():
    # Guards against a worker that stays in use for good, as the records
    # written since the restore pass the old end before the next read.
    async def run():
        async with open_reader() as (server, hooks):
            copied_at = time.monotonic()
            put_worker(server, 1, 2)
            put_worker(server, 6, 2)
            await asyncio.sleep(READ_TIME_S)
            assert len(hooks.workers) == WORKER_COUNT
            server.restore(copied_at)
            server.put("keyed.servers", "w6", None)
            for number in range(1, WORKER_COUNT):
                put_worker(server, number, 3)
            await asyncio.sleep(store_reader.SETTLE_TIME_S + 3.0)
            assert hooks.workers == ["w%d" % n for n in range(1, WORKER_COUNT)]

    asyncio.run(run())


def test_configuration_written_while_the_store_was_away_is_found():
    # Guards against a route that stays where it was, as the record with
    # the new version got an offset that the reader had passed.
    async def run():
        async with open_reader() as (server, hooks):
            copied_at = time.monotonic()
            put_configuration(server, 2)
            put_configuration(server, 3)
            await asyncio.sleep(READ_TIME_S)
            server.restore(copied_at)
            put_configuration(server, 4)
            for _ in range(3):
                server.put("keyed.op", "other", {})
            await asyncio.sleep(READ_TIME_S + store_reader.CONFIG_READ_WAIT_S)
            assert hooks.versions[-1] == 4

    asyncio.run(run())


def make_table(count=4, now=0.0, **fields):
    """Return a table with workers w1, w2 and so on of one version."""
    table = store_reader.WorkerTable()
    table.record_answer(now)
    table.apply(list_rows(range(1, count + 1), **fields), True, now)
    return table


def list_rows(numbers, **fields):
    """Return rows of workers for a table."""
    ids = ["w%d" % number for number in numbers]
    return [(w, support.make_entry(w, **fields)) for w in ids]


def expire(table, until):
    """Read no records up to ``until`` seconds; return the workers."""
    while table.answered_at < until:
        now = min(until, table.answered_at + store_reader.WORKER_READ_PERIOD_S)
        table.record_answer(now)
        table.apply([], False, now)
        table.remove_expired(now)
    return sorted(table.entries)


REWRITE_S = store_reader.REWRITE_TIME_S


def test_live_worker_that_the_copy_lacks_is_retained_until_it_writes():
    # Guards against dropping a single worker that joined in the lost
    # seconds, as if it had left.
    table = make_table(sequence=5)
    table.apply_restored(list_rows([1, 2, 3], sequence=4), 1.0)
    assert expire(table, 1.9) == ["w1", "w2", "w3", "w4"]
    table.apply(list_rows([1, 2, 3, 4], sequence=6), False, 2.5)
    assert expire(table, 1.0 + REWRITE_S) == ["w1", "w2", "w3", "w4"]


def test_entry_written_again_with_the_same_sequence_counts():
    # Guards against taking a rewritten entry for a late copy.
    table = make_table(sequence=5)
    table.apply_restored(list_rows([1, 2], sequence=5), 1.0)
    table.apply(list_rows([1, 2, 3, 4], sequence=5), False, 1.9)
    assert expire(table, 1.0 + REWRITE_S) == ["w1", "w2", "w3", "w4"]


@pytest.mark.parametrize("is_listed", [False, True])
def test_worker_that_does_not_write_again_is_removed(is_listed):
    # Guards against a worker that left in the lost seconds and stays in
    # use because the copy lists it or because nothing removes it.
    table = make_table(sequence=5)
    copied = [1, 2, 3, 4] if is_listed else [1, 2, 3]
    table.apply_restored(list_rows(copied, sequence=4), 1.0)
    table.apply(list_rows([1, 2, 3], sequence=6), False, 1.9)
    assert expire(table, 1.0 + REWRITE_S) == ["w1", "w2", "w3"]
    assert table.take_departures() == [["w4", 1, 5]]


def test_listed_workers_stay_where_few_write_again():
    table = make_table(sequence=5)
    table.apply_restored(list_rows([1, 2, 3, 4], sequence=5), 1.0)
    table.apply(list_rows([1], sequence=6), False, 1.9)
    assert expire(table, 1.0 + REWRITE_S) == ["w1", "w2", "w3", "w4"]


def test_removal_that_was_read_stays_when_the_copy_lists_the_worker():
    table = make_table(sequence=5)
    table.apply([("w4", None)], False, 0.5)
    table.apply_restored(list_rows([1, 2, 3, 4], sequence=5), 1.0)
    assert sorted(table.entries) == ["w1", "w2", "w3"]
    table.apply(list_rows([4], sequence=6), False, 1.5)
    assert "w4" in table.entries


def test_draining_that_was_read_stays_when_the_copy_has_an_older_entry():
    table = make_table(sequence=5)
    table.apply(list_rows([4], sequence=6, draining=True), False, 0.5)
    table.apply_restored(list_rows([1, 2, 3, 4], sequence=5), 1.0)
    assert table.entries["w4"].draining


def test_outage_after_a_restore_extends_the_time_to_write():
    # Guards against dropping live workers that could not write meanwhile.
    table = make_table(sequence=5)
    table.apply_restored(list_rows([1, 2], sequence=5), 1.0)
    table.record_answer(1.0)
    table.record_answer(6.0)
    table.remove_expired(6.0)
    assert len(table.entries) == 4
    table.apply(list_rows([1, 2, 3, 4], sequence=6), False, 6.6)
    assert len(expire(table, 7.0)) == 4
    assert len(expire(table, 6.0 + REWRITE_S)) == 4


@pytest.mark.parametrize("sequence", [5, 6])
def test_entries_that_expire_after_a_restore_may_be_written_again(sequence):
    # Guards against losing all live workers if the copy's entries expire
    # as soon as a store that was away only briefly returns.
    table = make_table(sequence=5)
    table.apply_restored(list_rows([1, 2, 3, 4], sequence=4), 0.6)
    expired = [("w%d" % number, None) for number in range(1, 5)]
    table.record_answer(1.2)
    assert not table.apply(expired, False, 1.2)
    table.apply(list_rows([1, 2, 3], sequence=sequence), False, 1.8)
    assert len(expire(table, 0.5 + REWRITE_S)) == 4
    assert expire(table, 0.6 + REWRITE_S) == ["w1", "w2", "w3"]


def test_second_restore_starts_the_time_anew():
    table = make_table(sequence=5)
    table.apply_restored(list_rows([1, 2], sequence=5), 1.0)
    table.apply(list_rows([1, 2, 3, 4], sequence=6), False, 2.0)
    table.apply_restored(list_rows([1, 2, 3], sequence=4), 3.0)
    assert len(expire(table, 3.9)) == 4
    table.apply(list_rows([1, 2, 3], sequence=7), False, 4.5)
    assert len(expire(table, 2.9 + REWRITE_S)) == 4
    assert expire(table, 3.0 + REWRITE_S) == ["w1", "w2", "w3"]


def test_truncated_history_does_not_end_the_time_to_write():
    table = make_table(sequence=5)
    table.apply_restored(list_rows([1, 2, 3], sequence=5), 1.0)
    table.apply(list_rows([1, 2, 3], sequence=5), True, 1.6)
    assert "w4" in table.entries
    table.apply(list_rows([1, 2, 3, 4], sequence=5), True, 1.9)
    assert "w4" in expire(table, 1.0 + REWRITE_S)


RESTORE_KINDS = ("restore", "write", "leave", "outage")


def test_live_workers_stay_and_gone_ones_leave_in_any_order():
    # Every order of restores, rewritings, a departure and outages: live
    # workers are in the table throughout, gone ones are not at the end.
    for kinds in itertools.product(RESTORE_KINDS, repeat=5):
        table, now, sequence = make_table(8), 0.0, 1
        live = list(range(1, 9))
        for kind in (*kinds, "restore", "write"):
            now += 0.5
            if kind == "outage":
                now += 3.0
            table.record_answer(now)
            if kind == "restore":
                copied = list_rows(range(1, 8), sequence=1)
                table.apply_restored(copied, now)
            elif kind == "write":
                sequence += 1
                table.apply(list_rows(live, sequence=sequence), False, now)
            elif kind == "leave" and len(live) > 6:
                live.pop(0)
            table.remove_expired(now)
            assert {"w%d" % n for n in live} <= set(table.entries), kinds
        found = expire(table, now + REWRITE_S)
        assert found == ["w%d" % n for n in live], kinds


class ErasStore:
    """A store whose answers are given in advance."""

    def __init__(self, *answers):
        self.answers = list(answers)

    async def read_newest(self, stream):
        return self._answer()

    async def read_changes(self, stream, offset, wait):
        return self._answer()

    def _answer(self):
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


def make_answer(era, *records, **fields):
    """Return changes of an era."""
    return store_reader.StreamChanges(list(records), 9, era=era, **fields)


def read_all(*answers):
    """Read until all answers are used; return keys, kind, restored."""
    store = ErasStore(*answers)
    reader = store_reader.StreamReader(store, store_reader.Stream.WORKERS)
    found = []

    async def run():
        while store.answers:
            try:
                changes, is_snapshot = await reader.read(0.0)
            except store_reader.StoreError:
                continue
            keys = [key for key, _ in changes.records]
            found.append((keys, is_snapshot, changes.is_restored))

    asyncio.run(run())
    return found


def test_records_of_a_risen_era_are_not_applied_as_changes():
    found = read_all(
        make_answer(1, ("a", b"")),
        make_answer(2, ("not-following", b"")),
        make_answer(2, ("b", b"")),
        make_answer(2, ("c", b"")),
    )
    assert found == [
        (["a"], True, False),
        (["b"], True, True),
        (["c"], False, False),
    ]


def test_restore_is_not_forgotten_when_the_full_read_fails():
    error = store_reader.StoreError("away")
    found = read_all(make_answer(1), make_answer(2), error, make_answer(3))
    assert found == [([], True, False), ([], True, True)]


def test_log_that_became_shorter_without_a_header_was_restored():
    shorter = make_answer(0, is_truncated=True, is_end_before_offset=True)
    error = store_reader.StoreError("away")
    found = read_all(make_answer(0), shorter, error, make_answer(0))
    assert found == [([], True, False), ([], True, True)]


def test_truncated_history_of_one_era_is_no_restore():
    refused = make_answer(0, is_truncated=True)
    found = read_all(make_answer(0), refused, make_answer(0))
    assert found == [([], True, False), ([], True, False)]


def test_era_that_disappears_leads_to_a_snapshot_without_a_restore():
    found = read_all(make_answer(3), make_answer(0), make_answer(0))
    assert found == [([], True, False), ([], True, False)]


class PromptFleet(gateway_fleet.Fleet):
    """A fleet whose nodes tick at once for a timer that a message starts."""

    def feed(self, state, event):
        before = state.next_due()
        super().feed(state, event)
        due = state.next_due()
        if due is not None and (before is None or due < before):
            self.plan(due, lambda now: self.feed(state, events.Tick(now)))


def start_fleet(count):
    """Return a started fleet in era 1."""
    fleet = PromptFleet(2, count // 2)
    fleet.era = 1
    fleet.start()
    fleet.run_until(5.0)
    return fleet


def test_nodes_write_their_records_again_spread_over_time():
    # Guards against hundreds of nodes that write at the same moment, and
    # against nodes that do not read the store and never learn of it.
    fleet = start_fleet(120)
    assert fleet.member_writes == []
    fleet.era = 2
    fleet.run_until(9.0)
    names = sorted(name for _, name, _ in fleet.member_writes)
    assert names == sorted(fleet.states)
    times = sorted(at for at, _, _ in fleet.member_writes)
    in_tenth = [sum(a <= at < a + 0.1 for at in times) for a in times]
    assert max(in_tenth) < 0.3 * len(times)
    assert {state.store_era for state in fleet.states.values()} == {2}


def test_records_are_written_after_a_second_restore_in_an_outage():
    fleet = start_fleet(12)
    fleet.era = 2
    fleet.run_until(6.0)
    fleet.down = True
    fleet.run_until(8.0)
    fleet.era, fleet.down = 3, False
    fleet.run_until(14.0)
    newest = {name: era for _, name, era in fleet.member_writes}
    assert newest == {name: 3 for name in fleet.states}


def test_write_that_an_older_era_acknowledged_is_repeated():
    state = support.make_state()
    support.apply_event(state, events.StoreEraRead(0.0, 1))
    support.apply_event(state, events.StoreEraRead(1.0, 3))
    state.timers.pop_due(1.0 + store_eras.REWRITE_SPREAD_S)
    support.apply_event(state, events.RecordWritten(3.0, 0))
    assert state.timers.next_due() is None
    support.apply_event(state, events.RecordWritten(3.0, 2))
    assert state.timers.next_due() is not None


def test_crash_records_are_written_again_by_a_node_that_wrote_some():
    state = support.make_state()
    state.has_written_crashes = True
    support.apply_event(state, events.StoreEraRead(0.0, 1))
    state.start(0.0)
    support.apply_event(state, events.StoreEraRead(0.5, 2))
    kinds = []
    for number in range(1, 8):
        out = support.apply_event(state, events.Tick(0.5 * number))
        kinds += [type(effect).__name__ for effect in out]
    assert kinds.count("WriteMember") == 1
    assert kinds.count("PersistCrashes") == 1


def test_first_era_is_no_restore():
    state = support.make_state()
    out = support.apply_event(state, events.StoreEraRead(0.0, 7))
    out += support.apply_event(state, events.StoreEraRead(0.1, 0))
    assert out == []
    assert state.timers.next_due() is None
    assert state.store_era == 7


def answer_heartbeat(state, now):
    """Return a coordinator's answer to a node of another zone."""
    other = support.make_state("n2", zone="zb")
    heartbeat = support.make_heartbeat(other, is_list_wanted=False)
    out = support.deliver_message(state, heartbeat, now)
    answers = [e.message for e in support.select_effects(out, effects.Send)]
    return next(a for a in answers if type(a) is messages.HeartbeatAnswer)


def test_departures_are_reported_to_all_zones_after_a_restore():
    # Guards against a coordinator of another zone that started after the
    # restore and uses a removed worker which the copy lists.
    state = support.make_state()
    state.start(0.0)
    support.apply_event(state, events.StoreEraRead(0.0, 1))
    rows = [["w1", 1, 5]]
    support.apply_event(state, events.WorkersRead(0.1, [], rows))
    assert answer_heartbeat(state, 0.2).departures == ()
    assert answer_heartbeat(state, 0.2).store_era == 1
    support.apply_event(state, events.StoreEraRead(0.3, 2))
    answer = answer_heartbeat(state, 0.4)
    assert answer.departures == rows
    assert answer.store_era == 2


def read_eras(server_era, fault=None):
    """Write a member and return the eras that were reported."""

    async def run():
        server, eras = stand_in.StoreServer(), []
        server.era, server.fault = server_era, fault
        async with server.open():
            client = stores.Store(server.address)
            client.observe_era = eras.append
            async with client.open():
                with contextlib.suppress(store_reader.StoreError):
                    await client.write_member(support.make_member())
        return eras

    return asyncio.run(run())


def test_era_is_read_from_writes_and_from_failing_statuses():
    assert read_eras(4) == [4]
    assert read_eras(5, "busy") == [5]
    assert read_eras(0) == [0]
    assert read_eras(None) == [0]
    assert read_eras(None, "busy") == []
