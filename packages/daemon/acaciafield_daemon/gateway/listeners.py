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
MAX_HEAD_LINE_BYTES = 65536  # of one line or field of a caller's request


class CallerHandler(web_protocol.RequestHandler):
    """One connection of a caller.

    ``head_started_at`` is the loop's time at which the first bytes of an
    incomplete request head arrived, or None. ``content`` is the body of the
    last request that was passed to the request handler, or None.
    """

    __slots__ = ("head_started_at", "content")

    def __init__(self, manager, **options):
        super().__init__(manager, **options)
        self.head_started_at = None
        self.content = None

    def data_received(self, data):
        """Process received bytes and record whether a head is incomplete.

        The body of a request that was answered early may still arrive, and
        empty lines may precede a head; neither starts one.
        """
        request_count = self._request_count
        was_in_progress = self._request_in_progress
        content = self._find_open_content()
        size_before = content.total_bytes if content is not None else 0
        super().data_received(data)
        if self._request_count != request_count or self._request_in_progress:
            self.head_started_at = None
            return
        if was_in_progress or self.head_started_at is not None:
            return
        if content is not None:
            if not content.is_eof():
                return
            body_size = content.total_bytes - size_before
            # A body in chunks ends like a complete head.
            if data.endswith(HEAD_END) or body_size >= len(data):
                return
        if data.strip(EMPTY_LINE_BYTES):
            self.head_started_at = self._loop.time()

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
    because their request head took too long.
    """

    def __init__(self, handler):
        super().__init__(self._handle_request, handler_cancellation=True)
        self.handler = handler
        self.limits = None
        self.slow_heads_closed = 0

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
