"""Divides the credit of one organisation by the urgency of its requests.

Load pattern: noisy neighbour within an organisation.  Less urgent requests
ask for more than the quota, and urgent ones find no credit.  Trunk
reservation keeps a part of the bucket for what is more urgent, and a minimum
share of its gain for what is less.
"""

import math

LESS_URGENT_SHARE = 0.25
"""Share of a bucket's gain for urgencies that others would starve."""


class _Demand:
    """What requests of one urgency ask for."""

    __slots__ = ("asked_s", "need", "owed", "refused_s", "units")

    def __init__(self):
        self.units = 0.0
        self.need = 0.0
        self.asked_s = -math.inf
        self.refused_s = -math.inf
        self.owed = 0.0


class UrgencyShare:
    """Demand of an organisation by urgency; 0 is the most urgent.

    Requests of one urgency, and those that name none, are not divided.

    Parameters
    ----------
    window_s : float
        Time after its last request for which an urgency counts, and over
        which its rate is averaged.

    Examples
    --------
    >>> share = UrgencyShare(window_s=8.0)
    >>> for urgency in (0, 2):
    ...     share.record_ask(urgency, 30, now_s=0.0)
    >>> [share.kept_from(u, 30, ahead_s=1.0, depth=100.0, now_s=0.0)
    ...  for u in (0, 2, None)]
    [0.0, 30.0, 0.0]
    """

    def __init__(self, *, window_s):
        """Start without demand."""
        self._window_s = window_s
        self._demands = {}

    def record_ask(self, urgency, units, *, now_s):
        """Record that a request asks for credit."""
        self._expire(now_s)
        if urgency is None:
            return
        demand = self._demands.setdefault(urgency, _Demand())
        decay = math.exp(min(0.0, demand.asked_s - now_s) / self._window_s)
        demand.units = demand.units * decay + units
        demand.need = max(units, demand.need * decay)
        demand.asked_s = max(demand.asked_s, now_s)

    def record_outcome(self, urgency, units, *, granted, now_s):
        """Record whether the credit was granted."""
        if urgency is None:
            return
        demand = self._demands[urgency]
        if granted:
            demand.owed = max(0.0, demand.owed - units)
        else:
            demand.refused_s = now_s

    def gain(self, units, *, now_s):
        """Divide what the bucket gained among those that others starve."""
        self._expire(now_s)
        start_s = now_s - self._window_s
        first = min(self._demands, default=0)
        starved = [
            demand
            for urgency, demand in self._demands.items()
            if urgency > first and demand.refused_s > start_s
        ]
        for demand in starved:
            more = LESS_URGENT_SHARE * units / len(starved)
            demand.owed = min(demand.owed + more, demand.need)

    def kept_from(self, urgency, units, *, ahead_s, depth, now_s):
        """Return the units that a request must leave to others.

        Parameters
        ----------
        ahead_s : float
            What more urgent requests ask for in this time, and one need of
            each, is kept for them.
        depth : float
            Capacity of the bucket; a full one serves any need within it.
        """
        if urgency is None:
            return 0.0
        owed = sum(d.owed for u, d in self._demands.items() if u != urgency)
        demand = self._demands.get(urgency)
        kept = owed
        if demand is None or demand.owed < units:
            kept += sum(
                max(d.need, ahead_s * self._rate(d, now_s))
                for u, d in self._demands.items()
                if u < urgency
            )
        return min(kept, max(0.0, depth - units))

    def rate_before(self, urgency, *, now_s):
        """Return the units a second that more urgent requests ask for."""
        if urgency is None:
            return 0.0
        return sum(
            self._rate(demand, now_s)
            for u, demand in self._demands.items()
            if u < urgency
        )

    @property
    def least_urgent(self):
        """The least urgent of those that count; None without any."""
        return max(self._demands, default=None)

    def _expire(self, now_s):
        for urgency, demand in tuple(self._demands.items()):
            if demand.asked_s <= now_s - self._window_s:
                del self._demands[urgency]

    def _rate(self, demand, now_s):
        age_s = max(0.0, now_s - demand.asked_s)
        decay = math.exp(-age_s / self._window_s)
        return demand.units * decay / self._window_s
