"""Public interface: one node of the fleet, driven by its caller.

Pass events with times of your own clock, carry out the returned
effects, and call ``tick`` no later than the time of ``next_due``:

>>> from acaciafield import configuration, effects, events
>>> node = Node("n1", seed=1)
>>> isinstance(node.start(0.0)[0], effects.ReadLog)
True
>>> body = {"classes": {"price-checks": {"target": "quick"}}}
>>> change = configuration.make_change("c1", {"prices": (0, body)})
>>> record = configuration.encode_record(change)
>>> _ = node.handle(events.LogRead(
...     0.1, configuration.STREAM, 0, [(0, record)]))
>>> hosts = [messages.HostEntry("w1", "127.0.0.1:9001", "a", slots=2)]
>>> asked = node.handle(events.RequestArrived(0.2, 1, "prices", "GET"))
>>> [type(effect).__name__ for effect in asked]
['ReadHosts']
>>> granted = node.handle(events.HostsRead(0.3, "prices", hosts))
>>> [effect.worker_id for effect in granted]
['w1']
"""

from acaciafield import attempts
from acaciafield import events
from acaciafield import handover
from acaciafield import key_records
from acaciafield import keys
from acaciafield import messages
from acaciafield import placement
from acaciafield import probing
from acaciafield import reducer
from acaciafield import state as states
from acaciafield import structs
from acaciafield import synchronization

MAX_ADDRESSES = 3


class AddressAnswer(structs.Struct):
    """Addresses for a caller, best first.

    ``validity`` is in seconds. Keys of work that may run only once start
    with ``key_prefix``.
    """

    __slots__ = ("addresses", "validity", "key_prefix")


class Node:
    """One node, which turns events into effects and holds the state."""

    __slots__ = ("state",)

    def __init__(
        self,
        node_id,
        seed,
        ip="127.0.0.1",
        http_port=0,
        peer_port=0,
        availability_zone="a",
        validity=handover.ANSWER_VALIDITY_S,
    ):
        local_member = messages.MemberUpdate(
            node_id, ip, http_port, peer_port, availability_zone
        )
        self.state = states.NodeState(local_member, seed, validity)

    @property
    def node_id(self):
        """The identifier of this run of the node."""
        return self.state.node_id

    @property
    def stopping(self):
        """The handover.Phase of a planned stop."""
        return self.state.planned_stop.phase

    def start(self, now):
        """Start the node and return the first effects."""
        out = []
        self.state.now = now
        probing.start_probing(self.state, now)
        key_records.start_key_sweeps(self.state, now)
        synchronization.start_reading(self.state, now, out)
        return out

    def handle(self, event):
        """Handle an event and return the effects to carry out."""
        return reducer.reduce_event(self.state, event)

    def tick(self, now):
        """Fire the timers that are due and return the effects."""
        return self.handle(events.Tick(now))

    def next_due(self):
        """Return the time in seconds at which ``tick`` is due, or None."""
        return self.state.timers.next_due()

    def find_addresses(self, service, now):
        """Return the AddressAnswer for a service, or None if not ready.

        The first address is the keeper of the service, which grants
        slots without a request to another node. The following addresses
        are its successors, in order.
        """
        if not self.state.config.is_loaded:
            return None
        usable = self.state.members.list_usable_members()
        if not usable:
            return None
        ranked = attempts.rank_keepers(self.state, service)
        ranked = ranked[:MAX_ADDRESSES]
        home = ranked[0]
        replica = placement.choose_other_node(home, usable)
        updates = [self.state.members.get_update(n) for n in ranked]
        addresses = ["%s:%d" % (u.ip, u.http_port) for u in updates]
        prefix = keys.issue_prefix(home, replica, now)
        validity = self.state.planned_stop.validity
        return AddressAnswer(addresses, validity, prefix)
