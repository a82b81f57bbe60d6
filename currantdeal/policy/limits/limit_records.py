"""Limits that upstreams have named, merged from the reports of many entries.

An upstream names its limit in answers, so at first only the entry that
received the answer knows it.  Entries report what they observed themselves,
control instances forward the reports, and each process keeps the newest.  A
report states its age instead of a time, since clocks of different instances
are not comparable.
"""

import math
from dataclasses import dataclass

MAX_AGE_S = 30.0
"""Time after which a limit that no answer has named again is forgotten.

By then an upstream that still has it has answered several requests, see
``currantdeal.policy.limits.limit_owner.MIN_RATE_PER_S``.
"""

UNLIMITED = math.inf
"""Rate of an upstream that names no limit."""


@dataclass(frozen=True, kw_only=True)
class LimitReport:
    """What an upstream has said of its limit.

    Parameters
    ----------
    rate_per_s : float
        Requests per second that it takes from all entries together;
        ``UNLIMITED`` if it no longer names a limit.
    age_s : float
        Seconds since the answer that said so.
    """

    rate_per_s: float
    age_s: float


class LimitRecords:
    """Newest known limit of each upstream.

    Examples
    --------
    >>> records = LimitRecords()
    >>> records.observe("u1", 2.5, now_s=0.0)
    >>> [records.rate_per_s(name, now_s=1.0) for name in ("u1", "u2")]
    [2.5, inf]

    An older report of another entry changes nothing, a newer one does:

    >>> older = {"u1": LimitReport(rate_per_s=9.0, age_s=5.0)}
    >>> records.merge(older, now_s=1.0)
    ()
    >>> newer = {"u1": LimitReport(rate_per_s=UNLIMITED, age_s=0.1)}
    >>> records.merge(newer, now_s=1.0)
    ('u1',)
    >>> records.rate_per_s("u1", now_s=1.0)
    inf
    """

    def __init__(self):
        """Start without limits."""
        self._records = {}

    def __bool__(self):
        """Return whether any upstream has named a limit."""
        return bool(self._records)

    def observe(self, upstream, rate_per_s, *, now_s):
        """Record what an upstream says now."""
        self._records[upstream] = (rate_per_s, now_s)

    def merge(self, reports, *, now_s):
        """Merge reports; returns the upstreams whose limit has changed."""
        changed = []
        for upstream, report in reports.items():
            observed_s = now_s - report.age_s
            before = self._current(upstream, now_s)
            if before is not None and before[1] >= observed_s:
                continue
            self._records[upstream] = (report.rate_per_s, observed_s)
            rate_before = UNLIMITED if before is None else before[0]
            if report.rate_per_s != rate_before:
                changed.append(upstream)
        return tuple(changed)

    def rate_per_s(self, upstream, *, now_s):
        """Return the limit of an upstream; ``UNLIMITED`` without one."""
        record = self._current(upstream, now_s)
        return UNLIMITED if record is None else record[0]

    def reports(self, *, now_s):
        """Return a ``LimitReport`` for each upstream of which one is known."""
        return {
            upstream: LimitReport(
                rate_per_s=record[0], age_s=max(0.0, now_s - record[1])
            )
            for upstream in tuple(self._records)
            if (record := self._current(upstream, now_s)) is not None
        }

    def _current(self, upstream, now_s):
        """Return the record of an upstream, unless it is too old."""
        record = self._records.get(upstream)
        if record is not None and now_s - record[1] > MAX_AGE_S:
            del self._records[upstream]
            return None
        return record
