"""Orders to engines, from one holder at a time.

Only the leader of the replicated log gives orders, under its term as the
fencing number.  A new leader first waits out the time in which orders of the
one before may still be on their way, and every order is preceded by a round
that shows that no later leader has been elected.  Two holders that give
orders by turns would switch engines back and forth; one would notice it as a
pool that loses an engine every few seconds.
"""

import asyncio

import structlog

from currantdeal.control.errors import NotCertainError
from currantdeal.node.connection_pool import exchange
from currantdeal.node.dialect import StageOrder
from currantdeal.node.errors import ExchangeError
from currantdeal.policy.stage_plan import CHANGE_PAUSE_S, plan_stages
from currantdeal.registry import UpstreamState

STEP_S = 0.5
"""Interval at which the split is looked at."""

ORDER_TIMEOUT_S = 1.0

EXTRA_PAUSE_S = 0.5
"""Wait of a new leader beyond the agreed time between two holders."""

SWITCH_MARGIN_S = 4.0
"""Time beyond the switch for streams to end and for the next heartbeat."""

QUIET_S = 1.5
"""Time without a change among the engines before the split is judged.

At a start the engines announce themselves within one heartbeat.
"""

ACCEPTED_LATER = 202
ACCEPTED = (200, ACCEPTED_LATER)
FENCED = 412

_log = structlog.get_logger(__name__)


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
        self._fenced_term = 0
        self._seen = {}
        self._changed_s = clock()
        self._ordered_s = {}

    async def run(self):
        """Keep the split, until cancelled."""
        while True:
            await asyncio.sleep(STEP_S)
            await self._step()

    async def _step(self):
        now_s = self._clock()
        by_service = self._engines()
        self._note_engines(by_service, now_s)
        if not self._may_order(now_s):
            return
        for service, engines in by_service.items():
            last_s = self._ordered_s.get(service, -CHANGE_PAUSE_S)
            if now_s - last_s >= CHANGE_PAUSE_S:
                await self._split(service, engines, now_s)

    def _may_order(self, now_s):
        node = self._replica.node
        if not self._replica.leads or node.term == self._fenced_term:
            return False
        if now_s - node.elected_s < self._pause_s:
            return False
        return now_s - self._changed_s >= QUIET_S

    async def _split(self, service, engines, now_s):
        busy = self._demand.busy(service)
        changes = plan_stages(engines, busy=busy)
        if not changes:
            return
        self._ordered_s[service] = now_s
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

    def _engines(self):
        found = {}
        for record in self._exchange.registry.present:
            ready = record.state is UpstreamState.READY
            if ready and record.stage is not None:
                found.setdefault(record.service, []).append(record)
        return found

    def _note_engines(self, by_service, now_s):
        seen = {
            service: {(r.upstream, r.started_ms) for r in engines}
            for service, engines in by_service.items()
        }
        if seen != self._seen:
            self._seen = seen
            self._changed_s = now_s

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
            # Meanwhile the engine still grants memory and then refuses what
            # comes for it, after the prompt was read elsewhere.
            for_s = self._demand.switch_s(record.service) + SWITCH_MARGIN_S
            self._exchange.tell_switching(record.upstream, for_s)
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
