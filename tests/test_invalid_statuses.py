"""Tests of workers whose answers have no valid status.

Each test guards against a caller that receives such a status, or a signature
beside a status that the worker did not send.
"""

import asyncio
import re

import pytest

from tests import worker_answers as answers

SIGNATURE = answers.SIGNATURE
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


def run_steps(steps, *starts):
    """Run steps at a node whose workers answer with the starts of heads."""
    makers = [
        answers.make_raw_answer(start, SIGNATURE + ": s") for start in starts
    ]
    answers.run_steps(steps, *makers)


@each_status_line
def test_invalid_status_after_interim_heads_is_replaced(status_line):
    async def steps(harness):
        await answers.check_replaced(harness, "POST", "/a/x", "a.example")
        # It may have run, so that no other worker may get it.
        assert harness.seen == ["q1"]

    run_steps(steps, INTERIM_HEADS + status_line)


@each_status_line
def test_invalid_status_for_a_read_is_replaced(status_line):
    async def steps(harness):
        await answers.check_replaced(harness)
        assert harness.seen == ["q1", "q1"]

    run_steps(steps, status_line)


@each_status_line
def test_read_with_an_invalid_status_is_repeated(status_line):
    async def steps(harness):
        status, headers, body = await harness.call()
        assert (status, body, headers[SIGNATURE]) == (200, b"body", "s")
        assert harness.seen == ["q1", "q1"]

    run_steps(steps, status_line, VALID_STATUS_LINE)


@each_status_line
def test_invalid_status_for_a_second_attempt_leaves_the_first_answer(
    status_line,
):
    async def steps(harness):
        status, headers, body = await harness.call()
        assert (status, body, headers[SIGNATURE]) == (500, b"body", "s")
        assert harness.seen == ["q1", "q1"]

    run_steps(steps, FAILURE_STATUS_LINE, status_line)


@each_status_line
def test_kept_connection_serves_on_after_an_order_with_an_invalid_status(
    status_line,
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


def test_highest_valid_status_is_forwarded_with_its_signature():
    async def steps(harness):
        status, headers, body = await harness.call("POST", "/a/x", "a.example")
        assert (status, body, headers[SIGNATURE]) == (599, b"body", "s")

    run_steps(steps, b"HTTP/1.1 599 Odd")
