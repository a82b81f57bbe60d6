"""Lagged load, corrected by what this instance did since.

The load pattern is a burst within one report interval.  Reports arrive about
every half second, so a router that believes them alone sends everything of
that half second to the engine that looked emptiest.  What this instance has
sent itself since then it knows: it is added to the report for half a second,
after which the next report contains it.
"""

from collections import deque
from dataclasses import dataclass

REPORT_LAG_S = 0.5


@dataclass(frozen=True, kw_only=True)
class Load:
    """Believed load of one upstream.

    Parameters
    ----------
    pieces_free : int or None
        Free pieces of memory; None when nothing was reported.
    queued_tokens : int
        Prompt tokens that wait for prefill.
    prefill_tokens_per_s, step_s : float
        Measured speed; 0 when unknown.
    """

    pieces_free: int | None = None
    queued_tokens: int = 0
    prefill_tokens_per_s: float = 0.0
    step_s: float = 0.0


class LoadView:
    """What one instance believes of the upstreams' loads.

    Parameters
    ----------
    source : callable
        From an upstream id to its last ``LoadReport`` or None.

    Examples
    --------
    >>> from currantdeal.core import LoadReport
    >>> from currantdeal.policy import LoadView
    >>> view = LoadView(source=lambda name: LoadReport(
    ...     upstream_id=name, incarnation=1, pieces_free=100))
    >>> view.sent("d1", pieces=30, tokens=0, now_s=0.0)
    >>> view.get("d1", now_s=0.1).pieces_free
    70
    >>> view.get("d1", now_s=1.0).pieces_free
    100
    """

    def __init__(self, *, source):
        """Start without own sendings."""
        self._source = source
        self._sent = {}

    def get(self, upstream_id, *, now_s):
        """Return the believed ``Load`` of an upstream."""
        report = self._source(upstream_id)
        pieces, tokens = self._recent(upstream_id, now_s)
        if report is None:
            return Load(queued_tokens=tokens)
        return Load(
            pieces_free=report.pieces_free - pieces,
            queued_tokens=report.queued_tokens + tokens,
            prefill_tokens_per_s=report.prefill_tokens_per_s,
            step_s=report.step_s,
        )

    def sent(self, upstream_id, *, pieces, tokens, now_s):
        """Remember what was just reserved at an upstream."""
        recent = self._sent.setdefault(upstream_id, deque())
        recent.append((now_s, pieces, tokens))

    def _recent(self, upstream_id, now_s):
        recent = self._sent.get(upstream_id)
        if not recent:
            return 0, 0
        while recent and recent[0][0] <= now_s - REPORT_LAG_S:
            recent.popleft()
        pieces = sum(item[1] for item in recent)
        return pieces, sum(item[2] for item in recent)
