"""Runs the blocking operations of homes: proposals, engine calls, claims.

These operations wait for the replicated state, for engines or for other
instances.  They run on a small thread pool and notify the actor of their
results, so that the actor itself never blocks.
"""

import uuid
from concurrent.futures import ThreadPoolExecutor

import structlog

from currantdeal.adapters.errors import PeerError
from currantdeal.adapters.homes_messages import (
    ClaimsCollected,
    FormerHomeStopped,
    HeldCheckFailed,
    HeldReported,
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
    HandOverHome,
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

PROPOSE_TIMEOUT_S = 2.0
CLAIMS_TIMEOUT_S = 0.5
CLAIMS_RETRY_LIMIT_S = 3.0
"""Time for which a call to an entry that does not answer is retried.

It is longer than a lease, so that a slow entry still gets to answer, and
short enough that the memory of a dead entry is free within five seconds.
"""

CLAIMS_RETRY_PAUSE_S = 0.05
FORMER_HOME_POLL_S = 0.05
ACTOR_NAME = "homes"

_log = structlog.get_logger(__name__)


class HomeWork:
    """Runs blocking operations for the homes of one instance.

    Parameters
    ----------
    instance : InstanceId
        This instance.
    state : StatePort
        The replicated state.
    members : MembersPort
        The known instances and their status.
    engines : EnginePort
        Client of engines.
    calls : HomeCalls
        Client for calls to other instances.
    clock : Clock
        Source of time.
    threads : int
        Maximum number of concurrent operations.
    """

    def __init__(
        self, *, instance, state, members, engines, calls, clock, threads
    ):
        """Create the thread pool, with no operation submitted."""
        self._instance = instance
        self._state = state
        self._members = members
        self._engines = engines
        self._calls = calls
        self._clock = clock
        self._pool = ThreadPoolExecutor(
            max_workers=threads, thread_name_prefix="homes"
        )
        self._notify = None
        self._stopped = False

    def start(self, notify):
        """Set the callable that passes results to the actor."""
        self._notify = notify

    def stop(self):
        """Cancel pending operations and accept no more."""
        self._stopped = True
        self._pool.shutdown(wait=False, cancel_futures=True)

    def move(self, move):
        """Propose to move a home."""
        self._submit(self._move, move)

    def await_former_home(self, home, former, version):
        """Wait until the former home can no longer grant memory."""
        self._submit(self._await_former_home, home, former, version)

    def collect_claims(self, home):
        """Query reachable entries and the engine for what they hold."""
        self._submit(self._collect_claims, home)

    def check_held(self, home):
        """Query the engine for the memory it holds."""
        self._submit(self._check_held, home)

    def cancel(self, upstream, request_ids):
        """Cancel requests on an engine, one after the other.

        At most one thread is used per engine: otherwise an unresponsive
        engine would delay the cancellations on all the others (head-of-line
        blocking).
        """
        self._submit(self._cancel, upstream, request_ids)

    def execute_order(self, home, record):
        """Send an order to an engine and record its result."""
        self._submit(self._execute_order, home, record)

    def record_order(self, ended, detail=""):
        """Record the result of an order in the replicated state."""
        self._submit(self._record_order, ended, detail)

    def retire(self, silence):
        """Propose to retire an upstream that has stopped renewing."""
        self._submit(self._retire, silence)

    def _submit(self, work, *args):
        if not self._stopped:
            self._pool.submit(self._run, work, *args)

    def _run(self, work, *args):
        try:
            work(*args)
        except Exception:
            # Nothing reads the result of the future, so the exception would
            # be lost.
            _log.exception("home operation failed", work=work.__name__)

    def _origin(self):
        return Origin(
            request_id=RequestId(uuid.uuid4().hex),
            actor=ACTOR_NAME,
            instance=self._instance,
            wall_s=self._clock.wall_s(),
        )

    def _propose(self, command):
        try:
            return self._state.propose(command, timeout_s=PROPOSE_TIMEOUT_S)
        except PortError:
            # The view shows whether the command was committed.  The planner
            # reads the view and proposes again where needed.
            return None

    def _move(self, move):
        giving = isinstance(move, HandOverHome)
        result = self._propose(
            AssignHome(
                origin=self._origin(),
                upstream_id=move.upstream_id,
                home=move.to if giving else self._instance,
                expected_fence=move.expected_fence,
            )
        )
        became_home = isinstance(result, HomeAssigned) and not giving
        self._notify(
            MoveEnded(
                move=move,
                fence=result.fence if became_home else None,
                version=result.version if became_home else 0,
            )
        )

    def _await_former_home(self, home, former, version):
        while not self._stopped and not self._former_home_stopped(
            former, version
        ):
            self._clock.sleep(FORMER_HOME_POLL_S)
        self._notify(
            FormerHomeStopped(
                upstream_id=home.upstream.upstream_id, fence=home.fence
            )
        )

    def _former_home_stopped(self, former, version):
        try:
            for progress in self._state.progress():
                if progress.instance == former:
                    return (
                        progress.version >= version
                        or progress.lease_remaining_s <= 0
                    )
            # The leader has no record of the former home.  A new leader
            # waits until the leases granted by its predecessors have expired
            # before it reports a version as in force.
            self._state.wait_in_force(version, timeout_s=PROPOSE_TIMEOUT_S)
        except PortError:
            return False
        return True

    def _collect_claims(self, home):
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
        with ThreadPoolExecutor(max_workers=8) as executor:
            answers = list(
                executor.map(lambda n: self._request_claims(n, call), names)
            )
        self._notify(
            ClaimsCollected(
                upstream_id=call.upstream_id,
                fence=call.fence,
                answers=tuple(a for a in answers if a is not None),
                held=self._held(home) or (),
            )
        )

    def _request_claims(self, name, call):
        # Memory that an entry holds but does not report would be granted a
        # second time, and the entry's streams cancelled on the engine as
        # orphans.  One unanswered call therefore proves nothing, and the call
        # is retried.
        end_s = self._clock.monotonic_s() + CLAIMS_RETRY_LIMIT_S
        while not self._stopped:
            try:
                return self._calls.claims(
                    name, call, timeout_s=CLAIMS_TIMEOUT_S
                )
            except PeerError:
                if self._clock.monotonic_s() >= end_s or self._is_dead(name):
                    return None
            self._clock.sleep(CLAIMS_RETRY_PAUSE_S)
        return None

    def _is_dead(self, name):
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
            self._notify(HeldCheckFailed(upstream_id=name))
        else:
            self._notify(
                HeldReported(upstream_id=name, fence=home.fence, held=held)
            )

    def _cancel(self, upstream, request_ids):
        try:
            for request_id in request_ids:
                self._engines.cancel(upstream, request_id)
        except UpstreamError:
            # The next check of the engine's held memory finds the requests
            # again.
            return

    def _execute_order(self, home, record):
        status, detail = OrderStatus.DONE, ""
        try:
            self._engines.order(home.upstream, record.order, home.fence)
        except StaleFenceError:
            # Another instance has become home and executes the order.
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
            self._notify(ended)
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
        self._notify(
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
        self._notify(RetireEnded(upstream_id=silence.upstream_id))
