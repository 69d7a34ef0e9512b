"""Events that a node of a gateway handles.

``now`` is in seconds of the process's monotonic clock.
"""

from acaciafield import structs


class MessageReceived(structs.Struct):
    """A message arrived from ``sender``, an IP address or "" if local."""

    __slots__ = ("now", "sender", "message")


class WorkersRead(structs.Struct):
    """The store's list of workers was read, as backends.WorkerEntry.

    ``departures`` has the workers that were removed from it since the last
    read, as rows of rosters.Roster.list_departed.
    """

    __slots__ = ("now", "entries", "departures")
    DEFAULTS = {"departures": ()}


class WorkersFetched(structs.Struct):
    """Another coordinator's list of workers arrived, ``age`` seconds old.

    ``scheduler_states`` maps a service to the result of
    scheduling.Scheduler.dump; ``departures`` has rows as of
    rosters.Roster.list_departed, ``crashes`` as of crashes.CrashLedger.dump.
    """

    __slots__ = (
        "now",
        "entries",
        "age",
        "scheduler_states",
        "departures",
        "crashes",
    )
    DEFAULTS = {"scheduler_states": {}, "departures": (), "crashes": ()}


class StoreAnswered(structs.Struct):
    """The platform's store answered."""

    __slots__ = ("now",)


class StoreFailed(structs.Struct):
    """A read of the platform's store failed."""

    __slots__ = ("now",)


class ConfigurationUpdated(structs.Struct):
    """This node adopted a version of the configuration.

    ``limits`` maps names to workspaces.Workspace, None without workspaces.
    """

    __slots__ = ("now", "version", "limits")
    DEFAULTS = {"limits": None}


class ConfigurationConfirmed(structs.Struct):
    """This node has all that the store had at the time ``proven_at``.

    ``proven_at`` is in seconds of CLOCK_BOOTTIME.
    """

    __slots__ = ("now", "proven_at")


class MembersRead(structs.Struct):
    """Nodes were read from the store or a seed node, as members.Member."""

    __slots__ = ("now", "members")


class CrashRowsRead(structs.Struct):
    """Rows of a crashes.CrashLedger were read from the store.

    They were persisted ``age`` seconds ago.
    """

    __slots__ = ("now", "rows", "age")


class CrashWriteFailed(structs.Struct):
    """The platform's store failed to persist the crash rows."""

    __slots__ = ("now",)


class MemberWriteFailed(structs.Struct):
    """The platform's store failed to take this node's member record again."""

    __slots__ = ("now",)


class RecordWritten(structs.Struct):
    """The store took a record of this node in an era, 0 if unknown."""

    __slots__ = ("now", "era")


class StoreEraRead(structs.Struct):
    """An answer of the store reported its era."""

    __slots__ = ("now", "era")


class OffsetRefused(structs.Struct):
    """The store does not have an offset up to which this node has read."""

    __slots__ = ("now",)


class StopRequested(structs.Struct):
    """The node is requested to leave."""

    __slots__ = ("now",)


class Tick(structs.Struct):
    """A timer may be due."""

    __slots__ = ("now",)
