"""Bounds what an upstream may send and what this process keeps of it.

An upstream in trouble may send bytes that are no answer until its connection
is closed.  Libraries that parse HTTP bound the length of a line, not how many
lines there are, nor the size of a body.
"""

import io
import threading
from http.client import HTTPResponse

from urllib3.connection import HTTPConnection

MAX_HEAD_BYTES = 65_536
"""Maximum size of what precedes a body, such as interim answers."""

MAX_ANSWER_BYTES = 8_388_608
"""Maximum size of an answer that is kept as a whole, with its framing."""

MAX_EVENT_BYTES = 1_048_576
"""Maximum size of one event of a stream."""

MAX_BYTES_BETWEEN_EVENTS = 8_388_608
"""Maximum size of what precedes the next event, such as comments."""

MAX_KEPT_BYTES = 16_777_216
"""Bytes of incomplete answers that are kept, over all connections."""


class AnswerTooLargeError(OSError):
    """An upstream sent more than is read of its answer."""


class ReadBudget:
    """Number of bytes that may still be read from one connection."""

    def __init__(self, *, left_bytes=MAX_HEAD_BYTES):
        """Allow the head of an answer."""
        self._left_bytes = left_bytes

    def refill(self, left_bytes):
        """Allow a number of bytes from now on."""
        self._left_bytes = left_bytes

    def spend(self, size_bytes):
        """Record bytes that were read.

        Raises
        ------
        AnswerTooLargeError
            If there are more than are allowed.
        """
        self._left_bytes -= size_bytes
        if self._left_bytes < 0:
            raise AnswerTooLargeError("the answer is too large")


class BoundedConnection(HTTPConnection):
    """A connection from which no more is read than its budget allows.

    Parameters
    ----------
    budget : ReadBudget
        Bytes that may be read.
    send_timeout_s : float
        Longest time to send the request; by default the connect timeout would
        limit it.
    """

    def __init__(self, *args, budget, send_timeout_s, **options):
        """Connect as the base class does."""
        super().__init__(*args, **options)
        self._budget = budget
        self._send_timeout_s = send_timeout_s

    def connect(self):
        """Connect, and set the timeout of the request."""
        super().connect()
        self.sock.settimeout(self._send_timeout_s)

    def response_class(self, sock, **options):
        """Return the parser of the response on a socket."""
        response = HTTPResponse(sock, **options)
        # Detached, since a buffer of its own would read past the budget.
        raw = _BudgetedReader(response.fp.detach(), budget=self._budget)
        response.fp = io.BufferedReader(raw)
        return response


class _BudgetedReader(io.RawIOBase):
    def __init__(self, raw, *, budget):
        self._raw = raw
        self._budget = budget

    def readable(self):
        return True

    def readinto(self, buffer):
        size_bytes = self._raw.readinto(buffer)
        self._budget.spend(size_bytes or 0)
        return size_bytes

    def close(self):
        self._raw.close()
        super().close()


class KeptAnswers:
    """The sizes of the answers that several threads are receiving.

    If they exceed the limit together, the largest one is given up when its
    thread receives more, so that upstreams that send without end do not
    displace the small answers of others.

    Examples
    --------
    >>> answers = KeptAnswers(limit_bytes=100)
    >>> answers.record("large", 90)
    >>> answers.record("small", 20)
    >>> answers.record("large", 91)
    Traceback (most recent call last):
    ...
    currantdeal.adapters.answer_bounds.AnswerTooLargeError: too many answers
    """

    def __init__(self, *, limit_bytes=MAX_KEPT_BYTES):
        """Start without answers."""
        self._limit_bytes = limit_bytes
        self._sizes = {}
        self._lock = threading.Lock()

    def record(self, answer, size_bytes):
        """Record how much of an answer is kept; zero ends the record.

        Raises
        ------
        AnswerTooLargeError
            If the answer is the largest of too many.
        """
        with self._lock:
            self._sizes.pop(answer, None)
            if not size_bytes:
                return
            self._sizes[answer] = size_bytes
            sizes = self._sizes.values()
            if size_bytes < max(sizes) or sum(sizes) <= self._limit_bytes:
                return
        raise AnswerTooLargeError("too many answers")
