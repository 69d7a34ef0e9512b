"""Start and stop the daemon and the stand-ins as processes."""

import asyncio
import contextlib
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time

import aiohttp

from acaciafield import configuration

IP = "127.0.0.1"
FIRST_PORT = 20000
LAST_PORT = 31000  # below the usual range of ephemeral ports
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 60.0
POLL_PERIOD_S = 0.05
PROGRAMS = pathlib.Path(sys.executable).parent
ROOT = pathlib.Path(__file__).resolve().parent.parent

_NODE_SETTINGS = """\
[node]
name = %(name)s
ip = %(ip)s
http-port = %(http_port)d
peer-port = %(peer_port)d
availability-zone = %(zone)s

[platform]
log = %(log)s
hosts = %(hosts)s

[callers]
answer-validity = %(validity)s
"""


class StartedProcess:
    """A process that was started, with its address."""

    __slots__ = ("name", "process", "port", "peer_port", "zone")

    def __init__(self, name, process, port, peer_port=0, zone="a"):
        self.name = name
        self.process = process
        self.port = port
        self.peer_port = peer_port
        self.zone = zone

    @property
    def address(self):
        """The address, as ``ip:port``."""
        return "%s:%d" % (IP, self.port)

    def send_signal(self, number):
        """Send a signal to the process."""
        self.process.send_signal(number)


class Processes:
    """All processes of one run; ``workers`` maps worker ids to ports."""

    def __init__(self, folder, validity_s=2.0):
        self.folder = pathlib.Path(folder)
        self.validity_s = validity_s
        self.random = random.Random()
        self.all_processes = []
        self.nodes = {}
        self.workers = {}
        self.host_lists = {}
        self.log = None
        self.hosts = None

    @property
    def log_url(self):
        """The URL of the log stand-in."""
        return "http://" + self.log.address

    def start_platform_standins(self):
        """Start the stand-ins for the log and the host list."""
        self.log = self._start_module("streams", [])
        self.hosts = self._start_module("hosts", [])

    def start_workers(
        self, service, count, slots, mean_s, in_own_processes=False
    ):
        """Start a service's workers, in one process or each in its own.

        ``mean_s`` is the mean service time in seconds.
        """
        groups = [1] * count if in_own_processes else [count]
        started_count = 0
        for size in groups:
            started = self._start_module(
                "worker",
                [
                    "--service=%s" % service,
                    "--count=%d" % size,
                    "--slots=%d" % slots,
                    "--mean=%s" % mean_s,
                    "--seed=%d" % (started_count + 1),
                ],
                ports=size,
            )
            for offset in range(size):
                worker_id = "%s-%d" % (service, started_count + offset + 1)
                self.workers[worker_id] = started.port + offset
            started_count += size
        self.host_lists[service] = [
            make_entry(
                "%s-%d" % (service, n + 1),
                self.workers["%s-%d" % (service, n + 1)],
                "abc"[n % 3],
                slots,
            )
            for n in range(count)
        ]

    def start_node(self, name, zone="a"):
        """Start a node of the fleet."""
        port, peer_port = self.find_ports(1), self.find_ports(1)
        path = self.folder / ("%s.ini" % name)
        path.write_text(
            _NODE_SETTINGS
            % {
                "name": name,
                "ip": IP,
                "http_port": port,
                "peer_port": peer_port,
                "zone": zone,
                "log": self.log_url,
                "hosts": "http://" + self.hosts.address,
                "validity": self.validity_s,
            }
        )
        command = [str(PROGRAMS / "acaciafieldd"), str(path)]
        started = self._start(name, command, port, peer_port, zone)
        self.nodes[name] = started
        self.host_lists["acaciafield"] = [
            make_entry(n.name, n.peer_port, n.zone, 1)
            for n in self.nodes.values()
        ]
        return started

    async def publish_hosts(self, session):
        """Send the started hosts to the host list stand-in."""
        for service, hosts in self.host_lists.items():
            await post_json(
                session,
                self.hosts.address,
                "hosts",
                {"service": service, "hosts": hosts},
            )

    async def wait_for_standins(self, session):
        """Wait until the platform stand-ins and all workers answer."""
        for started in [self.log, self.hosts]:
            await await_answer(session, started.address, "hosts")
        for port in self.workers.values():
            await await_answer(session, "%s:%d" % (IP, port), ".ledger")

    async def wait_for_nodes(self, session, configured=True):
        """Wait until every node sees all nodes alive and is configured."""
        end = time.monotonic() + START_TIMEOUT_S
        for node in self.nodes.values():
            while True:
                status = await get_json(
                    session, node.address, ".acaciafield/status"
                )
                if status is not None:
                    alive = [
                        m for m in status["members"] if m["status"] == "alive"
                    ]
                    ready = len(alive) == len(self.nodes)
                    if ready and (status["offset"] > 0 or not configured):
                        break
                if time.monotonic() > end:
                    raise TimeoutError("%s is not ready" % node.name)
                await wait_poll_period()

    def find_ports(self, count):
        """Return the first of ``count`` consecutive free ports."""
        while True:
            first = self.random.randrange(FIRST_PORT, LAST_PORT - count)
            if all(_is_free(first + n) for n in range(count)):
                return first

    def stop(self):
        """Stop all processes that still run, nodes first."""
        for node in self.nodes.values():
            self._terminate(node)
        end = time.monotonic() + STOP_TIMEOUT_S
        for node in self.nodes.values():
            self._wait(node, end)
        for started in self.all_processes:
            self._terminate(started)
        for started in self.all_processes:
            self._wait(started, end)

    def _start_module(self, name, options, ports=1):
        port = self.find_ports(ports)
        command = [sys.executable, "-m", "standins.%s" % name]
        command += ["--port=%d" % port, *options]
        return self._start(name, command, port)

    def _start(self, name, command, port, peer_port=0, zone="a"):
        with open(self.folder / ("%s-%d.log" % (name, port)), "wb") as log:
            process = subprocess.Popen(
                command,
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        started = StartedProcess(name, process, port, peer_port, zone)
        self.all_processes.append(started)
        return started

    def _terminate(self, started):
        if started.process.poll() is None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(started.process.pid, signal.SIGCONT)
                started.process.terminate()

    def _wait(self, started, end):
        try:
            started.process.wait(max(0.1, end - time.monotonic()))
        except subprocess.TimeoutExpired:
            started.process.kill()
            started.process.wait()


@contextlib.contextmanager
def open_processes(validity_s=2.0):
    """Yield the processes of a run, and stop them at the end."""
    with tempfile.TemporaryDirectory(prefix="acaciafield-") as folder:
        processes = Processes(folder, validity_s)
        try:
            yield processes
        finally:
            processes.stop()


def make_entry(host_id, port, zone, slots, state="live", started=0.0):
    """Return a host as an entry of the host list."""
    return {
        "id": host_id,
        "address": "%s:%d" % (IP, port),
        "availability_zone": zone,
        "state": state,
        "slots": slots,
        "started": started,
    }


async def get_json(session, address, path):
    """Return the JSON document at a path, or None if there is none."""
    try:
        url = "http://%s/%s" % (address, path)
        async with session.get(url) as response:
            return await response.json(content_type=None)
    except (aiohttp.ClientError, OSError, ValueError, TimeoutError):
        return None


async def post_json(session, address, path, document):
    """Post a JSON document; return the answer."""
    url = "http://%s/%s" % (address, path)
    async with session.post(url, json=document) as response:
        return await response.json(content_type=None)


async def publish_services(session, running, bodies):
    """Publish services by appending a change to the log."""
    items = {name: (0, body) for name, body in bodies.items()}
    await post_json(
        session,
        running.log.address,
        "streams/%s" % configuration.STREAM,
        configuration.make_change("bench", items, "bench"),
    )


async def await_answer(session, address, path):
    """Wait until an address answers a GET request with JSON."""
    end = time.monotonic() + START_TIMEOUT_S
    while await get_json(session, address, path) is None:
        if time.monotonic() > end:
            raise TimeoutError("%s does not answer" % address)
        await wait_poll_period()


async def wait_poll_period():
    """Wait for one poll period."""
    await asyncio.sleep(POLL_PERIOD_S)


def _is_free(port):
    for socket_type in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, socket_type) as sock:
            try:
                sock.bind((IP, port))
            except OSError:
                return False
    return True
