"""Prefix affinity as a hint that ages.

The load pattern is many prompts that begin alike, such as one catalogue read
by all assistants of a bakery.  Without affinity every engine computes and
stores the same prefix; with affinity that is believed for ever, requests
follow caches that are long evicted and pile up on one engine.  Cache events
come late and with gaps, so a hint is only a guess: it is believed less with
age and not at all after 30 s, in which an engine under load replaces its
cache at least once.  The own sending of a prompt is the freshest hint of all,
so it is learned too.
"""

from collections import OrderedDict

BLOCK_TOKENS = 256
MAX_AGE_S = 30.0
MAX_KEYS = 50_000
MAX_HOLDERS = 4


class PrefixHints:
    """Which upstreams probably hold which prompt prefixes.

    Parameters
    ----------
    max_age_s : float
        Age at which a hint is no longer believed, in seconds.
    max_keys : int
        Block keys that are remembered, least recently learned forgotten
        first.

    Examples
    --------
    >>> from currantdeal.policy import PrefixHints
    >>> hints = PrefixHints(max_age_s=10.0)
    >>> hints.learn("p1", (11, 12), now_s=0.0)
    >>> hints.holders((11, 12, 13), now_s=0.0)
    {'p1': 512.0}
    >>> hints.holders((11, 12, 13), now_s=5.0)
    {'p1': 256.0}
    >>> hints.holders((11, 12, 13), now_s=10.0)
    {}
    """

    def __init__(self, *, max_age_s=MAX_AGE_S, max_keys=MAX_KEYS):
        """Start without hints."""
        self._max_age_s = max_age_s
        self._max_keys = max_keys
        self._seen = OrderedDict()

    def learn(self, upstream_id, prefix_keys, *, now_s):
        """Believe that an upstream holds some blocks since now."""
        for key in prefix_keys:
            holders = self._seen.setdefault(key, {})
            holders.pop(upstream_id, None)
            holders[upstream_id] = now_s
            if len(holders) > MAX_HOLDERS:
                del holders[next(iter(holders))]
            self._seen.move_to_end(key)
        while len(self._seen) > self._max_keys:
            self._seen.popitem(last=False)

    def forget(self, upstream_id, prefix_keys):
        """Stop believing, after the upstream turned out not to hold them."""
        for key in prefix_keys:
            self._seen.get(key, {}).pop(upstream_id, None)

    def holders(self, prefix_keys, *, now_s):
        """Return expected cached tokens of a prompt, by upstream.

        The tokens are discounted by the age of the oldest hint they rest on.
        """
        found = {}
        alive = None
        for position, key in enumerate(prefix_keys, start=1):
            alive = self._still_held(alive, key, now_s - self._max_age_s)
            if not alive:
                break
            for name, seen_s in alive.items():
                found[name] = (position, seen_s)
        return {
            name: position * BLOCK_TOKENS * self._belief(seen_s, now_s)
            for name, (position, seen_s) in found.items()
        }

    def _still_held(self, alive, key, horizon_s):
        holders = self._seen.get(key)
        if not holders:
            return None
        if alive is None:
            alive = holders
        return {
            name: min(seen_s, holders[name])
            for name, seen_s in alive.items()
            if holders.get(name, horizon_s) > horizon_s
        }

    def _belief(self, seen_s, now_s):
        return max(0.0, 1.0 - (now_s - seen_s) / self._max_age_s)
