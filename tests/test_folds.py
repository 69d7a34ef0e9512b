"""Any interleaving of reads, gaps and peers holds the invariants."""

import json

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies

from acaciafield import configuration
from tests import support

FLOORS = strategies.sampled_from([0.2, 0.4, 0.6, 0.8])
READERS = 3


class FoldMachine(stateful.RuleBasedStateMachine):
    """Readers of one log, with truncation, snapshots and peers."""

    def __init__(self):
        super().__init__()
        self.log = []
        self.first = 0
        self.truth = configuration.Configuration()
        self.folds = [configuration.Configuration() for _ in range(READERS)]
        self.seen = [0] * READERS

    @stateful.rule(floor=FLOORS, back=strategies.integers(0, 3))
    def append_change(self, floor, back):
        base = max(0, len(self.log) - back)
        body = support.make_body(floor=floor)
        name = "c%d" % len(self.log)
        self._append(support.encode_change(name, {"prices": (base, body)}))

    @stateful.rule(data=strategies.binary(max_size=8))
    def append_garbage(self, data):
        self._append(data)

    @stateful.rule(reader=strategies.integers(0, READERS - 1))
    def append_snapshot(self, reader):
        fold = self.folds[reader]
        if fold.complete:
            self._append(configuration.encode_record(fold.take_snapshot()))

    @stateful.rule(keep=strategies.integers(1, 6))
    def truncate(self, keep):
        self.first = max(self.first, len(self.log) - keep)

    @stateful.rule(
        reader=strategies.integers(0, READERS - 1),
        most=strategies.integers(1, 5),
    )
    def read(self, reader, most):
        fold = self.folds[reader]
        start = max(self.first, fold.read_from)
        rows = [(n, self.log[n]) for n in range(start, len(self.log))]
        fold.read_records(self.first, rows[:most])

    @stateful.rule(
        source=strategies.integers(0, READERS - 1),
        reader=strategies.integers(0, READERS - 1),
    )
    def tell_peer(self, source, reader):
        if self.folds[source].serving:
            snapshot = json.dumps(self.folds[source].take_snapshot())
            self.folds[reader].read_snapshot(json.loads(snapshot))

    @stateful.invariant()
    def never_reverts(self):
        for number, fold in enumerate(self.folds):
            assert fold.offset >= self.seen[number]
            self.seen[number] = fold.offset

    @stateful.invariant()
    def agrees_with_the_log(self):
        for fold in self.folds:
            if not fold.serving:
                continue
            truth = configuration.Configuration()
            rows = list(enumerate(self.log[: fold.offset]))
            truth.read_records(0, rows)
            assert fold.read_digest() == truth.read_digest()

    def _append(self, data):
        self.log.append(data)


TestFolds = FoldMachine.TestCase
TestFolds.settings = settings(
    max_examples=60, stateful_step_count=30, deadline=None, derandomize=True
)
