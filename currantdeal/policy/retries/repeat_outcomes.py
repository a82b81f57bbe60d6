"""Measured success of repeated calls, by service.

Load pattern: retry storm.  Some calls fail wherever they run, because of what
they ask for.  A repeat of one costs as much of the retry budget as one that
would help, which is then missing for calls whose connection was lost.  While
the budget suffices for all, nothing is withheld.

A single entry repeats too few calls to learn this, so entries add up what they
count with the sums of loads.
"""

from collections import deque

WINDOW_S = 30.0
"""Time for which an outcome counts."""

MIN_REPEATS = 10
"""Repeats that are needed to judge a service."""

MAX_FAILED_SHARE = 0.5
"""Share of repeats that fail above which they do not pay."""

_NOTHING = (0, 0, 0)


class RepeatOutcomes:
    """Outcomes of repeats after an error, and the sums over all entries.

    Examples
    --------
    >>> outcomes = RepeatOutcomes()
    >>> for _ in range(10):
    ...     outcomes.record("shop", failed=True, now_s=1.0)
    >>> outcomes.pays("shop", now_s=2.0)
    True
    >>> outcomes.record_denied("shop", now_s=2.0)
    >>> outcomes.pays("shop", now_s=2.0), outcomes.pays("bank", now_s=2.0)
    (False, True)
    >>> outcomes.pays("shop", now_s=40.0)
    True
    """

    def __init__(self):
        """Start without outcomes."""
        self._outcomes = deque()
        self._shared = {}

    def record(self, service, *, failed, now_s):
        """Record the outcome of a call that was repeated after an error."""
        self._outcomes.append((now_s, service, failed))
        self._drop_old(now_s)

    def record_denied(self, service, *, now_s):
        """Record that the budget of a service did not allow a retry."""
        self._outcomes.append((now_s, service, None))
        self._drop_old(now_s)

    def counts(self, *, now_s):
        """Return repeats, failed ones and denied retries, by service."""
        self._drop_old(now_s)
        found = {}
        for _, service, failed in self._outcomes:
            counts = found.setdefault(service, [0, 0, 0])
            counts[0] += failed is not None
            counts[1] += failed is True
            counts[2] += failed is None
        return {service: tuple(counts) for service, counts in found.items()}

    def update_sums(self, shared):
        """Replace the counts of all entries, which include this one."""
        self._shared = shared

    def pays(self, service, *, now_s):
        """Return whether to spend the budget on a repeat after an error.

        It pays if it is likely to succeed, or if the budget lasts anyway.
        """
        own = self.counts(now_s=now_s).get(service, _NOTHING)
        shared = self._shared.get(service, _NOTHING)
        repeats, failures, denied = map(max, own, shared)
        mostly_fail = failures > MAX_FAILED_SHARE * repeats
        return not (denied and repeats >= MIN_REPEATS and mostly_fail)

    def _drop_old(self, now_s):
        while self._outcomes and now_s - self._outcomes[0][0] > WINDOW_S:
            self._outcomes.popleft()
