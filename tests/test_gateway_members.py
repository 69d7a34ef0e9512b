"""Addresses for callers, and coordinators that a node sends requests to."""

import asyncio
import collections

from acaciafield.gateway import members
from acaciafield.gateway import messages
from acaciafield_daemon.gateway import decision_log
from acaciafield_daemon.gateway import grant_requests
from tests import gateway_support as support

LARGE = ["n1", "n2"]
SMALL = ["n%d" % number for number in range(3, 27)]


def make_membership(weights):
    """Return a MembershipView of one zone; ``weights`` is by node name."""
    found = [
        support.make_member(name, weight=weight)
        for name, weight in weights.items()
    ]
    membership = members.MembershipView(found[0])
    membership.replace_members([member.as_row() for member in found], "d")
    return membership


def make_mixed_membership():
    weights = {name: 2.0 for name in LARGE}
    return make_membership(weights | {name: 0.1 for name in SMALL})


def list_names(membership, caller):
    found = membership.list_ready_ips("za", 3, caller)
    return ["n" + ip.rpartition(".")[2] for ip in found]


def test_callers_are_sent_to_hosts_in_proportion_to_their_weight():
    membership = make_mixed_membership()
    picked = collections.Counter()
    for number in range(300):
        names = list_names(membership, "10.9.0.%d" % number)
        for name in names:
            picked[name] += 1.0 / len(names)
    total = sum(picked.values())
    assert sum(picked[name] for name in LARGE) >= 0.4 * total
    assert all(picked[name] < 0.06 * total for name in SMALL)
    assert sum(1 for name in SMALL if picked[name]) > len(SMALL) / 2


def test_caller_keeps_its_addresses_while_they_are_ready():
    membership = make_mixed_membership()
    before = list_names(membership, "10.9.0.1")
    left_out = next(name for name in SMALL if name not in before)
    del membership.members[left_out]
    assert list_names(membership, "10.9.0.1") == before
    del membership.members[before[-1]]
    assert set(before[:-1]) <= set(list_names(membership, "10.9.0.1"))


def test_callers_get_all_hosts_where_these_are_alike():
    membership = make_membership({name: 0.86 for name in SMALL})
    assert sorted(list_names(membership, "10.9.0.1")) == sorted(SMALL)


def test_callers_get_all_small_hosts_once_the_large_ones_left():
    membership = make_mixed_membership()
    for name in LARGE:
        del membership.members[name]
    assert sorted(list_names(membership, "10.9.0.1")) == sorted(SMALL)


def request_unresponsive_coordinators(state):
    """Let a request time out; return the names that it was sent to."""

    async def run():
        loop = asyncio.get_running_loop()
        recipients = []
        log = decision_log.DecisionLog("n1", loop.time)
        grant_requester = grant_requests.GrantRequester(
            state,
            lambda name, message: (
                recipients.append(name)
                if isinstance(message, messages.GrantRequest)
                else None
            ),
            lambda: loop.time() - started,
            log,
        )
        started = loop.time() - 1.0
        request = support.make_grant_request()
        assert await grant_requester.request_grant(request, 1.5) is None
        return recipients

    return asyncio.run(run())


def make_node(answered_at):
    """Return a NodeState that knows two coordinators."""
    state = support.make_state("n3")
    state.start(0.0)
    for name, zone in (("n1", "za"), ("n2", "zb")):
        member = support.make_member(name, zone=zone, weight=2.0)
        state.membership.add_candidate(member)
        state.membership.candidates[name].record_answer(answered_at)
        state.membership.candidates[name].store_age = 0.1
    state.has_reached_coordinator = True
    state.answered_at = answered_at
    return state


def test_node_whose_coordinators_answer_heartbeats_tries_them_in_turn():
    recipients = request_unresponsive_coordinators(make_node(answered_at=0.9))
    assert set(recipients) == {"n1", "n2"}
    assert len(recipients) >= 3


def test_node_whose_coordinators_are_unresponsive_grants_locally():
    state = make_node(answered_at=-1.0)
    assert "n3" in request_unresponsive_coordinators(state)


def test_number_of_evidence_holders_does_not_grow_with_the_zones():
    for count in (2, 3, 5, 9):
        state = support.make_state("n1", zone="z1")
        for number in range(1, count + 1):
            name = "n%d" % number
            member = support.make_member(name, zone="z%d" % number)
            state.membership.add_candidate(member)
        found = state.membership.list_evidence_holders("orders", 0.0)
        assert len(found) == min(count, members.EVIDENCE_COPIES)
        ranked = state.membership.rank_coordinators("orders", 0.0, False)
        assert found == ranked[: len(found)]


def test_only_the_first_of_two_grants_is_used():
    """Both coordinators may grant while one takes over from the other."""

    async def run():
        loop = asyncio.get_running_loop()
        state = make_node(answered_at=0.0)
        log = decision_log.DecisionLog("n3", loop.time)
        ended = []

        def send(name, message):
            if not isinstance(message, messages.GrantRequest):
                ended.append(message)
                return
            for worker_id in ("w1", "w2"):
                grant = messages.Grant(
                    message.attempt_id, worker_id, "127.0.0.1:1", 1.0, name
                )
                grant_requester.deliver(grant)

        grant_requester = grant_requests.GrantRequester(
            state, send, lambda: 0.0, log
        )
        request = support.make_grant_request()
        answer = await grant_requester.request_grant(request, 1.5)
        assert answer.worker_id == "w1"
        late = messages.Grant(
            request.attempt_id, "w2", "127.0.0.1:1", 1.0, "n2"
        )
        grant_requester.deliver(late)
        assert not grant_requester.pending_requests
        assert not ended

    asyncio.run(run())
