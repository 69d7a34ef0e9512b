"""The decision log: JSON lines on standard output.

Lines are queued and written without blocking. Each kind of line is
rate-limited, except UNLIMITED_KINDS; the log counts the suppressed lines
and writes the counts.
"""

import collections
import json
import os

import eliot
import eliot.json
import orjson

MAX_QUEUED_LINES = 4000  # while the reader of the output is slow
MAX_KIND_LINES_PER_S = 100
FLUSH_PERIOD_S = 0.2
WRITE_SIZE_BYTES = 65536
UNLIMITED_KINDS = frozenset(
    ("failed", "start", "stop", "reload", "dependency")
)


class DecisionLog:
    """Writes the decisions of one node to a file descriptor.

    ``dropped`` counts the lines for which the queue had no room since the
    last ``suppressed`` line.
    """

    __slots__ = (
        "node",
        "clock",
        "descriptor",
        "dropped",
        "_queue",
        "_current_second",
        "_kind_counts",
        "_unwritten",
    )

    def __init__(self, node, clock, descriptor=1):
        self.node = node
        self.clock = clock
        self.descriptor = descriptor
        self.dropped = 0
        self._queue = collections.deque()
        self._current_second = 0
        self._kind_counts = collections.Counter()
        self._unwritten = b""

    def open(self):
        """Register as a destination for the log messages of this process."""
        os.set_blocking(self.descriptor, False)
        eliot.add_destinations(self._enqueue_line)

    def write(self, kind, **fields):
        """Log a decision with the inputs that led to it."""
        now = self.clock()
        if int(now) != self._current_second:
            self._start_second(int(now))
        self._kind_counts[kind] += 1
        if (
            self._kind_counts[kind] > MAX_KIND_LINES_PER_S
            and kind not in UNLIMITED_KINDS
        ):
            return
        eliot.log_message(
            message_type="gateway:" + kind,
            node=self.node,
            at=round(now, 3),
            **fields,
        )

    def _start_second(self, second):
        counts, self._kind_counts = self._kind_counts, collections.Counter()
        self._current_second = second
        suppressed = {
            kind: count - MAX_KIND_LINES_PER_S
            for kind, count in counts.items()
            if count > MAX_KIND_LINES_PER_S and kind not in UNLIMITED_KINDS
        }
        if suppressed or self.dropped:
            dropped, self.dropped = self.dropped, 0
            self.write("suppressed", kinds=suppressed, dropped=dropped)

    def _enqueue_line(self, message):
        if len(self._queue) >= MAX_QUEUED_LINES:
            self.dropped += 1
            return
        message.pop("task_uuid", None)
        message.pop("task_level", None)
        self._queue.append(message)

    def flush(self):
        """Write as much as the output accepts without blocking."""
        while self._queue or self._unwritten:
            while self._queue and len(self._unwritten) < WRITE_SIZE_BYTES:
                line = _encode_line(self._queue.popleft())
                self._unwritten += line + b"\n"
            try:
                written_bytes = os.write(self.descriptor, self._unwritten)
            except BlockingIOError:
                return
            except OSError:
                # The output is closed.
                self._unwritten = b""
                self._queue.clear()
                return
            self._unwritten = self._unwritten[written_bytes:]


def _encode_line(message):
    """Return a line as JSON, also if it has text that is no valid UTF-8.

    Such text comes from headers of callers.
    """
    try:
        return orjson.dumps(message, default=str)
    except TypeError:
        return json.dumps(message, default=str).encode()
