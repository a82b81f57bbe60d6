"""By what two requests count as the same one, sent again."""

from currantdeal.core import digest_parts

FINGERPRINT_BYTES = 16

SHOWN_BYTES = 4
"""Bytes that logs show: enough to match lines, too few to confirm a guess of
the content."""


def fingerprint_of(request, call):
    """Return the fingerprint of a request, independent of the attempt.

    It covers method, host, path, query, the caller's credentials and the body.
    Other headers may differ between attempts, and so may the network address:
    an organisation has many machines.

    Parameters
    ----------
    request : currantdeal.node.http_request.Request
        The whole request.
    call : currantdeal.node.dialect.CallerRequest
        What its head says.
    """
    head = request.head
    digest = digest_parts(
        head.method.encode(),
        head.get("host", "").lower().encode("latin-1"),
        head.target.encode("latin-1"),
        call.caller.encode("latin-1"),
        request.body,
    )
    return digest[:FINGERPRINT_BYTES]


def shown(fingerprint):
    """Return a fingerprint as logs show it."""
    return fingerprint[:SHOWN_BYTES].hex()
