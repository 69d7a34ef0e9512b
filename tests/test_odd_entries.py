"""Tests of malformed records that another program wrote to the store.

A node must ignore an invalid entry and keep serving with the others;
a value that passes the decoder must survive every later step.
"""

import asyncio

import hypothesis
from hypothesis import strategies
import orjson
import pytest

from acaciafield.gateway import coordination
from acaciafield.gateway import effects
from acaciafield.gateway import events
from acaciafield.gateway import members
from acaciafield.gateway import messages
from acaciafield_daemon.gateway import store_reader
from acaciafield_daemon.gateway import upstream
from acaciafield_platform import documents
from acaciafield_platform import settings
from tests import gateway_support as support

VALID_ENTRY = {
    "service": "orders",
    "address": "10.1.0.9:8080",
    "zone": "za",
    "maxConcurrency": 6,
    "state": "ready",
    "warmupLeftMs": 1500,
    "sequence": 4,
    "born": 17,
}
EXTREME_NUMBERS = [1e308, 1.2e29, -1e308, -1, 0.5, 10**19, 2**63, 2**64, True]
INVALID_ADDRESSES = [
    "10.1.0.9:0",
    "10.1.0.9:70000",
    "10.1.0.9:99999999999999999999",
    "10.1.0.9:\u00b2",
    "10.1.0.9:-1",
    "10.1.0.9: 80",
    "10.1.0 9:80",
    "10.1.0.9\x00:80",
    "a\r\nb:80",
    "user@host:80",
    "10.1.0.9/x:80",
    "[::1:80",
]
INVALID_NAMES = ["i\r\nX: y", "i 1", "", "\x00", "\u00e9", "i" * 300]
JSON_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**63), 2**64 - 1)
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text()
    | strategies.sampled_from(EXTREME_NUMBERS[:5] + INVALID_ADDRESSES),
    lambda inner: strategies.lists(inner, max_size=3)
    | strategies.dictionaries(strategies.text(), inner, max_size=3),
    max_leaves=5,
)
ENTRY_CHANGES = strategies.dictionaries(
    strategies.sampled_from(sorted(VALID_ENTRY)), JSON_VALUES, max_size=4
)


def request_grants(found):
    """Request grants from a node with these workers; return its answers.

    The messages and documents are encoded as for other nodes.
    """
    state = support.make_state()
    state.start(10.0)
    table = store_reader.WorkerTable()
    table.apply([(e.worker_id, e) for e in found], True, 10.0)
    listed = list(table.entries.values())
    coordination.reduce_event(state, events.WorkersRead(10.0, listed))
    granted = []
    for number, service in enumerate(sorted({e.service for e in found})):
        for count in range(3):
            request = support.make_grant_request(
                "r%d:%d" % (number, count), service=service, target=9.0
            )
            for sent in support.select_effects(
                support.deliver_message(state, request, 10.0 + count),
                effects.Send,
            ):
                data = orjson.dumps(messages.pack_message(sent.message))
                granted.append(messages.unpack_message(orjson.loads(data)))
    rows = [[getattr(e, n) for n in e.__slots__] for e in listed]
    orjson.dumps([rows, state.dump_schedulers(20.0)])
    return granted


def send_granted(grant):
    """Send a request to the granted port, where no worker may listen."""

    async def steps():
        loop = asyncio.get_running_loop()
        client = upstream.WorkerClient(settings.HEADER_NAMES, loop.time)
        message = upstream.OutgoingRequest("GET", "/a/", {}, b"", "r1")
        async with client.open():
            address = "127.0.0.1:" + grant.address.rpartition(":")[2]
            await client.send(message, grant.worker_id, address, 0.5)

    asyncio.run(asyncio.wait_for(steps(), 5.0))


def serve_with_valid_entry(key, value):
    """List an entry beside a valid one, serve both, return it decoded."""
    malformed = documents.decode_worker(key, value)
    valid = documents.decode_worker("i-sound", orjson.dumps(VALID_ENTRY))
    found = [entry for entry in (malformed, valid) if entry is not None]
    granted = request_grants(found)
    grants_by_worker = {grant.worker_id: grant for grant in granted}
    assert set(grants_by_worker) == {entry.worker_id for entry in found}
    if malformed is not None:
        send_granted(grants_by_worker[key])
    return malformed


@hypothesis.given(ENTRY_CHANGES)
@hypothesis.settings(deadline=None, max_examples=60)
def test_malformed_entry_stops_no_node_and_no_other_worker(changes):
    serve_with_valid_entry("i-odd", orjson.dumps(VALID_ENTRY | changes))


@pytest.mark.parametrize("address", INVALID_ADDRESSES)
def test_entry_with_an_invalid_address_is_ignored(address):
    value = orjson.dumps(VALID_ENTRY | {"address": address})
    assert serve_with_valid_entry("i-odd", value) is None


@pytest.mark.parametrize("name", INVALID_NAMES)
def test_entry_with_an_invalid_name_is_ignored(name):
    assert serve_with_valid_entry(name, orjson.dumps(VALID_ENTRY)) is None


OUT_OF_RANGE = [
    (field, number)
    for field in ("maxConcurrency", "warmupLeftMs", "sequence", "born")
    for number in ("1e308", "1.2e29", "-1e308", "-1")
    # A negative warm-up time means that the warm-up is over.
    if field != "warmupLeftMs" or not number.startswith("-")
]


@pytest.mark.parametrize("field, number", OUT_OF_RANGE)
def test_entry_with_a_number_out_of_range_is_ignored(field, number):
    text = orjson.dumps(VALID_ENTRY | {field: "NUMBER"})
    value = text.replace(b'"NUMBER"', number.encode())
    assert serve_with_valid_entry("i-odd", value) is None


@pytest.mark.parametrize("depth", [1000, 100_000])
def test_deeply_nested_entry_stops_no_node(depth):
    text = orjson.dumps(VALID_ENTRY | {"zone": "ZONE"})
    deep = b"[" * depth + b"]" * depth
    assert (
        serve_with_valid_entry("i-odd", text.replace(b'"ZONE"', deep)) is None
    )
    extra = text.replace(b'"ZONE"', b'"za", "x": ' + deep)
    serve_with_valid_entry("i-odd", extra)


@pytest.mark.parametrize(
    "field, value",
    [
        ("weight", 1e308),
        ("weight", -1.0),
        ("weight", True),
        ("incarnation", 1e308),
        ("incarnation", -1),
        ("ip", "nowhere"),
        ("ip", "10.0.0.1\x00"),
        ("name", "n\r\nm"),
        ("zone", ""),
        ("is_ready", "yes"),
    ],
)
def test_invalid_record_of_a_node_is_ignored(field, value):
    member = support.make_member(**({"name": "n1"} | {field: value}))
    raw = orjson.dumps(member.as_row())
    assert documents.decode_member(member.name, raw) is None


def test_record_of_a_node_is_read():
    member = support.make_member("n1")
    raw = documents.encode_member(member)
    assert documents.decode_member("n1", raw) == member
    assert isinstance(member, members.Member)
