"""A worker that answers twice, late, on a connection in use again."""

import asyncio
import contextlib

from acaciafield import effects
from acaciafield import events
from acaciafield import outcomes
from acaciafield_daemon import backends
from acaciafield_daemon import settings as node_settings

VALUES = {("workers", "connect-timeout"): 1.0}
ANSWER = (
    "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n%s"
    "Content-Length: %d\r\n\r\n%s"
)


class Recorder:
    """A driver that keeps how attempts ended."""

    def __init__(self):
        self.ended = {}

    def dispatch_event(self, kind, *fields):
        """Take in an event."""
        if kind is events.AttemptEnded:
            self.ended[fields[0]] = fields[3]


class Call:
    """A caller's request for one path."""

    method = "GET"
    is_streamed = False
    is_resumable = False

    def __init__(self, path):
        self.path = path
        self.body = None

    def get_timeout(self, effect):
        """Return the seconds an attempt may take."""
        return 2.0

    def make_headers(self):
        """Return the headers to send on."""
        return {}

    def make_body(self):
        """Return the body to send on."""
        return None

    def record_head(self, response):
        """Take in the head of an answer."""

    def set_buffered_answer(self, response, body):
        """Take in the whole answer."""
        self.body = body.decode()


@contextlib.asynccontextmanager
async def serve_twice(echoes, counts):
    """Serve the path as the body; the second answer comes late.

    The copy of an answer is written when the next request has come on
    the same connection. ``counts`` gets the requests of each connection.
    """

    async def answer(reader, writer):
        counts.append(0)
        late = ""
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                counts[-1] += 1
                path = head.split()[1]
                echo = ""
                for line in head.split("\r\n"):
                    if echoes and line.startswith("Attempt-Id"):
                        echo = line + "\r\n"
                whole = ANSWER % (echo, len(path), path)
                writer.write((late + whole).encode())
                late = whole
        writer.close()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    async with server:
        yield "127.0.0.1:%d" % server.sockets[0].getsockname()[1]


def play(echoes):
    """Send requests one after the other; return calls, endings, counts."""

    async def steps():
        driver, counts, calls = Recorder(), [], []
        client = backends.WorkerClient(node_settings.Settings(VALUES), driver)
        async with serve_twice(echoes, counts) as address:
            async with client.open():
                for number in range(4):
                    name = "r%d" % number
                    call = Call("/" + name)
                    calls.append(call)
                    start = effects.StartAttempt(name, 1, "w1", address)
                    client.start(start, call)
                    await client.attempt_tasks[name, 1]
        return calls, driver.ended, counts

    return asyncio.run(asyncio.wait_for(steps(), 10.0))


def test_late_copy_is_nobodys_answer():
    calls, endings, counts = play(echoes=True)
    for call in calls:
        assert call.body in (None, call.path)
    assert outcomes.Ending.ANSWERED in endings.values()
    assert max(counts) > 1


def test_connection_to_a_worker_that_names_no_attempt_is_not_used_again():
    calls, endings, counts = play(echoes=False)
    assert [call.body for call in calls] == [call.path for call in calls]
    assert set(endings.values()) == {outcomes.Ending.ANSWERED}
    assert counts == [1, 1, 1, 1]
