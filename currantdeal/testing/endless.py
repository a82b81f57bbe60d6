"""Bytes that are no message and come without end, for answers and requests."""

import asyncio
import time
from enum import Enum

from currantdeal.testing.platform_upstream import StandInUpstream, echo_lines

PIECE_BYTES = 32_768
"""Size of what is sent at once."""

SLOW_PAUSE_S = 0.05
"""Pause between two header lines that are sent slowly."""

MAX_SENDING_S = 12.0
"""Time after which a stand-in stops by itself."""

MAX_SENT_BYTES = 268_435_456
"""Size after which it stops."""


class Place(str, Enum):
    """Where in a message the bytes are that do not end."""

    NO_FIRST_LINE = "no-first-line"
    BLANK_LINES = "blank-lines"
    HEADER_LINE = "header-line"
    HEADER_LINES = "header-lines"
    SLOW_HEADER_LINES = "slow-header-lines"
    INTERIM_ANSWERS = "interim-answers"
    INTERIM_HEADERS = "interim-headers"
    NO_LENGTH = "no-length"
    CHUNKS = "chunks"
    SMALL_CHUNKS = "small-chunks"
    CHUNK_SIZE_LINE = "chunk-size-line"
    TRAILERS = "trailers"
    COMMENTS = "comments"
    ONE_EVENT = "one-event"
    AFTER_ANSWER = "after-answer"


HEAD_PLACES = (
    Place.NO_FIRST_LINE,
    Place.BLANK_LINES,
    Place.HEADER_LINE,
    Place.HEADER_LINES,
    Place.SLOW_HEADER_LINES,
    Place.INTERIM_ANSWERS,
    Place.INTERIM_HEADERS,
)
BODY_PLACES = (
    Place.NO_LENGTH,
    Place.CHUNKS,
    Place.SMALL_CHUNKS,
    Place.CHUNK_SIZE_LINE,
    Place.TRAILERS,
    Place.AFTER_ANSWER,
)
STREAM_PLACES = (*BODY_PLACES, Place.COMMENTS, Place.ONE_EVENT)

_BODY = b"x" * 1_024
_INTERIM = b"HTTP/1.1 102 Processing\r\nX-Wait: 1\r\n\r\n"


def _chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


_CHUNKED = "Transfer-Encoding: chunked"
_TAILS = {
    Place.NO_FIRST_LINE: ((), b"", b"x"),
    Place.BLANK_LINES: ((), b"", b"\r\n"),
    Place.HEADER_LINE: ((), b"X-Long: ", b"y"),
    Place.HEADER_LINES: ((), b"", b"X-Many: 1\r\n"),
    Place.SLOW_HEADER_LINES: ((), b"", b"X-Slow: 1\r\n"),
    Place.INTERIM_ANSWERS: ((), b"", _INTERIM),
    Place.INTERIM_HEADERS: (
        (),
        b"HTTP/1.1 102 Processing\r\n",
        b"X-Many: 1\r\n",
    ),
    Place.NO_LENGTH: ((), b"\r\n", _BODY),
    Place.CHUNKS: ((_CHUNKED,), b"\r\n", _chunk(_BODY)),
    Place.SMALL_CHUNKS: ((_CHUNKED,), b"\r\n", _chunk(b"x")),
    Place.CHUNK_SIZE_LINE: ((_CHUNKED,), b"\r\n4;", b"a=b;"),
    Place.TRAILERS: ((_CHUNKED,), b"\r\n0\r\n", b"X-Trailer: 1\r\n"),
    Place.COMMENTS: ((_CHUNKED,), b"\r\n", _chunk(b": wait\n\n")),
    Place.ONE_EVENT: (
        (_CHUNKED,),
        b"\r\n" + _chunk(b"id: 1\ndata: "),
        _chunk(_BODY),
    ),
    Place.AFTER_ANSWER: (("Content-Length: 2",), b"\r\n{}", b"x"),
}
"""Header lines, bytes after the header lines, and the bytes that repeat."""

_WITHOUT_FIRST_LINE = (
    Place.NO_FIRST_LINE,
    Place.BLANK_LINES,
    Place.INTERIM_ANSWERS,
    Place.INTERIM_HEADERS,
)


class Flood:
    """What was sent on one connection, and when it was closed."""

    def __init__(self):
        """Start now, with nothing sent."""
        self.began_s = time.monotonic()
        self.sent_bytes = 0
        self.closed_s = None

    @property
    def lasted_s(self):
        """Time until the receiver closed; infinite if it did not."""
        if self.closed_s is None:
            return float("inf")
        return self.closed_s - self.began_s


async def flood(writer, place, first_lines, record):
    """Send a message that does not end, until the receiver closes.

    Parameters
    ----------
    first_lines : iterable of str
        First line and header lines of the message.
    record : Flood
        Records what is sent.
    """
    headers, opening, repeated = _TAILS[place]
    if place not in _WITHOUT_FIRST_LINE:
        lines = "".join(f"{line}\r\n" for line in (*first_lines, *headers))
        opening = lines.encode() + opening
    is_slow = place is Place.SLOW_HEADER_LINES
    piece = repeated if is_slow else repeated * (PIECE_BYTES // len(repeated))
    end_s = time.monotonic() + MAX_SENDING_S
    try:
        writer.write(opening)
        while time.monotonic() < end_s and record.sent_bytes < MAX_SENT_BYTES:
            writer.write(piece)
            async with asyncio.timeout(MAX_SENDING_S):
                await writer.drain()
            record.sent_bytes += len(piece)
            await asyncio.sleep(SLOW_PAUSE_S if is_slow else 0.0)
    except (ConnectionError, TimeoutError):
        record.closed_s = time.monotonic()
    finally:
        writer.transport.abort()


class EndlessUpstream(StandInUpstream):
    """Answers requests of one kind without end, and others as usual.

    Parameters
    ----------
    is_affected : callable
        Returns whether a ``ReceivedRequest`` is of that kind.
    place : Place
        Where the answer does not end.
    status : int
        Status of such an answer.

    Attributes
    ----------
    floods : list of Flood
        One for each such answer.
    """

    def __init__(self, *, is_affected, place, status=200, **more):
        """Create a stand-in that does not listen before ``start``."""
        super().__init__(**more)
        self.floods = []
        self._is_affected = is_affected
        self._place = place
        self._status = status

    async def answer(self, request, writer):
        """Send the response to a request."""
        if not self._is_affected(request):
            await super().answer(request, writer)
            return
        self.floods.append(Flood())
        lines = (
            f"HTTP/1.1 {self._status} Answer",
            *echo_lines(request),
            f"X-Currantdeal-Response-Signature: by-{self.upstream}",
        )
        await flood(writer, self._place, lines, self.floods[-1])
        raise ConnectionResetError("the answer has ended")
