"""A crowd that makes nodes exceed their memory.

The platform ends a process that exceeds its memory and starts it again after
a short delay. Ordinary callers send orders all the while.
"""

import asyncio
import time

import harness_3 as harness

ATTACKED = 2  # nodes, of three
ROUNDS = 3  # on each of them
ROUND_S = 8.0
RESTART_DELAY_S = 0.5
POLL_S = 0.05
CALLERS = 6
CALL_PAUSE_S = 0.25
CALLER_DEADLINE_MS = 5000


class Crowd:
    """The deployment under a crowd.

    ``attack`` is a coroutine of this object and a node, for one client of
    the crowd; ``ends`` counts how often the process of a node was ended for
    its memory, ``peaks`` has the most memory in MB.
    """

    def __init__(self, folder, attack, clients, work_s):
        self.fleet = harness.Fleet(folder, 3)
        self.attack = attack
        self.clients = clients
        self.work_s = work_s
        self.ends = {node.name: 0 for node in self.fleet.nodes}
        self.peaks = {node.name: 0.0 for node in self.fleet.nodes}
        self.results = {}
        self.stopped = False

    async def play(self):
        """Play the rounds and return the exit code."""
        configuration = harness.make_configuration(
            1,
            [
                harness.make_route("reads", "safe"),
                harness.make_route("orders", "unsafe"),
            ],
        )
        services = [("reads", 18, 6), ("orders", 6, 6)]
        async with self.fleet.open(configuration, services):
            for worker in self.fleet.workers:
                if worker.service == "reads":
                    worker.answer = self._answer_read
            await asyncio.sleep(3.0)
            callers = [
                asyncio.ensure_future(self._call(number))
                for number in range(CALLERS)
            ]
            attacked = self.fleet.nodes[:ATTACKED]
            async with asyncio.TaskGroup() as group:
                for node in attacked:
                    group.create_task(self._attack_node(node))
            self.stopped = True
            await asyncio.gather(*callers)
        return self._judge()

    async def _answer_read(self, worker, request, writer):
        await harness.answer_ok(worker, request, writer, work_s=self.work_s)

    async def _attack_node(self, node):
        for number in range(1, ROUNDS + 1):
            self.fleet.record.write("%s: round %d", node.name, number)
            tasks = [
                asyncio.ensure_future(self._run_client(node, client))
                for client in range(self.clients)
            ]
            await self._watch_memory(node)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            await self._restart(node)

    async def _run_client(self, node, number):
        try:
            await self.attack(self, node, number)
        except (OSError, EOFError):
            pass

    async def _watch_memory(self, node):
        """End the process as the platform does, if it exceeds its memory."""
        until = time.monotonic() + ROUND_S
        peak = 0.0
        while time.monotonic() < until:
            memory_mb = node.read_memory_mb()
            peak = max(peak, memory_mb)
            if memory_mb > harness.MEMORY_MB:
                self.ends[node.name] += 1
                node.process.kill()
                self.fleet.record.write(
                    "%s has %.0f MB of %d and is ended",
                    node.name,
                    memory_mb,
                    harness.MEMORY_MB,
                )
                break
            if node.process.returncode is not None:
                self.ends[node.name] += 1
                self.fleet.record.write("%s ended by itself", node.name)
                break
            await asyncio.sleep(POLL_S)
        self.peaks[node.name] = max(self.peaks[node.name], peak)
        self.fleet.record.write("%s: at most %.0f MB", node.name, peak)

    async def _restart(self, node):
        with_end = node.process.returncode is not None
        if not with_end:
            # Ended by the kill above, or still running after a calm round.
            try:
                async with asyncio.timeout(0.2):
                    await node.process.wait()
                with_end = True
            except TimeoutError:
                with_end = False
        if not with_end:
            return
        await asyncio.sleep(RESTART_DELAY_S)
        await node.start()
        until = time.monotonic() + 10.0
        while time.monotonic() < until and not await node.is_ready():
            await asyncio.sleep(0.1)

    async def _call(self, number):
        """Send the orders of one ordinary caller, to all nodes in turn."""
        count = 0
        while not self.stopped:
            count += 1
            node = self.fleet.nodes[(number + count) % len(self.fleet.nodes)]
            request_id = "order-%d-%d" % (number, count)
            found = await self._order(node, request_id)
            key = (node.name, str(found.status or found.end))
            self.results[key] = self.results.get(key, 0) + 1
            await asyncio.sleep(CALL_PAUSE_S)

    async def _order(self, node, request_id):
        try:
            async with asyncio.timeout(CALLER_DEADLINE_MS / 1000.0):
                reader, writer = await self.fleet.connect(node)
                try:
                    writer.write(
                        harness.make_request(
                            "POST",
                            "/orders/1",
                            request_id,
                            CALLER_DEADLINE_MS,
                            b"1",
                        )
                    )
                    return await harness.read_answer(reader)
                finally:
                    writer.close()
        except (OSError, TimeoutError) as error:
            return harness.Answer(end=type(error).__name__)

    def _judge(self):
        record = self.fleet.record
        for (name, end), count in sorted(self.results.items()):
            record.write("orders at %s that got %s: %d", name, end, count)
        for name, peak in self.peaks.items():
            record.write(
                "%s: ended %d times, at most %.0f MB",
                name,
                self.ends[name],
                peak,
            )
        often = [name for name, count in self.ends.items() if count >= ROUNDS]
        if len(often) >= ATTACKED:
            return harness.BROKEN
        return harness.PASSED
