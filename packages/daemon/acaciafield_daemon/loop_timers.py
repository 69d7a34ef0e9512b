"""A timer on the event loop that can be rescheduled."""


class LoopTimer:
    """Calls a function at a time of the loop's clock, in seconds."""

    __slots__ = ("_loop", "_callback", "_due_at", "_handle")

    def __init__(self, loop, callback):
        self._loop = loop
        self._callback = callback
        self._due_at = None
        self._handle = None

    def schedule_at(self, due_at):
        """Replace the time of the call; None cancels it."""
        if due_at == self._due_at:
            return
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None
        self._due_at = due_at
        if due_at is not None:
            self._handle = self._loop.call_at(due_at, self._fire)

    def _fire(self):
        self._due_at = self._handle = None
        self._callback()
