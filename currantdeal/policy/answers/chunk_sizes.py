"""Detects bodies that come in a great number of tiny chunks.

Each chunk costs as much time as a large one, so that a body of a few megabytes
could occupy a process for seconds.
"""

MAX_TINY_CHUNKS = 4_096
"""Number of chunks from which their mean size is checked."""

MIN_MEAN_BYTES = 8
"""Smallest mean size; an event of a stream is larger."""


class ChunkSizes:
    """Number and size of the chunks of one body.

    Examples
    --------
    >>> chunks = ChunkSizes()
    >>> for _ in range(MAX_TINY_CHUNKS + 1):
    ...     chunks.add(b"x")
    >>> chunks.are_too_small
    True
    """

    def __init__(self):
        """Start before the first chunk."""
        self._count = 0
        self._bytes = 0

    @property
    def are_too_small(self):
        """Whether there are many chunks, and most of them are tiny."""
        if self._count <= MAX_TINY_CHUNKS:
            return False
        return self._bytes < MIN_MEAN_BYTES * self._count

    def add(self, data):
        """Record a chunk, or a part of one."""
        self._count += 1
        self._bytes += len(data)
