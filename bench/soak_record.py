"""The observations of a soak test and the guarantees that they violate."""

import collections
import math

from acaciafield import structs

DEADLINE_S = 2.0  # of a caller's request

# Limits that the gateway's documentation guarantees.
MAX_DRAIN_S = 2.0  # until a draining worker receives no more requests
PAUSE_SLACK_S = 0.5  # from a worker's request for a pause to its effect
MAX_REQUESTS_IN_PAUSE = 2  # that still reach the worker from one node
MAX_RUNS_AFTER_CRASHES = 3  # of a request that crashes workers
UNDISTURBED_TIME_S = 3.0  # without disruption before a guarantee applies


class SentRequest(structs.Struct):
    """A request and its result at the caller; times in seconds.

    ``status`` is 0 for a connection that ended without an answer,
    ``address`` is that of the node, and ``is_expected`` whether the
    answer is the one to this request.
    """

    __slots__ = (
        "request_id",
        "is_order",
        "address",
        "started_at",
        "ended_at",
        "status",
        "is_expected",
    )


class WorkerNotice(structs.Struct):
    """A worker's notice, in its answer to a request, that it pauses or leaves.

    ``pause`` is in seconds, or None for a worker that leaves.
    """

    __slots__ = ("worker_id", "request_id", "at", "pause")


class Record:
    """All observations of callers and workers in one soak test."""

    def __init__(self):
        self.sent = []
        self.runs = collections.defaultdict(list)
        self.disruptions = []
        self.drained_at = {}
        self.arrivals = collections.defaultdict(list)
        self.notices = []
        self.crash_times = []
        self.stops = []
        self.versions = collections.defaultdict(list)
        self.fault_counts = collections.Counter()
        self.fallen = []  # nodes that a crowd ended, a line of text each

    def is_undisturbed(self, start, end):
        """Return whether no disruption overlaps the time span."""
        return not any(a < end and b > start for a, b in self.disruptions)

    def find_violations(self):
        """Return a line for each violated guarantee."""
        return [
            *self._find_wrong_answers(),
            *self._find_repeated_runs(),
            *self._find_refused_runs(),
            *self._find_runs_after_drain(),
            *self._find_cut_requests(),
            *self._find_reverted_versions(),
            *self._find_ignored_notices(),
            *self._find_repeated_crashes(),
        ]

    def _find_wrong_answers(self):
        for sent in self.sent:
            if sent.status == 200 and not sent.is_expected:
                yield "%s got another answer" % sent.request_id

    def _find_repeated_runs(self):
        for sent in self.sent:
            count = len(self.runs.get(sent.request_id, ()))
            if sent.is_order and count > 1:
                yield "%s ran %d times" % (sent.request_id, count)

    def _find_refused_runs(self):
        for sent in self.sent:
            if sent.is_order and sent.status in (408, 421, 429, 503):
                if sent.request_id in self.runs:
                    yield "%s was refused and ran" % sent.request_id

    def _find_runs_after_drain(self):
        for request_id, found in self.runs.items():
            for worker_id, at in found:
                drained_at = self.drained_at.get(worker_id)
                if drained_at is None or at <= drained_at + MAX_DRAIN_S:
                    continue
                if self.is_undisturbed(drained_at - UNDISTURBED_TIME_S, at):
                    yield "%s reached %s, which had left" % (
                        request_id,
                        worker_id,
                    )

    def _find_cut_requests(self):
        for sent in self.sent:
            if sent.status or sent.request_id not in self.runs:
                continue
            for address, start, end in self.stops:
                if sent.address != address or not start < sent.ended_at < end:
                    continue
                if sent.ended_at - sent.started_at < DEADLINE_S:
                    yield "%s was cut by a stop" % sent.request_id

    def _find_reverted_versions(self):
        for process, found in self.versions.items():
            if found != sorted(found):
                yield "%s went back: %s" % (process, found)

    def _find_ignored_notices(self):
        """Find requests that a node sent in spite of a worker's notice."""
        requests = {sent.request_id: sent for sent in self.sent}
        for notice in self.notices:
            request = requests.get(notice.request_id)
            if request is None:
                continue
            start, end = notice.at + PAUSE_SLACK_S, notice.at + (
                notice.pause or 0.0
            )
            if notice.pause is None:
                start, end = request.ended_at + MAX_DRAIN_S, math.inf
            late = [
                request_id
                for request_id, at in self.arrivals[notice.worker_id]
                if request_id in requests
                and requests[request_id].address == request.address
                and start < at < end
                and requests[request_id].started_at > start
                and self.is_undisturbed(notice.at - UNDISTURBED_TIME_S, at)
            ]
            if len(late) > (
                0 if notice.pause is None else MAX_REQUESTS_IN_PAUSE
            ):
                yield "%s reached %s after its notice to %s" % (
                    ", ".join(late),
                    notice.worker_id,
                    request.address,
                )

    def _find_repeated_crashes(self):
        if len(self.crash_times) < 3:
            return
        counted_from = self.crash_times[2] + UNDISTURBED_TIME_S
        late = [at for at in self.crash_times if at > counted_from]
        late = [
            at
            for at in late
            if self.is_undisturbed(at - UNDISTURBED_TIME_S, at)
        ]
        if len(late) > MAX_RUNS_AFTER_CRASHES:
            yield "a request that crashes workers ran %d times" % len(late)
