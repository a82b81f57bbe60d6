"""Charges retries to the budgets that services have over all entries.

Credit that an entry's own requests give is used first.  The rest is granted by
one owner, like credit of quotas, so that the sum over all entries is bounded
whatever becomes of them; see ``currantdeal.organisations.credit``.
"""

from dataclasses import dataclass

from currantdeal.core import boot_time_s
from currantdeal.entry.arrivals import RetryCharge
from currantdeal.entry.errors import RefusedError
from currantdeal.entry.quotas import QuotaClient
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

    async def charge(self, service):
        """Return a ``RetryCharge``; None if the budget is used up."""
        now_s = self._clock()
        if self._credit(service).try_take(now_s=now_s):
            return RetryCharge(until_s=now_s + HELD_CREDIT_S)
        try:
            admission = await self._owner.admit(
                service, 1, wait_s=OWNER_WAIT_S
            )
        except RefusedError:
            # Counted as denied; the request's log line has a step for it.
            self.on_denied(service)
            return None
        return RetryCharge(until_s=admission.until_s)

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
