"""Splits a byte stream into complete events."""

from currantdeal.policy.answer_end import Position

MAX_EVENT_BYTES = 1_048_576
"""Longest event that is buffered; a longer one is forwarded in pieces."""


class EventSplitter:
    r"""Splits the bytes of an event stream into complete events.

    An upstream that crashes may stop in the middle of an event.  If the
    partial event were forwarded, the next upstream's events would be appended
    to it and the caller would parse a wrong event.

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    b'id: 1\ndata: a\n\n'
    >>> splitter.last_id, splitter.partial_event
    ('1', b'id: 2\nda')
    """

    def __init__(self):
        """Start before the first event."""
        self._buffer = b""
        self._last_id = ""
        self._count = 0

    @property
    def count(self):
        """Number of complete events so far."""
        return self._count

    @property
    def last_id(self):
        """Id of the last complete event; empty before the first."""
        return self._last_id

    @property
    def partial_event(self):
        """Bytes of an event that is not complete yet."""
        return self._buffer

    @property
    def position(self):
        """The ``Position`` of the end of the bytes so far."""
        if self._buffer:
            return Position.WITHIN_EVENT
        if self._count:
            return Position.BETWEEN_EVENTS
        return Position.BEFORE_FIRST_EVENT

    def feed(self, data):
        """Add received bytes; returns the bytes of the events now complete."""
        self._buffer += data
        end = _end_of_events(self._buffer)
        if not end and len(self._buffer) > MAX_EVENT_BYTES:
            end = len(self._buffer)
        complete, self._buffer = self._buffer[:end], self._buffer[end:]
        self._count += complete.count(b"\ndata:")
        self._record_ids(complete)
        return complete

    def drop_partial_event(self):
        """Discard an event that its upstream did not complete.

        The upstream that resumes the stream sends it again in full.
        """
        self._buffer = b""

    def _record_ids(self, complete):
        at = max(complete.rfind(b"\nid:"), -1)
        if at < 0 and not complete.startswith(b"id:"):
            return
        line = complete[at + 1 :].split(b"\n", 1)[0]
        self._last_id = line[3:].strip().decode("latin-1")


def _end_of_events(buffer):
    plain = buffer.rfind(b"\n\n")
    returns = buffer.rfind(b"\r\n\r\n")
    ends = [plain + 2 if plain >= 0 else 0, returns + 4 if returns >= 0 else 0]
    return max(ends)
