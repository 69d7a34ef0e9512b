"""A soak test of the gateway: real processes under injected faults.

``python -m bench.soak --seed 1 --seconds 60`` prints the injected faults,
the answers that callers got, and each violated guarantee, and exits with 1
if there was one.
"""

import argparse
import asyncio
import collections
import contextlib
import hashlib
import pathlib
import random
import signal
import sys
import tempfile

import aiohttp

from bench import soak_crowd
from bench import soak_fleet
from bench import soak_record
from standins import store

CALLER_COUNT = 24
KEPT_CALLER_COUNT = 8
KEPT_PAUSE_S = 1.0  # at most, between two requests on a kept connection
REFUSED_SHARE = 0.3  # of the requests on kept connections
BODY_DELAY_S = 0.01  # between a head and its body
ORDER_BODY = b"x" * 300
ORDER_HEAD = (
    "POST /%s HTTP/1.1\r\nHost: %s\r\nAcaciafield-Request-Id: %s\r\n"
    "Acaciafield-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n"
)
REQUEST_PAUSE_S = 0.05  # between two requests of a caller
ADDRESS_VALIDITY_S = 2.0  # a caller caches addresses for this long
REQUEST_SHARES = {"orders": 0.5, "uploads": 0.1, "reads": 0.4}
UPLOAD_BYTES = 300_000
SETTLE_TIME_S = 4.0  # after the last fault, before reads must be served
RESTORE_OUTAGE_S = (0.5, 2.5)  # before the store returns from a copy
MAX_COPY_AGE_S = 4.0  # of a copy when the outage begins
REWRITE_TIME_S = 2.0  # in which all write their entries again after it
RESTORE_EFFECT_S = 3.0  # after that, until entries of the copy are gone
FINAL_REPLACEMENTS = 3  # workers replaced at the end, without other faults
MIN_SERVED_SHARE = 0.95  # of the reads after SETTLE_TIME_S


class Caller:
    """A caller that resolves addresses at nodes and sends requests there."""

    path = "x"

    def __init__(self, soak, number):
        self.soak = soak
        self.number = number
        self.random = random.Random(soak.seed * CALLER_COUNT + number)
        self.count = 0
        self.addresses = []
        self.valid_until = 0.0

    async def run(self):
        """Send requests until cancelled."""
        async with aiohttp.ClientSession() as session:
            while True:
                await asyncio.sleep(REQUEST_PAUSE_S)
                await self._resolve(session)
                if self.addresses:
                    await self._send(session)

    async def _resolve(self, session):
        now = self.soak.clock()
        if now < self.valid_until:
            return
        node = self.random.choice(self.soak.fleet.nodes)
        url = "http://%s/-/resolve?name=a&region=r&zone=%s"
        timeout = aiohttp.ClientTimeout(total=1.0)
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with session.get(
                url % (node.find_address("directory"), node.zone),
                timeout=timeout,
            ) as response:
                if response.status == 200:
                    self.addresses = (await response.json())["addresses"]
                    self.valid_until = now + ADDRESS_VALIDITY_S

    async def _send(self, session):
        soak = self.soak
        self.count += 1
        request_id = "c%d-%d" % (self.number, self.count)
        service = self._choose_service()
        is_order = service != "reads"
        address = self.random.choice(self.addresses)
        body = hashlib.sha256(request_id.encode()).digest() * 20
        if service == "uploads":
            body *= UPLOAD_BYTES // len(body)
        sent = soak_record.SentRequest(
            request_id, is_order, address, soak.clock(), 0.0, 0, False
        )
        try:
            async with session.request(
                "POST" if is_order else "GET",
                "http://%s/%s/%s" % (address, service, self.path),
                data=body if is_order else None,
                headers={
                    "Host": soak_fleet.HOSTNAME,
                    "Acaciafield-Request-Id": request_id,
                    "Acaciafield-Deadline-Ms": str(
                        int(soak_record.DEADLINE_S * 1000)
                    ),
                },
                timeout=aiohttp.ClientTimeout(
                    total=soak_record.DEADLINE_S + 0.5
                ),
            ) as response:
                content = await response.read()
                expected = soak_fleet.make_answer(request_id)
                answered_id = response.headers.get("Acaciafield-Request-Id")
                sent.is_expected = (
                    content == expected and answered_id == request_id
                )
                sent.status = response.status
        except (aiohttp.ClientError, TimeoutError, OSError):
            self.addresses = [a for a in self.addresses if a != address]
            self.valid_until = 0.0
        sent.ended_at = soak.clock()
        self._record_result(sent)

    def _choose_service(self):
        (service,) = self.random.choices(
            list(REQUEST_SHARES), REQUEST_SHARES.values()
        )
        return service

    def _record_result(self, sent):
        self.soak.record.sent.append(sent)


class CrashingCaller(Caller):
    """A caller that repeats a request that crashes workers."""

    path = "crash"

    def _choose_service(self):
        return "reads"

    def _record_result(self, sent):
        """Discard the result, as nothing is guaranteed to this caller."""


class KeptConnectionCaller(Caller):
    """A caller that uses a connection until its node closes it.

    Some of its requests are refused before it sends their bodies.
    """

    def __init__(self, soak, number):
        super().__init__(soak, number)
        self.address = None
        self.streams = None

    async def run(self):
        """Send requests until cancelled."""
        while True:
            await asyncio.sleep(self.random.uniform(0.0, KEPT_PAUSE_S))
            is_refused = self.random.random() < REFUSED_SHARE
            path = "none" if is_refused else "orders/x"
            try:
                async with asyncio.timeout(soak_record.DEADLINE_S + 0.5):
                    await self._send_order(path)
            except (OSError, EOFError, ValueError, TimeoutError):
                self.streams = None

    async def _send_order(self, path):
        if self.streams is None:
            node = self.random.choice(self.soak.fleet.nodes)
            self.address = node.find_address("front")
            host, port = self.address.split(":")
            self.streams = await asyncio.open_connection(host, int(port))
        reader, writer = self.streams
        self.count += 1
        request_id = "c%d-%d" % (self.number, self.count)
        head = ORDER_HEAD % (
            path,
            soak_fleet.HOSTNAME,
            request_id,
            int(soak_record.DEADLINE_S * 1000),
            len(ORDER_BODY),
        )
        sent = soak_record.SentRequest(
            request_id, True, self.address, self.soak.clock(), 0.0, 0, False
        )
        try:
            writer.write(head.encode())
            await asyncio.sleep(BODY_DELAY_S)
            writer.write(ORDER_BODY)
            await self._read_answer(reader, sent)
        finally:
            sent.ended_at = self.soak.clock()
            self._record_result(sent)

    async def _read_answer(self, reader, sent):
        """Read an answer; raise OSError, EOFError or ValueError if cut."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        first, *lines = head.rstrip().lower().split("\r\n")
        headers = dict(line.split(": ", 1) for line in lines)
        if "content-length" not in headers:
            # Only an endless answer of a worker has no length.
            while await reader.read(soak_fleet.READ_BYTES):
                pass
            raise EOFError(sent.request_id)
        length = int(headers["content-length"])
        content = await reader.readexactly(length)
        expected = soak_fleet.make_answer(sent.request_id)
        sent.is_expected = content == expected
        sent.status = int(first.split()[1])
        if headers.get("connection") == "close":
            self.streams = None


class Soak:
    """One soak test: a fleet, its store, workers, callers and faults."""

    def __init__(self, seed, seconds, count):
        self.seed = seed
        self.random = random.Random(seed)
        self.seconds = seconds
        self.count = count
        self.record = soak_record.Record()
        self.store = store.StoreServer()
        self.store.era = 1
        self.fleet = None
        self.clock = None
        self.version = 1
        self._tasks = set()

    async def run(self):
        """Run the soak test and return a line for each violation."""
        self.clock = asyncio.get_running_loop().time
        async with contextlib.AsyncExitStack() as stack:
            folder = stack.enter_context(tempfile.TemporaryDirectory())
            await stack.enter_async_context(self.store.open())
            self.fleet = soak_fleet.Fleet(self, pathlib.Path(folder))
            await stack.enter_async_context(self.fleet.open())
            self.publish()
            await self.fleet.wait_ready()
            callers = [
                asyncio.ensure_future(Caller(self, number).run())
                for number in range(CALLER_COUNT)
            ]
            callers += [
                asyncio.ensure_future(
                    KeptConnectionCaller(self, CALLER_COUNT + 1 + n).run()
                )
                for n in range(KEPT_CALLER_COUNT)
            ]
            crashing_caller = CrashingCaller(self, CALLER_COUNT)
            callers.append(asyncio.ensure_future(crashing_caller.run()))
            watch_task = asyncio.ensure_future(self._watch_versions())
            await self._inject_faults()
            await asyncio.gather(*self._tasks)
            faults_ended_at = self.clock()
            await asyncio.sleep(SETTLE_TIME_S)
            for _ in range(FINAL_REPLACEMENTS):
                self._start_task(FAULTS["replace"](self))
            await asyncio.gather(*self._tasks)
            for task in (*callers, watch_task):
                task.cancel()
            await asyncio.gather(*callers, watch_task, return_exceptions=True)
        violations = self.record.find_violations()
        violations += self.record.fallen
        violations += self._find_unserved_requests(
            faults_ended_at + SETTLE_TIME_S
        )
        violations += self._find_outdated_nodes()
        return violations

    def publish(self):
        """Publish the next version of the configuration."""
        self.version += 1
        self.write_configuration()

    def write_configuration(self):
        """Write the newest version of the configuration to the store."""
        document = soak_fleet.make_configuration(self.version)
        self.store.put("keyed.op", "config", document)

    async def _watch_versions(self):
        while True:
            for node in self.fleet.nodes:
                version = await node.read_version()
                if version:
                    name = "%s#%d" % (node.name, node.start_count)
                    self.record.versions[name].append(version)
            await asyncio.sleep(0.3)

    async def _inject_faults(self):
        end = self.clock() + self.seconds
        while self.clock() < end:
            name = self.random.choice(sorted(FAULTS))
            self.record.fault_counts[name] += 1
            self._start_task(self._run_fault(name))
            await asyncio.sleep(self.random.uniform(0.2, 1.2))

    def _start_task(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run_fault(self, name):
        started_at = self.clock()
        index = len(self.record.disruptions)
        is_disruptive = name not in NON_DISRUPTIVE_FAULTS
        if is_disruptive:
            self.record.disruptions.append(
                (started_at, started_at + self.seconds)
            )
        await FAULTS[name](self)
        if is_disruptive:
            self.record.disruptions[index] = (started_at, self.clock())

    def _find_unserved_requests(self, start):
        settled = [s for s in self.record.sent if s.started_at >= start]
        reads = [s for s in settled if not s.is_order]
        served = sum(1 for sent in reads if sent.status == 200)
        if served < MIN_SERVED_SHARE * len(reads) or not reads:
            yield "%d of %d reads served after faults" % (served, len(reads))

    def _find_outdated_nodes(self):
        for node in self.fleet.nodes:
            name = "%s#%d" % (node.name, node.start_count)
            newest = self.record.versions[name][-1:]
            if newest != [self.version]:
                yield "%s has configuration %s, not %d" % (
                    name,
                    newest,
                    self.version,
                )

    def draw_duration(self):
        """Return a random duration of a fault in seconds."""
        return self.random.uniform(0.5, 3.0)


async def _kill_node(soak):
    node = soak.fleet.pick_node()
    if node is not None:
        with node.reserve():
            await node.stop(signal.SIGKILL)
            await asyncio.sleep(soak.random.uniform(0.0, 0.5))
            await node.start()


async def _stop_node(soak):
    node = soak.fleet.pick_node()
    if node is not None:
        with node.reserve():
            started_at = soak.clock()
            await node.stop(signal.SIGTERM)
            stop = (node.find_address("front"), started_at, soak.clock())
            soak.record.stops.append(stop)
            await node.start()


async def _pause_node(soak):
    node = soak.fleet.pick_node()
    if node is not None:
        with node.reserve():
            node.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(soak.draw_duration())
            node.process.send_signal(signal.SIGCONT)


async def _reload_node(soak):
    node = soak.fleet.pick_node()
    if node is not None:
        node.process.send_signal(signal.SIGHUP)


async def _cut_store_link(soak):
    node = soak.fleet.pick_node()
    if node is not None:
        with node.reserve():
            node.relay.cut_directions.add(
                soak.random.choice(["there", "back"])
            )
            await asyncio.sleep(soak.draw_duration())
            node.relay.cut_directions.clear()


async def _fail_store(soak):
    if soak.store.fault is None:
        soak.store.fault = soak.random.choice(["busy", "silent", "cut"])
        await asyncio.sleep(soak.draw_duration())
        soak.store.fault = None


async def _restore_store(soak):
    await soak.store.restore_after_outage(
        soak.random.uniform(*RESTORE_OUTAGE_S),
        soak.random.uniform(0.0, MAX_COPY_AGE_S),
    )
    await asyncio.gather(
        _write_again(soak, soak.write_configuration),
        *(
            _write_again(soak, worker.write_again)
            for worker in soak.fleet.list_running_workers()
        ),
    )
    await asyncio.sleep(RESTORE_EFFECT_S)


async def _write_again(soak, write):
    await asyncio.sleep(soak.random.uniform(0.0, REWRITE_TIME_S))
    write()


async def _truncate_history(soak):
    soak.store.truncate_history("keyed.servers")
    soak.store.truncate_history("keyed.op")


async def _publish(soak):
    soak.publish()


async def _inject_worker_fault(soak):
    worker = soak.fleet.pick_worker()
    worker.fault = soak.random.choice(soak_fleet.WORKER_FAULTS)
    await asyncio.sleep(soak.draw_duration())
    worker.fault = None


async def _replace_worker(soak):
    await soak.fleet.replace_worker()


async def _remove_worker(soak):
    await soak.fleet.remove_worker()


FAULTS = {
    "kill": _kill_node,
    "stop": _stop_node,
    "pause": _pause_node,
    "reload": _reload_node,
    "cut": _cut_store_link,
    "store": _fail_store,
    "restore": _restore_store,
    "forget": _truncate_history,
    "publish": _publish,
    "crowd": soak_crowd.attack_node,
    "spoil": _inject_worker_fault,
    "replace": _replace_worker,
    "remove": _remove_worker,
}
NON_DISRUPTIVE_FAULTS = (
    "reload",
    "publish",
    "crowd",
    "spoil",
    "replace",
    "remove",
)


def run_soak(seed, seconds, count):
    """Run one soak test; return the Soak and a line for each violation."""
    soak = Soak(seed, seconds, count)
    return soak, asyncio.run(soak.run())


def main():
    """Run the soak test that the arguments describe; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--nodes", type=int, default=6)
    options = parser.parse_args()
    soak, violations = run_soak(options.seed, options.seconds, options.nodes)
    answers = collections.Counter(s.status for s in soak.record.sent)
    print("seed", options.seed, dict(soak.record.fault_counts), dict(answers))
    record = soak.record
    print("crashes", len(record.crash_times), "notices", len(record.notices))
    for line in violations:
        print("BROKEN:", line)
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
