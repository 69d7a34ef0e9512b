"""The platform adapter reads settings, records and store responses."""

import asyncio
import contextlib
import importlib
import pathlib
import platform
import sys

import orjson
import pytest

from acaciafield.gateway import backends
from acaciafield.gateway import message_types
from acaciafield.gateway import messages
from acaciafield.gateway import routes
from acaciafield_daemon.gateway import store_reader
from acaciafield_platform import documents
from acaciafield_platform import settings
from acaciafield_platform import store as stores
from standins import store as stand_in
from tests import gateway_support as support

Stream = store_reader.Stream
ROOT = pathlib.Path(__file__).resolve().parent.parent

WORKER = {
    "service": "orders",
    "address": "10.1.0.9:8080",
    "zone": "za",
    "version": "v1",
    "maxConcurrency": 6,
    "state": "ready",
    "warmupLeftMs": 1500,
    "sequence": 4,
    "born": 17,
}
CONFIGURATION = {
    "version": 7,
    "routes": {
        "columns": [
            "name",
            "hostname",
            "pathPrefix",
            "kind",
            "timeoutMs",
            "targetLatencyMs",
            "priority",
            "service",
            "maxAttempts",
            "trafficSplit",
        ],
        "rows": [
            ["r1", "A.example", "/a/", "unsafe", 5000, 2000, 1, "s1", 2, None],
            [
                "r2",
                "b.example",
                "/b/",
                "safe",
                4000,
                2000,
                2,
                None,
                2,
                [
                    {"service": "s1", "weight": 90},
                    {"service": "s2", "weight": 10},
                ],
            ],
        ],
    },
    "services": {
        "columns": ["name", "healthCheckPath", "maxConnections"],
        "rows": [["s1", "/healthz", 360], ["s2", "/healthz", None]],
    },
    "limits": {"maxBodyBytes": 1000, "idleTimeoutMs": 15000},
}


def run(coroutine):
    return asyncio.run(asyncio.wait_for(coroutine, 10.0))


def test_folder_does_not_shadow_the_standard_module():
    assert not (ROOT / "platform" / "__init__.py").exists()
    found = importlib.import_module("platform")
    assert found is platform
    assert found.python_implementation() == "CPython"
    assert str(ROOT) not in found.__file__
    names = {path.stem for path in (ROOT / "platform").iterdir()}
    assert not names & set(sys.stdlib_module_names)


def test_worker_record_is_decoded_into_a_worker_entry():
    entry = documents.decode_worker("i-1", orjson.dumps(WORKER))
    assert entry == backends.WorkerEntry(
        "i-1", "orders", "10.1.0.9:8080", "za", 6, False, 1.5, 17, 4
    )


@pytest.mark.parametrize(
    "change",
    [
        {"state": "sleeping"},
        {"address": 7},
        {"address": "10.1.0.9"},
        {"service": None},
        {"zone": ["za"]},
        {"maxConcurrency": "6"},
        {"maxConcurrency": True},
        {"maxConcurrency": 0},
    ],
)
def test_worker_record_with_an_invalid_field_is_rejected(change):
    assert documents.decode_worker("i", orjson.dumps(WORKER | change)) is None


@pytest.mark.parametrize("raw", [b"\xff\x00", b"[]", b"7", b"", None])
def test_unreadable_worker_record_is_rejected(raw):
    assert documents.decode_worker("i", raw) is None


def test_configuration_is_decoded_with_omitted_values():
    found = documents.decode_configuration(orjson.dumps(CONFIGURATION))
    assert found.version == 7
    first = found.find_route("a.example:80", "/a/x")
    assert (first.kind, first.timeout) == (routes.RouteKind.UNSAFE, 5.0)
    assert first.split == [("s1", 1)]
    second = found.find_route("b.example", "/b/")
    assert second.split == [("s1", 90), ("s2", 10)]
    assert found.limits.max_body_bytes == 1000
    assert found.limits.max_header_bytes == documents.DEFAULT_MAX_HEADER_BYTES


@pytest.mark.parametrize("raw", [b"", b"{}", b'{"version":1,"routes":3}'])
def test_unreadable_configuration_is_none(raw):
    assert documents.decode_configuration(raw) is None


@pytest.mark.parametrize(
    "text, version",
    [("8", 8), ("8.0", 8), ("8.5", None), ("1e20", None), ("1" * 30, None)],
)
def test_version_is_a_whole_number_as_messages_require(text, version):
    # Guards against a version that makes nodes drop each other's heartbeats.
    raw = b'{"version":%s,"routes":[]}' % text.encode()
    found = documents.decode_configuration(raw)
    if version is None:
        assert found is None
        return
    notice = messages.ConfigNotice("n1", found.version)
    assert message_types.find_mistyped(notice) is None
    assert found.version == version


def change_route(**fields):
    """Return the document with fields of its first route changed."""
    table = CONFIGURATION["routes"]
    names, first = table["columns"], list(table["rows"][0])
    for name, value in fields.items():
        first[names.index(name)] = value
    rows = [first, table["rows"][1]]
    return CONFIGURATION | {"routes": {"columns": names, "rows": rows}}


@pytest.mark.parametrize("kind", ["unsafe", "upload"])
def test_orders_and_uploads_run_once_at_most(kind):
    raw = orjson.dumps(change_route(kind=kind))
    found = documents.decode_configuration(raw)
    assert not found.find_route("a.example", "/a/").idempotent
    assert found.findings == []


@pytest.mark.parametrize("kind", ["telepathy", None, 7])
def test_unknown_kind_runs_once_at_most_and_is_reported(kind):
    raw = orjson.dumps(change_route(kind=kind))
    found = documents.decode_configuration(raw)
    assert not found.find_route("a.example", "/a/").idempotent
    assert found.find_route("b.example", "/b/").idempotent
    (finding,) = found.findings
    assert "r1" in finding and "kind" in finding


@pytest.mark.parametrize(
    "fields",
    [
        {"timeoutMs": "soon"},
        {"service": 4},
        {"trafficSplit": [{"service": "s1"}]},
        {"trafficSplit": [{"service": "s1", "weight": 0}]},
        {"trafficSplit": 3},
    ],
)
def test_unreadable_route_refuses_requests_and_keeps_the_others(fields):
    raw = orjson.dumps(change_route(**fields))
    found = documents.decode_configuration(raw)
    assert found.find_route("a.example", "/a/x").split == []
    assert found.find_route("b.example", "/b/x").split
    assert len(found.findings) == 1


@pytest.mark.parametrize("fields", [{"hostname": 3}, {"pathPrefix": None}])
def test_route_without_hostname_or_prefix_is_omitted(fields):
    found = documents.decode_configuration(
        orjson.dumps(change_route(**fields))
    )
    assert [route.name for route in found.routes] == ["r2"]
    assert len(found.findings) == 1


def test_invalid_service_and_limit_do_not_affect_the_others():
    services = {"columns": ["name"], "rows": [[4], ["s2"], 7]}
    change = {"services": services, "limits": {"maxBodyBytes": "many"}}
    found = documents.decode_configuration(
        orjson.dumps(CONFIGURATION | change)
    )
    assert list(found.services) == ["s2"]
    assert found.limits.max_body_bytes == documents.DEFAULT_MAX_BODY_BYTES
    assert len(found.findings) == 3


def test_settings_are_read_and_all_findings_are_returned(tmp_path):
    path = tmp_path / "settings.toml"
    path.write_text(
        '[self]\nnodeName = "n"\nip = "10.0.0.1"\nzone = "za"\n'
        "[self.limits]\ncpuShare = 0.5\ncpuCores = 2\n"
        '[network]\ninternalPorts = [7000, 7010]\nseeds = ["10.0.0.2:9"]\n'
        '[network.listen]\nfront = "10.0.0.1:80"\n'
        '[provider.provider]\naddress = "10.9.0.1:1"\n'
        "[terms.bounds]\nretryBudgetSlack = 60\nretryBudgetRatio = 0.1\n"
    )
    options, platform_ = settings.read_settings(str(path)).ok
    assert (options.caller_port, options.peer_port) == (80, 7000)
    assert options.weight == 1.0
    assert options.seed_ips == ["10.0.0.2"]
    assert (options.terms.slack, options.terms.ratio) == (60.0, 0.1)
    assert platform_.store_address == "10.9.0.1:1"
    path.write_text('[self]\nip = 4\nzone = "za"\n')
    findings = settings.read_settings(str(path)).error
    assert len(findings) == 3
    assert all(str(path) in finding for finding in findings)


async def run_with_store(steps):
    server = stand_in.StoreServer()
    async with server.open():
        client = stores.Store(server.address)
        async with client.open():
            return await steps(server, client)


def test_store_is_read_from_the_newest_and_then_by_changes():
    async def steps(server, client):
        server.put("keyed.servers", "i-1", WORKER)
        server.put("keyed.servers", "i-2", WORKER)
        server.put("keyed.servers", "i-1", None)
        reader = store_reader.StreamReader(client, Stream.WORKERS)
        changes, whole = await reader.read(0.0)
        assert whole
        assert [key for key, _ in changes.records] == ["i-2"]
        server.put("keyed.servers", "i-2", None)
        changes, whole = await reader.read(0.0)
        assert not whole
        assert changes.records == [("i-2", None)]

    run(run_with_store(steps))


def test_dropped_history_leads_to_the_newest_records():
    async def steps(server, client):
        server.put("keyed.servers", "i-1", WORKER)
        reader = store_reader.StreamReader(client, Stream.WORKERS)
        await reader.read(0.0)
        server.put("keyed.servers", "i-2", WORKER)
        server.truncate_history("keyed.servers")
        changes, whole = await reader.read(0.0)
        assert whole
        assert sorted(key for key, _ in changes.records) == ["i-1", "i-2"]

    run(run_with_store(steps))


@pytest.mark.parametrize("fault", ["busy", "silent", "cut"])
def test_bad_answers_of_the_store_are_errors(fault):
    async def steps(server, client):
        server.put("keyed.servers", "i-1", WORKER)
        reader = store_reader.StreamReader(client, Stream.WORKERS)
        await reader.read(0.0)
        server.put("keyed.servers", "i-2", WORKER)
        server.fault = fault
        with pytest.raises(store_reader.StoreError):
            await reader.read(0.0)
        server.fault = None
        changes, _ = await reader.read(0.0)
        assert [key for key, _ in changes.records] == ["i-2"]

    run(run_with_store(steps))


def test_only_the_configuration_key_is_a_configuration():
    async def steps(server, client):
        server.put("keyed.op", "other", {})
        server.put("keyed.op", "config", CONFIGURATION)
        changes = await client.read_newest(Stream.CONFIGURATION)
        assert [key for key, _ in changes.records] == ["config"]

    run(run_with_store(steps))


def test_stored_crashes_are_read_back_with_their_age():
    rows = [["f1", "i-1", "r1:1", 0.5, 1, 0], ["f1", "i-2", "r1:2", 0, 0, 1]]

    async def steps(server, client):
        await client.write_member(support.make_member("n1"))
        await client.write_crashes("n1", rows, 1000.0)
        server.put("keyed.status", "crashes/n2", b"junk")
        server.put("keyed.status", "crashes/n3", {"at": 1, "rows": [[1]]})
        changes = await client.read_newest(Stream.MEMBERS)
        found = [
            client.decode_crashes(key, value, 1012.5)
            for key, value in changes.records
        ]
        assert [kept for kept in found if kept] == [(rows, 12.5)]
        members_ = [client.decode_member(k, v) for k, v in changes.records]
        assert [m.name for m in members_ if m] == ["n1"]

    run(run_with_store(steps))


def test_local_record_is_read_back_as_a_member():
    async def steps(server, client):
        member = support.make_member("n1")
        await client.write_member(member)
        server.put("keyed.status", "n2", b"junk")
        server.put("keyed.status", "n3", member.as_row())
        changes = await client.read_newest(Stream.MEMBERS)
        found = [client.decode_member(k, v) for k, v in changes.records]
        assert found == [member, None, None]

    run(run_with_store(steps))


def test_surplus_response_is_not_used_for_the_next_request():
    pages = []

    async def answer(reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                pages.append(len(pages))
                body = b'{"items":[],"hasMore":false,"end":%d}' % pages[-1]
                head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
                writer.write(2 * (head % len(body) + body))
        writer.close()

    async def steps():
        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
        ends = []
        async with server, stores.Store(address).open() as client:
            for _ in range(3):
                changes = await client.read_newest(Stream.MEMBERS)
                ends.append(changes.next_offset)
                await asyncio.sleep(0.05)
        return ends

    assert run(steps()) == [0, 1, 2]
