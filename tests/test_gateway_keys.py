"""Keys of workspaces: what one node answers and what a worker receives."""

import asyncio
import contextlib
import os

import aiohttp
from aiohttp import web
import eliot
import multidict
import pytest

from acaciafield.gateway import messages
from acaciafield_daemon.gateway import node as gateway_node
from acaciafield_daemon.gateway import store_reader
from acaciafield_platform import store as stores
from standins import store as stand_in
from tests import gateway_support as support
from tests import test_gateway_node
from tests import test_platform
from tests import workspace_support

KEY = "Acaciafield-Key"
TENANT = "Acaciafield-Tenant-Id"
GRACE_S = 0.5  # the node stops at once, as no caller is left
STRICT = workspace_support.make_strict_terms()


def run_steps(steps, document=None, terms=STRICT):
    """Run steps against a node; its workers record the headers they get."""

    async def run(harness):
        harness.received = []

        async def answer(request):
            harness.received.append(request.headers)
            request_id = request.headers["Acaciafield-Request-Id"]
            await asyncio.sleep(harness.workers[0].delay)
            headers = {
                "Acaciafield-Request-Id": request_id,
                "Acaciafield-Upstream-Signature": "s",
            }
            return web.Response(headers=headers, text="done")

        for worker in harness.workers:
            worker.answer = answer
        await wait_for_proof(harness)
        harness.lines = []
        eliot.add_destinations(harness.lines.append)
        try:
            await steps(harness)
        finally:
            eliot.remove_destination(harness.lines.append)

    options = test_gateway_node.make_options(terms=terms, grace=GRACE_S)
    test_gateway_node.run_steps(
        run, options, document or workspace_support.make_document()
    )


async def wait_for_proof(harness):
    """Wait until the node's configuration is confirmed as current."""
    while harness.node.state.freshness.confirmed_at is None:
        await asyncio.sleep(0.02)


async def wait_for_version(harness, version):
    """Wait until the node has adopted a version of the configuration."""
    while harness.node.request_server.configuration.version < version:
        await asyncio.sleep(0.01)


async def call(harness, *headers, path="/b/x", host="b.example"):
    """Send a request with (name, value) headers; return the response."""
    harness.count += 1
    fields = multidict.CIMultiDict(
        {
            "Host": host,
            "Acaciafield-Request-Id": "q%d" % harness.count,
            "Acaciafield-Deadline-Ms": "3000",
        }
    )
    for name, value in headers:
        fields.add(name, value)
    options = harness.node.options
    url = "http://%s:%d%s" % (options.ip, options.caller_port, path)
    async with harness.session.get(url, headers=fields) as response:
        await response.read()
        return response


def find_refusals(harness):
    """Return the fields of the log lines about refused keys."""
    kind = "gateway:key-refused"
    return [line for line in harness.lines if line["message_type"] == kind]


def test_known_key_is_served_with_the_name_of_its_workspace():
    async def steps(harness):
        response = await call(
            harness, (KEY, "key-small"), (TENANT, "w-large"), ("X-Own", "1")
        )
        assert response.status == 200
        (received,) = harness.received
        assert received.getall(TENANT) == ["w-small"]
        assert KEY not in received
        assert received["X-Own"] == "1"

    run_steps(steps)


def test_request_without_one_known_key_is_refused_for_good():
    header_lists = [
        [],
        [(KEY, "key-other")],
        [(KEY, "")],
        [(KEY, "key-small,key-large")],
        [(KEY, "key-small"), (KEY, "key-large")],
        [(TENANT, "w-small")],
        [("Authorization", "key-small")],
    ]

    async def steps(harness):
        for headers in header_lists:
            response = await call(harness, *headers)
            assert response.status == 401, headers
            assert "Retry-After" not in response.headers
            assert response.headers["WWW-Authenticate"] == KEY
        assert harness.received == []
        lines = find_refusals(harness)
        ids = ["q%d" % number for number in range(1, len(header_lists) + 1)]
        assert [line["request"] for line in lines] == ids
        assert {line["status"] for line in lines} == {401}
        assert [line["reason"] for line in lines].count("unknown-key") == 2
        page = harness.node.pages.dump_metrics()
        assert b'acaciafield_key_refusals_total{reason="no-key"} 5' in page
        assert b"acaciafield_configuration_age_seconds" in page

    run_steps(steps)


def test_keys_are_in_no_log_line_and_no_metric():
    async def steps(harness):
        for key in ("key-small", "key-large", "key-secret"):
            await call(harness, (KEY, key))
        assert len(harness.lines) > 3
        text = repr(harness.lines) + harness.node.pages.dump_metrics().decode()
        for key in ("key-small", "key-large", "key-secret"):
            assert key not in text

    tenants = workspace_support.make_tenants(
        ["w-large", ["key-large", 7], 0, 100, 20],
        ["w-small", ["key-small"], "high", "key-large", None],
        ["w-third", "key-small", None, None, None],
        ["w-fourth", ["key-small"], None, None, None],
    )
    run_steps(steps, workspace_support.make_document(tenants=tenants))


def test_route_without_keys_gets_neither_key_nor_workspace():
    async def steps(harness):
        for key in ("key-small", "key-other"):
            response = await call(harness, (KEY, key), (TENANT, "w-large"))
            assert response.status == 200
        for received in harness.received:
            assert KEY not in received and TENANT not in received

    document = workspace_support.make_document(skip_auth={"r2": True})
    run_steps(steps, document)


def test_without_workspaces_only_the_two_headers_are_dropped():
    async def steps(harness):
        sent = record_grant_requests(harness)
        response = await call(
            harness, (KEY, "any"), (TENANT, "w-large"), ("X-Own", "1")
        )
        assert response.status == 200
        (received,) = harness.received
        assert KEY not in received and TENANT not in received
        assert received["X-Own"] == "1"
        assert [(m.workspace, m.workspace_priority) for m in sent] == [
            ("", None)
        ]

    run_steps(steps, test_platform.CONFIGURATION, support.TERMS)


def record_grant_requests(harness):
    """Return a list that gets the node's requests for grants."""
    sent = []
    requester = harness.node.grant_requester
    send = requester.send

    def record(name, message):
        if isinstance(message, messages.GrantRequest):
            sent.append(message)
        send(name, message)

    requester.send = record
    return sent


def test_grant_request_has_the_workspace_and_its_priority():
    async def steps(harness):
        sent = record_grant_requests(harness)
        await call(harness, (KEY, "key-large-2"))
        await call(harness, (KEY, "key-small"))
        found = [(m.workspace, m.workspace_priority) for m in sent]
        assert found == [("w-large", 0), ("w-small", None)]

    run_steps(steps)


def test_unreadable_workspaces_close_the_routes_with_keys_only():
    async def steps(harness):
        response = await call(harness, (KEY, "key-small"))
        assert response.status == 503
        assert float(response.headers["Retry-After"]) > 0.0
        response = await call(harness, path="/a/x", host="a.example")
        assert response.status == 200

    document = workspace_support.make_document(
        tenants="w-small", skip_auth={"r1": True}
    )
    run_steps(steps, document)


def remove_small(version):
    """Return a document without the key of w-small."""
    tenants = workspace_support.make_tenants(
        workspace_support.WORKSPACE_ROWS[0], ["w-small", [], None, None, None]
    )
    return workspace_support.make_document(version, tenants)


def test_removed_key_is_refused_as_soon_as_the_version_is_adopted():
    async def steps(harness):
        assert (await call(harness, (KEY, "key-small"))).status == 200
        harness.server.put("keyed.op", "config", remove_small(8))
        await wait_for_version(harness, 8)
        assert (await call(harness, (KEY, "key-small"))).status == 401
        assert (await call(harness, (KEY, "key-large"))).status == 200

    run_steps(steps)


class FixedAge:
    """A ConfigurationAge that stays the same."""

    def __init__(self, age):
        self.age = age

    def measure_age(self, now):
        """Return the age in seconds, or None."""
        return self.age


def set_age(harness, age):
    """Let a node's configuration be ``age`` seconds old, None if unknown."""
    harness.node.request_server.authenticator.freshness = FixedAge(age)


class HoldingRequester:
    """Holds back the grants that the coordinator gives to a node."""

    def __init__(self, requester):
        self.requester = requester
        self.held = []

    def deliver(self, message):
        """Hold a grant; deliver any other message."""
        if isinstance(message, messages.Grant):
            self.held.append(message)
        else:
            self.requester.deliver(message)

    def release(self):
        """Deliver the grants."""
        for message in self.held:
            self.requester.deliver(message)


async def call_while_queued(harness, change):
    """Return the response to a request; ``change`` runs while it waits."""
    requester = harness.node.grant_requester
    holder = harness.node.grant_requester = HoldingRequester(requester)
    running = asyncio.ensure_future(call(harness, (KEY, "key-small")))
    while not holder.held:
        await asyncio.sleep(0.01)
    await change()
    harness.node.grant_requester = requester
    holder.release()
    return await running


def count_in_flight(harness):
    """Return the number of grants that are in use."""
    schedulers = harness.node.state.schedulers.values()
    return sum(len(scheduler.in_flight) for scheduler in schedulers)


def test_key_that_is_removed_while_its_request_waits_is_refused():
    async def steps(harness):
        async def remove_key():
            harness.server.put("keyed.op", "config", remove_small(8))
            await wait_for_version(harness, 8)

        response = await call_while_queued(harness, remove_key)
        assert response.status == 401
        assert harness.received == []
        assert find_refusals(harness)[-1]["request"] == "q1"
        assert count_in_flight(harness) == 0

    run_steps(steps)


@pytest.mark.parametrize("has_run, status", [(False, 401), (True, 502)])
def test_key_that_is_removed_before_a_repeat(has_run, status):
    """A 401 would deny that a worker may have run the first attempt."""

    async def steps(harness):
        async def answer(request):
            harness.received.append(request.headers)
            harness.server.put("keyed.op", "config", remove_small(8))
            await wait_for_version(harness, 8)
            if has_run:
                request.transport.abort()
            return web.Response(
                status=503, headers={"Acaciafield-Not-Executed": "1"}
            )

        for worker in harness.workers:
            worker.answer = answer
        response = await call(harness, (KEY, "key-small"))
        assert response.status == status
        assert len(harness.received) == 1

    run_steps(steps)


def test_request_waits_while_its_configuration_ages_and_is_refused():
    async def steps(harness):
        async def age():
            set_age(harness, STRICT.revoke_bound + 0.1)

        response = await call_while_queued(harness, age)
        assert response.status == 503
        assert float(response.headers["Retry-After"]) > 0.0
        assert harness.received == []
        line = find_refusals(harness)[-1]
        assert line["reason"] == "configuration-old"
        assert line["age"] > STRICT.revoke_bound
        assert count_in_flight(harness) == 0

    run_steps(steps)


def test_key_that_moves_while_its_request_waits_changes_the_workspace():
    async def steps(harness):
        async def move_key():
            tenants = workspace_support.make_tenants(
                ["w-new", ["key-small"], None, None, None]
            )
            document = workspace_support.make_document(8, tenants)
            harness.server.put("keyed.op", "config", document)
            await wait_for_version(harness, 8)

        response = await call_while_queued(harness, move_key)
        assert response.status == 200
        assert harness.received[0].getall(TENANT) == ["w-new"]

    run_steps(steps)


@pytest.mark.parametrize(
    "key, age, status",
    [
        ("key-small", 4.9, 200),
        ("key-small", 5.1, 503),
        ("key-other", 2.4, 401),
        ("key-other", 2.6, 503),
        ("key-small", None, 503),
        ("key-other", None, 503),
    ],
)
def test_key_is_decided_on_only_with_a_recent_configuration(key, age, status):
    async def steps(harness):
        set_age(harness, age)
        response = await call(harness, (KEY, key))
        assert response.status == status
        assert ("Retry-After" in response.headers) == (status == 503)

    run_steps(steps)


def test_known_key_is_served_at_any_age_without_strict_revocation():
    async def steps(harness):
        set_age(harness, 100.0)
        assert (await call(harness, (KEY, "key-small"))).status == 200
        assert (await call(harness, (KEY, "key-other"))).status == 503

    run_steps(steps, terms=support.TERMS)


def test_first_version_of_another_node_needs_a_proof():
    # Guards against a new node that serves keys of a version that a seed
    # node, cut off from the store, still has.
    async def steps(harness):
        node = harness.node
        node.store_reader.set_active(False)
        raw, node.raw_configuration = node.raw_configuration, None
        node.request_server.configuration = None
        node.state.config_version = 0
        node.state.freshness.__init__()
        node.update_configuration(raw)
        assert (await call(harness, (KEY, "key-small"))).status == 503
        node.store_reader.set_active(True)
        while (await call(harness, (KEY, "key-small"))).status != 200:
            await asyncio.sleep(0.05)

    run_steps(steps)


def test_outage_of_the_store_refuses_only_requests_with_keys():
    async def steps(harness):
        harness.server.fault = "busy"
        while (await call(harness, (KEY, "key-small"))).status == 200:
            await asyncio.sleep(0.05)
        (line,) = find_refusals(harness)
        assert line["status"] == 503 and line["age"] >= 1.2
        response = await call(harness, path="/a/x", host="a.example")
        assert response.status == 200
        harness.server.fault = None
        while (await call(harness, (KEY, "key-small"))).status != 200:
            await asyncio.sleep(0.05)

    terms = workspace_support.make_strict_terms(revoke_bound=1.2)
    document = workspace_support.make_document(skip_auth={"r1": True})
    run_steps(steps, document, terms)


@contextlib.asynccontextmanager
async def open_second_node(harness, terms):
    """Run a node that does not reach the store; yield its NodeHarness."""
    first = harness.node.options
    names = [name for name in first.__slots__ if name.endswith("_port")]
    options = test_gateway_node.make_options(
        name="n2",
        ip="127.0.0.2",
        seed_ips=[first.ip],
        terms=terms,
        grace=GRACE_S,
        **{name: getattr(first, name) for name in names},
    )
    server = stand_in.StoreServer()
    server.fault = "busy"
    async with server.open():
        node = gateway_node.GatewayNode(
            options, stores.Store(server.address), None
        )
        node.log.descriptor = os.open(os.devnull, os.O_WRONLY)
        task = asyncio.ensure_future(node.run())
        second = test_gateway_node.NodeHarness(
            node, server, harness.workers, harness.session
        )
        try:
            yield second
        finally:
            node.stopping.set()
            await task
            os.close(node.log.descriptor)


async def wait_for_status(harness, key, status):
    """Repeat a request with a key until it gets a status."""
    found = None
    while found != status:
        with contextlib.suppress(aiohttp.ClientError):
            found = (await call(harness, (KEY, key))).status
        await asyncio.sleep(0.02)


def test_node_without_the_store_learns_the_age_from_its_coordinator():
    terms = workspace_support.make_strict_terms(revoke_bound=2.5)

    async def steps(harness):
        async with open_second_node(harness, terms) as second:
            await wait_for_status(second, "key-small", 200)
            assert harness.received[-1].getall(TENANT) == ["w-small"]
            assert b"key-" not in second.node.raw_configuration
            await wait_for_status(second, "key-other", 401)
            harness.server.put("keyed.op", "config", remove_small(8))
            await wait_for_status(second, "key-small", 401)
            await wait_for_status(second, "key-large", 200)
            harness.server.fault = "busy"
            await wait_for_status(second, "key-large", 503)
            line = find_refusals(harness)[-1]
            assert line["node"] == "n2" and line["age"] >= 2.5
            harness.server.fault = None
            await wait_for_status(second, "key-large", 200)

    run_steps(steps, terms=terms)


def test_reads_are_shorter_where_keys_are_checked():
    assert store_reader.KEYED_CONFIG_READ_WAIT_S < 0.5 * STRICT.config_bound

    async def steps(harness):
        waits = []
        read_changes = harness.node.store.read_changes

        async def record(stream, offset, wait):
            if stream is store_reader.Stream.CONFIGURATION:
                waits.append(wait)
            return await read_changes(stream, offset, wait)

        harness.node.store.read_changes = record
        while len(waits) < 2:
            await asyncio.sleep(0.05)
        assert waits == [store_reader.KEYED_CONFIG_READ_WAIT_S] * 2
        age = harness.node.state.freshness.measure_age(
            harness.node.store_reader.boot_clock()
        )
        assert age < 1.5

    run_steps(steps)


def test_unreadable_version_stops_keyed_requests_until_it_is_replaced():
    # Guards against a removed key that stays in use, because the version
    # without it could not be read.
    async def steps(harness):
        harness.server.put("keyed.op", "config", b"junk")
        await wait_for_status(harness, "key-small", 503)
        (line,) = find_refusals(harness)
        assert line["reason"] == "configuration-old"
        response = await call(harness, path="/a/x", host="a.example")
        assert response.status == 200
        harness.server.put("keyed.op", "config", remove_small(8))
        await wait_for_status(harness, "key-large", 200)
        await wait_for_status(harness, "key-small", 401)

    terms = workspace_support.make_strict_terms(revoke_bound=1.5)
    document = workspace_support.make_document(skip_auth={"r1": True})
    run_steps(steps, document, terms)
