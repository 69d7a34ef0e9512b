"""Tests of a planned stop of one node, for each way a request arrives."""

import asyncio
import contextlib

import pytest

from acaciafield.gateway import planned_stop
from tests import test_gateway_node
from tests import test_platform

BODY = b"x" * 300
BODY_DELAY_S = 0.02  # between a head and its body
GRACE_S = 2.0
HEADER_TIMEOUT_S = 1.0
CLOSE_SLACK_S = 0.3
CONFIGURATION = test_platform.CONFIGURATION | {
    "limits": {
        "maxBodyBytes": 1000,
        "headerTimeoutMs": int(1000 * HEADER_TIMEOUT_S),
    }
}


def run_steps(steps, grace=GRACE_S):
    """Run steps against a node with two workers."""
    test_gateway_node.run_steps(
        steps, test_gateway_node.make_options(grace=grace), CONFIGURATION
    )


def make_head(method, path, host, size=None, chunked=False, deadline_ms=2000):
    """Return the head of a request."""
    lines = [
        "%s %s HTTP/1.1" % (method, path),
        "Host: " + host,
        "Acaciafield-Request-Id: q1",
        "Acaciafield-Deadline-Ms: %d" % deadline_ms,
    ]
    if size is not None:
        lines.append("Content-Length: %d" % size)
    if chunked:
        lines.append("Transfer-Encoding: chunked")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


async def read_answer(reader):
    """Return the status and the headers of an answer with a short body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    first, *lines = head.rstrip().split("\r\n")
    headers = dict(line.lower().split(": ", 1) for line in lines)
    await reader.readexactly(int(headers.get("content-length", "0")))
    return int(first.split()[1]), headers


async def send_nothing(reader, writer):
    """Leave the connection as it was opened."""


async def send_served(reader, writer):
    """Get an answer to a request."""
    writer.write(make_head("GET", "/b/x", "b.example"))
    assert (await read_answer(reader))[0] == 200


async def send_late_body(reader, writer, path):
    """Send a body after its head; return the status of the answer."""
    writer.write(make_head("POST", path, "a.example", len(BODY)))
    await asyncio.sleep(BODY_DELAY_S)
    writer.write(BODY)
    return (await read_answer(reader))[0]


async def send_served_late_body(reader, writer):
    """Get an answer to a request whose body comes after its head."""
    assert await send_late_body(reader, writer, "/a/x") == 200


async def send_unrouted(reader, writer):
    """Get a 404 to a request that is sent at once."""
    head = make_head("POST", "/none/", "a.example", len(BODY))
    writer.write(head + BODY)
    assert (await read_answer(reader))[0] == 404


async def send_unrouted_late_body(reader, writer):
    """Get a 404 before the body is sent."""
    assert await send_late_body(reader, writer, "/none/") == 404


async def send_unrouted_body_in_parts(reader, writer):
    """Get a 404 while the body is sent in parts."""
    writer.write(make_head("POST", "/none/", "a.example", len(BODY)))
    for start in range(0, len(BODY), 100):
        await asyncio.sleep(BODY_DELAY_S)
        writer.write(BODY[start : start + 100])
    assert (await read_answer(reader))[0] == 404


async def send_unrouted_late_chunks(reader, writer):
    """Get a 404 before the chunks of the body are sent."""
    writer.write(make_head("POST", "/none/", "a.example", chunked=True))
    await asyncio.sleep(BODY_DELAY_S)
    writer.write(b"%x\r\n%s\r\n" % (len(BODY), BODY))
    await asyncio.sleep(BODY_DELAY_S)
    writer.write(b"0\r\n\r\n")
    assert (await read_answer(reader))[0] == 404


async def send_empty_lines(reader, writer):
    """Send empty lines after an answer, as some clients do."""
    await send_served(reader, writer)
    writer.write(b"\r\n\r\n")


async def send_pipelined(reader, writer):
    """Send two requests at once, the second with a late body."""
    head = make_head("POST", "/none/", "a.example", len(BODY))
    writer.write(make_head("GET", "/b/x", "b.example") + head)
    assert (await read_answer(reader))[0] == 200
    assert (await read_answer(reader))[0] == 404
    await asyncio.sleep(BODY_DELAY_S)
    writer.write(BODY)


IDLE_CASES = [
    send_nothing,
    send_served,
    send_served_late_body,
    send_unrouted,
    send_unrouted_late_body,
    send_unrouted_body_in_parts,
    send_unrouted_late_chunks,
    send_empty_lines,
    send_pipelined,
]


@contextlib.asynccontextmanager
async def connect(harness):
    """Open a connection to the node."""
    port = harness.node.options.caller_port
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        yield reader, writer
    finally:
        writer.close()


@pytest.mark.parametrize("send", IDLE_CASES, ids=lambda send: send.__name__)
def test_stop_closes_an_idle_connection_whatever_came_on_it(send):
    # Guards against orders taken late on a connection that counted as one
    # in the middle of a head, and broken off at the exit.
    async def steps(harness):
        async with connect(harness) as (reader, writer):
            await send(reader, writer)
            await asyncio.sleep(3 * BODY_DELAY_S)
            began = asyncio.get_running_loop().time()
            harness.node.stopping.set()
            assert await reader.read() == b""
            waited = asyncio.get_running_loop().time() - began
            grace = harness.node.options.grace
            delay = planned_stop.CLOSE_IDLE_SHARE * grace
            assert delay - CLOSE_SLACK_S < waited < delay + CLOSE_SLACK_S

    run_steps(steps)


@pytest.mark.parametrize("send", IDLE_CASES, ids=lambda send: send.__name__)
def test_kept_connection_is_not_closed_as_a_slow_head(send):
    # Guards against requests that meet a close of a connection in use.
    async def steps(harness):
        async with connect(harness) as (reader, writer):
            await send(reader, writer)
            await asyncio.sleep(HEADER_TIMEOUT_S + 1.0)
            writer.write(make_head("GET", "/b/x", "b.example"))
            assert (await read_answer(reader))[0] == 200
            assert harness.node.caller_server.slow_heads_closed == 0

    run_steps(steps)


@pytest.mark.parametrize("pause", [0.0, BODY_DELAY_S])
@pytest.mark.parametrize("send", IDLE_CASES, ids=lambda send: send.__name__)
def test_incomplete_head_is_closed_after_its_time_limit(send, pause):
    async def steps(harness):
        async with connect(harness) as (reader, writer):
            await send(reader, writer)
            await asyncio.sleep(pause)
            writer.write(b"GET /b/x HTT")
            began = asyncio.get_running_loop().time()
            assert await reader.read() == b""
            waited = asyncio.get_running_loop().time() - began
            assert HEADER_TIMEOUT_S - 0.2 < waited < HEADER_TIMEOUT_S + 1.0

    run_steps(steps)


LONG_GRACE_S = 3.0
LATE_AT_S = 0.6 * LONG_GRACE_S  # after the time until which requests are sent
EARLY_AT_S = 0.3 * LONG_GRACE_S  # before idle connections close
LAST_END_S = 0.8 * LONG_GRACE_S  # before the exit
LONG_DEADLINE_MS = 8000


def make_late_head(deadline_ms):
    """Return the parts of a request whose head is completed late."""
    head = make_head("GET", "/b/x", "b.example", deadline_ms=deadline_ms)
    return head[:40], head[40:]


def make_late_body(deadline_ms):
    """Return the parts of a request whose body is completed late."""
    head = make_head(
        "POST", "/a/x", "a.example", len(BODY), deadline_ms=deadline_ms
    )
    return head + BODY[:100], BODY[100:]


def make_late_chunks(deadline_ms):
    """Return the parts of a request whose last chunk comes late."""
    head = make_head(
        "POST", "/a/x", "a.example", chunked=True, deadline_ms=deadline_ms
    )
    chunk = b"%x\r\n%s\r\n" % (len(BODY), BODY)
    return head + chunk, b"0\r\n\r\n"


def make_late_body_after_refusal(deadline_ms):
    """Return a refused request, and its body with the next request late."""
    refused = make_head("POST", "/none/", "a.example", len(BODY))
    head = make_head("GET", "/b/x", "b.example", deadline_ms=deadline_ms)
    return refused, BODY + head


LATE_CASES = [make_late_head, make_late_body, make_late_chunks]


async def send_late(harness, make_parts, deadline_ms):
    """Complete a request late in a stop; return its status, or None."""
    first, rest = make_parts(deadline_ms)
    async with connect(harness) as (reader, writer):
        await send_nothing(reader, writer)
        harness.node.stopping.set()
        await asyncio.sleep(EARLY_AT_S)
        writer.write(first)
        await asyncio.sleep(LATE_AT_S - EARLY_AT_S)
        writer.write(rest)
        try:
            status, headers = await read_answer(reader)
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
        assert headers["connection"] == "close"
        assert status != 503 or "retry-after" in headers
        assert await reader.read() == b""
        return status


@pytest.mark.parametrize("make_parts", LATE_CASES)
def test_request_that_might_outlast_a_stopping_node_is_refused(make_parts):
    # Guards against requests that are taken late in the grace time and
    # broken off at its end.
    async def steps(harness):
        for worker in harness.workers:
            worker.delay = 30.0
        status = await send_late(harness, make_parts, LONG_DEADLINE_MS)
        assert status == 503
        assert harness.seen == []

    run_steps(steps, LONG_GRACE_S)


@pytest.mark.parametrize("make_parts", LATE_CASES)
def test_request_that_ends_before_the_exit_is_served(make_parts):
    async def steps(harness):
        for worker in harness.workers:
            worker.delay = 0.1
        # The time of a request runs from its head on.
        is_late = make_parts is make_late_head
        started = LATE_AT_S if is_late else EARLY_AT_S
        deadline_ms = int(1000 * (LAST_END_S - started))
        assert await send_late(harness, make_parts, deadline_ms) == 200

    run_steps(steps, LONG_GRACE_S)


def test_request_behind_a_late_body_of_a_refused_one_is_not_sent():
    async def steps(harness):
        # The node closes the connection after its answer.
        status = await send_late(
            harness, make_late_body_after_refusal, LONG_DEADLINE_MS
        )
        assert status in (None, 404)
        assert harness.seen == []

    run_steps(steps, LONG_GRACE_S)


def test_request_behind_another_one_is_not_sent_in_a_stop():
    async def steps(harness):
        for worker in harness.workers:
            worker.delay = 0.5 * LONG_GRACE_S
        async with connect(harness) as (reader, writer):
            head = make_head("POST", "/a/x", "a.example", 0)
            writer.write(head + head.replace(b"q1", b"q2"))
            while not harness.seen:
                await asyncio.sleep(0.01)
            harness.node.stopping.set()
            assert (await read_answer(reader))[0] == 200
            assert await reader.read() == b""
        assert harness.seen == ["q1"]

    run_steps(steps, LONG_GRACE_S)


def test_exit_answers_a_request_at_a_worker():
    async def steps(harness):
        for worker in harness.workers:
            worker.delay = 30.0
        async with connect(harness) as (reader, writer):
            writer.write(
                make_head(
                    "POST", "/a/x", "a.example", 0, False, LONG_DEADLINE_MS
                )
            )
            while not harness.seen:
                await asyncio.sleep(0.01)
            began = asyncio.get_running_loop().time()
            harness.node.stopping.set()
            while harness.node.request_server.stop is None:
                await asyncio.sleep(0.0)
            # A change of the settings does not move the end of the stop.
            harness.node.options.grace = 9.0
            assert (await read_answer(reader))[0] == 502
            assert await reader.read() == b""
            waited = asyncio.get_running_loop().time() - began
            exit_after = LONG_GRACE_S - planned_stop.EXIT_SLACK_S
            assert exit_after - 0.1 < waited < LONG_GRACE_S

    run_steps(steps, LONG_GRACE_S)


def test_exit_refuses_a_request_that_no_worker_has():
    async def steps(harness):
        async def wait_forever(request, give_up_at):
            await asyncio.sleep(30.0)

        requester = harness.node.request_server.grant_requester
        requester.__class__ = type(
            "WaitingRequester",
            (type(requester),),
            {"__slots__": (), "request_grant": staticmethod(wait_forever)},
        )
        async with connect(harness) as (reader, writer):
            writer.write(
                make_head(
                    "POST", "/a/x", "a.example", 0, False, LONG_DEADLINE_MS
                )
            )
            await asyncio.sleep(0.1)
            harness.node.stopping.set()
            assert (await read_answer(reader))[0] == 503

    run_steps(steps, LONG_GRACE_S)


def test_order_that_a_worker_sheds_late_in_a_stop_is_not_sent_again():
    async def steps(harness):
        for worker in harness.workers:
            worker.statuses = [503]
            worker.delay = LATE_AT_S
        async with connect(harness) as (reader, writer):
            writer.write(
                make_head(
                    "POST", "/a/x", "a.example", 0, False, LONG_DEADLINE_MS
                )
            )
            while not harness.seen:
                await asyncio.sleep(0.01)
            harness.node.stopping.set()
            status, headers = await read_answer(reader)
            assert status == 503
            assert "retry-after" in headers
        assert len(harness.seen) == 1

    run_steps(steps, LONG_GRACE_S)
