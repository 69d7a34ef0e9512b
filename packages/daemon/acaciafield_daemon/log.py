"""Log lines: short sentences with the name of a part as prefix."""

import sys

import eliot

MAX_REPEATS = 5  # equal lines of one part in a period
REPEAT_PERIOD_S = 60.0


class Log:
    """Writes eliot messages to standard error and limits equal lines."""

    __slots__ = ("node_id", "is_quiet", "_counts", "_period_start")

    def __init__(self, node_id, is_quiet=False):
        self.node_id = node_id
        self.is_quiet = is_quiet
        self._counts = {}
        self._period_start = 0.0

    def open(self, stream=None):
        """Write the messages of this process to a stream."""
        eliot.to_file(stream or sys.stderr)

    def write(self, part, text, now):
        """Write a line unless it was repeated too often in this period."""
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
