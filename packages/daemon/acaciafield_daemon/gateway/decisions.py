"""The log of decisions: JSON lines to standard output, bounded.

Lines are queued and written without blocking. Each kind has a budget a
second; what goes beyond is counted and the count is logged.
"""

import collections
import os

import eliot
import eliot.json
import orjson

MOST_QUEUED = 4000  # lines held while the reader of the output is slow
KIND_BUDGET = 100  # lines of one kind in a second
FLUSH_PERIOD = 0.2  # seconds
WRITE_SIZE = 65536  # bytes written at a time
ALWAYS = frozenset(("failed", "start", "stop", "reload", "dependency"))


class DecisionLog:
    """Writes decisions of one node."""

    __slots__ = (
        "node",
        "clock",
        "descriptor",
        "dropped",
        "_queue",
        "_second",
        "_counts",
        "_pending",
    )

    def __init__(self, node, clock, descriptor=1):
        self.node = node
        self.clock = clock
        self.descriptor = descriptor
        self.dropped = 0
        self._queue = collections.deque()
        self._second = 0
        self._counts = collections.Counter()
        self._pending = b""

    def open(self):
        """Receive the messages that this process logs."""
        os.set_blocking(self.descriptor, False)
        eliot.add_destinations(self._take)

    def write(self, kind, **fields):
        """Log a decision of a kind with the inputs that led to it."""
        now = self.clock()
        if int(now) != self._second:
            self._start_second(int(now))
        self._counts[kind] += 1
        if self._counts[kind] > KIND_BUDGET and kind not in ALWAYS:
            return
        eliot.log_message(
            message_type="gateway:" + kind,
            node=self.node,
            at=round(now, 3),
            **fields,
        )

    def _start_second(self, second):
        counts, self._counts = self._counts, collections.Counter()
        self._second = second
        suppressed = {
            kind: count - KIND_BUDGET
            for kind, count in counts.items()
            if count > KIND_BUDGET and kind not in ALWAYS
        }
        if suppressed or self.dropped:
            dropped, self.dropped = self.dropped, 0
            self.write("suppressed", kinds=suppressed, dropped=dropped)

    def _take(self, message):
        if len(self._queue) >= MOST_QUEUED:
            self.dropped += 1
            return
        message.pop("task_uuid", None)
        message.pop("task_level", None)
        self._queue.append(message)

    def flush(self):
        """Write what the output takes at once; keep the rest."""
        while self._queue or self._pending:
            while self._queue and len(self._pending) < WRITE_SIZE:
                line = orjson.dumps(self._queue.popleft(), default=str)
                self._pending += line + b"\n"
            try:
                count = os.write(self.descriptor, self._pending)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads the output any longer.
                self._pending = b""
                self._queue.clear()
                return
            self._pending = self._pending[count:]
