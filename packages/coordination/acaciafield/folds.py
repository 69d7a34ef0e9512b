"""Folds over streams of the platform's log, with gaps and snapshots.

A fold is complete once it has applied all records from offset 0 on, or a
snapshot and all records after the offset up to which the snapshot reaches.
"""

import json


class LogFold:
    """Base class of folds.

    It handles the order of records, gaps, snapshots and unreadable
    records. A subclass implements ``apply_record(offset, record)``,
    ``load_snapshot`` and ``take_snapshot``. ``offset`` is the next offset
    to apply. After a gap, ``gap_end`` is the first offset that is still in
    the log, and ``pending`` holds the records from there on until a
    snapshot closes the gap. ``skipped`` lists the offsets of the last
    unreadable or invalid records, at most 64.
    """

    __slots__ = (
        "offset",
        "is_complete",
        "is_loaded",
        "skipped",
        "pending",
        "gap_end",
    )

    def __init__(self):
        self.offset = 0
        self.is_complete = False
        self.is_loaded = False
        self.skipped = []
        self.pending = []
        self.gap_end = None

    @property
    def next_read_offset(self):
        """The offset from which to read the log next."""
        if self.pending:
            return self.pending[-1][0] + 1
        return self.gap_end if self.gap_end is not None else self.offset

    def apply_records(self, earliest, records):
        """Apply records from the log; return the skipped offsets.

        ``earliest`` is the first offset that the log still holds.
        """
        count_before = len(self.skipped)
        if earliest > self.next_read_offset:
            self.is_complete = False
            self.pending = []
            self.gap_end = earliest
        elif self.gap_end is None:
            self.is_complete = True
            self.is_loaded = True
        for offset, data in records:
            if offset >= self.next_read_offset:
                self._process_record(offset, data)
        return self.skipped[count_before:]

    def apply_snapshot(self, snapshot):
        """Load a peer's snapshot if it is ahead; return whether it is."""
        if snapshot["upto"] <= self.offset:
            return False
        self._restore(snapshot)
        return True

    def _process_record(self, offset, data):
        record = self._decode(offset, data)
        if self.gap_end is None:
            self.offset = offset + 1
            if record is not None and record["kind"] != "snapshot":
                self._apply(offset, record)
            return
        self.pending.append((offset, record))
        if record is not None and record["kind"] == "snapshot":
            if (
                record["upto"] >= self.gap_end
                and record["upto"] >= self.offset
            ):
                self._restore(record)

    def _restore(self, snapshot):
        try:
            self.load_snapshot(snapshot)
        except (KeyError, TypeError, ValueError, AttributeError):
            return
        self.offset = snapshot["upto"]
        self.is_loaded = True
        if self.gap_end is not None and self.offset < self.gap_end:
            return
        pending, self.pending = self.pending, []
        self.gap_end = None
        self.is_complete = True
        for offset, record in pending:
            if offset < self.offset:
                continue
            self.offset = offset + 1
            if record is not None and record["kind"] != "snapshot":
                self._apply(offset, record)

    def _apply(self, offset, record):
        try:
            self.apply_record(offset, record)
        except (KeyError, TypeError, ValueError, AttributeError):
            self._record_skipped(offset)

    def _decode(self, offset, data):
        try:
            record = json.loads(data)
            if not isinstance(record, dict):
                raise ValueError("the record is not an object")
            if record["kind"] == "snapshot":
                int(record["upto"])
            return record
        except (ValueError, KeyError, TypeError):
            self._record_skipped(offset)
            return None

    def _record_skipped(self, offset):
        self.skipped = self.skipped[-63:] + [offset]
