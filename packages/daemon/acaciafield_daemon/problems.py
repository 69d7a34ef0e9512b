"""Problem documents (RFC 9457) with the outcome of the request."""

import json
import math

from aiohttp import web

CONTENT_TYPE = "application/problem+json"


def make_problem(status, title, outcome, detail="", retry_after=None):
    """Return a response with a problem document.

    ``retry_after`` is in seconds, rounded up to a whole second.
    """
    document = {
        "type": "about:blank",
        "title": title,
        "status": status,
        "outcome": outcome.value,
    }
    if detail:
        document["detail"] = detail
    headers = {"Acaciafield-Outcome": outcome.value}
    if retry_after is not None:
        headers["Retry-After"] = str(max(1, math.ceil(retry_after)))
    return web.Response(
        status=status,
        body=json.dumps(document).encode(),
        content_type=CONTENT_TYPE,
        headers=headers,
    )
