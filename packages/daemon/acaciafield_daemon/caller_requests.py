"""A caller's request and the answer that is returned to the caller."""

import asyncio

from aiohttp import hdrs
from aiohttp import web

from acaciafield_daemon import worker_client


class Call:
    """A caller's request until its answer is complete.

    ``is_streamed`` tells whether the answer is forwarded in chunks, and
    ``is_resumable`` whether a range request can fetch the rest of an
    answer that broke off; ``validator`` is the answer's ETag. ``done`` is a
    future that completes with the answer.
    """

    __slots__ = (
        "request",
        "request_id",
        "method",
        "path",
        "body",
        "stream",
        "done",
        "response",
        "is_streamed",
        "is_resumable",
        "validator",
        "body_length",
        "finish",
        "is_aborted",
    )

    def __init__(self, request, request_id, path, body, stream):
        self.request = request
        self.request_id = request_id
        self.method = request.method
        self.path = path
        self.body = body
        self.stream = stream
        self.done = asyncio.get_running_loop().create_future()
        self.response = None
        self.is_streamed = False
        self.is_resumable = False
        self.validator = ""
        self.body_length = None
        self.finish = False
        self.is_aborted = False

    def get_timeout(self, effect):
        """Return the time in seconds in which a worker must answer."""
        return effect.timeout

    def make_headers(self):
        """Return the headers to forward to a worker."""
        headers = _remove_hop_by_hop(self.request.headers)
        forwarded = headers.get("X-Forwarded-For")
        peer = self.request.remote or ""
        headers["X-Forwarded-For"] = (
            "%s, %s" % (forwarded, peer) if forwarded else peer
        )
        return headers

    def make_body(self):
        """Return the body to forward: bytes, a stream, or None."""
        if self.stream is not None:
            return self.stream
        return self.body or None

    def record_head(self, response):
        """Record the head of a worker's response."""
        headers = response.headers
        body_length = headers.get(hdrs.CONTENT_LENGTH)
        self.body_length = (
            int(body_length) if body_length is not None else None
        )
        has_no_body = self.method == "HEAD" or response.status in (204, 304)
        is_small = self.body_length is not None and (
            self.body_length <= worker_client.MAX_BUFFERED_BODY_BYTES
        )
        self.is_streamed = not (has_no_body or is_small)
        etag = headers.get(hdrs.ETAG, "")
        self.validator = etag
        self.is_resumable = (
            self.is_streamed
            and self.method == "GET"
            and response.status == 200
            and self.body_length is not None
            and etag.startswith('"')
            and hdrs.RANGE not in self.request.headers
        )

    def is_continuation(self, response, offset):
        """Return whether the response is the rest of the same body."""
        range_match = worker_client.CONTENT_RANGE_PATTERN.match(
            response.headers.get(hdrs.CONTENT_RANGE, "")
        )
        if response.status != 206 or not range_match:
            return False
        first, last, total = (int(n) for n in range_match.groups())
        return (
            first == offset
            and total == self.body_length
            and last == total - 1
            and response.headers.get(hdrs.ETAG) == self.validator
        )

    def set_buffered_answer(self, response, body):
        """Keep a response that was read whole until the request finishes."""
        headers = _remove_hop_by_hop(response.headers)
        if self.method == "HEAD" and self.body_length is not None:
            headers[hdrs.CONTENT_LENGTH] = str(self.body_length)
        self.response = web.Response(
            status=response.status,
            reason=response.reason,
            body=body if self.method != "HEAD" else None,
            headers=headers,
        )

    async def write(self, response, chunk):
        """Forward a chunk of the answer, after the head for the first one."""
        if self.response is None:
            answer = web.StreamResponse(
                status=response.status,
                reason=response.reason,
                headers=_remove_hop_by_hop(response.headers),
            )
            if self.body_length is not None:
                answer.content_length = self.body_length
            self.response = answer
            await answer.prepare(self.request)
        await self.response.write(chunk)

    def finish_answer(self):
        """Mark the answer as complete."""
        if not self.done.done():
            self.done.set_result(None)

    def set_answer(self, response):
        """Finish with an answer that does not come from a worker."""
        self.response = response
        self.finish_answer()

    def abort(self):
        """Close the caller's connection, as the answer cannot be completed."""
        self.is_aborted = True
        if self.request.transport is not None:
            self.request.transport.abort()
        self.finish_answer()


def _remove_hop_by_hop(headers):
    stripped = headers.copy()
    listed = headers.get(hdrs.CONNECTION, "")
    for name in listed.split(","):
        stripped.popall(name.strip(), None)
    for name in worker_client.HOP_BY_HOP_HEADERS:
        stripped.popall(name, None)
    return stripped
