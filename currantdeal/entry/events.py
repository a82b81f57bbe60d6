"""Splits the body of a stream into complete events."""

import re

from currantdeal.node.head import EVENT_STREAM
from currantdeal.policy.answers.answer_end import Position

MAX_EVENT_BYTES = 1_048_576
"""Longest event that is buffered; a longer one is forwarded in pieces."""

MAX_BYTES_BETWEEN_EVENTS = 8_388_608
"""Maximum size of one event, or of comments between two events."""

_DATA_LINE = re.compile(rb"(?:\A|[\r\n])data:")
_ID_LINE = re.compile(rb"(?:\A|[\r\n])id:([^\r\n]*)")
_SENDABLE_ID = re.compile(rb"[^\x00-\x08\x0a-\x1f]{0,1024}")
"""Ids that fit into a header of the request for the rest of a stream."""

_BLANK_LINES = (b"\n\n", b"\n\r\n", b"\r\r")
_MAX_BLANK_LINE_BYTES = max(map(len, _BLANK_LINES))
_LINE_ENDS = b"\r\n"


class EventSplitter:
    r"""Splits the bytes of an event stream into complete events.

    An upstream that crashes may stop in the middle of an event.  If the
    partial event were forwarded, the next upstream's events would be appended
    to it and the caller would parse a wrong event.

    Parameters
    ----------
    resume_after : str
        Id of the event after which the stream begins; empty for its start.

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    b'id: 1\ndata: a\n\n'
    >>> splitter.last_id, splitter.partial_event, splitter.position.value
    ('1', b'id: 2\nda', 'within-event')
    """

    def __init__(self, *, resume_after=""):
        """Start before the first event."""
        self._buffer = bytearray()
        self._resume_after = resume_after
        self._last_id = ""
        self._next_id = ""
        self._count = 0
        self._forwarded_part = False
        self._bytes_since_event = 0

    @property
    def is_endless(self):
        """Whether too many bytes came since the last event with data."""
        return self._bytes_since_event > MAX_BYTES_BETWEEN_EVENTS

    @property
    def count(self):
        """Number of data lines returned so far: one for most events."""
        return self._count

    @property
    def last_id(self):
        """Id of the last complete event; empty before the first."""
        return self._last_id

    @property
    def partial_event(self):
        """Bytes of an event that is not complete yet, without those returned.

        A part of an event is returned only if it is longer than the buffer.
        """
        return bytes(self._buffer)

    @property
    def buffered_bytes(self):
        """Size of the partial event."""
        return len(self._buffer)

    @property
    def position(self):
        """The ``Position`` of the end of the bytes so far."""
        if self._buffer or self._forwarded_part:
            return Position.WITHIN_EVENT
        if self._count or self._resume_after:
            return Position.BETWEEN_EVENTS
        return Position.BEFORE_FIRST_EVENT

    @property
    def is_resumable(self):
        """Whether another stream can go on after the complete events."""
        if self._forwarded_part:
            return False
        return not self._count or bool(self._last_id)

    def completes_event(self, data):
        """Return whether ``feed`` would return any of these bytes."""
        buffer = self._buffer + data
        return _end_of_events(buffer, 0) > 0 or len(buffer) > MAX_EVENT_BYTES

    def feed(self, data):
        """Add received bytes; returns the bytes of the events now complete.

        If one is longer than the buffer, returns its bytes as well.
        """
        # What is buffered holds no blank line, but may end in a part of one.
        start = max(0, len(self._buffer) - _MAX_BLANK_LINE_BYTES + 1)
        self._buffer += data
        self._bytes_since_event += len(data)
        end = _end_of_events(self._buffer, start)
        if end:
            if self._forwarded_part or _DATA_LINE.search(self._buffer[:end]):
                self._bytes_since_event = 0
            complete = self._take(end)
            self._last_id = self._next_id
            self._forwarded_part = False
            if not self._buffer.strip(_LINE_ENDS):
                # Blank lines between events belong to none.
                complete += self._take(len(self._buffer))
            return complete
        if len(self._buffer) <= MAX_EVENT_BYTES:
            return b""
        # Line ends stay, since a blank line may follow them.
        part = self._take(len(self._buffer.rstrip(_LINE_ENDS)))
        self._forwarded_part = True
        return part

    def _take(self, size):
        """Remove bytes from the buffer, and record their lines."""
        taken = bytes(self._buffer[:size])
        del self._buffer[:size]
        # A part that follows another one does not start a line.
        lines = b"\0" + taken if self._forwarded_part else taken
        self._count += len(_DATA_LINE.findall(lines))
        ids = _ID_LINE.findall(lines)
        if ids:
            last = ids[-1].strip()
            is_sendable = _SENDABLE_ID.fullmatch(last) is not None
            self._next_id = last.decode("latin-1") if is_sendable else ""
        return taken

    def drop_partial_event(self):
        """Discard an event that its upstream did not complete.

        The upstream that resumes the stream sends it again in full.
        """
        self._buffer.clear()


class OpaqueBody:
    """A body that is not a stream of events, with the same interface."""

    last_id = ""
    partial_event = b""
    buffered_bytes = 0
    count = 0
    position = Position.NO_EVENTS
    is_endless = False

    def __init__(self):
        """Start before the first byte."""
        self._received = False

    @property
    def is_resumable(self):
        """Whether nothing was received, so that another run may replace it."""
        return not self._received

    def completes_event(self, data):
        """Return True: bytes are forwarded as they arrive."""
        return True

    def feed(self, data):
        """Return the bytes as they are."""
        self._received = True
        return data

    def drop_partial_event(self):
        """Do nothing: there are no events."""


def position_of(head, body):
    """Return the ``Position`` of the end of a whole body.

    Parameters
    ----------
    head : currantdeal.node.head.ResponseHead
        Its head.
    """
    if head.media_type != EVENT_STREAM:
        return Position.NO_EVENTS
    splitter = EventSplitter()
    splitter.feed(body)
    return splitter.position


def _end_of_events(buffer, start):
    ends = ((buffer.rfind(line, start), len(line)) for line in _BLANK_LINES)
    return max(at + size if at >= 0 else 0 for at, size in ends)
