"""The account of the memory that a node holds for its clients.

Each byte counts as often as it is held. Large reservations leave room for
smaller ones, so that a crowd with large bodies cannot crowd out an ordinary
request.
"""

from acaciafield_daemon.gateway import settings

BYTES_PER_MB = 1_000_000
MIN_SHARE = 0.4  # of the memory of a host that has less than own_memory
# Shares of the ledger: a holder of at most SMALL_SHARE may fill all of it,
# others together MAX_FILL; one of at most MEDIUM_SHARE may fill it with others
# of its kind up to MAX_FILL_MEDIUM, a larger one up to the large-share.
SMALL_SHARE = 1 / 4096
MEDIUM_SHARE = 1 / 256
MAX_FILL = 31 / 32
MAX_FILL_MEDIUM = 15 / 16


class MemoryLedger:
    """Counts held bytes; ``refusals`` counts what found no room.

    ``max_large_bytes`` is up to where large reservations fill the ledger.
    """

    __slots__ = (
        "memory_bytes",
        "max_bytes",
        "max_large_bytes",
        "held_bytes",
        "refusals",
    )

    def __init__(self, memory_bytes, limits=settings.GatewaySettings()):
        self.memory_bytes = memory_bytes
        self.held_bytes = 0
        self.refusals = 0
        self.apply_limits(limits)

    def apply_limits(self, limits):
        """Apply a settings.GatewaySettings.

        The own memory of the process is that at rest (35 to 60 MB) with
        what the allocator keeps on top of the bytes in use.
        """
        own_bytes = int(limits.own_memory * BYTES_PER_MB)
        self.max_bytes = int(
            max(MIN_SHARE * self.memory_bytes, self.memory_bytes - own_bytes)
        )
        self.max_large_bytes = int(limits.large_memory_share * self.max_bytes)

    def reserve(self, count, total, kind_bytes=0):
        """Reserve bytes and return whether there was room.

        ``total`` is what the holder then has in all, ``kind_bytes`` what all
        holders of its kind have now.
        """
        kind_limit, limit = self._find_limits(total)
        if kind_bytes + count > kind_limit or self.held_bytes + count > limit:
            self.refusals += 1
            return False
        self.held_bytes += count
        return True

    def hold(self, count):
        """Count bytes that are held already; return whether there was room."""
        self.held_bytes += count
        return self.held_bytes <= self.max_bytes

    def release(self, count):
        """Count bytes as no longer held."""
        self.held_bytes -= count

    def _find_limits(self, total):
        """Return how far one kind and all kinds may fill the ledger."""
        if total <= SMALL_SHARE * self.max_bytes:
            return self.max_bytes, self.max_bytes
        limit = int(MAX_FILL * self.max_bytes)
        if total <= MEDIUM_SHARE * self.max_bytes:
            return int(MAX_FILL_MEDIUM * self.max_bytes), limit
        return self.max_large_bytes, limit
