"""Quarantine of requests that crash the workers that run them.

A request that was in flight when a worker reset its connections is
suspect. It runs again only on a worker without other requests, so that a
second crash makes no other request suspect. An answer clears it.
"""

SUSPICION_TIME_S = 300.0
QUARANTINE_TIME_S = 600.0
CRASHES_TO_QUARANTINE = 2
MAX_FINGERPRINTS = 4096


class Suspicion:
    """Crashes of one fingerprint; ``expires_at`` is in seconds."""

    __slots__ = ("crashes", "quarantined", "expires_at")

    def __init__(self, expires_at):
        self.crashes = 0
        self.quarantined = False
        self.expires_at = expires_at


class Quarantine:
    """Suspect and quarantined fingerprints of a service.

    ``suspicions`` maps a fingerprint to its Suspicion.

    >>> quarantine = Quarantine()
    >>> quarantine.add_crash("f", False, 0.0)
    False
    >>> quarantine.add_crash("f", True, 1.0)
    True
    >>> quarantine.is_quarantined("f", 2.0)
    True
    """

    __slots__ = ("suspicions",)

    def __init__(self):
        self.suspicions = {}

    def is_quarantined(self, fingerprint, now):
        """Return whether requests of this fingerprint are refused."""
        suspicion = self._find_suspicion(fingerprint, now)
        return suspicion is not None and suspicion.quarantined

    def is_suspect(self, fingerprint, now):
        """Return whether requests of this fingerprint must run alone."""
        return self._find_suspicion(fingerprint, now) is not None

    def add_crash(self, fingerprint, exclusive, now):
        """Count a crash; return whether the fingerprint is quarantined.

        Only a crash while the request had the worker to itself
        (``exclusive``) leads to quarantine.
        """
        suspicion = self._find_suspicion(fingerprint, now)
        if suspicion is None:
            self._evict_oldest()
            suspicion = self.suspicions[fingerprint] = Suspicion(now)
        suspicion.crashes += 1
        suspicion.expires_at = now + SUSPICION_TIME_S
        if exclusive and suspicion.crashes >= CRASHES_TO_QUARANTINE:
            suspicion.quarantined = True
            suspicion.expires_at = now + QUARANTINE_TIME_S
        return suspicion.quarantined

    def clear_suspicion(self, fingerprint):
        """Clear a suspect fingerprint that got an answer."""
        suspicion = self.suspicions.get(fingerprint)
        if suspicion is not None and not suspicion.quarantined:
            del self.suspicions[fingerprint]

    def merge_notice(self, fingerprint, crashes, quarantined, now):
        """Merge another keeper's record; the greater values win."""
        suspicion = self._find_suspicion(fingerprint, now)
        if suspicion is None:
            self._evict_oldest()
            suspicion = self.suspicions[fingerprint] = Suspicion(now)
        suspicion.crashes = max(suspicion.crashes, crashes)
        suspicion.quarantined = suspicion.quarantined or quarantined
        duration = (
            QUARANTINE_TIME_S if suspicion.quarantined else SUSPICION_TIME_S
        )
        suspicion.expires_at = max(suspicion.expires_at, now + duration)

    def _find_suspicion(self, fingerprint, now):
        suspicion = self.suspicions.get(fingerprint)
        if suspicion is not None and now >= suspicion.expires_at:
            del self.suspicions[fingerprint]
            return None
        return suspicion

    def _evict_oldest(self):
        while len(self.suspicions) >= MAX_FINGERPRINTS:
            del self.suspicions[next(iter(self.suspicions))]
