"""Any interleaving of queries and outcomes lets a key run once."""

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies

from acaciafield import effects
from acaciafield import events
from acaciafield import key_records
from acaciafield import keys
from acaciafield import messages
from acaciafield import node as nodes

EPOCH = keys.compute_epoch(1_000_000.0)
ENTRIES = ("e1", "e2")


class RecordsMachine(stateful.RuleBasedStateMachine):
    """A home and its replica; messages may be delayed or lost."""

    def __init__(self):
        super().__init__()
        self.now = 1_000_000.0
        self.home = self._make_node("home")
        self.replica = self._make_node("replica")
        self.in_transit = []
        self.runs = []
        self.live_runs = {}
        self.has_refusal = False
        self.bind_count = 0

    @stateful.rule(entry=strategies.sampled_from(ENTRIES))
    def query_home(self, entry):
        self._query(self.home, "home", entry, False)

    @stateful.rule(
        entry=strategies.sampled_from(ENTRIES),
        decider=strategies.sampled_from(["home", "replica"]),
    )
    def refuse_key(self, entry, decider):
        node = self.home if decider == "home" else self.replica
        self._query(node, decider, entry, True)

    @stateful.rule(data=strategies.data())
    def deliver(self, data):
        if not self.in_transit:
            return
        number = data.draw(strategies.integers(0, len(self.in_transit) - 1))
        self._deliver(*self.in_transit.pop(number))

    @stateful.rule()
    def lose_message(self):
        if self.in_transit:
            self.in_transit.pop(0)

    @stateful.rule(seconds=strategies.sampled_from([0.1, 1.0, 700.0]))
    def wait(self, seconds):
        self.now += seconds
        for name, node in (("home", self.home), ("replica", self.replica)):
            self._send(name, node.tick(self.now))

    @stateful.rule(outcome=strategies.sampled_from(["ran", "not-run"]))
    def end_run(self, outcome):
        if not self.live_runs:
            return
        grant_id, entry = self.live_runs.popitem()
        if outcome == "not-run":
            self.runs.remove(grant_id)
        report = messages.KeyOutcome("home", "k", grant_id, outcome, 200)
        self.in_transit.append((entry, "home", report))

    @stateful.invariant()
    def runs_once(self):
        assert len(self.runs) <= 1

    def _make_node(self, name):
        node = nodes.Node(name, 1)
        node.start(self.now)
        for other in ("home", "replica", *ENTRIES):
            if other != name:
                update = messages.MemberUpdate(other, other, 1, 1, "a")
                join = messages.Join([update])
                node.handle(events.MessageReceived(self.now, other, join))
        return node

    def _query(self, node, decider, entry, refuse):
        self.bind_count += 1
        bind = messages.BindKey(
            "%s/%d" % (entry, self.bind_count),
            decider,
            "replica",
            EPOCH,
            "k",
            "body",
            refuse,
        )
        self._deliver(entry, decider, bind)

    def _deliver(self, source, target, message):
        if target in ENTRIES:
            self._receive_verdict(target, message)
            return
        node = self.home if target == "home" else self.replica
        event = events.MessageReceived(self.now, source, message)
        self._send(target, node.handle(event))

    def _send(self, source, node_effects):
        for effect in node_effects:
            if isinstance(effect, effects.Send):
                self.in_transit.append(
                    (source, effect.node_id, effect.message)
                )

    def _receive_verdict(self, entry, message):
        if not isinstance(message, messages.KeyVerdict):
            return
        if message.verdict == key_records.Verdict.RUN.value:
            assert not self.has_refusal
            self.runs.append(message.grant_id)
            self.live_runs[message.grant_id] = entry
        if message.verdict == key_records.Verdict.EXPIRED.value:
            assert not self.runs
            self.has_refusal = True


TestRecords = RecordsMachine.TestCase
TestRecords.settings = settings(
    max_examples=80, stateful_step_count=30, deadline=None, derandomize=True
)
