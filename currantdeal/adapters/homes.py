"""Reserves upstream memory at the upstream's home; implements ``HomesPort``.

The home of an upstream is the instance that keeps the ledger of its memory
reservations.  An entry is an instance that serves a caller's request and
reserves memory for it.  Every instance is both.
"""

import threading
from functools import partial

from currantdeal.adapters.errors import PeerError
from currantdeal.adapters.generated.homes import Homes as HomesService
from currantdeal.adapters.homes_actor import HomesActor
from currantdeal.adapters.homes_calls import SERVICE, HomeCalls
from currantdeal.adapters.homes_links import HomeLinks
from currantdeal.adapters.homes_messages import HandOver, Tick
from currantdeal.adapters.homes_server import HomesServer
from currantdeal.adapters.homes_work import HomeWork
from currantdeal.core import ReservationError
from currantdeal.membership import (
    GrowCall,
    HeldReservations,
    HomeRefusal,
    HomeTimeouts,
    ReserveCall,
    choose_home,
    first_incarnation,
)

TICK_S = 0.2
RESERVE_TIMEOUT_S = 0.5
"""Timeout of one reserve call; a home that does not answer is retried."""

MOVING_RETRY_S = 0.02
"""Pause between attempts while the home is changing."""

GROW_TIMEOUT_S = 0.3
HAND_OVER_POLL_S = 0.05
WORK_THREADS = 12


class HomeClient:
    """Makes reservations for this instance and runs the homes it keeps.

    Parameters
    ----------
    instance : InstanceId
        This instance.
    process : int
        Incarnation number of this process.
    state, members, clock
        The ports of those names.
    reservations : HeldReservations
        Grants that this instance holds as an entry.
    calls : HomeCalls
        Client for calls to homes.
    links : HomeLinks
        Sends heartbeats to homes.
    server : HomesServer
        Answers calls of other instances.
    work : HomeWork
        Runs blocking operations for the homes of this instance.
    start_actor : callable
        Starts the actor that owns the homes of this instance.
    """

    def __init__(
        self,
        *,
        instance,
        process,
        state,
        members,
        clock,
        reservations,
        calls,
        links,
        server,
        work,
        start_actor,
    ):
        """Store the collaborators; nothing runs before ``start``."""
        self._instance = instance
        self._process = process
        self._state = state
        self._members = members
        self._clock = clock
        self._reservations = reservations
        self._calls = calls
        self._links = links
        self._server = server
        self._work = work
        self._start_actor = start_actor
        self._actor = None
        self._stopped = threading.Event()

    def start(self):
        """Start to take homes, answer calls and renew the held grants."""
        self._actor = self._start_actor()
        self._work.start(self._actor.tell)
        self._server.attach(self._actor)
        self._links.start()
        threading.Thread(
            target=self._tick, name="homes-tick", daemon=True
        ).start()

    def stop(self):
        """Stop at once; in a planned stop call ``hand_over`` first."""
        self._stopped.set()
        self._links.stop()
        self._work.stop()
        if self._actor is not None:
            self._actor.stop(block=False)

    def hand_over(self, *, timeout_s):
        """Move all homes to other instances; return whether none is left.

        Reservations continue at the new homes, and this instance may still
        reserve there for the requests that it finishes.
        """
        self._actor.tell(HandOver())
        end_s = self._clock.monotonic_s() + timeout_s
        while self._keeps_movable_homes():
            if self._clock.monotonic_s() >= end_s:
                return False
            self._clock.sleep(HAND_OVER_POLL_S)
        return True

    def reserve(self, request, *, timeout_s):
        """Return a grant, or raise ``ReservationError``.

        While the home is changing, the call is retried until the timeout.
        """
        end_s = self._clock.monotonic_s() + timeout_s
        unanswered = set()
        while True:
            answer = self._try_reserve(request, end_s, unanswered)
            if not isinstance(answer, HomeRefusal):
                # This home grants a request once, however often it is sent.
                unanswered.discard(answer.home)
                self._release_at(unanswered, request)
                return answer
            left_s = end_s - self._clock.monotonic_s()
            if not answer.moving or left_s <= MOVING_RETRY_S:
                self._release_at(unanswered, request)
                raise ReservationError(
                    f"{request.upstream_id}: {answer.message}",
                    retry_after_s=answer.retry_after_s,
                )
            self._clock.sleep(MOVING_RETRY_S)

    def release(self, grant):
        """Release a grant; never raises.

        The home reclaims the memory if the release is lost.
        """
        held = self._reservations.remove(grant.upstream_id, grant.request_id)
        home = held.home if held else grant.home
        self._links.release(home, grant.upstream_id, grant.request_id)

    def grow(self, grant, *, pieces):
        """Return whether the grant was enlarged by ``pieces``."""
        held = self._reservations.get(grant.upstream_id, grant.request_id)
        if held is None:
            return False
        call = GrowCall(
            upstream_id=grant.upstream_id,
            request_id=grant.request_id,
            pieces=pieces,
        )
        try:
            grown = self._calls.grow(held.home, call, timeout_s=GROW_TIMEOUT_S)
        except PeerError:
            return False
        if grown:
            self._reservations.record_growth(grant, pieces=pieces)
        return grown

    def refresh(self, grant):
        """Return the grant as held at the present home, None if lost."""
        held = self._reservations.get(grant.upstream_id, grant.request_id)
        return held.grant if held else None

    def load(self, upstream_id):
        """Return the last reported load, which may be stale, or None."""
        return self._links.load(upstream_id)

    def report_load(self, report):
        """Record an upstream's renewal and load and relay it to the home."""
        self._links.report(report)

    def _try_reserve(self, request, end_s, unanswered):
        home = self._state.view().homes.get(request.upstream_id)
        if home is None:
            return HomeRefusal(
                message="the upstream has no home yet", moving=True
            )
        self._reservations.record_request(
            request, home=home.instance, fence=home.fence
        )
        left_s = max(MOVING_RETRY_S, end_s - self._clock.monotonic_s())
        call = ReserveCall(process=self._process, request=request)
        try:
            answer = self._calls.reserve(
                home.instance, call, timeout_s=min(RESERVE_TIMEOUT_S, left_s)
            )
        except PeerError as exc:
            self._reservations.remove(request.upstream_id, request.request_id)
            if exc.sent:
                unanswered.add(home.instance)
            return HomeRefusal(
                message=f"the home did not answer: {exc}", moving=True
            )
        if isinstance(answer, HomeRefusal):
            self._reservations.remove(request.upstream_id, request.request_id)
            return answer
        return self._record_grant(answer)

    def _record_grant(self, grant):
        self._reservations.record_grant(grant)
        held = self._reservations.get(grant.upstream_id, grant.request_id)
        return held.grant if held and held.grant else grant

    def _release_at(self, homes, request):
        """Release what homes that did not answer may have granted.

        Without a release the memory would stay reserved until the digests are
        compared.  A release before the last retry could reach the home after
        that retry, and end the grant that the entry believes to hold.
        """
        for home in homes:
            self._links.release(home, request.upstream_id, request.request_id)

    def _keeps_movable_homes(self):
        state = self._state.view()
        others = [
            member
            for member in self._members.members()
            if member.instance != self._instance
        ]
        return any(
            home.instance == self._instance
            and name in state.upstreams
            and choose_home(
                state.upstreams[name].upstream, others, state.draining
            )
            for name, home in state.homes.items()
        )

    def _tick(self):
        while not self._stopped.is_set():
            self._actor.tell(Tick())
            self._stopped.wait(TICK_S)


def build_homes(
    *, settings, clock, state, members, engines, peer_server, peer_pool
):
    """Build the homes of an instance; the caller starts and stops them.

    Parameters
    ----------
    settings : Settings
        The instance's settings.
    clock, state, members, engines
        The ports of those names; ``members`` as returned by
        ``build_members``.
    peer_server : PeerServer
        Listener on which the service is registered.
    peer_pool : PeerPool
        Connections for calls to other instances.

    Returns
    -------
    HomeClient
        With ``start``, ``stop`` and ``hand_over``.
    """
    common = {"instance": settings.instance, "clock": clock, "state": state}
    process = first_incarnation(clock.wall_s())
    reservations = HeldReservations()
    server = HomesServer(
        instance=settings.instance,
        process=process,
        reservations=reservations,
        pass_on=lambda report: links.report(report, passed_on=True),
    )
    calls = HomeCalls(
        instance=settings.instance,
        local=server,
        pool=peer_pool,
        address_of=partial(_address_of, settings, members),
    )
    links = HomeLinks(
        **common,
        process=process,
        reservations=reservations,
        calls=calls,
        members=members,
        heartbeat_s=settings.timing.renew_s,
        silence_s=settings.timing.lease_s,
    )
    work = HomeWork(
        **common,
        members=members,
        engines=engines,
        calls=calls,
        threads=WORK_THREADS,
    )
    peer_server.register(SERVICE, HomesService.Processor(server))
    return HomeClient(
        **common,
        process=process,
        members=members,
        reservations=reservations,
        calls=calls,
        links=links,
        server=server,
        work=work,
        start_actor=partial(
            HomesActor.start,
            **common,
            members=members,
            work=work,
            output_gap_s=settings.timing.output_gap_s,
            timeouts=_build_timeouts(settings.timing),
        ),
    )


def _address_of(settings, members, name):
    replicas = {
        replica.instance: replica.peer_address for replica in settings.replicas
    }
    return members.peer_address(name) or replicas.get(name, "")


def _build_timeouts(timing):
    return HomeTimeouts(
        entry_timeout_s=timing.lease_s,
        upstream_timeout_s=timing.upstream_silence_s,
    )
