"""A stand-in of the platform's store: keyed topics over HTTP.

It speaks the calls that the gateway uses, and misbehaves on request.
"""

import asyncio
import base64
import contextlib
import struct

from aiohttp import web
import orjson

READ_HEAD = struct.Struct(">QQ")
LENGTH = struct.Struct(">I")


class Topic:
    """The records of one topic; ``first`` is the oldest one kept."""

    __slots__ = ("records", "first")

    def __init__(self):
        self.records = []
        self.first = 0


class StoreServer:
    """The store; ``fault`` names how it misbehaves, or is None.

    Faults: ``busy`` answers 503, ``silent`` answers nothing, ``cut``
    ends an answer to a read in the middle of a record.
    """

    def __init__(self):
        self.topics = {}
        self.fault = None
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
        """Write a document, raw bytes, or None to drop the key."""
        value = document
        if not isinstance(document, (bytes, type(None))):
            value = orjson.dumps(document)
        self._find(topic).records.append((key, value))
        self._changed.set()
        self._changed = asyncio.Event()

    def forget_history(self, topic):
        """Drop all records but the newest of each key."""
        found = self._find(topic)
        found.first = len(found.records)

    def _find(self, topic):
        return self.topics.setdefault(topic, Topic())

    async def _answer(self, request):
        self.calls += 1
        if self.fault == "busy":
            return web.Response(status=503)
        if self.fault == "silent":
            await asyncio.sleep(30.0)
        name = request.path.rpartition("/")[2]
        answer = {
            "log-newest": self._answer_newest,
            "log-read": self._answer_read,
            "log-append": self._answer_append,
        }.get(name)
        if answer is None:
            return web.Response(status=404)
        return await answer(request, self._find(request.query["topic"]))

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
        if start < topic.first:
            body = orjson.dumps({"first": topic.first})
            return web.Response(status=410, body=body)
        wait = int(request.query.get("waitMs", "0")) / 1000.0
        if start >= len(topic.records) and wait:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait):
                    await self._changed.wait()
        body = READ_HEAD.pack(len(topic.records), topic.first)
        for key, value in topic.records[start:]:
            body += encode_record(key, value)
        if self.fault == "cut":
            body = body[:-3]
        return web.Response(body=body)

    async def _answer_append(self, request, topic):
        content = (await request.read())[LENGTH.size :]
        size = content[0]
        key = content[1 : 1 + size].decode()
        self.put(request.query["topic"], key, content[1 + size :] or None)
        body = {"offset": len(topic.records) - 1, "end": len(topic.records)}
        return web.Response(body=orjson.dumps(body))


def encode_record(key, value):
    """Return a keyed record as the store's reads carry it."""
    name = key.encode()
    content = bytes([len(name)]) + name + (value or b"")
    return LENGTH.pack(len(content)) + content
