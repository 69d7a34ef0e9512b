"""Tests of workers whose answers have no valid status.

Each test guards against a caller that receives such a status, or a signature
beside a status that the worker did not send.
"""

import asyncio
import contextlib
import re

import pytest

from tests import test_gateway_node

SIGNATURE = "Acaciafield-Upstream-Signature"
INTERIM_HEADS = (
    b"HTTP/1.1 100 Continue\r\n\r\n"
    b"HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n"
)
# RFC 9110, section 15: a status is a three-digit integer, those from 100 to
# 599 are valid, and a client treats any other as a server error. A status
# above 599 is replaced as well: a caller's client may fail on it as it does
# on 000, and nothing else in such an answer can be trusted.
STATUS_LINES = {
    "zero": b"HTTP/1.1 000 Zero",
    "below-100": b"HTTP/1.1 099 Early",
    "two-digits": b"HTTP/1.1 20 OK",
    "four-digits": b"HTTP/1.1 2000 OK",
    "text": b"HTTP/1.1 abc OK",
    "missing": b"HTTP/1.1",
    "final-below-200": b"HTTP/1.1 199 Odd",
    "600": b"HTTP/1.1 600 Odd",
    "999": b"HTTP/1.1 999 Odd",
}
VALID_STATUS_LINE = b"HTTP/1.1 200 OK"
FAILURE_STATUS_LINE = b"HTTP/1.1 500 Bad"
each_status_line = pytest.mark.parametrize(
    "status_line", STATUS_LINES.values(), ids=STATUS_LINES
)


class RawWorker:
    """A worker that answers with the next raw head of a list.

    The list is shared by all workers; the last head is repeated. A head is
    the bytes before its fields.
    """

    heads = []

    def __init__(self):
        self.seen = []
        self.address = None

    @contextlib.asynccontextmanager
    async def open(self):
        """Serve on a free port."""
        server = await asyncio.start_server(self._answer, "127.0.0.1", 0)
        async with server:
            port = server.sockets[0].getsockname()[1]
            self.address = "127.0.0.1:%d" % port
            yield self

    async def _answer(self, reader, writer):
        data = await reader.readuntil(b"\r\n\r\n")
        length = re.search(rb"(?i)content-length: (\d+)", data)
        if length is not None:
            await reader.readexactly(int(length[1]))
        request_id = re.search(rb"(?i)request-id: (\S+)", data)[1]
        self.seen.append(request_id.decode())
        heads = type(self).heads
        head = heads.pop(0) if len(heads) > 1 else heads[0]
        writer.write(
            b"%s\r\nAcaciafield-Request-Id: %s\r\n%s: s\r\n"
            b"Content-Length: 4\r\n\r\nbody"
            % (head, request_id, SIGNATURE.encode())
        )
        with contextlib.suppress(OSError):
            await writer.drain()
        writer.close()


@pytest.fixture
def run_steps(monkeypatch):
    """Return a function that runs steps at a node whose workers send heads."""
    monkeypatch.setattr(test_gateway_node, "Worker", RawWorker)

    def run(steps, *heads):
        monkeypatch.setattr(RawWorker, "heads", list(heads))
        test_gateway_node.run_steps(steps)

    return run


async def check_replaced(harness, *request):
    """Check that a request is answered with 502 by the gateway itself."""
    status, headers, body = await harness.call(*request)
    assert (status, body) == (502, b"")
    assert SIGNATURE not in headers
    assert headers["Acaciafield-Request-Id"] == "q%d" % harness.count


@each_status_line
def test_invalid_status_after_interim_heads_is_replaced(
    run_steps, status_line
):
    async def steps(harness):
        await check_replaced(harness, "POST", "/a/x", "a.example")
        # It may have run, so that no other worker may get it.
        assert harness.seen == ["q1"]

    run_steps(steps, INTERIM_HEADS + status_line)


@each_status_line
def test_invalid_status_for_a_read_is_replaced(run_steps, status_line):
    async def steps(harness):
        await check_replaced(harness)
        assert harness.seen == ["q1", "q1"]

    run_steps(steps, status_line)


@each_status_line
def test_read_with_an_invalid_status_is_repeated(run_steps, status_line):
    async def steps(harness):
        status, headers, body = await harness.call()
        assert (status, body, headers[SIGNATURE]) == (200, b"body", "s")
        assert harness.seen == ["q1", "q1"]

    run_steps(steps, status_line, VALID_STATUS_LINE)


@each_status_line
def test_invalid_status_for_a_second_attempt_leaves_the_first_answer(
    run_steps, status_line
):
    async def steps(harness):
        status, headers, body = await harness.call()
        assert (status, body, headers[SIGNATURE]) == (500, b"body", "s")
        assert harness.seen == ["q1", "q1"]

    run_steps(steps, FAILURE_STATUS_LINE, status_line)


@each_status_line
def test_kept_connection_serves_on_after_an_order_with_an_invalid_status(
    run_steps, status_line
):
    async def steps(harness):
        port = harness.node.options.caller_port
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        found = []
        for number in range(2):
            writer.write(
                b"POST /a/x HTTP/1.1\r\nHost: a.example\r\n"
                b"Acaciafield-Request-Id: k%d\r\n"
                b"Acaciafield-Deadline-Ms: 2000\r\n"
                b"Content-Length: 3\r\n\r\nabc" % number
            )
            head = await reader.readuntil(b"\r\n\r\n")
            length = re.search(rb"(?i)content-length: (\d+)", head)
            body = await reader.readexactly(int(length[1]))
            assert len(harness.seen) == number + 1  # not sent again
            found.append((head.split(b" ")[1], body))
            assert b"Acaciafield-Request-Id: k%d\r\n" % number in head
            assert (SIGNATURE.encode() in head) is bool(number)
        writer.close()
        assert found == [(b"502", b""), (b"200", b"body")]

    run_steps(steps, status_line, VALID_STATUS_LINE)


def test_highest_valid_status_is_forwarded_with_its_signature(run_steps):
    async def steps(harness):
        status, headers, body = await harness.call("POST", "/a/x", "a.example")
        assert (status, body, headers[SIGNATURE]) == (599, b"body", "s")

    run_steps(steps, b"HTTP/1.1 599 Odd")
