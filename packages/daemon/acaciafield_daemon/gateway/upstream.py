"""The HTTP client that sends attempts to workers.

Every attempt uses a new connection. A late or duplicate answer then
reaches no other request, and no attempt uses a stalled connection.
"""

import asyncio
import contextlib
import functools
import re
import socket

import aiohttp
from aiohttp import hdrs
import multidict
import yarl

from acaciafield import outcomes
from acaciafield import structs
from acaciafield_daemon.gateway import held_bodies
from acaciafield_daemon.gateway import memory_ledger
from acaciafield_daemon.gateway import worker_connections

Ending = outcomes.Ending

CONNECT_TIMEOUT_S = 0.15  # TCP would send a lost first packet after 1 s
USER_TIMEOUT_MS = 3000  # for which sent bytes may stay unacknowledged
MAX_HELD_ANSWER_BYTES = 4_194_304  # held back to be checked before forwarding
MAX_FAILURE_BYTES = 262_144  # a failure is always held as a whole
MAX_TOTAL_HELD_BYTES = 16_777_216  # of all answers on a node
DEFAULT_MEMORY_BYTES = 300_000_000  # of a host, for a client without a ledger
READ_BUFFER_BYTES = 32768  # of one connection
MAX_HEAD_LINE_BYTES = 65536  # of one line or field of a worker's answer
TCP_USER_TIMEOUT_OPTION = getattr(socket, "TCP_USER_TIMEOUT", 18)
# An answer with another status is not forwarded. RFC 9110, section 15, says
# that those outside 100 to 599 are invalid, and clients may fail on them.
FINAL_STATUSES = range(200, 600)
SHED_STATUS = 503
MISDIRECTED_STATUS = 421
# They guarantee a caller that its request has not run and never will. A worker
# that has run a request may still answer with one of them.
NOT_RUN_STATUSES = frozenset((408, MISDIRECTED_STATUS, 429, SHED_STATUS))
SECONDS_PATTERN = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")
UNFORWARDED_HEADERS = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
        "content-length",
    )
)


class AttemptResult(structs.Struct):
    """How an attempt ended.

    ``chunks`` is the part of the body that is held and ``size`` its
    length in bytes; ``open_response`` is the response from which to read
    the rest, or None. ``load`` is the worker's [running, waiting, slots],
    ``latency`` in seconds. ``leaving`` and ``pause`` are what the worker
    announced: that it shuts down, and for how many seconds it wants no
    requests. ``limit`` is the AnswerLimit that the answer exceeded, or None.
    """

    __slots__ = (
        "ending",
        "status",
        "headers",
        "chunks",
        "size",
        "open_response",
        "load",
        "latency",
        "leaving",
        "pause",
        "limit",
    )
    DEFAULTS = {
        "status": 0,
        "headers": None,
        "chunks": (),
        "size": 0,
        "open_response": None,
        "load": None,
        "latency": 0.0,
        "leaving": False,
        "pause": None,
        "limit": None,
    }

    @property
    def body(self):
        """The held part of the body as bytes."""
        return b"".join(self.chunks)

    @property
    def is_forwardable(self):
        """Whether this is a failure that the caller gets unchanged."""
        return (
            self.ending is Ending.FAILED
            and self.status not in NOT_RUN_STATUSES
        )

    @property
    def retry_after(self):
        """The seconds for which a worker refuses, or None if it gave none."""
        if self.ending is not Ending.REFUSED_SHED:
            return None
        return parse_pause(self.headers)


class OutgoingRequest(structs.Struct):
    """A caller's request as the gateway forwards it."""

    __slots__ = ("method", "target", "headers", "body", "request_id")


class WorkerClient:
    """Sends attempts to workers.

    ``held_bytes`` counts the bytes of all results that are not released;
    they are also in ``ledger``, a memory_ledger.MemoryLedger, as are the
    ``read_ahead_bytes`` of answers that callers take slowly.
    """

    __slots__ = (
        "header_names",
        "clock",
        "ledger",
        "held_bytes",
        "read_ahead_bytes",
        "_session",
    )

    def __init__(self, header_names, clock, ledger=None):
        self.header_names = header_names
        self.clock = clock
        self.ledger = ledger or memory_ledger.MemoryLedger(
            DEFAULT_MEMORY_BYTES
        )
        self.held_bytes = 0
        self.read_ahead_bytes = 0
        self._session = None

    @contextlib.asynccontextmanager
    async def open(self):
        """Open the client session for the block."""
        connector = aiohttp.TCPConnector(
            limit=0, force_close=True, socket_factory=make_socket
        )
        connector._factory = functools.partial(
            worker_connections.WorkerConnection,
            loop=asyncio.get_running_loop(),
        )
        self._session = aiohttp.ClientSession(
            connector=connector,
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=CONNECT_TIMEOUT_S
            ),
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=(
                "User-Agent",
                "Accept",
                "Accept-Encoding",
                "Content-Type",
            ),
            read_bufsize=READ_BUFFER_BYTES,
            max_line_size=MAX_HEAD_LINE_BYTES,
            max_field_size=MAX_HEAD_LINE_BYTES,
        )
        # The library would retry a GET itself when its connection breaks,
        # and has no public option to prevent that.
        self._session._retry_connection = False
        try:
            yield self
        finally:
            await self._session.close()

    async def send(self, request, worker_id, address, time_left):
        """Send one attempt and return the AttemptResult.

        ``time_left`` is in seconds.
        """
        started = self.clock()
        headers = self._make_headers(request, worker_id, time_left)
        url = yarl.URL("http://%s%s" % (address, request.target), encoded=True)
        try:
            response = await self._session.request(
                request.method,
                url,
                headers=headers,
                data=held_bodies.make_data(request.body),
                allow_redirects=False,
            )
        except aiohttp.ClientConnectorError:
            result = AttemptResult(Ending.UNREACHED)
        except aiohttp.ServerTimeoutError:
            result = AttemptResult(Ending.UNREACHED)
        except (aiohttp.ClientError, OSError) as error:
            result = AttemptResult(Ending.RESET, limit=find_limit(error))
        else:
            result = await self._receive_response(request, response)
        result.latency = self.clock() - started
        return result

    def _make_headers(self, request, worker_id, time_left):
        headers = multidict.CIMultiDict(request.headers)
        headers[self.header_names.expected_worker] = worker_id
        headers[self.header_names.deadline_ms] = str(
            max(1, int(time_left * 1000))
        )
        return headers

    async def _receive_response(self, request, response):
        ending = self._classify_response(request, response)
        load = parse_load(response.headers.get(self.header_names.worker_load))
        result = AttemptResult(
            ending, response.status, response.headers, load=load
        )
        result.chunks = []
        if self._is_answer_of_worker(request, response):
            result.leaving = (
                response.headers.get(self.header_names.leaving) == "1"
            )
            if response.status == SHED_STATUS:
                result.pause = parse_pause(response.headers)
        try:
            if ending in (Ending.ANSWERED, Ending.FAILED):
                await self._read_body(response, result)
        except (aiohttp.ClientError, OSError) as error:
            result.ending = Ending.GARBLED
            result.limit = find_limit(error)
        except BaseException:
            self.release(result)
            raise
        finally:
            if result.open_response is None:
                response.close()
        return result

    def release(self, result):
        """Release the held part of an answer and close its connection."""
        self.held_bytes -= result.size
        self.ledger.release(result.size)
        result.size, result.chunks = 0, []
        if result.open_response is not None:
            result.open_response.close()

    def _is_answer_of_worker(self, request, response):
        """Return whether the addressed worker answers this request."""
        if response.status == MISDIRECTED_STATUS:
            return False
        return self._read_request_id(request, response) == request.request_id

    def _read_request_id(self, request, response):
        """Return the request id in an answer, by default the one sent."""
        header_names = self.header_names
        return response.headers.get(
            header_names.request_id, request.request_id
        )

    def _classify_response(self, request, response):
        headers = response.headers
        if self._read_request_id(request, response) != request.request_id:
            return Ending.GARBLED
        if response.status not in FINAL_STATUSES:
            return Ending.GARBLED
        if response.status == MISDIRECTED_STATUS:
            return Ending.MISDIRECTED
        if self.header_names.not_executed in headers:
            return Ending.REFUSED_SHED
        if hdrs.CONTENT_ENCODING in headers:
            return Ending.GARBLED
        if response.status >= 500 or response.status in NOT_RUN_STATUSES:
            return Ending.FAILED
        is_signed = self.header_names.upstream_signature in headers
        if response.status < 300 and not is_signed:
            return Ending.GARBLED
        return Ending.ANSWERED

    async def _read_body(self, response, result):
        """Read the body into memory, up to the limits on held bytes.

        A failure is forwarded whole or not at all: one without an end
        only shows that the worker is unhealthy.
        """
        is_failure = result.ending is Ending.FAILED
        max_bytes = MAX_FAILURE_BYTES if is_failure else MAX_HELD_ANSWER_BYTES
        async for chunk in response.content.iter_any():
            result.chunks.append(chunk)
            result.size += len(chunk)
            self.held_bytes += len(chunk)
            has_room = self.ledger.hold(len(chunk))
            if (
                has_room
                and result.size <= max_bytes
                and self.held_bytes <= MAX_TOTAL_HELD_BYTES
            ):
                continue
            if is_failure:
                result.ending = Ending.GARBLED
            else:
                result.open_response = response
            return


def make_socket(address):
    """Return a socket that detects an unresponsive peer."""
    family, kind, protocol, _, _ = address
    sock = socket.socket(family, kind, protocol)
    sock.setsockopt(
        socket.IPPROTO_TCP, TCP_USER_TIMEOUT_OPTION, USER_TIMEOUT_MS
    )
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3)
    return sock


def find_limit(error):
    """Return the AnswerLimit behind an error, or None if it is another."""
    if isinstance(error, worker_connections.AnswerLimitError):
        return error.limit
    return None


def parse_load(text):
    """Return [running, waiting, slots] of a load header, or None.

    >>> parse_load("3,0,8")
    [3, 0, 8]
    >>> parse_load("full") is None
    True
    """
    if not text:
        return None
    try:
        numbers = [int(part) for part in text.split(",")]
    except ValueError:
        return None
    return numbers if len(numbers) == 3 else None


def parse_pause(headers):
    """Return the longest Retry-After in seconds, or None without one.

    >>> parse_pause(multidict.CIMultiDict({"Retry-After": "1.5"}))
    1.5
    >>> parse_pause(multidict.CIMultiDict({"Retry-After": "soon"})) is None
    True
    """
    texts = headers.getall(hdrs.RETRY_AFTER, ())
    found = [float(t) for t in texts if SECONDS_PATTERN.fullmatch(t.strip())]
    return max(found, default=None)
