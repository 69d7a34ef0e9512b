"""Requests for grants, retried at the next coordinator on a timeout."""

import asyncio
import itertools

from acaciafield.gateway import messages
from acaciafield.gateway import scheduling
from acaciafield import outcomes

FIRST_TIMEOUT_S = 0.06  # one round trip to a busy coordinator
MAX_TIMEOUT_S = 0.5  # the timeout doubles up to this value
# Reasons for which this node does not use a grant that it received.
UNUSABLE_GRANT_REASONS = (
    scheduling.RefusalReason.STALE,
    scheduling.RefusalReason.PAUSED,
)
UNUSABLE_GRANT_PAUSE_S = 0.002  # before the next coordinator is tried
QUEUED_REFRESH_S = 0.4  # period in which a queued request is sent again


class PendingGrant:
    """This node's request for a grant that has no answer yet."""

    __slots__ = ("answer", "is_queued", "changed")

    def __init__(self):
        self.answer = None
        self.is_queued = False
        self.changed = asyncio.Event()

    def record_message(self, message):
        """Record a Grant, GrantQueued or GrantRefusal message."""
        if isinstance(message, messages.GrantQueued):
            self.is_queued = True
        elif self.answer is None:
            self.answer = message
        self.changed.set()

    async def wait(self, timeout):
        """Wait for the next message, at most ``timeout`` seconds."""
        self.changed.clear()
        if self.answer is not None:
            return
        try:
            async with asyncio.timeout(timeout):
                await self.changed.wait()
        except TimeoutError:
            return


def _is_refused_for(answer, *reasons):
    """Return whether an answer is a refusal for one of the reasons."""
    return (
        isinstance(answer, messages.GrantRefusal) and answer.reason in reasons
    )


class GrantRequester:
    """Requests grants from coordinators on behalf of one node.

    ``pending_requests`` maps the attempt id of each unanswered request to
    its PendingGrant.
    """

    __slots__ = ("state", "send", "clock", "log", "pending_requests")

    def __init__(self, state, send, clock, log):
        self.state = state
        self.send = send
        self.clock = clock
        self.log = log
        self.pending_requests = {}

    def deliver(self, message):
        """Deliver an answer to the pending request that it belongs to."""
        pending = self.pending_requests.get(message.attempt_id)
        if pending is not None:
            pending.record_message(message)

    async def request_grant(self, request, give_up_at):
        """Return a Grant or GrantRefusal, or None without an answer.

        ``give_up_at`` is a time of this process's clock, in seconds.
        """
        pending = self.pending_requests[request.attempt_id] = PendingGrant()
        deadline = self.clock() + request.time_left
        try:
            timeout = FIRST_TIMEOUT_S
            for name in itertools.cycle(
                self._rank_coordinators(request.service)
            ):
                if self.clock() >= give_up_at:
                    return pending.answer
                request.time_left = round(deadline - self.clock(), 3)
                answer = await self._request_from(
                    name, request, pending, timeout
                )
                if _is_refused_for(answer, *UNUSABLE_GRANT_REASONS):
                    self.withdraw_request(request)
                    pending.answer = None
                    await asyncio.sleep(UNUSABLE_GRANT_PAUSE_S)
                elif answer is not None:
                    if _is_refused_for(
                        answer, scheduling.RefusalReason.QUARANTINED
                    ):
                        # The coordinator may have sent a grant that this node
                        # did not use.
                        self.withdraw_request(request)
                    return self._set_pause_retry_after(answer, request.service)
                timeout = min(MAX_TIMEOUT_S, 2.0 * timeout)
        except asyncio.CancelledError:
            # A grant may have arrived that the caller never sees.
            if pending.answer is not None:
                self.withdraw_request(request)
            raise
        finally:
            del self.pending_requests[request.attempt_id]
            if pending.answer is None:
                self.withdraw_request(request)

    def _rank_coordinators(self, service):
        now = self.clock()
        include_local = self.state.may_grant_locally(now)
        return self.state.membership.rank_coordinators(
            service, now, include_local
        )

    def _set_pause_retry_after(self, answer, service):
        """Set the retry time to the end of the shortest worker pause."""
        if _is_refused_for(answer, scheduling.RefusalReason.AVOIDED):
            remaining_pause = self.state.pauses.find_remaining_pause(
                service, self.clock()
            )
            if remaining_pause is not None:
                answer.retry_after = max(
                    scheduling.MIN_RETRY_AFTER_S, remaining_pause
                )
        return answer

    def _send_request(self, name, request):
        paused = self.state.pauses.list_paused(request.service, self.clock())
        request.avoided_workers = sorted({*request.avoided_workers, *paused})
        self.send(name, request)

    async def _request_from(self, name, request, pending, timeout):
        pending.is_queued = False
        self._send_request(name, request)
        if pending.answer is None and not pending.is_queued:
            await pending.wait(timeout)
        while pending.answer is None and pending.is_queued:
            await pending.wait(QUEUED_REFRESH_S)
            if pending.answer is None:
                pending.is_queued = False
                self._send_request(name, request)
                if not pending.is_queued:
                    await pending.wait(timeout)
        if pending.answer is None:
            now = self.clock()
            self.state.membership.record_missed_request(name, now)
            self.log.write(
                "coordinator-silent", peer=name, ask=request.attempt_id
            )
        return pending.answer

    def withdraw_request(self, request):
        """Notify the coordinators that the grant is no longer needed."""
        message = messages.GrantWithdrawal(request.service, request.attempt_id)
        self.notify_coordinators(message)

    def send_report(self, report, granted_by):
        """Send the report of an ended attempt.

        The coordinator that granted it passes the report on, unless it may
        be down. This node also records crashes, and whether a worker leaves
        or requests a pause, because coordinators may change.
        """
        local_name = self.state.local_member.name
        must_record = must_record_locally(report)
        holders = self.state.membership.list_evidence_holders(
            report.service, self.clock()
        )
        if granted_by not in holders or self._may_be_down(granted_by):
            local_names = {local_name} if must_record else set()
            self.notify_coordinators(report, {granted_by, *local_names})
            return
        is_local_copy_needed = must_record or local_name in holders
        if is_local_copy_needed and granted_by != local_name:
            self.send(local_name, report)
        report.is_relayed = True
        self.send(granted_by, report)

    def _may_be_down(self, name):
        """Return whether a coordinator is suspected not to pass on reports."""
        candidate, now = self.state.membership.candidates[name], self.clock()
        return candidate.backoff_until > now or candidate.is_unresponsive(now)

    def notify_coordinators(self, message, names=()):
        """Send a message to its service's coordinators and to ``names``."""
        membership = self.state.membership
        coordinators = membership.list_evidence_holders(
            message.service, self.clock()
        )
        names = {*coordinators, *names} - {""}
        for name in sorted(names):
            self.send(name, message)


def must_record_locally(report):
    """Return whether the node that sent an attempt keeps its report.

    That is so for a crash, and where a worker leaves or requests a pause.
    """
    if report.leaving or report.pause is not None:
        return True
    return report.ending == outcomes.Ending.RESET.value
