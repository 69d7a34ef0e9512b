"""Responses to callers: generated here or forwarded from workers."""

import asyncio
import contextlib

import aiohttp
from aiohttp import hdrs
from aiohttp import web
import multidict

from acaciafield import outcomes
from acaciafield_daemon.gateway import calls
from acaciafield_daemon.gateway import read_ahead
from acaciafield_daemon.gateway import upstream

MAX_UNSTREAMED_BYTES = 65536  # a larger answer is streamed
# If writing to the caller took at least this share of the time until the
# answer was aborted, the caller read slowly, and the timeout does not count
# against the worker.
SLOW_CALLER_SHARE = 0.5


class TruncatedAnswerError(Exception):
    """A worker's answer ended before it was complete."""


def make_error_response(status, request_id, header_names, retry_after=None):
    """Return a response that the gateway itself generates.

    ``retry_after`` is in seconds; None omits the header.
    """
    headers = {}
    if request_id:
        headers[header_names.request_id] = request_id
    if retry_after is not None:
        headers[hdrs.RETRY_AFTER] = "%.2f" % retry_after
    if status == calls.UNAUTHORIZED_STATUS:
        headers[hdrs.WWW_AUTHENTICATE] = header_names.key
    return web.Response(status=status, headers=headers, text="")


def is_text(value):
    """Return whether the value of a header was valid UTF-8.

    >>> is_text("q1"), is_text(b"q\\xff".decode(errors="surrogateescape"))
    (True, False)
    """
    return not any("\ud800" <= character <= "\udfff" for character in value)


def copy_end_to_end_headers(headers):
    """Return the headers without those that apply to one connection only."""
    connection_options = headers.get("Connection", "").lower()
    hop_by_hop_names = {name.strip() for name in connection_options.split(",")}
    end_to_end_headers = multidict.CIMultiDict()
    for name, value in headers.items():
        lowered_name = name.lower()
        if (
            lowered_name not in upstream.UNFORWARDED_HEADERS
            and lowered_name not in hop_by_hop_names
        ):
            end_to_end_headers.add(name, value)
    return end_to_end_headers


async def forward_answer(result, request, clock, deadline, client):
    """Forward a worker's answer to the caller and return the response.

    ``deadline`` is the time of ``clock`` at which the gateway aborts an answer
    that has not ended. The gateway resets the caller's connection if the
    answer is late or truncated. A truncated answer, and a late one unless
    the caller was slow to read it, no longer counts as answered. ``client``
    is the upstream.WorkerClient that received the answer.
    """
    headers = copy_end_to_end_headers(result.headers)
    if result.open_response is None and result.size <= MAX_UNSTREAMED_BYTES:
        return web.Response(
            status=result.status, headers=headers, body=result.body
        )
    response = web.StreamResponse(status=result.status, headers=headers)
    response.content_length = _find_content_length(result)
    started, write_time = clock(), 0.0
    try:
        async with asyncio.timeout(max(0.0, deadline - started)):
            await response.prepare(request)
            async with contextlib.aclosing(
                _iterate_body(result, client)
            ) as chunks:
                async for chunk in chunks:
                    write_started = clock()
                    await response.write(chunk)
                    write_time += clock() - write_started
            await response.write_eof()
    except TruncatedAnswerError:
        result.ending = outcomes.Ending.GARBLED
        abort_connection(request)
    except TimeoutError:
        if write_time < SLOW_CALLER_SHARE * (clock() - started):
            result.ending = outcomes.Ending.GARBLED
        abort_connection(request)
    except BaseException:
        abort_connection(request)
        raise
    return response


def abort_connection(request):
    """Reset a caller's connection, so that it detects the partial answer."""
    if request.transport is not None:
        request.transport.abort()


def _find_content_length(result):
    if result.open_response is None:
        return result.size
    length = result.headers.get(hdrs.CONTENT_LENGTH)
    return int(length) if length is not None else None


async def _iterate_body(result, client):
    if result.open_response is None:
        for chunk in result.chunks:
            yield chunk
        result.chunks = []
        return
    ahead = read_ahead.ReadAhead(result.open_response.content, client)
    async with ahead.open():
        for chunk in result.chunks:
            yield chunk
        result.chunks = []
        try:
            async for chunk in ahead.iterate():
                yield chunk
        except (aiohttp.ClientError, OSError) as error:
            result.limit = upstream.find_limit(error)
            raise TruncatedAnswerError from error
