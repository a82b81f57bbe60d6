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


_UNKNOWN = Load()


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
        self._known = {}

    def get(self, upstream_id, *, now_s):
        """Return the believed ``Load`` of an upstream."""
        report = self._source(upstream_id)
        recent = self._recent(upstream_id, now_s)
        if recent is None:
            return self._reported(upstream_id, report)
        pieces, tokens = recent
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
        recent = self._sent.setdefault(upstream_id, _Recent())
        recent.add(now_s, pieces, tokens)

    def _reported(self, upstream_id, report):
        # Most engines were sent nothing lately; building their load anew for
        # each candidate of each decision would double a decision's cost.
        if report is None:
            return _UNKNOWN
        known = self._known.get(upstream_id)
        if known is None or known[0] is not report:
            load = Load(
                pieces_free=report.pieces_free,
                queued_tokens=report.queued_tokens,
                prefill_tokens_per_s=report.prefill_tokens_per_s,
                step_s=report.step_s,
            )
            known = self._known[upstream_id] = (report, load)
        return known[1]

    def _recent(self, upstream_id, now_s):
        recent = self._sent.get(upstream_id)
        if not recent:
            return None
        recent.forget(now_s - REPORT_LAG_S)
        return recent.pieces, recent.tokens


class _Recent:
    __slots__ = ("_sent", "pieces", "tokens")

    def __init__(self):
        self._sent = deque()
        self.pieces = 0
        self.tokens = 0

    def __len__(self):
        return len(self._sent)

    def add(self, now_s, pieces, tokens):
        self._sent.append((now_s, pieces, tokens))
        self.pieces += pieces
        self.tokens += tokens

    def forget(self, before_s):
        while self._sent and self._sent[0][0] <= before_s:
            _, pieces, tokens = self._sent.popleft()
            self.pieces -= pieces
            self.tokens -= tokens
