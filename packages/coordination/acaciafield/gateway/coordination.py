"""The reducer of a gateway's node: events in, effects out.

Every node can coordinate. It does so while others send it heartbeats
or asks, and then follows the platform's store.
"""

import functools
import random

from acaciafield.gateway import effects
from acaciafield.gateway import events
from acaciafield.gateway import granting
from acaciafield.gateway import members
from acaciafield.gateway import messages
from acaciafield import structs
from acaciafield import timers

DUTY_TIME = 3.0  # seconds that a node coordinates after it was asked to
ALONE_DUTY_TIME = 0.6  # seconds, after it asked itself
PUSH_PERIOD = 0.5  # seconds between lists of members sent unasked
SWEEP_PERIOD = 1.0  # seconds between sweeps of lost reports
DISPATCH_PERIOD = 0.02  # seconds between looks at queues that wait
UNANSWERED_TIME = 2.5  # seconds without coordinators that end readiness
ALONE_AFTER = 1.0  # seconds without a coordinator before a node acts alone


class BeatTimer(structs.Struct):
    """Heartbeats are due."""

    __slots__ = ()


class SweepTimer(structs.Struct):
    """What was never reported is to be forgotten."""

    __slots__ = ()


class DispatchTimer(structs.Struct):
    """Queues are to be looked at."""

    __slots__ = ()


class NodeState:
    """Everything that a node of a gateway knows besides its requests."""

    __slots__ = (
        "now",
        "own",
        "terms",
        "random",
        "timers",
        "view",
        "registry",
        "desks",
        "entries",
        "duty_until",
        "following",
        "informed",
        "store_at",
        "hears_store",
        "confirmed",
        "answered_at",
        "coordinated",
        "push_at",
        "config_version",
        "ready",
        "leaving",
    )

    def __init__(self, own, terms, seed):
        self.now = 0.0
        self.own = own
        self.terms = terms
        self.random = random.Random(seed)
        self.timers = timers.Timers()
        self.view = members.View(own)
        self.registry = members.Registry(own.zone)
        self.desks = {}
        self.entries = None
        self.duty_until = 0.0
        self.following = False
        self.informed = False
        self.store_at = None
        self.hears_store = True
        self.confirmed = False
        self.answered_at = None
        self.coordinated = False
        self.push_at = 0.0
        self.config_version = 0
        self.ready = False
        self.leaving = False

    def start(self, now):
        """Begin; return the first effects."""
        self.now = now
        self.answered_at = now
        self.timers.subscribe("beat", now, BeatTimer())
        self.timers.subscribe("sweep", now + SWEEP_PERIOD, SweepTimer())
        return []

    def find_desk(self, service):
        """Return the desk of a service."""
        desk = self.desks.get(service)
        if desk is None:
            desk = granting.Desk(service, self.terms, self.random, self.now)
            self.desks[service] = desk
            _fill_desk(self, desk)
        return desk

    def read_store_age(self, now):
        """Return how old the list of workers is, None without one."""
        if self.store_at is None or self.entries is None:
            return None
        return round(now - self.store_at, 2)

    def has_followers(self):
        """Tell whether other nodes send their heartbeats to this one."""
        return any(name != self.own.name for name in self.registry.table)

    def take_terms(self, terms):
        """Take in the operator's changed bounds."""
        self.terms = terms
        for desk in self.desks.values():
            desk.budget.ratio = terms.ratio
            desk.budget.slack = terms.slack

    def dump_knowledge(self, now):
        """Return what the desks know, for another coordinator."""
        return {name: desk.dump(now) for name, desk in self.desks.items()}

    def read_share(self):
        """Return the share of the fleet's slack that is used here.

        A node that few send their heartbeats to may be one of many that
        coordinate without knowing of each other.
        """
        known = len(self.view.contacts)
        heard = len(self.registry.table)
        if 2 * len(self.view.list_zones()) * heard >= known:
            return 1.0
        return max(1, heard) / known

    def may_act_alone(self, now):
        """Tell whether no coordinator answered this node's heartbeats."""
        if not self.coordinated:
            return True
        return now - self.answered_at > ALONE_AFTER

    def is_serving(self, now):
        """Tell whether callers' requests can be given workers here."""
        if not self.ready or self.leaving or self.answered_at is None:
            return False
        if self.entries is not None:
            return True
        return now - self.answered_at < UNANSWERED_TIME

    def next_due(self):
        """Return when a tick is needed next, in seconds, or None."""
        return self.timers.next_due()


def reduce_event(state, event):
    """Apply an event to the state; return the effects it asks for."""
    out = []
    state.now = event.now
    _apply(event, state, event.now, out)
    return out


@functools.singledispatch
def _apply(event, state, now, out):
    raise TypeError("unknown event %r" % (event,))


@functools.singledispatch
def _receive(message, state, sender, now, out):
    raise TypeError("unknown message %r" % (message,))


@functools.singledispatch
def _fire(timer, state, now, out):
    raise TypeError("unknown timer %r" % (timer,))


@_apply.register
def _apply_tick(event: events.Tick, state, now, out):
    for timer in state.timers.pop_due(now):
        _fire(timer, state, now, out)


@_apply.register
def _apply_message(event: events.MessageReceived, state, now, out):
    _receive(event.message, state, event.sender, now, out)


@_apply.register
def _apply_workers(event: events.WorkersRead, state, now, out):
    state.store_at = now
    _take_entries(event.entries, state, now, out)
    _confirm_store(state, now, out)


@_apply.register
def _apply_fetched(event: events.WorkersFetched, state, now, out):
    state.informed = True
    if state.entries is None:
        state.store_at = now - event.age
        _take_entries(event.entries, state, now, out)
    for service, document in event.knowledge.items():
        state.find_desk(service).load(document, now)
    fields = {"age": event.age, "services": len(event.knowledge)}
    out.append(effects.Note("workers-fetched", fields))


def _take_entries(entries, state, now, out):
    state.entries = {}
    for entry in entries:
        state.entries.setdefault(entry.service, []).append(entry)
    for desk in state.desks.values():
        _fill_desk(state, desk)
        _dispatch(desk, state, now, out)


def _fill_desk(state, desk):
    if state.entries is not None:
        desk.take_entries(state.entries.get(desk.service, ()), state.now)


@_apply.register
def _apply_store(event: events.StoreHeard, state, now, out):
    state.store_at = now
    if not state.hears_store:
        state.hears_store = True
        state.confirmed = False
    _confirm_store(state, now, out)


@_apply.register
def _apply_store_lost(event: events.StoreLost, state, now, out):
    """Tell the members at once, as they must look for another."""
    if not state.hears_store:
        return
    state.hears_store = False
    _tell_members(state, now, out)


def _confirm_store(state, now, out):
    """Tell the members once that the store answers this node.

    They may have asked this node before the first answer of the store
    and go on looking. Where a better candidate of their zone hears the
    store, they need not know.
    """
    if state.confirmed or state.entries is None:
        return
    state.confirmed = True
    if not state.view.has_better(state.own.name, now):
        _tell_members(state, now, out)


def _tell_members(state, now, out):
    """Tell those that send heartbeats what is known here of the store."""
    answer = _make_answer(state, None)
    for member, _ in state.registry.table.values():
        if member.name == state.own.name:
            _receive_answer(answer, state, "", now, out)
        else:
            out.append(effects.Send(member.ip, answer))


@_apply.register
def _apply_configuration(event: events.ConfigurationHeld, state, now, out):
    if event.version <= state.config_version:
        return
    state.config_version = event.version
    if now >= state.duty_until:
        return
    notice = messages.ConfigNotice(state.own.name, event.version)
    for member, _ in state.registry.table.values():
        if member.name != state.own.name:
            out.append(effects.Send(member.ip, notice))


@_apply.register
def _apply_members(event: events.MembersRead, state, now, out):
    for member in event.members:
        state.view.add_candidate(member)


@_apply.register
def _apply_stop(event: events.StopAsked, state, now, out):
    state.leaving = True
    _beat(state, now, out)


def _send(state, ip, message, out):
    if not ip or ip == state.own.ip:
        out.append(effects.Deliver(message))
    else:
        out.append(effects.Send(ip, message))


def _take_duty(state, now, out, time=DUTY_TIME):
    state.duty_until = max(state.duty_until, now + time)
    if not state.following:
        state.following = True
        state.confirmed = False
        out.append(effects.FollowStore(True))
        out.append(effects.Note("duty", {"taken": True}))
        _seek_workers(state, now, out)


def _list_others(state, now):
    """Return the coordinators besides this node."""
    return [
        contact
        for contact in state.view.list_coordinators(now)
        if contact.member.name != state.own.name
    ]


def _seek_workers(state, now, out):
    """Ask another coordinator, as the store may not answer."""
    for contact in _list_others(state, now):
        if contact.heard_at is not None and contact.store_age is not None:
            out.append(effects.FetchWorkers(contact.member.ip))
            return


@_fire.register
def _fire_beat(timer: BeatTimer, state, now, out):
    state.timers.subscribe("beat", now + members.BEAT_PERIOD, timer)
    _beat(state, now, out)
    if now - state.answered_at > ALONE_AFTER:
        _take_duty(state, now, out)
    if state.following and now > state.duty_until:
        state.following = False
        state.informed = False
        state.desks.clear()
        state.entries = None
        out.append(effects.FollowStore(False))
        out.append(effects.Note("duty", {"taken": False}))
    if state.following and not state.informed:
        _seek_workers(state, now, out)
    gone = state.registry.drop_silent(now)
    if gone:
        out.append(effects.Note("members", {"gone": gone}))
        _push_list(state, out)


def _beat(state, now, out):
    own = state.own
    for contact in state.view.list_targets(now, all_due=state.leaving):
        beat = messages.Beat(
            own.name,
            own.born,
            own.ip,
            own.zone,
            own.weight,
            state.is_serving(now),
            state.leaving,
            state.config_version,
            state.view.digest,
            _wants_list(state, contact, now),
        )
        contact.note_beat(now)
        if contact.member.name == own.name:
            _receive_beat(beat, state, "", now, out)
        else:
            out.append(effects.Send(contact.member.ip, beat))


def _wants_list(state, contact, now):
    if contact.member.zone == state.own.zone:
        return True
    near = state.view.find_coordinator(state.own.zone, now)
    return near is None or near.is_silent(now)


@_fire.register
def _fire_sweep(timer: SweepTimer, state, now, out):
    state.timers.subscribe("sweep", now + SWEEP_PERIOD, timer)
    for desk in state.desks.values():
        desk.sweep(now)


@_fire.register
def _fire_dispatch(timer: DispatchTimer, state, now, out):
    for desk in state.desks.values():
        _dispatch(desk, state, now, out)


@_receive.register
def _receive_beat(message: messages.Beat, state, sender, now, out):
    _take_duty(state, now, out)
    changed = state.registry.take_beat(message, now)
    registry = state.registry
    rows = None
    if message.wants_list and message.digest != registry.digest:
        rows = registry.list_rows()
    answer = _make_answer(state, rows)
    if message.name == state.own.name:
        _receive_answer(answer, state, "", now, out)
    else:
        out.append(effects.Send(message.ip, answer))
        _compare_version(message.config_version, message.ip, state, out)
    if changed:
        _push_list(state, out)


def _make_answer(state, rows):
    return messages.BeatAnswer(
        state.own.name,
        state.own.born,
        state.config_version,
        state.read_store_age(state.now),
        state.hears_store,
        state.leaving,
        state.registry.digest,
        rows,
    )


def _push_list(state, out):
    """Send the members to those of the zone, but not at each change.

    While many hosts start, that would be the cube of their number; what
    is left out comes with the answers to the next heartbeats.
    """
    if state.now < state.push_at:
        return
    state.push_at = state.now + PUSH_PERIOD
    registry = state.registry
    answer = _make_answer(state, registry.list_rows())
    for member, _ in registry.table.values():
        if member.zone != state.own.zone:
            continue
        if member.name == state.own.name:
            state.view.take_members(answer.members, answer.digest)
        else:
            out.append(effects.Send(member.ip, answer))


@_receive.register
def _receive_answer(message: messages.BeatAnswer, state, sender, now, out):
    contact = state.view.contacts.get(message.name)
    if contact is None:
        return
    contact.note_answer(now)
    contact.store_age = message.store_age
    contact.hears_store = message.hears_store
    contact.leaving = message.leaving
    state.answered_at = now
    state.coordinated = True
    if message.members is not None:
        chosen = state.view.find_coordinator(state.own.zone, now)
        if chosen is contact or chosen is None or chosen.is_silent(now):
            state.view.take_members(message.members, message.digest)
    _compare_version(message.config_version, contact.member.ip, state, out)


def _compare_version(version, ip, state, out):
    if version > state.config_version and ip != state.own.ip:
        out.append(effects.FetchConfiguration(ip, version))


@_receive.register
def _receive_notice(message: messages.ConfigNotice, state, sender, now, out):
    _compare_version(message.config_version, sender, state, out)


@_receive.register
def _receive_ask(message: messages.Ask, state, sender, now, out):
    _take_duty(state, now, out, DUTY_TIME if sender else ALONE_DUTY_TIME)
    if state.entries is None:
        out.append(effects.Note("ask-early", {"ask": message.ask_id}))
        _seek_workers(state, now, out)
        return
    desk = state.find_desk(message.service)
    desk.budget.share = state.read_share()
    answer = desk.decide(message, sender, now)
    _answer_ask(answer, message, state, sender, out)
    if desk.queue:
        _arm_dispatch(state, now)


def _answer_ask(answer, ask, state, sender, out):
    if isinstance(answer, messages.Grant):
        answer.granter = state.own.name
    _send(state, sender, answer, out)
    if isinstance(answer, messages.Queued):
        return
    out.append(_describe_decision(answer, ask, state))
    if isinstance(answer, messages.Refusal):
        return
    granted = messages.Granted(
        ask.service,
        ask.ask_id,
        ask.node,
        answer.worker_id,
        ask.route,
        ask.left,
        ask.repeats,
        ask.fingerprint,
    )
    for name in state.view.list_evidence_holders(ask.service, state.now):
        if name != state.own.name:
            ip = state.view.contacts[name].member.ip
            out.append(effects.Send(ip, granted))


def _describe_decision(answer, ask, state):
    desk = state.desks[ask.service]
    fields = {
        "ask": ask.ask_id,
        "service": ask.service,
        "store_age": state.read_store_age(state.now),
        "waiting": len(desk.queue),
    }
    if isinstance(answer, messages.Refusal):
        fields["reason"] = answer.reason
        fields["retry_after"] = answer.retry_after
        fields.update(desk.describe_budget(ask, state.now))
        return effects.Note("refusal", fields)
    fields["worker"] = answer.worker_id
    fields.update(desk.describe_choice(answer.worker_id, state.now))
    return effects.Note("grant", fields)


def _arm_dispatch(state, now):
    due = now + DISPATCH_PERIOD
    state.timers.subscribe("dispatch", due, DispatchTimer())


def _dispatch(desk, state, now, out):
    for sender, ask, answer in desk.dispatch(now):
        _answer_ask(answer, ask, state, sender, out)
    if desk.queue:
        _arm_dispatch(state, now)


@_receive.register
def _receive_granted(message: messages.Granted, state, sender, now, out):
    if state.entries is not None:
        state.find_desk(message.service).take_granted(message, now)


@_receive.register
def _receive_report(message: messages.Report, state, sender, now, out):
    if state.entries is None:
        return
    desk = state.find_desk(message.service)
    before = _read_risk(desk, message.worker_id, now)
    desk.take_report(message, now)
    after = _read_risk(desk, message.worker_id, now)
    if after > before + 0.05:
        fields = {
            "worker": message.worker_id,
            "service": message.service,
            "request": message.ask_id,
            "ending": message.ending,
            "reported_by": message.node,
            "risk_before": round(before, 3),
            "risk": round(after, 3),
        }
        out.append(effects.Note("risk", fields))
    _dispatch(desk, state, now, out)


def _read_risk(desk, worker_id, now):
    worker = desk.workers.get(worker_id)
    return worker.read_risk(now) if worker is not None else 0.0


@_receive.register
def _receive_withdrawal(message: messages.Withdrawal, state, sender, now, out):
    desk = state.desks.get(message.service)
    if desk is not None:
        desk.withdraw(message.ask_id)
        _dispatch(desk, state, now, out)


@_receive.register(messages.Grant)
@_receive.register(messages.Queued)
@_receive.register(messages.Refusal)
def _receive_reply(message, state, sender, now, out):
    out.append(effects.Deliver(message))
