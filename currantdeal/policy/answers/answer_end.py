"""What is known of the end of an answer, and what may be stated of it.

An answer with a length or in chunks states its own end.  One with neither ends
with its connection (RFC 9112, section 6.3), and an upstream that stops early
closes its connection in the same way as one that has finished.  An
intermediary that adds a length or a last chunk states that the answer is
whole, which it does not know; so such an answer is passed on with neither.

The decisions depend only on what was received, so they are the same wherever
an answer is passed on.
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


class Completeness(str, Enum):
    """What is known of an answer that has ended.

    ``UNKNOWN`` is an answer that may be whole or not, and that nobody but its
    upstream can tell.
    """

    WHOLE = "whole"
    UNKNOWN = "unknown"
    BROKEN_OFF = "broken-off"


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


def completeness(framing, ending, position):
    """Return the ``Completeness`` of an answer.

    A stream that ends within an event has been broken off, also if its
    framing states that it is complete.

    Raises
    ------
    ValueError
        If an answer without a framing of its own ends as framed.

    Examples
    --------
    >>> at = Position.BETWEEN_EVENTS
    >>> completeness(Framing.CHUNKS, Ending.FRAMED, at).value
    'whole'
    >>> completeness(Framing.CHUNKS, Ending.CLOSED, at).value
    'broken-off'
    >>> completeness(Framing.CONNECTION, Ending.CLOSED, at).value
    'unknown'
    """
    if framing is Framing.CONNECTION and ending is Ending.FRAMED:
        raise ValueError("an answer that ends with its connection has no end")
    if ending is Ending.LOST or position is Position.WITHIN_EVENT:
        return Completeness.BROKEN_OFF
    if ending is Ending.FRAMED:
        return Completeness.WHOLE
    if framing is not Framing.CONNECTION:
        return Completeness.BROKEN_OFF
    if position is Position.BEFORE_FIRST_EVENT:
        # A stream that was run has an event.
        return Completeness.BROKEN_OFF
    return Completeness.UNKNOWN


def orderly_ending(framing):
    """Return the ``Ending`` of an answer that was received to its end."""
    if framing is Framing.CONNECTION:
        return Ending.CLOSED
    return Ending.FRAMED


def framing_of_stream(framing, *, reads_chunks=True):
    """Return the ``Framing`` in which a stream is passed on as it arrives.

    Parameters
    ----------
    framing : Framing
        Framing of the upstream's answer.
    reads_chunks : bool
        Whether the caller understands chunks, unlike one of HTTP/1.0.
    """
    if framing is Framing.CONNECTION or not reads_chunks:
        return Framing.CONNECTION
    return Framing.CHUNKS


def framing_of_buffered(found):
    """Return the ``Framing`` of an answer that is passed on at its end.

    Parameters
    ----------
    found : Completeness
        What is known of the answer; one that was broken off isn't passed on.
    """
    if found is Completeness.BROKEN_OFF:
        raise ValueError("an answer that was broken off is not passed on")
    if found is Completeness.WHOLE:
        return Framing.LENGTH
    return Framing.CONNECTION


def may_end(framing, found):
    """Return whether an answer may be ended in order at the caller.

    Otherwise its connection has to be cut, so that it does not look whole.

    Parameters
    ----------
    framing : Framing
        Framing of the answer to the caller.
    found : Completeness
        What is known of the last run that contributed to it.
    """
    if framing is Framing.CONNECTION:
        return found is not Completeness.BROKEN_OFF
    return found is Completeness.WHOLE
