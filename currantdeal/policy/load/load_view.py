"""Estimate the load of upstreams from lagged reports and own reservations.

Load pattern: thundering herd within one report interval.  Reports arrive about
every half second, so a router that relies on them alone sends all requests of
that half second to the engine that looked least loaded.  An instance therefore
adds what it reserved itself to the last report, for half a second, after which
the next report contains it.
"""

from collections import deque
from dataclasses import dataclass

REPORT_LAG_S = 0.5


@dataclass(frozen=True, kw_only=True)
class LoadEstimate:
    """Estimated load of one upstream.

    Parameters
    ----------
    pieces_free : int or None
        Free pieces of memory; None without a report.
    queued_tokens : int
        Prompt tokens that wait for prefill.
    prefill_tokens_per_s, step_s : float
        Speed that the engine measured; 0 if unknown.
    """

    pieces_free: int | None = None
    queued_tokens: int = 0
    prefill_tokens_per_s: float = 0.0
    step_s: float = 0.0


_NO_REPORT = LoadEstimate()


class LoadView:
    """The load of upstreams as one instance estimates it.

    Parameters
    ----------
    source : callable
        Maps an upstream id to its last ``LoadReport`` or None.

    Examples
    --------
    >>> from currantdeal.core import LoadReport
    >>> from currantdeal.policy import LoadView
    >>> view = LoadView(source=lambda name: LoadReport(
    ...     upstream_id=name, incarnation=1, pieces_free=100))
    >>> view.record_reservation("d1", pieces=30, tokens=0, now_s=0.0)
    >>> view.get("d1", now_s=0.1).pieces_free
    70
    >>> view.get("d1", now_s=1.0).pieces_free
    100
    """

    def __init__(self, *, source):
        """Start without own reservations."""
        self._source = source
        self._reservations = {}
        self._cached_estimates = {}

    def get(self, upstream_id, *, now_s):
        """Return the ``LoadEstimate`` of an upstream."""
        report = self._source(upstream_id)
        recent = self._recent_totals(upstream_id, now_s)
        if recent is None:
            return self._estimate_of_report(upstream_id, report)
        pieces, tokens = recent
        if report is None:
            return LoadEstimate(queued_tokens=tokens)
        return LoadEstimate(
            pieces_free=report.pieces_free - pieces,
            queued_tokens=report.queued_tokens + tokens,
            prefill_tokens_per_s=report.prefill_tokens_per_s,
            step_s=report.step_s,
        )

    def record_reservation(self, upstream_id, *, pieces, tokens, now_s):
        """Record what this instance just reserved at an upstream."""
        recent = self._reservations.setdefault(
            upstream_id, _RecentReservations()
        )
        recent.add(now_s, pieces, tokens)

    def _estimate_of_report(self, upstream_id, report):
        # Most engines have no recent reservations.  Their estimate is cached
        # because building it for each candidate of each decision would double
        # the cost of a decision.
        if report is None:
            return _NO_REPORT
        cached = self._cached_estimates.get(upstream_id)
        if cached is None or cached[0] is not report:
            estimate = LoadEstimate(
                pieces_free=report.pieces_free,
                queued_tokens=report.queued_tokens,
                prefill_tokens_per_s=report.prefill_tokens_per_s,
                step_s=report.step_s,
            )
            cached = self._cached_estimates[upstream_id] = (report, estimate)
        return cached[1]

    def _recent_totals(self, upstream_id, now_s):
        recent = self._reservations.get(upstream_id)
        if not recent:
            return None
        recent.expire(now_s - REPORT_LAG_S)
        return recent.pieces, recent.tokens


class _RecentReservations:
    __slots__ = ("_reservations", "pieces", "tokens")

    def __init__(self):
        self._reservations = deque()
        self.pieces = 0
        self.tokens = 0

    def __len__(self):
        return len(self._reservations)

    def add(self, now_s, pieces, tokens):
        self._reservations.append((now_s, pieces, tokens))
        self.pieces += pieces
        self.tokens += tokens

    def expire(self, before_s):
        while self._reservations and self._reservations[0][0] <= before_s:
            _, pieces, tokens = self._reservations.popleft()
            self.pieces -= pieces
            self.tokens -= tokens
