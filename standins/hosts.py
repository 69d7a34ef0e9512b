"""Stand-in of the platform's list of hosts, which lags.

``GET /hosts?service=NAME`` lists, ``POST /hosts`` sets the hosts of a
service. Switches: ``down``, ``lag`` (seconds).
"""

import time

import cyclopts

from standins import servers

app = cyclopts.App()


class HostList:
    """The lists of all services; each change shows after the lag."""

    __slots__ = ("faults", "shown", "coming")

    def __init__(self):
        self.faults = servers.Faults()
        self.shown = {}
        self.coming = []

    async def handle(self, request):
        """Answer a listing, a change or a switch."""
        if request.path == "/.fault":
            return await self.faults.answer(request)
        if request.method == "POST":
            document = await request.json()
            due = time.monotonic() + self.faults.get("lag", 0.0)
            self.coming.append((due, document["service"], document["hosts"]))
            return servers.make_json({})
        if self.faults.get("down"):
            return servers.make_json({"error": "down"}, 503)
        self._show_due()
        hosts = self.shown.get(request.query.get("service"), [])
        return servers.make_json({"hosts": hosts})

    def _show_due(self):
        now = time.monotonic()
        for due, service, hosts in self.coming:
            if due <= now:
                self.shown[service] = hosts
        self.coming = [c for c in self.coming if c[0] > now]


@app.default
def run_hosts(*, ip: str = "127.0.0.1", port: int):
    """Serve the stand-in host list."""

    async def serve(stopped):
        async with servers.open_server(HostList().handle, ip, port):
            await stopped.wait()

    servers.run_until_told(serve)


if __name__ == "__main__":
    app()
