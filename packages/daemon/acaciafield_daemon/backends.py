"""Attempts at workers over HTTP, each a task of its own."""

import asyncio
import contextlib
import re

import aiohttp
from aiohttp import hdrs
import yarl

from acaciafield import events
from acaciafield import outcomes
from acaciafield import records

Ending = outcomes.Ending
Stage = outcomes.Stage

REFUSED = "Refused"  # header of a worker's documented refusal
DEADLINE = "Request-Deadline"  # header: seconds left, for the worker
ATTEMPT_ID = "Attempt-Id"  # header: names the attempt, echoed by the worker
REFUSAL_STATUS = 503
SMALL_BODY = 65536  # bytes of the largest body passed on in one piece
KEEPALIVE = 30.0  # seconds
HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "host",
        "expect",
    )
)
_REFUSALS = {
    "shed": Ending.REFUSED_SHED,
    "draining": Ending.REFUSED_DRAINING,
    "deadline": Ending.REFUSED_DEADLINE,
}
_RANGE = re.compile(r"bytes (\d+)-(\d+)/(\d+)$")


class Exchange:
    """What is seen of one attempt while it runs."""

    __slots__ = ("stage", "reused", "status", "offset", "resumable")

    def __init__(self, offset):
        self.stage = Stage.CONNECT
        self.reused = False
        self.status = 0
        self.offset = offset
        self.resumable = False


class Backends:
    """The connections to workers and the attempts under way."""

    __slots__ = (
        "settings",
        "driver",
        "sessions",
        "fresh",
        "tasks",
        "echoing",
    )

    def __init__(self, settings, driver):
        self.settings = settings
        self.driver = driver
        self.sessions = {}
        self.fresh = None
        self.tasks = {}
        # Workers that name the attempt in their answers. Only their
        # connections are used again: a second copy of an answer that
        # comes late could be anybody's without a name.
        self.echoing = set()

    @contextlib.asynccontextmanager
    async def open(self):
        """Hold the connections to workers."""
        self.fresh = self._make_session(force_close=True)
        try:
            yield self
        finally:
            for task in list(self.tasks.values()):
                task.cancel()
            await asyncio.gather(*self.tasks.values(), return_exceptions=True)
            for session in [self.fresh, *self.sessions.values()]:
                await session.close()

    def start(self, effect, call):
        """Start an attempt."""
        name = (effect.request_id, effect.attempt)
        task = asyncio.create_task(self._run(effect, call))
        self.tasks[name] = task
        task.add_done_callback(lambda _: self.tasks.pop(name, None))

    def cancel(self, request_id, attempt):
        """Give an attempt up; its connection is closed."""
        task = self.tasks.get((request_id, attempt))
        if task is not None:
            task.cancel()

    def drop_connections(self, worker_id):
        """Use none of the open connections to a worker any longer."""
        session = self.sessions.pop(worker_id, None)
        if session is not None:
            asyncio.create_task(_close_later(session))

    def _find_session(self, effect):
        if effect.fresh or effect.worker_id not in self.echoing:
            return self.fresh
        session = self.sessions.get(effect.worker_id)
        if session is None:
            session = self._make_session(force_close=False)
            self.sessions[effect.worker_id] = session
        return session

    def _make_session(self, force_close):
        trace = aiohttp.TraceConfig()
        trace.on_connection_reuseconn.append(_note_reuse)
        trace.on_connection_create_end.append(_note_connected)
        keepalive = None if force_close else KEEPALIVE
        options = {} if force_close else {"keepalive_timeout": keepalive}
        connector = aiohttp.TCPConnector(
            limit=0, force_close=force_close, **options
        )
        timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=self.settings.get("workers", "connect-timeout"),
        )
        session = aiohttp.ClientSession(
            connector=connector,
            timeout=timeout,
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            trace_configs=[trace],
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
        )
        # The client would send PUT and DELETE again by itself when a
        # kept connection breaks; whether to try again is not its call.
        session._retry_connection = False
        return session

    async def _run(self, effect, call):
        exchange = Exchange(effect.offset)
        try:
            async with asyncio.timeout(call.get_timeout(effect)) as limit:
                async with self._request(effect, call, exchange) as response:
                    ending, answer = await self._receive(
                        effect, call, exchange, response, limit
                    )
        except TimeoutError:
            ending, answer = Ending.TIMEOUT, None
        except (aiohttp.ClientError, OSError):
            ending, answer = Ending.RESET, None
        self.driver.feed(
            events.AttemptEnded,
            effect.request_id,
            effect.attempt,
            exchange.stage,
            ending,
            exchange.status,
            exchange.offset,
            exchange.resumable,
            answer,
        )

    def _request(self, effect, call, exchange):
        headers = call.make_headers()
        headers[DEADLINE] = "%.3f" % effect.timeout
        headers[ATTEMPT_ID] = _name_attempt(effect)
        if effect.offset:
            headers[hdrs.RANGE] = "bytes=%d-" % effect.offset
            headers[hdrs.IF_RANGE] = call.validator
        url = yarl.URL(
            "http://%s%s" % (effect.address, call.path), encoded=True
        )
        return self._find_session(effect).request(
            call.method,
            url,
            headers=headers,
            data=call.make_body(),
            allow_redirects=False,
            trace_request_ctx=exchange,
        )

    async def _receive(self, effect, call, exchange, response, limit):
        if not self._check_echo(effect, response):
            response.close()
            return Ending.RESET, None
        refusal = _REFUSALS.get(response.headers.get(REFUSED))
        if refusal and response.status == REFUSAL_STATUS:
            await response.read()
            exchange.stage = Stage.WAIT
            return refusal, None
        exchange.stage = Stage.BODY
        exchange.status = response.status
        if effect.offset and not call.continues(response, effect.offset):
            exchange.resumable = True
            response.close()
            return Ending.RESET, None
        self.driver.feed(
            events.AttemptHead,
            effect.request_id,
            effect.attempt,
            response.status,
            exchange.reused,
        )
        if not effect.offset:
            call.note_head(response)
        exchange.resumable = call.resumable
        if not call.streams:
            body = await response.read()
            call.set_whole(response, body)
            return Ending.ANSWERED, _store(response, body)
        limit.reschedule(None)
        return await self._stream(call, exchange, response), None

    def _check_echo(self, effect, response):
        """Tell whether an answer may be that to an attempt."""
        echo = response.headers.get(ATTEMPT_ID)
        if echo is None:
            return effect.worker_id not in self.echoing
        self.echoing.add(effect.worker_id)
        return echo == _name_attempt(effect)

    async def _stream(self, call, exchange, response):
        stall = self.settings.get("workers", "stall-timeout")
        while True:
            try:
                async with asyncio.timeout(stall):
                    chunk = await response.content.readany()
            except TimeoutError:
                response.close()
                return Ending.STALLED
            if not chunk:
                break
            await call.write(response, chunk)
            exchange.offset += len(chunk)
        if call.length is not None and exchange.offset != call.length:
            return Ending.RESET
        exchange.stage = Stage.DONE
        return Ending.ANSWERED


async def _note_reuse(_session, context, _params):
    exchange = context.trace_request_ctx
    exchange.reused = True
    exchange.stage = Stage.SEND


async def _note_connected(_session, context, _params):
    context.trace_request_ctx.stage = Stage.SEND


def _name_attempt(effect):
    return "%s.%d" % (effect.request_id, effect.attempt)


async def _close_later(session):
    await asyncio.sleep(KEEPALIVE)
    await session.close()


def _store(response, body):
    if len(body) > records.SMALL_ANSWER:
        body = b""
    content_type = response.headers.get(hdrs.CONTENT_TYPE, "")
    return events.StoredAnswer(response.status, content_type, body)
