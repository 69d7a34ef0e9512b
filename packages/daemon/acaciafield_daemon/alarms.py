"""A timer on the event loop that is set anew as often as needed."""


class Alarm:
    """Calls back at the time that was set last, in the loop's seconds."""

    __slots__ = ("_loop", "_callback", "_due_at", "_handle")

    def __init__(self, loop, callback):
        self._loop = loop
        self._callback = callback
        self._due_at = None
        self._handle = None

    def set(self, due_at):
        """Ring at ``due`` instead of before; None rings not at all."""
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
