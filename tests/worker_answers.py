"""Workers for tests that answer with given bytes, and builders of these."""

import asyncio
import contextlib
import re

SIGNATURE = "Acaciafield-Upstream-Signature"
BODY = b"body"
LARGE_BODY = b"x" * 300_000  # larger than a failure that the gateway holds


def make_head(status, *fields, signed=True, executed=True):
    """Return a function that makes the head of an answer to a request id.

    ``executed`` is whether the worker leaves out that it did not run it.
    """
    lines = ["HTTP/1.1 %d Status" % status, *fields]
    if signed:
        lines.append(SIGNATURE + ": s")
    if not executed:
        lines.append("Acaciafield-Not-Executed: 1")

    def write(request_id):
        echo = "Acaciafield-Request-Id: " + request_id
        return "\r\n".join([*lines, echo]).encode() + b"\r\n"

    return write


def make_answer(status, *fields, framing="length", **options):
    """Return a function that makes an answer to a request id.

    ``framing`` is a key of FRAMINGS; ``options`` are those of make_head.
    """
    write_head = make_head(status, *fields, **options)
    return lambda request_id: write_head(request_id) + FRAMINGS[framing]


def make_refusal(status=503, *fields):
    """Return a function that makes the answer of a worker that ran nothing."""
    return make_answer(status, *fields, signed=False, executed=False)


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

    The list is shared by all workers; its last function is repeated. Each
    takes a request id and returns the bytes of the answer, which comes after
    ``delay`` seconds. ``seen`` lists the request ids.
    """

    answers = []
    delay = 0.0

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
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b"\r\n\r\n")
            length = re.search(rb"(?i)content-length: (\d+)", head)
            if length is not None:
                await reader.readexactly(int(length[1]))
            request_id = re.search(rb"(?i)request-id: (\S+)", head)[1].decode()
            self.seen.append(request_id)
            answers = type(self).answers
            make = answers.pop(0) if len(answers) > 1 else answers[0]
            await asyncio.sleep(type(self).delay)
            writer.write(make(request_id))
            await writer.drain()
        writer.close()
