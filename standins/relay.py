"""A TCP relay that can cut one direction of every connection.

A line on standard input switches: ``cut there``, ``cut back``, ``heal``.
"""

import asyncio
import contextlib
import sys

import cyclopts

from standins import servers

CHUNK = 65536  # bytes

app = cyclopts.App()


class Relay:
    """Passes bytes on, except in the directions that are cut."""

    __slots__ = ("target", "cut")

    def __init__(self, target):
        self.target = target
        self.cut = set()

    async def handle(self, reader, writer):
        """Relay one connection."""
        ip, _, port = self.target.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(
                ip, int(port)
            )
        except OSError:
            writer.close()
            return
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(
                self._pass("there", reader, far_writer),
                self._pass("back", far_reader, writer),
                return_exceptions=True,
            )

    async def _pass(self, direction, reader, writer):
        try:
            while chunk := await reader.read(CHUNK):
                if direction not in self.cut:
                    writer.write(chunk)
                    await writer.drain()
        finally:
            writer.close()

    def switch(self, line):
        """Carry out one line of control."""
        words = line.split()
        if words[:1] == ["cut"]:
            self.cut.add(words[1])
        elif words[:1] == ["heal"]:
            self.cut.clear()


@app.default
def run_relay(*, ip: str = "127.0.0.1", port: int, target: str):
    """Relay connections to a target address."""

    async def serve(stopped):
        relay = Relay(target)
        loop = asyncio.get_running_loop()
        loop.add_reader(
            sys.stdin.fileno(),
            lambda: relay.switch(sys.stdin.readline()),
        )
        server = await asyncio.start_server(relay.handle, ip, port)
        async with server:
            await stopped.wait()

    servers.run_until_told(serve)


if __name__ == "__main__":
    app()
