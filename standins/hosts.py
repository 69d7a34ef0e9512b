"""Stand-in for the platform's host list, which can lag.

``GET /hosts?service=NAME`` lists and ``POST /hosts`` sets the hosts of a
service. Fault switches: ``down``, ``lag`` (seconds).
"""

import time

import cyclopts

from standins import servers

app = cyclopts.App()


class HostList:
    """The host lists of all services; a change is visible after the lag."""

    __slots__ = ("fault_switches", "visible", "pending")

    def __init__(self):
        self.fault_switches = servers.FaultSwitches()
        self.visible = {}
        self.pending = []

    async def handle(self, request):
        """Answer a request to list or set hosts or to set switches."""
        if request.path == "/.fault":
            return await self.fault_switches.handle_request(request)
        if request.method == "POST":
            document = await request.json()
            due = time.monotonic() + self.fault_switches.get("lag", 0.0)
            self.pending.append((due, document["service"], document["hosts"]))
            return servers.make_json({})
        if self.fault_switches.get("down"):
            return servers.make_json({"error": "down"}, 503)
        self._apply_due_changes()
        hosts = self.visible.get(request.query.get("service"), [])
        return servers.make_json({"hosts": hosts})

    def _apply_due_changes(self):
        now = time.monotonic()
        for due, service, hosts in self.pending:
            if due <= now:
                self.visible[service] = hosts
        self.pending = [c for c in self.pending if c[0] > now]


@app.default
def run_hosts(*, ip: str = "127.0.0.1", port: int):
    """Serve the host list stand-in."""

    async def serve(stopped):
        async with servers.open_server(HostList().handle, ip, port):
            await stopped.wait()

    servers.run_until_signal(serve)


if __name__ == "__main__":
    app()
