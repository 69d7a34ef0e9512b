"""Routes: which service a request belongs to, and on what terms."""

import enum

import xxhash

from acaciafield import structs


class Kind(enum.Enum):
    """What may be repeated."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    DOWNLOAD = "download"
    UPLOAD = "upload"


IDEMPOTENT_KINDS = frozenset((Kind.SAFE, Kind.DOWNLOAD))


class Route(structs.Struct):
    """One route of a configuration.

    ``timeout`` and ``target`` are in seconds; ``split`` is a list of
    (service, weight), empty where the route could not be read and its
    requests must be refused; ``priority`` 0 is the most urgent.
    """

    __slots__ = (
        "name",
        "hostname",
        "prefix",
        "kind",
        "timeout",
        "target",
        "priority",
        "most_attempts",
        "split",
    )

    @property
    def idempotent(self):
        """Whether a request may run more than once."""
        return self.kind in IDEMPOTENT_KINDS

    def choose_service(self, request_id):
        """Return the service of a request, in proportion to weights.

        >>> route = Route(
        ...     "r", "h", "/", Kind.SAFE, 1.0, 0.5, 0, 2, [("a", 1)])
        >>> route.choose_service("1")
        'a'
        """
        if len(self.split) == 1:
            return self.split[0][0]
        total = sum(weight for _, weight in self.split)
        draw = xxhash.xxh3_64_intdigest(request_id.encode()) / 2**64
        mark = draw * total
        for service, weight in self.split:
            mark -= weight
            if mark < 0:
                return service
        return self.split[-1][0]


class Limits(structs.Struct):
    """Limits on what a caller sends; sizes in bytes, times in seconds."""

    __slots__ = ("header_size", "body_size", "header_timeout", "idle_timeout")


class Service(structs.Struct):
    """A service that routes name."""

    __slots__ = ("name", "health_path", "most_connections")


class Configuration:
    """One version of the routes, ready for look-up.

    A look-up takes one probe for each length of prefix that the host
    has, whatever the number of routes. ``findings`` says which parts
    could not be read, a line of text each.
    """

    __slots__ = (
        "version",
        "services",
        "limits",
        "routes",
        "findings",
        "_hosts",
    )

    def __init__(self, version, routes, services, limits, findings=()):
        self.version = version
        self.services = services
        self.limits = limits
        self.routes = routes
        self.findings = list(findings)
        self._hosts = {}
        for route in routes:
            tables = self._hosts.setdefault(route.hostname.lower(), {})
            tables.setdefault(len(route.prefix), {})[route.prefix] = route
        for host, tables in self._hosts.items():
            self._hosts[host] = sorted(tables.items(), reverse=True)

    def find_route(self, host, path):
        """Return the route with the longest matching prefix, or None.

        ``host`` is a Host header, ``path`` the target without a query.
        """
        name = host.rsplit(":", 1)[0] if ":" in host else host
        for length, table in self._hosts.get(name.lower(), ()):
            route = table.get(path[:length])
            if route is not None:
                return route
        return None
