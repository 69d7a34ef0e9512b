"""Tests of requests that a caller sends before the first is answered."""

import asyncio
import contextlib

from aiohttp import web
import pytest

from tests import test_gateway_bodies as support

DELAYS_S = [0.3, 0.05, 0.0]
LARGE_BYTES = 12_000_000  # more than is held of an answer
PAUSE_S = 0.5  # for which nothing further may happen
STALL_S = 1.0  # after which a worker aborts an answer that is not read


def make_get(request_id, path=b"/b/x", host=b"b.example"):
    """Return a request without a body."""
    return (
        b"GET %s HTTP/1.1\r\nHost: %s\r\n"
        b"Acaciafield-Request-Id: %s\r\nAcaciafield-Deadline-Ms: 3000\r\n\r\n"
        % (path, host, request_id)
    )


async def read_answer(reader):
    """Return the status and the request id of an answer."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    first, *lines = head.lower().split("\r\n")
    fields = dict(line.split(": ", 1) for line in lines if line)
    await reader.readexactly(int(fields["content-length"]))
    return int(first.split()[1]), fields.get("acaciafield-request-id")


def delay_answers(harness, delays):
    """Let workers answer after a time that depends on the request."""

    async def answer(request):
        request_id = request.headers["Acaciafield-Request-Id"]
        harness.workers[0].seen.append(request_id)
        await asyncio.sleep(delays.get(request_id, 0.0))
        headers = {
            "Acaciafield-Request-Id": request_id,
            "Acaciafield-Upstream-Signature": "s",
        }
        return web.Response(headers=headers, body=request_id.encode())

    for worker in harness.workers:
        worker.answer = answer


def send_large_answers(harness, aborted, size=LARGE_BYTES):
    """Let workers send large answers; record those not read in time."""

    async def answer(request):
        request_id = request.headers["Acaciafield-Request-Id"]
        harness.workers[0].seen.append(request_id)
        response = web.StreamResponse(
            headers={
                "Acaciafield-Request-Id": request_id,
                "Acaciafield-Upstream-Signature": "s",
            }
        )
        response.content_length = size
        await response.prepare(request)
        for _ in range(size // 100_000):
            try:
                async with asyncio.timeout(STALL_S):
                    await response.write(bytes(100_000))
            except TimeoutError:
                aborted.append(request_id)
                request.transport.abort()
                break
        return response

    for worker in harness.workers:
        worker.answer = answer


def test_answers_come_in_the_order_of_the_requests():
    # Guards against an answer that a caller takes for another request's.
    async def steps(harness):
        ids = ["p0", "p1", "p2"]
        delay_answers(harness, dict(zip(ids, DELAYS_S)))
        data = b"".join(make_get(i.encode()) for i in ids)
        async with support.connect(harness, data) as (reader, _):
            for request_id in ids:
                assert await read_answer(reader) == (200, request_id)

    support.run_steps(steps)


def test_refusal_in_the_middle_keeps_its_place():
    async def steps(harness):
        delay_answers(harness, {"p0": 0.3})
        data = make_get(b"p0") + make_get(b"p1", b"/none") + make_get(b"p2")
        async with support.connect(harness, data) as (reader, _):
            assert await read_answer(reader) == (200, "p0")
            assert await read_answer(reader) == (404, "p1")
            assert await read_answer(reader) == (200, "p2")

    support.run_steps(steps)


def test_request_behind_a_closing_answer_reaches_no_worker():
    # Guards against a request that runs although its caller sends it again.
    async def steps(harness):
        refused = support.make_head(99_000_000)
        data = make_get(b"p0") + refused + make_get(b"p2")
        async with support.connect(harness, data) as (reader, _):
            assert await read_answer(reader) == (200, "p0")
            assert (await read_answer(reader))[0] == 413
            assert await reader.read() == b""
        await asyncio.sleep(PAUSE_S)
        assert harness.seen == ["p0"]

    support.run_steps(steps)


def test_requests_of_a_caller_that_leaves_reach_no_worker():
    async def steps(harness):
        delay_answers(harness, {"p0": 0.3})
        data = make_get(b"p0") + make_get(b"p1")
        async with support.connect(harness, data):
            while not harness.seen:
                await asyncio.sleep(0.01)
        await asyncio.sleep(PAUSE_S)
        assert harness.seen == ["p0"]

    support.run_steps(steps)


def test_request_behind_a_streamed_answer_is_answered_after_it():
    async def steps(harness):
        send_large_answers(harness, [])
        data = make_get(b"p0") + make_get(b"p1")
        async with support.connect(harness, data) as (reader, _):
            for request_id in ("p0", "p1"):
                assert await read_answer(reader) == (200, request_id)

    support.run_steps(steps)


@pytest.mark.parametrize("memory_bytes", [200_000_000])
def test_worker_can_finish_the_answer_of_a_slow_caller(memory_bytes):
    # Guards against a worker that aborts an answer that stays unread.
    async def steps(harness):
        aborted = []
        send_large_answers(harness, aborted)
        port = harness.node.options.caller_port
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", port, limit=1000
        )
        writer.write(make_get(b"p0"))
        await asyncio.sleep(2 * STALL_S)
        assert aborted == []
        size = 0
        with contextlib.suppress(asyncio.IncompleteReadError):
            while size < LARGE_BYTES:
                size += len(await reader.readexactly(1000))
        writer.close()
        assert size >= LARGE_BYTES

    support.run_steps(steps, memory_bytes=memory_bytes)


def test_ledger_is_empty_after_a_slow_caller_left():
    # Guards against memory that stays counted after a caller has left.
    async def steps(harness):
        send_large_answers(harness, [])
        port = harness.node.options.caller_port
        _, writer = await asyncio.open_connection("127.0.0.1", port, limit=9)
        writer.write(make_get(b"p0"))
        client = harness.node.worker_client
        while not client.read_ahead_bytes:
            await asyncio.sleep(0.01)
        writer.transport.abort()
        while harness.node.caller_server.connections:
            await asyncio.sleep(0.01)
        await asyncio.sleep(PAUSE_S)
        assert client.read_ahead_bytes == client.held_bytes == 0
        assert harness.node.ledger.held_bytes == 0

    support.run_steps(steps)


@pytest.mark.parametrize("turns", range(4))
def test_body_that_comes_at_once_is_no_start_of_a_head(turns):
    # Guards against a large order that is reset because its body arrives
    # before the handler of its head has started.
    async def steps(harness):
        async with support.connect(harness, b"") as (reader, _):
            while not harness.node.caller_server.connections:
                await asyncio.sleep(0.01)
            (handler,) = harness.node.caller_server.connections
            handler.data_received(support.make_head(60_000))
            for _ in range(turns):
                await asyncio.sleep(0)
            for _ in range(3):
                handler.data_received(bytes(20_000))
            answer = await reader.readuntil(b"\r\n\r\n")
            assert answer.startswith(b"HTTP/1.1 200")

    support.run_steps(steps)
