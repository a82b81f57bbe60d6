"""Serialisation of local prefills at decode engines.

Load pattern: a burst, or a pool without its only prefill engine.  Many entries
have prompts prefilled by the same few decode engines.  One prefill between two
events of a stream is a pause that callers don't notice; two at once double it,
and every stream of the engine is late.  The sums of loads are too old to show
this: a prefill takes about as long as an exchange of loads.

So an entry notifies the others at once when it starts a prefill at a decode
engine, with its duration, and each entry waits for the end of the prefills of
which it was notified.  There are no grants, so a lost notice costs only a
longer pause.
"""

ROUND_TRIP_MARGIN_S = 0.02
"""Time between two prefills, for the round trip to the engine."""


class LocalPrefills:
    """Local prefills in progress at decode engines, as one entry knows them.

    Examples
    --------
    >>> prefills = LocalPrefills()
    >>> prefills.start("d1", 0.2, now_s=1.0)
    >>> round(prefills.free_in_s("d1", now_s=1.1), 2)
    0.12
    >>> prefills.free_in_s("d1", now_s=2.0)
    0.0
    >>> prefills.free_in_s("d2", now_s=1.0)
    0.0
    """

    def __init__(self):
        """Start without prefills."""
        self._until_s = {}

    def start(self, upstream, for_s, *, now_s):
        """Record a prefill that starts now, or after those in progress.

        The prompts at one engine are prefilled one after the other.
        """
        start_s = max(now_s, self._until_s.get(upstream, 0.0))
        self._until_s[upstream] = start_s + for_s + ROUND_TRIP_MARGIN_S

    def free_in_s(self, upstream, *, now_s):
        """Return the seconds until an engine has ended all its prefills."""
        return max(0.0, self._until_s.get(upstream, 0.0) - now_s)

    def is_prefilling(self, upstream, *, now_s):
        """Return whether an engine prefills a prompt now."""
        return self.free_in_s(upstream, now_s=now_s) > 0.0
