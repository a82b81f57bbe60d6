"""Grants to one organisation: a token bucket and a sliding window."""

from collections import deque

from currantdeal.organisations.credit_bounds import BASE_DEPTH_S
from currantdeal.organisations.urgency_share import (
    LESS_URGENT_SHARE,
    UrgencyShare,
)

SLOT_S = 0.1
"""Resolution of the sliding window."""


class CreditBucket:
    """What an owner has granted to one organisation.

    Parameters
    ----------
    opened_s : float
        Time at which the owner was opened; minus infinity for the first one.
    window_s : float
        Length of the sliding window.
    inherited : iterable of tuple
        End times and units of grants beyond the bucket by the owner before,
        as far as they are known.

    Attributes
    ----------
    pools : dict
        Size and end of the reserve of each entry.
    share : UrgencyShare
        Demand by urgency.

    Examples
    --------
    >>> from currantdeal.organisations.credit_bounds import CreditBounds
    >>> bounds = CreditBounds(
    ...     window_s=8.0, base_rate_per_s=1.0, base_depth=2.0, extra=5.0,
    ...     pools=0.0)
    >>> bucket = CreditBucket(opened_s=0.0, window_s=8.0)
    >>> bucket.refill(bounds, now_s=4.0)
    >>> bucket.available(bounds, now_s=4.0)
    2.0
    >>> bucket.refill(bounds, now_s=8.0)
    >>> bucket.take(6, bounds, now_s=8.0), bucket.take(6, bounds, now_s=8.0)
    (True, False)
    """

    def __init__(self, *, opened_s, window_s, inherited=()):
        """Start empty."""
        self.pools = {}
        self.share = UrgencyShare(window_s=window_s)
        self._opened_s = opened_s
        self._inherited = deque(sorted(inherited))
        self._freed = 0.0
        self._updated_s = opened_s
        self._level = 0.0
        self._promised = {}
        self._slots = deque()
        self._extra_used = 0.0

    def refill(self, bounds, *, now_s):
        """Fill the bucket, and drop grants that have left the window."""
        passed_s = max(0.0, now_s - self._updated_s)
        gained = bounds.base_rate_per_s * passed_s
        self._level = min(bounds.base_depth, self._level + gained)
        self._fulfil_promises(gained)
        self.share.gain(min(bounds.base_depth, gained), now_s=now_s)
        self._updated_s = max(self._updated_s, now_s)
        start_s = now_s - bounds.window_s
        while self._slots and self._slots[0][0] <= start_s:
            self._extra_used -= self._slots.popleft()[1]
        while self._inherited and self._inherited[0][0] <= start_s:
            end_s, units = self._inherited.popleft()
            # What left the window before the opening may have been granted
            # once more by the owner before.
            if end_s + bounds.window_s > self._opened_s:
                self._freed += units

    def limit_to(self, bounds):
        """Reduce the level to the capacity of other bounds."""
        self._level = min(self._level, bounds.base_depth)

    def available(self, bounds, *, now_s):
        """Return the units that can be granted now."""
        return self._level + self._extra_left(bounds, now_s)

    def take(self, units, bounds, *, now_s, kept=0.0):
        """Grant units; returns False if fewer are left beyond those kept."""
        extra_left = self._extra_left(bounds, now_s)
        if units + kept > self._level + extra_left:
            return False
        extra = max(0.0, units - self._level)
        if extra_left <= kept:
            # What is kept is kept in the bucket, which gains it again; the
            # window would stay unused.
            extra = max(extra, min(units, extra_left))
        self._level -= units - extra
        if extra:
            self._add_to_window(extra, now_s)
        return True

    def kept_from(self, urgency, units, bounds, *, now_s):
        """Return the units that a request must leave to others."""
        return self.share.kept_from(
            urgency,
            units,
            ahead_s=BASE_DEPTH_S,
            depth=bounds.base_depth,
            now_s=now_s,
        )

    def give_back(self, units, bounds, *, granted_s):
        """Take back units of a grant that were not used.

        They leave the window in which they were counted, so that no window
        has more grants than before; the rest came from the bucket.
        """
        for position in range(len(self._slots) - 1, -1, -1):
            end_s, counted = self._slots[position]
            if end_s - SLOT_S <= granted_s <= end_s:
                removed = min(units, counted)
                self._slots[position] = (end_s, counted - removed)
                self._extra_used -= removed
                units -= removed
                break
        self._level = min(bounds.base_depth, self._level + units)

    def promise(self, missing, bounds, *, urgency=None, now_s=0.0):
        """Return the time after which the first missing need can be met.

        What was promised to others as urgent or more urgent before is
        counted, so that callers who were refused do not return together, and
        what more urgent ones ask for meanwhile.  Where the bucket never
        fills, it is the window of what is granted beyond it.
        """
        if not missing:
            return 0.0
        rank = 0 if urgency is None else urgency
        before = sum(u for r, u in self._promised.items() if r <= rank)
        kept = self.kept_from(urgency, missing[0], bounds, now_s=now_s)
        short = before + missing[0] + kept - self._level
        self._promised[rank] = self._promised.get(rank, 0.0) + sum(missing)
        rate = bounds.base_rate_per_s
        if not rate:
            return bounds.window_s
        left = rate - self.share.rate_before(urgency, now_s=now_s)
        left = max(left, LESS_URGENT_SHARE * rate)
        return round(max(0.0, short) / left, 3)

    def expire_pools(self, now_s):
        """Forget the reserves that can no longer be used."""
        for entry, (_, ends_s) in tuple(self.pools.items()):
            if ends_s <= now_s:
                del self.pools[entry]

    def grants(self):
        """Return end times and units of the grants beyond the bucket."""
        return (*self._inherited, *self._slots)

    def _fulfil_promises(self, units):
        """Deduct what the bucket gained, the most urgent promises first."""
        for rank in sorted(self._promised):
            fulfilled = min(units, self._promised[rank])
            self._promised[rank] -= fulfilled
            units -= fulfilled
            if not self._promised[rank]:
                del self._promised[rank]

    def _extra_left(self, bounds, now_s):
        extra = bounds.extra
        if now_s < self._opened_s + bounds.window_s:
            # The owner before may have granted all that it could until the
            # opening; only what it is known to have granted earlier is free
            # again before a whole window has passed.
            extra = min(extra, self._freed)
        return max(0.0, extra - self._extra_used)

    def _add_to_window(self, units, now_s):
        # A slot counts until its end has left the window.
        end_s = now_s + SLOT_S
        if self._slots and self._slots[-1][0] >= now_s:
            end_s, counted = self._slots.pop()
            self._slots.append((end_s, counted + units))
        else:
            self._slots.append((end_s, units))
        self._extra_used += units
