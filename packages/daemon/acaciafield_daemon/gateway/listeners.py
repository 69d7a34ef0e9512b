"""The listener for callers, which bounds how long they may take."""

import asyncio

from aiohttp import web
from aiohttp import web_protocol

KEEPALIVE = 90.0  # seconds, before a configuration names a time
IDLE_SLACK = 1.0  # seconds past the idle time-out, for what is on its way
LINGERING_TIME = 2.0  # seconds in which the rest of a refused body is read
SWEEP_PERIOD = 0.5  # seconds between looks for slow heads
MOST_HEAD = 65536  # bytes of one line or field of a caller's request


class CallerHandler(web_protocol.RequestHandler):
    """One connection of a caller.

    ``head_since`` is the loop's time at which the first bytes of a head
    came that is not complete yet, or None.
    """

    __slots__ = ("head_since",)

    def __init__(self, manager, **options):
        super().__init__(manager, **options)
        self.head_since = None

    def data_received(self, data):
        """Take in bytes; note whether a head is still incomplete."""
        count = self._request_count
        if self.head_since is None and not self._request_in_progress:
            self.head_since = self._loop.time()
        super().data_received(data)
        if self._request_count != count or self._request_in_progress:
            self.head_since = None

    def is_idle(self):
        """Tell whether no request is read, being read or answered."""
        waits = self._waiter is not None and not self._waiter.done()
        return waits and not self._messages and self.head_since is None


class CallerServer(web.Server):
    """Accepts the connections of callers.

    ``limits`` is the routes.Limits in force, or None; ``closed_heads``
    counts connections closed as their head took too long.
    """

    def __init__(self, handler):
        super().__init__(handler, handler_cancellation=True)
        self.limits = None
        self.closed_heads = 0

    def __call__(self):
        """Return the handler of a new connection."""
        keepalive = KEEPALIVE
        if self.limits is not None:
            keepalive = self.limits.idle_timeout + IDLE_SLACK
        return CallerHandler(
            self,
            loop=self._loop,
            keepalive_timeout=keepalive,
            lingering_time=LINGERING_TIME,
            max_line_size=MOST_HEAD,
            max_field_size=MOST_HEAD,
            access_log=None,
            auto_decompress=False,
        )

    async def sweep(self):
        """Close connections whose head takes too long, until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_PERIOD)
            if self.limits is None:
                continue
            until = self._loop.time() - self.limits.header_timeout
            for handler in list(self.connections):
                since = handler.head_since
                if since is not None and since < until:
                    self.closed_heads += 1
                    handler.force_close()
