"""News that still has to be told, least told first, within a byte budget."""

import math

REPEATS = 3
"""Tellings of one piece of news, times the logarithm of the group's size.

Each telling reaches one random member, so with this factor the chance that
some member is missed is under one in the square of the group's size; full
exchanges catch the rest.
"""


class RumorQueue:
    """Bounded spread of news by piggyback on other messages.

    Parameters
    ----------
    size_of : callable
        Returns the bytes that a piece of news takes.
    budget : int
        Bytes of news that one message may carry.
    """

    def __init__(self, *, size_of, budget):
        """Start without news."""
        self._size_of = size_of
        self._budget = budget
        self._told = {}
        self._news = {}

    def add(self, member):
        """Tell this, in place of older news of the same instance."""
        self._news[member.instance] = member
        self._told[member.instance] = 0

    def take(self, *, group_size):
        """Return the news for one message and count it as told."""
        limit = REPEATS * math.ceil(math.log2(group_size + 1))
        chosen = []
        left = self._budget
        for name in sorted(self._told, key=self._told.get):
            member = self._news[name]
            left -= self._size_of(member)
            if left < 0:
                break
            chosen.append(member)
            self._count(name, limit)
        return tuple(chosen)

    def _count(self, name, limit):
        self._told[name] += 1
        if self._told[name] >= limit:
            del self._told[name]
            del self._news[name]
