"""Attempts at workers that misbehave on the wire."""

import asyncio
import contextlib
import socket
import struct

import pytest

from acaciafield import outcomes
from acaciafield_daemon.gateway import upstream
from acaciafield_platform import settings

Ending = outcomes.Ending
GOOD = (
    b"HTTP/1.1 200 OK\r\nAcaciafield-Request-Id: r1\r\n"
    b"Acaciafield-Upstream-Signature: s\r\nAcaciafield-Instance-Load: 1,0,6"
    b"\r\nContent-Length: 4\r\n\r\nbody"
)


def make_message(**fields):
    values = {
        "method": "GET",
        "target": "/a/x?y=%2f",
        "headers": {"Host": "shop.example", "Acaciafield-Request-Id": "r1"},
        "body": b"",
        "request_id": "r1",
    }
    return upstream.Message(**(values | fields))


def reset_connection(writer):
    """Close a connection so that its peer sees a reset."""
    sock = writer.get_extra_info("socket")
    linger = struct.pack("ii", 1, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


@contextlib.asynccontextmanager
async def serve_raw(data, abort=False, seen=None):
    """Serve one raw answer on each connection, then close or reset it."""

    async def answer(reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        if seen is not None:
            seen.append(head.decode())
        writer.write(data)
        await writer.drain()
        if abort:
            await asyncio.sleep(0.05)
            reset_connection(writer)
        else:
            writer.close()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    async with server:
        yield "127.0.0.1:%d" % server.sockets[0].getsockname()[1]


def send(data, abort=False, message=None, seen=None):
    async def steps():
        loop = asyncio.get_running_loop()
        client = upstream.Upstream(settings.HEADERS, loop.time)
        async with client.open():
            async with serve_raw(data, abort, seen) as address:
                return await client.send(
                    message or make_message(), "i-1", address, 1.5
                )

    return asyncio.run(asyncio.wait_for(steps(), 10.0))


def test_answer_comes_back_whole_and_unchanged():
    seen = []
    result = send(GOOD, seen=seen)
    assert (result.ending, result.status) == (Ending.ANSWERED, 200)
    assert result.body == b"body"
    assert result.load == [1, 0, 6]
    assert seen[0].startswith("GET /a/x?y=%2f HTTP/1.1\r\n")
    assert "Host: shop.example\r\n" in seen[0]
    assert "Acaciafield-Expect-Instance: i-1\r\n" in seen[0]
    assert "Acaciafield-Deadline-Ms: 1500\r\n" in seen[0]


@pytest.mark.parametrize(
    "data, abort, ending",
    [
        (GOOD.replace(b"Id: r1", b"Id: r2"), False, Ending.GARBLED),
        (GOOD.replace(b"Signature: s", b"Other: s"), False, Ending.GARBLED),
        (GOOD[:-2], False, Ending.GARBLED),
        (GOOD[:-2], True, Ending.GARBLED),
        (b"\x00\x01 rubbish\r\n\r\n", False, Ending.RESET),
        (b"", False, Ending.RESET),
        (b"", True, Ending.RESET),
        (
            GOOD.replace(b"Content-Length", b"Content-Encoding: gzip\r\nX"),
            False,
            Ending.GARBLED,
        ),
        (
            b"HTTP/1.1 503 Full\r\nAcaciafield-Not-Executed: 1\r\n"
            b"Content-Length: 0\r\n\r\n",
            False,
            Ending.REFUSED_SHED,
        ),
        (
            b"HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n",
            False,
            Ending.MISDIRECTED,
        ),
        (GOOD.replace(b"200 OK", b"500 Bad"), False, Ending.FAILED),
        (GOOD.replace(b"200 OK", b"404 No"), False, Ending.ANSWERED),
        (GOOD + GOOD, False, Ending.ANSWERED),
    ],
)
def test_ending_of_an_attempt(data, abort, ending):
    assert send(data, abort).ending is ending


def test_body_without_length_ends_with_its_connection():
    unframed = GOOD.replace(b"Content-Length: 4\r\n", b"")
    result = send(unframed)
    assert (result.ending, result.body) == (Ending.ANSWERED, b"body")


def test_body_without_length_is_not_whole_after_a_reset():
    unframed = GOOD.replace(b"Content-Length: 4\r\n", b"")
    assert send(unframed, abort=True).ending is Ending.GARBLED


def test_worker_that_takes_no_connection_has_not_run_it():
    async def steps():
        loop = asyncio.get_running_loop()
        client = upstream.Upstream(settings.HEADERS, loop.time)
        async with client.open():
            async with serve_raw(GOOD) as address:
                pass
            return await client.send(make_message(), "i-1", address, 1.0)

    result = asyncio.run(asyncio.wait_for(steps(), 10.0))
    assert result.ending is Ending.UNREACHED


@pytest.mark.parametrize("abort", [False, True])
def test_attempt_is_sent_once_whatever_becomes_of_its_connection(abort):
    seen = []
    assert send(b"", abort, seen=seen).ending is Ending.RESET
    assert len(seen) == 1
