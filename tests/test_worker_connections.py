"""Tests of the limits on what a worker sends on one connection."""

import asyncio
import random

import pytest

from acaciafield.gateway import answer_limits
from acaciafield import outcomes
from acaciafield_daemon.gateway import upstream
from acaciafield_daemon.gateway import worker_connections
from acaciafield_platform import settings
from tests import test_upstream

Ending = outcomes.Ending
Limit = answer_limits.AnswerLimit
HEAD = (
    b"HTTP/1.1 200 OK\r\nAcaciafield-Request-Id: r1\r\n"
    b"Acaciafield-Upstream-Signature: s\r\n%s\r\n"
)
CHUNKED_HEAD = HEAD % b"Transfer-Encoding: chunked\r\n"
INTERIM_HEAD = b"HTTP/1.1 100 Continue\r\n\r\n"
HINTS_HEAD = b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
ANSWER = test_upstream.VALID_ANSWER
MAX_BLOCKED_S = 0.25  # half of what an answer may be late on the pages


def make_head(size):
    """Return a head of an empty answer with ``size`` bytes in all."""
    fields = b"Content-Length: 0\r\n"
    head = HEAD % fields
    while size - len(head) > 2000:
        fields += b"X-A: %s\r\n" % (b"a" * 1000)
        head = HEAD % fields
    return HEAD % (fields + b"X-A: %s\r\n" % (b"a" * (size - len(head) - 7)))


def make_chunks(body, seed):
    """Return a body in chunks of random sizes."""
    rng = random.Random(seed)
    parts, position = [], 0
    while position < len(body):
        chunk = body[position : position + rng.choice((1, 30, 5000, 90000))]
        parts.append(b"%x\r\n%s\r\n" % (len(chunk), chunk))
        position += len(chunk)
    return b"".join(parts) + b"0\r\n\r\n"


def test_largest_head_is_accepted_and_a_larger_one_is_not():
    largest = make_head(answer_limits.MAX_HEAD_BYTES)
    assert len(largest) == answer_limits.MAX_HEAD_BYTES
    assert test_upstream.send(largest).ending is Ending.ANSWERED
    result = test_upstream.send(make_head(answer_limits.MAX_HEAD_BYTES + 1))
    assert (result.ending, result.limit) == (Ending.RESET, Limit.HEAD)


@pytest.mark.parametrize("interim", [INTERIM_HEAD, HINTS_HEAD])
def test_some_interim_heads_precede_an_answer_but_not_many(interim):
    count = answer_limits.MAX_INTERIM_HEADS
    result = test_upstream.send(interim * count + ANSWER)
    assert (result.ending, result.body) == (Ending.ANSWERED, b"body")
    result = test_upstream.send(interim * (count + 1) + ANSWER)
    assert (result.ending, result.limit) == (
        Ending.RESET,
        Limit.INTERIM_HEADS,
    )


def test_answer_that_switches_protocols_is_not_forwarded():
    data = ANSWER.replace(
        b"200 OK", b"101 Switching\r\nConnection: upgrade\r\nUpgrade: x"
    )
    assert test_upstream.send(data).ending is Ending.GARBLED


@pytest.mark.parametrize(
    "framing",
    [
        b"0" * 100_000,
        b"5;a=" + b"x" * 100_000,
        b"0\r\n" + b"X-A: b\r\n" * 20_000,
        b"0\r\nX-A: " + b"b" * 100_000,
    ],
    ids=["size", "extension", "trailers", "trailer"],
)
def test_framing_without_end_aborts_the_answer(framing):
    # The library drops a head that it reads together with an invalid byte.
    ending = test_upstream.send(CHUNKED_HEAD + framing).ending
    assert ending in (Ending.GARBLED, Ending.RESET)


def test_framing_limit_is_reported():
    result = test_upstream.send(CHUNKED_HEAD + b"0" * 100_000)
    assert result.limit is Limit.FRAMING


@pytest.mark.parametrize("size", [1, 30, 5000])
def test_body_in_small_chunks_is_whole(size):
    body = b"x" * (200 * size + 70_000)
    parts = [body[n : n + size] for n in range(0, len(body), size)]
    data = b"".join(b"%x\r\n%s\r\n" % (len(p), p) for p in parts)
    result = test_upstream.send(CHUNKED_HEAD + data + b"0\r\n\r\n")
    assert (result.ending, result.body) == (Ending.ANSWERED, body)


@pytest.mark.parametrize("seed", range(4))
def test_large_body_in_chunks_is_whole_despite_pauses(seed):
    body = random.Random(seed).randbytes(3_000_000)
    data = CHUNKED_HEAD + make_chunks(body, seed)
    result = test_upstream.send(data + ANSWER)
    assert (result.ending, result.body) == (Ending.ANSWERED, body)
    assert test_upstream.send(data[:-1]).ending is Ending.GARBLED


FLOODS = {
    "interim heads": INTERIM_HEAD * 2600,
    "answers": b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" * 1600,
    "answers after one": ANSWER + b"HTTP/1.1 200 OK\r\n\r\n" * 3400,
    "fields": b"HTTP/1.1 200 OK\r\n" + b"X-A: b\r\n" * 8000,
    "chunk size": CHUNKED_HEAD + b"0" * 65536,
    "small chunks": CHUNKED_HEAD + b"1\r\nx\r\n" * 10000,
}


class FloodTransport(asyncio.Transport):
    """A transport whose peer has sent all it can hold."""

    def __init__(self):
        super().__init__()
        self.is_reading = True

    def pause_reading(self):
        self.is_reading = False

    def resume_reading(self):
        self.is_reading = True

    def abort(self):
        self.is_reading = False

    def close(self):
        self.is_reading = False


@pytest.mark.parametrize("form", list(FLOODS))
def test_flood_of_one_turn_is_not_parsed_whole(form):
    # Guards against a worker that floods a connection with bytes that are no
    # body: parsed in one turn of the event loop, they delayed all timeouts.
    async def steps():
        loop = asyncio.get_running_loop()
        connection = worker_connections.WorkerConnection(loop)
        transport = FloodTransport()
        connection.connection_made(transport)
        connection.set_response_params(
            read_bufsize=upstream.READ_BUFFER_BYTES,
            auto_decompress=False,
            read_until_eof=True,
            max_line_size=upstream.MAX_HEAD_LINE_BYTES,
            max_field_size=upstream.MAX_HEAD_LINE_BYTES,
        )
        before = loop.time()
        # uvloop reads a socket up to 32 times in a turn.
        for _ in range(32):
            if transport.is_reading:
                connection.data_received(FLOODS[form] * 4)
        return loop.time() - before, transport.is_reading

    blocked, is_reading = asyncio.run(steps())
    assert not is_reading
    assert blocked < MAX_BLOCKED_S


def test_reset_of_a_limit_is_told_apart_from_one_of_the_worker():
    async def steps():
        loop = asyncio.get_running_loop()
        client = upstream.WorkerClient(settings.HEADER_NAMES, loop.time)
        async with client.open():
            async with test_upstream.serve_raw(b"", abort=True) as address:
                request = test_upstream.make_request()
                return await client.send(request, "i-1", address, 1.5)

    assert asyncio.run(steps()).limit is None
