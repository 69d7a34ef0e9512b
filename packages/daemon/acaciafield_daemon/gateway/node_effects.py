"""The effects that the coordination requests, carried out by a node."""

import functools

from acaciafield.gateway import effects


@functools.singledispatch
def apply_effect(effect, node):
    """Perform an effect that the coordination requests."""
    raise TypeError("unknown effect %r" % (effect,))


@apply_effect.register
def _send(effect: effects.Send, node):
    node.peers.send(effect.ip, effect.message)


@apply_effect.register
def _deliver(effect: effects.DeliverAnswer, node):
    node.grant_requester.deliver(effect.message)


@apply_effect.register
def _log_decision(effect: effects.LogDecision, node):
    node.log.write(effect.kind, **effect.fields)


@apply_effect.register
def _follow_store(effect: effects.FollowStore, node):
    node.store_reader.set_active(effect.active)


@apply_effect.register
def _write_member(effect: effects.WriteMember, node):
    node.start_call(node.rewrite_member())


@apply_effect.register
def _persist_crashes(effect: effects.PersistCrashes, node):
    node.start_call(node.persist_crashes(effect.rows))


@apply_effect.register
def _fetch_configuration(effect: effects.FetchConfiguration, node):
    fetch = node.fetch_configuration(effect.ip, effect.version)
    node.start_fetch("configuration", fetch)


@apply_effect.register
def _fetch_workers(effect: effects.FetchWorkers, node):
    node.start_fetch("workers", node.fetch_workers(effect.ip))
