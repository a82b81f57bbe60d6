"""Orders to engines, from one holder at a time.

Only the leader of the replicated log gives orders, under its term as the
fencing number.  A new leader first waits out the time in which orders of the
one before may still be on their way, and every order is preceded by a round
that shows that no later leader has been elected.  Two holders that give
orders by turns would switch engines back and forth; one would notice it as a
pool that loses an engine every few seconds.
"""

import asyncio
from dataclasses import dataclass, replace

import structlog

from currantdeal.control.errors import NotCertainError
from currantdeal.node.connection_pool import exchange
from currantdeal.node.dialect import StageOrder
from currantdeal.node.errors import ExchangeError
from currantdeal.policy.stage_plan import (
    CHANGE_PAUSE_S,
    lacks_stage,
    plan_stages,
)
from currantdeal.registry import Stage, UpstreamState

STEP_S = 0.5
"""Interval at which the split is looked at."""

ORDER_TIMEOUT_S = 1.0

EXTRA_PAUSE_S = 0.5
"""Wait of a new leader beyond the agreed time between two holders."""

SWITCH_MARGIN_S = 14.0
"""Time beyond the switch for streams to end and for the next heartbeat.

An engine that is still changing grants memory and refuses what comes for it,
so the time covers the longest streams.  Entries take it back sooner, when it
announces its new stage.
"""

REFUSED_REST_S = 5.0
"""Time for which other engines are preferred to one that took no order."""

QUIET_S = 1.5
"""Time without a new engine before the split is judged.

At a start the engines announce themselves within one heartbeat.
"""

RESTART_S = 4.0
"""Time for an engine that was lost to be announced again.

It restarts under another name, and may first announce itself to control
instances that are cut off.  The order for a substitute would take one more
engine away.
"""

ACCEPTED_LATER = 202
ACCEPTED = (200, ACCEPTED_LATER)
FENCED = 412

_log = structlog.get_logger(__name__)


@dataclass(frozen=True, kw_only=True)
class _Ordered:
    """An order that an engine has accepted.

    Parameters
    ----------
    started_ms : int
        Start of the engine's process; a restart forgets its orders.
    until_s : float
        Time by which it should have been carried out.
    """

    stage: Stage
    started_ms: int
    until_s: float

    def is_pending(self, record, *, now_s):
        """Return whether an engine is still to carry it out."""
        if record is None or now_s >= self.until_s:
            return False
        same = record.started_ms == self.started_ms
        return same and record.stage is not self.stage


class StageOrders:
    """Keeps the engines of every service split as planned.

    Parameters
    ----------
    me : str
        Name of this instance as a holder.
    replica : Replica
        Tells who leads.
    exchange : RecordExchange
        Knows the engines, and reaches the entries.
    demand : DemandBook
        Knows what generations ask of them.
    pool : ConnectionPool
        Connections to them.
    dialect : currantdeal.node.dialect.UpstreamDialect
        Format of orders.
    pause_s : float
        Agreed time between the orders of two holders.
    clock : callable
        Returns monotonic seconds.
    held : callable
        Returns the tokens that entries hold at each engine, by name.
    """

    def __init__(
        self,
        *,
        me,
        replica,
        exchange,
        demand,
        pool,
        dialect,
        pause_s,
        clock,
        held=dict,
    ):
        """Give no order before ``run``."""
        self._me = me
        self._replica = replica
        self._exchange = exchange
        self._demand = demand
        self._pool = pool
        self._dialect = dialect
        self._pause_s = pause_s + EXTRA_PAUSE_S
        self._clock = clock
        self._held = held
        self._fenced_term = 0
        self._seen = set()
        self._quiet_from_s = clock() + QUIET_S
        self._ordered_s = {}
        self._ordered = {}
        self._refused = {}

    async def run(self):
        """Keep the split, until cancelled."""
        while True:
            await asyncio.sleep(STEP_S)
            await self._step()

    async def _step(self):
        now_s = self._clock()
        present = self._engines()
        self._note_engines(present, now_s)
        if not self._may_order(now_s):
            return
        self._forget_done(present, now_s)
        for service in {record.service: None for record in present.values()}:
            engines = [
                self._as_ordered(record)
                for record in present.values()
                if record.service == service
            ]
            last_s = self._ordered_s.get(service, -CHANGE_PAUSE_S)
            if lacks_stage(engines) or now_s - last_s >= CHANGE_PAUSE_S:
                await self._split(service, engines)

    def _may_order(self, now_s):
        node = self._replica.node
        if not self._replica.leads or node.term == self._fenced_term:
            return False
        if now_s - node.elected_s < self._pause_s:
            return False
        return now_s >= self._quiet_from_s

    async def _split(self, service, engines):
        busy = self._demand.busy(service)
        plan = plan_stages(
            engines, busy=busy, held=self._held(), avoided=self._refused
        )
        asked = self._ordered.keys() | self._refused.keys()
        changes = [c for c in plan if c.upstream not in asked]
        if not changes:
            return
        _log.info(
            "stages-planned",
            service=service,
            engines=len(engines),
            changes=len(changes),
            busy_prefill=busy and round(busy.prefill, 2),
            busy_decode=busy and round(busy.decode, 2),
        )
        records = {r.upstream: r for r in engines}
        for change in changes:
            if self._replica.node.term == self._fenced_term:
                # An engine knows a later holder; the others would too.
                return
            await self._order(records[change.upstream], change.stage)

    def _as_ordered(self, record):
        """Return an engine as it will be once it has carried its order out."""
        order = self._ordered.get(record.upstream)
        return record if order is None else replace(record, stage=order.stage)

    def _forget_done(self, present, now_s):
        """Forget orders that were carried out, or never will be."""
        for name, order in tuple(self._ordered.items()):
            if not order.is_pending(present.get(name), now_s=now_s):
                del self._ordered[name]
        for name, until_s in tuple(self._refused.items()):
            if now_s >= until_s:
                del self._refused[name]

    def _note_accepted(self, record, stage):
        now_s = self._clock()
        self._ordered_s[record.service] = now_s
        for_s = self._demand.switch_s(record.service) + SWITCH_MARGIN_S
        self._ordered[record.upstream] = _Ordered(
            stage=stage, started_ms=record.started_ms, until_s=now_s + for_s
        )
        # Meanwhile the engine still grants memory and then refuses what
        # comes for it, after the prompt was read elsewhere.
        self._exchange.tell_switching(record.upstream, for_s)

    def _engines(self):
        """Return the engines that take work, by name."""
        return {
            record.upstream: record
            for record in self._exchange.registry.present
            if record.state is UpstreamState.READY and record.stage is not None
        }

    def _note_engines(self, present, now_s):
        """Wait a while after engines came or were lost.

        One that announced that it drains is known to be leaving for good, so
        that nothing needs to be waited for.
        """
        seen = {
            (record.upstream, record.started_ms) for record in present.values()
        }
        wait_s = 0.0
        if seen - self._seen:
            wait_s = QUIET_S
        if any(self._is_lost(name) for name, _ in self._seen - seen):
            wait_s = RESTART_S
        self._quiet_from_s = max(self._quiet_from_s, now_s + wait_s)
        self._seen = seen

    def _is_lost(self, upstream):
        record = self._exchange.registry.get(upstream)
        return record is None or record.state is UpstreamState.GONE

    async def _order(self, record, stage):
        try:
            await self._replica.read()
        except NotCertainError:
            return
        term = self._replica.node.term
        order = StageOrder(
            upstream=record.upstream,
            stage=stage,
            holder=self._me,
            fencing_number=term,
        )
        call = self._dialect.change_stage(record.address, order)
        try:
            head, _ = await exchange(
                self._pool, record.address, call, timeout_s=ORDER_TIMEOUT_S
            )
            status = head.status
        except ExchangeError as exc:
            status = str(exc)
        if status == ACCEPTED_LATER:
            self._note_accepted(record, stage)
        elif status not in ACCEPTED:
            # It restarted or cannot be reached.  Another engine is ordered
            # next: a pool without one stage serves nobody in time.
            self._refused[record.upstream] = self._clock() + REFUSED_REST_S
        if status == FENCED:
            # Another holder has given orders under a later number.
            self._fenced_term = term
        _log.info(
            "stage-ordered",
            upstream=record.upstream,
            stage=stage.value,
            fencing_number=term,
            accepted=status in ACCEPTED,
            answer=status,
        )
