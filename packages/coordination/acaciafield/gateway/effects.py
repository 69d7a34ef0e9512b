"""Effects: actions that a node of a gateway requests, as data."""

from acaciafield import structs


class Send(structs.Struct):
    """Send a message to the node at ``ip``."""

    __slots__ = ("ip", "message")


class DeliverAnswer(structs.Struct):
    """Deliver an answer to the local request that waits for it."""

    __slots__ = ("message",)


def make_delivery(ip, message, local_ip):
    """Return the effect that brings an answer to the node at ``ip``.

    ``ip`` is "" or ``local_ip`` if the local node has asked.
    """
    if not ip or ip == local_ip:
        return DeliverAnswer(message)
    return Send(ip, message)


class FetchConfiguration(structs.Struct):
    """Fetch the configuration from the node at ``ip``."""

    __slots__ = ("ip", "version")


class FetchWorkers(structs.Struct):
    """Fetch the list of workers from the node at ``ip``."""

    __slots__ = ("ip",)


class FollowStore(structs.Struct):
    """Start or stop reading the workers and configuration from the store."""

    __slots__ = ("active",)


class PersistCrashes(structs.Struct):
    """Persist rows of a crashes.CrashLedger in the platform's store."""

    __slots__ = ("rows",)


class WriteMember(structs.Struct):
    """Write this node's member record to the platform's store again."""

    __slots__ = ()


class LogDecision(structs.Struct):
    """Log a decision; ``fields`` is a dictionary."""

    __slots__ = ("kind", "fields")
