"""A simulated fleet whose callers belong to workspaces with quotas."""

import bisect
import collections
import itertools

from acaciafield.gateway import effects
from acaciafield.gateway import events
from acaciafield.gateway import messages
from acaciafield.gateway import workspaces
from tests import gateway_fleet
from tests import gateway_support as support

FIRST_TIMEOUT_S = 0.06
MAX_TIMEOUT_S = 0.5
LATENCY_S = 0.1
SEND_TIME_S = 0.003  # from a node to a worker


def make_limits(**rates):
    """Return limits by name, from pairs of rate and burst."""
    return {
        name: workspaces.Workspace(name, None, float(rate), float(burst))
        for name, (rate, burst) in rates.items()
    }


def find_bound(limit, terms):
    """Return the most starts of a workspace in a window."""
    window = limit.rate * terms.quota_window + limit.burst
    return window * (1.0 + terms.quota_overage) + terms.quota_slack


def find_fullest_window(starts, window):
    """Return the most starts in any window, and its first start."""
    starts = sorted(starts)
    return max(
        (
            (bisect.bisect_right(starts, at + window) - index, at)
            for index, at in enumerate(starts)
        ),
        default=(0, 0.0),
    )


class Call:
    """A node's request for a grant that has no answer yet."""

    def __init__(self, request, state, deadline):
        self.request = request
        self.state = state
        self.deadline = deadline
        self.names = None
        self.timeout = FIRST_TIMEOUT_S
        self.is_queued = False


class QuotaFleet(gateway_fleet.Fleet):
    """Nodes that send the requests of workspaces over poor links.

    ``starts`` has the times at which workers started requests, ``refusals``
    the time and reason of each refusal, by workspace. ``lost_share`` and
    ``doubled_share`` of the messages are lost and duplicated, the others
    take up to ``max_delay``. ``cut_links`` has pairs of a sender and a
    receiver, as addresses. A worker takes ``latency`` for a request. The
    nodes of ``down_states`` were killed and have not started again.
    """

    def __init__(self, random, zones=3, count=2, slots=100_000):
        super().__init__(zones, count)
        self.random = random
        self.entries = [
            support.make_entry("w%d" % number, slots=slots)
            for number in (1, 2, 3)
        ]
        self.lost_share = 0.0
        self.doubled_share = 0.0
        self.max_delay = gateway_fleet.MESSAGE_DELAY_S
        self.cut_links = set()
        self.latency = LATENCY_S
        self.stalled_until = 0.0
        self.starts = collections.defaultdict(list)
        self.refusals = collections.defaultdict(list)
        self.unanswered = collections.Counter()
        self.quota_messages = collections.Counter()
        self.calls_by_id = {}
        self.version = 0
        self.limits = {}
        self.down_states = set()
        self._ids = itertools.count(1)

    def configure(self, limits, max_delay=0.0):
        """Publish limits, which each node gets within ``max_delay``."""
        self.version += 1
        self.limits = limits
        for state in self.states.values():
            self._configure_node(state, max_delay)

    def _configure_node(self, state, max_delay):
        version, limits = self.version, self.limits

        def apply(now):
            event = events.ConfigurationUpdated(now, version, limits)
            self.feed(state, event)

        self.plan(self.now + self.random.random() * max_delay, apply)

    def restart(self, min_downtime=0.0, max_downtime=0.0):
        """Kill all nodes; each starts again after its downtime."""
        if not max_downtime:
            super().restart()
            self.calls_by_id.clear()
            for state in self.states.values():
                self._configure_node(state, 0.5)
            return
        for name in list(self.states):
            spread = max_downtime - min_downtime
            downtime = min_downtime + spread * self.random.random()
            self.restart_node(name, downtime)

    def restart_node(self, name, downtime=0.0):
        """Kill one node, which starts again after ``downtime``."""
        old = self.states[name]
        self.set_reading(old, False)
        for attempt_id, call in list(self.calls_by_id.items()):
            if call.state is old:
                del self.calls_by_id[attempt_id]
        state = support.make_state(
            name,
            zone=old.local_member.zone,
            incarnation=old.local_member.incarnation + 1,
        )
        self._add(state)
        self.down_states.add(state)

        def start(now):
            self.down_states.discard(state)
            if self.states[name] is not state:
                return
            state.is_ready = True
            found = [other.local_member for other in self.states.values()]
            self.feed(state, events.MembersRead(self.now, found))
            state.start(self.now)
            self._plan_tick(state)
            self._configure_node(state, 0.5)

        if downtime:
            self.plan(self.now + downtime, start)
        else:
            start(self.now)

    def find_coordinator(self, zone, now):
        """Return the coordinator's name, as the first node of a zone sees."""
        for state in self.states.values():
            if state.local_member.zone == zone:
                return state.membership.find_coordinator(zone, now).member.name
        return None

    def feed(self, state, event):
        """Feed an event to a node, which may set an earlier timer."""
        if state in self.down_states:
            return
        super().feed(state, event)
        if state.exchange.waiting:

            def tick(now):
                if self.states[state.local_member.name] is state:
                    super(QuotaFleet, self).feed(state, events.Tick(now))

            self.plan(max(state.next_due(), self.now), tick)

    def deliver(self, sender, ip, message):
        """Send a message, which may be lost, late or duplicated."""
        if isinstance(
            message, (messages.QuotaRequest, messages.QuotaTransfer)
        ):
            self.quota_messages[type(message), sender, ip] += 1
        if {sender, ip} & self._cut or (sender, ip) in self.cut_links:
            return
        if self.random.random() < self.lost_share:
            return
        copies = 1 + (self.random.random() < self.doubled_share)
        for _ in range(copies):
            spread = self.max_delay - gateway_fleet.MESSAGE_DELAY_S
            delay = gateway_fleet.MESSAGE_DELAY_S
            delay += spread * self.random.random()

            def receive(now):
                self.receive(self._by_ip[ip], sender, message)

            self.plan(self.now + delay, receive)

    def cut_zones(self, group, other, both_ways=True):
        """Drop the messages from the nodes of some zones to others."""
        for first in self.states.values():
            for second in self.states.values():
                if (
                    first.local_member.zone in group
                    and second.local_member.zone in other
                ):
                    a, b = first.local_member.ip, second.local_member.ip
                    self.cut_links.add((a, b))
                    if both_ways:
                        self.cut_links.add((b, a))

    def plan_load(self, workspace, rate, begin, end, services=("orders",)):
        """Plan requests at random times, at a mean rate per second."""
        at = begin + self.random.expovariate(rate)
        while at < end:
            service = self.random.choice(services)
            self.plan_request(workspace, at, service)
            at += self.random.expovariate(rate)

    def plan_request(self, workspace, at, service="orders", name=None):
        """Plan a request at a node, a random one without ``name``."""
        name = name or self.random.choice(sorted(self.states))

        def start(now):
            state = self.states[name]
            if state in self.down_states:
                return
            attempt_id = "r%d:1" % next(self._ids)
            request = support.make_grant_request(
                attempt_id,
                node=name,
                zone=state.local_member.zone,
                service=service,
                workspace=workspace,
                target=2.0,
                time_left=4.0,
            )
            call = Call(request, state, now + 1.0)
            self.calls_by_id[attempt_id] = call
            self._ask(call, now)

        self.plan(at, start)

    def _ask(self, call, now):
        attempt_id = call.request.attempt_id
        if self.calls_by_id.get(attempt_id) is not call:
            return
        state, request = call.state, call.request
        if now >= call.deadline:
            del self.calls_by_id[attempt_id]
            self.unanswered[request.workspace] += 1
            self._notify(
                state,
                messages.GrantWithdrawal(request.service, attempt_id),
            )
            return
        if call.is_queued:
            call.is_queued = False
            name, timeout = call.names[-1], 0.4
        else:
            if not call.names:
                include_local = state.may_grant_locally(now)
                call.names = state.membership.rank_coordinators(
                    request.service, now, include_local
                )
            name, timeout = call.names[0], call.timeout
            call.names = [*call.names[1:], name]
            call.timeout = min(MAX_TIMEOUT_S, 2.0 * timeout)
        request.time_left = round(call.deadline + 3.0 - now, 3)
        copy = type(request)(
            *[getattr(request, field) for field in request.__slots__]
        )
        self._send_to_node(state, name, copy)
        self.plan(now + timeout, lambda later: self._ask(call, later))

    def _send_to_node(self, state, name, message):
        if name == state.local_member.name:
            self.receive(state, "", message)
        else:
            ip = state.membership.candidates[name].member.ip
            self.deliver(state.local_member.ip, ip, message)

    def _notify(self, state, message):
        for name in state.membership.list_evidence_holders(
            message.service, self.now
        ):
            self._send_to_node(state, name, message)

    def record_delivery(self, state, message):
        """Start the granted request at its worker."""
        call = self.calls_by_id.get(message.attempt_id)
        if call is None or call.state is not state:
            return
        if isinstance(message, messages.GrantQueued):
            call.is_queued = True
            return
        del self.calls_by_id[message.attempt_id]
        request = call.request
        if isinstance(message, messages.GrantRefusal):
            row = (self.now, message.reason, message.retry_after)
            self.refusals[request.workspace].append(row)
            return
        self.starts[request.workspace].append(self.now + SEND_TIME_S)

        def end(now):
            report = support.make_report(
                request.attempt_id,
                message.worker_id,
                node=request.node,
                service=request.service,
                fingerprint=request.fingerprint,
                latency=self.latency,
            )
            self._notify(state, report)

        at = max(self.now, self.stalled_until) + self.latency
        self.plan(at, end)

    def count_refusals(self, workspace, reason="quota", since=0.0):
        """Return the number of refusals for a reason."""
        return sum(
            found == reason and at >= since
            for at, found, _ in self.refusals[workspace]
        )


def list_quota_lines(out):
    """Return the fields of the log lines of refusals for a quota."""
    return [
        effect.fields
        for effect in out
        if isinstance(effect, effects.LogDecision) and effect.kind == "quota"
    ]
