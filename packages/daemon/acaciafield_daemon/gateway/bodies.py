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
        reserved = announced
        self.held += announced
        body = bytearray()
        result = None
        try:
            result = await self._fill(request, body, reserved, limits, until)
        finally:
            if not isinstance(result, bytearray):
                self.held -= max(reserved, len(body))
            else:
                self.held -= max(reserved, len(body)) - len(body)
        return result

    async def _fill(self, request, body, reserved, limits, until):
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
            extra = len(body) + len(part) - max(reserved, len(body))
            if len(body) + len(part) > limits.body_size:
                return Refusal(TOO_LARGE)
            if extra > 0 and self.held + extra > self.most:
                return Refusal(NO_ROOM)
            self.held += max(0, extra)
            body += part

    def release(self, body):
        """Give back the room of a body that is of no use any longer."""
        self.held -= len(body)


def _read_length(request):
    """Return the announced length in bytes, 0 where there is none."""
    text = request.headers.get(hdrs.CONTENT_LENGTH, "")
    return int(text) if text.isascii() and text.isdigit() else 0
