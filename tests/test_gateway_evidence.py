"""Evidence of grants and reports reaches all holders, in batches."""

import random

import pytest

from acaciafield.gateway import coordination
from acaciafield.gateway import effects
from acaciafield.gateway import events
from acaciafield.gateway import evidence_batches
from acaciafield.gateway import messages
from acaciafield_daemon.gateway import grant_requests
from acaciafield_daemon.gateway import peers
from tests import gateway_support as support
from tests import test_gateway_coordination as coordination_support

NAMES = ("n1", "n2", "n3")


def make_fleet():
    """Return three coordinators of three zones, by name."""
    states = {n: support.make_state(n, zone="z" + n) for n in NAMES}
    for state in states.values():
        state.start(10.0)
        for name in NAMES:
            member = support.make_member(name, zone="z" + name)
            state.membership.add_candidate(member)
            answer = coordination_support.make_answer(name)
            support.deliver_message(state, answer, 10.0)
        entries = [support.make_entry("w1"), support.make_entry("w2")]
        coordination.reduce_event(state, events.WorkersRead(10.0, entries))
    return states


def exchange_batches(states, now):
    """Deliver the batches that are due; return how many were sent."""
    sent = []
    for state in states.values():
        out = coordination.reduce_event(state, events.Tick(now))
        sent += [
            (state.local_member.ip, effect)
            for effect in support.select_effects(out, effects.Send)
            if isinstance(effect.message, messages.EvidenceBatch)
        ]
    by_ip = {s.local_member.ip: s for s in states.values()}
    for sender, effect in sent:
        datagram = peers.encode_datagram(effect.message)
        message = peers.decode_datagram(datagram)
        support.deliver_message(by_ip[effect.ip], message, now, sender)
    return len(sent)


def test_grants_reach_the_other_holders_in_one_batch():
    states = make_fleet()
    for number in range(4):
        request = support.make_grant_request("r%d:1" % number, node="n9")
        support.deliver_message(states["n1"], request, 10.0)
    later = 10.0 + evidence_batches.BATCH_PERIOD_S + 0.001
    assert exchange_batches(states, later) == 2
    for name in NAMES[1:]:
        in_flight = states[name].get_scheduler("orders").in_flight
        assert sorted(in_flight) == ["r%d:1" % n for n in range(4)]
    assert exchange_batches(states, later + 1.0) == 0


def test_report_is_applied_once_at_each_holder():
    # A holder that gets a report directly and with a batch would count one
    # failure twice.
    states = make_fleet()
    for name in NAMES:
        notice = messages.GrantNotice(
            "orders", "r1:1", "n2", "w1", "r", 2.0, 0, "f"
        )
        support.deliver_message(states[name], notice, 10.0)
    sender = grant_requests.GrantRequester(
        states["n2"],
        lambda name, message: support.deliver_message(
            states[name], message, 10.1
        ),
        lambda: 10.1,
        None,
    )
    sender.send_report(
        support.make_report("r1:1", "w1", "failed", node="n2"), "n1"
    )
    exchange_batches(states, 10.2)
    for name in NAMES:
        worker = states[name].get_scheduler("orders").workers["w1"]
        assert worker.failures == 1
        assert not worker.in_flight


@pytest.mark.parametrize("is_down", [False, True])
def test_report_goes_to_all_holders_if_the_granter_may_be_down(is_down):
    states = make_fleet()
    if is_down:
        states["n2"].membership.record_missed_request("n1", 10.1)
    sent = []
    sender = grant_requests.GrantRequester(
        states["n2"],
        lambda name, message: sent.append((name, message.is_relayed)),
        lambda: 10.1,
        None,
    )
    sender.send_report(support.make_report("r1:1", "w1", node="n2"), "n1")
    if is_down:
        assert sorted(sent) == [(name, False) for name in NAMES]
    else:
        assert sent == [("n2", False), ("n1", True)]


def test_datagram_that_expands_too_much_is_refused():
    # A small datagram may expand to gigabytes.
    data = b"[" + b" " * 10 * peers.MAX_DECOMPRESSED_BYTES + b"]"
    datagram = peers.COMPRESSED_MARK + peers.zlib.compress(data)
    with pytest.raises(ValueError):
        peers.decode_datagram(datagram)
    with pytest.raises(ValueError):
        peers.decode_datagram(peers.COMPRESSED_MARK + b"not compressed")


def test_unreadable_row_of_a_batch_is_dropped_alone():
    # One mistyped row would have stopped the rows after it, and the timers.
    states = make_fleet()
    notice = messages.GrantNotice(
        "orders", "r1:1", "n2", "w1", "r", 2.0, 0, "f"
    )
    rows = [[99], [7, 1, 2], messages.pack_message(notice)]
    rows.insert(0, messages.pack_message(messages.ConfigNotice("n2", 9)))
    out = support.deliver_message(
        states["n1"], messages.EvidenceBatch(rows), 10.0
    )
    logged = support.select_effects(out, effects.LogDecision)
    assert [e.kind for e in logged].count("evidence-unreadable") == 3
    assert list(states["n1"].get_scheduler("orders").in_flight) == ["r1:1"]
    assert not support.select_effects(out, effects.FetchConfiguration)


def test_batch_with_long_ids_of_requests_fits_into_datagrams():
    # Guards against callers whose long ids make a batch exceed a datagram,
    # so that the evidence of all other requests in it is lost.
    states = make_fleet()
    numbers = random.Random(1)
    for number in range(60):
        request_id = "%d-%x" % (number, numbers.getrandbits(12_000))
        report = support.make_report(request_id + ":1", "w1", node="n9")
        report.is_relayed = True
        support.deliver_message(states["n1"], report, 10.0)
    out = coordination.reduce_event(states["n1"], events.Tick(10.1))
    sent = [
        effect
        for effect in support.select_effects(out, effects.Send)
        if isinstance(effect.message, messages.EvidenceBatch)
    ]
    sizes = [len(peers.encode_datagram(effect.message)) for effect in sent]
    assert max(sizes) <= peers.MAX_DATAGRAM_BYTES
    rows = [row for e in sent if e.ip == sent[0].ip for row in e.message.rows]
    assert len(rows) == 60


def test_message_above_the_size_of_a_datagram_is_counted():
    transport = peers.PeerTransport("127.0.0.1", 1, None, {})
    numbers = random.Random(1)
    long_id = "%x" % numbers.getrandbits(8 * peers.MAX_DATAGRAM_BYTES)
    transport.send("127.0.0.2", messages.GrantQueued(long_id))
    assert transport.oversized == 1


def test_notice_of_a_withdrawn_grant_is_not_sent_after_the_withdrawal():
    # Guards against a request that the other holders count as in flight
    # until its deadline: its withdrawal arrived before the batch.
    states = make_fleet()
    for attempt_id in ("r1:1", "r2:1"):
        request = support.make_grant_request(attempt_id, node="n9")
        support.deliver_message(states["n1"], request, 10.0)
    withdrawal = messages.GrantWithdrawal("orders", "r1:1")
    for name in NAMES:
        support.deliver_message(states[name], withdrawal, 10.005)
    exchange_batches(states, 10.03)
    for name in NAMES:
        assert list(states[name].get_scheduler("orders").in_flight) == ["r2:1"]


def test_batch_without_rows_is_not_sent():
    states = make_fleet()
    request = support.make_grant_request("r1:1", node="n9")
    support.deliver_message(states["n1"], request, 10.0)
    withdrawal = messages.GrantWithdrawal("orders", "r1:1")
    support.deliver_message(states["n1"], withdrawal, 10.005)
    assert exchange_batches(states, 10.03) == 0
    request = support.make_grant_request("r2:1", node="n9")
    support.deliver_message(states["n1"], request, 10.1)
    assert exchange_batches(states, 10.13) == 2
