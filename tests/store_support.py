"""Stand-ins for what a store_reader.StoreReader reports to."""


class ReaderHooks:
    """Hooks that ignore what the reader passes on, without keys to check.

    Tests override what they look at.
    """

    def is_sole_member(self):
        """Return whether the node coordinates for itself only."""
        return False

    def checks_keys(self):
        """Return whether the keys of requests are checked."""
        return False

    def record_store_answer(self):
        """Ignore an answer of the store."""

    def record_store_failure(self):
        """Ignore a failed read."""

    def record_refused_offset(self):
        """Ignore a refused offset."""

    def confirm_configuration(self, proven_at):
        """Ignore a proof of the configuration's age."""


class RecordingLog:
    """A decision log that keeps its lines in a list."""

    def __init__(self):
        self.lines = []

    def write(self, kind, **fields):
        """Keep a line."""
        self.lines.append((kind, fields))
