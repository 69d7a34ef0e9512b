"""The daemon's program: reads settings and serves until it is stopped."""

import asyncio
import contextlib
import secrets
import signal
import sys
import time

import aiomisc
import cyclopts

from acaciafield import events
from acaciafield import node as nodes
from acaciafield_daemon import driver as drivers
from acaciafield_daemon import log as logs
from acaciafield_daemon import settings as settings_files

EXIT_BAD_SETTINGS = 2
EXIT_CANNOT_SERVE = 3

app = cyclopts.App(
    name="acaciafieldd", help="Serve as one node of the proxy fleet."
)


@app.default
def run_daemon(settings: str, *, check: bool = False):
    """Run one node until SIGTERM requests a planned stop.

    Example: acaciafieldd node.ini

    Parameters
    ----------
    settings: str
        The settings file.
    check: bool
        Only check the settings.
    """
    result = settings_files.read_settings(settings)
    if result.is_error():
        for finding in result.error:
            print(finding, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    if check:
        print("%s is in order." % settings)
        return 0
    try:
        with aiomisc.entrypoint(pool_size=1, log_config=False) as loop:
            loop.run_until_complete(serve(result.ok))
    except OSError as error:
        print("cannot serve: %s" % error, file=sys.stderr)
        return EXIT_CANNOT_SERVE
    return 0


async def serve(settings):
    """Serve until a planned stop is complete."""
    node = make_node(settings)
    log = logs.Log(node.node_id, settings.get("log", "level") == "quiet")
    log.open()
    driver = drivers.Driver(settings, node, log)
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(
            signal_number, driver.dispatch_event, events.StopRequested
        )
    async with contextlib.AsyncExitStack() as stack:
        await stack.enter_async_context(driver.platform_client.open())
        await stack.enter_async_context(driver.worker_client.open())
        await stack.enter_async_context(driver.peer_transport.open())
        await stack.enter_async_context(driver.caller_server.open())
        driver.start()
        driver.write_log("main", "Serving as %s." % node.node_id)
        await driver.stopped.wait()


def make_node(settings):
    """Return a node whose identifier is new with each start."""
    incarnation = "%x" % int(time.time() * 1000)
    seed = settings.get("node", "seed") or secrets.randbits(63)
    return nodes.Node(
        "%s_%s" % (settings.get("node", "name"), incarnation),
        seed,
        ip=settings.get("node", "ip"),
        http_port=settings.get("node", "http-port"),
        peer_port=settings.get("node", "peer-port"),
        availability_zone=settings.get("node", "availability-zone"),
        validity=settings.get("callers", "answer-validity"),
    )


def run_program():
    """Run the command line and exit with its code."""
    sys.exit(app(result_action="return_value"))
