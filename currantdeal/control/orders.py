"""Orders engines to switch stages, from one control instance at a time.

Only the leader of the replicated log sends orders, with its term as the
fencing number.  A new leader first waits until orders of its predecessor can
no longer be in flight, and before each order a round of heartbeats confirms
that no later leader has been elected.  Two instances that send orders in
turns would switch engines back and forth, and the pool would lose an engine
every few seconds.
"""

from dataclasses import dataclass, replace

import structlog

from currantdeal.control.errors import NotCertainError
from currantdeal.node.dialect import StageOrder
from currantdeal.node.errors import ExchangeError
from currantdeal.node.exchange import exchange
from currantdeal.policy.placement.stage_plan import (
    CHANGE_INTERVAL_S,
    lacks_stage,
    plan_stages,
)
from currantdeal.registry import Stage, UpstreamState

PLAN_INTERVAL_S = 0.5
"""Interval at which the split of each service is planned again."""

ORDER_TIMEOUT_S = 1.0

HANDOVER_MARGIN_S = 0.5
"""Wait of a new leader in addition to the agreed pause between holders."""

SWITCH_MARGIN_S = 14.0
"""Time beyond the switch for streams to end and for the next heartbeat.

An engine that is still switching grants memory, but then refuses the requests
that it was granted for.  The time therefore covers the longest streams.
Entries use the engine again earlier if it announces its new stage before.
"""

REFUSAL_BACKOFF_S = 5.0
"""Time for which other engines are preferred to one that refused an order."""

QUIET_PERIOD_S = 1.5
"""Time without a new engine before the split is planned.

When a deployment starts, all engines announce themselves within one
heartbeat.
"""

RESTART_GRACE_S = 4.0
"""Time for a lost engine to be announced again before it is replaced.

It restarts under another name, and its first announcements may reach only
control instances that are partitioned from this one.  Ordering a substitute
would take one more engine away from its stage.
"""

SWITCH_STARTED = 202
ACCEPTED = (200, SWITCH_STARTED)
FENCED = 412

_log = structlog.get_logger(__name__)


@dataclass(frozen=True, kw_only=True)
class _PendingOrder:
    """An order that an engine has accepted and not yet carried out.

    Parameters
    ----------
    stage : Stage
        The stage to switch to.
    started_ms : int
        Start of the engine's process; orders do not survive its restart.
    deadline_s : float
        Time by which it should have been carried out.
    """

    stage: Stage
    started_ms: int
    deadline_s: float

    def is_pending(self, record, *, now_s):
        """Return whether the engine has yet to carry it out."""
        if record is None or now_s >= self.deadline_s:
            return False
        same = record.started_ms == self.started_ms
        return same and record.stage is not self.stage


class StageOrders:
    """Splits the engines of every service into stages as planned.

    Parameters
    ----------
    local_id : str
        Name of this instance as the holder in its orders.
    replica : Replica
        The replica of this process; only the leader sends orders.
    exchange : RecordExchange
        Records of the engines, and the way to notify the entries.
    demand : DemandTracker
        Demand of generations for each service.
    pool : ConnectionPool
        Connections to the engines.
    dialect : currantdeal.node.dialect.UpstreamDialect
        Format of orders.
    min_order_interval_s : float
        Agreed pause between the orders of two holders.
    clock : callable
        Returns monotonic seconds.
    held_tokens : callable
        Returns the tokens that entries hold at each engine, by its name.
    slowdowns : callable
        Returns the slowdown of each of some engines, by its name.
    """

    def __init__(
        self,
        *,
        local_id,
        replica,
        exchange,
        demand,
        pool,
        dialect,
        min_order_interval_s,
        clock,
        held_tokens=dict,
        slowdowns=lambda records: {},
    ):
        """Send no order before ``run``."""
        self._local_id = local_id
        self._replica = replica
        self._exchange = exchange
        self._demand = demand
        self._pool = pool
        self._dialect = dialect
        self._pause_s = min_order_interval_s + HANDOVER_MARGIN_S
        self._clock = clock
        self._held_tokens = held_tokens
        self._slowdowns = slowdowns
        self._fenced_term = 0
        self._known_processes = set()
        self._quiet_until_s = clock() + QUIET_PERIOD_S
        self._last_order_s = {}
        self._pending = {}
        self._refused_until_s = {}

    async def step(self):
        """Plan the split, and send the orders that adjust it."""
        now_s = self._clock()
        present = self._engines()
        self._track_engines(present, now_s)
        if not self._may_order(now_s):
            return
        self._drop_finished(present, now_s)
        for service in {record.service: None for record in present.values()}:
            engines = [
                self._with_pending_order(record)
                for record in present.values()
                if record.service == service
            ]
            last_s = self._last_order_s.get(service, -CHANGE_INTERVAL_S)
            if lacks_stage(engines) or now_s - last_s >= CHANGE_INTERVAL_S:
                await self._adjust_split(service, engines)

    def _may_order(self, now_s):
        node = self._replica.node
        if not self._replica.is_leader or node.term == self._fenced_term:
            return False
        if now_s - node.elected_s < self._pause_s:
            return False
        return now_s >= self._quiet_until_s

    async def _adjust_split(self, service, engines):
        busy = self._demand.busy(service)
        slowdowns = self._slowdowns(engines)
        plan = plan_stages(
            engines,
            busy=busy,
            held=self._held_tokens(),
            avoided=self._refused_until_s,
            slowdowns=slowdowns,
        )
        excluded = self._pending.keys() | self._refused_until_s.keys()
        changes = [c for c in plan if c.upstream not in excluded]
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
                # An engine has an order with a later fencing number, so the
                # others may have one, too.
                return
            await self._send_order(
                records[change.upstream],
                change.stage,
                slowdowns.get(change.upstream, 1.0),
            )

    def _with_pending_order(self, record):
        """Return the record that an engine will have after its order."""
        order = self._pending.get(record.upstream)
        return record if order is None else replace(record, stage=order.stage)

    def _drop_finished(self, present, now_s):
        """Drop orders that were carried out or timed out, and old refusals."""
        for name, order in tuple(self._pending.items()):
            if not order.is_pending(present.get(name), now_s=now_s):
                del self._pending[name]
        for name, deadline_s in tuple(self._refused_until_s.items()):
            if now_s >= deadline_s:
                del self._refused_until_s[name]

    def _record_accepted(self, record, stage):
        now_s = self._clock()
        self._last_order_s[record.service] = now_s
        duration_s = self._demand.switch_s(record.service) + SWITCH_MARGIN_S
        self._pending[record.upstream] = _PendingOrder(
            stage=stage,
            started_ms=record.started_ms,
            deadline_s=now_s + duration_s,
        )
        # Until the engine has switched, it still grants memory, and refuses
        # the request only after its prompt was prefilled elsewhere.
        self._exchange.announce_switching(record.upstream, duration_s)

    def _engines(self):
        """Return the engines that accept work, by name."""
        return {
            record.upstream: record
            for record in self._exchange.registry.present
            if record.state is UpstreamState.READY and record.stage is not None
        }

    def _track_engines(self, present, now_s):
        """Delay planning for a while after engines appeared or were lost.

        An engine that announced that it drains does not return, so planning
        need not wait for it.
        """
        processes = {
            (record.upstream, record.started_ms) for record in present.values()
        }
        wait_s = 0.0
        if processes - self._known_processes:
            wait_s = QUIET_PERIOD_S
        if any(
            self._is_lost(name)
            for name, _ in self._known_processes - processes
        ):
            wait_s = RESTART_GRACE_S
        self._quiet_until_s = max(self._quiet_until_s, now_s + wait_s)
        self._known_processes = processes

    def _is_lost(self, upstream):
        record = self._exchange.registry.get(upstream)
        return record is None or record.state is UpstreamState.GONE

    async def _send_order(self, record, stage, slowdown):
        try:
            await self._replica.read()
        except NotCertainError:
            return
        term = self._replica.node.term
        order = StageOrder(
            upstream=record.upstream,
            stage=stage,
            holder=self._local_id,
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
        if status == SWITCH_STARTED:
            self._record_accepted(record, stage)
        elif status not in ACCEPTED:
            # The engine has restarted or is unreachable.  Another one is
            # ordered next: a pool that lacks a stage serves no request in
            # time.
            self._refused_until_s[record.upstream] = (
                self._clock() + REFUSAL_BACKOFF_S
            )
        if status == FENCED:
            # Another holder has sent orders with a later fencing number.
            self._fenced_term = term
        _log.info(
            "stage-ordered",
            upstream=record.upstream,
            stage=stage.value,
            fencing_number=term,
            accepted=status in ACCEPTED,
            answer=status,
            slowdown=round(slowdown, 2),
        )
