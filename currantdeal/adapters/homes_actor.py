"""Actor that keeps the ledgers of the upstreams whose home is here."""

from collections import defaultdict
from functools import singledispatchmethod

import pykka
import structlog

from currantdeal.adapters.homes_messages import (
    CheckFailed,
    ClaimsTaken,
    FormerEnded,
    HandOver,
    HeldTaken,
    MoveEnded,
    OrderEnded,
    RetireEnded,
    Tick,
)
from currantdeal.adapters.homes_orders import OrderDesk
from currantdeal.core import UpstreamKind
from currantdeal.membership import (
    GrowCall,
    HomeBook,
    HomePlanner,
    HomeRefusal,
    PassedReports,
    Phase,
    Presence,
    ReserveCall,
    Surroundings,
    Sync,
)

HELD_CHECK_S = 1.0
"""Interval between checks of what an engine holds.

With the silence of an entry, memory that nobody holds is found within three
seconds of the five that are promised.
"""

SETTLE_S = 10.0
ABSENCE_S = 0.7
UNSEEN_S = 3.0

_ASKED = (ReserveCall, GrowCall, Sync)

_log = structlog.get_logger(__name__)


class HomesActor(pykka.ThreadingActor):
    """Owns the homes; nothing it does waits for another instance.

    Parameters
    ----------
    instance : InstanceId
        This instance.
    state : StatePort
        The replicated state.
    members : MembersPort
        Who is alive.
    work : HomeWork
        Does what takes time.
    clock : Clock
        Time.
    output_gap_s : float
        Longest time between outputs that decoding should keep, in seconds.
    limits : BookLimits
        When others are given up.
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
        limits,
    ):
        """Start without homes."""
        super().__init__()
        now_s = clock.monotonic_s()
        self._instance = instance
        self._state = state
        self._members = members
        self._work = work
        self._clock = clock
        self._book = HomeBook(
            instance=instance,
            output_gap_s=output_gap_s,
            limits=limits,
            now_s=now_s,
        )
        self._presence = Presence(
            settle_s=SETTLE_S,
            absence_s=ABSENCE_S,
            unseen_s=UNSEEN_S,
            now_s=now_s,
        )
        self._planner = HomePlanner()
        self._orders = OrderDesk(work=work)
        self._leaving = False
        self._moving = set()
        self._retiring = set()
        self._check_due_s = {}

    def on_receive(self, message):
        """Handle one message at its time."""
        try:
            return self._handle(message, self._clock.monotonic_s())
        except Exception:
            if isinstance(message, _ASKED):
                raise
            # An actor ends with the first error of a message that nobody
            # waits for.  The instance would go on living, and with it its
            # homes, which nobody would take over and nobody could reserve
            # at.
            _log.exception("home message failed", message=repr(message))
            return None

    @singledispatchmethod
    def _handle(self, message, now_s):
        raise TypeError(f"not a message of this actor: {message!r}")

    @_handle.register
    def _(self, message: ReserveCall, now_s):
        refusal = self._refusal(message.request.upstream_id)
        if refusal is not None:
            return refusal
        answer, cancels = self._book.reserve(message, now_s)
        self._cancel_all(cancels)
        return answer

    @_handle.register
    def _(self, message: GrowCall, now_s):
        if self._refusal(message.upstream_id) is not None:
            return False
        grown, cancels = self._book.grow(message)
        self._cancel_all(cancels)
        return grown

    @_handle.register
    def _(self, message: Sync, now_s):
        answer, cancels = self._book.sync(message, now_s)
        self._cancel_all(cancels)
        return answer

    @_handle.register
    def _(self, message: PassedReports, now_s):
        for report in message.reports:
            self._book.hear(report, now_s)

    @_handle.register
    def _(self, message: HandOver, now_s):
        self._leaving = True
        self._plan(now_s)

    @_handle.register
    def _(self, message: Tick, now_s):
        listening = self._state.lease_remaining_s() > 0
        self._book.excuse_if_paused(now_s, listening=listening)
        self._book.follow(self._state.view(), now_s)
        self._presence.observe(self._members.members(), now_s)
        if not listening:
            return
        self._plan(now_s)
        self._cancel_all(self._book.silent_entries(now_s))
        self._retire_silent(now_s)
        self._check_engines(now_s)
        self._orders.carry(self._state.view(), self._book, now_s)

    @_handle.register
    def _(self, message: MoveEnded, now_s):
        name = message.move.upstream_id
        self._moving.discard(name)
        record = self._state.view().upstreams.get(name)
        if message.fence is None or record is None:
            return
        home = self._book.take(record.upstream, message.fence, now_s)
        _log.info("home taken", upstream=name, fence=message.fence)
        if message.move.former:
            self._work.await_former(home, message.move.former, message.version)
        else:
            self._reconcile(home)

    @_handle.register
    def _(self, message: FormerEnded, now_s):
        home = self._book.get(message.upstream_id, message.fence)
        if home is not None:
            self._reconcile(home)

    @_handle.register
    def _(self, message: ClaimsTaken, now_s):
        home = self._book.get(message.upstream_id, message.fence)
        if home is None:
            return
        for answer in message.answers:
            self._book.adopt(message.upstream_id, answer, now_s)
        self._cancel_orphans(home, message.held)
        home.advance(Phase.OPEN)

    @_handle.register
    def _(self, message: HeldTaken, now_s):
        self._check_due_s[message.upstream_id] = now_s + HELD_CHECK_S
        home = self._book.get(message.upstream_id, message.fence)
        if home is not None and home.phase is Phase.OPEN:
            self._cancel_orphans(home, message.held)

    @_handle.register
    def _(self, message: CheckFailed, now_s):
        self._check_due_s[message.upstream_id] = now_s + HELD_CHECK_S

    @_handle.register
    def _(self, message: OrderEnded, now_s):
        self._orders.ended(message, self._book, now_s)

    @_handle.register
    def _(self, message: RetireEnded, now_s):
        self._retiring.discard(message.upstream_id)

    def _refusal(self, upstream_id):
        if self._state.lease_remaining_s() <= 0:
            return HomeRefusal(message="no lease on the view", moving=True)
        view = self._state.view()
        record = view.upstreams.get(upstream_id)
        if record is None or not record.present or record.withdrawn:
            return HomeRefusal(message="the upstream is withdrawn")
        agreed = view.homes.get(upstream_id)
        home = self._book.get(upstream_id)
        if home is None or agreed is None or agreed.fence != home.fence:
            return HomeRefusal(message="not the home", moving=True)
        return None

    def _reconcile(self, home):
        if home.upstream.kind is not UpstreamKind.ENGINE:
            home.advance(Phase.OPEN)
            return
        home.advance(Phase.RECONCILING)
        self._work.take_claims(home)

    def _plan(self, now_s):
        state = self._state.view()
        draining = set(state.draining)
        if self._leaving:
            draining.add(self._instance)
        around = Surroundings(
            me=self._instance,
            members=self._members.members(),
            draining=frozenset(draining),
            settled=self._presence.settled(now_s),
            absent=self._presence.absent(
                {home.instance for home in state.homes.values()}, now_s
            ),
        )
        for move in self._planner.plan(state, self._book.fences, around):
            if move.upstream_id not in self._moving:
                self._moving.add(move.upstream_id)
                self._start_move(move)

    def _start_move(self, move):
        home = self._book.get(move.upstream_id)
        if home is not None:
            # Nothing may be granted that the next home is not told of.
            home.advance(Phase.GIVEN)
        self._work.move(move)

    def _retire_silent(self, now_s):
        for silence in self._book.silent_upstreams(now_s):
            record = self._state.view().upstreams[silence.upstream_id]
            if record.present and silence.upstream_id not in self._retiring:
                self._retiring.add(silence.upstream_id)
                self._work.retire(silence)

    def _check_engines(self, now_s):
        for home in self._book.homes(Phase.OPEN):
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
                "cancelled memory held for nobody",
                upstream=home.upstream.upstream_id,
                requests=names,
            )
            self._work.cancel(home.upstream, names)

    def _cancel_all(self, cancels):
        if self._state.lease_remaining_s() <= 0:
            # Another instance may be home by now and may have adopted the
            # requests; whatever is left over its check will find.
            return
        by_upstream = defaultdict(list)
        for cancel in cancels:
            by_upstream[cancel.upstream_id].append(cancel.request_id)
        for name, request_ids in by_upstream.items():
            home = self._book.get(name)
            if home is not None:
                self._work.cancel(home.upstream, tuple(request_ids))
