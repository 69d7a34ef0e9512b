"""A request body in memory, shared by the request and its attempts."""

import functools

from aiohttp import payload

BLOCK_BYTES = 65536  # smaller chunks are copied together up to this size
# A larger body is written to a worker piece by piece, so that the connection
# holds no second copy of it.
MAX_WHOLE_BYTES = 65536
WRITTEN_BYTES = 65536  # of a larger body at a time


class HeldBody:
    """The blocks of a body, its size and the fingerprint so far.

    ``digest`` is a hash object that has read what precedes the body; it
    reads each chunk, so that no long body is hashed in one turn.
    """

    __slots__ = ("blocks", "size", "digest")

    def __init__(self, digest):
        self.blocks = []
        self.size = 0
        self.digest = digest

    def __len__(self):
        return self.size

    def append(self, chunk):
        """Add a chunk to the end of the body.

        Short chunks share a block, as each object needs memory of its own.
        """
        self.size += len(chunk)
        self.digest.update(chunk)
        if len(chunk) >= BLOCK_BYTES // 2:
            self.blocks.append(chunk)
            return
        last = self.blocks[-1] if self.blocks else None
        if type(last) is bytearray and len(last) + len(chunk) <= BLOCK_BYTES:
            last += chunk
        else:
            self.blocks.append(bytearray(chunk))

    def clear(self):
        """Drop the content of the body."""
        self.blocks = []
        self.size = 0


class HeldBodyPayload(payload.Payload):
    """Writes a HeldBody to a worker, as fast as the worker reads it."""

    _default_content_type = "application/octet-stream"

    def __init__(self, body):
        super().__init__(body)
        self._size = body.size

    def decode(self, encoding="utf-8", errors="strict"):
        """Return the body as text."""
        return b"".join(self._value.blocks).decode(encoding, errors)

    async def write(self, writer):
        """Write the body; each write waits for the connection to drain."""
        for block in self._value.blocks:
            view = memoryview(block)
            for start in range(0, len(view), WRITTEN_BYTES):
                await writer.write(view[start : start + WRITTEN_BYTES])


@functools.singledispatch
def make_data(body):
    """Return what the HTTP client sends as the body, None if it is empty."""
    return body or None


@make_data.register
def _make_data_of_held_body(body: HeldBody):
    if body.size <= MAX_WHOLE_BYTES:
        return b"".join(body.blocks) or None
    return HeldBodyPayload(body)
