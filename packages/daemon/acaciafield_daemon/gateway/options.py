"""Options of a gateway process, as read from its settings."""

from acaciafield import structs


class HeaderNames(structs.Struct):
    """Names of the HTTP headers between the gateway, callers and workers."""

    __slots__ = (
        "request_id",
        "deadline_ms",
        "expect_worker",
        "signature",
        "not_run",
        "worker_load",
        "leaving",
    )


class Options(structs.Struct):
    """Addresses, ports and limits of one node.

    Ports are the same on every node. Times are in seconds: ``grace`` is
    the time between the stop signal and the kill, ``most_validity`` the
    longest time for which callers may cache addresses. ``memory`` is the
    host's, in bytes.
    """

    __slots__ = (
        "name",
        "ip",
        "zone",
        "weight",
        "memory",
        "front_port",
        "ready_port",
        "directory_port",
        "peer_port",
        "metrics_port",
        "seed_ips",
        "terms",
        "grace",
        "most_validity",
        "headers",
    )
