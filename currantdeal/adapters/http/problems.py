"""Encodes errors as problem documents [1]_.

The documents also contain the ``error`` object that clients of the OpenAI API
expect from the ``/v1`` endpoints.

References
----------

.. [1] RFC 9457, "Problem Details for HTTP APIs".
"""

import math
from http import HTTPStatus

import msgspec

from currantdeal.adapters.http.messages import Response
from currantdeal.core import Outcome
from currantdeal.serving.errors import Reason

CONTENT_TYPE = "application/problem+json"

_STATUS = {
    Reason.UNKNOWN_TARGET: 404,
    Reason.NO_MATCHING_UPSTREAM: 404,
    Reason.NO_LEASE: 503,
    Reason.OVERLOADED: 503,
    Reason.DEADLINE: 504,
    Reason.UPSTREAM_FAILED: 502,
    Reason.STILL_RUNNING: 409,
    Reason.OUTCOME_UNKNOWN: 409,
    Reason.KEY_REUSED: 422,
    Reason.CLAIMS_FULL: 503,
    Reason.STATE_UNAVAILABLE: 503,
    Reason.ANSWER_TOO_LARGE: 410,
    Reason.QUARANTINED: 429,
}


def problem_of_refusal(refusal):
    """Return the problem document for a ``RefusedError``, as a dict."""
    return problem(
        _STATUS[refusal.reason],
        refusal.reason.value,
        str(refusal),
        outcome=refusal.outcome.value,
    )


def problem(status, reason, message, *, outcome=Outcome.NOT_RUN.value):
    """Return a problem document as a dict."""
    kind = "server_error" if status >= 500 else "invalid_request_error"
    return {
        "type": f"urn:currantdeal:problem:{reason}",
        "title": HTTPStatus(status).phrase,
        "status": status,
        "detail": message,
        "outcome": outcome,
        "error": {
            "message": message,
            "type": kind,
            "param": None,
            "code": reason,
        },
    }


def problem_response(document, *, retry_after_s=None, headers=()):
    """Return the answer with a problem document as its body."""
    extra = []
    if retry_after_s is not None:
        extra.append(("Retry-After", str(max(1, math.ceil(retry_after_s)))))
    if document["outcome"] != Outcome.NOT_RUN.value:
        # Clients of the OpenAI API retry server errors automatically.  For
        # work that may have run, only the caller can decide on a retry.
        extra.append(("X-Should-Retry", "false"))
    return Response(
        status=document["status"],
        headers=(("Content-Type", CONTENT_TYPE), *extra, *headers),
        body=msgspec.json.encode(document),
    )


def refusal_response(refusal):
    """Return the answer to a refused request."""
    return problem_response(
        problem_of_refusal(refusal), retry_after_s=refusal.retry_after_s
    )
