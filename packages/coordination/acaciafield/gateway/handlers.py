"""What is done for each event, message and timer of a gateway's node.

Modules register their handlers here; each adds the effects that it asks
for to ``out``. ``now`` is in seconds.
"""

import functools


@functools.singledispatch
def apply_event(event, state, now, out):
    """Apply an event to a node's state."""
    raise TypeError("unknown event %r" % (event,))


@functools.singledispatch
def receive_message(message, state, sender, now, out):
    """Take in a message from the node at the address ``sender``."""
    raise TypeError("unknown message %r" % (message,))


@functools.singledispatch
def fire_timer(timer, state, now, out):
    """Do what a timer is for."""
    raise TypeError("unknown timer %r" % (timer,))
