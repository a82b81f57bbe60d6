"""Charges the arrivals of one caller's request to the retry budget.

Load pattern: retry storm.  A connection sends a request of a caller only
together with ``Arrivals.begin``, which raises an error unless the retry
budget was charged for it.  So no path can send what is not charged.
"""

from dataclasses import dataclass
from enum import Enum

from currantdeal.core import boot_time_s
from currantdeal.node.errors import UnchargedError


class ArrivalKind(str, Enum):
    """What of a request arrives at an upstream.

    Attributes
    ----------
    PREFILL
        A prefill of its prompt.
    RUN
        A run of a generation.
    CALL
        A request that is not a generation.
    """

    PREFILL = "prefill"
    RUN = "run"
    CALL = "call"


@dataclass(frozen=True, kw_only=True)
class RetryCharge:
    """A charge to the retry budget, for one arrival.

    Parameters
    ----------
    until_s : float
        Time since boot until which the arrival may be sent.
    """

    until_s: float


class Arrivals:
    """Arrivals of one request, of which each but the first is charged.

    The first prefill that an upstream accepts is no arrival; until it is
    accepted, it counts as one.

    Parameters
    ----------
    service : str
        Service of the request.
    charge : callable
        Coroutine function that charges the budget of a service for a number
        of arrivals; returns a ``RetryCharge`` for each, or None if it does
        not suffice for all.
    give_back : callable
        Called with the service and charges of arrivals that are not sent.
    metrics : currantdeal.ports.MetricsPort
        Counts arrivals by their kind.
    clock : callable
        Returns the time since boot in seconds.

    Examples
    --------
    >>> import asyncio
    >>> from currantdeal.adapters.metrics import Metrics
    >>> async def charge(service, count):
    ...     return None
    >>> arrivals = Arrivals(
    ...     service="chat", charge=charge, give_back=print, metrics=Metrics())
    >>> arrivals.begin(ArrivalKind.PREFILL)
    >>> asyncio.run(arrivals.may_send(ArrivalKind.RUN))
    False
    >>> arrivals.accept_prefill()
    >>> asyncio.run(arrivals.may_send(ArrivalKind.RUN))
    True
    """

    def __init__(
        self, *, service, charge, give_back, metrics, clock=boot_time_s
    ):
        """Start before the first arrival."""
        self._service = service
        self._charge = charge
        self._give_back = give_back
        self._metrics = metrics
        self._clock = clock
        self._counted = 0
        self._charged = 0
        self._unused = []
        self._is_prefilled = False

    @property
    def retries(self):
        """Number of arrivals beyond the first."""
        return max(0, self._counted - 1)

    @property
    def charged(self):
        """Number of arrivals that were charged."""
        return self._charged

    @property
    def charge_left_s(self):
        """Seconds for which the charge of the last arrival to come holds."""
        if not self._unused:
            return 0.0
        return max(0.0, self._unused[-1].until_s - self._clock())

    async def may_send(self, kind, *, with_run=False):
        """Charge the budget for the next arrival, unless that was done.

        Returns False if the budget is used up.  A prompt is prefilled once
        more only if its run can be charged too; neither is charged without
        the other.

        Parameters
        ----------
        with_run : bool
            Whether that holds for the first prefill too.
        """
        self._drop_lapsed()
        needed = self._counted - self._charged
        with_run = with_run or self._is_prefilled
        if kind is ArrivalKind.PREFILL and with_run:
            needed += 1
        missing = needed - len(self._unused)
        if missing <= 0:
            return True
        self._add("retries_wanted_total", kind, missing)
        charges = await self._charge(self._service, missing)
        if charges is None:
            self._add("retries_denied_total", kind, missing)
            return False
        self._unused = sorted(
            (*self._unused, *charges), key=lambda charge: charge.until_s
        )
        return True

    def give_back(self):
        """Give all charges back of which the arrival was not sent."""
        self._return(self._unused)
        self._unused = []

    def begin(self, kind):
        """Count an arrival, which is sent next.

        Raises
        ------
        UnchargedError
            If it is not the first one, and no charge covers it.
        """
        is_retry = self._counted > self._charged
        if is_retry:
            self._use_charge()
        self._counted += 1
        charge = "retry" if is_retry else "none"
        self._add("arrivals_total", kind, charge=charge)

    def accept_prefill(self):
        """Record that an upstream accepted the prefill that was sent last."""
        if not self._is_prefilled:
            self._is_prefilled = True
            self._counted -= 1
            self._metrics.add("prefills_accepted_total", service=self._service)

    def _use_charge(self):
        self._drop_lapsed()
        if not self._unused:
            raise UnchargedError("the retry budget was not charged for it")
        self._unused.pop(0)
        self._charged += 1

    def _drop_lapsed(self):
        now_s = self._clock()
        self._return([c for c in self._unused if c.until_s <= now_s])
        self._unused = [c for c in self._unused if now_s < c.until_s]

    def _return(self, charges):
        if charges:
            self._give_back(self._service, charges)

    def _add(self, name, kind, amount=1, **labels):
        self._metrics.add(
            name, amount, service=self._service, kind=kind.value, **labels
        )
