"""Stand-in for the platform's log: streams, retention, outages.

``GET /streams/NAME?from=N`` reads, ``POST /streams/NAME`` appends.
Fault switches: ``down``, ``slow`` (seconds), ``lose_answers``,
``retention`` (number of records retained in each stream).
"""

import asyncio
import base64

import cyclopts

from standins import servers

MAX_RECORDS_PER_READ = 1000

app = cyclopts.App()


class Stream:
    """The retained records of one stream."""

    __slots__ = ("first_offset", "records")

    def __init__(self):
        self.first_offset = 0
        self.records = []

    def append(self, data, retention):
        """Append a record; return its offset."""
        self.records.append(data)
        offset = self.first_offset + len(self.records) - 1
        if retention is not None:
            self.truncate(retention)
        return offset

    def truncate(self, retention):
        """Delete all but the newest ``retention`` records."""
        surplus = len(self.records) - retention
        if surplus > 0:
            del self.records[:surplus]
            self.first_offset += surplus

    def read(self, offset):
        """Return pairs (offset, data) that start at an offset."""
        start = max(0, offset - self.first_offset)
        part = self.records[start : start + MAX_RECORDS_PER_READ]
        return [(self.first_offset + start + i, d) for i, d in enumerate(part)]


class LogService:
    """The server of all streams, with fault switches."""

    __slots__ = ("fault_switches", "streams", "appends")

    def __init__(self):
        self.fault_switches = servers.FaultSwitches()
        self.streams = {}
        self.appends = 0

    async def handle(self, request):
        """Answer a read, an append or a request to set switches."""
        if request.path == "/.fault":
            return await self.fault_switches.handle_request(request)
        if request.path == "/.appends":
            return servers.make_json({"appends": self.appends})
        if self.fault_switches.get("down"):
            return servers.make_json({"error": "down"}, 503)
        await asyncio.sleep(self.fault_switches.get("slow", 0.0))
        name = request.path.removeprefix("/streams/")
        stream = self.streams.setdefault(name, Stream())
        if request.method == "POST":
            data = await request.read()
            self.appends += 1
            offset = stream.append(data, self.fault_switches.get("retention"))
            if self.fault_switches.get("lose_answers"):
                request.transport.abort()
            return servers.make_json({"offset": offset})
        if self.fault_switches.get("retention") is not None:
            stream.truncate(self.fault_switches.get("retention"))
        records = stream.read(int(request.query.get("from", 0)))
        return servers.make_json(
            {
                "earliest": stream.first_offset,
                "records": [
                    {"offset": o, "data": base64.b64encode(d).decode()}
                    for o, d in records
                ],
            }
        )


@app.default
def run_log(*, ip: str = "127.0.0.1", port: int):
    """Serve the log stand-in."""

    async def serve(stopped):
        async with servers.open_server(LogService().handle, ip, port):
            await stopped.wait()

    servers.run_until_signal(serve)


if __name__ == "__main__":
    app()
