"""Bounds on the connections of all listeners, and who is closed first.

Idle connections are closed first, then those that send or read slowly; one
whose request is at a worker is never closed to make room.
"""

import asyncio
import fcntl
import struct
import termios

from aiohttp import streams

SWEEP_PERIOD_S = 0.5
NEW_CONNECTION_S = 1.0  # for which a connection does not count as idle
UNREAD_S = 5.0  # without a byte taken, after which a reader counts as slow
EVICTED_SHARE = 1 / 32  # of a listener's connections, closed at a time
MAX_MEMORY_SHARE = 1 / 8  # of the ledger, for the objects of connections
MIN_CONNECTIONS = 16
# Measured: 900 connections that send nothing, and 900 requests of 115 fields.
CONNECTION_BYTES = 6000
FIELD_BYTES = 300
COUNT = struct.Struct("i")  # that the kernel returns


class ConnectionGuard:
    """Admits, charges and closes the connections of a node's listeners.

    ``options`` is the options.Options, ``ledger`` the MemoryLedger.
    """

    __slots__ = (
        "options",
        "clock",
        "log",
        "metrics",
        "ledger",
        "servers",
        "_logged_at",
    )

    def __init__(self, options, clock, log, metrics, ledger):
        self.options = options
        self.clock = clock
        self.log = log
        self.metrics = metrics
        self.ledger = ledger
        self.servers = []
        self._logged_at = {}

    def find_max_connections(self, server):
        """Return the number of connections that a listener may have."""
        limits = self.options.limits
        usable = self.options.max_descriptors - limits.reserved_descriptors
        share = (
            limits.page_connection_share
            if server.is_page
            else limits.caller_connection_share
        )
        count = min(
            share * usable,
            MAX_MEMORY_SHARE * self.ledger.max_bytes / CONNECTION_BYTES,
        )
        return max(MIN_CONNECTIONS, int(count))

    def admit(self, handler, server):
        """Count a new connection; close others, or it, if it is too many."""
        handler.is_counted = True
        handler.changed_at = self.clock()
        server.open_count += 1
        if server.open_count > self.find_max_connections(server):
            self._evict(server, handler, "connections")
        if handler.is_counted:
            self.charge(handler, server)

    def charge(self, handler, server):
        """Adjust the ledger to what a connection holds.

        Without room, other connections are closed, or else this one.
        """
        if not handler.is_counted:
            return
        held = measure_held(handler)
        extra = held - handler.charged_bytes
        if extra <= 0:
            self.ledger.release(-extra)
        elif not self.ledger.reserve(extra, held):
            self._evict(server, handler, "memory")
            if not handler.is_counted:
                return
            if not self.ledger.reserve(extra, held):
                self.close(handler, server, "memory")
                return
        handler.charged_bytes = held

    def discharge(self, handler, server):
        """Stop counting a connection that has ended or will."""
        if not handler.is_counted:
            return
        handler.is_counted = False
        server.open_count -= 1
        self.ledger.release(handler.charged_bytes)
        handler.charged_bytes = 0

    def close(self, handler, server, cause):
        """Reset a connection, count it and log the cause once a second."""
        self.discharge(handler, server)
        drop_received(handler)
        if handler.connection is not None:
            handler.connection.abort()
        self.report(server, cause)

    def report(self, server, cause):
        """Count a closed connection and log its cause once a second."""
        self.metrics.count(
            "connections_closed", listener=server.name, cause=cause
        )
        second = int(self.clock())
        if self._logged_at.get((server.name, cause)) != second:
            self._logged_at[server.name, cause] = second
            self.log.write(
                "connection-closed",
                listener=server.name,
                cause=cause,
                open=server.open_count,
                held=self.ledger.held_bytes,
            )

    def _evict(self, server, newcomer, cause):
        """Close the connections of a listener that are worth the least.

        Several are closed at a time, so that a flood of connections does
        not cost a sort each. The newcomer is closed if all others have a
        request at a worker.
        """
        now = self.clock()
        ranked = []
        for handler in server.connections:
            if handler is newcomer or not handler.is_counted:
                continue
            rank = rank_connection(handler, now)
            if rank is not None:
                ranked.append((rank, id(handler), handler))
        ranked.sort()
        count = max(1, int(EVICTED_SHARE * server.open_count))
        for _, _, handler in ranked[:count]:
            self.close(handler, server, cause)
        if not ranked:
            self.close(newcomer, server, cause)

    async def sweep(self):
        """Close connections that are too slow, in a loop."""
        while True:
            await asyncio.sleep(SWEEP_PERIOD_S)
            for server in self.servers:
                server.close_slow_heads()
                for handler in server.connections:
                    if handler.is_counted:
                        self._check_rates(handler, server)

    def _check_rates(self, handler, server):
        """Close a connection whose body or answer moves too slowly."""
        if handler.connection is None:
            return
        now = self.clock()
        limits = self.options.limits
        unsent_bytes = handler.connection.get_write_buffer_size()
        untaken_bytes = 0
        if unsent_bytes:
            untaken_bytes = unsent_bytes + measure_unacknowledged(handler)
        has_progress = untaken_bytes != handler.untaken_bytes
        handler.untaken_bytes = untaken_bytes
        if not unsent_bytes:
            handler.unread_since = None
        elif handler.unread_since is None or has_progress:
            handler.unread_since = now
        elif now - handler.unread_since > limits.read_stall:
            self.close(handler, server, "unread-answer")
            return
        if unsent_bytes != handler.unsent_bytes:
            handler.unsent_bytes = unsent_bytes
            self.charge(handler, server)
        content = handler.find_read_body()
        if content is None:
            return
        elapsed = now - handler.changed_at
        grace = limits.body_rate_grace
        if server.limits is not None:
            # A caller may pause in a short body for the idle timeout.
            grace = max(grace, server.limits.idle_timeout)
        if (
            elapsed > grace
            and content.total_bytes < limits.min_body_rate * elapsed
        ):
            self.close(handler, server, "slow-body")


def measure_held(handler):
    """Return the bytes that a connection holds, as far as they are known."""
    held = handler.head_bytes + handler.unsent_bytes
    held += FIELD_BYTES * handler.field_count
    for message, content in handler._messages:
        held += FIELD_BYTES * len(getattr(message, "raw_headers", ()))
        held += measure_unread(content)
    held += measure_unread(handler.content)
    if handler._reading_paused or handler._buffer_paused:
        # The parser may hold all of what was last received.
        held += handler.last_bytes
    return held


def measure_unacknowledged(handler):
    """Return the bytes in the kernel that the client has not acknowledged.

    The kernel takes more bytes only when a third of its buffer is free, which
    a slow link needs longer for than a stalled client is given.
    """
    sock = handler.connection.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return 0
    data = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(COUNT.size))
    return COUNT.unpack(data)[0]


def drop_received(handler):
    """Free what a connection has received.

    The library would free it some turns of the event loop later, during
    which many other connections may receive as much.
    """
    handler._force_close = True
    handler._parser = None
    contents = [content for _, content in handler._messages]
    for content in (*contents, handler.content):
        if measure_unread(content):
            content._buffer.clear()
            content._buffer_offset = content._size = 0


def measure_unread(content):
    """Return the bytes of a body that were received and not yet read."""
    if content is None or isinstance(content, streams.EmptyStreamReader):
        return 0
    return content._size


def rank_connection(handler, now):
    """Return the order in which to close connections, None for never.

    Lower ranks are closed first.
    """
    if handler._request_in_progress:
        content = handler.find_read_body()
        elapsed = now - handler.changed_at
        if content is not None and elapsed > NEW_CONNECTION_S:
            return (2, content.total_bytes / elapsed)
        unread_since = handler.unread_since
        if unread_since is not None and now - unread_since > UNREAD_S:
            return (2, 0.0)
        return None
    is_new = now - handler.changed_at < NEW_CONNECTION_S
    if handler.is_idle() and not is_new:
        return (0, handler.changed_at)
    return (1, handler.changed_at)
