"""Builders of test data for the gateway."""

from acaciafield.gateway import backends
from acaciafield.gateway import coordination
from acaciafield.gateway import events
from acaciafield.gateway import members
from acaciafield.gateway import messages
from acaciafield.gateway import node_state
from acaciafield.gateway import routes
from acaciafield.gateway import scheduling
from acaciafield.gateway import terms

TERMS = terms.Terms(ratio=0.2, slack=20.0, window=10.0, floor=0.7)


def make_entry(worker_id="w1", **fields):
    """Return a WorkerEntry of an ordinary worker."""
    values = {
        "worker_id": worker_id,
        "service": "orders",
        "address": "127.0.0.1:%d" % (9000 + int(worker_id[1:])),
        "zone": "za",
        "slots": 2,
        "draining": False,
        "warm_up": 0.0,
        "incarnation": 1,
        "sequence": 1,
    }
    return backends.WorkerEntry(**(values | fields))


def make_grant_request(attempt_id="r1:1", **fields):
    """Return the request for a grant of an ordinary request."""
    values = {
        "attempt_id": attempt_id,
        "node": "n1",
        "zone": "za",
        "service": "orders",
        "route": "r",
        "idempotent": True,
        "priority": 1,
        "target": 1.0,
        "time_left": 2.0,
        "retry_count": 0,
        "is_last_attempt": not fields.get("idempotent", True),
        "avoided_workers": [],
        "fingerprint": "f-" + attempt_id,
    }
    return messages.GrantRequest(**(values | fields))


def make_report(attempt_id, worker_id, ending="answered", **fields):
    """Return an AttemptReport of an attempt that took 0.1 seconds."""
    values = {
        "service": "orders",
        "attempt_id": attempt_id,
        "node": "n1",
        "worker_id": worker_id,
        "route": "r",
        "ending": ending,
        "latency": 0.1,
        "size": 100,
        "load": None,
        "fingerprint": "f-" + attempt_id,
    }
    return messages.AttemptReport(**(values | fields))


def make_member(name="n1", **fields):
    """Return a Member."""
    values = {
        "name": name,
        "incarnation": 1,
        "ip": "10.0.0.%s" % name[1:],
        "zone": "za",
        "weight": 1.0,
        "is_ready": True,
    }
    return members.Member(**(values | fields))


def make_state(name="n1", **fields):
    """Return a NodeState."""
    return node_state.NodeState(make_member(name, **fields), TERMS, 1)


def make_scheduler(count=3, now=0.0, **fields):
    """Return a scheduler with workers w1, w2 and so on."""
    state = make_state()
    scheduler = scheduling.Scheduler("orders", TERMS, state.random)
    entries = [
        make_entry("w%d" % number, **fields) for number in range(1, count + 1)
    ]
    scheduler.update_entries(entries, now)
    return scheduler


def make_route(name="r", prefix="/a/", **fields):
    """Return a Route."""
    values = {
        "name": name,
        "hostname": "shop.example",
        "prefix": prefix,
        "kind": routes.RouteKind.SAFE,
        "timeout": 2.0,
        "target": 1.0,
        "priority": 1,
        "max_attempts": 2,
        "split": [("orders", 1)],
    }
    return routes.Route(**(values | fields))


def make_heartbeat(state, now=0.0, **fields):
    """Return the heartbeat that a node would send."""
    local_member = state.local_member
    values = {
        "name": local_member.name,
        "incarnation": local_member.incarnation,
        "ip": local_member.ip,
        "zone": local_member.zone,
        "weight": local_member.weight,
        "is_ready": True,
        "leaving": False,
        "config_version": state.config_version,
        "digest": state.membership.digest,
        "is_list_wanted": True,
    }
    return messages.Heartbeat(**(values | fields))


def apply_event(state, event):
    """Apply an event to a node; return the effects."""
    return coordination.reduce_event(state, event)


def deliver_message(state, message, now, sender="10.0.0.9"):
    """Deliver a message to a node; return the effects."""
    event = events.MessageReceived(now, sender, message)
    return coordination.reduce_event(state, event)


def select_effects(out, kind):
    """Return the effects of one class."""
    return [effect for effect in out if type(effect) is kind]


def reduce(state, event):
    """Apply an event to a node; return the effects."""
    return coordination.reduce_event(state, event)
