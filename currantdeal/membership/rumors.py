"""Queue of membership updates to disseminate by gossip.

The updates that were sent least often are sent first, within a size limit
per message.
"""

import math

RETRANSMIT_MULTIPLIER = 3
"""Factor of the number of transmissions per update.

It is multiplied by the logarithm of the group size.  Each transmission
reaches one random member, so with this factor the probability that a
member is missed is below one over the square of the group size.  Exchanges
of the whole table cover the remaining cases.
"""


class RumorQueue:
    """Membership updates to piggyback on other messages.

    Parameters
    ----------
    size_of : callable
        Returns the encoded size of an update in bytes.
    budget : int
        Size limit of the updates on one message, in bytes.
    """

    def __init__(self, *, size_of, budget):
        """Start with an empty queue."""
        self._size_of = size_of
        self._budget = budget
        self._transmissions = {}
        self._rumors = {}

    def add(self, member):
        """Queue an update; it replaces an older one of the same member."""
        self._rumors[member.instance] = member
        self._transmissions[member.instance] = 0

    def next_batch(self, *, group_size):
        """Return the updates for one message and count a transmission."""
        limit = RETRANSMIT_MULTIPLIER * math.ceil(math.log2(group_size + 1))
        chosen = []
        remaining = self._budget
        for name in sorted(self._transmissions, key=self._transmissions.get):
            member = self._rumors[name]
            remaining -= self._size_of(member)
            if remaining < 0:
                break
            chosen.append(member)
            self._count_transmission(name, limit)
        return tuple(chosen)

    def _count_transmission(self, name, limit):
        self._transmissions[name] += 1
        if self._transmissions[name] >= limit:
            del self._transmissions[name]
            del self._rumors[name]
