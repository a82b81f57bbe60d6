"""Choice of the entries through which to reach an upstream.

A whole data centre may be cut at once, so that the entries asked first are
drawn from this data centre and from elsewhere in turn.  Those through which an
upstream was reached come first from then on, nearest first, and more of them
are looked for, so that one of them does not carry all that a cut data centre
sends.
"""

MAX_HELPERS = 6
"""Maximum number of entries that are asked for one connection."""

WANTED_HELPERS = 3
"""Number of entries that were found to help from which no more are sought."""

EXPLORATION_SHARE = 0.25
"""Share of connections for which another entry is asked first."""

HELPFUL_S = 10.0
"""Time for which an entry that helped is preferred."""

AVOIDED_S = 2.0
"""Time for which an entry that could not help is asked last."""


class HelperChoice:
    """Order in which to ask other entries.

    Parameters
    ----------
    random : random.Random
        Spreads the choices of the entries.
    """

    def __init__(self, *, random):
        """Start without findings."""
        self._random = random
        self._helpful_until_s = {}
        self._avoided_until_s = {}

    def record_success(self, helper, *, now_s):
        """Record that an upstream was reached through an entry."""
        self._avoided_until_s.pop(helper, None)
        self._helpful_until_s[helper] = now_s + HELPFUL_S

    def record_failure(self, helper, *, now_s):
        """Record that an entry did not answer, or could not help."""
        self._helpful_until_s.pop(helper, None)
        self._avoided_until_s[helper] = now_s + AVOIDED_S

    def order(self, groups, *, now_s):
        """Return the entries to ask, at most ``MAX_HELPERS``.

        Parameters
        ----------
        groups : sequence of sequence of str
            Other entries by distance, the nearest group first.
        """
        self._drop_old(groups, now_s)
        helpful, others, avoided = [], [], []
        for group in groups:
            group = list(group)
            self._random.shuffle(group)
            helpful += [h for h in group if h in self._helpful_until_s]
            avoided += [h for h in group if h in self._avoided_until_s]
            others.append(
                [
                    h
                    for h in group
                    if h not in self._helpful_until_s
                    and h not in self._avoided_until_s
                ]
            )
        fresh = _interleave([group for group in others if group])
        nearest = helpful[:WANTED_HELPERS]
        self._random.shuffle(nearest)
        helpful[:WANTED_HELPERS] = nearest
        explores = (
            len(helpful) < WANTED_HELPERS
            and self._random.random() < EXPLORATION_SHARE
        )
        first = fresh[:1] if explores else []
        ordered = [*first, *helpful, *fresh[len(first) :], *avoided]
        return ordered[:MAX_HELPERS]

    def _drop_old(self, groups, now_s):
        known = {helper for group in groups for helper in group}
        for until_s in (self._helpful_until_s, self._avoided_until_s):
            for helper in tuple(until_s):
                if until_s[helper] <= now_s or helper not in known:
                    del until_s[helper]


def _interleave(groups):
    """Return the items of groups, one of each group in turn.

    Examples
    --------
    >>> _interleave([["a", "b", "c"], ["x"]])
    ['a', 'x', 'b', 'c']
    """
    left = [list(group) for group in groups]
    found = []
    while left:
        found += [group.pop(0) for group in left]
        left = [group for group in left if group]
    return found
