"""Hostile clients: each sends one form of attack and reads nothing."""

import asyncio
import contextlib

from bench import soak_fleet

PIECE_BYTES = 65536  # sent at a time
HEAD_END = b"\r\n\r\n"


class Client:
    """A client that sends ``parts`` and reads nothing.

    ``parts`` is an iterable of bytes; a sent part is no longer referenced.
    """

    def __init__(self, address, parts):
        self.address = address
        self.parts = parts
        self.writer = None

    async def send(self):
        """Send all parts, or as much as the node takes."""
        with contextlib.suppress(OSError):
            reader, self.writer = await asyncio.open_connection(
                *self.address, limit=1
            )
            # A limit of one byte pauses reading; so does no reader.
            self.writer.transport.pause_reading()
            for part in self.parts:
                self.writer.write(part)
                await self.writer.drain()

    def close(self):
        """Reset the connection."""
        if self.writer is not None:
            self.writer.transport.abort()


def make_head(path, *fields, method=b"POST"):
    """Return a request head with a host name, an id and further fields."""
    lines = [
        b"%s %s HTTP/1.1" % (method, path),
        b"Host: " + soak_fleet.HOSTNAME.encode(),
        b"Acaciafield-Request-Id: crowd",
        b"Acaciafield-Deadline-Ms: 60000",
        *fields,
    ]
    return b"\r\n".join(lines) + HEAD_END


def iterate_whole_body(path, size):
    """Yield a request whose body lacks its last byte."""
    yield make_head(path, b"Content-Length: %d" % size)
    left = size - 1
    while left:
        yield bytes(min(left, PIECE_BYTES))
        left -= min(left, PIECE_BYTES)


def iterate_completed_body(path, size):
    """Yield a request with a whole body."""
    yield from iterate_whole_body(path, size)
    yield bytes(1)


def iterate_chunked_body(path, size, chunk_bytes):
    """Yield a request with a body in chunks that does not end."""
    yield make_head(path, b"Transfer-Encoding: chunked")
    chunk = b"%x\r\n%s\r\n" % (chunk_bytes, bytes(chunk_bytes))
    count = max(1, PIECE_BYTES // chunk_bytes)
    for _ in range(size // (count * chunk_bytes)):
        yield chunk * count


def iterate_fields(path, count):
    """Yield a request with many short fields and a body that never comes."""
    fields = [b"a%d:b" % number for number in range(count)]
    yield make_head(path, *fields, b"Content-Length: 10")


def iterate_pipelined(path, count, method=b"GET"):
    """Yield many requests one after the other."""
    head = make_head(path, method=method)
    batch = max(1, PIECE_BYTES // len(head))
    for _ in range(count // batch):
        yield head * batch


def iterate_behind(path, size):
    """Yield an order and, behind it, one with a body that stops short."""
    yield make_head(path, b"Content-Length: 2") + b"xx"
    yield from iterate_whole_body(path, size)


def iterate_slow_head(path):
    """Yield a request head without an end."""
    yield b"GET %s HTTP/1.1\r\nHost: x\r\nX-Slow: " % path


def iterate_nothing(path):
    """Yield nothing."""
    yield b""


# The listener, its path and what each of some clients sends, short of a whole
# request to a worker.
ATTACKS = (
    ("front", b"/orders/x", iterate_whole_body, 3_000_000),
    ("front", b"/none", iterate_whole_body, 3_000_000),
    ("front", b"/orders/x", iterate_chunked_body, 3_000_000, 1000),
    ("front", b"/orders/x", iterate_fields, 115),
    ("front", b"/orders/x", iterate_slow_head),
    ("readiness", b"/-/readyz", iterate_whole_body, 300_000),
    ("readiness", b"/-/readyz", iterate_pipelined, 5000),
    ("directory", b"/x", iterate_slow_head),
)
CROWD_COUNT = 40
MEMORY_BYTES = 300_000_000  # of a host without a setting


async def attack_node(soak):
    """Let a crowd attack a node that has no other fault."""
    node = soak.fleet.pick_node()
    if node is None:
        return
    part, path, make_data, *arguments = soak.random.choice(ATTACKS)
    host, port = node.find_address(part).split(":")
    clients = [
        Client((host, int(port)), make_data(path, *arguments))
        for _ in range(CROWD_COUNT)
    ]
    tasks = [asyncio.ensure_future(client.send()) for client in clients]
    with node.reserve():
        try:
            await asyncio.sleep(soak.draw_duration())
            if node.process.poll() is not None:
                soak.record.fallen.append("%s ended" % node.name)
            elif node.read_peak() > MEMORY_BYTES:
                soak.record.fallen.append("%s used too much" % node.name)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            for client in clients:
                client.close()
