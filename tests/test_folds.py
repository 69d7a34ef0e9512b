"""Folds keep their invariants for any order of reads and gaps."""

import json

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies

from acaciafield import configuration
from tests import support

FLOORS = strategies.sampled_from([0.2, 0.4, 0.6, 0.8])
READERS = 3


class FoldMachine(stateful.RuleBasedStateMachine):
    """Readers of a log with truncation, snapshots and peers."""

    def __init__(self):
        super().__init__()
        self.log = []
        self.earliest = 0
        self.expected = configuration.Configuration()
        self.folds = [configuration.Configuration() for _ in range(READERS)]
        self.offsets = [0] * READERS

    @stateful.rule(floor=FLOORS, behind=strategies.integers(0, 3))
    def append_change(self, floor, behind):
        base = max(0, len(self.log) - behind)
        body = support.make_service_config(floor=floor)
        name = "c%d" % len(self.log)
        self._append(support.encode_change(name, {"prices": (base, body)}))

    @stateful.rule(data=strategies.binary(max_size=8))
    def append_garbage(self, data):
        self._append(data)

    @stateful.rule(reader=strategies.integers(0, READERS - 1))
    def append_snapshot(self, reader):
        fold = self.folds[reader]
        if fold.is_complete:
            self._append(configuration.encode_record(fold.take_snapshot()))

    @stateful.rule(keep=strategies.integers(1, 6))
    def truncate(self, keep):
        self.earliest = max(self.earliest, len(self.log) - keep)

    @stateful.rule(
        reader=strategies.integers(0, READERS - 1),
        limit=strategies.integers(1, 5),
    )
    def read(self, reader, limit):
        fold = self.folds[reader]
        start = max(self.earliest, fold.next_read_offset)
        rows = [(n, self.log[n]) for n in range(start, len(self.log))]
        fold.apply_records(self.earliest, rows[:limit])

    @stateful.rule(
        source=strategies.integers(0, READERS - 1),
        reader=strategies.integers(0, READERS - 1),
    )
    def send_snapshot(self, source, reader):
        if self.folds[source].is_loaded:
            snapshot = json.dumps(self.folds[source].take_snapshot())
            self.folds[reader].apply_snapshot(json.loads(snapshot))

    @stateful.invariant()
    def offset_never_decreases(self):
        for number, fold in enumerate(self.folds):
            assert fold.offset >= self.offsets[number]
            self.offsets[number] = fold.offset

    @stateful.invariant()
    def digest_matches_the_log(self):
        for fold in self.folds:
            if not fold.is_loaded:
                continue
            expected = configuration.Configuration()
            rows = list(enumerate(self.log[: fold.offset]))
            expected.apply_records(0, rows)
            assert fold.compute_digest() == expected.compute_digest()

    def _append(self, data):
        self.log.append(data)


TestFolds = FoldMachine.TestCase
TestFolds.settings = settings(
    max_examples=60, stateful_step_count=30, deadline=None, derandomize=True
)
