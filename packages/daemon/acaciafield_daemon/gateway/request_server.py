"""The server for callers: answers each request exactly once."""

import asyncio

from aiohttp import web

from acaciafield.gateway import attempts
from acaciafield.gateway import messages
from acaciafield import outcomes
from acaciafield_daemon.gateway import authentication
from acaciafield_daemon.gateway import bodies
from acaciafield_daemon.gateway import calls
from acaciafield_daemon.gateway import hedges
from acaciafield_daemon.gateway import responses
from acaciafield_daemon.gateway import upstream

Ending = outcomes.Ending
Step = attempts.Step

# A worker's own answer to a missed deadline may arrive this much later.
LATE_ANSWER_SLACK_S = 0.1
GRANT_WAIT_SHARE = 0.5  # of the target
MIN_GRANT_WAIT_S = 0.3
UNREADY_RETRY_AFTER_S = 1.0
STOPPING_REASON = "stopping"
STOPPING_RETRY_AFTER_S = 0.05  # other nodes can serve the request at once
# Failed requests are all logged; those over a quota may be too many.
LOG_KINDS = {"passed": "served", calls.LIMITED: "limited"}


class RequestServer:
    """Serves callers on one node.

    ``active`` counts the requests in progress; ``calls`` has those that were
    read whole. ``stop`` is the planned_stop.PlannedStop, or None.
    """

    __slots__ = (
        "options",
        "clock",
        "log",
        "metrics",
        "worker_client",
        "grant_requester",
        "configuration",
        "stop",
        "active",
        "calls",
        "body_reader",
        "authenticator",
    )

    def __init__(
        self, options, clock, log, metrics, worker_client, grant_requester
    ):
        self.options = options
        self.clock = clock
        self.log = log
        self.metrics = metrics
        self.worker_client = worker_client
        self.grant_requester = grant_requester
        self.configuration = None
        self.stop = None
        self.active = 0
        self.calls = set()
        self.body_reader = bodies.BodyReader(worker_client.ledger, clock)
        self.authenticator = authentication.Authenticator(
            options, grant_requester.state.freshness, log, metrics
        )

    async def handle_request(self, request):
        """Answer a caller's request."""
        started = self.clock()
        self.active += 1
        try:
            response = await self._handle_request(request, started)
        except asyncio.CancelledError:
            self.log.write(
                "caller-left",
                request=request.headers.get(self.options.headers.request_id),
                after=round(self.clock() - started, 3),
            )
            raise
        finally:
            self.active -= 1
        if self.stop is not None:
            response.force_close()
        return response

    def abort_calls(self):
        """Answer all requests in progress now, as the node exits."""
        for call in self.calls:
            call.abort()

    def _may_send(self, caller_deadline):
        """Return whether a request may go to a worker despite a stop.

        Its answer may take until ``caller_deadline``, a time of the clock.
        """
        if self.stop is None:
            return True
        deadline = caller_deadline + LATE_ANSWER_SLACK_S
        return self.stop.may_send(self.clock(), deadline)

    async def _handle_request(self, request, started):
        header_names = self.options.headers
        request_id = request.headers.get(header_names.request_id, "")
        if not responses.is_text(request_id):
            self.log.write("refused", request=ascii(request_id), reason="id")
            return responses.make_error_response(400, "", header_names)
        configuration = self.configuration
        if configuration is None:
            return self._refuse_request(
                request_id, "unready", UNREADY_RETRY_AFTER_S
            )
        request_target = request.raw_path
        path = request_target.split("?", 1)[0]
        route = configuration.find_route(request.headers.get("Host", ""), path)
        if route is None:
            self.log.write(
                "unrouted",
                request=request_id,
                version=configuration.version,
            )
            return responses.make_error_response(404, request_id, header_names)
        found = self.authenticator.check_request(request, route, configuration)
        if isinstance(found, authentication.KeyRefusal):
            return responses.make_error_response(
                found.status, request_id, header_names, found.retry_after
            )
        if not route.split:
            return self._refuse_request(
                request_id, "route-unreadable", UNREADY_RETRY_AFTER_S
            )
        time_left = calls.parse_timeout(
            request.headers.get(header_names.deadline_ms)
        )
        if not self._may_send(started + time_left):
            return self._refuse_request(
                request_id, STOPPING_REASON, STOPPING_RETRY_AFTER_S
            )
        deadline = started + min(time_left, route.timeout)
        body = await self.body_reader.read(
            request, configuration.limits, deadline
        )
        if isinstance(body, bodies.BodyRefusal):
            return self._refuse_body(request_id, body.status)
        try:
            headers = responses.copy_end_to_end_headers(request.headers)
            self.authenticator.remove_headers(headers)
            outgoing = upstream.OutgoingRequest(
                request.method, request_target, headers, body, request_id
            )
            digest = body.digest.hexdigest()
            call = calls.Call(outgoing, route, started, time_left, digest)
            key = self.authenticator.read_key(request)
            self.authenticator.assign_workspace(call, key, found)
            return await self._serve_call(call, request)
        finally:
            self.body_reader.release(body)

    def _refuse_body(self, request_id, status):
        """Refuse a request whose body was not read whole."""
        self.log.write("body-refused", request=request_id, status=status)
        retry_after = (
            calls.OVERLOAD_RETRY_AFTER_S
            if status == bodies.STATUS_NO_ROOM
            else None
        )
        response = responses.make_error_response(
            status, request_id, self.options.headers, retry_after
        )
        response.force_close()
        return response

    async def _serve_call(self, call, request):
        running = set()
        last_failure = None
        self.calls.add(call)
        try:
            self._start_attempt(call, running)
            while running:
                done = await self._wait_for_attempts(call, running)
                if not done:
                    if call.is_aborted:
                        return self._answer_abort(call, last_failure)
                    if self.clock() >= call.deadline:
                        return self._answer_timeout(call, last_failure)
                    hedges.record_due(call)
                    self._start_attempt(call, running)
                    continue
                for task in done:
                    running.remove(task)
                    result = task.result()
                    response = await self._process_result(
                        call, result, request, running
                    )
                    if response is not None:
                        return response
                    last_failure = calls.choose_failure(last_failure, result)
            return self._answer_failure(call, last_failure)
        finally:
            self.calls.discard(call)
            for task in running:
                task.cancel()
            for grant_request, grant, result in call.ended_attempts:
                if result.open_response is not None:
                    self._report_attempt(call, grant_request, grant, result)
                self.worker_client.release(result)

    async def _wait_for_attempts(self, call, running):
        """Wait until an attempt ends, a hedge is due or the deadline passes.

        Return the attempts that ended; none if the call is aborted.
        """
        while not call.is_aborted:
            call.changed.clear()
            until = call.deadline + LATE_ANSWER_SLACK_S
            if self._may_hedge(call, running):
                until = min(until, call.sent_at + call.hedge_after)
            changed = asyncio.ensure_future(call.changed.wait())
            try:
                done, _ = await asyncio.wait(
                    [*running, changed],
                    timeout=max(0.0, until - self.clock()),
                    return_when=asyncio.FIRST_COMPLETED,
                )
            finally:
                changed.cancel()
            if done != {changed}:
                return done - {changed}
        return set()

    def _may_hedge(self, call, running):
        if call.hedge_after is None or not call.route.idempotent:
            return False
        time_left = call.deadline - self.clock()
        return call.retry_state.may_send(time_left, len(running))

    def _start_attempt(self, call, running):
        call.attempt_count += 1
        running.add(
            asyncio.ensure_future(self._run_attempt(call, call.attempt_count))
        )

    async def _process_result(self, call, result, request, running):
        if isinstance(result, calls.NoGrant):
            if hedges.must_retry(call, result, len(running), self.clock()):
                self._start_attempt(call, running)
            return None
        call.retry_state.count_attempt(result.ending)
        time_left = call.deadline - self.clock()
        step = call.retry_state.decide_step(
            result.ending, time_left, len(running)
        )
        if step is Step.FORWARD:
            hedges.record_answer(call, result, self.metrics)
            for task in running:
                task.cancel()
            return await self._forward_answer(call, result, request)
        if step is Step.RETRY:
            self._start_attempt(call, running)
        return None

    async def _run_attempt(self, call, number):
        if not self._may_send(call.caller_deadline):
            return self._refuse_to_send(call, number)
        grant_request = self._make_grant_request(call, number)
        max_wait = max(MIN_GRANT_WAIT_S, GRANT_WAIT_SHARE * call.route.target)
        give_up_at = min(call.deadline, self.clock() + max_wait)
        answer = await self.grant_requester.request_grant(
            grant_request, give_up_at
        )
        if not isinstance(answer, messages.Grant):
            reason = answer.reason if answer else "no-coordinator"
            retry_after = (
                answer.retry_after if answer else calls.OVERLOAD_RETRY_AFTER_S
            )
            is_hedge = number in call.hedges
            self.log.write(
                "refused",
                request=call.outgoing.request_id,
                service=call.service,
                attempt=number,
                reason=reason,
                retry_after=retry_after,
                hedge=is_hedge,
            )
            if is_hedge:
                hedges.record_refusal(call, self.metrics)
            return calls.NoGrant(reason, retry_after, is_hedge=is_hedge)
        if not self._may_send(call.caller_deadline):
            self.grant_requester.withdraw_request(grant_request)
            return self._refuse_to_send(call, number)
        refusal = self.authenticator.check_call(call, self.configuration)
        if refusal is not None:
            self.grant_requester.withdraw_request(grant_request)
            return calls.NoGrant(
                refusal.reason, refusal.retry_after, refusal.status
            )
        return await self._send_attempt(call, grant_request, answer)

    def _refuse_to_send(self, call, number):
        """Return the NoGrant of an attempt that might outlast the node."""
        self.log.write(
            "refused",
            request=call.outgoing.request_id,
            service=call.service,
            attempt=number,
            reason=STOPPING_REASON,
            retry_after=STOPPING_RETRY_AFTER_S,
        )
        return calls.NoGrant(STOPPING_REASON, STOPPING_RETRY_AFTER_S)

    def _make_grant_request(self, call, number):
        route = call.route
        return messages.GrantRequest(
            "%s:%d" % (call.outgoing.request_id, number),
            self.options.name,
            self.options.zone,
            call.service,
            route.name,
            route.idempotent,
            route.priority,
            route.target,
            call.deadline - self.clock(),
            number - 1,
            hedges.is_last(call, number),
            list(call.tried_workers),
            call.fingerprint,
            call.workspace.name if call.workspace else "",
            call.workspace.priority if call.workspace else None,
            is_hedge=number in call.hedges,
        )

    async def _send_attempt(self, call, grant_request, grant):
        if grant_request.is_hedge:
            hedges.count(self.metrics, call, hedges.Result.SENT)
        call.tried_workers.append(grant.worker_id)
        call.sent_at = self.clock()
        call.hedge_after = grant.hedge_after
        call.changed.set()
        result = upstream.AttemptResult(Ending.CANCELLED)
        started = self.clock()
        try:
            time_left = call.deadline - started
            result = await self.worker_client.send(
                call.outgoing, grant.worker_id, grant.address, time_left
            )
        finally:
            if result.ending is Ending.CANCELLED:
                result.latency = self.clock() - started
            call.ended_attempts.append((grant_request, grant, result))
            # An answer that is still arriving is reported when it ends.
            if result.open_response is None:
                self._report_attempt(call, grant_request, grant, result)
        return result

    def _report_attempt(self, call, grant_request, grant, result):
        self.metrics.count(
            "attempts",
            service=call.service,
            ending=result.ending.value,
            repeat=int(grant_request.retry_count > 0),
        )
        if result.limit is not None:
            self.metrics.count(
                "aborted_answers",
                service=call.service,
                limit=result.limit.value,
            )
        is_superseded = hedges.is_superseded(call, result)
        report = messages.AttemptReport(
            call.service,
            grant_request.attempt_id,
            self.options.name,
            grant.worker_id,
            call.route.name,
            result.ending.value,
            round(result.latency, 3),
            result.size + len(call.outgoing.body),
            result.load,
            call.fingerprint,
            grant.entry_version[0],
            result.leaving,
            result.pause,
            is_superseded=is_superseded,
        )
        self.grant_requester.send_report(report, grant.granted_by)
        self.log.write(
            "attempt",
            request=call.outgoing.request_id,
            ask=grant_request.attempt_id,
            worker=grant.worker_id,
            granter=grant.granted_by,
            list_age=grant.list_age,
            repeats=grant_request.retry_count,
            hedge=grant_request.is_hedge,
            superseded=is_superseded,
            fingerprint=call.fingerprint,
            left=round(grant_request.time_left, 3),
            ending=result.ending.value,
            status=result.status,
            latency=round(result.latency, 3),
            load=result.load,
            leaving=result.leaving,
            pause=result.pause,
            limit=result.limit.value if result.limit is not None else None,
        )

    async def _forward_answer(self, call, result, request):
        response = await responses.forward_answer(
            result,
            request,
            self.clock,
            call.caller_deadline,
            self.worker_client,
        )
        is_answered = result.ending is Ending.ANSWERED
        outcome = "passed" if is_answered else "broken-off"
        self._record_end(call, outcome, result.status)
        return response

    def _answer_timeout(self, call, last_failure):
        if call.sent_at is None:
            return self._answer_failure(call, last_failure)
        self._record_end(call, "timeout", 504)
        return responses.make_error_response(
            504, call.outgoing.request_id, self.options.headers
        )

    def _answer_abort(self, call, last_failure):
        """Answer a request that the exit of the node ends."""
        if not call.is_at_worker():
            return self._answer_failure(call, last_failure)
        self._record_end(call, "unknown", 502)
        return responses.make_error_response(
            502, call.outgoing.request_id, self.options.headers
        )

    def _answer_failure(self, call, last_failure):
        header_names = self.options.headers
        request_id = call.outgoing.request_id
        if calls.may_have_run(last_failure):
            if not last_failure.is_forwardable:
                self._record_end(call, "unknown", 502)
                return responses.make_error_response(
                    502, request_id, header_names
                )
            self._record_end(call, "failed", last_failure.status)
            return web.Response(
                status=last_failure.status,
                headers=responses.copy_end_to_end_headers(
                    last_failure.headers
                ),
                body=last_failure.body,
            )
        refusal = calls.make_refusal(call, last_failure)
        self._record_end(call, refusal.outcome, refusal.status)
        return responses.make_error_response(
            refusal.status, request_id, header_names, refusal.retry_after
        )

    def _refuse_request(self, request_id, reason, retry_after):
        self.metrics.count("refused", reason=reason)
        self.log.write("refused", request=request_id, reason=reason)
        return responses.make_error_response(
            503, request_id, self.options.headers, retry_after
        )

    def _record_end(self, call, outcome, status):
        latency = self.clock() - call.started
        self.metrics.count("requests", route=call.route.name, outcome=outcome)
        self.metrics.record_latency(call.route.name, latency)
        kind = LOG_KINDS.get(outcome, "failed")
        self.log.write(
            kind,
            request=call.outgoing.request_id,
            outcome=outcome,
            status=status,
            route=call.route.name,
            service=call.service,
            version=self.configuration.version,
            attempts=call.attempt_count,
            workers=list(call.tried_workers),
            latency=round(latency, 3),
            late=latency > call.route.target,
        )
