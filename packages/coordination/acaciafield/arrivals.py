"""Admission of requests: class of work, deadline and key."""

from acaciafield import attempts
from acaciafield import classes
from acaciafield import effects
from acaciafield import keys
from acaciafield import requests

QUICK_DEADLINE_S = 10.0  # used if the caller sets no timeout


def admit_request(event, state, now, out):
    """Admit a caller's request, or refuse it at once."""
    request_id = event.request_id
    if not state.config.is_loaded:
        _refuse_request(
            request_id,
            503,
            "This node has no configuration yet.",
            out,
            retry_after=1.0,
        )
        return
    service = state.config.find_service(event.service)
    if service is None:
        text = "There is no service %s." % event.service
        _refuse_request(request_id, 404, text, out)
        return
    work_class = service.find_class(event.method, event.class_name)
    if work_class is None:
        text = "The service %s has no class of work %s."
        _refuse_request(
            request_id, 404, text % (event.service, event.class_name), out
        )
        return
    time_limit = _find_time_limit(work_class, event.timeout)
    request = requests.Request(event, work_class, now + time_limit)
    parsed = _parse_key(request, out)
    if parsed is False:
        return
    state.requests[request_id] = request
    state.timers.subscribe(
        ("deadline", request_id),
        now + time_limit,
        requests.DeadlineTimer(request_id),
    )
    if parsed is None:
        attempts.request_permit(request, state, now, out)
    else:
        state.bind_key(request, parsed, now, out)


def _parse_key(request, out):
    """Return the parsed key, None without a key, or False if refused."""
    event = request.event
    if request.idempotent:
        return None
    if event.key is None:
        if request.work_class.key_required:
            text = "The class of work %s needs an Idempotency-Key."
            _refuse_request(
                event.request_id, 400, text % request.work_class.name, out
            )
            return False
        return None
    parsed = keys.parse_key(event.service, event.key)
    if parsed.is_error():
        _refuse_request(event.request_id, 400, parsed.error, out)
        return False
    return parsed.ok


def _find_time_limit(work_class, timeout):
    """Return the request's time limit (s), which the caller can shorten."""
    time_limit = {
        classes.Target.QUICK: max(QUICK_DEADLINE_S, work_class.within),
        classes.Target.ONCE: work_class.within,
        classes.Target.FINISH: work_class.within,
    }[work_class.target]
    if timeout is not None:
        time_limit = min(time_limit, timeout)
    return time_limit


def _refuse_request(request_id, status, title, out, retry_after=None):
    out.append(
        effects.SendProblem(
            request_id,
            status,
            title,
            requests.Outcome.NOT_RUN,
            "",
            retry_after,
        )
    )
