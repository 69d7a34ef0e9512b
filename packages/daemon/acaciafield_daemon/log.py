"""Log lines: short sentences with a fixed prefix for each part."""

import sys

import eliot

MAX_REPEATS = 5  # like lines of one part in a period
REPEAT_PERIOD_S = 60.0  # seconds


class Log:
    """Writes eliot messages to standard error, and limits repeats."""

    __slots__ = ("node_id", "is_quiet", "_counts", "_period_start")

    def __init__(self, node_id, is_quiet=False):
        self.node_id = node_id
        self.is_quiet = is_quiet
        self._counts = {}
        self._period_start = 0.0

    def open(self, stream=None):
        """Send the messages of this process to a stream."""
        eliot.to_file(stream or sys.stderr)

    def write(self, part, text, now):
        """Write one line of a part, unless it was said often enough."""
        if self.is_quiet:
            return
        if now - self._period_start > REPEAT_PERIOD_S:
            self._counts.clear()
            self._period_start = now
        count = self._counts[part, text] = (
            self._counts.get((part, text), 0) + 1
        )
        if count > MAX_REPEATS:
            return
        eliot.log_message(
            message_type="acaciafield:%s" % part,
            text="%s: %s" % (part, text),
            node=self.node_id,
        )
