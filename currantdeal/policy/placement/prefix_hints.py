"""Hints on which engines have a prompt prefix cached, discounted by age.

Load pattern: hot prefix, such as one catalogue that all assistants of a bakery
read.  Without prefix affinity every engine computes and stores the same
prefix.  With hints that never age, requests follow caches that were evicted
long ago and pile up on one engine.  Cache events arrive late and with gaps, so
a hint is uncertain: its weight decreases with age and reaches zero after 30 s,
in which an engine under load replaces its cache at least once.  The most
recent information is that this instance sent a prompt itself, so that is
recorded too.
"""

from collections import OrderedDict

BLOCK_TOKENS = 256
MAX_AGE_S = 30.0
MAX_KEYS = 50_000
MAX_HOLDERS_PER_KEY = 4


class PrefixHints:
    """Upstreams that probably have prompt prefixes cached.

    Parameters
    ----------
    max_age_s : float
        Age at which the weight of a hint reaches zero, in seconds.
    max_keys : int
        Limit of block keys; the least recently recorded one is evicted first.

    Examples
    --------
    >>> from currantdeal.policy import PrefixHints
    >>> hints = PrefixHints(max_age_s=10.0)
    >>> hints.record("p1", (11, 12), now_s=0.0)
    >>> hints.holders((11, 12, 13), now_s=0.0)
    {'p1': 512.0}
    >>> hints.holders((11, 12, 13), now_s=5.0)
    {'p1': 256.0}
    >>> hints.holders((11, 12, 13), now_s=10.0)
    {}
    """

    def __init__(self, *, max_age_s=MAX_AGE_S, max_keys=MAX_KEYS):
        """Create an empty set of hints."""
        self._max_age_s = max_age_s
        self._max_keys = max_keys
        self._seen = OrderedDict()

    def record(self, upstream_id, prefix_keys, *, now_s):
        """Record that an upstream holds some blocks as of now."""
        for key in prefix_keys:
            holders = self._seen.setdefault(key, {})
            holders.pop(upstream_id, None)
            holders[upstream_id] = now_s
            if len(holders) > MAX_HOLDERS_PER_KEY:
                del holders[next(iter(holders))]
            self._seen.move_to_end(key)
        while len(self._seen) > self._max_keys:
            self._seen.popitem(last=False)

    def forget(self, upstream_id, prefix_keys):
        """Drop hints on blocks that the upstream turned out not to hold."""
        for key in prefix_keys:
            self._seen.get(key, {}).pop(upstream_id, None)

    def holders(self, prefix_keys, *, now_s):
        """Return the expected number of cached prompt tokens, by upstream.

        The number is discounted by the age of the oldest hint it is based on.
        """
        longest = {}
        common = None
        for position, key in enumerate(prefix_keys, start=1):
            common = self._holders_of_all(common, key, now_s - self._max_age_s)
            if not common:
                break
            for name, seen_s in common.items():
                longest[name] = (position, seen_s)
        return {
            name: position * BLOCK_TOKENS * self._confidence(seen_s, now_s)
            for name, (position, seen_s) in longest.items()
        }

    def _holders_of_all(self, common, key, cutoff_s):
        holders = self._seen.get(key)
        if not holders:
            return None
        if common is None:
            common = holders
        return {
            name: min(seen_s, holders[name])
            for name, seen_s in common.items()
            if holders.get(name, cutoff_s) > cutoff_s
        }

    def _confidence(self, seen_s, now_s):
        return max(0.0, 1.0 - (now_s - seen_s) / self._max_age_s)
