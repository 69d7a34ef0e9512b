"""Answers to callers: of the gateway's own, and passed on from workers."""

import asyncio

import aiohttp
from aiohttp import hdrs
from aiohttp import web
import multidict

from acaciafield import outcomes
from acaciafield_daemon.gateway import upstream

AT_ONCE = 65536  # bytes of an answer that are handed to the HTTP library
SLOW_SHARE = 0.5  # of the time of an answer that was cut off; a caller that
# took longer to read explains why it did not end in time


class BrokenOff(Exception):
    """A worker's answer ended before it was whole."""


def make_problem(status, request_id, names, retry_after=None):
    """Return an answer of the gateway's own."""
    headers = {}
    if request_id:
        headers[names.request_id] = request_id
    if retry_after is not None:
        headers[hdrs.RETRY_AFTER] = "%.2f" % retry_after
    return web.Response(status=status, headers=headers, text="")


def filter_headers(headers):
    """Return the fields that concern more than one connection."""
    named = headers.get("Connection", "").lower()
    dropped = {name.strip() for name in named.split(",")}
    kept = multidict.CIMultiDict()
    for name, value in headers.items():
        low = name.lower()
        if low not in upstream.HOP_BY_HOP and low not in dropped:
            kept.add(name, value)
    return kept


async def pass_on(result, request, clock, until):
    """Pass a worker's answer on; return the response.

    ``until`` is a time of ``clock``, at which an answer without an end
    is given up. One that breaks off here breaks off for the caller too,
    and its result no longer counts as answered.
    """
    headers = filter_headers(result.headers)
    if result.rest is None and result.size <= AT_ONCE:
        return web.Response(
            status=result.status, headers=headers, body=result.body
        )
    response = web.StreamResponse(status=result.status, headers=headers)
    response.content_length = _find_length(result)
    started, writing = clock(), 0.0
    try:
        async with asyncio.timeout(max(0.0, until - started)):
            await response.prepare(request)
            async for part in _iterate(result):
                began = clock()
                await response.write(part)
                writing += clock() - began
            await response.write_eof()
    except BrokenOff:
        result.ending = outcomes.Ending.GARBLED
        abort_connection(request)
    except TimeoutError:
        if writing < SLOW_SHARE * (clock() - started):
            result.ending = outcomes.Ending.GARBLED
        abort_connection(request)
    except BaseException:
        abort_connection(request)
        raise
    return response


def abort_connection(request):
    """Reset a caller's connection, so that no answer looks complete."""
    if request.transport is not None:
        request.transport.abort()


def _find_length(result):
    if result.rest is None:
        return result.size
    length = result.headers.get(hdrs.CONTENT_LENGTH)
    return int(length) if length is not None else None


async def _iterate(result):
    for part in result.parts:
        yield part
    result.parts = []
    if result.rest is None:
        return
    content = result.rest.content
    while True:
        try:
            part = await content.readany()
        except (aiohttp.ClientError, OSError) as error:
            raise BrokenOff from error
        if not part:
            return
        yield part
