"""Recognises the grants on a connection whose answers bear no id.

Failure pattern: response desynchronization.  An upstream that repeats an
answer shifts the later answers on its connection, so that order does not tell
whose an answer is.  A grant does not need to be told apart from the grants of
other requests: it names what is reserved, this is held for this process, and
nobody else knows the name.  So a grant may be used for any request on its
connection that asked for no more, but only once.  A repeated refusal that is
taken for the own one costs an attempt.
"""

from collections import deque

SETTLED_AFTER_S = 1.0
"""Time after which an upstream has answered a request or will not do so.

Requests for grants time out earlier.
"""


class GrantChannel:
    """Requests for grants that one connection carries, and what was granted.

    Examples
    --------
    >>> channel = GrantChannel()
    >>> channel.begin(3000, now_s=0.0)
    >>> channel.take("h1")
    True
    >>> channel.take("h1")
    False
    >>> channel.may_carry(4000, now_s=0.1)
    False
    >>> channel.may_carry(4000, now_s=2.0)
    True
    """

    def __init__(self):
        """Start without requests."""
        self._recent = deque()
        self._granted = set()

    def floor(self, *, now_s):
        """Return the least size that a grant may have; None if any."""
        while self._recent and self._recent[0][0] <= now_s - SETTLED_AFTER_S:
            self._recent.popleft()
        return min((size for _, size in self._recent), default=None)

    def may_carry(self, size, *, now_s):
        """Return whether each grant that may come is large enough."""
        floor = self.floor(now_s=now_s)
        return floor is None or size <= floor

    def begin(self, size, *, now_s):
        """Record that a request for a grant of a size is sent."""
        self._recent.append((now_s, size))

    def take(self, name):
        """Return whether a grant is new, and record it."""
        is_new = name not in self._granted
        self._granted.add(name)
        return is_new
