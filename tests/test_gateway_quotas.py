"""Quotas of workspaces: limits under failure, and no loss without one."""

import random

import pytest

from acaciafield.gateway import effects
from acaciafield.gateway import events
from acaciafield.gateway import messages
from acaciafield.gateway import quotas
from acaciafield.gateway import scheduling
from tests import gateway_quota_simulation as simulation
from tests import gateway_support as support

WARM_UP_S = 6.0  # until the shares of all coordinators are complete
LIMITS = simulation.make_limits(big=(40, 20), small=(3, 6))


def start_fleet(seed, limits=LIMITS, **fields):
    """Return a fleet whose members know each other and their limits."""
    fleet = simulation.QuotaFleet(random.Random(seed), **fields)
    fleet.start()
    fleet.configure(limits)
    fleet.run_until(WARM_UP_S)
    return fleet


def assert_within_limits(fleet, limits=LIMITS, since=0.0):
    for name, limit in limits.items():
        starts = [at for at in fleet.starts[name] if at >= since]
        found, at = simulation.find_fullest_window(
            starts, support.TERMS.quota_window
        )
        bound = simulation.find_bound(limit, support.TERMS)
        assert found <= bound, (name, found, bound, at)


def plan_failures(fleet, begin, end):
    """Plan random failures of hosts and links, at most one a second."""
    at = begin
    while at < end:
        fleet.plan(at, lambda now: fail_once(fleet))
        at += 1.0 + 2.0 * fleet.random.random()


def fail_once(fleet):
    names = sorted(fleet.states)
    zones = sorted({s.local_member.zone for s in fleet.states.values()})
    name = fleet.random.choice(names)
    zone = fleet.random.choice(zones)
    others = [other for other in zones if other != zone]
    kind = fleet.random.choice(
        (
            "kill",
            "restart",
            "restarts",
            "changes",
            "cut",
            "zone",
            "one-way",
            "store",
            "stall",
            "heal",
        )
    )
    if kind == "kill":
        fleet.restart_node(name)
    elif kind == "restart":
        fleet.restart()
    elif kind == "restarts":
        downtime = 0.5 + 0.7 * fleet.random.random()
        for number in range(3):
            fleet.plan(
                fleet.now + 1.7 * number,
                lambda now: fleet.restart(0.5, downtime),
            )
    elif kind == "changes":
        plan_coordinator_changes(fleet, zones, fleet.now, 5)
    elif kind == "cut":
        fleet.cut(name)
    elif kind == "zone":
        fleet.cut_zones([zone], others)
    elif kind == "one-way":
        fleet.cut_zones([zone], others, both_ways=False)
    elif kind == "store":
        fleet.refused = set(fleet.random.sample(names, len(names) // 2))
    elif kind == "stall":
        fleet.stalled_until = fleet.now + 2.0
    else:
        fleet.cut_links.clear()
        fleet.refused = set()
        for other in names:
            fleet.heal(other)


def plan_coordinator_changes(fleet, zones, begin, count):
    """Let the store refuse the coordinators of some zones each second."""

    def change(now):
        fleet.refused = {fleet.find_coordinator(zone, now) for zone in zones}

    def heal(now):
        fleet.refused = set()

    for number in range(count):
        fleet.plan(begin + number, change)
    fleet.plan(begin + count, heal)


def run_with_failures(seed, end=24.0):
    """Return a fleet after failures, with load far over the limits."""
    slots = random.Random(seed).choice((2, 6, 100_000))
    fleet = start_fleet(seed, slots=slots)
    fleet.lost_share = fleet.random.choice((0.0, 0.02, 0.1))
    fleet.doubled_share = fleet.random.choice((0.0, 0.1))
    fleet.max_delay = fleet.random.choice((0.003, 0.02, 0.1))
    services = fleet.random.choice((("orders",), ("orders", "maps", "x")))
    fleet.entries += [
        support.make_entry("w%d" % number, service=service, slots=slots)
        for number, service in ((11, "maps"), (12, "x"))
    ]
    plan_failures(fleet, WARM_UP_S, end)
    fleet.plan_load("big", 110.0, WARM_UP_S, end, services)
    fleet.plan_load("small", 14.0, WARM_UP_S, end, services)
    fleet.run_until(end)
    return fleet


@pytest.mark.parametrize("seed", range(12))
def test_no_window_exceeds_a_limit_under_failures(seed):
    """Guards against tokens that exist twice, and against late starts."""
    fleet = run_with_failures(seed)
    assert len(fleet.starts["big"]) > 50
    assert_within_limits(fleet)


@pytest.mark.parametrize("seed", range(4))
def test_lowered_limit_binds_after_one_window(seed):
    """Guards against buckets that keep the tokens of the old limit."""
    fleet = start_fleet(seed)
    fleet.plan_load("big", 90.0, WARM_UP_S, 22.0)
    fleet.run_until(10.0)
    lowered = simulation.make_limits(big=(8, 4), small=(3, 6))
    fleet.configure(lowered, max_delay=support.TERMS.config_bound)
    fleet.run_until(22.0)
    since = 10.0 + support.TERMS.config_bound
    assert_within_limits(fleet, lowered, since)
    assert len([at for at in fleet.starts["big"] if at > 17.0]) >= 35


@pytest.mark.parametrize("services", [("orders",), ("orders", "maps", "x")])
@pytest.mark.parametrize("seed", range(5))
def test_workspace_under_its_limit_is_never_refused(seed, services):
    """Guards against tokens that stay at coordinators without demand."""
    fleet = start_fleet(seed)
    fleet.entries += [
        support.make_entry("w%d" % number, service=service, slots=100_000)
        for number, service in ((11, "maps"), (12, "x"))
    ]
    fleet.run_until(8.0)
    tokens, at, sent = LIMITS["big"].burst, 8.0, 0
    while at < 20.0:
        # Arrivals in steps of 25 ms that a bucket of the limit has room for.
        at += 0.025
        tokens = min(LIMITS["big"].burst, tokens + 0.025 * LIMITS["big"].rate)
        if fleet.random.random() < 0.05:
            arrivals = int(tokens)
        else:
            arrivals = min(int(tokens), int(fleet.random.random() * 2.5))
        tokens -= arrivals
        sent += arrivals
        for _ in range(arrivals):
            fleet.plan_request("big", at, fleet.random.choice(services))
    fleet.run_until(22.0)
    assert sent > 200
    assert fleet.refusals["big"] == []
    assert len(fleet.starts["big"]) == sent
    for count in fleet.quota_messages.values():
        assert count / 14.0 <= 14.0


def test_workspace_over_its_limit_costs_the_others_nothing():
    """Guards against a queue or buckets that one workspace fills."""
    limits = simulation.make_limits(
        noisy=(40, 20), **{"w%d" % n: (8, 8) for n in range(6)}
    )
    fleet = start_fleet(1, limits)
    fleet.plan_load("noisy", 187.0, WARM_UP_S, 18.0)
    for number in range(6):
        fleet.plan_load("w%d" % number, 5.0, WARM_UP_S, 18.0)
    fleet.run_until(20.0)
    assert_within_limits(fleet, limits)
    # All of the limit is used although most requests are refused.
    started = len([at for at in fleet.starts["noisy"] if at > 9.0])
    assert started >= 0.9 * 40 * 9
    for number in range(6):
        assert fleet.refusals["w%d" % number] == []
    for count in fleet.quota_messages.values():
        assert count / 14.0 <= 14.0


def test_partitioned_zone_spends_its_own_share():
    """Guards against a partition that stops a zone, or frees it."""
    fleet = start_fleet(2)
    fleet.cut_zones(["z0"], ["z1", "z2"])
    names = [n for n, s in fleet.states.items() if s.local_member.zone == "z0"]
    for number in range(800):
        fleet.plan_request("big", 10.0 + number * 0.01, name=names[0])
    fleet.run_until(19.0)
    started = len([at for at in fleet.starts["big"] if at > 12.0])
    assert 0.8 * 40 / 3 <= started / 6.0 <= 1.2 * 40 / 3 + 2


def test_host_that_is_cut_off_grants_the_share_of_one_candidate():
    """Guards against a host that refuses all, or spends its zone's share."""
    fleet = start_fleet(3)
    fleet.cut("n1")
    for number in range(1000):
        fleet.plan_request("big", 6.0 + number * 0.015, name="n1")
    fleet.run_until(21.0)
    started = len([at for at in fleet.starts["big"] if at > 11.0])
    assert 0.7 * 40 / 6 <= started / 10.0 <= 1.3 * 40 / 6 + 1


def test_buckets_are_empty_after_a_restart_of_all():
    """Guards against a burst that each restart grants again."""
    fleet = start_fleet(4)
    for number in range(600):
        fleet.plan_request("big", 10.0 + number * 0.001)
    fleet.run_until(11.0)
    assert len(fleet.starts["big"]) >= LIMITS["big"].burst
    fleet.restart()
    for number in range(600):
        fleet.plan_request("big", 13.5 + number * 0.001)
    fleet.run_until(14.5)
    # The buckets refill from 1.5 s after the first heartbeats on.
    refilled = (14.5 - 11.0 - quotas.QUALIFICATION_S) * LIMITS["big"].rate
    started = len([at for at in fleet.starts["big"] if at > 11.0])
    assert 10 <= started <= refilled


@pytest.mark.parametrize("seed", range(4))
def test_restart_of_all_refuses_for_a_short_time(seed):
    """Guards against members that count late after a restart of all."""
    fleet = start_fleet(seed, count=4)
    fleet.plan_load("big", 25.0, WARM_UP_S, 20.0)
    fleet.plan(10.0, lambda now: fleet.restart(0.5, 1.2))
    fleet.run_until(21.0)
    assert fleet.count_refusals("big") <= 19
    assert fleet.count_refusals("big", since=12.5) == 0
    assert_within_limits(fleet)


@pytest.mark.parametrize("seed", range(4))
def test_changes_of_coordinators_refuse_few(seed):
    """Guards against a zone without tokens while its coordinator changes."""
    fleet = start_fleet(seed, count=4)
    fleet.plan_load("big", 25.0, WARM_UP_S, 20.0)
    plan_coordinator_changes(fleet, ["z1"], 10.0, 8)
    fleet.run_until(21.0)
    assert fleet.count_refusals("big") <= 5
    assert_within_limits(fleet)


@pytest.mark.parametrize("seed", range(20))
def test_member_counts_for_one_coordinator_at_a_time(seed):
    """Guards against two coordinators of a zone with the whole share."""
    rng = random.Random(seed)
    shares = {"a": quotas.ZoneShare(), "b": quotas.ZoneShare()}
    sent, named, at = [], "a", 0.0
    for number in range(80):
        at += 0.5
        if rng.random() < 0.15:
            named = rng.choice("ab")
        for name in {named, rng.choice("ab")}:
            if rng.random() < 0.9:
                delay = rng.random() * 0.2
                sent.append((at + delay, number, name, named))
    sent.sort()
    seen = set()
    for moment, number, name, named in sent:
        shares[name].record_name("m", named == name, moment)
        counts = [share.count_members(moment) for share in shares.values()]
        assert sum(counts) <= 1, (moment, number, counts)
        seen.update(n for n, count in zip("ab", counts) if count)
    assert seen


@pytest.mark.parametrize("seed", range(60))
def test_released_or_restarted_member_counts_once(seed):
    """Guards against a release or a restart that counts a member twice.

    The member tells since when it named no other coordinator; its
    heartbeats and the answers to them are lost, late and in any order.
    """
    rng = random.Random(seed)
    shares = {"a": quotas.ZoneShare(), "b": quotas.ZoneShare()}
    member, incarnation, named = quotas.NamedCoordinators(), 1, "a"
    plans = [(0.0, 0, "beat", None)]
    order, counted, released = 0, set(), 0
    while plans:
        plans.sort()
        now, _, kind, row = plans.pop(0)
        order += 1
        if kind == "beat":
            if now >= 60.0:
                continue
            named = rng.choice("ab") if rng.random() < 0.3 else named
            named_time = member.measure_time(named, now)
            for name in "ab":
                if name == named:
                    member.record_sent(name, now)
                if rng.random() < 0.85:
                    row = (name, named, named_time, incarnation, now)
                    at = now + rng.random() * 0.2
                    plans.append((at, order + rng.random(), "heartbeat", row))
            if rng.random() < 0.05:  # it ends now and starts after 0.5 s
                member, incarnation = quotas.NamedCoordinators(), order + 1
            plans.append((now + 0.5, order, "beat", None))
        elif kind == "heartbeat":
            name, other, named_time, sender, sent_at = row
            shares[name].record_name(
                "m", name == other, now, named_time, sender, sent_at
            )
            if rng.random() < 0.85 and sender == incarnation:
                at = now + rng.random() * 0.2
                plans.append((at, order + rng.random(), "answer", row))
        elif row[3] == incarnation:
            released += member.record_answer(row[0], row[4])
        until = min(plan[0] for plan in plans) if plans else now
        moments = [now + 0.02 * n for n in range(30)]
        for moment in [at for at in moments if at <= until]:
            counts = {n: s.count_members(moment) for n, s in shares.items()}
            assert sum(counts.values()) <= 1, (moment, counts)
            counted.update(name for name in counts if counts[name])
    assert counted == {"a", "b"} and released


def test_lost_heartbeat_does_not_start_the_qualification_again():
    """Guards against a share that is lost for long with one heartbeat."""
    share = quotas.ZoneShare()
    share.record_name("m", True, 10.0, 5.0, 1, 7.0)
    assert share.count_members(10.0) == 1
    assert share.count_members(10.9) == 0
    share.record_name("m", True, 11.0, 6.0, 1, 8.0)
    assert share.count_members(11.0) == 1
    share.record_name("m", False, 11.1, 0.1, 1, 8.2)
    share.record_name("m", True, 11.2, 6.1, 1, 8.1)
    assert share.count_members(11.2) == 0


def make_lone_state(limits, entries=None):
    """Return a sole node that holds all tokens of its limits."""
    state = support.make_state("n1")
    state.start(0.0)
    steps = [
        events.ConfigurationUpdated(0.0, 1, limits),
        events.WorkersRead(0.0, entries or [support.make_entry("w1")]),
    ]
    for event in steps:
        support.reduce(state, event)
    now = 0.0
    while now < 10.0:
        now += 0.05
        support.reduce(state, events.Tick(now))
    return state


def ask(state, attempt_id, now, **fields):
    """Return the answer to a grant request, or None."""
    request = support.make_grant_request(
        attempt_id, **({"workspace": "big"} | fields)
    )
    out = support.deliver_message(state, request, now, sender="10.0.0.9")
    sent = [
        effect.message
        for effect in support.select_effects(out, effects.Send)
        if effect.ip == "10.0.0.9"
    ]
    return sent[0] if sent else None


def count_tokens(state, now):
    limit = state.quotas.find_limit("big")
    return state.quotas.find_bucket(limit, now).count_free()


def test_request_that_is_sent_again_takes_one_token():
    """Guards against lost answers that use up a quota."""
    entries = [support.make_entry("w1", slots=50)]
    state = make_lone_state(LIMITS, entries)
    ask(state, "r1:1", 10.0)
    left = count_tokens(state, 10.0)
    for _ in range(3):
        assert isinstance(ask(state, "r1:1", 10.0), messages.Grant)
    assert count_tokens(state, 10.0) == left


def test_retries_and_unlimited_workspaces_take_no_token():
    """Guards against a quota that counts attempts."""
    limits = simulation.make_limits(big=(1, 0), free=(0, 0))
    entries = [support.make_entry("w1", slots=500)]
    state = make_lone_state(limits, entries)
    before = count_tokens(state, 10.0)
    ask(state, "r1:2", 10.0, retry_count=1)
    assert count_tokens(state, 10.0) == before
    for number in range(100):
        for name in ("free", "", "unknown"):
            answer = ask(
                state, "%s%d:1" % (name, number), 10.0, workspace=name
            )
            assert isinstance(answer, messages.Grant)


def test_refused_and_withdrawn_requests_return_their_token():
    """Guards against an overload that uses up the quota of its callers."""
    state = make_lone_state(LIMITS)
    before = count_tokens(state, 10.0)
    ask(state, "r1:1", 10.0, service="nowhere")
    assert count_tokens(state, 10.0) == pytest.approx(before)
    for number in range(2, 6):
        answer = ask(state, "r%d:1" % number, 10.0)
    assert isinstance(answer, messages.GrantQueued)
    assert count_tokens(state, 10.0) == pytest.approx(before - 4)
    withdrawal = messages.GrantWithdrawal("orders", "r5:1")
    support.deliver_message(state, withdrawal, 10.0)
    assert count_tokens(state, 10.0) == pytest.approx(before - 3)
    support.deliver_message(state, withdrawal, 10.0)
    assert count_tokens(state, 10.0) == pytest.approx(before - 3)


def test_request_over_the_limit_is_refused_with_a_time_and_a_line():
    """Guards against callers that come back before there is a token."""
    limits = simulation.make_limits(big=(2, 0))
    entries = [support.make_entry("w1", slots=500)]
    state = make_lone_state(limits, entries)
    answers = [ask(state, "r%d:1" % n, 10.0) for n in range(20)]
    refusals = [a for a in answers if isinstance(a, messages.GrantRefusal)]
    assert len(refusals) == 5  # three quarters of the slack are granted
    reasons = {refusal.reason for refusal in refusals}
    assert reasons == {scheduling.RefusalReason.QUOTA}
    first = refusals[0].retry_after
    assert first == pytest.approx(0.5, abs=0.02)
    assert refusals[3].retry_after == pytest.approx(2.0, abs=0.1)
    assert isinstance(ask(state, "x:1", 10.0 + first), messages.Grant)
    request = support.make_grant_request("y:1", workspace="big")
    out = support.deliver_message(state, request, 10.0 + first)
    (line,) = simulation.list_quota_lines(out)
    assert line["workspace"] == "big" and line["limit"] == 2.0
    assert line["tokens"] < 1.0 and line["cause"] == "alone"


def test_unsolicited_late_and_repeated_transfers_are_dropped():
    """Guards against tokens that exist twice."""
    entries = [support.make_entry("w1", slots=500)]
    state = make_lone_state(LIMITS, entries)
    other = support.make_member("n2", zone="zb")
    state.membership.add_candidate(other)
    for number in range(int(count_tokens(state, 10.0))):
        ask(state, "a%d:1" % number, 10.0)
    request = support.make_grant_request("r1:1", workspace="big")
    out = support.deliver_message(state, request, 10.0)
    (asked,) = [
        effect.message
        for effect in support.select_effects(out, effects.Send)
        if isinstance(effect.message, messages.QuotaRequest)
    ]
    before = count_tokens(state, 10.01)
    rows = [["big", 5.0]]
    transfer = messages.QuotaTransfer("n2", asked.request_id, rows)
    support.deliver_message(state, transfer, 10.01, sender="10.0.0.7")
    unknown = messages.QuotaTransfer("n2", "1-77", rows)
    support.deliver_message(state, unknown, 10.01, sender=other.ip)
    assert count_tokens(state, 10.01) == before
    support.deliver_message(state, transfer, 10.01, sender=other.ip)
    after = count_tokens(state, 10.01)
    assert after == pytest.approx(before + 4.0)  # one for the waiting request
    support.deliver_message(state, transfer, 10.01, sender=other.ip)
    assert count_tokens(state, 10.01) == after


def test_new_coordinator_requests_tokens_for_many_workspaces():
    """Guards against small workspaces that wait for few urgent requests."""
    names = ["w%d" % number for number in range(30)]
    limits = simulation.make_limits(**{name: (2, 2) for name in names})
    state = support.make_state("n1")
    state.start(0.0)
    support.reduce(state, events.ConfigurationUpdated(0.0, 1, limits))
    support.reduce(state, events.WorkersRead(0.0, [support.make_entry("w1")]))
    state.membership.add_candidate(support.make_member("n2", zone="zb"))
    asked = set()
    for number, name in enumerate(names):
        now = 0.03 + number * 0.03
        ask_out = support.deliver_message(
            state,
            support.make_grant_request("r%d:1" % number, workspace=name),
            now,
        )
        for effect in support.select_effects(ask_out, effects.Send):
            if isinstance(effect.message, messages.QuotaRequest):
                asked.update(row[0] for row in effect.message.rows)
        support.reduce(state, events.Tick(now + 0.02))
    assert len(asked) >= 25


def test_new_coordinator_borrows_from_the_former_one():
    """Guards against tokens that nobody can reach after a change."""
    entries = [support.make_entry("w1", slots=500)]
    state = make_lone_state(LIMITS, entries)
    former = support.make_member("n2", zone=state.local_member.zone)
    state.membership.add_candidate(former)
    state.named_coordinators.record_sent("n2", 9.9)
    for number in range(int(count_tokens(state, 10.0))):
        ask(state, "a%d:1" % number, 10.0)
    request = support.make_grant_request("r1:1", workspace="big")
    out = support.deliver_message(state, request, 10.0)
    asked = {
        effect.ip
        for effect in support.select_effects(out, effects.Send)
        if isinstance(effect.message, messages.QuotaRequest)
    }
    assert asked == {former.ip}


def test_workspace_whose_limit_is_removed_is_served_at_once():
    """Guards against a request that waits for a bucket that is gone."""
    entries = [support.make_entry("w1", slots=500)]
    state = make_lone_state(LIMITS, entries)
    state.membership.add_candidate(support.make_member("n2", zone="zb"))
    for number in range(int(count_tokens(state, 10.0))):
        ask(state, "a%d:1" % number, 10.0)
    assert ask(state, "r1:1", 10.0) is None
    event = events.ConfigurationUpdated(10.0, 2, simulation.make_limits())
    out = support.reduce(state, event)
    (sent,) = support.select_effects(out, effects.Send)[:1]
    assert sent.message.attempt_id == "r1:1"
    assert isinstance(sent.message, messages.Grant)
    assert not state.exchange.waiting


def test_unknown_limits_are_not_taken_for_none():
    """Guards against a coordinator that starts and grants without limit."""
    state = support.make_state("n1")
    state.start(0.0)
    workers = [support.make_entry("w1", slots=500)]
    support.reduce(state, events.WorkersRead(0.0, workers))
    assert ask(state, "r1:1", 0.1) is None
    answer = ask(state, "r2:1", 0.1, workspace="")
    assert isinstance(answer, messages.Grant)
    support.reduce(state, events.ConfigurationUpdated(0.2, 1))
    assert isinstance(ask(state, "r1:1", 0.3), messages.Grant)


def test_deployment_without_workspaces_has_no_timer_and_no_new_field():
    """Guards against a change for deployments without workspaces."""
    state = support.make_state("n1")
    state.start(0.0)
    support.reduce(state, events.ConfigurationUpdated(0.0, 1))
    support.reduce(state, events.Tick(0.0))
    assert not state.has_quota_timer
    assert state.quotas.measure_gauges() == {}
    state.membership.add_candidate(support.make_member("n2", zone="zb"))
    out = support.reduce(state, events.Tick(0.5))
    beats = [
        effect.message
        for effect in support.select_effects(out, effects.Send)
        if isinstance(effect.message, messages.Heartbeat)
    ]
    assert beats and {beat.coordinator for beat in beats} == {""}


def select_answers(out):
    """Return the answers to the node that asks."""
    sent = support.select_effects(out, effects.Send)
    return [effect for effect in sent if effect.ip == "10.0.0.9"]


def make_settling_state(limits):
    """Return a sole node whose buckets have just begun to fill."""
    state = make_lone_state(limits, [support.make_entry("w1", slots=500)])
    state.quotas.clear()
    state.quotas.update_share(1.0, 10.0)
    return state


def test_request_waits_for_its_token_while_buckets_fill_after_a_start():
    """Guards against 429 for workspaces below their limit after a start."""
    state = make_settling_state(LIMITS)
    queued = messages.GrantQueued("r1:1")
    assert ask(state, "r1:1", 10.0, time_left=2.0) == queued
    # The node asks again and must not turn to another coordinator.
    assert ask(state, "r1:1", 10.01, time_left=1.99) == queued
    out, now = [], 10.01
    while now < 10.3:
        now += 0.01
        out += support.reduce(state, events.Tick(now))
    (sent,) = select_answers(out)
    assert isinstance(sent.message, messages.Grant)
    assert sent.message.attempt_id == "r1:1"


def test_request_that_waits_for_a_token_in_vain_is_refused():
    """Guards against a wait until the deadline of the caller."""
    state = make_settling_state(LIMITS)
    for number in range(2, 400):
        # Of so many nodes, this one may refill but a small part.
        state.membership.add_candidate(support.make_member("n%d" % number))
    state.quotas.update_share(1.0 / 399, 10.0)
    ask(state, "r1:1", 10.0, time_left=1.0)
    out, now = [], 10.0
    while now < 10.6:
        now += 0.01
        out += support.reduce(state, events.Tick(now))
    sent = [effect.message for effect in select_answers(out)]
    assert [m.reason for m in sent] == [scheduling.RefusalReason.QUOTA]


def test_no_more_requests_wait_than_the_limit_provides_for():
    """Guards against callers over the limit that are held for nothing."""
    state = make_settling_state(LIMITS)
    answers = [
        ask(state, "r%d:1" % number, 10.0, time_left=1.0)
        for number in range(30)
    ]
    queued = [a for a in answers if isinstance(a, messages.GrantQueued)]
    assert len(queued) == LIMITS["big"].rate * 0.5
    refused = [a for a in answers if isinstance(a, messages.GrantRefusal)]
    assert len(queued) + len(refused) == len(answers)


def test_settled_coordinator_refuses_at_once():
    """Guards against delays of each request of a workspace over its limit."""
    state = make_settling_state(LIMITS)
    now = 10.0 + support.TERMS.quota_window + 0.01
    bucket = state.quotas.find_bucket(LIMITS["big"], now)
    bucket.level = 0.0
    answer = ask(state, "r1:1", now)
    assert isinstance(answer, messages.GrantRefusal)
