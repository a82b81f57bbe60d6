"""Credit of a quota: granted by one owner, used by many entries.

Load pattern: noisy neighbour.  An organisation sends many times its usual
work, through all entries and from one moment to the next.  Equal shares for
the entries would refuse an organisation whose work is spread unevenly, and
free use until the entries have exchanged their sums overruns the quota by the
delay of the exchange.  So an entry obtains credit from one owner before it
sends a request, and keeps a small reserve for the time in which the owner is
not reached.

Operators state a bound on the use in any window, and what is asked below it
is owed.  So the owner counts grants in a sliding window.  A new owner does
not know what earlier ones granted; it starts with a token bucket that is
empty, and adds the rest of the window once nothing earlier counts in it:

    used <= bucket + extra + pools

``CreditBounds`` divides the bound into these parts.  It holds whatever dies,
is paused or partitioned: credit for a request is lost unless it is used or
returned while it is open, and reserves have an end.
"""

from currantdeal.organisations.credit_bounds import (
    CLOCK_DRIFT,
    MAX_OPEN_S,
    bounds_of,
)
from currantdeal.organisations.credit_bucket import CreditBucket
from currantdeal.organisations.credit_messages import CreditGrant

MAX_URGENCIES = 16
"""Number of urgencies told apart; what is less urgent counts as the last."""

POOL_TTL_S = 20.0
"""Time after which an unused reserve is lost."""


class CreditOwner:
    """Grants the credit of all organisations during one epoch.

    Earlier owners must have stopped to grant before it is opened.

    Parameters
    ----------
    epoch : int
        Distinguishes this owner from earlier and later ones.
    margin : QuotaMargin or None
        Margin above the quotas; None for allowances of retries.
    opened_s : float
        Time at which it is opened; minus infinity for the first owner, which
        starts with everything.
    inherited : dict
        Times and units of grants by the owner before, see ``grants``, by the
        name of the organisation; empty if they are not known.
    grants_unlimited : bool
        Whether asks of a name without a quota are granted.

    Examples
    --------
    >>> from currantdeal.organisations import (
    ...     CreditAsk, Organisation, Quota, QuotaMargin)
    >>> owner = CreditOwner(
    ...     epoch=1, opened_s=0.0,
    ...     margin=QuotaMargin(window_s=8.0, overshoot=0.0, slack=0.0))
    >>> owner.update((Organisation(
    ...     name="bakery", quota=Quota(rate_per_s=1.0, burst=4.0)),),
    ...     now_s=0.0)
    >>> ask = CreditAsk(organisation="bakery", needs=(3, 3, 3))
    >>> owner.grant("entry-1", ask, entries=1, now_s=60.0).granted
    (True, False, False)
    """

    def __init__(
        self,
        *,
        epoch,
        margin,
        opened_s,
        inherited=None,
        grants_unlimited=True,
    ):
        """Open with empty buckets."""
        self._grants_unlimited = grants_unlimited
        self._inherited = inherited or {}
        self.epoch = epoch
        self.opened_s = opened_s
        self._margin = margin
        self._bounds = {}
        self._buckets = {}

    def update(self, organisations, *, now_s):
        """Use the quotas of a configuration.

        A bucket keeps its level, up to its new capacity.
        """
        for name in self._buckets:
            self._refill(name, now_s)
        self._bounds = {
            organisation.name: bounds_of(organisation.quota, self._margin)
            for organisation in organisations
            if organisation.quota is not None
        }
        for name, bucket in tuple(self._buckets.items()):
            if name not in self._bounds:
                del self._buckets[name]
            else:
                bucket.limit_to(self._bounds[name])

    def grant(self, entry, ask, *, entries, now_s):
        """Return the ``CreditGrant`` for an ask of an entry.

        Parameters
        ----------
        entry : str
            Name of the entry.
        entries : int
            Number of entries, which share the reserves.
        """
        bounds = self._bounds.get(ask.organisation)
        if bounds is None:
            # Its quota was removed; the entry learns of that as well.
            return CreditGrant(
                organisation=ask.organisation,
                granted=(self._grants_unlimited,) * len(ask.needs),
                open_s=MAX_OPEN_S,
            )
        bucket = self._refill(ask.organisation, now_s)
        self._take_back(bucket, bounds, ask, now_s)
        granted, kept = _grant_needs(bucket, bounds, ask, now_s)
        refusals = _refusals(bucket, bounds, ask, granted, kept, now_s)
        refused_s = [
            s for (s, _), g in zip(refusals, granted, strict=True) if not g
        ]
        return CreditGrant(
            organisation=ask.organisation,
            granted=granted,
            granted_s=now_s,
            retry_after_s=max(refused_s, default=0.0),
            refusals=refusals if refused_s and ask.urgencies else (),
            open_s=bounds.open_s,
            pool=self._fill_pool(bucket, bounds, entry, ask, entries, now_s),
            pool_ttl_s=POOL_TTL_S,
        )

    def grants(self, *, now_s):
        """Return grants beyond the buckets, by organisation, for a successor.

        Each has the age of its end, in seconds, and its units.
        """
        return {
            name: tuple(
                (round(now_s - end_s, 3), int(units))
                for end_s, units in bucket.grants()
            )
            for name, bucket in self._buckets.items()
            if bucket.grants()
        }

    def level(self, organisation, *, now_s):
        """Return the units that could be granted to an organisation now."""
        bucket = self._refill(organisation, now_s)
        return bucket.available(self._bounds[organisation], now_s=now_s)

    def _refill(self, name, now_s):
        bucket = self._buckets.get(name)
        if bucket is None:
            bucket = CreditBucket(
                opened_s=self.opened_s,
                window_s=self._bounds[name].window_s,
                inherited=self._inherited.get(name, ()),
            )
            self._buckets[name] = bucket
        bucket.refill(self._bounds[name], now_s=now_s)
        return bucket

    def _take_back(self, bucket, bounds, ask, now_s):
        if ask.epoch != self.epoch:
            return
        # Credit that was open for longer may come back in another window
        # than the one in which it was granted.
        for units, granted_s in ask.returned:
            if now_s < granted_s + bounds.open_s:
                bucket.give_back(units, bounds, granted_s=granted_s)

    def _fill_pool(self, bucket, bounds, entry, ask, entries, now_s):
        """Return the units to add to the reserve of an entry.

        The recorded size of a reserve is an upper bound of what the entry
        holds, also if an answer is lost.
        """
        bucket.expire_pools(now_s)
        others = sum(
            units for name, (units, _) in bucket.pools.items() if name != entry
        )
        room = int(min(bounds.pools / max(1, entries), bounds.pools - others))
        held = ask.pool
        added = max(0, room - held)
        longest_s = POOL_TTL_S * (1.0 + CLOCK_DRIFT)
        is_new = now_s < self.opened_s + longest_s
        kept = bucket.kept_from(
            bucket.share.least_urgent, added, bounds, now_s=now_s
        )
        if is_new or not bucket.take(added, bounds, now_s=now_s, kept=kept):
            # Reserves of earlier owners may be in use until they expire, and
            # their entries keep them, but no more is added meanwhile.
            added = 0
        known, _ = bucket.pools.get(entry, (0, 0.0))
        if held + added or known:
            size = max(known, held + added)
            bucket.pools[entry] = (size, now_s + longest_s)
        return added


def _grant_needs(bucket, bounds, ask, now_s):
    """Return for each need whether it is granted, and what it leaves."""
    urgencies = _urgencies(ask)
    granted = [False] * len(ask.needs)
    kept = [0.0] * len(ask.needs)
    for urgency, units in zip(urgencies, ask.needs, strict=True):
        bucket.share.record_ask(urgency, units, now_s=now_s)
    for position in sorted(
        range(len(ask.needs)),
        key=lambda position: urgencies[position] or 0,
    ):
        urgency, units = urgencies[position], ask.needs[position]
        kept[position] = bucket.kept_from(urgency, units, bounds, now_s=now_s)
        granted[position] = bucket.take(
            units, bounds, now_s=now_s, kept=kept[position]
        )
        bucket.share.record_outcome(
            urgency, units, granted=granted[position], now_s=now_s
        )
    return tuple(granted), tuple(kept)


def _refusals(bucket, bounds, ask, granted, kept, now_s):
    """Return for each need when it can be met, and what it left."""
    urgencies = _urgencies(ask)
    missing = {}
    for urgency, units, is_granted in zip(
        urgencies, ask.needs, granted, strict=True
    ):
        if not is_granted:
            missing.setdefault(urgency, []).append(units)
    after_s = {
        urgency: bucket.promise(
            missing[urgency], bounds, urgency=urgency, now_s=now_s
        )
        for urgency in sorted(missing, key=lambda urgency: urgency or 0)
    }
    return tuple(
        (0.0, 0) if is_granted else (after_s[urgency], int(units))
        for urgency, is_granted, units in zip(
            urgencies, granted, kept, strict=True
        )
    )


def _urgencies(ask):
    """Return an urgency for each need; None for those without one."""
    named = [
        min(max(0, urgency), MAX_URGENCIES - 1)
        for urgency in ask.urgencies[: len(ask.needs)]
    ]
    return (*named, *[None] * (len(ask.needs) - len(named)))
