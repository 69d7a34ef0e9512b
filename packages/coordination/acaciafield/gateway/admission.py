"""Admission: the queue of a service and whether a request may wait in it.

Retries go first, then requests by the priority of their workspace and of
their route. Within one priority the workspace that was granted least goes
first, which divides the capacity by max-min fairness. A route or workspace
that is served far less often than all requests goes before the others, so
that none is starved.
"""

import math

from acaciafield.gateway import selection
from acaciafield import structs

# Shares of the maximum wait after which any risk is accepted: where a
# failure is final, and where another attempt may follow. The latter finds
# out which workers have recovered.
FINAL_ATTEMPT_WAIT_SHARE = 0.8
RETRYABLE_WAIT_SHARE = 0.25
# Share of the target, and of the time left, for which a request may queue.
MAX_WAIT_SHARE = 0.5
MAX_QUEUE_LENGTH = 2000
# Time constant of the counts of requests and grants: some seconds, so that
# the order follows a wave of the load, and many grants at tens per second.
SHARES_TIME_S = 10.0
# Requests counted before a route or workspace can be seen as starved.
MIN_ASKED = 3.0
# Ratio of the served share of a route or workspace to that of all requests
# below which it goes first. Callers require 0.25 of both. The rest is a
# margin; workspaces have a larger one, as each has few requests to count.
MIN_ROUTE_RATIO = 0.4
MIN_WORKSPACE_RATIO = 0.8
RETURN_TIME_S = 1.0  # after Retry-After, for which a caller is remembered
ALL_REQUESTS = ()  # the key by which each request is counted
MAX_REFUSED = 4000  # refused callers that are remembered


class QueuedRequest(structs.Struct):
    """A request in the queue; ``level`` puts the most urgent first.

    It waits from ``queued_at`` until ``expires`` at most, in seconds, and
    must end by ``deadline``.
    """

    __slots__ = (
        "level",
        "request",
        "sender",
        "queued_at",
        "expires",
        "deadline",
    )

    def find_max_risk(self, now):
        """Return the highest risk that the request accepts at present.

        It grows with the share of the maximum wait that has elapsed.
        """
        max_wait = max(self.expires - self.queued_at, 1e-6)
        wait_share = (
            FINAL_ATTEMPT_WAIT_SHARE
            if self.request.is_last_attempt
            else RETRYABLE_WAIT_SHARE
        )
        elapsed_share = min(
            1.0, (now - self.queued_at) / (wait_share * max_wait)
        )
        return (
            selection.INITIAL_MAX_RISK
            + (1.0 - selection.INITIAL_MAX_RISK) * elapsed_share
        )


class DecayingCounts:
    """Counts by key that decay with one time constant, in seconds."""

    __slots__ = ("time_constant", "_counts", "_started")

    MAX_EXPONENT = 50.0  # of the weights before they are scaled down

    def __init__(self, time_constant):
        self.time_constant = time_constant
        self._counts = {}
        self._started = 0.0

    def add(self, key, now):
        """Add one to the count of a key."""
        exponent = (now - self._started) / self.time_constant
        if exponent > self.MAX_EXPONENT:
            self._rescale(now, exponent)
            exponent = 0.0
        weight = math.exp(exponent)
        self._counts[key] = self._counts.get(key, 0.0) + weight

    def measure(self, key, now):
        """Return the decayed count of a key."""
        return self._counts.get(key, 0.0) * self._find_factor(now)

    def _find_factor(self, now):
        return math.exp((self._started - now) / self.time_constant)

    def _rescale(self, now, exponent):
        factor = math.exp(-min(exponent, 700.0))
        self._counts = {
            key: count * factor
            for key, count in self._counts.items()
            if count * factor > 1e-3
        }
        self._started = now


class AdmissionQueue:
    """The queued requests of a service and what was served recently."""

    __slots__ = (
        "entries",
        "asked",
        "granted",
        "usage",
        "returns_at",
    )

    def __init__(self):
        self.entries = []
        # By the keys of _list_keys; of this coordinator.
        self.asked = DecayingCounts(SHARES_TIME_S)
        self.granted = DecayingCounts(SHARES_TIME_S)
        # Grants by workspace, of all coordinators.
        self.usage = DecayingCounts(SHARES_TIME_S)
        # Time until which the last refused caller was told to wait, by
        # fingerprint.
        self.returns_at = {}

    def __len__(self):
        return len(self.entries)

    def __iter__(self):
        return iter(self.entries)

    def has_attempt(self, attempt_id):
        """Return whether an attempt is queued."""
        return any(q.request.attempt_id == attempt_id for q in self.entries)

    def add(self, request, sender, max_wait, now):
        """Queue a request for at most ``max_wait`` seconds."""
        self.entries.append(
            QueuedRequest(
                self.find_level(request),
                request,
                sender,
                now,
                now + max_wait,
                now + request.time_left,
            )
        )

    def remove(self, attempt_id):
        """Remove an attempt, if it is queued."""
        self.entries = [
            q for q in self.entries if q.request.attempt_id != attempt_id
        ]

    def record_arrival(self, request, now):
        """Count a first attempt, unless its caller was refused before."""
        if request.retry_count or self._is_return(request, now):
            return
        for key in _list_keys(request):
            self.asked.add(key, now)

    def record_grant(self, request, now):
        """Count the grant of this coordinator for a request."""
        self.usage.add(request.workspace, now)
        if not request.retry_count:
            for key in _list_keys(request):
                self.granted.add(key, now)

    def record_remote_grant(self, notice, now):
        """Count the grant of another coordinator."""
        self.usage.add(notice.workspace, now)

    def record_refusal(self, request, retry_after, now):
        """Remember a refused caller, who may return after Retry-After."""
        self.returns_at.pop(request.fingerprint, None)
        self.returns_at[request.fingerprint] = now + retry_after
        if len(self.returns_at) > MAX_REFUSED:
            del self.returns_at[next(iter(self.returns_at))]

    def _is_return(self, request, now):
        """Return whether a request may be that of a refused caller.

        One that comes before Retry-After is of another caller who sends the
        same request. Were it not counted, a route with many such callers
        would never count as starved.
        """
        returns_at = self.returns_at.get(request.fingerprint)
        if returns_at is None:
            return False
        return returns_at <= now < returns_at + RETURN_TIME_S

    def find_level(self, request):
        """Return the sort key of the request's priority; lower goes first."""
        priority = request.workspace_priority
        if priority is None:
            priority = request.priority
        rank = 0 if request.retry_count else 1
        return (rank, priority, request.priority)

    def find_max_wait(self, request):
        """Return the seconds for which a request may queue."""
        return MAX_WAIT_SHARE * min(request.target, request.time_left)

    def measure_served_share(self, now):
        """Return the share of all requests that got a grant."""
        asked = self.asked.measure(ALL_REQUESTS, now)
        if asked < MIN_ASKED:
            return 1.0
        return min(1.0, self.granted.measure(ALL_REQUESTS, now) / asked)

    def measure_rate(self, now):
        """Return the first attempts of new callers per second."""
        return self.asked.measure(ALL_REQUESTS, now) / SHARES_TIME_S

    def sort(self, now):
        """Return the queued requests, the first to be served first."""
        find_key = self._make_key_function(now)
        return sorted(self.entries, key=find_key)

    def count_ahead(self, request, now):
        """Return how many queued requests go before a new one."""
        if not self.entries:
            return 0
        find_key = self._make_key_function(now)
        new = QueuedRequest(
            self.find_level(request),
            request,
            None,
            now,
            now,
            now + request.time_left,
        )
        new_key = find_key(new)
        return sum(1 for q in self.entries if find_key(q) <= new_key)

    def _make_key_function(self, now):
        """Return the function that gives the sort key of a QueuedRequest."""
        overall = self.measure_served_share(now)
        starved, usages = {}, {}

        def find_key(queued):
            request = queued.request
            route, workspace = request.route, request.workspace
            if route not in starved:
                starved[route] = self._is_starved(
                    route, MIN_ROUTE_RATIO * overall, now
                )
            if workspace and ("", workspace) not in starved:
                starved[("", workspace)] = self._is_starved(
                    ("", workspace), MIN_WORKSPACE_RATIO * overall, now
                )
            if workspace not in usages:
                usages[workspace] = self.usage.measure(workspace, now)
            is_starved = starved[route] or starved.get(("", workspace), False)
            retry_rank, *priorities = queued.level
            return (
                retry_rank,
                not is_starved,
                priorities,
                usages[workspace],
                queued.deadline,
                queued.queued_at,
            )

        return find_key

    def _is_starved(self, key, min_share, now):
        asked = self.asked.measure(key, now)
        if asked < MIN_ASKED:
            return False
        return self.granted.measure(key, now) < min_share * asked


def _list_keys(request):
    """Return the keys by which a request is counted.

    A route counts by its name, a workspace by ("", name).
    """
    if request.workspace:
        return (ALL_REQUESTS, request.route, ("", request.workspace))
    return (ALL_REQUESTS, request.route)
