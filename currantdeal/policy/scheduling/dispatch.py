"""Dispatched work that requests reservations until an engine grants one.

Load pattern: saturated pool.  The first engine refuses, and often the second.
Requesting only one engine would leave memory idle that is released on others;
requesting all of them in every round would multiply the reservation requests
just when the homes are busiest, and would leave places in every wait queue.
So dispatched work tries three engines at first.  After that it waits for the
engine that announced free memory soonest: it requests a reservation there
after each pause of 20 ms, and also at one other engine that has not refused
for 0.3 s.
"""

FIRST_ATTEMPTS = 3
ATTEMPTS_AFTER_PAUSE = 2
RETRY_INTERVAL_S = 0.02
DECODE_REFUSAL_COOLDOWN_S = 0.3
UNREACHABLE_RETRY_S = 1.0


class Dispatch:
    """Work that is being dispatched, until it is reserved or given up.

    Parameters
    ----------
    queued : Queued
        The work.
    """

    def __init__(self, *, queued):
        """Start with the attempts of the first round."""
        self.queued = queued
        # Time of the next attempt; None while reservations are pending.
        self.due_s = None
        self.attempts_left = FIRST_ATTEMPTS
        self.refused_until_s = {}
        self._preferred = None
        self._preferred_wait_s = float("inf")
        self._try_preferred = False
        self._preferred_is_fixed = False

    def record_decode_refusal(self, upstream_id, retry_after_s, now_s):
        """Record a refusal; prefer the engine that has free memory soonest."""
        self.refused_until_s[upstream_id] = now_s + DECODE_REFUSAL_COOLDOWN_S
        if retry_after_s <= 0:
            # The home did not respond or is changing.  It announced no time,
            # and each attempt there could cost a timeout.
            retry_after_s = UNREACHABLE_RETRY_S
        if (
            not self._preferred_is_fixed
            and retry_after_s < self._preferred_wait_s
        ):
            self._preferred = upstream_id
            self._preferred_wait_s = retry_after_s

    def pause(self, now_s):
        """Wait for the retry interval, then try the preferred engine first."""
        self.due_s = now_s + RETRY_INTERVAL_S
        self.attempts_left = ATTEMPTS_AFTER_PAUSE
        self._try_preferred = True
        self._preferred_is_fixed = self._preferred is not None

    def take_preferred(self):
        """Return the engine to try first after a pause, or None."""
        if not self._try_preferred:
            return None
        self._try_preferred = False
        return self._preferred

    def record_prefill_refusal(self, upstream_id, retry_after_s, now_s):
        """Record that a prefill engine refused."""
        until_s = now_s + (retry_after_s or UNREACHABLE_RETRY_S)
        self.refused_until_s[upstream_id] = until_s

    def recently_refused(self, now_s):
        """Return the engines that refused recently."""
        return {
            name
            for name, until_s in self.refused_until_s.items()
            if until_s > now_s
        }
