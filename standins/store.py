"""Stand-in for the platform's store: keyed topics over HTTP.

It serves the calls that the gateway uses, and can inject faults.
"""

import asyncio
import base64
import bisect
import contextlib
import struct
import time

from aiohttp import web
import orjson

ERA_HEADER = "Store-Era"
READ_HEADER = struct.Struct(">QQ")
RECORD_LENGTH = struct.Struct(">I")


class Topic:
    """One topic; ``first_offset`` is that of the oldest readable record.

    ``times`` has the time of the event loop's clock at which each record
    was written.
    """

    __slots__ = ("records", "times", "first_offset")

    def __init__(self):
        self.records = []
        self.times = []
        self.first_offset = 0

    def append(self, key, value, now):
        """Append a record at a time in seconds."""
        self.records.append((key, value))
        self.times.append(now)

    def restore(self, copied_at):
        """Keep the records that a copy made at ``copied_at`` has."""
        count = bisect.bisect_right(self.times, copied_at)
        del self.records[count:]
        del self.times[count:]
        self.first_offset = min(self.first_offset, count)


class StoreServer:
    """The store's server; ``fault`` is the name of a fault, or None.

    Faults: ``busy`` answers with 503, ``silent`` delays each answer by 30
    seconds, ``cut`` truncates the answer to a read. ``era`` is in the
    header of all answers, None for a store without the header. While
    ``outages`` is not 0, calls are closed without an answer and ``put``
    loses its record.
    """

    def __init__(self):
        self.topics = {}
        self.fault = None
        self.era = None
        self.outages = 0
        self.calls = 0
        self.address = None
        self._changed = asyncio.Event()

    @contextlib.asynccontextmanager
    async def open(self, ip="127.0.0.1"):
        """Serve on a free port."""
        server = web.Server(self._answer)
        loop = asyncio.get_running_loop()
        listener = await loop.create_server(server, ip, 0)
        port = listener.sockets[0].getsockname()[1]
        self.address = "%s:%d" % (ip, port)
        try:
            yield self
        finally:
            listener.close()
            self._changed.set()
            await server.shutdown(0.1)

    def put(self, topic, key, document):
        """Append a document, raw bytes, or None to delete the key."""
        if self.outages:
            return
        value = document
        if not isinstance(document, (bytes, type(None))):
            value = orjson.dumps(document)
        self._get_topic(topic).append(key, value, time.monotonic())
        self._wake_readers()

    def restore(self, copied_at):
        """Return to a copy made at ``copied_at`` and raise the era.

        The time is of time.monotonic. Later records are lost, and their
        offsets are issued again.
        """
        for topic in self.topics.values():
            topic.restore(copied_at)
        if self.era is not None:
            self.era += 1

    async def restore_after_outage(self, away_s, age_s):
        """Be unavailable for ``away_s``, then return from an older copy.

        The copy is ``age_s`` old when the outage begins.
        """
        copied_at = time.monotonic() - age_s
        self.outages += 1
        self._wake_readers()
        try:
            await asyncio.sleep(away_s)
            self.restore(copied_at)
        finally:
            self.outages -= 1

    def _wake_readers(self):
        self._changed.set()
        self._changed = asyncio.Event()

    def truncate_history(self, topic):
        """Refuse reads of the records so far; the newest of each key stay."""
        target = self._get_topic(topic)
        target.first_offset = len(target.records)

    def _get_topic(self, topic):
        return self.topics.setdefault(topic, Topic())

    async def _answer(self, request):
        response = await self._make_answer(request)
        if self.outages and request.transport is not None:
            request.transport.abort()
        if self.era is not None:
            response.headers[ERA_HEADER] = str(self.era)
        return response

    async def _make_answer(self, request):
        self.calls += 1
        if self.outages:
            return web.Response(status=503)
        if self.fault == "busy":
            return web.Response(status=503)
        if self.fault == "silent":
            await asyncio.sleep(30.0)
        call_name = request.path.rpartition("/")[2]
        answer = {
            "log-newest": self._answer_newest,
            "log-read": self._answer_read,
            "log-append": self._answer_append,
        }.get(call_name)
        if answer is None:
            return web.Response(status=404)
        return await answer(request, self._get_topic(request.query["topic"]))

    async def _answer_newest(self, request, topic):
        newest = {}
        for offset, (key, value) in enumerate(topic.records):
            newest.pop(key, None)
            if value is not None:
                newest[key] = (offset, value)
        items = [
            {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "offset": offset,
            }
            for key, (offset, value) in newest.items()
        ]
        body = {"items": items, "hasMore": False, "end": len(topic.records)}
        return web.Response(body=orjson.dumps(body))

    async def _answer_read(self, request, topic):
        start = int(request.query["from"])
        if not topic.first_offset <= start <= len(topic.records):
            body = orjson.dumps({"first": topic.first_offset})
            return web.Response(status=410, body=body)
        wait_s = int(request.query.get("waitMs", "0")) / 1000.0
        if start >= len(topic.records) and wait_s:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await self._changed.wait()
        body = READ_HEADER.pack(len(topic.records), topic.first_offset)
        for key, value in topic.records[start:]:
            body += encode_record(key, value)
        if self.fault == "cut":
            body = body[:-3]
        return web.Response(body=body)

    async def _answer_append(self, request, topic):
        content = (await request.read())[RECORD_LENGTH.size :]
        size = content[0]
        key = content[1 : 1 + size].decode()
        self.put(request.query["topic"], key, content[1 + size :] or None)
        body = {"offset": len(topic.records) - 1, "end": len(topic.records)}
        return web.Response(body=orjson.dumps(body))


def encode_record(key, value):
    """Return a keyed record in the format of the store's reads."""
    name = key.encode()
    content = bytes([len(name)]) + name + (value or b"")
    return RECORD_LENGTH.pack(len(content)) + content
