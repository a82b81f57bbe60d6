"""Actor that owns the upstreams whose home is this instance.

The home of an upstream is the instance that keeps the ledger of its memory
reservations.
"""

from collections import defaultdict
from functools import singledispatchmethod

import pykka
import structlog

from currantdeal.adapters.homes_messages import (
    ClaimsCollected,
    FormerHomeStopped,
    HandOver,
    HeldCheckFailed,
    HeldReported,
    MoveEnded,
    OrderEnded,
    RetireEnded,
    Tick,
)
from currantdeal.adapters.homes_orders import OrderExecutor
from currantdeal.core import UpstreamKind
from currantdeal.membership import (
    GrowCall,
    HomePlanner,
    HomeRefusal,
    HomeRegistry,
    PassedReports,
    Phase,
    PlanContext,
    PresenceTracker,
    ReserveCall,
    Sync,
)

HELD_CHECK_INTERVAL_S = 1.0
"""Interval between checks of the memory that an engine holds.

Together with the silence timeout of an entry, orphaned memory is found within
three of the promised five seconds.
"""

SETTLE_S = 10.0
"""Time that an instance must be alive before it may be given a home."""

ABSENCE_S = 0.7
"""Time that a once seen instance must be gone before its homes are taken."""

UNSEEN_S = 3.0
"""The same for an instance that was never seen, counted from the start."""

_REQUESTS = (ReserveCall, GrowCall, Sync)

_log = structlog.get_logger(__name__)


class HomesActor(pykka.ThreadingActor):
    """Owns the homes of this instance and never waits for another one.

    Parameters
    ----------
    instance : InstanceId
        This instance.
    state : StatePort
        The replicated state.
    members : MembersPort
        The known instances and their status.
    work : HomeWork
        Runs blocking operations.
    clock : Clock
        Source of time.
    output_gap_s : float
        Longest time between outputs that decoding should keep, in seconds.
    timeouts : HomeTimeouts
        Silence timeouts of entries and upstreams.
    """

    use_daemon_thread = True

    def __init__(
        self,
        *,
        instance,
        state,
        members,
        work,
        clock,
        output_gap_s,
        timeouts,
    ):
        """Start without homes."""
        super().__init__()
        now_s = clock.monotonic_s()
        self._instance = instance
        self._state = state
        self._members = members
        self._work = work
        self._clock = clock
        self._home_registry = HomeRegistry(
            instance=instance,
            output_gap_s=output_gap_s,
            timeouts=timeouts,
            now_s=now_s,
        )
        self._presence = PresenceTracker(
            settle_s=SETTLE_S,
            absence_s=ABSENCE_S,
            unseen_s=UNSEEN_S,
            now_s=now_s,
        )
        self._planner = HomePlanner()
        self._orders = OrderExecutor(work=work)
        self._leaving = False
        self._moving = set()
        self._retiring = set()
        self._check_due_s = {}

    def on_receive(self, message):
        """Handle one message at the current time."""
        try:
            return self._handle(message, self._clock.monotonic_s())
        except Exception:
            if isinstance(message, _REQUESTS):
                raise
            # An unhandled exception in a message without a waiting sender
            # ends the actor.  The instance would stay alive and keep its
            # homes: no other instance would take them over, and every
            # reservation at them would fail.
            _log.exception(
                "home actor failed to handle a message", message=repr(message)
            )
            return None

    @singledispatchmethod
    def _handle(self, message, now_s):
        raise TypeError(f"not a message of this actor: {message!r}")

    @_handle.register
    def _(self, message: ReserveCall, now_s):
        refusal = self._refusal(message.request.upstream_id)
        if refusal is not None:
            return refusal
        answer, cancels = self._home_registry.reserve(message, now_s)
        self._cancel_all(cancels)
        return answer

    @_handle.register
    def _(self, message: GrowCall, now_s):
        if self._refusal(message.upstream_id) is not None:
            return False
        grown, cancels = self._home_registry.grow(message)
        self._cancel_all(cancels)
        return grown

    @_handle.register
    def _(self, message: Sync, now_s):
        answer, cancels = self._home_registry.sync(message, now_s)
        self._cancel_all(cancels)
        return answer

    @_handle.register
    def _(self, message: PassedReports, now_s):
        for report in message.reports:
            self._home_registry.record_report(report, now_s)

    @_handle.register
    def _(self, message: HandOver, now_s):
        self._leaving = True
        self._plan(now_s)

    @_handle.register
    def _(self, message: Tick, now_s):
        has_lease = self._state.lease_remaining_s() > 0
        self._home_registry.reset_timeouts_if_paused(
            now_s, has_lease=has_lease
        )
        self._home_registry.apply_state(self._state.view(), now_s)
        self._presence.observe(self._members.members(), now_s)
        if not has_lease:
            return
        self._plan(now_s)
        self._cancel_all(self._home_registry.expire_entries(now_s))
        self._retire_silent(now_s)
        self._check_engines(now_s)
        self._orders.start_due(self._state.view(), self._home_registry, now_s)

    @_handle.register
    def _(self, message: MoveEnded, now_s):
        name = message.move.upstream_id
        self._moving.discard(name)
        record = self._state.view().upstreams.get(name)
        if message.fence is None or record is None:
            return
        home = self._home_registry.add_home(
            record.upstream, message.fence, now_s
        )
        _log.info("home taken", upstream=name, fence=message.fence)
        if message.move.former:
            self._work.await_former_home(
                home, message.move.former, message.version
            )
        else:
            self._reconcile(home)

    @_handle.register
    def _(self, message: FormerHomeStopped, now_s):
        home = self._home_registry.get(message.upstream_id, message.fence)
        if home is not None:
            self._reconcile(home)

    @_handle.register
    def _(self, message: ClaimsCollected, now_s):
        home = self._home_registry.get(message.upstream_id, message.fence)
        if home is None:
            return
        for answer in message.answers:
            self._home_registry.restore(message.upstream_id, answer, now_s)
        self._cancel_orphans(home, message.held)
        home.set_phase(Phase.OPEN)

    @_handle.register
    def _(self, message: HeldReported, now_s):
        self._check_due_s[message.upstream_id] = now_s + HELD_CHECK_INTERVAL_S
        home = self._home_registry.get(message.upstream_id, message.fence)
        if home is not None and home.phase is Phase.OPEN:
            self._cancel_orphans(home, message.held)

    @_handle.register
    def _(self, message: HeldCheckFailed, now_s):
        self._check_due_s[message.upstream_id] = now_s + HELD_CHECK_INTERVAL_S

    @_handle.register
    def _(self, message: OrderEnded, now_s):
        self._orders.ended(message, self._home_registry, now_s)

    @_handle.register
    def _(self, message: RetireEnded, now_s):
        self._retiring.discard(message.upstream_id)

    def _refusal(self, upstream_id):
        if self._state.lease_remaining_s() <= 0:
            return HomeRefusal(
                message="no lease on the replicated state", moving=True
            )
        view = self._state.view()
        record = view.upstreams.get(upstream_id)
        if record is None or not record.present or record.withdrawn:
            return HomeRefusal(message="the upstream is withdrawn")
        agreed = view.homes.get(upstream_id)
        home = self._home_registry.get(upstream_id)
        if home is None or agreed is None or agreed.fence != home.fence:
            return HomeRefusal(message="not the home", moving=True)
        return None

    def _reconcile(self, home):
        if home.upstream.kind is not UpstreamKind.ENGINE:
            home.set_phase(Phase.OPEN)
            return
        home.set_phase(Phase.RECONCILING)
        self._work.collect_claims(home)

    def _plan(self, now_s):
        state = self._state.view()
        draining = set(state.draining)
        if self._leaving:
            draining.add(self._instance)
        context = PlanContext(
            local_id=self._instance,
            members=self._members.members(),
            draining=frozenset(draining),
            settled=self._presence.settled(now_s),
            absent=self._presence.absent(
                {home.instance for home in state.homes.values()}, now_s
            ),
        )
        for move in self._planner.plan(
            state, self._home_registry.fences, context
        ):
            if move.upstream_id not in self._moving:
                self._moving.add(move.upstream_id)
                self._start_move(move)

    def _start_move(self, move):
        home = self._home_registry.get(move.upstream_id)
        if home is not None:
            # From here on nothing may be granted, since the next home would
            # not learn of the grant.
            home.set_phase(Phase.HANDED_OVER)
        self._work.move(move)

    def _retire_silent(self, now_s):
        for silent in self._home_registry.unresponsive_upstreams(now_s):
            record = self._state.view().upstreams[silent.upstream_id]
            if record.present and silent.upstream_id not in self._retiring:
                self._retiring.add(silent.upstream_id)
                self._work.retire(silent)

    def _check_engines(self, now_s):
        for home in self._home_registry.homes(Phase.OPEN):
            name = home.upstream.upstream_id
            if (
                home.upstream.kind is UpstreamKind.ENGINE
                and now_s >= self._check_due_s.get(name, 0.0)
            ):
                self._check_due_s[name] = float("inf")
                self._work.check_held(home)

    def _cancel_orphans(self, home, held):
        names = tuple(one.request_id for one in home.orphans(held))
        if names:
            _log.info(
                "cancelled orphaned requests",
                upstream=home.upstream.upstream_id,
                requests=names,
            )
            self._work.cancel(home.upstream, names)

    def _cancel_all(self, cancels):
        if self._state.lease_remaining_s() <= 0:
            # Another instance may have become home and restored the
            # reservations.  Its check of held memory finds any requests that
            # are left over.
            return
        by_upstream = defaultdict(list)
        for cancel in cancels:
            by_upstream[cancel.upstream_id].append(cancel.request_id)
        for name, request_ids in by_upstream.items():
            home = self._home_registry.get(name)
            if home is not None:
                self._work.cancel(home.upstream, tuple(request_ids))
