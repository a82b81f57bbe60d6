"""Bounds the memory of the answers that an instance is receiving."""

import time

MAX_BUFFERED_BYTES = 16_777_216
"""Bytes of incomplete answers that are buffered, over all connections.

It leaves room for one answer of the largest size beside others.
"""

SHARED_PART = 0.75
"""Part of the limit that is shared by answers which can be held up.

The rest is for those that are kept as a whole.
"""

SHARE_FACTOR = 2
"""Largest share of an answer, as a multiple of the memory that is left."""

SLOW_S = 1.0
"""Time after which an answer that is still buffered is taken slowly."""

MEASURE_INTERVAL_S = 0.1
"""Interval at which sizes are updated while memory is short."""


class BufferedAnswers:
    """The sizes of the answers that are being received, by connection.

    A bound for each answer alone would let the memory grow with the number of
    requests.  If the answers exceed the limit together, the largest one is
    given up, so that upstreams that send without end do not displace the small
    answers of others.  With ``measure``, as for answers that
    callers take, it is the largest of those that are taken slowly, unless
    the limit would be exceeded without them too.

    Parameters
    ----------
    limit_bytes : int
        Bytes that all answers together may take.
    measure : callable or None
        Returns the present size of the answer on a connection; without it the
        recorded sizes count.
    clock : callable
        Returns monotonic seconds.

    Examples
    --------
    >>> class Connection:
    ...     def give_up(self):
    ...         print("given up")
    >>> large, small = Connection(), Connection()
    >>> answers = BufferedAnswers(limit_bytes=100)
    >>> answers.record(large, 90)
    >>> answers.record(small, 20)
    given up
    >>> answers.total_bytes
    20
    >>> answers.allowance(80), answers.allowance(200)
    (80, 110)
    """

    def __init__(
        self,
        *,
        limit_bytes=MAX_BUFFERED_BYTES,
        measure=None,
        clock=time.monotonic,
    ):
        """Start without answers."""
        self._limit_bytes = limit_bytes
        self._measure = measure
        self._clock = clock
        self._measured_s = 0.0
        self._sizes = {}
        self._since_s = {}
        self._total_bytes = 0

    @property
    def total_bytes(self):
        """Bytes that are buffered now."""
        return self._total_bytes

    def allowance(self, most_bytes):
        """Return how much of an answer may be buffered before it is held up.

        The threshold is dynamic: each answer may take a multiple of what all
        leave, so that a few may be large, and many leave some for the next.

        Parameters
        ----------
        most_bytes : int
            What it may take while others take nothing.
        """
        allowed = self._share()
        if allowed < most_bytes and self._measure:
            now_s = self._clock()
            if now_s - self._measured_s >= MEASURE_INTERVAL_S:
                self._measured_s = now_s
                self._update_sizes()
                allowed = self._share()
        return max(0, min(most_bytes, allowed))

    def record(self, connection, size_bytes):
        """Record how much of the answer on a connection is buffered.

        Parameters
        ----------
        connection : UpstreamConnection
            Its ``give_up`` is called if its answer is the largest of too many.
        size_bytes : int
            Size of the part that is buffered now; zero ends the record.
        """
        self._total_bytes += size_bytes - self._sizes.pop(connection, 0)
        if size_bytes:
            self._sizes[connection] = size_bytes
            self._since_s.setdefault(connection, self._clock())
        else:
            self._since_s.pop(connection, None)
        if self._total_bytes > self._limit_bytes and self._measure:
            self._update_sizes()
        while self._total_bytes > self._limit_bytes:
            largest = max(self._candidates(), key=self._sizes.get)
            self._total_bytes -= self._sizes.pop(largest)
            del self._since_s[largest]
            largest.give_up()

    def _candidates(self):
        """Return the connections of which one is given up."""
        if self._measure is None:
            return self._sizes
        before_s = self._clock() - SLOW_S
        slow = [c for c in self._sizes if self._since_s[c] <= before_s]
        slow_bytes = sum(self._sizes[c] for c in slow)
        # If the others alone exceed the limit, ending these would not help.
        suffice = slow_bytes >= self._total_bytes - self._limit_bytes
        return slow if suffice else self._sizes

    def _share(self):
        shared_bytes = int(SHARED_PART * self._limit_bytes)
        return SHARE_FACTOR * (shared_bytes - self._total_bytes)

    def _update_sizes(self):
        self._sizes = {c: self._measure(c) for c in self._sizes}
        self._total_bytes = sum(self._sizes.values())
