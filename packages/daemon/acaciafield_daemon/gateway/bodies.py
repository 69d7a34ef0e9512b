"""Bodies of callers' requests, held while the requests are served.

All of a body is held, so that it can be sent to a second worker; what
is held together is bounded, as hosts are small.
"""

import asyncio

from aiohttp import hdrs

from acaciafield import structs

TOO_LARGE = 413
TOO_SLOW = 408
NO_ROOM = 503


class Refusal(structs.Struct):
    """A body that was not taken; ``status`` is what the caller is told."""

    __slots__ = ("status",)


class Bodies:
    """Takes in bodies; ``most`` and ``held`` are in bytes."""

    __slots__ = ("most", "held", "clock")

    def __init__(self, most, clock):
        self.most = most
        self.held = 0
        self.clock = clock

    async def read(self, request, limits, until):
        """Return the whole body of a request, or a Refusal.

        ``limits`` is the configuration's routes.Limits and ``until`` a
        time of the process's clock. What was taken must be released.
        """
        if not request.body_exists:
            return b""
        announced = _read_length(request)
        if announced > limits.body_size:
            return Refusal(TOO_LARGE)
        if self.held + announced > self.most:
            return Refusal(NO_ROOM)
        self.held += announced
        body, taken = bytearray(), None
        try:
            taken = await self._fill(request, body, announced, limits, until)
        finally:
            kept = len(body) if taken is body else 0
            self.held -= max(announced, len(body)) - kept
        return taken

    async def _fill(self, request, body, announced, limits, until):
        """Read into ``body`` and return it, or a Refusal.

        Room for the ``announced`` bytes is taken already.
        """
        content = request.content
        while True:
            wait = min(until - self.clock(), limits.idle_timeout)
            try:
                async with asyncio.timeout(max(0.0, wait)):
                    part = await content.readany()
            except TimeoutError:
                return Refusal(TOO_SLOW)
            if not part:
                return body
            size = len(body) + len(part)
            if size > limits.body_size:
                return Refusal(TOO_LARGE)
            extra = max(0, size - max(announced, len(body)))
            if extra and self.held + extra > self.most:
                return Refusal(NO_ROOM)
            self.held += extra
            body += part

    def release(self, body):
        """Give back the room of a body that is of no use any longer."""
        self.held -= len(body)


def _read_length(request):
    """Return the announced length in bytes, 0 where there is none."""
    text = request.headers.get(hdrs.CONTENT_LENGTH, "")
    return int(text) if text.isascii() and text.isdigit() else 0
