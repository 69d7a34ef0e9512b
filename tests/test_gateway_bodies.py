"""Bodies of callers and answers of workers that are large, slow or cut."""

import asyncio
import contextlib

import aiohttp
from aiohttp import web
import pytest

from acaciafield.gateway import placing
from tests import test_gateway_node
from tests import test_platform

LARGE = b"0123456789abcdef" * 524_288  # 8 MiB, more than is held back
LIMITS = {
    "maxBodyBytes": 67_108_864,
    "headerTimeoutMs": 400,
    "idleTimeoutMs": 1000,
}
WAIT = 4.0  # seconds, longer than any limit here


def play(steps, **fields):
    """Run steps against a node with short limits."""
    test_gateway_node.play(
        steps,
        options=test_gateway_node.make_options(**fields),
        configuration=test_platform.CONFIGURATION | {"limits": LIMITS},
    )


@contextlib.asynccontextmanager
async def connect(rig, data):
    """Open a connection of a caller that has sent ``data``."""
    port = rig.node.options.front_port
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    try:
        async with asyncio.timeout(WAIT):
            yield reader, writer
    finally:
        writer.close()


def make_head(length, more=b""):
    """Return the head of an order whose body has a length."""
    return (
        b"POST /a/x HTTP/1.1\r\nHost: a.example\r\n"
        b"Acaciafield-Request-Id: slow\r\nAcaciafield-Deadline-Ms: 1500\r\n"
        b"Content-Length: %d\r\n\r\n%s" % (length, more)
    )


@pytest.mark.parametrize("data", [b"POST /a/x HT", b"GET / HTTP/1.1\r\nA"])
def test_head_that_does_not_end_is_cut_off(data):
    async def steps(rig):
        async with connect(rig, data) as (reader, _):
            assert await reader.read() == b""
        assert rig.node._caller_server.slow_heads_closed == 1

    play(steps)


def test_caller_that_says_nothing_is_closed():
    async def steps(rig):
        async with connect(rig, b"") as (reader, _):
            assert await reader.read() == b""

    play(steps)


def test_body_that_stops_coming_is_refused_and_not_run():
    async def steps(rig):
        async with connect(rig, make_head(1000, b"x" * 10)) as (reader, _):
            answer = await reader.readuntil(b"\r\n\r\n")
        assert answer.startswith(b"HTTP/1.1 408")
        assert rig.seen == []
        assert rig.node.request_server.body_reader.held_bytes == 0

    play(steps)


def test_body_that_comes_drop_by_drop_ends_at_the_deadline():
    async def steps(rig):
        async with connect(rig, make_head(1000)) as (reader, writer):
            answer = asyncio.ensure_future(reader.readuntil(b"\r\n\r\n"))
            while not answer.done():
                writer.write(b"x")
                await asyncio.sleep(0.1)
            assert answer.result().startswith(b"HTTP/1.1 408")
        assert rig.seen == []

    play(steps)


def test_body_without_room_is_refused_before_it_is_read():
    async def steps(rig):
        room = rig.node.request_server.body_reader.max_bytes
        held = make_head(room - 100, b"x")
        async with connect(rig, held):
            while not rig.node.request_server.body_reader.held_bytes:
                await asyncio.sleep(0.01)
            status, headers, _ = await rig.call(
                "POST", "/a/x", "a.example", data=b"y" * 200
            )
            assert status == 503
            assert float(headers["Retry-After"]) > 0.0
            status, _, _ = await rig.call(
                "POST", "/a/x", "a.example", data=b"small"
            )
            assert status == 200
        while rig.node.request_server.body_reader.held_bytes:
            await asyncio.sleep(0.01)

    play(steps, memory=100_000)


def test_body_of_unknown_length_takes_no_more_room_than_there_is():
    async def endless():
        while True:
            yield b"z" * 1000

    async def steps(rig):
        with contextlib.suppress(aiohttp.ClientConnectionError):
            status, _, _ = await rig.call(
                "POST", "/a/x", "a.example", data=endless()
            )
            assert status == 503
        assert rig.seen == []
        assert rig.node.request_server.body_reader.held_bytes == 0

    play(steps, memory=100_000)


def test_large_body_and_large_answer_come_whole():
    async def steps(rig):
        status, headers, body = await rig.call(
            "POST", "/a/x", "a.example", data=LARGE
        )
        assert status == 200
        assert headers["Acaciafield-Upstream-Signature"] == "s"
        assert body == LARGE
        assert rig.node.request_server.body_reader.held_bytes == 0
        assert rig.node.worker_client.held_bytes == 0

    play(steps)


def break_off(workers, status=200):
    """Let workers send half of a large answer and reset."""

    async def answer(request):
        headers = {
            "Acaciafield-Request-Id": request.headers[
                "Acaciafield-Request-Id"
            ],
            "Acaciafield-Upstream-Signature": "s",
        }
        response = web.StreamResponse(status=status, headers=headers)
        response.content_length = len(LARGE)
        await response.prepare(request)
        await response.write(LARGE[: 3 * len(LARGE) // 4])
        await asyncio.sleep(0.1)
        request.transport.abort()
        return response

    for worker in workers:
        worker.answer = answer


@pytest.mark.parametrize("status", [200, 404])
def test_large_answer_that_breaks_off_is_not_complete(status):
    async def steps(rig):
        break_off(rig.workers, status)
        with pytest.raises(aiohttp.ClientError):
            await rig.call("POST", "/a/x", "a.example")
        assert rig.node.worker_client.held_bytes == 0
        now = rig.node.clock()
        risks = [
            worker.read_risk(now)
            for desk in rig.node.state.desks.values()
            for worker in desk.workers.values()
        ]
        assert max(risks) > placing.FIRST_BEARABLE

    play(steps)


def test_large_failure_is_not_passed_on_in_part():
    async def steps(rig):
        break_off(rig.workers, status=500)
        status, headers, _ = await rig.call("POST", "/a/x", "a.example")
        assert status == 502
        assert "Acaciafield-Upstream-Signature" not in headers

    play(steps)


def test_request_that_was_just_read_is_not_cut_by_a_stop():
    """The connection closes between reading a head and answering it."""

    async def steps(rig):
        head = (
            b"GET /b/x HTTP/1.1\r\nHost: b.example\r\n"
            b"Acaciafield-Request-Id: just\r\n\r\n"
        )
        async with connect(rig, b"") as (reader, _):
            while not rig.node._caller_server.connections:
                await asyncio.sleep(0.01)
            (handler,) = rig.node._caller_server.connections
            handler.data_received(head)
            end = rig.node.clock() + 1.0
            closing = asyncio.ensure_future(rig.node._close_connections(end))
            answer = await reader.readuntil(b"\r\n\r\n")
            assert answer.startswith(b"HTTP/1.1 200")
            await closing

    play(steps)


def test_request_of_which_half_is_read_is_not_cut_by_a_stop():
    async def steps(rig):
        start = b"GET /b/x HTTP/1.1\r\nHost: b.example\r\n"
        async with connect(rig, start) as (reader, writer):
            while not rig.node._caller_server.connections:
                await asyncio.sleep(0.01)
            (handler,) = rig.node._caller_server.connections
            while handler.is_idle():
                await asyncio.sleep(0.01)
            end = rig.node.clock() + 1.0
            closing = asyncio.ensure_future(rig.node._close_connections(end))
            await asyncio.sleep(0.1)
            writer.write(b"Acaciafield-Request-Id: half\r\n\r\n")
            answer = await reader.readuntil(b"\r\n\r\n")
            assert answer.startswith(b"HTTP/1.1 200")
            await closing

    play(steps)
