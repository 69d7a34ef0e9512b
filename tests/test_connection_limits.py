"""Tests of the bounds on connections, at a listener with one client."""

import asyncio
import contextlib
import socket

from aiohttp import web
import uvloop

from acaciafield.gateway import routes
from acaciafield_daemon.gateway import connection_limits
from acaciafield_daemon.gateway import decision_log
from acaciafield_daemon.gateway import listeners
from acaciafield_daemon.gateway import memory_ledger
from acaciafield_daemon.gateway import metrics
from acaciafield_daemon.gateway import settings
from tests import test_gateway_node

HOST_BYTES = 200_000_000
SMALL_BUFFER_BYTES = 4096  # of a socket
# More than both sockets hold, less than what suspends the request handler.
HELD_ANSWER_BYTES = 60_000
LARGE_ANSWER_BYTES = 12_000_000
REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
READ_STALL_S = 0.8
HEADER_TIMEOUT_S = 0.3
IDLE_TIMEOUT_S = 15.0


@contextlib.asynccontextmanager
async def open_listener(
    answer_bytes, send_buffer_bytes=None, request_bytes=REQUEST
):
    """Open a listener; yield it with a client's socket."""
    loop = asyncio.get_running_loop()

    async def answer(request):
        if send_buffer_bytes is not None:
            request.transport.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, send_buffer_bytes
            )
        await request.read()
        return web.Response(body=bytes(answer_bytes))

    guard = connection_limits.ConnectionGuard(
        test_gateway_node.make_options(
            limits=settings.GatewaySettings(read_stall=READ_STALL_S)
        ),
        loop.time,
        decision_log.DecisionLog("n1", loop.time),
        metrics.Metrics(),
        memory_ledger.MemoryLedger(HOST_BYTES),
    )
    server = listeners.CallerServer(answer, guard)
    server.limits = routes.Limits(
        16_384, 1000, HEADER_TIMEOUT_S, IDLE_TIMEOUT_S
    )
    listener = await loop.create_server(server, "127.0.0.1", 0)
    sweep = asyncio.ensure_future(guard.sweep())
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    client.setblocking(False)
    try:
        await loop.sock_connect(client, listener.sockets[0].getsockname())
        await loop.sock_sendall(client, request_bytes)
        yield server, client
    finally:
        client.close()
        sweep.cancel()
        listener.close()
        await server.shutdown()


def test_connection_closed_with_an_unread_answer_ends():
    # Guards against a connection that was closed for its slow head and stays
    # open for as long as its client reads nothing, which no bound ends.
    async def run():
        loop = asyncio.get_running_loop()
        async with open_listener(HELD_ANSWER_BYTES, SMALL_BUFFER_BYTES) as (
            server,
            client,
        ):
            await asyncio.sleep(0.2)
            await loop.sock_sendall(client, b"GET / HT")
            await asyncio.sleep(HEADER_TIMEOUT_S + READ_STALL_S + 1.5)
            assert server.slow_heads_closed == 1
            assert server.connections == []
            assert server.open_count == 0
            assert server.guard.ledger.held_bytes == 0

    uvloop.run(run())


def test_answer_that_is_read_slowly_is_not_cut():
    # Guards against a caller who counts as stalled while the kernel still
    # sends what it has buffered, as the process then writes nothing.
    async def run():
        loop = asyncio.get_running_loop()
        async with open_listener(LARGE_ANSWER_BYTES) as (server, client):
            for _ in range(40):
                assert await loop.sock_recv(client, SMALL_BUFFER_BYTES)
                await asyncio.sleep(0.05)
            assert server.open_count == 1

    uvloop.run(run())


def test_pause_in_a_short_body_is_served_within_the_idle_timeout():
    # Guards against the least rate of bodies, which a short body misses after
    # any pause, taking the place of the idle timeout.
    async def run():
        loop = asyncio.get_running_loop()
        head = REQUEST.replace(b"\r\n\r\n", b"\r\nContent-Length: 10\r\n\r\n")
        async with open_listener(2, request_bytes=head + b"01234") as (
            server,
            client,
        ):
            await asyncio.sleep(0.1)
            pause = 0.9 * IDLE_TIMEOUT_S
            server.guard.clock = lambda: loop.time() + pause
            await asyncio.sleep(2 * connection_limits.SWEEP_PERIOD_S)
            await loop.sock_sendall(client, b"56789")
            answer = await loop.sock_recv(client, SMALL_BUFFER_BYTES)
            assert answer.startswith(b"HTTP/1.1 200 ")

    asyncio.run(run())


def test_body_slower_than_the_least_rate_is_closed():
    async def run():
        loop = asyncio.get_running_loop()
        head = REQUEST.replace(b"\r\n\r\n", b"\r\nContent-Length: 10\r\n\r\n")
        async with open_listener(2, request_bytes=head + b"01234") as (
            server,
            _,
        ):
            await asyncio.sleep(0.1)
            server.guard.clock = lambda: loop.time() + IDLE_TIMEOUT_S + 1.0
            await asyncio.sleep(2 * connection_limits.SWEEP_PERIOD_S)
            assert server.connections == []

    asyncio.run(run())
