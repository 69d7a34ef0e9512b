"""A caller's request in progress, and what is known of its attempts."""

import asyncio

import xxhash

from acaciafield.gateway import attempts
from acaciafield.gateway import scheduling
from acaciafield import structs
from acaciafield_daemon.gateway import upstream

UNAUTHORIZED_STATUS = 401
LIMITED_STATUS = 429
UNAVAILABLE_STATUS = 503
OVERLOAD_RETRY_AFTER_S = 0.3  # where neither worker nor coordinator gave one
LIMITED = "limited"  # outcome of a request over the quota
DEFAULT_TIMEOUT_S = 30.0  # for a caller that sends no deadline


class NoGrant(structs.Struct):
    """An attempt without a grant.

    ``retry_after`` is in seconds, or None. ``refused_status`` is the status
    for the caller if a check of the node itself refused the attempt.
    """

    __slots__ = ("reason", "retry_after", "refused_status", "is_hedge")
    DEFAULTS = {"refused_status": None, "is_hedge": False}

    @property
    def status(self):
        """The status of the answer if no attempt may have run."""
        if self.refused_status is not None:
            return self.refused_status
        return LIMITED_STATUS if self.is_limited else UNAVAILABLE_STATUS

    @property
    def outcome(self):
        """The name of this end of a request in the log and the metrics."""
        return LIMITED if self.is_limited else "refused"

    @property
    def is_limited(self):
        """Whether the workspace is over its quota."""
        return self.reason == scheduling.RefusalReason.QUOTA


class Call:
    """A caller's request in progress.

    ``deadline`` is the time of this process's clock at which the timeout
    of the caller or the route ends, ``caller_deadline`` that of the
    caller alone. ``key`` is the caller's and ``workspace`` the
    workspaces.Workspace that holds it, None where the route needs no key.
    ``sent_at`` is the time at which the last attempt was
    sent, ``hedge_after`` the seconds from then to a hedge, or None.
    ``changed`` is set when an attempt goes to a worker and when the call
    is aborted, as ``is_aborted`` then says.
    ``ended_attempts`` lists the GrantRequest, Grant and
    upstream.AttemptResult of each attempt that ended; ``is_answered`` is
    set once one has the answer for the caller. ``hedges`` has the numbers of
    the attempts that are hedges, of which ``refused_hedges`` were refused.
    """

    __slots__ = (
        "outgoing",
        "route",
        "service",
        "started",
        "deadline",
        "caller_deadline",
        "fingerprint",
        "key",
        "workspace",
        "retry_state",
        "tried_workers",
        "attempt_count",
        "hedge_after",
        "sent_at",
        "changed",
        "is_aborted",
        "ended_attempts",
        "is_answered",
        "hedges",
        "refused_hedges",
    )

    def __init__(self, outgoing, route, started, time_left, fingerprint):
        self.outgoing = outgoing
        self.route = route
        self.service = route.choose_service(outgoing.request_id)
        self.started = started
        self.deadline = started + min(time_left, route.timeout)
        self.caller_deadline = started + time_left
        self.fingerprint = fingerprint
        self.key = None
        self.workspace = None
        self.retry_state = attempts.RetryState(
            route.idempotent, route.max_attempts
        )
        self.tried_workers = []
        self.attempt_count = 0
        self.hedge_after = None
        self.sent_at = None
        self.changed = asyncio.Event()
        self.is_aborted = False
        self.ended_attempts = []
        self.is_answered = False
        self.hedges = set()
        self.refused_hedges = 0

    def abort(self):
        """End the call without waiting for its attempts."""
        self.is_aborted = True
        self.changed.set()

    def is_at_worker(self):
        """Return whether an attempt was sent and has not ended."""
        return len(self.tried_workers) > len(self.ended_attempts)


def choose_failure(last_failure, result):
    """Return the failure that is more informative for the caller."""
    if not may_have_run(last_failure):
        # The last refusal counts. That of a grant comes after a worker's, and
        # knows of the other workers and of the caller's quota.
        return result
    if isinstance(result, NoGrant) or not result.is_forwardable:
        return last_failure
    return result


def make_refusal(call, last_failure):
    """Return the NoGrant with which to refuse a call that no worker has run.

    ``last_failure`` is what choose_failure chose, or None.
    """
    if not isinstance(last_failure, NoGrant):
        return NoGrant("", _find_worker_retry_after(call))
    retry_after = last_failure.retry_after
    if retry_after is not None and call.ended_attempts:
        retry_after = max(retry_after, OVERLOAD_RETRY_AFTER_S)
    return NoGrant(
        last_failure.reason, retry_after, last_failure.refused_status
    )


def _find_worker_retry_after(call):
    """Return the shortest time for which the workers of a call refuse."""
    return min(
        (
            result.retry_after or OVERLOAD_RETRY_AFTER_S
            for _, _, result in call.ended_attempts
        ),
        default=OVERLOAD_RETRY_AFTER_S,
    )


def may_have_run(result):
    """Return whether a worker may have executed an attempt."""
    if not isinstance(result, upstream.AttemptResult):
        return False
    return result.ending not in attempts.NOT_RUN_ENDINGS


def parse_timeout(text):
    """Return the seconds in a deadline header, in milliseconds there.

    >>> parse_timeout("1500")
    1.5
    >>> parse_timeout(None)
    30.0
    >>> parse_timeout("9" * 400)
    30.0
    """
    try:
        return max(0.0, int(text) / 1000.0)
    except (TypeError, ValueError, OverflowError):
        return DEFAULT_TIMEOUT_S


def start_fingerprint(request):
    """Return the hash of a request, which must still read its body.

    All repetitions of a request share the hexadecimal digest.
    """
    digest = xxhash.xxh3_64()
    for part in (
        request.method,
        request.headers.get("Host", ""),
        request.raw_path,
        request.remote or "",
    ):
        digest.update(part.encode())
        digest.update(b"\0")
    return digest
