"""A late second copy of an answer on a reused connection.

A worker that sends an answer twice writes the copy when the next request
has arrived on the same connection. The copy must not become the answer
to that request: the client checks the Attempt-Id, and reuses no
connection of a worker that does not return it.
"""

import asyncio
import contextlib

from acaciafield import effects
from acaciafield import events
from acaciafield import outcomes
from acaciafield_daemon import settings as node_settings
from acaciafield_daemon import worker_client

SETTINGS = {("workers", "connect-timeout"): 1.0}
ANSWER = (
    "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n%s"
    "Content-Length: %d\r\n\r\n%s"
)


class RecordingDriver:
    """A driver that records the endings of attempts."""

    def __init__(self):
        self.ending_by_request = {}

    def dispatch_event(self, kind, *fields):
        """Record the ending if an attempt ended."""
        if kind is events.AttemptEnded:
            self.ending_by_request[fields[0]] = fields[3]


class Call:
    """A caller's request for one path."""

    method = "GET"
    is_streamed = False
    is_resumable = False

    def __init__(self, path):
        self.path = path
        self.body = None

    def get_timeout(self, effect):
        """Return the timeout of an attempt in seconds."""
        return 2.0

    def make_headers(self):
        """Return the headers to forward."""
        return {}

    def make_body(self):
        """Return the body to forward."""
        return None

    def record_head(self, response):
        """Ignore the head of an answer."""

    def set_buffered_answer(self, response, body):
        """Record the whole body."""
        self.body = body.decode()


@contextlib.asynccontextmanager
async def serve_twice(echoes, request_counts):
    """Answer each request with its path, and once more, late.

    The copy is written when the next request has arrived on the same
    connection. ``request_counts`` gets a count for each connection.
    """

    async def answer(reader, writer):
        request_counts.append(0)
        late_copy = ""
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                request_counts[-1] += 1
                path = head.split()[1]
                echo = ""
                for line in head.split("\r\n"):
                    if echoes and line.startswith("Attempt-Id"):
                        echo = line + "\r\n"
                answer_text = ANSWER % (echo, len(path), path)
                writer.write((late_copy + answer_text).encode())
                late_copy = answer_text
        writer.close()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    async with server:
        yield "127.0.0.1:%d" % server.sockets[0].getsockname()[1]


def send_requests(echoes):
    """Send four requests in turn; return calls, endings and counts."""

    async def run():
        driver, request_counts, calls = RecordingDriver(), [], []
        client = worker_client.WorkerClient(
            node_settings.Settings(SETTINGS), driver
        )
        async with serve_twice(echoes, request_counts) as address:
            async with client.open():
                for number in range(4):
                    name = "r%d" % number
                    call = Call("/" + name)
                    calls.append(call)
                    start = effects.StartAttempt(name, 1, "w1", address)
                    client.start(start, call)
                    await client.attempt_tasks[name, 1]
        return calls, driver.ending_by_request, request_counts

    return asyncio.run(asyncio.wait_for(run(), 10.0))


def test_late_copy_does_not_answer_another_request():
    calls, ending_by_request, request_counts = send_requests(echoes=True)
    for call in calls:
        assert call.body in (None, call.path)
    assert outcomes.Ending.ANSWERED in ending_by_request.values()
    assert max(request_counts) > 1


def test_connection_is_not_reused_if_the_worker_returns_no_attempt_id():
    calls, ending_by_request, request_counts = send_requests(echoes=False)
    assert [call.body for call in calls] == [call.path for call in calls]
    assert set(ending_by_request.values()) == {outcomes.Ending.ANSWERED}
    assert request_counts == [1, 1, 1, 1]
