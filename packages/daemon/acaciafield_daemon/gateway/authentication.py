"""The check of the callers' keys: which requests may be served."""

from acaciafield import structs
from acaciafield_daemon.gateway import boot_clock
from acaciafield_daemon.gateway import calls

NO_KEY_REASON = "no-key"
UNKNOWN_KEY_REASON = "unknown-key"
OLD_CONFIGURATION_REASON = "configuration-old"
UNREADABLE_REASON = "workspaces-unreadable"
AGE_RETRY_AFTER_S = 0.5  # until the answer to the next heartbeat
UNREADABLE_RETRY_AFTER_S = 1.0


class KeyRefusal(structs.Struct):
    """The refusal of a request because of its key.

    ``retry_after`` is in seconds, or None if a repeat cannot succeed.
    """

    __slots__ = ("status", "reason", "retry_after")


def check_key(key, table, age, terms):
    """Return the Workspace that holds a key, or a KeyRefusal.

    ``key`` is None for a request without one. ``age`` is that of the
    configuration in seconds, None if it was never confirmed. Whatever the
    age, a request without a key is refused for good.
    """
    if not table.is_readable:
        return KeyRefusal(503, UNREADABLE_REASON, UNREADABLE_RETRY_AFTER_S)
    if key is None:
        return KeyRefusal(calls.UNAUTHORIZED_STATUS, NO_KEY_REASON, None)
    workspace = table.find(key)
    if workspace is None:
        if age is None or age > terms.config_bound:
            # The key may be in a version that this node does not have.
            return KeyRefusal(503, OLD_CONFIGURATION_REASON, AGE_RETRY_AFTER_S)
        return KeyRefusal(calls.UNAUTHORIZED_STATUS, UNKNOWN_KEY_REASON, None)
    if terms.strict_revocation and (age is None or age >= terms.revoke_bound):
        # The key may be missing in a version that this node does not have.
        return KeyRefusal(503, OLD_CONFIGURATION_REASON, AGE_RETRY_AFTER_S)
    return workspace


class Authenticator:
    """Checks the keys of the requests of one node.

    ``freshness`` is the node's freshness.ConfigurationAge.
    """

    __slots__ = ("options", "freshness", "log", "metrics", "clock")

    def __init__(
        self,
        options,
        freshness,
        log,
        metrics,
        clock=boot_clock.read_boot_clock,
    ):
        self.options = options
        self.freshness = freshness
        self.log = log
        self.metrics = metrics
        self.clock = clock

    def check_request(self, request, route, configuration):
        """Return the Workspace of a caller's request, or a KeyRefusal.

        Return None where the route needs no key.
        """
        if configuration.workspaces is None or route.skip_auth:
            return None
        request_id = request.headers.get(self.options.headers.request_id, "")
        return self._check(
            self.read_key(request), configuration, route, request_id
        )

    def read_key(self, request):
        """Return the key of a request, or None without exactly one."""
        keys = request.headers.getall(self.options.headers.key, ())
        return keys[0] if len(keys) == 1 and keys[0] else None

    def check_call(self, call, configuration):
        """Check the key of a call again, as it is sent to a worker.

        Return a KeyRefusal, or None if the call may be sent. The key may have
        been removed or moved to another workspace while the call waited.
        """
        if call.workspace is None or configuration.workspaces is None:
            return None
        found = self._check(
            call.key, configuration, call.route, call.outgoing.request_id
        )
        if isinstance(found, KeyRefusal):
            return found
        self.assign_workspace(call, call.key, found)
        return None

    def assign_workspace(self, call, key, workspace):
        """Assign a call to the workspace that holds its key, if any."""
        if workspace is not None:
            call.key, call.workspace = key, workspace
            header_name = self.options.headers.workspace
            call.outgoing.headers[header_name] = workspace.name

    def remove_headers(self, headers):
        """Remove the headers that a worker must not get from a caller."""
        for name in (self.options.headers.key, self.options.headers.workspace):
            headers.popall(name, None)

    def _check(self, key, configuration, route, request_id):
        age = self.freshness.measure_age(self.clock())
        found = check_key(
            key, configuration.workspaces, age, self.options.terms
        )
        if isinstance(found, KeyRefusal):
            self._record_refusal(found, configuration, route, request_id, age)
        return found

    def _record_refusal(self, refusal, configuration, route, request_id, age):
        self.metrics.count("key_refusals", reason=refusal.reason)
        self.log.write(
            "key-refused",
            request=request_id,
            status=refusal.status,
            reason=refusal.reason,
            route=route.name,
            version=configuration.version,
            age=age,
        )
