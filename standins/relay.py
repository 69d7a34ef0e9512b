"""A TCP relay that can cut one direction of every connection.

Commands, one a line on standard input: ``cut there``, ``cut back``, ``heal``.
"""

import asyncio
import contextlib
import sys

import cyclopts

from standins import servers

CHUNK_BYTES = 65536

app = cyclopts.App()


class Relay:
    """Forwards bytes to a target, except in the directions that are cut."""

    __slots__ = ("target", "cut_directions")

    def __init__(self, target):
        self.target = target
        self.cut_directions = set()

    async def handle(self, reader, writer):
        """Relay one connection."""
        ip, _, port = self.target.rpartition(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(
                ip, int(port)
            )
        except OSError:
            writer.close()
            return
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(
                self._copy("there", reader, target_writer),
                self._copy("back", target_reader, writer),
                return_exceptions=True,
            )

    async def _copy(self, direction, reader, writer):
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                if direction not in self.cut_directions:
                    writer.write(chunk)
                    await writer.drain()
        finally:
            writer.close()

    def apply_command(self, line):
        """Execute a command line; ignore an unknown one."""
        words = line.split()
        if words[:1] == ["cut"]:
            self.cut_directions.add(words[1])
        elif words[:1] == ["heal"]:
            self.cut_directions.clear()


@app.default
def run_relay(*, ip: str = "127.0.0.1", port: int, target: str):
    """Relay connections to a target address."""

    async def serve(stopped):
        relay = Relay(target)
        loop = asyncio.get_running_loop()
        loop.add_reader(
            sys.stdin.fileno(),
            lambda: relay.apply_command(sys.stdin.readline()),
        )
        server = await asyncio.start_server(relay.handle, ip, port)
        async with server:
            await stopped.wait()

    servers.run_until_signal(serve)


if __name__ == "__main__":
    app()
