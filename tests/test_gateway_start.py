"""Tests of signals to a gateway process while it starts."""

import asyncio
import signal

from bench import soak_fleet
from standins import store as stores
from tests import test_endless_answers as endless_answers


def has_loaded(pid, name):
    """Return whether a process has loaded a library."""
    with open("/proc/%d/maps" % pid) as file:
        return name in file.read()


def test_changed_settings_do_not_end_a_process_that_starts(tmp_path):
    async def steps():
        async with stores.StoreServer().open() as store:
            store.put("keyed.op", "config", soak_fleet.make_configuration(1))
            node = soak_fleet.Node(
                endless_answers.Environment(store), 1, tmp_path
            )
            node.write_settings(store.address)
            await node.start()
            try:
                while not has_loaded(node.process.pid, "uvloop"):
                    await asyncio.sleep(0.001)
                node.process.send_signal(signal.SIGHUP)
                async with asyncio.timeout(soak_fleet.START_TIMEOUT_S):
                    while not await node.is_ready():
                        assert node.process.poll() is None
                        await asyncio.sleep(0.05)
                assert "gateway:reload" in node.log_path.read_text()
            finally:
                node.process.kill()
                node.process.wait()

    asyncio.run(steps())
