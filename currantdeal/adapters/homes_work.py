"""What a home does that takes time: proposals, engine calls, claims.

Everything here blocks, so it runs on a few threads of its own and tells the
actor when it is done; the actor itself never waits for anybody.
"""

import uuid
from concurrent.futures import ThreadPoolExecutor

import structlog

from currantdeal.adapters.errors import PeerError
from currantdeal.adapters.homes_messages import (
    CheckFailed,
    ClaimsTaken,
    FormerEnded,
    HeldTaken,
    MoveEnded,
    OrderEnded,
    RetireEnded,
)
from currantdeal.core import (
    PortError,
    RequestId,
    StaleFenceError,
    UpstreamError,
    UpstreamRefusedError,
)
from currantdeal.membership import (
    ClaimsCall,
    GiveHome,
    is_reachable,
)
from currantdeal.state import (
    AssignHome,
    FinishOrder,
    HomeAssigned,
    OrderStatus,
    Origin,
    RetireUpstream,
)

PROPOSE_S = 2.0
CLAIMS_S = 0.5
CLAIMS_LIMIT_S = 3.0
"""Time for which an entry that does not answer is asked again.

Longer than a lease, so that an entry that is merely slow gets to answer, and
short enough that memory of one that is gone is free within five seconds.
"""

CLAIMS_PAUSE_S = 0.05
FORMER_POLL_S = 0.05
ACTOR_NAME = "homes"

_log = structlog.get_logger(__name__)


class HomeWork:
    """Blocking work of the homes of one instance.

    Parameters
    ----------
    instance : InstanceId
        This instance.
    state : StatePort
        The replicated state.
    members : MembersPort
        Who is alive.
    engines : EnginePort
        Client of engines.
    calls : HomeCalls
        Calls to other instances.
    clock : Clock
        Time.
    threads : int
        Most things done at once.
    """

    def __init__(
        self, *, instance, state, members, engines, calls, clock, threads
    ):
        """Start without work."""
        self._instance = instance
        self._state = state
        self._members = members
        self._engines = engines
        self._calls = calls
        self._clock = clock
        self._pool = ThreadPoolExecutor(
            max_workers=threads, thread_name_prefix="homes"
        )
        self._tell = None
        self._stopped = False

    def start(self, tell):
        """Tell results to the actor from now on."""
        self._tell = tell

    def stop(self):
        """Do nothing more."""
        self._stopped = True
        self._pool.shutdown(wait=False, cancel_futures=True)

    def move(self, move):
        """Propose that a home moves."""
        self._submit(self._move, move)

    def await_former(self, home, former, version):
        """Wait until the former home can grant no more."""
        self._submit(self._await_former, home, former, version)

    def take_claims(self, home):
        """Ask living entries and the engine what they hold."""
        self._submit(self._take_claims, home)

    def check_held(self, home):
        """Ask the engine what it holds."""
        self._submit(self._check_held, home)

    def cancel(self, upstream, request_ids):
        """Cancel some requests on an engine, one after the other.

        One thread for each engine at most: an engine that is silent would
        otherwise hold up what has to be cancelled on all the others.
        """
        self._submit(self._cancel, upstream, request_ids)

    def carry_order(self, home, record):
        """Carry an order to an engine and record how it ended."""
        self._submit(self._carry_order, home, record)

    def record_order(self, ended, detail=""):
        """Record how an order ended."""
        self._submit(self._record_order, ended, detail)

    def retire(self, silence):
        """Retire an upstream that fell silent."""
        self._submit(self._retire, silence)

    def _submit(self, work, *args):
        if not self._stopped:
            self._pool.submit(self._run, work, *args)

    def _run(self, work, *args):
        try:
            work(*args)
        except Exception:
            # A future nobody asks for its result would hide the error.
            _log.exception("home work failed", work=work.__name__)

    def _origin(self):
        return Origin(
            request_id=RequestId(uuid.uuid4().hex),
            actor=ACTOR_NAME,
            instance=self._instance,
            wall_s=self._clock.wall_s(),
        )

    def _propose(self, command):
        try:
            return self._state.propose(command, timeout_s=PROPOSE_S)
        except PortError:
            # Whether it was committed shows in the view; the plan follows
            # the view and proposes again where that is needed.
            return None

    def _move(self, move):
        given = isinstance(move, GiveHome)
        result = self._propose(
            AssignHome(
                origin=self._origin(),
                upstream_id=move.upstream_id,
                home=move.to if given else self._instance,
                expected_fence=move.expected_fence,
            )
        )
        taken = isinstance(result, HomeAssigned) and not given
        self._tell(
            MoveEnded(
                move=move,
                fence=result.fence if taken else None,
                version=result.version if taken else 0,
            )
        )

    def _await_former(self, home, former, version):
        while not self._stopped and not self._former_ended(former, version):
            self._clock.sleep(FORMER_POLL_S)
        self._tell(
            FormerEnded(
                upstream_id=home.upstream.upstream_id, fence=home.fence
            )
        )

    def _former_ended(self, former, version):
        try:
            for progress in self._state.progress():
                if progress.instance == former:
                    return (
                        progress.version >= version
                        or progress.lease_remaining_s <= 0
                    )
            # The leader does not know the former home; a new leader waits
            # out the leases of its predecessors before it says this.
            self._state.wait_in_force(version, timeout_s=PROPOSE_S)
        except PortError:
            return False
        return True

    def _take_claims(self, home):
        call = ClaimsCall(
            upstream_id=home.upstream.upstream_id,
            home=self._instance,
            fence=home.fence,
        )
        names = [
            member.instance
            for member in self._members.members()
            if is_reachable(member)
        ]
        with ThreadPoolExecutor(max_workers=8) as asking:
            answers = list(asking.map(lambda n: self._ask(n, call), names))
        self._tell(
            ClaimsTaken(
                upstream_id=call.upstream_id,
                fence=call.fence,
                answers=tuple(a for a in answers if a is not None),
                held=self._held(home) or (),
            )
        )

    def _ask(self, name, call):
        # What an entry holds and does not tell would be given out a second
        # time, and its streams cancelled on the engine as held for nobody;
        # so one attempt that got no answer says nothing.
        end_s = self._clock.monotonic_s() + CLAIMS_LIMIT_S
        while not self._stopped:
            try:
                return self._calls.claims(name, call, timeout_s=CLAIMS_S)
            except PeerError:
                if self._clock.monotonic_s() >= end_s or self._is_gone(name):
                    return None
            self._clock.sleep(CLAIMS_PAUSE_S)
        return None

    def _is_gone(self, name):
        if any(
            member.instance == name and is_reachable(member)
            for member in self._members.members()
        ):
            return False
        try:
            return not any(
                progress.instance == name and progress.lease_remaining_s > 0
                for progress in self._state.progress()
            )
        except PortError:
            return False

    def _held(self, home):
        try:
            return self._engines.held(home.upstream)
        except UpstreamError:
            return None

    def _check_held(self, home):
        held = self._held(home)
        name = home.upstream.upstream_id
        if held is None:
            self._tell(CheckFailed(upstream_id=name))
        else:
            self._tell(
                HeldTaken(upstream_id=name, fence=home.fence, held=held)
            )

    def _cancel(self, upstream, request_ids):
        try:
            for request_id in request_ids:
                self._engines.cancel(upstream, request_id)
        except UpstreamError:
            # The next check of what the engine holds finds it again.
            return

    def _carry_order(self, home, record):
        status, detail = OrderStatus.DONE, ""
        try:
            self._engines.order(home.upstream, record.order, home.fence)
        except StaleFenceError:
            # Another instance is home by now and carries the order.
            status = None
        except UpstreamRefusedError as exc:
            status, detail = OrderStatus.REFUSED, str(exc)
        except UpstreamError:
            status = None
        ended = OrderEnded(
            order_id=record.order_id,
            upstream_id=record.upstream_id,
            status=status,
        )
        if status is None:
            self._tell(ended)
        else:
            self._record_order(ended, detail)

    def _record_order(self, ended, detail):
        result = self._propose(
            FinishOrder(
                origin=self._origin(),
                order_id=ended.order_id,
                status=ended.status,
                detail=detail,
            )
        )
        self._tell(
            OrderEnded(
                order_id=ended.order_id,
                upstream_id=ended.upstream_id,
                status=ended.status,
                recorded=result is not None,
            )
        )

    def _retire(self, silence):
        self._propose(
            RetireUpstream(
                origin=self._origin(),
                upstream_id=silence.upstream_id,
                incarnation=silence.incarnation,
                reason="silent",
            )
        )
        self._tell(RetireEnded(upstream_id=silence.upstream_id))
