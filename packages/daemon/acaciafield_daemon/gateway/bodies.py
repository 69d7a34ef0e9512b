"""Request bodies of callers, held in memory while a request is served.

The gateway holds each body whole, so that it can send it to a second
worker. The total size is bounded because hosts have little memory.
"""

import asyncio

from aiohttp import hdrs

from acaciafield import structs

STATUS_TOO_LARGE = 413
STATUS_TIMEOUT = 408
STATUS_NO_ROOM = 503


class BodyRefusal(structs.Struct):
    """A body that was not read whole; ``status`` is the HTTP status for it."""

    __slots__ = ("status",)


class BodyReader:
    """Reads bodies within a memory limit for the whole node."""

    __slots__ = ("max_bytes", "held_bytes", "clock")

    def __init__(self, max_bytes, clock):
        self.max_bytes = max_bytes
        self.held_bytes = 0
        self.clock = clock

    async def read(self, request, limits, deadline):
        """Return the whole body of a request, or a BodyRefusal.

        ``limits`` is the configuration's routes.Limits; ``deadline`` is a
        time of the process's clock, in seconds. The caller of this method
        must release the body.
        """
        if not request.body_exists:
            return b""
        announced_bytes = _parse_content_length(request)
        if announced_bytes > limits.max_body_bytes:
            return BodyRefusal(STATUS_TOO_LARGE)
        if self.held_bytes + announced_bytes > self.max_bytes:
            return BodyRefusal(STATUS_NO_ROOM)
        self.held_bytes += announced_bytes
        body, result = bytearray(), None
        try:
            result = await self._read_chunks(
                request, body, announced_bytes, limits, deadline
            )
        finally:
            kept_bytes = len(body) if result is body else 0
            self.held_bytes -= max(announced_bytes, len(body)) - kept_bytes
        return result

    async def _read_chunks(
        self, request, body, announced_bytes, limits, deadline
    ):
        """Read chunks into ``body`` and return it, or a BodyRefusal.

        ``held_bytes`` already includes ``announced_bytes``.
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
            if extra_bytes and self.held_bytes + extra_bytes > self.max_bytes:
                return BodyRefusal(STATUS_NO_ROOM)
            self.held_bytes += extra_bytes
            body += chunk

    def release(self, body):
        """Release the memory that a body counts for."""
        self.held_bytes -= len(body)


def _parse_content_length(request):
    """Return the Content-Length in bytes, or 0 without a valid one."""
    text = request.headers.get(hdrs.CONTENT_LENGTH, "")
    return int(text) if text.isascii() and text.isdigit() else 0
