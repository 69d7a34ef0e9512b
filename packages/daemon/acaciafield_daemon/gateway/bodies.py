"""Request bodies of callers, held in memory while a request is served.

The gateway holds each body whole, so that it can send it to a second
worker. The total size is bounded because hosts have little memory.
"""

import asyncio

from aiohttp import hdrs

from acaciafield import structs
from acaciafield_daemon.gateway import calls
from acaciafield_daemon.gateway import held_bodies

STATUS_TOO_LARGE = 413
STATUS_TIMEOUT = 408
STATUS_NO_ROOM = 503


class BodyRefusal(structs.Struct):
    """A body that was not read whole; ``status`` is the HTTP status for it."""

    __slots__ = ("status",)


class BodyReader:
    """Reads bodies within the memory_ledger.MemoryLedger of the node.

    ``held_bytes`` counts the bytes of all bodies that are not released.
    """

    __slots__ = ("ledger", "held_bytes", "clock")

    def __init__(self, ledger, clock):
        self.ledger = ledger
        self.held_bytes = 0
        self.clock = clock

    @property
    def max_bytes(self):
        """The bytes up to which large bodies fill the ledger."""
        return self.ledger.max_large_bytes

    async def read(self, request, limits, deadline):
        """Return a request's HeldBody, or a BodyRefusal.

        ``limits`` is the configuration's routes.Limits; ``deadline`` is a
        time of the process's clock, in seconds. The caller of this method
        must release the body.
        """
        body = held_bodies.HeldBody(calls.start_fingerprint(request))
        if not request.body_exists:
            return body
        announced_bytes = _parse_content_length(request)
        if announced_bytes > limits.max_body_bytes:
            return BodyRefusal(STATUS_TOO_LARGE)
        if not self._reserve(announced_bytes, announced_bytes):
            return BodyRefusal(STATUS_NO_ROOM)
        result = None
        try:
            result = await self._read_chunks(
                request, body, announced_bytes, limits, deadline
            )
        finally:
            kept_bytes = len(body) if result is body else 0
            self._release(max(announced_bytes, len(body)) - kept_bytes)
            if result is not body:
                body.clear()
        return result

    async def _read_chunks(
        self, request, body, announced_bytes, limits, deadline
    ):
        """Read chunks into ``body`` and return it, or a BodyRefusal.

        The ledger already includes ``announced_bytes``.
        """
        content = request.content
        while True:
            timeout = min(deadline - self.clock(), limits.idle_timeout)
            try:
                async with asyncio.timeout(max(0.0, timeout)):
                    chunk = await content.readany()
            except TimeoutError:
                return BodyRefusal(STATUS_TIMEOUT)
            if not chunk:
                return body
            size = len(body) + len(chunk)
            if size > limits.max_body_bytes:
                return BodyRefusal(STATUS_TOO_LARGE)
            extra_bytes = max(0, size - max(announced_bytes, len(body)))
            if extra_bytes and not self._reserve(extra_bytes, size):
                return BodyRefusal(STATUS_NO_ROOM)
            body.append(chunk)

    def release(self, body):
        """Release the memory that a body counts for."""
        self._release(len(body))
        body.clear()

    def _reserve(self, count, total):
        """Reserve memory for a body of ``total`` bytes."""
        is_reserved = self.ledger.reserve(count, total, self.held_bytes)
        if is_reserved:
            self.held_bytes += count
        return is_reserved

    def _release(self, count):
        self.held_bytes -= count
        self.ledger.release(count)


def _parse_content_length(request):
    """Return the Content-Length in bytes, or 0 without a valid one."""
    text = request.headers.get(hdrs.CONTENT_LENGTH, "")
    return int(text) if text.isascii() and text.isdigit() else 0
