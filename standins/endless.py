"""A worker whose answers do not end until the caller closes.

``python -m standins.endless FORM COUNT`` runs COUNT workers in one process
and prints their addresses as JSON. For each line on its standard input it
prints the number of open connections.
"""

import asyncio
import contextlib
import json
import re
import sys

DATA = b"x" * 65536  # sent at a time
HEAD_TEMPLATE = (
    b"HTTP/1.1 %s\r\nAcaciafield-Request-Id: %s\r\n"
    b"Acaciafield-Upstream-Signature: s\r\n%s\r\n"
)
DATA_CHUNK = b"%x\r\n%s\r\n" % (len(DATA), DATA)
CHUNKED_HEADER = b"Transfer-Encoding: chunked\r\n"
HUGE_LENGTH_HEADER = b"Content-Length: 1000000000000\r\n"
REQUEST_ID_PATTERN = re.compile(
    rb"Acaciafield-Request-Id: (\S+)", re.IGNORECASE
)

ANSWER_FORMS = {
    "rubbish": lambda request_id: (b"", DATA),
    "line": lambda request_id: (b"HTTP/1.1 200 OK\r\nX-Long: ", DATA),
    "fields": lambda request_id: (b"HTTP/1.1 200 OK\r\n", b"X-A: b\r\n" * 999),
    "large fields": lambda request_id: (
        b"HTTP/1.1 200 OK\r\n",
        b"X-A: %s\r\n" % DATA[:60000],
    ),
    "empty lines": lambda request_id: (b"", b"\r\n" * 32768),
    "interim heads": lambda request_id: (
        b"",
        b"HTTP/1.1 100 Continue\r\n\r\n" * 2600,
    ),
    "early hints": lambda request_id: (
        b"",
        b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" * 1500,
    ),
    "upgrade": lambda request_id: (
        b"HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\n"
        b"Upgrade: x\r\n\r\n",
        DATA,
    ),
    "answers": lambda request_id: (
        b"",
        b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" * 1600,
    ),
    "refusals": lambda request_id: (
        b"",
        HEAD_TEMPLATE
        % (
            b"503 Full",
            request_id,
            b"Acaciafield-Not-Executed: 1\r\nContent-Length: 0\r\n",
        )
        * 400,
    ),
    "chunk size": lambda request_id: (
        HEAD_TEMPLATE % (b"200 OK", request_id, CHUNKED_HEADER),
        b"0" * 65536,
    ),
    "chunk extension": lambda request_id: (
        HEAD_TEMPLATE % (b"200 OK", request_id, CHUNKED_HEADER) + b"5;a=",
        DATA,
    ),
    "small chunks": lambda request_id: (
        HEAD_TEMPLATE % (b"200 OK", request_id, CHUNKED_HEADER),
        b"1\r\nx\r\n" * 10000,
    ),
    "trailers": lambda request_id: (
        HEAD_TEMPLATE % (b"200 OK", request_id, CHUNKED_HEADER) + b"0\r\n",
        b"X-A: b\r\n" * 8000,
    ),
    "length": lambda request_id: (
        HEAD_TEMPLATE % (b"200 OK", request_id, HUGE_LENGTH_HEADER),
        DATA,
    ),
    "chunked": lambda request_id: (
        HEAD_TEMPLATE % (b"200 OK", request_id, CHUNKED_HEADER),
        DATA_CHUNK,
    ),
    "unframed": lambda request_id: (
        HEAD_TEMPLATE % (b"200 OK", request_id, b""),
        DATA,
    ),
    "failure": lambda request_id: (
        HEAD_TEMPLATE % (b"500 Bad", request_id, HUGE_LENGTH_HEADER),
        DATA,
    ),
    "unframed failure": lambda request_id: (
        HEAD_TEMPLATE % (b"500 Bad", request_id, b""),
        DATA,
    ),
}


class EndlessWorker:
    """Sends bytes in one of the ``ANSWER_FORMS`` on each connection.

    ``open_count`` is the number of connections that are still open.
    """

    def __init__(self, form):
        self.make_parts = ANSWER_FORMS[form]
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
            found = REQUEST_ID_PATTERN.search(head)
            first, repeated = self.make_parts(found.group(1) if found else b"")
            writer.write(first)
            while True:
                writer.write(repeated)
                await writer.drain()
                # Yields to the other connections of this worker.
                await asyncio.sleep(0.002)
        except (OSError, asyncio.IncompleteReadError):
            # The caller closed the connection, which ends the answer.
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
        _print_json([worker.address for worker in workers])
        while await loop.run_in_executor(None, sys.stdin.readline):
            _print_json(sum(worker.open_count for worker in workers))


def _print_json(value):
    print(json.dumps(value), flush=True)


if __name__ == "__main__":
    asyncio.run(run_workers(sys.argv[1], int(sys.argv[2])))
