"""Records of another writer: an odd one is left out, the others serve."""

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
from acaciafield_daemon.gateway import feeds
from acaciafield_daemon.gateway import upstream
from acaciafield_platform import documents
from acaciafield_platform import settings
from tests import gateway_support as support

WORKER = {
    "service": "orders",
    "address": "10.1.0.9:8080",
    "zone": "za",
    "maxConcurrency": 6,
    "state": "ready",
    "warmupLeftMs": 1500,
    "sequence": 4,
    "born": 17,
}
HUGE = [1e308, 1.2e29, -1e308, -1, 0.5, 10**19, 2**63, 2**64, True]
ADDRESSES = [
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
NAMES = ["i\r\nX: y", "i 1", "", "\x00", "\u00e9", "i" * 300]
JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**63), 2**64 - 1)
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text()
    | strategies.sampled_from(HUGE[:5] + ADDRESSES),
    lambda inner: strategies.lists(inner, max_size=3)
    | strategies.dictionaries(strategies.text(), inner, max_size=3),
    max_leaves=5,
)
CHANGES = strategies.dictionaries(
    strategies.sampled_from(sorted(WORKER)), JSON, max_size=4
)


def take_entries(found):
    """Let a node serve workers; return the answers to asks and what it sent.

    All passes through the bytes that other nodes and workers get.
    """
    state = support.make_state()
    state.start(10.0)
    table = feeds.WorkerTable()
    table.apply([(e.worker_id, e) for e in found], True, 10.0)
    listed = list(table.entries.values())
    coordination.reduce_event(state, events.WorkersRead(10.0, listed))
    granted = []
    for number, service in enumerate(sorted({e.service for e in found})):
        for count in range(3):
            ask = support.make_ask(
                "r%d:%d" % (number, count), service=service, target=9.0
            )
            for sent in support.pick(
                support.receive(state, ask, 10.0 + count), effects.Send
            ):
                data = orjson.dumps(messages.pack_message(sent.message))
                granted.append(messages.unpack_message(orjson.loads(data)))
    rows = [[getattr(e, n) for n in e.__slots__] for e in listed]
    orjson.dumps([rows, state.dump_knowledge(20.0)])
    return granted


def connect(grant):
    """Send a request as granted, to a port where perhaps nobody is."""

    async def steps():
        loop = asyncio.get_running_loop()
        client = upstream.WorkerClient(settings.HEADERS, loop.time)
        message = upstream.OutgoingRequest("GET", "/a/", {}, b"", "r1")
        async with client.open():
            address = "127.0.0.1:" + grant.address.rpartition(":")[2]
            await client.send(message, grant.worker_id, address, 0.5)

    asyncio.run(asyncio.wait_for(steps(), 5.0))


def serve_beside(key, value):
    """Let an entry be listed beside a sound one; return what it became."""
    odd = documents.decode_worker(key, value)
    sound = documents.decode_worker("i-sound", orjson.dumps(WORKER))
    found = [entry for entry in (odd, sound) if entry is not None]
    granted = take_entries(found)
    given = {grant.worker_id: grant for grant in granted}
    assert set(given) == {entry.worker_id for entry in found}
    if odd is not None:
        connect(given[key])
    return odd


@hypothesis.given(CHANGES)
@hypothesis.settings(deadline=None, max_examples=60)
def test_odd_entry_ends_no_node_and_leaves_the_others_in_use(changes):
    serve_beside("i-odd", orjson.dumps(WORKER | changes))


@pytest.mark.parametrize("address", ADDRESSES)
def test_entry_with_an_odd_address_names_no_worker(address):
    value = orjson.dumps(WORKER | {"address": address})
    assert serve_beside("i-odd", value) is None


@pytest.mark.parametrize("name", NAMES)
def test_entry_with_an_odd_name_names_no_worker(name):
    assert serve_beside(name, orjson.dumps(WORKER)) is None


OUT_OF_RANGE = [
    (field, number)
    for field in ("maxConcurrency", "warmupLeftMs", "sequence", "born")
    for number in ("1e308", "1.2e29", "-1e308", "-1")
    # A warm-up of less than nothing is over.
    if field != "warmupLeftMs" or not number.startswith("-")
]


@pytest.mark.parametrize("field, number", OUT_OF_RANGE)
def test_entry_with_a_number_out_of_range_names_no_worker(field, number):
    text = orjson.dumps(WORKER | {field: "NUMBER"})
    value = text.replace(b'"NUMBER"', number.encode())
    assert serve_beside("i-odd", value) is None


@pytest.mark.parametrize("depth", [1000, 100_000])
def test_deep_entry_ends_no_node(depth):
    text = orjson.dumps(WORKER | {"zone": "ZONE"})
    deep = b"[" * depth + b"]" * depth
    assert serve_beside("i-odd", text.replace(b'"ZONE"', deep)) is None
    extra = text.replace(b'"ZONE"', b'"za", "x": ' + deep)
    serve_beside("i-odd", extra)


@pytest.mark.parametrize(
    "field, value",
    [
        ("weight", 1e308),
        ("weight", -1.0),
        ("weight", True),
        ("born", 1e308),
        ("born", -1),
        ("ip", "nowhere"),
        ("ip", "10.0.0.1\x00"),
        ("name", "n\r\nm"),
        ("zone", ""),
        ("ready", "yes"),
    ],
)
def test_odd_record_of_a_node_names_no_member(field, value):
    member = support.make_member(**({"name": "n1"} | {field: value}))
    raw = orjson.dumps(member.as_row())
    assert documents.decode_member(member.name, raw) is None


def test_record_of_a_node_is_read():
    member = support.make_member("n1")
    raw = documents.encode_member(member)
    assert documents.decode_member("n1", raw) == member
    assert isinstance(member, members.Member)
