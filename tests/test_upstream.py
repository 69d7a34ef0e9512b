"""Tests of attempts at workers that violate HTTP or close early."""

import asyncio
import contextlib
import socket
import struct

import pytest

from acaciafield import outcomes
from acaciafield_daemon.gateway import upstream
from acaciafield_platform import settings

Ending = outcomes.Ending
VALID_ANSWER = (
    b"HTTP/1.1 200 OK\r\nAcaciafield-Request-Id: r1\r\n"
    b"Acaciafield-Upstream-Signature: s\r\nAcaciafield-Instance-Load: 1,0,6"
    b"\r\nContent-Length: 4\r\n\r\nbody"
)


def make_request(**fields):
    values = {
        "method": "GET",
        "target": "/a/x?y=%2f",
        "headers": {"Host": "shop.example", "Acaciafield-Request-Id": "r1"},
        "body": b"",
        "request_id": "r1",
    }
    return upstream.OutgoingRequest(**(values | fields))


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


def send(data, abort=False, request=None, seen=None):
    async def steps():
        loop = asyncio.get_running_loop()
        client = upstream.WorkerClient(settings.HEADER_NAMES, loop.time)
        async with client.open():
            async with serve_raw(data, abort, seen) as address:
                return await client.send(
                    request or make_request(), "i-1", address, 1.5
                )

    return asyncio.run(asyncio.wait_for(steps(), 10.0))


def test_answer_comes_back_whole_and_unchanged():
    seen = []
    result = send(VALID_ANSWER, seen=seen)
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
        (VALID_ANSWER.replace(b"Id: r1", b"Id: r2"), False, Ending.GARBLED),
        (
            VALID_ANSWER.replace(b"Signature: s", b"Other: s"),
            False,
            Ending.GARBLED,
        ),
        (VALID_ANSWER[:-2], False, Ending.GARBLED),
        (VALID_ANSWER[:-2], True, Ending.GARBLED),
        (b"\x00\x01 rubbish\r\n\r\n", False, Ending.RESET),
        (b"", False, Ending.RESET),
        (b"", True, Ending.RESET),
        (
            VALID_ANSWER.replace(
                b"Content-Length", b"Content-Encoding: gzip\r\nX"
            ),
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
        (VALID_ANSWER.replace(b"200 OK", b"500 Bad"), False, Ending.FAILED),
        (VALID_ANSWER.replace(b"200 OK", b"404 No"), False, Ending.ANSWERED),
        (VALID_ANSWER + VALID_ANSWER, False, Ending.ANSWERED),
    ],
)
def test_ending_of_an_attempt(data, abort, ending):
    assert send(data, abort).ending is ending


def test_body_without_length_ends_with_its_connection():
    unframed = VALID_ANSWER.replace(b"Content-Length: 4\r\n", b"")
    result = send(unframed)
    assert (result.ending, result.body) == (Ending.ANSWERED, b"body")


def test_body_without_length_is_not_whole_after_a_reset():
    unframed = VALID_ANSWER.replace(b"Content-Length: 4\r\n", b"")
    assert send(unframed, abort=True).ending is Ending.GARBLED


def test_refused_connection_means_an_unreached_worker():
    async def steps():
        loop = asyncio.get_running_loop()
        client = upstream.WorkerClient(settings.HEADER_NAMES, loop.time)
        async with client.open():
            async with serve_raw(VALID_ANSWER) as address:
                pass
            return await client.send(make_request(), "i-1", address, 1.0)

    result = asyncio.run(asyncio.wait_for(steps(), 10.0))
    assert result.ending is Ending.UNREACHED


@pytest.mark.parametrize("abort", [False, True])
def test_attempt_is_sent_once_even_if_its_connection_breaks(abort):
    seen = []
    assert send(b"", abort, seen=seen).ending is Ending.RESET
    assert len(seen) == 1


SHED_ANSWER = (
    b"HTTP/1.1 503 Full\r\nAcaciafield-Request-Id: r1\r\n"
    b"Acaciafield-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
)
LENGTH_AND_BODY = VALID_ANSWER[VALID_ANSWER.index(b"Content-Length") :]
TRUNCATED_HEADS = [
    VALID_ANSWER[:5],  # in the status line
    VALID_ANSWER[:9],
    VALID_ANSWER[:15],
    VALID_ANSWER[: VALID_ANSWER.index(b"\r\n") + 1],  # after a CR
    VALID_ANSWER[: VALID_ANSWER.index(b"\r\n") + 2],
    VALID_ANSWER[: VALID_ANSWER.index(b"Id: r1") + 4],  # in a field
    VALID_ANSWER[: VALID_ANSWER.index(b"Id: r1") + 8],
    VALID_ANSWER[: VALID_ANSWER.index(b"Length") + 6],  # before the length
    VALID_ANSWER[: VALID_ANSWER.index(b"Length: 4") + 9],  # after it
    VALID_ANSWER[
        : VALID_ANSWER.index(b"\r\n\r\n") + 2
    ],  # before the blank line
    VALID_ANSWER[: VALID_ANSWER.index(b"\r\n\r\n") + 3],
    VALID_ANSWER.replace(LENGTH_AND_BODY, b"Content-Len"),
    SHED_ANSWER[:-2],
    b"HTTP/1.1 100 Continue\r\n\r\n" + VALID_ANSWER[:40],
]


@pytest.mark.parametrize("abort", [False, True])
@pytest.mark.parametrize("head", TRUNCATED_HEADS)
def test_answer_that_ends_within_its_head_is_a_reset(head, abort):
    assert send(head, abort).ending is Ending.RESET


def send_to_repeating_worker(first, second, count):
    """Send attempts to a worker that repeats an earlier answer.

    The worker answers with ``first``. If a connection is reused, it repeats
    ``first`` before ``second``. Return the endings of the attempts and the
    number of requests on each connection.
    """
    counts = []

    async def answer(reader, writer):
        counts.append(0)
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                counts[-1] += 1
                late = first if counts[-1] > 1 else b""
                writer.write(late + (second if late else first))
        writer.close()

    async def steps():
        loop = asyncio.get_running_loop()
        client = upstream.WorkerClient(settings.HEADER_NAMES, loop.time)
        endings = []
        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        async with server, client.open():
            address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
            for _ in range(count):
                result = await client.send(make_request(), "i-1", address, 1.0)
                endings.append(result.ending)
        return endings

    return asyncio.run(asyncio.wait_for(steps(), 10.0)), counts


def test_earlier_refusal_is_never_read_as_a_later_answer():
    endings, counts = send_to_repeating_worker(SHED_ANSWER, VALID_ANSWER, 4)
    assert endings == [Ending.REFUSED_SHED] * 4
    assert counts == [1, 1, 1, 1]


def test_refusal_after_an_answer_is_ignored():
    assert send(VALID_ANSWER + SHED_ANSWER).ending is Ending.ANSWERED


def test_refusal_of_another_request_does_not_count():
    other = SHED_ANSWER.replace(b"Id: r1", b"Id: r2")
    assert send(other).ending is Ending.GARBLED


def add_field(data, name, value):
    head, _, body = data.partition(b"\r\n\r\n")
    return b"%s\r\n%s: %s\r\n\r\n%s" % (head, name, value, body)


@pytest.mark.parametrize(
    "data",
    [
        VALID_ANSWER,
        SHED_ANSWER,
        VALID_ANSWER.replace(b"200", b"500"),
        SHED_ANSWER.replace(b"Acaciafield-Request-Id: r1\r\n", b""),
    ],
)
def test_worker_announces_in_any_answer_that_it_leaves(data):
    assert not send(data).leaving
    assert send(add_field(data, b"Server-Leaving", b"1")).leaving
    assert not send(add_field(data, b"Server-Leaving", b"0")).leaving


@pytest.mark.parametrize(
    "data",
    [
        VALID_ANSWER.replace(b"Id: r1", b"Id: r2"),
        b"HTTP/1.1 421 Other\r\nAcaciafield-Request-Id: r1\r\n"
        b"Content-Length: 0\r\n\r\n",
    ],
)
def test_answer_of_another_worker_or_request_announces_nothing(data):
    result = send(add_field(data, b"Server-Leaving", b"1"))
    assert not result.leaving


@pytest.mark.parametrize(
    "value, pause",
    [
        (b"2", 2.0),
        (b"1.5", 1.5),
        (b"0", 0.0),
        (b"-1", None),
        (b"", None),
        (b"soon", None),
        (b"1e9", None),
        (b"nan", None),
        (b"99999999999999", None),
        (b"Wed, 21 Oct 2026 07:28:00 GMT", None),
        (b"1\r\nRetry-After: 3", 3.0),
    ],
)
def test_pause_is_read_from_refusals_only(value, pause):
    assert send(add_field(SHED_ANSWER, b"Retry-After", value)).pause == pause
    assert send(add_field(VALID_ANSWER, b"Retry-After", value)).pause is None


@pytest.mark.parametrize(
    "status",
    [b"", b"2", b"20", b"000", b"099", b"0200", b"2000", b"-200", b"+200"]
    + [b"20x", b"abc", b"0xc8", b"2 00", b"199", b"600", b"700", b"999"],
)
@pytest.mark.parametrize("data", [VALID_ANSWER, SHED_ANSWER])
def test_answer_without_a_valid_status_is_no_answer(status, data):
    # It may have run, whatever the rest of the answer says.
    status_line = b"HTTP/1.1 %s Odd" % status
    _, _, rest = data.partition(b"\r\n")
    result = send(status_line + b"\r\n" + rest)
    assert result.ending in (Ending.RESET, Ending.GARBLED)
