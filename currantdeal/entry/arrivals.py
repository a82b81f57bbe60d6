"""Counts the arrivals of one caller's request at upstreams."""

from enum import Enum


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


class Arrivals:
    """Arrivals of one request, of which each but the first is a retry.

    The first prefill that an upstream accepts is no arrival.

    Parameters
    ----------
    service : str
        Service of the request.
    metrics : currantdeal.ports.MetricsPort
        Counts arrivals by their kind.

    Examples
    --------
    >>> from currantdeal.adapters.metrics import Metrics
    >>> arrivals = Arrivals(service="chat", metrics=Metrics())
    >>> arrivals.record(ArrivalKind.PREFILL)
    >>> arrivals.accept_prefill()
    >>> arrivals.record(ArrivalKind.RUN)
    >>> arrivals.retries
    0
    >>> arrivals.record(ArrivalKind.RUN)
    >>> arrivals.retries
    1
    """

    def __init__(self, *, service, metrics):
        """Start before the first arrival."""
        self._service = service
        self._metrics = metrics
        self._counted = 0
        self._is_prefilled = False
        self.charged = 0

    @property
    def retries(self):
        """Number of arrivals beyond the first."""
        return max(0, self._counted - 1)

    def record(self, kind):
        """Count a message of the request that is sent to an upstream."""
        self._counted += 1
        self._metrics.add(
            "arrivals_total", service=self._service, kind=kind.value
        )

    def accept_prefill(self):
        """Record that an upstream accepted the prefill that was sent last."""
        if not self._is_prefilled:
            self._is_prefilled = True
            self._counted -= 1
            self._metrics.add("prefills_accepted_total", service=self._service)
