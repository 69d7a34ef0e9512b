"""The listeners, which limit how long clients may take and what they hold."""

import socket

from aiohttp import web
from aiohttp import web_protocol

from acaciafield.gateway import routes

DEFAULT_KEEPALIVE_S = 90.0  # until a configuration sets the idle timeout
IDLE_SLACK_S = 1.0  # past the idle timeout, for data in transit
LINGERING_TIME_S = 2.0  # for reading the rest of a refused body
EMPTY_LINE_BYTES = b"\r\n"
HEAD_END = b"\r\n\r\n"
LARGE_HEAD_ANSWER = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"Connection: close\r\nContent-Length: 0\r\n\r\n"
)
MAX_HEAD_LINE_BYTES = 65536  # of one line or field of a caller's request
CALLER_BUFFER_BYTES = 16384  # of a body that is not read yet
# Of a connection, in the kernel. 65,536 bytes in a round trip of 6 ms are
# 87 Mbit/s, close to the fastest link of a host.
RECEIVE_BUFFER_BYTES = 65536
# Pages need no bodies and short heads. The server closes idle connections
# after the clients of other nodes do, which keep them for 15 s.
PAGE_LIMITS = routes.Limits(16_384, 0, 3.0, 20.0)
PAGE_BUFFER_BYTES = 4096
PAGE_LINGERING_TIME_S = 0.2


class CallerHandler(web_protocol.RequestHandler):
    """One connection of a client.

    ``head_started_at`` is the loop's time at which the first bytes of an
    incomplete request head arrived, or None, and ``head_bytes`` its size so
    far. ``content`` is the body of the last request that was passed to the
    request handler, or None, ``field_count`` the number of its header fields,
    and ``newest_content`` the body of the last request that was read.
    ``changed_at`` is the time at which the connection was opened or its last
    request came or ended. ``last_bytes`` is the size of what was received
    last, ``unsent_bytes`` that of the answer not yet taken, and
    ``untaken_bytes`` with what the kernel holds of it, ``unread_since`` the
    time since which the caller has taken none of it. ``charged_bytes``
    are those in the ledger while ``is_counted``. ``connection`` is the
    transport, which the library's ``transport`` no longer is once it closes
    while the answer still waits to be taken.
    """

    __slots__ = (
        "head_started_at",
        "head_bytes",
        "content",
        "newest_content",
        "field_count",
        "changed_at",
        "last_bytes",
        "unsent_bytes",
        "untaken_bytes",
        "unread_since",
        "charged_bytes",
        "is_counted",
        "connection",
    )

    def __init__(self, manager, **options):
        super().__init__(manager, **options)
        self.head_started_at = None
        self.head_bytes = 0
        self.content = None
        self.newest_content = None
        self.field_count = 0
        self.changed_at = 0.0
        self.last_bytes = 0
        self.unsent_bytes = 0
        self.untaken_bytes = 0
        self.unread_since = None
        self.charged_bytes = 0
        self.is_counted = False
        self.connection = None

    def data_received(self, data):
        """Process received bytes and record whether a head is incomplete.

        The body of a request that was answered early may still arrive, and
        empty lines may precede a head; neither starts one.
        """
        if self._manager is None:
            return
        self.last_bytes = len(data) or self.last_bytes
        request_count = self._request_count
        content = self._find_open_content()
        size_before = content.total_bytes if content is not None else 0
        super().data_received(data)
        if self._messages:
            # The library's tasks take a message some turns of the event loop
            # before a handler has it; its body may arrive in between.
            self.newest_content = self._messages[-1][1]
        if self._request_count != request_count or self._request_in_progress:
            self.head_started_at = None
            self.head_bytes = 0
        elif self.head_started_at is not None:
            self.head_bytes += len(data)
            if self.head_bytes > self._manager.max_head_bytes:
                self._refuse_head()
        elif has_head_start(data, content, size_before):
            self.head_started_at = self._loop.time()
            # Some of the bytes may belong to the body before the head.
            self.head_bytes = 0 if content is not None else len(data)
        if self._manager is not None:
            self._manager.guard.charge(self, self._manager)

    def _refuse_head(self):
        """Answer a head that is too large and close the connection."""
        self._manager.large_heads_refused += 1
        self._manager.guard.report(self._manager, "large-head")
        self.transport.write(LARGE_HEAD_ANSWER)
        self.force_close()

    def _find_open_content(self):
        """Return the request body that is being received, or None."""
        content = self.newest_content
        if content is None or content.is_eof():
            return None
        return content

    def find_read_body(self):
        """Return the body that the request in progress waits for, or None."""
        if not self._request_in_progress or self.content is None:
            return None
        return None if self.content.is_eof() else self.content

    def is_idle(self):
        """Return whether no request is queued, being read or answered."""
        is_waiting = self._waiter is not None and not self._waiter.done()
        return (
            is_waiting and not self._messages and self.head_started_at is None
        )


class CallerServer(web.Server):
    """Accepts the connections of callers.

    ``handler`` answers the requests; ``guard`` is the ConnectionGuard of the
    node; ``limits`` is the routes.Limits in force, or None;
    ``slow_heads_closed`` counts the connections closed because their request
    head took too long, ``large_heads_refused`` those because it was too
    large; ``open_count`` is the number of open connections.
    """

    is_page = False

    def __init__(self, handler, guard, name="caller"):
        super().__init__(self._handle_request, handler_cancellation=True)
        self.handler = handler
        self.guard = guard
        self.name = name
        self.limits = None
        self.slow_heads_closed = 0
        self.large_heads_refused = 0
        self.open_count = 0
        guard.servers.append(self)

    def __call__(self):
        """Return the handler of a new connection."""
        keepalive = DEFAULT_KEEPALIVE_S
        if self.limits is not None:
            keepalive = self.limits.idle_timeout + IDLE_SLACK_S
        return CallerHandler(
            self,
            loop=self._loop,
            keepalive_timeout=keepalive,
            lingering_time=(
                PAGE_LINGERING_TIME_S if self.is_page else LINGERING_TIME_S
            ),
            max_line_size=MAX_HEAD_LINE_BYTES,
            max_field_size=MAX_HEAD_LINE_BYTES,
            max_headers=self.guard.options.limits.max_fields,
            read_bufsize=(
                PAGE_BUFFER_BYTES if self.is_page else CALLER_BUFFER_BYTES
            ),
            access_log=None,
            auto_decompress=False,
        )

    def connection_made(self, handler, transport):
        """Admit a new connection."""
        super().connection_made(handler, transport)
        handler.connection = transport
        sock = transport.get_extra_info("socket")
        if sock is not None:
            # The library receives all that a socket holds at once.
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )
        self.guard.admit(handler, self)

    def connection_lost(self, handler, exc=None):
        """Stop counting a connection."""
        self.guard.discharge(handler, self)
        super().connection_lost(handler, exc)

    async def _handle_request(self, request):
        handler = request.protocol
        handler.content = request.content
        handler.field_count = len(request.raw_headers)
        handler.changed_at = self._loop.time()
        try:
            return await self.handler(request)
        finally:
            handler.field_count = 0
            handler.changed_at = self._loop.time()
            self.guard.charge(handler, self)

    @property
    def max_head_bytes(self):
        """The largest size of an incomplete request head."""
        if self.limits is None:
            return MAX_HEAD_LINE_BYTES
        return self.limits.max_header_bytes

    def abort_connections(self):
        """Reset all connections, so that no answer looks complete."""
        for handler in list(self.connections):
            if handler.connection is not None:
                handler.connection.abort()

    def close_slow_heads(self):
        """Close connections whose request head takes too long."""
        if self.limits is None:
            return
        started_before = self._loop.time() - self.limits.header_timeout
        for handler in list(self.connections):
            started_at = handler.head_started_at
            if started_at is not None and started_at < started_before:
                handler.head_started_at = None
                self.slow_heads_closed += 1
                self.guard.report(self, "slow-head")
                handler.force_close()


class PageServer(CallerServer):
    """Accepts the connections to a page that the node serves itself."""

    is_page = True

    def __init__(self, handler, guard, name):
        super().__init__(handler, guard, name)
        self.limits = PAGE_LIMITS


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
