"""A worker whose answers have no end, until the caller closes.

``python -m standins.endless FORM COUNT`` runs several in a process of
their own and prints their addresses; each line on its standard input is
answered with the number of connections that are open.
"""

import asyncio
import contextlib
import json
import re
import sys

PART = b"x" * 65536  # bytes sent at a time
HEAD = (
    b"HTTP/1.1 %s\r\nAcaciafield-Request-Id: %s\r\n"
    b"Acaciafield-Upstream-Signature: s\r\n%s\r\n"
)
CHUNK = b"%x\r\n%s\r\n" % (len(PART), PART)
HUGE_LENGTH = b"Content-Length: 1000000000000\r\n"
REQUEST_ID = re.compile(rb"Acaciafield-Request-Id: (\S+)", re.IGNORECASE)

FORMS = {
    "rubbish": lambda request_id: (b"", PART),
    "line": lambda request_id: (b"HTTP/1.1 200 OK\r\nX-Long: ", PART),
    "fields": lambda request_id: (b"HTTP/1.1 200 OK\r\n", b"X-A: b\r\n" * 999),
    "length": lambda request_id: (
        HEAD % (b"200 OK", request_id, HUGE_LENGTH),
        PART,
    ),
    "chunked": lambda request_id: (
        HEAD % (b"200 OK", request_id, b"Transfer-Encoding: chunked\r\n"),
        CHUNK,
    ),
    "unframed": lambda request_id: (HEAD % (b"200 OK", request_id, b""), PART),
    "failure": lambda request_id: (
        HEAD % (b"500 Bad", request_id, HUGE_LENGTH),
        PART,
    ),
    "unframed failure": lambda request_id: (
        HEAD % (b"500 Bad", request_id, b""),
        PART,
    ),
}


class EndlessWorker:
    """Sends bytes in one of the ``FORMS`` on each connection.

    ``open_count`` is the number of connections that are still open.
    """

    def __init__(self, form):
        self.make_parts = FORMS[form]
        self.open_count = 0
        self.address = None

    @contextlib.asynccontextmanager
    async def open(self):
        """Serve on a free port."""
        server = await asyncio.start_server(self._answer, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        self.address = "127.0.0.1:%d" % port
        try:
            yield self
        finally:
            server.close()

    async def _answer(self, reader, writer):
        self.open_count += 1
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            found = REQUEST_ID.search(head)
            first, more = self.make_parts(found.group(1) if found else b"")
            writer.write(first)
            while True:
                writer.write(more)
                await writer.drain()
                # Leaves time for the other connections of this worker.
                await asyncio.sleep(0.002)
        except (OSError, asyncio.IncompleteReadError):
            # The caller closed, which is what ends an answer here.
            return
        finally:
            self.open_count -= 1
            writer.close()


async def run_workers(form, count):
    """Run workers until standard input ends."""
    loop = asyncio.get_running_loop()
    async with contextlib.AsyncExitStack() as stack:
        workers = [
            await stack.enter_async_context(EndlessWorker(form).open())
            for _ in range(count)
        ]
        _print_row([worker.address for worker in workers])
        while await loop.run_in_executor(None, sys.stdin.readline):
            _print_row(sum(worker.open_count for worker in workers))


def _print_row(value):
    print(json.dumps(value), flush=True)


if __name__ == "__main__":
    asyncio.run(run_workers(sys.argv[1], int(sys.argv[2])))
