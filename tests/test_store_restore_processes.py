"""The store returns from an older copy, twice, under real processes."""

import asyncio
import contextlib
import pathlib
import signal
import time

import orjson

from bench import soak
from bench import soak_fleet

SEED = 7
NODES = 4
CALLERS = 8
LOST_S = 1.5  # of writes that the first restore loses
READ_S = 1.2  # until all nodes have what was written
# After the last writes: until the reader finds the restore (2 s for the
# configuration) and removes entries that were not written again (3 s).
SETTLE_S = 5.0
CHECK_S = 2.0  # in which no removed worker may get a request


class Scenario:
    """A fleet with callers whose store is restored from a copy twice."""

    def __init__(self):
        self.soak = soak.Soak(SEED, 0.0, NODES)
        self.store = self.soak.store
        self.fleet = None

    @contextlib.asynccontextmanager
    async def open(self, folder):
        """Run the nodes, the workers and the callers."""
        self.soak.clock = asyncio.get_running_loop().time
        self.fleet = soak_fleet.Fleet(self.soak, pathlib.Path(folder))
        self.soak.fleet = self.fleet
        async with self.store.open(), self.fleet.open():
            self.soak.publish()
            await self.fleet.wait_ready()
            callers = [
                asyncio.ensure_future(soak.Caller(self.soak, number).run())
                for number in range(CALLERS)
            ]
            yield
            for task in callers:
                task.cancel()
            await asyncio.gather(*callers, return_exceptions=True)

    def remove_worker(self):
        """Remove a worker that serves on and does not say that it leaves."""
        worker = next(w for w in self.fleet.workers if w.service == "reads")
        self.fleet.workers.remove(worker)
        worker.write_entry("gone")
        worker.is_leaving = False
        return worker

    def write_again(self):
        """Write all entries of live workers to the restored store."""
        for worker in self.fleet.workers:
            worker.write_entry()

    async def read_gauges(self, name):
        """Return the values of a gauge of all nodes."""
        return [await node.read_gauge(name) for node in self.fleet.nodes]

    def list_status_keys(self, start):
        """Return the keys of the nodes' records written since a time."""
        topic = self.store.topics["keyed.status"]
        return {
            key
            for (key, _), at in zip(topic.records, topic.times)
            if at >= start
        }

    def count_runs(self, worker, start):
        """Return the number of requests that a worker got since a time."""
        arrivals = self.soak.record.arrivals[worker.worker_id]
        return sum(1 for _, at in arrivals if at >= start)


async def run_two_restores(folder):
    """Restore the store twice in turn; return the checks that failed."""
    scenario = Scenario()
    fleet, store, failed = None, scenario.store, []
    async with scenario.open(folder):
        fleet = scenario.fleet
        await asyncio.sleep(READ_S)
        copied_at = time.monotonic()
        scenario.soak.publish()
        seen = scenario.remove_worker()
        await fleet.add_worker("reads")
        joined = fleet.workers[-1]
        await asyncio.sleep(LOST_S)
        newest = scenario.soak.version
        if await scenario.read_gauges("configuration_version") != (
            [newest] * NODES
        ):
            failed.append("a node lacks the version before the restore")
        first = asyncio.ensure_future(
            store.restore_after_outage(1.0, time.monotonic() - copied_at)
        )
        await asyncio.sleep(0.1)
        unseen = scenario.remove_worker()  # lost, as the store is away
        killed = fleet.nodes[-1]
        await killed.stop(signal.SIGKILL)
        await first
        # The configuration in the store is an older one at this time.
        await killed.start()
        scenario.write_again()
        await asyncio.sleep(2.0)
        if await killed.read_version() != newest:
            failed.append("a started node did not take the newest version")
        await store.restore_after_outage(1.5, 0.5)
        restored_at = time.monotonic()
        await asyncio.sleep(1.0)
        scenario.write_again()
        scenario.soak.publish()
        await asyncio.sleep(SETTLE_S)
        checked_from = scenario.soak.clock()
        await asyncio.sleep(CHECK_S)
        newest = scenario.soak.version
        versions = await scenario.read_gauges("configuration_version")
        if versions != [newest] * NODES:
            failed.append("versions %s, not %d" % (versions, newest))
        eras = await scenario.read_gauges("store_era")
        if eras != [3] * NODES:
            failed.append("eras %s" % eras)
        names = {node.name for node in fleet.nodes}
        rewritten = scenario.list_status_keys(restored_at)
        if rewritten != names:
            failed.append("records of %s only" % rewritten)
        for label, worker in (("seen", seen), ("unseen", unseen)):
            count = scenario.count_runs(worker, checked_from)
            if count:
                failed.append("%s removal: %d requests" % (label, count))
            await worker.close()
        if not scenario.count_runs(joined, checked_from):
            failed.append("a worker that joined gets no requests")
        lines = [
            orjson.loads(line)
            for node in fleet.nodes
            for line in node.log_path.read_bytes().splitlines()
            if b"gateway:store-era" in line
        ]
        if {line["era"] for line in lines} != {2, 3}:
            failed.append("logged eras %s" % lines)
    return failed + scenario.soak.record.find_violations()


def test_two_restores_under_real_processes(tmp_path):
    # Guards against removed workers that stay in use, a configuration that
    # goes back or is not found, and own records that stay lost.
    assert asyncio.run(run_two_restores(tmp_path)) == []
