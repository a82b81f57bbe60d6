"""Limits that upstreams name, observed by all entries together.

Load pattern: brownout.  An entry reports the limits in the answers that it
receives, and learns of those that others received.  Before it sends a request
to an upstream with a limit, it obtains a slot from the owner of the limits.
"""

import asyncio
import math
from dataclasses import dataclass

import structlog

from currantdeal.core import boot_time_s
from currantdeal.entry.errors import LimitReachedError, RefusedError
from currantdeal.policy.limits.limit_owner import OPEN_S, LimitAsk
from currantdeal.policy.limits.limit_records import UNLIMITED, LimitRecords
from currantdeal.policy.retries.retry_after import RefusalReason

MAX_LABELLED_UPSTREAMS = 64
"""Number of upstreams with metrics of their own."""

OPTIONAL_TIMEOUT_S = 0.15
"""Time in which the owner must answer if there are other upstreams."""

RETRY_PAUSE_S = 0.05
"""Pause before the owner is asked again after it was not reached."""

MAX_FULL_S = 1.0
"""Longest time for which an upstream without a slot is left out.

Its limit may be raised meanwhile.
"""

_log = structlog.get_logger(__name__)


@dataclass(frozen=True, kw_only=True)
class LimitPatience:
    """How long a request without other upstreams waits for a slot.

    Parameters
    ----------
    caller : bytes
        Equal for all attempts of the same request of a caller.
    slot_s : float
        Longest wait for a slot.
    return_s : float
        Longest retry-after that its caller waits for.
    owner_s : float
        Longest wait for the owner, from the time at which it was lost.
    """

    caller: bytes
    slot_s: float
    return_s: float
    owner_s: float


class UpstreamLimits:
    """Limits of upstreams at one entry, and the way to their owner.

    Parameters
    ----------
    metrics : currantdeal.ports.MetricsPort
        Counters of requests.
    clock : callable
        Returns seconds, including the time of a suspension.

    Attributes
    ----------
    ask_owner : callable
        Coroutine function that sends a ``LimitAsk`` with a timeout in seconds;
        returns the ``LimitGrant``, or None if no owner is reached.
    publish : callable
        Reports the limits of this entry at once.
    """

    def __init__(self, *, metrics, clock=boot_time_s):
        """Start without limits."""
        self._metrics = metrics
        self._clock = clock
        self._own = LimitRecords()
        self._all = LimitRecords()
        self._known_since_s = {}
        self._full_until_s = {}
        self._owner_lost_s = None
        self._labelled = set()
        self.ask_owner = _no_owner
        self.publish = lambda: None

    @property
    def now_s(self):
        """Time by the clock of this entry."""
        return self._clock()

    @property
    def own_reports(self):
        """``LimitReport`` of each upstream that named a limit here."""
        return self._own.reports(now_s=self._clock())

    def rate_per_s(self, upstream):
        """Return the limit of an upstream; infinite without one."""
        return self._all.rate_per_s(upstream, now_s=self._clock())

    def merge(self, reports):
        """Merge the limits that other entries were told."""
        before = {name: self.rate_per_s(name) for name in reports}
        for upstream in self._all.merge(reports, now_s=self._clock()):
            self._record_change(upstream, before[upstream], own=False)

    def observe(self, upstream, metadata, *, sent_s=None):
        """Record the limit in an answer of an upstream.

        Parameters
        ----------
        metadata : ResponseMetadata
            Decoded head of the answer.
        sent_s : float or None
            Value of ``now_s`` before the request was sent; None if an answer
            of this kind may lack the limit.
        """
        rate_per_s = metadata.limit_per_s
        before = self.rate_per_s(upstream)
        if rate_per_s is None:
            return
        if rate_per_s == UNLIMITED and (
            before == UNLIMITED
            or not self._is_lifted(upstream, metadata, sent_s)
        ):
            return
        now_s = self._clock()
        self._own.observe(upstream, rate_per_s, now_s=now_s)
        self._all.observe(upstream, rate_per_s, now_s=now_s)
        if rate_per_s != before:
            self._record_change(upstream, before, own=True)
            self.publish()

    def record_request(self, upstream):
        """Count a request that is sent to an upstream with a limit."""
        if self.rate_per_s(upstream) < UNLIMITED:
            self._metrics.add(
                "limited_requests_total", upstream=self._label(upstream)
            )

    def split(self, records):
        """Return the records of upstreams without and with a limit."""
        if not self._all:
            return records, []
        unlimited, limited = [], []
        for record in records:
            rate_per_s = self.rate_per_s(record.upstream)
            (unlimited if rate_per_s == UNLIMITED else limited).append(record)
        return unlimited, limited

    async def admit_if_free(self, records):
        """Return the first upstream with a slot that is due, or None.

        For requests that another upstream can take.
        """
        now_s = self._clock()
        rates_per_s = {
            r.upstream: self.rate_per_s(r.upstream)
            for r in records
            if now_s >= self._full_until_s.get(r.upstream, 0.0)
        }
        if not rates_per_s:
            return None
        ask = LimitAsk(rates_per_s=rates_per_s)
        grant = await self._ask(ask, OPTIONAL_TIMEOUT_S)
        if grant is not None and grant.upstream:
            return _record_of(records, grant.upstream)
        pause_s = OPTIONAL_TIMEOUT_S if grant is None else grant.retry_after_s
        for upstream in rates_per_s:
            self._full_until_s[upstream] = now_s + min(MAX_FULL_S, pause_s)
        return None

    async def admit(self, records, patience):
        """Wait for a slot; returns the upstream of the slot.

        For requests that no other upstream can take.

        Raises
        ------
        LimitReachedError
            If there is no slot within the ``LimitPatience``.
        RefusedError
            If the owner is not reached.
        """
        rates_per_s = {
            r.upstream: self.rate_per_s(r.upstream) for r in records
        }
        ask = LimitAsk(
            rates_per_s=rates_per_s,
            caller=patience.caller,
            wait_s=patience.slot_s,
            return_s=patience.return_s,
        )
        while (grant := await self._ask(ask, OPEN_S)) is None:
            if self._clock() >= self._owner_lost_s + patience.owner_s:
                raise RefusedError(
                    "the owner of the limits of upstreams is not reached",
                    refusal_reason=RefusalReason.LIMIT_OWNER,
                )
            await asyncio.sleep(RETRY_PAUSE_S)
        if not grant.upstream:
            self._metrics.add("limit_refusals_total")
            raise LimitReachedError(retry_after_s=grant.retry_after_s)
        await asyncio.sleep(grant.delay_s)
        return _record_of(records, grant.upstream)

    async def _ask(self, ask, timeout_s):
        """Return the owner's grant; None if it is not reached in time."""
        sent_s = self._clock()
        grant = await self.ask_owner(ask, timeout_s)
        now_s = self._clock()
        if grant is None or now_s > sent_s + OPEN_S:
            if self._owner_lost_s is None:
                self._owner_lost_s = sent_s
                _log.info("limit-owner", reached=False)
            return None
        if self._owner_lost_s is not None:
            self._owner_lost_s = None
            _log.info("limit-owner", reached=True)
        return grant

    def _is_lifted(self, upstream, metadata, sent_s):
        """Return whether an answer without a limit shows that it is lifted.

        One to a request that was sent before the limit was known here may
        have been made before the upstream named it.
        """
        if sent_s is None or metadata.not_run:
            return False
        return sent_s > self._known_since_s.get(upstream, math.inf)

    def _record_change(self, upstream, before, *, own):
        rate_per_s = self.rate_per_s(upstream)
        self._full_until_s.pop(upstream, None)
        self._drop_unlimited()
        if rate_per_s == UNLIMITED:
            _log.info(
                "upstream-limit-lifted",
                upstream=upstream,
                before=before,
                own=own,
            )
            return
        if before == UNLIMITED:
            self._known_since_s[upstream] = self._clock()
        _log.info(
            "upstream-limit-named",
            upstream=upstream,
            rate_per_s=rate_per_s,
            before=None if before == UNLIMITED else before,
            own=own,
        )

    def _drop_unlimited(self):
        """Forget the state of upstreams that no longer have a limit."""
        for state in (self._known_since_s, self._full_until_s):
            for upstream in tuple(state):
                if self.rate_per_s(upstream) == UNLIMITED:
                    del state[upstream]

    def _label(self, upstream):
        if len(self._labelled) < MAX_LABELLED_UPSTREAMS:
            self._labelled.add(upstream)
        return upstream if upstream in self._labelled else "other"


def _record_of(records, upstream):
    return next(r for r in records if r.upstream == upstream)


async def _no_owner(ask, timeout_s):
    return None
