"""Tests of the statuses that guarantee that a request has not run.

Each test guards against a caller that gets 408, 421, 429 or 503 although a
worker has run its request or may still run it, or against one that does not
get a true refusal or another failure as the worker sent it.
"""

import asyncio

import pytest

from acaciafield.gateway import hedging
from acaciafield.gateway import messages
from acaciafield import outcomes
from acaciafield_daemon.gateway import calls
from acaciafield_daemon.gateway import grant_requests
from acaciafield_daemon.gateway import upstream
from tests import test_gateway_node
from tests import test_quota_answers
from tests import worker_answers as answers

NOT_RUN_STATUSES = (408, 421, 429, 503)
GRACE_S = 0.5
HEDGE_AFTER_S = 0.1
ORDER = ("POST", "/a/x", "a.example")
READ = ("GET", "/b/x", "b.example")
Ending = outcomes.Ending
each_ran_status = pytest.mark.parametrize("status", [408, 429, 503])
each_refusal_status = pytest.mark.parametrize("status", [503, 429, 421, 400])
each_framing = pytest.mark.parametrize("framing", answers.FRAMINGS)


def run_steps(steps, *makers, delay=0.0):
    """Run steps at a node that stops soon, with scripted workers."""
    options = test_gateway_node.make_options(grace=GRACE_S)
    answers.run_steps(steps, *makers, delay=delay, options=options)


async def check_unknown(harness, request, attempts):
    """Check that the gateway answers 502 after a number of attempts."""
    headers = await answers.check_replaced(harness, *request)
    assert "Retry-After" not in headers
    assert len(harness.seen) == attempts


@each_framing
@each_ran_status
def test_order_that_ran_gets_no_promise(status, framing):
    async def steps(harness):
        await check_unknown(harness, ORDER, 1)

    answer = answers.make_answer(status, "Retry-After: 1", framing=framing)
    run_steps(steps, answer)


@each_ran_status
def test_order_sent_in_chunks_that_ran_gets_no_promise(status):
    async def send_body():
        yield b"order"

    async def steps(harness):
        found, _, body = await harness.call(*ORDER, data=send_body())
        assert (found, body, len(harness.seen)) == (502, b"", 1)

    run_steps(steps, answers.make_raw_answer(b"HTTP/1.1 %d Status" % status))


@each_ran_status
def test_read_that_ran_is_repeated_and_gets_no_promise(status):
    async def steps(harness):
        await check_unknown(harness, READ, 2)

    run_steps(steps, answers.make_answer(status))


@each_ran_status
def test_repeat_of_a_read_is_answered(status):
    async def steps(harness):
        found, headers, body = await harness.call(*READ)
        assert (found, body) == (200, answers.BODY)
        assert headers[answers.SIGNATURE] == "s"

    run_steps(steps, answers.make_answer(status), answers.make_answer(200))


@each_refusal_status
def test_refused_order_that_ran_elsewhere_gets_no_promise(status):
    async def steps(harness):
        await check_unknown(harness, ORDER, 2)

    run_steps(steps, answers.make_refusal(status), answers.make_answer(503))


@pytest.mark.parametrize(
    "makers, status",
    [
        ((answers.make_answer(500), answers.make_answer(503)), 500),
        ((answers.make_answer(503), answers.make_answer(500)), 500),
        ((answers.make_answer(503), answers.make_answer(429)), 502),
        ((answers.make_answer(503), answers.make_refusal(503)), 502),
        ((answers.make_answer(429), answers.make_refusal(421)), 502),
        ((answers.make_answer(503), answers.reset), 502),
        ((answers.reset, answers.make_answer(503)), 502),
        ((answers.reset, answers.make_refusal(503)), 502),
        ((answers.make_refusal(503), answers.reset), 502),
    ],
)
def test_failure_chosen_for_a_read_is_no_promise(makers, status):
    async def steps(harness):
        found, headers, _ = await harness.call(*READ)
        assert (found, len(harness.seen)) == (status, 2)
        assert (answers.SIGNATURE in headers) is (status == 500)

    run_steps(steps, *makers)


def refuse_repeats(harness, reason="budget", retry_after=1.0):
    """Let the coordinators refuse each second attempt of a request."""
    requester = harness.node.request_server.grant_requester
    send = requester.send

    def send_or_refuse(name, message):
        is_request = isinstance(message, messages.GrantRequest)
        if is_request and message.retry_count:
            requester.deliver(
                messages.GrantRefusal(message.attempt_id, reason, retry_after)
            )
        else:
            send(name, message)

    requester.send = send_or_refuse


def test_failure_of_a_read_without_a_second_grant_is_no_promise():
    async def steps(harness):
        refuse_repeats(harness)
        await check_unknown(harness, READ, 1)

    run_steps(steps, answers.make_answer(503))


@pytest.mark.parametrize(
    "second, expected",
    [
        (answers.make_answer(200), 200),
        (answers.make_answer(500), 500),
        (answers.make_answer(429), 502),
        (answers.make_refusal(503), 502),
        (answers.reset, 502),
        (None, 502),
    ],
)
def test_failure_of_a_hedged_read_is_no_promise(monkeypatch, second, expected):
    """The first attempt fails while its hedge runs or after its refusal."""
    requester_class = grant_requests.GrantRequester
    deliver = requester_class.deliver

    def deliver_with_hedge(requester, message):
        if isinstance(message, messages.Grant):
            message.hedge_after = HEDGE_AFTER_S
        deliver(requester, message)

    monkeypatch.setattr(requester_class, "deliver", deliver_with_hedge)

    async def steps(harness):
        if second is None:
            refuse_repeats(harness, hedging.HedgeRefusal.SHARE)
        status, _, _ = await harness.call(*READ)
        sent = 1 if second is None else 2
        assert (status, len(harness.seen)) == (expected, sent)

    first = answers.make_answer(503)
    makers = [first] if second is None else [first, second]
    run_steps(steps, *makers, delay=4 * HEDGE_AFTER_S)


@pytest.mark.parametrize("is_in_time", [False, True])
def test_order_that_ran_during_a_stop_gets_no_promise(is_in_time):
    """The node exits first, or the worker's failure comes in time."""

    async def steps(harness):
        if is_in_time:
            harness.node.options.grace = 4.0
        running = asyncio.ensure_future(harness.call(*ORDER))
        while not harness.seen:
            await asyncio.sleep(0.01)
        harness.node.stopping.set()
        status, _, body = await running
        assert (status, body) == (502, b"")

    run_steps(steps, answers.make_answer(503), delay=0.4)


def test_order_that_ran_at_its_deadline_gets_no_promise():
    async def steps(harness):
        status, _, _ = await harness.call(*ORDER)
        assert (status, len(harness.seen)) == (504, 1)

    run_steps(steps, answers.make_answer(503), delay=2.5)


@pytest.mark.parametrize("end", ["no-answer", "exit", "exit-and-grant"])
def test_order_refused_while_it_waits_for_a_grant_never_runs(end):
    """The grant comes after the refusal, or just before the exit.

    In the latter case a worker may get the order, so it is not refused.
    """

    async def steps(harness):
        server = harness.node.request_server
        requester = server.grant_requester
        send, held = requester.send, []

        def hold_requests(name, message):
            if isinstance(message, messages.GrantRequest):
                held.append(message.attempt_id)
            else:
                send(name, message)

        def deliver_grant():
            address = harness.workers[0].address
            grant = messages.Grant(held[0], "i-s1-0", address, None)
            requester.deliver(grant)

        requester.send = hold_requests
        running = asyncio.ensure_future(harness.call(*ORDER))
        while not held:
            await asyncio.sleep(0.01)
        if end == "exit-and-grant":
            deliver_grant()
        if end != "no-answer":
            server.abort_calls()
        status, _, _ = await running
        assert status == (502 if end == "exit-and-grant" else 503)
        deliver_grant()
        await asyncio.sleep(0.2)
        assert status == 502 or harness.seen == []

    run_steps(steps, answers.make_answer(200))


@pytest.mark.parametrize("status", [400, 404, 409, 500, 501, 502, 504, 599])
def test_other_failure_of_an_order_is_forwarded_unchanged(status):
    framings = ("length", "chunks", "close")

    async def steps(harness):
        for _ in framings:
            found, headers, body = await harness.call(*ORDER)
            assert (found, body) == (status, answers.BODY)
            assert headers[answers.SIGNATURE] == "s"
            assert headers["Retry-After"] == "7"

    run_steps(
        steps,
        *(
            answers.make_answer(status, "Retry-After: 7", framing=framing)
            for framing in framings
        ),
    )


@each_refusal_status
def test_refused_order_is_tried_elsewhere(status):
    async def steps(harness):
        found, headers, body = await harness.call(*ORDER)
        assert (found, body) == (200, answers.BODY)
        assert headers[answers.SIGNATURE] == "s"
        assert len(harness.seen) == 2

    run_steps(steps, answers.make_refusal(status), answers.make_answer(200))


@each_refusal_status
def test_order_refused_by_each_worker_stays_refused(status):
    async def steps(harness):
        found, headers, body = await harness.call(*ORDER)
        assert (found, body) == (503, b"")
        assert answers.SIGNATURE not in headers
        assert float(headers["Retry-After"]) > 0.0
        assert len(harness.seen) == 2

    run_steps(steps, answers.make_refusal(status))


@pytest.mark.parametrize(
    "asked, expected",
    [
        (("2.5",), 2.5),
        (("2.5", "1.25"), 1.25),
        (("2.5", None), 0.3),
        (("soon",), 0.3),
        (("0",), 0.3),
    ],
)
@pytest.mark.parametrize("status", [503, 429])
def test_refusals_of_workers_keep_their_shortest_retry_after(
    status, asked, expected
):
    """Guards against a caller that returns before any worker takes it."""

    async def steps(harness):
        found, headers, _ = await harness.call(*ORDER)
        assert (found, len(harness.seen)) == (503, 2)
        assert float(headers["Retry-After"]) == expected

    fields = [["Retry-After: " + text] if text else [] for text in asked]
    run_steps(steps, *(answers.make_refusal(status, *f) for f in fields))


@pytest.mark.parametrize(
    "reason, retry_after, expected",
    [
        # The node knows when the first pause that it was asked for ends.
        ("avoided", 0.5, (503, pytest.approx(3.0, abs=0.3))),
        ("overload", 0.8, (503, 0.8)),
        ("budget", 0.1, (503, 0.3)),
        ("quota", 1.2, (429, 1.2)),
    ],
)
def test_refusal_of_a_coordinator_keeps_its_retry_after(
    reason, retry_after, expected
):
    """Guards against an early return after a worker refused as well."""

    async def steps(harness):
        refuse_repeats(harness, reason, retry_after)
        status, headers, _ = await harness.call(*ORDER)
        assert (status, float(headers["Retry-After"])) == expected

    run_steps(steps, answers.make_refusal(503, "Retry-After: 3"))


def test_log_leads_from_an_unknown_order_to_the_status_of_its_worker():
    lines = []

    async def steps(harness):
        with test_quota_answers.eliot_lines(lines):
            await harness.call(*ORDER)

    run_steps(steps, answers.make_answer(503))
    found = {line["message_type"]: line for line in lines}
    attempt, end = found["gateway:attempt"], found["gateway:failed"]
    assert attempt["request"] == end["request"] == "q1"
    assert (attempt["ending"], attempt["status"]) == ("failed", 503)
    assert (end["outcome"], end["status"]) == ("unknown", 502)


@pytest.mark.parametrize("status", NOT_RUN_STATUSES)
def test_no_failure_with_such_a_status_is_forwardable(status):
    result = upstream.AttemptResult(Ending.FAILED, status)
    assert calls.may_have_run(result)
    assert not result.is_forwardable
