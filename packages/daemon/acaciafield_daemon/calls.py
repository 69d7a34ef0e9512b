"""One caller's request and the answer that goes back to it."""

import asyncio

from aiohttp import hdrs
from aiohttp import web

from acaciafield_daemon import backends


class Call:
    """A request in hand: what to send on, and where the answer goes.

    ``streams`` tells whether the answer is passed on piece by piece;
    ``resumable`` whether the rest of a broken answer can be asked for.
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
        "streams",
        "resumable",
        "validator",
        "length",
        "finish",
        "aborted",
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
        self.streams = False
        self.resumable = False
        self.validator = ""
        self.length = None
        self.finish = False
        self.aborted = False

    def get_timeout(self, effect):
        """Return the seconds until a worker must have answered."""
        return effect.timeout

    def make_headers(self):
        """Return the headers to send on."""
        headers = _strip(self.request.headers)
        forwarded = headers.get("X-Forwarded-For")
        peer = self.request.remote or ""
        headers["X-Forwarded-For"] = (
            "%s, %s" % (forwarded, peer) if forwarded else peer
        )
        return headers

    def make_body(self):
        """Return the body to send on."""
        if self.stream is not None:
            return self.stream
        return self.body or None

    def note_head(self, response):
        """Take the head of the answer in."""
        headers = response.headers
        length = headers.get(hdrs.CONTENT_LENGTH)
        self.length = int(length) if length is not None else None
        bodiless = self.method == "HEAD" or response.status in (204, 304)
        small = self.length is not None and (
            self.length <= backends.SMALL_BODY
        )
        self.streams = not (bodiless or small)
        etag = headers.get(hdrs.ETAG, "")
        self.validator = etag
        self.resumable = (
            self.streams
            and self.method == "GET"
            and response.status == 200
            and self.length is not None
            and etag.startswith('"')
            and hdrs.RANGE not in self.request.headers
        )

    def continues(self, response, offset):
        """Tell whether the answer is the rest of the same body."""
        found = backends._RANGE.match(
            response.headers.get(hdrs.CONTENT_RANGE, "")
        )
        if response.status != 206 or not found:
            return False
        first, last, total = (int(n) for n in found.groups())
        return (
            first == offset
            and total == self.length
            and last == total - 1
            and response.headers.get(hdrs.ETAG) == self.validator
        )

    def set_whole(self, response, body):
        """Hold a small answer, whole, until it is given."""
        headers = _strip(response.headers)
        if self.method == "HEAD" and self.length is not None:
            headers[hdrs.CONTENT_LENGTH] = str(self.length)
        self.response = web.Response(
            status=response.status,
            reason=response.reason,
            body=body if self.method != "HEAD" else None,
            headers=headers,
        )

    async def write(self, response, chunk):
        """Pass a piece of the answer on; the first brings the head."""
        if self.response is None:
            answer = web.StreamResponse(
                status=response.status,
                reason=response.reason,
                headers=_strip(response.headers),
            )
            if self.length is not None:
                answer.content_length = self.length
            self.response = answer
            await answer.prepare(self.request)
        await self.response.write(chunk)

    def finish_answer(self):
        """The answer is whole."""
        if not self.done.done():
            self.done.set_result(None)

    def answer_with(self, response):
        """Give another answer than a worker's."""
        self.response = response
        self.finish_answer()

    def abort(self):
        """Close the caller's connection: the answer cannot be whole."""
        self.aborted = True
        if self.request.transport is not None:
            self.request.transport.abort()
        self.finish_answer()


def _strip(headers):
    stripped = headers.copy()
    listed = headers.get(hdrs.CONNECTION, "")
    for name in listed.split(","):
        stripped.popall(name.strip(), None)
    for name in backends.HOP_BY_HOP:
        stripped.popall(name, None)
    return stripped
