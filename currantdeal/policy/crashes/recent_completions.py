"""Parts of prompts that upstreams have completed, the latest ones."""

from collections import OrderedDict

MAX_COMPLETIONS = 4096


class RecentCompletions:
    """Identities with the software that completed a request with them.

    Examples
    --------
    >>> recent = RecentCompletions()
    >>> recent.add((b"a", b"b"), "v1")
    >>> recent.has(b"a", "v1"), recent.has(b"a", "v2")
    (True, False)
    """

    def __init__(self, *, limit=MAX_COMPLETIONS):
        """Start without completions."""
        self._limit = limit
        self._known = OrderedDict()

    def add(self, identities, software):
        """Record that a request with some identities was completed."""
        for identity in identities:
            self._known[identity, software] = None
            self._known.move_to_end((identity, software))
        while len(self._known) > self._limit:
            self._known.popitem(last=False)

    def has(self, identity, software):
        """Return whether a completion is known."""
        return (identity, software) in self._known
