"""Answers of a node to requests over the quota of a workspace."""

import contextlib

import eliot

from acaciafield.gateway import events
from acaciafield.gateway import scheduling
from acaciafield_daemon.gateway import calls
from acaciafield_daemon.gateway import decision_log
from acaciafield_daemon.gateway import grant_requests
from tests import gateway_quota_simulation as simulation
from tests import test_gateway_node

RATE = 0.5
LIMITS = simulation.make_limits(acme=(RATE, 0), free=(0, 0))


def set_workspace(node, name):
    """Let all requests of a node's callers belong to a workspace."""
    requester = node.grant_requester

    class Requester(grant_requests.GrantRequester):
        __slots__ = ()

        async def request_grant(self, request, give_up_at):
            request.workspace = name
            return await super().request_grant(request, give_up_at)

    node.request_server.grant_requester = Requester(
        requester.state, requester.send, requester.clock, requester.log
    )
    # Answers are delivered to the requester that the node knows.
    node.grant_requester = node.request_server.grant_requester


@contextlib.contextmanager
def eliot_lines(lines):
    """Append the log messages of this process to a list."""
    eliot.add_destinations(lines.append)
    try:
        yield
    finally:
        eliot.remove_destination(lines.append)


def apply_limits(node):
    """Apply limits as a newer version of the configuration would."""
    version = node.state.config_version + 1
    node._apply_event(events.ConfigurationUpdated, version, LIMITS)


def test_request_over_the_quota_gets_429_and_runs_nowhere():
    """Guards against 503 for it, and against a request that ran."""

    async def steps(harness):
        node = harness.node
        apply_limits(node)
        set_workspace(node, "acme")
        found = [await harness.call() for _ in range(4)]
        assert [status for status, _, _ in found] == [429] * 4
        assert harness.seen == []
        waits = [float(headers["Retry-After"]) for _, headers, _ in found]
        # The bucket is empty at first and refills at 0.5 tokens a second.
        assert waits == sorted(waits) and 1.0 <= waits[0] <= waits[-1] <= 5.0
        assert found[0][1]["Acaciafield-Request-Id"] == "q1"
        set_workspace(node, "free")
        status, _, _ = await harness.call()
        assert status == 200 and harness.seen == ["q5"]
        _, page = await harness.get(node.options.metrics_port, "/")
        page = page.decode()
        assert 'outcome="limited",route="r2"} 4' in page
        assert "acaciafield_quota_tokens_refused 4" in page
        assert "acme" not in page

    test_gateway_node.run_steps(steps)


def test_lines_of_limited_requests_are_bounded():
    """Guards against a line for each request of a workspace without end."""
    lines = []

    async def steps(harness):
        node = harness.node
        apply_limits(node)
        set_workspace(node, "acme")
        with eliot_lines(lines):
            await harness.call()

    test_gateway_node.run_steps(steps)
    by_kind = {line["message_type"]: line for line in lines}
    assert by_kind["gateway:limited"]["status"] == 429
    assert "limited" not in decision_log.UNLIMITED_KINDS
    assert "gateway:failed" not in by_kind
    line = by_kind["gateway:quota"]
    assert (line["workspace"], line["limit"]) == ("acme", RATE)


def test_other_refusals_are_still_answered_with_503():
    """Guards against 429 where a workspace has done nothing wrong."""
    for name, reason in vars(scheduling.RefusalReason).items():
        if not name.startswith("_"):
            expected = 429 if reason == "quota" else 503
            refusal = calls.NoGrant(reason, 1.0)
            status = 429 if refusal.outcome == calls.LIMITED else 503
            assert (refusal.status, status) == (expected, expected)
