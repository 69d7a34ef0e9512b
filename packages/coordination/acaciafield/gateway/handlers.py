"""Dispatch of events, messages and timers to the handlers of a node.

Modules register their handlers here; a handler appends the effects that
it requests to ``out``. ``now`` is in seconds.
"""

import functools


@functools.singledispatch
def apply_event(event, state, now, out):
    """Apply an event to a node's state."""
    raise TypeError("unknown event %r" % (event,))


@functools.singledispatch
def receive_message(message, state, sender, now, out):
    """Handle a message from the node at the address ``sender``."""
    raise TypeError("unknown message %r" % (message,))


@functools.singledispatch
def fire_timer(timer, state, now, out):
    """Handle a timer that is due."""
    raise TypeError("unknown timer %r" % (timer,))
