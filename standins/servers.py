"""Common parts of the stand-ins: servers, stop signals, fault switches."""

import asyncio
import contextlib
import json
import signal

from aiohttp import web
import aiomisc


class FaultSwitches:
    """Fault switches by name; a switch that is off is absent."""

    __slots__ = ("switches",)

    def __init__(self):
        self.switches = {}

    def get(self, name, default=None):
        """Return the value of a switch, or the default if it is off."""
        return self.switches.get(name, default)

    async def handle_request(self, request):
        """Set switches from a JSON object; null turns a switch off."""
        for name, value in (await request.json()).items():
            if value is None:
                self.switches.pop(name, None)
            else:
                self.switches[name] = value
        return make_json(self.switches)


def make_json(document, status=200):
    """Return a response with a JSON document."""
    return web.Response(
        status=status,
        body=json.dumps(document).encode(),
        content_type="application/json",
    )


@contextlib.asynccontextmanager
async def open_server(handler, ip, port):
    """Serve a handler on an address."""
    server = web.Server(handler, access_log=None)
    runner = web.ServerRunner(server, shutdown_timeout=0.2)
    await runner.setup()
    await web.TCPSite(runner, ip, port, backlog=512).start()
    try:
        yield runner
    finally:
        await runner.cleanup()


def run_until_signal(serve):
    """Run ``serve(stopped)``; SIGTERM or SIGINT sets the event."""
    with aiomisc.entrypoint(pool_size=1, log_config=False) as loop:
        loop.run_until_complete(_run_until_signal(serve))


async def _run_until_signal(serve):
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopped.set)
    await serve(stopped)
