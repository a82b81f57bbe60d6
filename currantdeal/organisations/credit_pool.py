"""Reserve of an entry, used while the owner of the quotas is not reached."""

from currantdeal.organisations.credit import POOL_TTL_S
from currantdeal.organisations.credit_messages import CreditAsk


class CreditPool:
    """Reserve of one entry for one organisation, and credit to return.

    Examples
    --------
    >>> from currantdeal.organisations import CreditGrant
    >>> pool = CreditPool()
    >>> grant = CreditGrant(organisation="bakery", pool=500, pool_ttl_s=10.0)
    >>> pool.fill(grant, epoch=1, sent_s=0.0)
    >>> pool.take(200, now_s=1.0), pool.take(400, now_s=1.0)
    (True, False)
    >>> pool.take(200, now_s=10.0)
    False
    """

    def __init__(self):
        """Start empty."""
        self._units = 0
        self._full_units = 0
        self._until_s = 0.0
        self._epoch = 0
        self._returned = []

    def take(self, units, *, now_s, kept=0.0):
        """Use the reserve for a request; returns False if it is too small.

        Some units may be kept for others.
        """
        if units + kept > self._units or now_s >= self._until_s:
            return False
        self._units -= units
        return True

    def give_back(self, units, *, granted_s, epoch):
        """Keep the credit of a request that was not sent for the owner."""
        if epoch == self._epoch:
            self._returned.append((units, granted_s))

    def ask(self, organisation, needs, *, now_s, urgencies=()):
        """Return the ``CreditAsk`` for some requests and for the reserve."""
        if now_s >= self._until_s:
            self._units = 0
        returned, self._returned = tuple(self._returned), []
        return CreditAsk(
            organisation=organisation,
            needs=tuple(needs),
            returned=returned,
            pool=self._units,
            epoch=self._epoch,
            urgencies=tuple(urgencies),
        )

    def fill(self, grant, *, epoch, sent_s):
        """Add the units of a grant to the reserve."""
        if epoch != self._epoch:
            self._returned = []
        self._epoch = epoch
        self._units += grant.pool
        self._full_units = max(self._units, grant.pool)
        self._until_s = sent_s + grant.pool_ttl_s

    def needs_refill(self, *, now_s):
        """Return whether the reserve is half used, or half of its time."""
        ages = now_s >= self._until_s - POOL_TTL_S / 2
        return ages or 2 * self._units < self._full_units or self.has_returns

    @property
    def has_returns(self):
        """True while there is credit to return."""
        return bool(self._returned)
