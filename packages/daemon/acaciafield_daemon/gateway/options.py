"""Options of a gateway process, as read from its settings."""

from acaciafield import structs
from acaciafield_daemon.gateway import settings


class HeaderNames(structs.Struct):
    """Names of the HTTP headers between the gateway, callers and workers."""

    __slots__ = (
        "request_id",
        "deadline_ms",
        "expected_worker",
        "upstream_signature",
        "not_executed",
        "worker_load",
        "leaving",
        "key",
        "workspace",
    )


class Options(structs.Struct):
    """Addresses, ports and limits of one node.

    Ports are the same on every node. Times are in seconds: ``grace`` is
    the time between the stop signal and the kill, ``max_address_ttl`` the
    longest time for which callers may cache addresses. ``memory_bytes``
    is the memory of the host and ``max_descriptors`` its limit on open file
    descriptors. ``limits`` is the settings.GatewaySettings.
    """

    __slots__ = (
        "name",
        "ip",
        "zone",
        "weight",
        "memory_bytes",
        "caller_port",
        "readiness_port",
        "directory_port",
        "peer_port",
        "metrics_port",
        "seed_ips",
        "terms",
        "grace",
        "max_address_ttl",
        "headers",
        "max_descriptors",
        "limits",
    )
    DEFAULTS = {"max_descriptors": 4096, "limits": settings.GatewaySettings()}
