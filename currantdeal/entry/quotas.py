"""Obtains credit of an organisation's quota before a request is sent.

All requests that wait are asked for in one call.  While the owner of the
quotas is not reached, small requests are admitted from the reserve of this
entry, the urgent ones first, and others wait; see
``currantdeal.organisations.credit``.
"""

import asyncio
import math
from dataclasses import dataclass

import structlog

from currantdeal.core import boot_time_s
from currantdeal.entry.errors import QuotaExceededError, RefusedError
from currantdeal.organisations import CreditPool, UrgencyShare
from currantdeal.policy.retries.retry_after import RefusalReason

RETRY_PAUSE_S = 0.05
"""Pause before the owner is asked again after it was not reached."""

KEPT_RESERVE_S = 1.0
"""Time for which a reserve is kept for requests as urgent as recent ones."""

IDLE_POOL_S = 60.0
"""Time without requests after which an organisation's reserve lapses."""

MAX_PREPARED = 64
"""Number of organisations up to which each has a reserve in advance."""

_log = structlog.get_logger(__name__)


@dataclass(frozen=True, kw_only=True)
class Admission:
    """Credit that was granted for one request.

    Parameters
    ----------
    granted_s : float
        Time of the grant, by the clock of the owner.
    epoch : int
        Epoch of that owner.
    until_s : float
        Time since boot until which it may be used.
    """

    organisation: str
    units: int
    granted_s: float
    epoch: int
    until_s: float


class QuotaClient:
    """Credit of this entry for the quotas of all organisations.

    Parameters
    ----------
    clock : callable
        Returns seconds that count while the machine is suspended.
    keeps_reserves : bool
        Whether this entry has a reserve of each organisation.

    Attributes
    ----------
    ask_owner : callable
        Coroutine function that sends a tuple of ``CreditAsk``; returns the
        ``CreditAnswer``, or None if no control instance is reached.
    """

    def __init__(self, *, clock=boot_time_s, keeps_reserves=True):
        """Start without credit."""
        self._keeps_reserves = keeps_reserves
        self._clock = clock
        self._pools = {}
        self._waiting = []
        self._sender = None
        self._owner_reached = True
        self.ask_owner = _no_owner

    async def admit(
        self, organisation, units, *, wait_s, queue_s=0.0, urgency=None
    ):
        """Obtain credit; returns its ``Admission``, None if from the reserve.

        Parameters
        ----------
        organisation : str
            Name of the organisation of the request, which has a quota.
        units : int
            Cost of the request.
        wait_s : float
            Longest wait for an owner.
        queue_s : float
            Longest time in which a quota that is used up must allow the
            request for it to wait here instead of returning.
        urgency : int or None
            0 for the most urgent; None if all are served in their order.

        Raises
        ------
        QuotaExceededError
            If the quota is used up.
        RefusedError
            If no owner is reached.
        """
        if self._take_reserve(organisation, units, urgency):
            return None
        until_s = self._clock() + wait_s
        while True:
            left_s = max(0.0, until_s - self._clock())
            try:
                return await self._ask(organisation, units, left_s, urgency)
            except QuotaExceededError as exc:
                if exc.retry_after_s > min(queue_s, left_s):
                    raise
                queue_s -= exc.retry_after_s
                await asyncio.sleep(exc.retry_after_s)

    def _take_reserve(self, organisation, units, urgency):
        pool = self._pool(organisation)
        now_s = self._clock()
        pool.share.record_ask(urgency, units, now_s=now_s)
        kept = 0.0
        if not self._owner_reached:
            kept = pool.share.kept_from(
                urgency,
                units,
                ahead_s=KEPT_RESERVE_S,
                depth=math.inf,
                now_s=now_s,
            )
        return pool.credit.take(units, now_s=now_s, kept=kept)

    async def _ask(self, organisation, units, wait_s, urgency):
        need = _Need(organisation=organisation, units=units, urgency=urgency)
        self._waiting.append(need)
        self._wake()
        try:
            async with asyncio.timeout(wait_s):
                return await need.outcome
        except asyncio.CancelledError:
            if need.is_granted:
                self.give_back(need.outcome.result())
            raise
        except TimeoutError:
            if need.is_granted:
                return need.outcome.result()
            raise RefusedError(
                "the owner of the quotas is not reached",
                refusal_reason=RefusalReason.QUOTA_OWNER,
            ) from None
        finally:
            if need in self._waiting:
                self._waiting.remove(need)

    def give_back(self, admission):
        """Return the credit of a request that was not sent."""
        self._pool(admission.organisation).credit.give_back(
            admission.units,
            granted_s=admission.granted_s,
            epoch=admission.epoch,
        )
        self._wake()

    def refill(self, organisations=()):
        """Have the reserves filled that are used up or expire soon.

        Parameters
        ----------
        organisations : iterable of Organisation
            All organisations.  If these are few, each gets a reserve before
            its first request.
        """
        now_s = self._clock()
        limited = [o.name for o in organisations if o.quota is not None]
        if len(limited) <= MAX_PREPARED:
            for name in limited:
                self._pool(name)
        for name, pool in tuple(self._pools.items()):
            if now_s - pool.last_use_s > IDLE_POOL_S:
                del self._pools[name]
        if self._due(now_s):
            self._wake()

    def _pool(self, name):
        pool = self._pools.get(name)
        if pool is None:
            pool = self._pools[name] = _Pool()
        pool.last_use_s = self._clock()
        return pool

    def _due(self, now_s):
        """Return names for which the owner is called without a request."""
        return [
            name
            for name, pool in self._pools.items()
            if pool.credit.has_returns
            or (self._keeps_reserves and pool.credit.needs_refill(now_s=now_s))
        ]

    def _wake(self):
        if self._sender is None or self._sender.done():
            self._sender = asyncio.ensure_future(self._send())

    async def _send(self):
        while self._waiting or self._has_returns():
            # Requests that arrive together are asked for together.
            await asyncio.sleep(0)
            if not await self._send_once():
                await asyncio.sleep(RETRY_PAUSE_S)
        if self._due(self._clock()):
            await self._send_once()

    def _has_returns(self):
        return any(p.credit.has_returns for p in self._pools.values())

    async def _send_once(self):
        """Ask the owner once; returns whether it was reached."""
        sent_s = self._clock()
        needs, self._waiting = self._waiting, []
        names = dict.fromkeys(
            (*(need.organisation for need in needs), *self._due(sent_s))
        )
        needs_of = {
            name: [n for n in needs if n.organisation == name]
            for name in names
        }
        asks = tuple(
            self._pool_of(name).ask(
                name,
                [need.units for need in needs_of[name]],
                urgencies=_urgencies(needs_of[name]),
                now_s=sent_s,
            )
            for name in names
        )
        answer = await self.ask_owner(asks)
        reached = answer is not None and bool(answer.epoch)
        if reached != self._owner_reached:
            self._owner_reached = reached
            _log.info("quota-owner", reached=reached)
        if not reached:
            self._retry_later(needs)
            return False
        for grant in answer.grants:
            self._apply(
                grant, answer.epoch, needs_of[grant.organisation], sent_s
            )
        return True

    def _pool_of(self, name):
        """Return the reserve of an organisation without counting a use."""
        return self._pools.setdefault(name, _Pool()).credit

    def _retry_later(self, needs):
        pending = [need for need in needs if not need.outcome.done()]
        self._waiting = [*pending, *self._waiting]

    def _apply(self, grant, epoch, needs, sent_s):
        credit = self._pool_of(grant.organisation)
        credit.fill(grant, epoch=epoch, sent_s=sent_s)
        is_open = self._clock() < sent_s + grant.open_s
        refusals = grant.refusals or ((grant.retry_after_s, 0),) * len(needs)
        for need, granted, (after_s, kept_units) in zip(
            needs, grant.granted, refusals, strict=True
        ):
            if granted and is_open and not need.outcome.done():
                need.outcome.set_result(
                    Admission(
                        organisation=grant.organisation,
                        units=need.units,
                        granted_s=grant.granted_s,
                        epoch=epoch,
                        until_s=sent_s + grant.open_s,
                    )
                )
            elif granted:
                credit.give_back(
                    need.units, granted_s=grant.granted_s, epoch=epoch
                )
                self._retry_later([need])
            elif not need.outcome.done():
                need.outcome.set_exception(
                    QuotaExceededError(
                        grant.organisation,
                        retry_after_s=after_s,
                        kept_units=kept_units,
                    )
                )


class _Pool:
    """Reserve for one organisation and the time of its last use."""

    def __init__(self):
        self.credit = CreditPool()
        self.share = UrgencyShare(window_s=KEPT_RESERVE_S)
        self.last_use_s = 0.0


class _Need:
    """A request that waits for credit."""

    def __init__(self, *, organisation, units, urgency):
        self.organisation = organisation
        self.units = units
        self.urgency = urgency
        self.outcome = asyncio.get_running_loop().create_future()

    @property
    def is_granted(self):
        """Whether credit is here, though nobody may have taken it yet."""
        outcome = self.outcome
        if not outcome.done() or outcome.cancelled():
            return False
        return outcome.exception() is None


def _urgencies(needs):
    """Return the urgencies of some needs; empty if one has none."""
    found = tuple(need.urgency for need in needs)
    return () if None in found else found


async def _no_owner(asks):
    return None
