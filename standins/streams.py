"""Stand-in of the platform's log: streams, retention, outages.

``GET /streams/NAME?from=N`` reads, ``POST /streams/NAME`` appends.
Switches: ``down``, ``slow`` (seconds), ``lose_answers``, ``retention``
(records kept of each stream).
"""

import asyncio
import base64

import cyclopts

from standins import servers

MOST_READ = 1000  # records in one answer

app = cyclopts.App()


class Stream:
    """The kept records of one stream."""

    __slots__ = ("first", "records")

    def __init__(self):
        self.first = 0
        self.records = []

    def append(self, data, retention):
        """Append a record; return its offset."""
        self.records.append(data)
        offset = self.first + len(self.records) - 1
        if retention is not None:
            self.truncate(retention)
        return offset

    def truncate(self, retention):
        """Keep only the newest records."""
        surplus = len(self.records) - retention
        if surplus > 0:
            del self.records[:surplus]
            self.first += surplus

    def read(self, offset):
        """Return (offset, data) pairs from an offset on."""
        start = max(0, offset - self.first)
        part = self.records[start : start + MOST_READ]
        return [(self.first + start + i, d) for i, d in enumerate(part)]


class LogService:
    """All streams, behind the fault switches."""

    __slots__ = ("faults", "streams", "appends")

    def __init__(self):
        self.faults = servers.Faults()
        self.streams = {}
        self.appends = 0

    async def handle(self, request):
        """Answer a read, an append or a switch."""
        if request.path == "/.fault":
            return await self.faults.answer(request)
        if request.path == "/.appends":
            return servers.make_json({"appends": self.appends})
        if self.faults.get("down"):
            return servers.make_json({"error": "down"}, 503)
        await asyncio.sleep(self.faults.get("slow", 0.0))
        name = request.path.removeprefix("/streams/")
        stream = self.streams.setdefault(name, Stream())
        if request.method == "POST":
            data = await request.read()
            self.appends += 1
            offset = stream.append(data, self.faults.get("retention"))
            if self.faults.get("lose_answers"):
                request.transport.abort()
            return servers.make_json({"offset": offset})
        if self.faults.get("retention") is not None:
            stream.truncate(self.faults.get("retention"))
        records = stream.read(int(request.query.get("from", 0)))
        return servers.make_json(
            {
                "earliest": stream.first,
                "records": [
                    {"offset": o, "data": base64.b64encode(d).decode()}
                    for o, d in records
                ],
            }
        )


@app.default
def run_log(*, ip: str = "127.0.0.1", port: int):
    """Serve the stand-in log."""

    async def serve(stopped):
        async with servers.open_server(LogService().handle, ip, port):
            await stopped.wait()

    servers.run_until_told(serve)


if __name__ == "__main__":
    app()
