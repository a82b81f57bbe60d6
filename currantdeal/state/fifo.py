"""Provides an immutable first-in-first-out queue with shared structure."""

from dataclasses import dataclass, field, replace

from immutables import Map


@dataclass(frozen=True, kw_only=True)
class Fifo:
    """Queue of values; ``push`` and ``pop`` return a new queue.

    Examples
    --------
    >>> from currantdeal.state import Fifo
    >>> queue = Fifo().push("a").push("b")
    >>> queue.first, len(queue), queue.pop().first
    ('a', 2, 'b')
    >>> list(queue)
    ['a', 'b']
    """

    items: Map = field(default_factory=Map)
    head: int = 0

    def __len__(self):
        """Return the number of values."""
        return len(self.items)

    def __iter__(self):
        """Iterate over the values, oldest first."""
        return (self.items[n] for n in range(self.head, self._tail))

    @property
    def first(self):
        """The oldest value; raises ``KeyError`` if the queue is empty."""
        return self.items[self.head]

    def push(self, value):
        """Return the queue with one more value at its end."""
        return replace(self, items=self.items.set(self._tail, value))

    def pop(self):
        """Return the queue without its oldest value."""
        return Fifo(items=self.items.delete(self.head), head=self.head + 1)

    def newest(self, count):
        """Return the latest values, at most ``count``, oldest first."""
        start = max(self.head, self._tail - count)
        return tuple(self.items[n] for n in range(start, self._tail))

    @property
    def _tail(self):
        return self.head + len(self.items)


def fifo_of(values):
    """Return a queue of the values, the first one oldest."""
    return Fifo(items=Map(enumerate(values)))
