"""The HTTP client that sends each attempt to a worker as a task."""

import asyncio
import contextlib
import re

import aiohttp
from aiohttp import hdrs
import yarl

from acaciafield import events
from acaciafield import key_records
from acaciafield import outcomes

Ending = outcomes.Ending
Stage = outcomes.Stage

REFUSAL_HEADER = "Refused"  # sent by a worker that refuses an attempt
DEADLINE_HEADER = "Request-Deadline"  # seconds left for the worker
ATTEMPT_ID_HEADER = "Attempt-Id"  # returned by the worker unchanged
REFUSAL_STATUS = 503
MAX_BUFFERED_BODY_BYTES = 65536
KEEPALIVE_S = 30.0  # time for which an idle connection stays open
HOP_BY_HOP_HEADERS = frozenset(
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
_REFUSAL_ENDINGS = {
    "shed": Ending.REFUSED_SHED,
    "draining": Ending.REFUSED_DRAINING,
    "deadline": Ending.REFUSED_DEADLINE,
}
CONTENT_RANGE_PATTERN = re.compile(r"bytes (\d+)-(\d+)/(\d+)$")


class Exchange:
    """The progress of one running attempt, for its end event."""

    __slots__ = ("stage", "reused", "status", "offset", "is_resumable")

    def __init__(self, offset):
        self.stage = Stage.CONNECT
        self.reused = False
        self.status = 0
        self.offset = offset
        self.is_resumable = False


class WorkerClient:
    """Sends attempts to workers and holds their connections.

    ``pooled_sessions`` maps a worker to the session that reuses its
    connections; the session ``fresh`` opens a new one for each attempt.
    """

    __slots__ = (
        "settings",
        "driver",
        "pooled_sessions",
        "fresh",
        "attempt_tasks",
        "echoing_workers",
    )

    def __init__(self, settings, driver):
        self.settings = settings
        self.driver = driver
        self.pooled_sessions = {}
        self.fresh = None
        self.attempt_tasks = {}
        # Workers that return the Attempt-Id. Only their connections
        # are reused: on a reused connection, a late second copy of an
        # earlier answer cannot be distinguished from the answer to the
        # current attempt without the id.
        self.echoing_workers = set()

    @contextlib.asynccontextmanager
    async def open(self):
        """Keep the sessions open; cancel all attempts at the end."""
        self.fresh = self._make_session(force_close=True)
        try:
            yield self
        finally:
            for task in list(self.attempt_tasks.values()):
                task.cancel()
            await asyncio.gather(
                *self.attempt_tasks.values(), return_exceptions=True
            )
            for session in [self.fresh, *self.pooled_sessions.values()]:
                await session.close()

    def start(self, effect, call):
        """Start the task of an attempt."""
        name = (effect.request_id, effect.attempt)
        task = asyncio.create_task(self._run_attempt(effect, call))
        self.attempt_tasks[name] = task
        task.add_done_callback(lambda _: self.attempt_tasks.pop(name, None))

    def cancel(self, request_id, attempt):
        """Cancel an attempt and close its connection."""
        task = self.attempt_tasks.get((request_id, attempt))
        if task is not None:
            task.cancel()

    def drop_connections(self, worker_id):
        """Stop reusing the open connections to a worker."""
        session = self.pooled_sessions.pop(worker_id, None)
        if session is not None:
            asyncio.create_task(_close_after_keepalive(session))

    def _choose_session(self, effect):
        if effect.fresh or effect.worker_id not in self.echoing_workers:
            return self.fresh
        session = self.pooled_sessions.get(effect.worker_id)
        if session is None:
            session = self._make_session(force_close=False)
            self.pooled_sessions[effect.worker_id] = session
        return session

    def _make_session(self, force_close):
        trace_config = aiohttp.TraceConfig()
        trace_config.on_connection_reuseconn.append(_record_reuse)
        trace_config.on_connection_create_end.append(_record_connection)
        keepalive = None if force_close else KEEPALIVE_S
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
            trace_configs=[trace_config],
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
        )
        # aiohttp itself would resend PUT and DELETE when a reused
        # connection breaks, but the coordination library decides on retries.
        session._retry_connection = False
        return session

    async def _run_attempt(self, effect, call):
        exchange = Exchange(effect.offset)
        try:
            async with asyncio.timeout(
                call.get_timeout(effect)
            ) as timeout_scope:
                async with self._open_request(
                    effect, call, exchange
                ) as response:
                    ending, answer = await self._receive_response(
                        effect, call, exchange, response, timeout_scope
                    )
        except TimeoutError:
            ending, answer = Ending.TIMEOUT, None
        except (aiohttp.ClientError, OSError):
            ending, answer = Ending.RESET, None
        self.driver.dispatch_event(
            events.AttemptEnded,
            effect.request_id,
            effect.attempt,
            exchange.stage,
            ending,
            exchange.status,
            exchange.offset,
            exchange.is_resumable,
            answer,
        )

    def _open_request(self, effect, call, exchange):
        headers = call.make_headers()
        headers[DEADLINE_HEADER] = "%.3f" % effect.timeout
        headers[ATTEMPT_ID_HEADER] = _format_attempt_id(effect)
        if effect.offset:
            headers[hdrs.RANGE] = "bytes=%d-" % effect.offset
            headers[hdrs.IF_RANGE] = call.validator
        url = yarl.URL(
            "http://%s%s" % (effect.address, call.path), encoded=True
        )
        return self._choose_session(effect).request(
            call.method,
            url,
            headers=headers,
            data=call.make_body(),
            allow_redirects=False,
            trace_request_ctx=exchange,
        )

    async def _receive_response(
        self, effect, call, exchange, response, timeout_scope
    ):
        if not self._matches_attempt(effect, response):
            response.close()
            return Ending.RESET, None
        refusal = _REFUSAL_ENDINGS.get(response.headers.get(REFUSAL_HEADER))
        if refusal and response.status == REFUSAL_STATUS:
            await response.read()
            exchange.stage = Stage.WAIT
            return refusal, None
        exchange.stage = Stage.BODY
        exchange.status = response.status
        if effect.offset and not call.is_continuation(response, effect.offset):
            exchange.is_resumable = True
            response.close()
            return Ending.RESET, None
        self.driver.dispatch_event(
            events.AttemptHeadReceived,
            effect.request_id,
            effect.attempt,
            response.status,
            exchange.reused,
        )
        if not effect.offset:
            call.record_head(response)
        exchange.is_resumable = call.is_resumable
        if not call.is_streamed:
            body = await response.read()
            call.set_buffered_answer(response, body)
            return Ending.ANSWERED, _make_stored_answer(response, body)
        timeout_scope.reschedule(None)
        return await self._stream_body(call, exchange, response), None

    def _matches_attempt(self, effect, response):
        """Return whether the response may belong to the attempt."""
        echo = response.headers.get(ATTEMPT_ID_HEADER)
        if echo is None:
            return effect.worker_id not in self.echoing_workers
        self.echoing_workers.add(effect.worker_id)
        return echo == _format_attempt_id(effect)

    async def _stream_body(self, call, exchange, response):
        stall_timeout_s = self.settings.get("workers", "stall-timeout")
        while True:
            try:
                async with asyncio.timeout(stall_timeout_s):
                    chunk = await response.content.readany()
            except TimeoutError:
                response.close()
                return Ending.STALLED
            if not chunk:
                break
            await call.write(response, chunk)
            exchange.offset += len(chunk)
        if (
            call.body_length is not None
            and exchange.offset != call.body_length
        ):
            return Ending.RESET
        exchange.stage = Stage.DONE
        return Ending.ANSWERED


async def _record_reuse(_session, context, _params):
    exchange = context.trace_request_ctx
    exchange.reused = True
    exchange.stage = Stage.SEND


async def _record_connection(_session, context, _params):
    context.trace_request_ctx.stage = Stage.SEND


def _format_attempt_id(effect):
    return "%s.%d" % (effect.request_id, effect.attempt)


async def _close_after_keepalive(session):
    await asyncio.sleep(KEEPALIVE_S)
    await session.close()


def _make_stored_answer(response, body):
    """Return the answer to store; a body that is too large is left out."""
    if len(body) > key_records.MAX_STORED_BODY_BYTES:
        body = b""
    content_type = response.headers.get(hdrs.CONTENT_TYPE, "")
    return events.StoredAnswer(response.status, content_type, body)
