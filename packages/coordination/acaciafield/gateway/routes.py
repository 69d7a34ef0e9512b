"""Routes: the service of a request, its timeouts and retry rules."""

import enum

import xxhash

from acaciafield import structs


class RouteKind(enum.Enum):
    """The kind of a route's requests; see IDEMPOTENT_KINDS."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    DOWNLOAD = "download"
    UPLOAD = "upload"


IDEMPOTENT_KINDS = frozenset((RouteKind.SAFE, RouteKind.DOWNLOAD))


class Route(structs.Struct):
    """One route of a configuration.

    ``timeout`` and ``target`` are in seconds, ``priority`` 0 is the most
    urgent. ``split`` is a list of (service, weight); it is empty if the
    route is unreadable, so that its requests must be refused. With
    ``skip_auth``, its requests need no key.
    """

    __slots__ = (
        "name",
        "hostname",
        "prefix",
        "kind",
        "timeout",
        "target",
        "priority",
        "max_attempts",
        "split",
        "skip_auth",
    )
    DEFAULTS = {"skip_auth": False}

    @property
    def idempotent(self):
        """Whether a request may run more than once."""
        return self.kind in IDEMPOTENT_KINDS

    def choose_service(self, request_id):
        """Return the service of a request, in proportion to the weights.

        >>> route = Route(
        ...     "r", "h", "/", RouteKind.SAFE, 1.0, 0.5, 0, 2, [("a", 1)])
        >>> route.choose_service("1")
        'a'
        """
        if len(self.split) == 1:
            return self.split[0][0]
        total = sum(weight for _, weight in self.split)
        hash_share = xxhash.xxh3_64_intdigest(request_id.encode()) / 2**64
        remaining = hash_share * total
        for service, weight in self.split:
            remaining -= weight
            if remaining < 0:
                return service
        return self.split[-1][0]


class Limits(structs.Struct):
    """Limits for requests of callers; sizes in bytes, times in seconds."""

    __slots__ = (
        "max_header_bytes",
        "max_body_bytes",
        "header_timeout",
        "idle_timeout",
    )


class Service(structs.Struct):
    """A service that routes refer to."""

    __slots__ = ("name", "health_path", "max_connections")


class Configuration:
    """One version of the configuration, indexed for look-ups.

    A look-up takes one probe for each prefix length that the host name
    has, whatever the number of routes. ``findings`` describes the
    unreadable parts, in a line of text each. ``workspaces`` is a
    workspaces.WorkspaceTable, or None if requests need no key.
    """

    __slots__ = (
        "version",
        "services",
        "limits",
        "routes",
        "findings",
        "workspaces",
        "_tables_by_host",
    )

    def __init__(
        self,
        version,
        routes,
        services,
        limits,
        findings=(),
        workspaces=None,
    ):
        self.version = version
        self.services = services
        self.limits = limits
        self.routes = routes
        self.findings = list(findings)
        self.workspaces = workspaces
        self._tables_by_host = {}
        for route in routes:
            tables = self._tables_by_host.setdefault(
                route.hostname.lower(), {}
            )
            tables.setdefault(len(route.prefix), {})[route.prefix] = route
        for hostname, tables in self._tables_by_host.items():
            self._tables_by_host[hostname] = sorted(
                tables.items(), reverse=True
            )

    @property
    def limits_by_workspace(self):
        """The workspaces.Workspace of each name, or None without any."""
        if self.workspaces is None:
            return None
        return self.workspaces.by_name

    def find_route(self, host_header, path):
        """Return the route with the longest matching prefix, or None.

        ``host_header`` is the value of a Host header, ``path`` the request
        target without a query.
        """
        name = (
            host_header.rsplit(":", 1)[0]
            if ":" in host_header
            else host_header
        )
        for length, table in self._tables_by_host.get(name.lower(), ()):
            route = table.get(path[:length])
            if route is not None:
                return route
        return None
