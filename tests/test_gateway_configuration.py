"""Distribution of configurations: each crosses to another zone once."""

import asyncio

import orjson

from acaciafield.gateway import coordination
from acaciafield.gateway import effects
from acaciafield.gateway import events
from acaciafield.gateway import messages
from acaciafield_daemon.gateway import peers
from tests import gateway_support as support
from tests import test_gateway_coordination as coordination_support
from tests import test_gateway_node as node_support


def make_coordinator():
    """Return the coordinator n1 of zone za, with members in two zones.

    n2 is in its zone, n3 coordinates zone zb, n4 is a member there.
    """
    state = support.make_state("n1")
    state.start(10.0)
    for name, zone, weight in (("n2", "za", 0.5), ("n3", "zb", 2.0)):
        member = support.make_member(name, zone=zone, weight=weight)
        state.membership.add_candidate(member)
    for name, zone in (("n2", "za"), ("n3", "zb"), ("n4", "zb")):
        beat = support.make_heartbeat(
            support.make_state(name, zone=zone), weight=0.5
        )
        support.deliver_message(state, beat, 10.0)
    answer = coordination_support.make_answer("n3")
    support.deliver_message(state, answer, 10.0)
    return state


def select_fetches(out):
    return support.select_effects(out, effects.FetchConfiguration)


def test_configuration_is_announced_once_to_another_zone():
    # Each node of all zones fetched it from any coordinator, so that most
    # of the copies of a large configuration crossed between zones.
    state = make_coordinator()
    event = events.ConfigurationUpdated(10.1, 7)
    out = coordination.reduce_event(state, event)
    notified = {
        effect.ip
        for effect in support.select_effects(out, effects.Send)
        if isinstance(effect.message, messages.ConfigNotice)
    }
    assert notified == {"10.0.0.2", "10.0.0.3"}


def test_configuration_of_another_zone_is_fetched_only_after_a_delay():
    state = make_coordinator()
    answer = coordination_support.make_answer("n3", config_version=7)
    assert not select_fetches(support.deliver_message(state, answer, 10.1))
    assert not select_fetches(coordination.reduce_event(state, tick(10.2)))
    fetches = select_fetches(coordination.reduce_event(state, tick(10.8)))
    assert fetches == [effects.FetchConfiguration("10.0.0.3", 7)]


def test_configuration_that_arrives_in_time_is_not_fetched_again():
    state = make_coordinator()
    answer = coordination_support.make_answer("n3", config_version=7)
    support.deliver_message(state, answer, 10.1)
    coordination.reduce_event(state, events.ConfigurationUpdated(10.3, 7))
    assert not select_fetches(coordination.reduce_event(state, tick(10.8)))


def tick(now):
    return events.Tick(now)


def test_large_documents_are_compressed_between_nodes():
    document = orjson.dumps(["route-%d" % n for n in range(2000)])
    (port,) = node_support.find_ports(1)

    async def fetch():
        transport = peers.PeerTransport(
            "127.0.0.1", port, None, {"configuration": lambda: document}
        )
        async with transport.open():
            fetched = await transport.fetch("127.0.0.1", "configuration")
        return fetched, transport

    fetched, transport = asyncio.run(fetch())
    assert fetched == document
    source, compressed = transport._compressed
    assert source is document
    assert len(compressed) < len(document) / 2
