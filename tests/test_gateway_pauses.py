"""Pauses and exits that workers announce in their answers."""

import asyncio

import hypothesis
from hypothesis import strategies
import pytest

from acaciafield.gateway import coordination
from acaciafield.gateway import effects
from acaciafield.gateway import events
from acaciafield.gateway import messages
from acaciafield.gateway import pauses
from acaciafield_daemon.gateway import decision_log
from acaciafield_daemon.gateway import grant_requests
from tests import gateway_support as support


def make_node(name="n1", workers=2, **fields):
    """Return the state of a node that has read the list of workers."""
    state = support.make_state(name)
    state.start(10.0)
    read_workers(state, 10.0, workers, **fields)
    return state


def read_workers(state, now, workers=2, **fields):
    entries = [support.make_entry("w%d" % (n + 1)) for n in range(workers)]
    for name, value in fields.items():
        setattr(entries[0], name, value)
    return coordination.reduce_event(state, events.WorkersRead(now, entries))


def report_attempt(state, now, attempt_id="r1:1", worker_id="w1", **fields):
    """Report the end of an attempt; by default of the node itself."""
    fields = {
        "incarnation": 1,
        "node": state.local_member.name,
        "load": None,
    } | fields
    report = support.make_report(attempt_id, worker_id, **fields)
    return support.deliver_message(state, report, now, sender="")


def receive_grant(state, now, worker_id="w1", incarnation=1):
    """Send a grant to a node; return what its request receives."""
    grant = messages.Grant(
        "r9:1",
        worker_id,
        "127.0.0.1:9001",
        0.1,
        entry_version=[incarnation, 50],
    )
    out = support.deliver_message(state, grant, now)
    return support.select_effects(out, effects.DeliverAnswer)[0].message


def request_grant(state, now, attempt_id="r8:1", **fields):
    """Send a coordinator a request for a grant; return the answer."""
    out = support.deliver_message(
        state, support.make_grant_request(attempt_id, **fields), now
    )
    return support.select_effects(out, effects.Send)[0].message


@pytest.mark.parametrize("workers", [0, 2])
@pytest.mark.parametrize("ending", ["answered", "shed", "failed", "garbled"])
def test_worker_that_announced_its_exit_is_not_used_whoever_grants_it(
    ending, workers
):
    state = support.make_state("n1")
    state.start(10.0)
    if workers:
        read_workers(state, 10.0, workers)
    assert isinstance(receive_grant(state, 10.1), messages.Grant)
    report_attempt(state, 11.0, ending=ending, leaving=True)
    read_workers(state, 60.0)
    assert isinstance(receive_grant(state, 61.0), messages.GrantRefusal)
    assert isinstance(
        receive_grant(state, 61.0, incarnation=2), messages.Grant
    )
    assert isinstance(receive_grant(state, 61.0, "w2"), messages.Grant)


def test_coordinator_grants_no_worker_that_announced_its_exit():
    state = make_node()
    report_attempt(state, 11.0, node="n7", leaving=True)
    for number in range(2):
        answer = request_grant(state, 11.1, "r%d:1" % number, idempotent=False)
        assert answer.worker_id == "w2"
    read_workers(state, 12.0, sequence=9)
    assert request_grant(state, 12.1).worker_id == "w2"


def test_new_incarnation_of_a_worker_that_left_is_used():
    state = make_node(workers=1)
    report_attempt(state, 11.0, leaving=True)
    assert request_grant(state, 11.1).reason == "no-workers"
    read_workers(state, 12.0, 1, incarnation=2)
    assert request_grant(state, 12.1, "r7:1").worker_id == "w1"


def test_floor_does_not_count_a_worker_that_announced_its_exit():
    state = make_node(workers=3)
    report_attempt(state, 11.0, leaving=True)
    scheduler = state.get_scheduler("orders")
    scheduler.last_request_at = 20.0
    assert scheduler.measure_usage(20.0).healthy == 2


def test_pause_applies_only_to_the_node_that_received_the_request():
    state = make_node()
    report_attempt(state, 11.0, ending="shed", pause=5.0, node="n7")
    assert isinstance(receive_grant(state, 11.1), messages.Grant)
    report_attempt(state, 11.2, ending="shed", pause=5.0)
    assert receive_grant(state, 16.0).reason == "paused"
    assert isinstance(
        receive_grant(state, 16.0, incarnation=2), messages.Grant
    )
    assert isinstance(receive_grant(state, 16.3), messages.Grant)


def test_request_is_refused_at_once_where_all_workers_are_avoided():
    state = make_node()
    answer = request_grant(state, 11.0, avoided_workers=["w1", "w2"])
    assert answer.reason == "avoided"


def test_grant_that_arrives_as_its_request_is_cancelled_is_withdrawn():
    # Guards against a grant that takes a slot until its deadline, because
    # the request was answered by another attempt meanwhile.
    state = make_node()
    sent = []

    async def steps():
        loop = asyncio.get_running_loop()
        requester = grant_requests.GrantRequester(
            state,
            lambda name, message: sent.append(message),
            loop.time,
            decision_log.DecisionLog("n1", loop.time),
        )
        request = support.make_grant_request("r1:1")
        task = asyncio.ensure_future(
            requester.request_grant(request, loop.time() + 1.0)
        )
        await asyncio.sleep(0.01)
        requester.deliver(messages.Grant("r1:1", "w1", "127.0.0.1:9001", 0.1))
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task

    asyncio.run(steps())
    assert isinstance(sent[0], messages.GrantRequest)
    assert isinstance(sent[-1], messages.GrantWithdrawal)


def request_grant_alone(state, time_left=1.0):
    """Request a grant at a node without coordinators; w1, w2 are paused.

    Return the answer and the elapsed seconds.
    """

    async def steps():
        loop = asyncio.get_running_loop()
        log = decision_log.DecisionLog("n1", loop.time)

        def send(name, message):
            event = events.MessageReceived(loop.time(), "", message)
            for effect in coordination.reduce_event(state, event):
                if isinstance(effect, effects.DeliverAnswer):
                    grant_requester.deliver(effect.message)

        grant_requester = grant_requests.GrantRequester(
            state, send, loop.time, log
        )
        now = loop.time()
        for number in (1, 2):
            report_attempt(
                state,
                now,
                "p%d:1" % number,
                "w%d" % number,
                ending="shed",
                pause=1.0 + number,
            )
        started = loop.time()
        request = support.make_grant_request("r1:1", time_left=time_left)
        answer = await grant_requester.request_grant(
            request, started + time_left
        )
        return answer, loop.time() - started

    return asyncio.run(steps())


def test_request_goes_to_a_worker_that_requested_no_pause():
    answer, elapsed = request_grant_alone(make_node(workers=3))
    assert answer.worker_id == "w3"
    assert elapsed < 0.1


def test_caller_receives_the_end_of_the_first_pause_at_once():
    answer, elapsed = request_grant_alone(make_node(workers=2))
    assert answer.reason == "avoided"
    assert 1.8 < answer.retry_after <= 2.0
    assert elapsed < 0.1


STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["w1", "w2", "w3"]),
        strategies.integers(1, 2),
        strategies.floats(0.0, 5.0),
        strategies.floats(0.0, 2.0),
    ),
    max_size=30,
)


@hypothesis.given(STEPS)
def test_worker_is_paused_to_the_end_of_the_longest_pause_of_its_incarnation(
    steps,
):
    node_pauses, expected, now = pauses.Pauses(), {}, 0.0
    for worker_id, incarnation, seconds, elapsed in steps:
        now += elapsed
        node_pauses.record_pause(
            "orders", worker_id, incarnation, seconds, now
        )
        before = expected.get(worker_id, (0, 0.0))
        until = now + seconds
        if before[0] == incarnation:
            until = max(until, before[1])
        expected[worker_id] = (incarnation, until)
        for other, (other_incarnation, end) in expected.items():
            assert node_pauses.is_paused(other, other_incarnation, now) == (
                now < end
            )
        paused = {w for w, (_, end) in expected.items() if now < end}
        assert set(node_pauses.list_paused("orders", now)) == paused


def test_pause_count_and_length_are_bounded():
    node_pauses = pauses.Pauses()
    node_pauses.record_pause("orders", "long", 1, 1e9, 0.0)
    for number in range(2 * pauses.MAX_PAUSED_WORKERS):
        node_pauses.record_pause("orders", "w%d" % number, 1, 10.0, 0.0)
    assert node_pauses.is_paused("long", 1, pauses.MAX_PAUSE_S - 1.0)
    assert not node_pauses.is_paused("long", 1, pauses.MAX_PAUSE_S + 1.0)
    assert (
        len(node_pauses.list_paused("orders", 1.0))
        == pauses.MAX_PAUSED_WORKERS
    )
