"""How an answer is framed, and where it ended.

An answer with a length or in chunks states its own end.  One with neither ends
with its connection (RFC 9112, section 6.3), and an upstream that stops early
closes its connection in the same way as one that has finished.
"""

from enum import Enum


class Framing(str, Enum):
    """How the end of an answer's body is marked.

    ``CONNECTION`` is a body with neither a length nor chunks.
    """

    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION = "connection"


class Ending(str, Enum):
    """What ended the receipt of an answer.

    ``FRAMED`` is the end that its framing marks, ``CLOSED`` an orderly close
    of the connection before one, and ``LOST`` anything else: a reset, a
    timeout, or bytes that are not HTTP.
    """

    FRAMED = "framed"
    CLOSED = "closed"
    LOST = "lost"


class Position(str, Enum):
    """Where in its events an answer ended.

    ``NO_EVENTS`` is an answer that is not a stream of events.
    """

    NO_EVENTS = "no-events"
    BEFORE_FIRST_EVENT = "before-first-event"
    BETWEEN_EVENTS = "between-events"
    WITHIN_EVENT = "within-event"


_STATUSES_WITHOUT_BODY = frozenset({204, 304})


def framing_of(*, method, status, headers):
    """Return the ``Framing`` of the response to a request.

    A response that has no body counts as one with a length.

    Parameters
    ----------
    method : str
        Method of the request.
    headers : iterable of tuple
        Names in lower case and values of the response's headers, as bytes.

    Examples
    --------
    >>> framing_of(method="GET", status=200, headers=()).value
    'connection'
    >>> framing_of(method="HEAD", status=200, headers=()).value
    'length'
    """
    names = {name for name, _ in headers}
    if method == "HEAD" or status in _STATUSES_WITHOUT_BODY:
        return Framing.LENGTH
    if b"transfer-encoding" in names:
        return Framing.CHUNKS
    if b"content-length" in names:
        return Framing.LENGTH
    return Framing.CONNECTION
