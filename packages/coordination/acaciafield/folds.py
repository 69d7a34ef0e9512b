"""Folding a stream of the platform's log, with gaps and snapshots.

A fold is complete once it has read without a gap from offset 0, or from
a snapshot together with every record behind the point it covers.
"""

import json


class LogFold:
    """Base of the folds: order, gaps, snapshots, unreadable records.

    A subclass gives ``fold_record(offset, record)``, ``load_snapshot``
    and ``take_snapshot``. ``offset`` is the next offset to be read.
    """

    __slots__ = ("offset", "complete", "serving", "skipped", "pending", "gap")

    def __init__(self):
        self.offset = 0
        self.complete = False
        self.serving = False
        self.skipped = []
        self.pending = []
        self.gap = None

    @property
    def read_from(self):
        """The offset from which the log is to be read next."""
        if self.pending:
            return self.pending[-1][0] + 1
        return self.gap if self.gap is not None else self.offset

    def read_records(self, earliest, records):
        """Take in what the log returned; return the offsets skipped."""
        already = len(self.skipped)
        if earliest > self.read_from:
            self.complete = False
            self.pending = []
            self.gap = earliest
        elif self.gap is None:
            self.complete = True
            self.serving = True
        for offset, data in records:
            if offset >= self.read_from:
                self._take(offset, data)
        return self.skipped[already:]

    def read_snapshot(self, snapshot):
        """Take a peer's snapshot if it is ahead; tell whether it was."""
        if snapshot["upto"] <= self.offset:
            return False
        self._load(snapshot)
        return True

    def _take(self, offset, data):
        record = self._parse(offset, data)
        if self.gap is None:
            self.offset = offset + 1
            if record is not None and record["kind"] != "snapshot":
                self._fold(offset, record)
            return
        self.pending.append((offset, record))
        if record is not None and record["kind"] == "snapshot":
            if record["upto"] >= self.gap and record["upto"] >= self.offset:
                self._load(record)

    def _load(self, snapshot):
        try:
            self.load_snapshot(snapshot)
        except (KeyError, TypeError, ValueError, AttributeError):
            return
        self.offset = snapshot["upto"]
        self.serving = True
        if self.gap is not None and self.offset < self.gap:
            return
        pending, self.pending = self.pending, []
        self.gap = None
        self.complete = True
        for offset, record in pending:
            if offset < self.offset:
                continue
            self.offset = offset + 1
            if record is not None and record["kind"] != "snapshot":
                self._fold(offset, record)

    def _fold(self, offset, record):
        try:
            self.fold_record(offset, record)
        except (KeyError, TypeError, ValueError, AttributeError):
            self._skip(offset)

    def _parse(self, offset, data):
        try:
            record = json.loads(data)
            if not isinstance(record, dict):
                raise ValueError("not an object")
            if record["kind"] == "snapshot":
                int(record["upto"])
            return record
        except (ValueError, KeyError, TypeError):
            self._skip(offset)
            return None

    def _skip(self, offset):
        self.skipped = self.skipped[-63:] + [offset]
