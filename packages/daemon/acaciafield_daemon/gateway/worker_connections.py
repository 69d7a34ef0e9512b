"""Connections to workers, which bound what a worker may send.

The HTTP library queues interim heads and further answers without a limit, and
parses all bytes that a socket holds in one turn of the event loop.
"""

import aiohttp
from aiohttp import client_proto
from aiohttp import streams

from acaciafield.gateway import answer_limits

# Bytes parsed at a time, before the limits are checked. Bytes that are no body
# take the parser much longer.
BODY_PARSED_BYTES = 16384
OTHER_PARSED_BYTES = 4096
MIN_BODY_SHARE = 0.5  # of parsed bytes, below which others count as prevailing
INTERIM_STATUSES = range(100, 200)
SWITCHING_STATUS = 101  # ends the HTTP part of a connection


class AnswerLimitError(aiohttp.ClientPayloadError):
    """An answer exceeded ``limit``, an answer_limits.AnswerLimit."""

    def __init__(self, limit):
        super().__init__(limit.value)
        self.limit = limit


class WorkerConnection(client_proto.ResponseHandler):
    """One connection to a worker, for one request.

    ``size`` counts the bytes of the answer, ``content`` is its body once the
    final head has arrived. A reset marks a body without a length as truncated.
    """

    def __init__(self, loop):
        super().__init__(loop)
        self.size = answer_limits.AnswerSize()
        self.content = None
        self._parsed_bytes = OTHER_PARSED_BYTES
        self._unparsed = b""
        self._is_yielding = False

    def data_received(self, data):
        """Parse bytes up to the end of the answer, within the limits.

        Bytes after the answer belong to no request and are dropped.
        """
        if self._parser is None:
            super().data_received(data)
            return
        if not data:
            # The library resumes a parser that it has paused.
            super().data_received(data)
        data, self._unparsed = self._unparsed + data, b""
        position = 0
        while position < len(data) and not self._is_ended():
            if self._reading_paused or self._is_yielding:
                self._unparsed = data[position:]
                return
            end = position + self._parsed_bytes
            if self.content is None:
                end = min(end, position + self.size.head_room)
            is_body = self._parse(data[position:end])
            self._parsed_bytes = (
                BODY_PARSED_BYTES if is_body else OTHER_PARSED_BYTES
            )
            position = end
            if not is_body and position < len(data):
                self._yield_turn()
        if self.content is not None and self.content.is_eof():
            self._pause_transport_reading()

    def feed_data(self, data, size=0):
        """Pass on the final head only, as the others mean nothing here."""
        message, content = data
        if (
            message.code in INTERIM_STATUSES
            and message.code != SWITCHING_STATUS
        ):
            self.size.interim_heads += 1
        elif self.content is None and self.size.may_have_final_head:
            self.content = content
            super().feed_data(data, size)

    def connection_lost(self, exc):
        """Fail the body first if the connection did not close cleanly."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError("reset"))
        super().connection_lost(exc)

    def _is_ended(self):
        if self.exception() is not None or self.transport is None:
            return True
        return self.content is not None and self.content.is_eof()

    def _parse(self, data):
        """Parse bytes; return whether they were body for the most part."""
        if self.content is None:
            self.size.head_bytes += len(data)
        else:
            self.size.later_bytes += len(data)
        size_before = self._get_body_size()
        super().data_received(data)
        if self.exception() is not None:
            # The parser has failed, which the library reports only to a
            # reader of the head.
            self._fail_content(aiohttp.ClientPayloadError("unparsable"))
            return False
        body_size = self._get_body_size()
        limit = self.size.find_exceeded(self.content is not None, body_size)
        if limit is not None and not self._is_ended():
            self._abort(AnswerLimitError(limit))
        return body_size - size_before >= MIN_BODY_SHARE * len(data)

    def _get_body_size(self):
        if isinstance(self.content, streams.StreamReader):
            return self.content.total_bytes
        return 0

    def _yield_turn(self):
        """Parse no more in this turn of the event loop."""
        if not self._is_yielding and not self._is_ended():
            self._is_yielding = True
            self._pause_reading_for_buffer()
            self._loop.call_soon(self._continue)

    def _continue(self):
        self._is_yielding = False
        if self.transport is not None:
            self._resume_reading_for_buffer()
            self.data_received(b"")

    def _abort(self, error):
        """Fail the answer and close the connection at once."""
        transport = self.transport
        self._fail_content(error)
        self.set_exception(error)
        if transport is not None:
            transport.abort()

    def _fail_content(self, error):
        """Fail a body that has neither ended nor failed."""
        content = self.content
        if content is None or content.is_eof():
            return
        if content.exception() is None:
            content.set_exception(error)
