"""The hedges of a caller's request: when one is due and how it ended."""

import enum

from acaciafield.gateway import attempts
from acaciafield.gateway import hedging
from acaciafield import outcomes

Ending = outcomes.Ending


class Result(enum.Enum):
    """What became of a hedge, as the metrics count it."""

    SENT = "sent"
    WON = "won"
    REFUSED = "refused"


def count(metrics, call, result):
    """Count a Result of a hedge of a calls.Call."""
    metrics.count("hedges", service=call.service, result=result.value)


def record_due(call):
    """Record that the next attempt of a call is a hedge."""
    call.hedge_after = None
    call.hedges.add(call.attempt_count + 1)


def record_refusal(call, metrics):
    """Record that a hedge was refused, which uses up no attempt."""
    call.refused_hedges += 1
    count(metrics, call, Result.REFUSED)


def is_last(call, number):
    """Return whether a failure of the attempt ``number`` is final."""
    return call.retry_state.is_last(number - call.refused_hedges)


def record_answer(call, result, metrics):
    """Record that an attempt has the answer for the caller.

    ``result`` is its upstream.AttemptResult.
    """
    call.is_answered = True
    for grant_request, _, ended in call.ended_attempts:
        if ended is result and grant_request.is_hedge:
            count(metrics, call, Result.WON)


def is_superseded(call, result):
    """Return whether an attempt was cancelled as another one was answered."""
    return call.is_answered and result.ending is Ending.CANCELLED


def must_retry(call, refusal, running, now):
    """Return whether a retry follows the calls.NoGrant of a hedge.

    The first attempt may have failed meanwhile and was not retried because
    of the hedge. While it is still ``running``, the hedge is requested again
    after the time in the refusal.
    """
    if not refusal.is_hedge:
        return False
    if running:
        if refusal.reason in hedging.REPEATABLE_REFUSALS:
            call.hedge_after = now - call.sent_at + refusal.retry_after
        return False
    if not call.ended_attempts:
        return False
    ending = call.ended_attempts[-1][2].ending
    step = call.retry_state.decide_step(ending, call.deadline - now)
    return step is attempts.Step.RETRY
