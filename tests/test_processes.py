"""Requests and commands through real processes on loopback."""

import asyncio
import json
import os
import signal
import socket
import subprocess

import pytest

from bench import clients
from bench import processes
from standins import worker as workers
from tests import support

BODIES = {"prices": support.make_service_config()}
DOWNLOAD_BYTES = 20_000_000


class Fleet:
    """Running processes with an event loop and a session for tests."""

    def __init__(self, running):
        self.running = running
        self.loop = asyncio.new_event_loop()
        self.session = self.loop.run_until_complete(_open())

    def run(self, coroutine):
        """Run a coroutine until it returns, for 60 s at most."""
        return self.loop.run_until_complete(asyncio.wait_for(coroutine, 60.0))

    def close(self):
        """Close the session."""
        self.loop.run_until_complete(self.session.close())
        self.loop.close()

    @property
    def addresses(self):
        """The addresses of the nodes that were started."""
        return [n.address for n in self.running.nodes.values()]


async def _open():
    return clients.open_session()


@pytest.fixture(scope="module")
def fleet():
    """Three nodes and four workers, each in a separate process."""
    with processes.open_processes(validity_s=1.0) as running:
        fleet = Fleet(running)
        fleet.run(_start_processes(fleet))
        yield fleet
        fleet.close()


async def _start_processes(fleet):
    running = fleet.running
    running.start_platform_standins()
    running.start_workers("prices", 4, 4, 0.02, in_own_processes=True)
    await running.wait_for_standins(fleet.session)
    for number in range(3):
        running.start_node("n%d" % number)
    await running.publish_hosts(fleet.session)
    await processes.publish_services(fleet.session, running, BODIES)
    await running.wait_for_nodes(fleet.session)


async def _count_order_runs(fleet, order):
    count = 0
    for port in fleet.running.workers.values():
        address = "%s:%d" % (processes.IP, port)
        ledger = await processes.get_json(fleet.session, address, ".ledger")
        count += sum(run["order"] == order for run in ledger["runs"])
    return count


def _send_raw(address, data):
    """Send bytes; return all bytes received until the peer closes."""
    ip, _, port = address.partition(":")
    with socket.create_connection((ip, int(port)), 5.0) as sock:
        sock.sendall(data)
        pieces = []
        while piece := sock.recv(65536):
            pieces.append(piece)
        return b"".join(pieces)


async def _get(fleet, path, **options):
    url = "http://%s/%s" % (fleet.addresses[0], path)
    method = options.pop("method", "GET")
    async with fleet.session.request(method, url, **options) as response:
        return response.status, response.headers, await response.read()


def test_request_is_answered_by_a_worker(fleet):
    status, _, body = fleet.run(_get(fleet, "prices/price/1?x=%2F"))
    assert status == 200
    assert json.loads(body)["path"] == "/price/1"


def test_order_repeated_at_three_nodes_runs_once(fleet):
    caller = clients.Caller(fleet.session, fleet.addresses)
    answers = fleet.run(caller.send_order("prices", "once-1", copies=3))
    assert {a.outcome.value for a in answers} == {"ran"}
    assert fleet.run(_count_order_runs(fleet, "once-1")) == 1


def test_download_is_whole(fleet):
    caller = clients.Caller(fleet.session, fleet.addresses)
    answer = fleet.run(
        caller.send_get("prices", "download/%d" % DOWNLOAD_BYTES, "downloads")
    )
    assert (answer.status, answer.size) == (200, DOWNLOAD_BYTES)


def test_stalled_download_goes_on_with_no_byte_changed(fleet):
    async def run():
        for port in list(fleet.running.workers.values())[:3]:
            address = "%s:%d" % (processes.IP, port)
            fault = {"stall_body": 1_000_000}
            await processes.post_json(fleet.session, address, ".fault", fault)
        path = "prices/download/%d" % DOWNLOAD_BYTES
        headers = {"Work-Class": "downloads"}
        result = await _get(fleet, path, headers=headers)
        for port in fleet.running.workers.values():
            address = "%s:%d" % (processes.IP, port)
            fault = {"stall_body": None}
            await processes.post_json(fleet.session, address, ".fault", fault)
        return result

    status, _, body = fleet.run(run())
    assert status == 200
    assert body == workers.make_file_bytes(0, DOWNLOAD_BYTES)


@pytest.mark.parametrize(
    "path, options, wanted",
    [
        ("nothing/x", {}, 404),
        ("prices", {}, 404),
        ("prices/x", {"headers": {"Work-Class": "none"}}, 404),
        ("prices/x", {"headers": {"Request-Timeout": "soon"}}, 400),
        (
            "prices/x",
            {"method": "POST", "headers": {"Idempotency-Key": "af1-x"}},
            400,
        ),
    ],
)
def test_bad_request_gets_a_problem_document(fleet, path, options, wanted):
    status, headers, body = fleet.run(_get(fleet, path, **dict(options)))
    assert status == wanted
    assert headers["Content-Type"].startswith("application/problem+json")
    document = json.loads(body)
    assert document["outcome"] == "not-run"
    assert document["title"]


@pytest.mark.parametrize(
    "data",
    [
        b"GARBAGE\r\n\r\n",
        b"GET /prices/x HTTP/1.1\r\nHost: x\r\nA: %s\r\n\r\n" % (b"a" * 70000),
    ],
    ids=["malformed", "oversize head"],
)
def test_malformed_http_gets_a_problem_document(fleet, data):
    answer = _send_raw(fleet.addresses[0], data)
    assert answer.startswith(b"HTTP/1.1 400") or answer.startswith(
        b"HTTP/1.0 400"
    )
    assert b"application/problem+json" in answer
    assert b'"outcome": "not-run"' in answer


def test_undecodable_messages_are_counted_and_dropped(fleet):
    node = next(iter(fleet.running.nodes.values()))
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        for data in (b"", b"\xff" * 99, os.urandom(300)):
            sock.sendto(data, (processes.IP, node.peer_port))
    _send_raw("%s:%d" % (processes.IP, node.peer_port), b"\x00" * 64)

    async def find_unreadable_count():
        name = "acaciafield_unreadable_messages_total "
        while True:
            path = ".acaciafield/metrics"
            _, _, body = await _get(fleet, path)
            for line in body.decode().splitlines():
                if line.startswith(name) and int(line.split()[1]) >= 3:
                    return True
            await processes.wait_poll_period()

    assert fleet.run(find_unreadable_count())
    assert fleet.run(_get(fleet, "prices/x"))[0] == 200


def run_operator(fleet, *words):
    """Run the operator's program; return its exit code and output."""
    finished = subprocess.run(
        [str(processes.PROGRAMS / "acaciafield"), *words],
        capture_output=True,
        text=True,
        env={
            **os.environ,
            "ACACIAFIELD_NODE": fleet.addresses[0],
            "ACACIAFIELD_LOG": fleet.running.log_url,
        },
        check=False,
    )
    return finished.returncode, finished.stdout + finished.stderr


def test_operator_publishes_and_a_stale_file_is_refused(fleet, tmp_path):
    mine, stale = str(tmp_path / "mine.ini"), str(tmp_path / "stale.ini")
    assert run_operator(fleet, "config", "show", "--to", mine)[0] == 0
    assert run_operator(fleet, "config", "show", "--to", stale)[0] == 0
    text = (tmp_path / "mine.ini").read_text()
    (tmp_path / "mine.ini").write_text(
        text.replace("floor = 60%", "floor = 50%")
    )
    (tmp_path / "stale.ini").write_text(
        text.replace("floor = 60%", "floor = 40%")
    )
    assert run_operator(fleet, "config", "diff", mine)[0] == 1
    code, output = run_operator(fleet, "config", "publish", mine)
    assert (code, output.splitlines()[-1]) == (0, "In force everywhere.")
    code, output = run_operator(fleet, "config", "publish", mine)
    assert (code, output) == (0, "Nothing to change.\n")
    code, output = run_operator(fleet, "config", "publish", stale)
    assert code == 4
    assert "Somebody else" in output


def test_operator_shows_status_and_burn(fleet):
    code, output = run_operator(fleet, "status")
    assert code == 0, output
    assert output.startswith("All is well.")
    code, output = run_operator(fleet, "burn", "--json")
    assert json.loads(output)[0]["service"] == "prices"


def test_operator_reports_an_unreachable_fleet(fleet):
    code, output = run_operator(fleet, "status", "--node", "127.0.0.1:1")
    assert code == 3
    assert "no node answers" in output


def test_daemon_does_not_start_with_bad_settings(tmp_path):
    path = tmp_path / "bad.ini"
    path.write_text("[node]\nname = n 1\n")
    finished = subprocess.run(
        [str(processes.PROGRAMS / "acaciafieldd"), str(path)],
        capture_output=True,
        text=True,
        check=False,
    )
    assert finished.returncode == 2
    assert len(finished.stderr.splitlines()) == 5


def test_requests_succeed_after_a_node_is_killed(fleet):
    caller = clients.Caller(fleet.session, fleet.addresses)
    answer = fleet.run(caller.find_addresses("prices"))
    keeper = answer["addresses"][0]
    node = [n for n in fleet.running.nodes.values() if n.address == keeper][0]
    node.send_signal(signal.SIGKILL)
    node.process.wait(10)
    answers = [fleet.run(caller.send_get("prices", "x")) for _ in range(20)]
    assert {a.status for a in answers} == {200}


def test_planned_stop_cuts_no_download(fleet):
    running_nodes = [
        n for n in fleet.running.nodes.values() if n.process.poll() is None
    ]
    node = running_nodes[0]

    async def run():
        url = "http://%s/prices/download/%d" % (
            node.address,
            8 * DOWNLOAD_BYTES,
        )
        headers = {"Work-Class": "downloads"}
        size = 0
        async with fleet.session.get(url, headers=headers) as response:
            async for chunk in response.content.iter_any():
                if not size:
                    node.send_signal(signal.SIGTERM)
                size += len(chunk)
        while node.process.poll() is None:
            await processes.wait_poll_period()
        return size

    assert fleet.run(run()) == 8 * DOWNLOAD_BYTES
    assert node.process.returncode == 0
