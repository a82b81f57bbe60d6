"""Answers of the HTTP operations that entries and control instances share."""

DIRECTORY_TTL_S = 4.0
"""Time for which callers may cache an answer of the directory.

Each look-up may reach a control instance that does not answer, which costs
the caller a second.  An entry that stops or fails while its address is cached
costs one refused connection, after which its callers choose another one.
"""

_JSON = (b"content-type", b"application/json")
_RETRY = (b"retry-after", b"0.3")


def answer_look_up(dialect, responder, addresses):
    """Answer a caller's look-up with addresses, or refuse it without any."""
    if not addresses:
        answer_status(dialect, responder, 503, "no entry is known yet")
        return
    body = dialect.directory_answer(addresses, DIRECTORY_TTL_S)
    responder.answer(200, (_JSON,), body)


def answer_status(dialect, responder, status, reason):
    """Answer with a status and the reason for it."""
    more = (_RETRY,) if status == 503 else ()
    responder.answer(status, (_JSON, *more), dialect.error_answer(reason))
