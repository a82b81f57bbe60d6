"""Bounds the memory of the answers that an instance is receiving."""

MAX_BUFFERED_BYTES = 16_777_216
"""Bytes of incomplete answers that are buffered, over all connections.

It leaves room for one answer of the largest size beside others.
"""


class BufferedAnswers:
    """The sizes of the answers that are being received, by connection.

    A bound for each answer alone would let the memory grow with the number of
    requests.  If the answers exceed the limit together, the largest one is
    given up, so that upstreams that send without end do not displace the small
    answers of others.

    Parameters
    ----------
    limit_bytes : int
        Bytes that all answers together may take.
    measure : callable or None
        Returns the present size of the answer on a connection; without it the
        recorded sizes count.

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
    """

    def __init__(self, *, limit_bytes=MAX_BUFFERED_BYTES, measure=None):
        """Start without answers."""
        self._limit_bytes = limit_bytes
        self._measure = measure
        self._sizes = {}
        self._total_bytes = 0

    @property
    def total_bytes(self):
        """Bytes that are buffered now."""
        return self._total_bytes

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
        if self._total_bytes > self._limit_bytes and self._measure:
            self._sizes = {c: self._measure(c) for c in self._sizes}
            self._total_bytes = sum(self._sizes.values())
        while self._total_bytes > self._limit_bytes:
            largest = max(self._sizes, key=self._sizes.get)
            self._total_bytes -= self._sizes.pop(largest)
            largest.give_up()
