"""Charges retries to the budgets that services have over all entries.

Credit that an entry's own requests give is used first.  The rest is granted by
one owner, like credit of quotas, so that the sum over all entries is bounded
whatever becomes of them; see ``currantdeal.organisations.credit``.
"""

from dataclasses import dataclass, replace
from functools import singledispatchmethod

from currantdeal.core import boot_time_s
from currantdeal.entry.arrivals import RetryCharge
from currantdeal.entry.errors import RefusedError
from currantdeal.entry.quotas import Admission, QuotaClient
from currantdeal.policy.retries.request_credit import (
    HELD_CREDIT_S,
    RequestCredit,
)

OWNER_WAIT_S = 0.3
"""Longest wait for the owner.

A caller whose request is refused can return soon.
"""


@dataclass(frozen=True, kw_only=True)
class RetryRatio:
    """Retries allowed for each request, in a window of this length."""

    ratio: float
    window_s: float


@dataclass(frozen=True, kw_only=True)
class OwnCharge(RetryCharge):
    """A charge to the credit of this entry's own requests.

    Parameters
    ----------
    requests : tuple of float
        The requests that gave the credit, see ``RequestCredit``.
    """

    requests: tuple[float, ...]


@dataclass(frozen=True, kw_only=True)
class OwnerCharge(RetryCharge):
    """A charge to the credit that the owner granted.

    Parameters
    ----------
    admission : Admission
        Credit for this one arrival.
    """

    admission: Admission


class RetryBudgets:
    """Retry budgets of all services at one entry.

    Parameters
    ----------
    bounds : RetryRatio
        What the requests of a service allow.
    clock : callable
        Returns the time since boot in seconds.

    Attributes
    ----------
    on_denied : callable
        Called with a service whose budget is used up.
    """

    def __init__(self, *, bounds, clock=boot_time_s):
        """Start without credit."""
        self._bounds = bounds
        self._clock = clock
        self._own = {}
        self.on_denied = lambda service: None
        self._owner = QuotaClient(clock=clock, keeps_reserves=False)

    def connect(self, ask_owner):
        """Set the coroutine function that asks the owner, as for quotas."""
        self._owner.ask_owner = ask_owner

    def record_request(self, service):
        """Record a request of a caller for a service."""
        self._credit(service).record_request(now_s=self._clock())

    async def charge(self, service, count):
        """Charge some arrivals, or none of them.

        Returns a ``RetryCharge`` for each; None if the budget does not
        suffice for all.
        """
        own = self._charge_own(service, count)
        if len(own) == count:
            return own
        try:
            admission = await self._owner.admit(
                service, count - len(own), wait_s=OWNER_WAIT_S
            )
        except RefusedError:
            # Counted as denied; the request's log line has a step for it.
            self.give_back(service, own)
            self.on_denied(service)
            return None
        except BaseException:
            self.give_back(service, own)
            raise
        granted = OwnerCharge(
            until_s=admission.until_s, admission=replace(admission, units=1)
        )
        return (*own, *(granted,) * admission.units)

    def give_back(self, service, charges):
        """Take back charges of arrivals that will not be sent.

        They may have lapsed.
        """
        for charge in charges:
            self._take_back(charge, service)

    @singledispatchmethod
    def _take_back(self, charge, service):
        raise TypeError(f"not a charge of a budget: {charge!r}")

    @_take_back.register
    def _(self, charge: OwnCharge, service):
        self._credit(service).give_back(charge.requests)

    @_take_back.register
    def _(self, charge: OwnerCharge, service):
        if self._clock() < charge.until_s:
            self._owner.give_back(charge.admission)

    def _charge_own(self, service, count):
        """Charge up to some arrivals to the credit of own requests."""
        now_s = self._clock()
        credit = self._credit(service)
        return tuple(
            OwnCharge(
                until_s=now_s + HELD_CREDIT_S,
                requests=credit.take(1, now_s=now_s),
            )
            for _ in range(min(count, credit.left(now_s=now_s)))
        )

    def left(self):
        """Return the retries for which each service has credit here."""
        now_s = self._clock()
        return {
            name: credit.left(now_s=now_s)
            for name, credit in self._own.items()
        }

    def _credit(self, service):
        found = self._own.get(service)
        if found is None:
            found = self._own[service] = RequestCredit(
                ratio=self._bounds.ratio, window_s=self._bounds.window_s
            )
        return found
