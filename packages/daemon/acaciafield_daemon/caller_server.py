"""The HTTP server for callers and operators."""

import asyncio
import contextlib
import itertools

from aiohttp import hdrs
from aiohttp import web
import xxhash

from acaciafield import events
from acaciafield import outcomes
from acaciafield_daemon import caller_requests
from acaciafield_daemon import problems
from acaciafield_daemon import views

NODE_PREFIX = "/.acaciafield/"
KEY_HEADER = "Idempotency-Key"
CLASS_HEADER = "Work-Class"
TIMEOUT_HEADER = "Request-Timeout"
MAX_TIMEOUT_S = 86400.0
MAX_PENDING_CONNECTIONS = 1024

NOT_RUN = outcomes.Outcome.NOT_RUN


class ProblemRequestHandler(web.RequestHandler):
    """A caller's connection that answers errors with problem documents."""

    __slots__ = ()

    def handle_error(self, request, status=500, exc=None, message=None):
        """Return a problem document instead of aiohttp's error page."""
        if status >= 500:
            title, outcome = (
                "This node failed.",
                outcomes.Outcome.UNKNOWN,
            )
        else:
            title, outcome = "The request is no HTTP/1.1.", NOT_RUN
        problem = problems.make_problem(status, title, outcome)
        problem.force_close()
        return problem


class ProblemServer(web.Server):
    """An HTTP server that answers errors with problem documents."""

    def __call__(self):
        return ProblemRequestHandler(self, loop=self._loop, **self._kwargs)


class CallerServer:
    """Receives requests and waits for their answers."""

    __slots__ = ("settings", "driver", "views", "_request_ids")

    def __init__(self, settings, driver):
        self.settings = settings
        self.driver = driver
        self.views = views.NodeViews(driver)
        self._request_ids = itertools.count(1)

    @contextlib.asynccontextmanager
    async def open(self):
        """Listen for callers."""
        size = self.settings.get("callers", "head-size")
        server = ProblemServer(
            self.handle_request,
            access_log=None,
            max_line_size=size,
            max_field_size=size,
            handler_cancellation=True,
            auto_decompress=False,
        )
        runner = web.ServerRunner(server)
        await runner.setup()
        site = web.TCPSite(
            runner,
            self.settings.get("node", "ip"),
            self.settings.get("node", "http-port"),
            backlog=MAX_PENDING_CONNECTIONS,
        )
        await site.start()
        try:
            yield self
        finally:
            await runner.cleanup()

    async def handle_request(self, request):
        """Handle one request of a caller or an operator."""
        path = request.rel_url.raw_path
        if path.startswith(NODE_PREFIX):
            return self.views.answer_request(request, path[len(NODE_PREFIX) :])
        service, slash, resource = path[1:].partition("/")
        if not service or not slash:
            return _make_refusal(
                404, "The path names no service and resource."
            )
        timeout = _parse_timeout(request)
        if timeout is False:
            text = "The Request-Timeout must be a number of seconds."
            return _make_refusal(400, text)
        raw_query = request.rel_url.raw_query_string
        path = (
            "/%s?%s" % (resource, raw_query) if raw_query else "/" + resource
        )
        if request.headers.get(hdrs.EXPECT, "").lower() == "100-continue":
            await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        body, stream = await self._read_body(request)
        request_id = next(self._request_ids)
        call = caller_requests.Call(request, request_id, path, body, stream)
        self.driver.calls[request_id] = call
        fingerprint, body_digest = _compute_digests(call, service)
        try:
            self.driver.dispatch_event(
                events.RequestArrived,
                request_id,
                service,
                request.method,
                request.headers.get(CLASS_HEADER, ""),
                request.headers.get(KEY_HEADER),
                fingerprint,
                body_digest,
                timeout,
                stream is None,
            )
            await call.done
        except asyncio.CancelledError:
            self.driver.dispatch_event(events.CallerDisconnected, request_id)
            raise
        finally:
            self.driver.calls.pop(request_id, None)
        return call.response or web.Response(status=502)

    async def _read_body(self, request):
        """Return (body, None), or for a large body (its start, a stream).

        The stream yields the whole body, its start included.
        """
        if not request.body_exists:
            return b"", None
        max_bytes = self.settings.get("callers", "replay-body")
        chunks, size = [], 0
        while size <= max_bytes:
            chunk = await request.content.readany()
            if not chunk:
                return b"".join(chunks), None
            chunks.append(chunk)
            size += len(chunk)
        return b"".join(chunks), _stream_body(chunks, request.content)


async def _stream_body(chunks, content):
    for chunk in chunks:
        yield chunk
    while chunk := await content.readany():
        yield chunk


def _compute_digests(call, service):
    """Return the fingerprint of the request and the digest of its body.

    Of a body too large to be sent again, both cover only the start.
    """
    body_digest = xxhash.xxh3_128_hexdigest(call.body)
    text = "%s %s %s %s" % (service, call.method, call.path, body_digest)
    return xxhash.xxh3_128_hexdigest(text.encode()), body_digest


def _parse_timeout(request):
    """Return the timeout in seconds, None without one, False if invalid."""
    text = request.headers.get(TIMEOUT_HEADER)
    if text is None:
        return None
    try:
        value = float(text)
    except ValueError:
        return False
    return value if 0.0 < value <= MAX_TIMEOUT_S else False


def _make_refusal(status, title):
    return problems.make_problem(status, title, NOT_RUN)
