"""The age of a node's configuration, for the revocation of keys.

All times are in seconds of the clock CLOCK_BOOTTIME of one host, which no
other clock sets and which also counts the time while the host is suspended.
They mean nothing on another host; only ages are sent to other hosts.
"""

import math

AGE_RESOLUTION = 1000  # per second; ages are rounded up


class ConfigurationAge:
    """What a node knows about how current its configuration is.

    ``version`` is that of the node's configuration, 0 while it has none.
    ``confirmed_at`` is the latest time of which it is known that the store
    had acknowledged no newer version, None while there is no proof.
    """

    __slots__ = ("version", "confirmed_at", "_pending")

    def __init__(self):
        self.version = 0
        self.confirmed_at = None
        self._pending = None

    def adopt_version(self, version):
        """Record that the node now has a newer version.

        It contains everything that its predecessor contained, so that proofs
        for the predecessor still hold. The first version has none.
        """
        if version <= self.version:
            return
        self.version = version
        if self._pending is not None and self._pending[0] <= version:
            _, proven_at = self._pending
            self._pending = None
            self._confirm(proven_at)

    def record_proof(self, version, proven_at, now):
        """Record that no version newer than ``version`` was in force.

        This was so at the time ``proven_at``. A proof for a newer version
        than the node's counts once the node has that version, and one for an
        older version proves nothing.
        """
        if proven_at > now or version < self.version or not version:
            return
        if version == self.version:
            self._confirm(proven_at)
            return
        pending_version, pending_at = self._pending or (0, -math.inf)
        if version == pending_version:
            proven_at = max(proven_at, pending_at)
        if version >= pending_version:
            self._pending = (version, proven_at)

    def record_answer(self, version, sent_at, age, now):
        """Record a coordinator's answer to the heartbeat sent at ``sent_at``.

        ``version`` is the coordinator's and ``age`` the time in seconds for
        which it is confirmed. The answer was given after ``sent_at``, so that
        the proof is at least as old as that time less the age. Both are None
        in messages that prove nothing.
        """
        if sent_at is None or age is None or age < 0:
            return
        self.record_proof(version, sent_at - age, now)

    def measure_age(self, now):
        """Return the seconds since the last proof, or None without one.

        >>> age = ConfigurationAge()
        >>> age.adopt_version(1)
        >>> age.record_proof(1, 10.0, 10.5)
        >>> age.measure_age(12.0)
        2.0
        """
        if self.confirmed_at is None:
            return None
        # Rounded up, so that no host takes a proof for newer than it is.
        age = math.ceil((now - self.confirmed_at) * AGE_RESOLUTION)
        return max(0, age) / AGE_RESOLUTION

    def _confirm(self, proven_at):
        if self.confirmed_at is None or proven_at > self.confirmed_at:
            self.confirmed_at = proven_at
