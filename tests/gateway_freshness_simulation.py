"""A simulated fleet whose operator changes the configuration.

After each event of a node, the fleet checks that the node's proof is sound:
the node has every version that the operator wrote before the time of which
the node believes that its configuration was current.
"""

from acaciafield.gateway import events
from acaciafield.gateway import messages
from acaciafield_daemon.gateway import store_reader
from tests import gateway_fleet

BOOT_OFFSET_S = 1000.0  # between the boot clocks of two hosts
SAMPLE_PERIOD_S = 0.02


class ConfigurationReader:
    """The task of a coordinator that reads the configuration."""

    def __init__(self, fleet, state):
        self.fleet = fleet
        self.state = state
        self.active = True
        self.seen = None
        self.is_unchanged = True
        self.sent_at = 0.0
        self.pause = store_reader.RETRY_PAUSE_S
        self._reads = 0

    def read(self, now):
        """Send a read, which the store answers at once or after a wait."""
        if not self.active:
            return
        fleet = self.fleet
        if self.state.local_member.name in fleet.frozen:
            fleet.defer(self.state, self.read)
            return
        self.sent_at = fleet.read_boot_clock(self.state)
        self._reads += 1
        wait = 0.0
        if self.seen == fleet.version and self.is_unchanged:
            wait = store_reader.KEYED_CONFIG_READ_WAIT_S
        self._plan_answer(now + gateway_fleet.CALL_TIME_S + wait, wait)

    def wake(self):
        """Answer a waiting read, as the operator wrote a version."""
        if self.active:
            at = self.fleet.now + gateway_fleet.CALL_TIME_S / 2
            self._plan_answer(at, 0.0)

    def _plan_answer(self, at, wait):
        number = self._reads

        def answer(now):
            if not self.active or number != self._reads:
                return
            if self.state.local_member.name in self.fleet.frozen:
                self.fleet.defer(self.state, answer)
                return
            self._reads += 1
            self._receive(now, wait)

        self.fleet.plan(at, answer)

    def _receive(self, now, wait):
        fleet = self.fleet
        if fleet.is_refused(self.state.local_member.name):
            fleet.feed(self.state, events.StoreFailed(now))
            fleet.plan(now + self.pause, self.read)
            self.pause = min(store_reader.MAX_RETRY_PAUSE_S, 2 * self.pause)
            return
        self.pause = store_reader.RETRY_PAUSE_S
        self.is_unchanged = self.seen == fleet.version
        if not self.is_unchanged:
            self.seen, wait = fleet.version, 0.0
            event = events.ConfigurationUpdated(now, fleet.version)
            fleet.feed(self.state, event)
        proven_at = self.sent_at + wait
        event = events.ConfigurationConfirmed(now, proven_at)
        fleet.feed(self.state, event)
        self.read(now)


class FreshnessFleet(gateway_fleet.Fleet):
    """A Fleet with a configuration, frozen hosts and unreliable links.

    ``ages`` has the greatest age that each node's configuration had since
    the last call of ``clear_ages``, None if one was unconfirmed. ``delay`` is
    a function that returns the delay of a message in seconds, or None if it
    is lost.
    """

    def __init__(self, zones, count):
        self.version = 1
        self.written_at = {1: -1.0}
        self.frozen = set()
        self.ages = {}
        self.delay = None
        self.fetched = []
        self._configuration_readers = {}
        self._deferred = {}
        super().__init__(zones, count)
        self.plan(0.0, self._sample)

    def read_boot_clock(self, state):
        """Return the time of a host's boot clock."""
        number = int(state.local_member.name[1:])
        return self.now + number * BOOT_OFFSET_S

    def write_version(self):
        """Write a new version of the configuration, unless the store fails."""
        if self.down:
            return
        self.version += 1
        self.written_at[self.version] = self.now
        for reader in self._configuration_readers.values():
            reader.wake()

    def measure_age(self, name):
        """Return the age of a node's configuration, or None."""
        state = self.states[name]
        return state.freshness.measure_age(self.read_boot_clock(state))

    def clear_ages(self):
        """Forget the greatest ages."""
        self.ages.clear()

    def find_greatest_age(self, names=None):
        """Return the greatest age of the named nodes, by default of all."""
        found = [self.ages[name] for name in names or self.states]
        return None if None in found else max(found)

    def freeze(self, name):
        """Stop a host; its events wait."""
        self.frozen.add(name)

    def thaw(self, name):
        """Let a frozen host continue with the events that waited."""
        self.frozen.discard(name)
        for act in self._deferred.pop(name, ()):
            act(self.now)

    def defer(self, state, act):
        """Call ``act`` when a frozen host continues."""
        self._deferred.setdefault(state.local_member.name, []).append(act)

    def feed(self, state, event):
        """Feed an event to a node; keep it while the node is frozen."""
        if state.local_member.name in self.frozen:
            if isinstance(event, events.Tick):
                return

            def act(now):
                event.now = now
                self.feed(state, event)

            self.defer(state, act)
            return
        super().feed(state, event)
        self._check(state)

    def deliver(self, sender, ip, message):
        """Deliver a message, unless the link loses it."""
        delay = 0.0
        if self.delay is not None:
            delay = self.delay(sender, ip, message)
        if delay is None:
            return
        if not delay:
            super().deliver(sender, ip, message)
            return
        deliver = super().deliver
        self.plan(self.now + delay, lambda now: deliver(sender, ip, message))

    def fetch_configuration(self, state, ip):
        """Let a node adopt the version of the node at ``ip``."""
        other = self.find_state(ip)

        def receive(now):
            names = {state.local_member.name, other.local_member.name}
            if any(self.is_cut(name) for name in names):
                return
            if other.local_member.name in self.frozen:
                return
            event = events.ConfigurationUpdated(now, other.config_version)
            self.feed(state, event)

        self.fetched.append((state.local_member.name, self.now))
        self.plan(self.now + gateway_fleet.FETCH_TIME_S, receive)

    def set_reading(self, state, active):
        """Start or stop a node's tasks that read the store."""
        super().set_reading(state, active)
        name = state.local_member.name
        if name in self._configuration_readers:
            self._configuration_readers.pop(name).active = False
        if active:
            reader = ConfigurationReader(self, state)
            self._configuration_readers[name] = reader
            self.plan(self.now, reader.read)

    def _check(self, state):
        """Raise AssertionError if a node's proof is not sound."""
        confirmed_at = state.freshness.confirmed_at
        if confirmed_at is None:
            return
        proven_at = confirmed_at - self.read_boot_clock(state) + self.now
        written = [
            version
            for version, at in self.written_at.items()
            if at < proven_at - 1e-6
        ]
        assert state.freshness.version >= max(written), (
            state.local_member.name,
            self.now,
            proven_at,
        )

    def _sample(self, now):
        for name in self.states:
            age = self.measure_age(name)
            greatest = self.ages.get(name, 0.0)
            is_known = age is not None and greatest is not None
            self.ages[name] = max(age, greatest) if is_known else None
        self.plan(now + SAMPLE_PERIOD_S, self._sample)


def lose_heartbeats(random, share):
    """Return a ``delay`` that loses a share of heartbeats and answers."""
    lossy = (messages.Heartbeat, messages.HeartbeatAnswer)

    def delay(sender, ip, message):
        if isinstance(message, lossy) and random.random() < share:
            return None
        return 0.0

    return delay


def delay_answers(ip, seconds):
    """Return a ``delay`` of the answers to the heartbeats of one host."""

    def delay(sender, target, message):
        if target == ip and isinstance(message, messages.HeartbeatAnswer):
            return seconds
        return 0.0

    return delay
