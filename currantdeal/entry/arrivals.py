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
        Coroutine function that charges the budget of a service for one
        arrival; returns a ``RetryCharge``, or None if it is used up.
    metrics : currantdeal.ports.MetricsPort
        Counts arrivals by their kind.
    clock : callable
        Returns the time since boot in seconds.

    Examples
    --------
    >>> import asyncio
    >>> from currantdeal.adapters.metrics import Metrics
    >>> async def charge(service):
    ...     return None
    >>> arrivals = Arrivals(
    ...     service="chat", charge=charge, metrics=Metrics())
    >>> arrivals.begin(ArrivalKind.PREFILL)
    >>> asyncio.run(arrivals.may_send(ArrivalKind.RUN))
    False
    >>> arrivals.accept_prefill()
    >>> asyncio.run(arrivals.may_send(ArrivalKind.RUN))
    True
    """

    def __init__(self, *, service, charge, metrics, clock=boot_time_s):
        """Start before the first arrival."""
        self._service = service
        self._charge = charge
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
        more only if its run can be charged too.

        Parameters
        ----------
        with_run : bool
            Whether that holds for the first prefill too.
        """
        needed = self._counted - self._charged
        with_run = with_run or self._is_prefilled
        if kind is ArrivalKind.PREFILL and with_run:
            needed += 1
        now_s = self._clock()
        self._unused = [c for c in self._unused if now_s < c.until_s]
        while len(self._unused) < needed:
            self._add("retries_wanted_total", kind)
            charge = await self._charge(self._service)
            if charge is None:
                self._add("retries_denied_total", kind)
                return False
            self._unused.append(charge)
        return True

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

    def give_back(self):
        """Return the charges that are not used."""
        self._unused.clear()

    def accept_prefill(self):
        """Record that an upstream accepted the prefill that was sent last."""
        if not self._is_prefilled:
            self._is_prefilled = True
            self._counted -= 1
            self._metrics.add("prefills_accepted_total", service=self._service)

    def _use_charge(self):
        while self._unused:
            if self._clock() < self._unused.pop(0).until_s:
                self._charged += 1
                return
        raise UnchargedError("the retry budget was not charged for it")

    def _add(self, name, kind, **labels):
        self._metrics.add(
            name, service=self._service, kind=kind.value, **labels
        )
