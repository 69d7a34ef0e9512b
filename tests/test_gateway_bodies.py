"""Tests of request bodies and answers that are large, slow or truncated."""

import asyncio
import contextlib

import aiohttp
from aiohttp import web
import pytest

from acaciafield.gateway import selection
from tests import test_gateway_node
from tests import test_platform

LARGE_BODY = (
    b"0123456789abcdef" * 524_288
)  # 8 MiB, more than is held of one answer
MAX_HEADER_BYTES = 16384
LIMITS = {
    "maxHeaderBytes": MAX_HEADER_BYTES,
    "maxBodyBytes": 67_108_864,
    "headerTimeoutMs": 400,
    "idleTimeoutMs": 1000,
}
READ_TIMEOUT_S = 4.0  # longer than any limit here


def run_steps(steps, **fields):
    """Run steps against a node with short timeouts."""
    test_gateway_node.run_steps(
        steps,
        options=test_gateway_node.make_options(**fields),
        configuration=test_platform.CONFIGURATION | {"limits": LIMITS},
    )


@contextlib.asynccontextmanager
async def connect(harness, data):
    """Open a caller's connection and send ``data``."""
    port = harness.node.options.caller_port
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    try:
        async with asyncio.timeout(READ_TIMEOUT_S):
            yield reader, writer
    finally:
        writer.close()


def make_head(length, body_start=b""):
    """Return the head of an order with a Content-Length and a body start."""
    return (
        b"POST /a/x HTTP/1.1\r\nHost: a.example\r\n"
        b"Acaciafield-Request-Id: slow\r\nAcaciafield-Deadline-Ms: 1500\r\n"
        b"Content-Length: %d\r\n\r\n%s" % (length, body_start)
    )


@pytest.mark.parametrize("data", [b"POST /a/x HT", b"GET / HTTP/1.1\r\nA"])
def test_connection_with_an_endless_head_is_closed(data):
    async def steps(harness):
        async with connect(harness, data) as (reader, _):
            assert await reader.read() == b""
        assert harness.node.caller_server.slow_heads_closed == 1

    run_steps(steps)


@pytest.mark.parametrize("start", [b"", make_head(300, b"x" * 300)])
def test_head_that_grows_without_end_is_refused(start):
    # Guards against callers whose heads fill the memory of a host.
    async def steps(harness):
        start_line = b"GET /b/x HTTP/1.1\r\nHost: b.example\r\n"
        async with connect(harness, start) as (reader, writer):
            if start:
                await reader.readuntil(b"\r\n\r\n")
                await reader.readexactly(300)
            writer.write(start_line)
            size = 0
            answer = asyncio.ensure_future(reader.readline())
            while not answer.done():
                writer.write(b"X-A: %s\r\n" % (b"a" * 993))
                size += 1000
                await asyncio.sleep(0.002)
                assert size < 2 * MAX_HEADER_BYTES
            assert b" 431 " in answer.result()
            assert size > MAX_HEADER_BYTES - 2000
        assert harness.node.caller_server.large_heads_refused == 1

    run_steps(steps)


def test_caller_that_sends_nothing_is_disconnected():
    async def steps(harness):
        async with connect(harness, b"") as (reader, _):
            assert await reader.read() == b""

    run_steps(steps)


def test_body_that_stalls_is_refused_and_not_forwarded():
    async def steps(harness):
        async with connect(harness, make_head(1000, b"x" * 10)) as (reader, _):
            answer = await reader.readuntil(b"\r\n\r\n")
        assert answer.startswith(b"HTTP/1.1 408")
        assert harness.seen == []
        assert harness.node.request_server.body_reader.held_bytes == 0

    run_steps(steps)


def test_slow_body_is_refused_at_the_deadline():
    async def steps(harness):
        async with connect(harness, make_head(1000)) as (reader, writer):
            answer = asyncio.ensure_future(reader.readuntil(b"\r\n\r\n"))
            while not answer.done():
                writer.write(b"x")
                await asyncio.sleep(0.1)
            assert answer.result().startswith(b"HTTP/1.1 408")
        assert harness.seen == []

    run_steps(steps)


def test_body_beyond_the_memory_limit_is_refused_before_it_is_read():
    async def steps(harness):
        limit = harness.node.request_server.body_reader.max_bytes
        first_request = make_head(limit - 100, b"x")
        async with connect(harness, first_request):
            while not harness.node.request_server.body_reader.held_bytes:
                await asyncio.sleep(0.01)
            status, headers, _ = await harness.call(
                "POST", "/a/x", "a.example", data=b"y" * 200
            )
            assert status == 503
            assert float(headers["Retry-After"]) > 0.0
            status, _, _ = await harness.call(
                "POST", "/a/x", "a.example", data=b"small"
            )
            assert status == 200
        while harness.node.request_server.body_reader.held_bytes:
            await asyncio.sleep(0.01)

    run_steps(steps, memory_bytes=100_000)


def test_body_of_unknown_length_is_refused_at_the_memory_limit():
    async def endless():
        while True:
            yield b"z" * 1000

    async def steps(harness):
        with contextlib.suppress(aiohttp.ClientConnectionError):
            status, _, _ = await harness.call(
                "POST", "/a/x", "a.example", data=endless()
            )
            assert status == 503
        assert harness.seen == []
        assert harness.node.request_server.body_reader.held_bytes == 0

    run_steps(steps, memory_bytes=100_000)


def test_large_body_and_large_answer_arrive_whole():
    async def steps(harness):
        status, headers, body = await harness.call(
            "POST", "/a/x", "a.example", data=LARGE_BODY
        )
        assert status == 200
        assert headers["Acaciafield-Upstream-Signature"] == "s"
        assert body == LARGE_BODY
        assert harness.node.request_server.body_reader.held_bytes == 0
        assert harness.node.worker_client.held_bytes == 0

    run_steps(steps)


def truncate_answers(workers, status=200):
    """Make workers send three quarters of a large answer, then a reset."""

    async def answer(request):
        headers = {
            "Acaciafield-Request-Id": request.headers[
                "Acaciafield-Request-Id"
            ],
            "Acaciafield-Upstream-Signature": "s",
        }
        response = web.StreamResponse(status=status, headers=headers)
        response.content_length = len(LARGE_BODY)
        await response.prepare(request)
        await response.write(LARGE_BODY[: 3 * len(LARGE_BODY) // 4])
        await asyncio.sleep(0.1)
        request.transport.abort()
        return response

    for worker in workers:
        worker.answer = answer


@pytest.mark.parametrize("status", [200, 404])
def test_truncated_large_answer_fails_for_the_caller(status):
    async def steps(harness):
        truncate_answers(harness.workers, status)
        with pytest.raises(aiohttp.ClientError):
            await harness.call("POST", "/a/x", "a.example")
        assert harness.node.worker_client.held_bytes == 0
        now = harness.node.clock()
        risks = [
            worker.estimate_risk(now)
            for scheduler in harness.node.state.schedulers.values()
            for worker in scheduler.workers.values()
        ]
        assert max(risks) > selection.INITIAL_MAX_RISK

    run_steps(steps)


def test_truncated_large_failure_is_not_forwarded():
    async def steps(harness):
        truncate_answers(harness.workers, status=500)
        status, headers, _ = await harness.call("POST", "/a/x", "a.example")
        assert status == 502
        assert "Acaciafield-Upstream-Signature" not in headers

    run_steps(steps)


def test_request_that_was_just_read_is_not_cut_by_a_stop():
    """The stop comes between reading the head and answering it."""

    async def steps(harness):
        head = (
            b"GET /b/x HTTP/1.1\r\nHost: b.example\r\n"
            b"Acaciafield-Request-Id: just\r\n\r\n"
        )
        async with connect(harness, b"") as (reader, _):
            while not harness.node.caller_server.connections:
                await asyncio.sleep(0.01)
            (handler,) = harness.node.caller_server.connections
            handler.data_received(head)
            end = harness.node.clock() + 1.0
            closing = asyncio.ensure_future(
                harness.node._close_connections(end)
            )
            answer = await reader.readuntil(b"\r\n\r\n")
            assert answer.startswith(b"HTTP/1.1 200")
            await closing

    run_steps(steps)


def test_request_of_which_half_is_read_is_not_cut_by_a_stop():
    async def steps(harness):
        start = b"GET /b/x HTTP/1.1\r\nHost: b.example\r\n"
        async with connect(harness, start) as (reader, writer):
            while not harness.node.caller_server.connections:
                await asyncio.sleep(0.01)
            (handler,) = harness.node.caller_server.connections
            while handler.is_idle():
                await asyncio.sleep(0.01)
            end = harness.node.clock() + 1.0
            closing = asyncio.ensure_future(
                harness.node._close_connections(end)
            )
            await asyncio.sleep(0.1)
            writer.write(b"Acaciafield-Request-Id: half\r\n\r\n")
            answer = await reader.readuntil(b"\r\n\r\n")
            assert answer.startswith(b"HTTP/1.1 200")
            await closing

    run_steps(steps)
