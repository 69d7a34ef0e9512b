"""Reading a worker's answer ahead of a caller that takes it slowly.

A worker aborts an answer that stays unread for some seconds.
"""

import asyncio
import collections
import contextlib

MAX_SHARE = 0.25  # of the ledger, for the bytes read ahead of all callers


class ReadAhead:
    """The part of an answer that was read and not yet taken.

    ``content`` is the aiohttp.StreamReader of the answer, ``client`` the
    upstream.WorkerClient whose ledger the bytes count in.
    """

    __slots__ = ("content", "client", "chunks", "size", "changed", "error")

    def __init__(self, content, client):
        self.content = content
        self.client = client
        self.chunks = collections.deque()
        self.size = 0
        self.changed = asyncio.Event()
        self.error = None

    @contextlib.asynccontextmanager
    async def open(self):
        """Read in the background during the block."""
        task = asyncio.ensure_future(self._read())
        try:
            yield self
        finally:
            task.cancel()
            self._release(self.size)
            self.chunks.clear()

    async def iterate(self):
        """Yield the chunks; raise the error that ended the answer early."""
        while True:
            while not self.chunks:
                if self.error is not None:
                    raise self.error
                self.changed.clear()
                await self.changed.wait()
            chunk = self.chunks.popleft()
            if not chunk:
                return
            self._release(len(chunk))
            self.changed.set()
            yield chunk

    async def _read(self):
        """Read while there is room; one chunk needs none."""
        chunk = b"x"
        while chunk:
            try:
                chunk = await self.content.readany()
            except Exception as error:  # raised again by iterate
                self.error = error
                self.changed.set()
                return
            self.size += len(chunk)
            self.client.read_ahead_bytes += len(chunk)
            has_room = self.client.ledger.hold(len(chunk))
            self.chunks.append(chunk)
            self.changed.set()
            while not has_room or self._is_full():
                if not self.chunks:
                    break
                self.changed.clear()
                await self.changed.wait()
                has_room = self.client.ledger.hold(0)

    def _is_full(self):
        max_bytes = MAX_SHARE * self.client.ledger.max_bytes
        return self.client.read_ahead_bytes > max_bytes

    def _release(self, count):
        self.size -= count
        self.client.read_ahead_bytes -= count
        self.client.ledger.release(count)
