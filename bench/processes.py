"""Starts the daemon and the stand-ins as processes, and stops them."""

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
LAST_PORT = 31000  # below the ports that systems hand out by themselves
START_WAIT = 30.0  # seconds
STOP_WAIT = 60.0  # seconds
POLL_PERIOD = 0.05  # seconds
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


class Started:
    """A process with the address at which it serves."""

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

    def signal(self, number):
        """Send a signal to the process."""
        self.process.send_signal(number)


class Processes:
    """All processes of one run; ``workers`` maps an id to its port."""

    def __init__(self, folder, validity=2.0):
        self.folder = pathlib.Path(folder)
        self.validity = validity
        self.random = random.Random()
        self.all = []
        self.nodes = {}
        self.workers = {}
        self.listed = {}
        self.log = None
        self.hosts = None

    @property
    def log_url(self):
        """The URL of the stand-in log."""
        return "http://" + self.log.address

    def start_platform(self):
        """Start the stand-ins of the log and of the host list."""
        self.log = self._start_module("streams", [])
        self.hosts = self._start_module("hosts", [])

    def start_workers(self, service, count, slots, mean, apart=False):
        """Start a service's workers, in one process or each in its own."""
        groups = [1] * count if apart else [count]
        done = 0
        for size in groups:
            started = self._start_module(
                "worker",
                [
                    "--service=%s" % service,
                    "--count=%d" % size,
                    "--slots=%d" % slots,
                    "--mean=%s" % mean,
                    "--seed=%d" % (done + 1),
                ],
                ports=size,
            )
            for offset in range(size):
                worker_id = "%s-%d" % (service, done + offset + 1)
                self.workers[worker_id] = started.port + offset
            done += size
        self.listed[service] = [
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
                "validity": self.validity,
            }
        )
        command = [str(PROGRAMS / "acaciafieldd"), str(path)]
        started = self._start(name, command, port, peer_port, zone)
        self.nodes[name] = started
        self.listed["acaciafield"] = [
            make_entry(n.name, n.peer_port, n.zone, 1)
            for n in self.nodes.values()
        ]
        return started

    async def publish_hosts(self, session):
        """Tell the stand-in host list what was started."""
        for service, hosts in self.listed.items():
            await post(
                session,
                self.hosts.address,
                "hosts",
                {"service": service, "hosts": hosts},
            )

    async def await_ready(self, session):
        """Wait until every process serves and every node is settled."""
        for started in [self.log, self.hosts]:
            await await_answer(session, started.address, "hosts")
        for port in self.workers.values():
            await await_answer(session, "%s:%d" % (IP, port), ".ledger")

    async def await_nodes(self, session, configured=True):
        """Wait until every node knows the others and is configured."""
        end = time.monotonic() + START_WAIT
        for node in self.nodes.values():
            while True:
                status = await get(
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
                await pause()

    def find_ports(self, count):
        """Return the first of some free successive ports."""
        while True:
            first = self.random.randrange(FIRST_PORT, LAST_PORT - count)
            if all(_is_free(first + n) for n in range(count)):
                return first

    def stop(self):
        """Stop every process that still runs; nodes first, gracefully."""
        for node in self.nodes.values():
            self._terminate(node)
        end = time.monotonic() + STOP_WAIT
        for node in self.nodes.values():
            self._wait(node, end)
        for started in self.all:
            self._terminate(started)
        for started in self.all:
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
        started = Started(name, process, port, peer_port, zone)
        self.all.append(started)
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
def open_processes(validity=2.0):
    """Hold the processes of a run; stop them at the end."""
    with tempfile.TemporaryDirectory(prefix="acaciafield-") as folder:
        processes = Processes(folder, validity)
        try:
            yield processes
        finally:
            processes.stop()


def make_entry(host_id, port, zone, slots, state="live", started=0.0):
    """Return an entry of the host list."""
    return {
        "id": host_id,
        "address": "%s:%d" % (IP, port),
        "availability_zone": zone,
        "state": state,
        "slots": slots,
        "started": started,
    }


async def get(session, address, path):
    """Return a JSON document, or None where nothing answers."""
    try:
        url = "http://%s/%s" % (address, path)
        async with session.get(url) as response:
            return await response.json(content_type=None)
    except (aiohttp.ClientError, OSError, ValueError, TimeoutError):
        return None


async def post(session, address, path, document):
    """Post a JSON document; return the answer."""
    url = "http://%s/%s" % (address, path)
    async with session.post(url, json=document) as response:
        return await response.json(content_type=None)


async def post_change(session, running, bodies):
    """Publish services by a record of their bodies."""
    items = {name: (0, body) for name, body in bodies.items()}
    await post(
        session,
        running.log.address,
        "streams/%s" % configuration.STREAM,
        configuration.make_change("bench", items, "bench"),
    )


async def await_answer(session, address, path):
    """Wait until an address answers."""
    end = time.monotonic() + START_WAIT
    while await get(session, address, path) is None:
        if time.monotonic() > end:
            raise TimeoutError("%s does not answer" % address)
        await pause()


async def pause():
    """Wait a little before looking again."""
    await asyncio.sleep(POLL_PERIOD)


def _is_free(port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind((IP, port))
            except OSError:
                return False
    return True
