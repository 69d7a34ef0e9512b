"""Workers for tests that answer with given bytes, and builders of these."""

import asyncio
import contextlib
import functools
import re

from tests import test_gateway_node

SIGNATURE = "Acaciafield-Upstream-Signature"
BODY = b"body"
LARGE_BODY = b"x" * 300_000  # larger than a failure that the gateway holds


def make_raw_answer(start, *fields, framing="length"):
    """Return a function that makes an answer to a request id.

    ``start`` is the bytes before the fields, ``framing`` a key of FRAMINGS.
    """
    lines = "".join("\r\n" + field for field in fields).encode()

    def write(request_id):
        echo = b"\r\nAcaciafield-Request-Id: %s\r\n" % request_id.encode()
        return start + lines + echo + FRAMINGS[framing]

    return write


def make_answer(status, *fields, **options):
    """Return a function that makes an answer of a worker that ran a request.

    ``options`` are those of make_raw_answer.
    """
    start = b"HTTP/1.1 %d Status" % status
    return make_raw_answer(start, SIGNATURE + ": s", *fields, **options)


def make_refusal(status, *fields):
    """Return a function that makes the answer of a worker that ran nothing."""
    start = b"HTTP/1.1 %d Status" % status
    return make_raw_answer(start, "Acaciafield-Not-Executed: 1", *fields)


def reset(request_id):
    """Answer with nothing, so that the connection breaks."""
    return b""


def _frame_with_length(body):
    return b"Content-Length: %d\r\n\r\n%s" % (len(body), body)


def _frame_with_chunks(body):
    chunk = b"%x\r\n%s\r\n" % (len(body), body)
    return b"Transfer-Encoding: chunked\r\n\r\n" + chunk + b"0\r\n\r\n"


FRAMINGS = {
    "length": _frame_with_length(BODY),
    "chunks": _frame_with_chunks(BODY),
    "close": b"\r\n" + BODY,
    "empty": _frame_with_length(b""),
    "truncated": _frame_with_length(BODY)[:-1],
    "large-length": _frame_with_length(LARGE_BODY),
    "large-chunks": _frame_with_chunks(LARGE_BODY),
    "large-close": b"\r\n" + LARGE_BODY,
}


class ScriptedWorker:
    """A worker that answers with the next of a list of functions.

    The list may be shared by several workers; its last function is repeated.
    Each takes a request id and returns the bytes of the answer, which comes
    after ``delay`` seconds. ``seen`` lists the request ids.
    """

    def __init__(self, answers, delay=0.0):
        self.answers = answers
        self.delay = delay
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
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b"\r\n\r\n")
            length = re.search(rb"(?i)content-length: (\d+)", head)
            if length is not None:
                await reader.readexactly(int(length[1]))
            request_id = re.search(rb"(?i)request-id: (\S+)", head)[1].decode()
            self.seen.append(request_id)
            is_last = len(self.answers) == 1
            make = self.answers[0] if is_last else self.answers.pop(0)
            await asyncio.sleep(self.delay)
            writer.write(make(request_id))
            await writer.drain()
        writer.close()


def run_steps(steps, *answers, delay=0.0, options=None):
    """Run steps against a node with two workers that share the answers."""
    make_worker = functools.partial(ScriptedWorker, list(answers), delay)
    test_gateway_node.run_steps(steps, options, make_worker=make_worker)


async def check_replaced(harness, *request):
    """Check that a request is answered with 502 by the gateway itself.

    Return the headers of the answer.
    """
    status, headers, body = await harness.call(*request)
    assert (status, body) == (502, b"")
    assert SIGNATURE not in headers
    assert headers["Acaciafield-Request-Id"] == "q%d" % harness.count
    return headers
