"""The listener for callers, which limits how long they may take."""

import asyncio

from aiohttp import web
from aiohttp import web_protocol

DEFAULT_KEEPALIVE_S = 90.0  # until a configuration sets the idle timeout
IDLE_SLACK_S = 1.0  # past the idle timeout, for data in transit
LINGERING_TIME_S = 2.0  # for reading the rest of a refused body
SWEEP_PERIOD_S = 0.5
EMPTY_LINE_BYTES = b"\r\n"
HEAD_END = b"\r\n\r\n"
LARGE_HEAD_ANSWER = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"Connection: close\r\nContent-Length: 0\r\n\r\n"
)
MAX_HEAD_LINE_BYTES = 65536  # of one line or field of a caller's request


class CallerHandler(web_protocol.RequestHandler):
    """One connection of a caller.

    ``head_started_at`` is the loop's time at which the first bytes of an
    incomplete request head arrived, or None, and ``head_bytes`` its size so
    far. ``content`` is the body of the last request that was passed to the
    request handler, or None.
    """

    __slots__ = ("head_started_at", "head_bytes", "content")

    def __init__(self, manager, **options):
        super().__init__(manager, **options)
        self.head_started_at = None
        self.head_bytes = 0
        self.content = None

    def data_received(self, data):
        """Process received bytes and record whether a head is incomplete.

        The body of a request that was answered early may still arrive, and
        empty lines may precede a head; neither starts one.
        """
        request_count = self._request_count
        content = self._find_open_content()
        size_before = content.total_bytes if content is not None else 0
        super().data_received(data)
        if self._request_count != request_count or self._request_in_progress:
            self.head_started_at = None
        elif self.head_started_at is not None:
            self.head_bytes += len(data)
            if self.head_bytes > self._manager.max_head_bytes:
                self._refuse_head()
        elif has_head_start(data, content, size_before):
            self.head_started_at = self._loop.time()
            # Some of the bytes may belong to the body before the head.
            self.head_bytes = 0 if content is not None else len(data)

    def _refuse_head(self):
        """Answer a head that is too large and close the connection."""
        self._manager.large_heads_refused += 1
        self.transport.write(LARGE_HEAD_ANSWER)
        self.force_close()

    def _find_open_content(self):
        """Return the request body that is being received, or None."""
        content = self._messages[-1][1] if self._messages else self.content
        if content is None or content.is_eof():
            return None
        return content

    def is_idle(self):
        """Return whether no request is queued, being read or answered."""
        is_waiting = self._waiter is not None and not self._waiter.done()
        return (
            is_waiting and not self._messages and self.head_started_at is None
        )


class CallerServer(web.Server):
    """Accepts the connections of callers.

    ``handler`` answers the requests; ``limits`` is the routes.Limits in
    force, or None; ``slow_heads_closed`` counts the connections closed
    because their request head took too long, ``large_heads_refused`` those
    because it was too large.
    """

    def __init__(self, handler):
        super().__init__(self._handle_request, handler_cancellation=True)
        self.handler = handler
        self.limits = None
        self.slow_heads_closed = 0
        self.large_heads_refused = 0

    def __call__(self):
        """Return the handler of a new connection."""
        keepalive = DEFAULT_KEEPALIVE_S
        if self.limits is not None:
            keepalive = self.limits.idle_timeout + IDLE_SLACK_S
        return CallerHandler(
            self,
            loop=self._loop,
            keepalive_timeout=keepalive,
            lingering_time=LINGERING_TIME_S,
            max_line_size=MAX_HEAD_LINE_BYTES,
            max_field_size=MAX_HEAD_LINE_BYTES,
            access_log=None,
            auto_decompress=False,
        )

    async def _handle_request(self, request):
        request.protocol.content = request.content
        return await self.handler(request)

    @property
    def max_head_bytes(self):
        """The largest size of an incomplete request head."""
        if self.limits is None:
            return MAX_HEAD_LINE_BYTES
        return self.limits.max_header_bytes

    def abort_connections(self):
        """Reset all connections, so that no answer looks complete."""
        for handler in list(self.connections):
            if handler.transport is not None:
                handler.transport.abort()

    async def close_slow_connections(self):
        """Close connections whose request head takes too long, in a loop."""
        while True:
            await asyncio.sleep(SWEEP_PERIOD_S)
            if self.limits is None:
                continue
            started_before = self._loop.time() - self.limits.header_timeout
            for handler in list(self.connections):
                started_at = handler.head_started_at
                if started_at is not None and started_at < started_before:
                    self.slow_heads_closed += 1
                    handler.force_close()


def has_head_start(data, content, size_before):
    """Return whether received bytes end with the start of a request head.

    ``content`` is the aiohttp.StreamReader of the body that they continue, or
    None, and ``size_before`` the size of that body before they came.
    """
    if content is not None:
        if not content.is_eof():
            return False
        body_size = content.total_bytes - size_before
        # The last chunk of a body ends like a complete head.
        if data.endswith(HEAD_END) or body_size >= len(data):
            return False
    return bool(data.strip(EMPTY_LINE_BYTES))
