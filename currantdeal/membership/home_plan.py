"""Plan of the homes that an instance takes over or hands over.

A home stays on its instance while that is alive, because every move requires
a reconciliation with the engine.  It moves when its instance fails or
drains.  It also moves to the instance that rendezvous hashing chooses, one
home at a time, once that instance has been alive for some time.  Without this
rebalancing, a rolling restart would leave all homes on the instance that
restarted last.
"""

from dataclasses import dataclass

from currantdeal.core import FencingNumber, InstanceId, UpstreamId
from currantdeal.membership.placement import choose_home
from currantdeal.ports import MemberStatus


@dataclass(frozen=True, kw_only=True)
class TakeOverHome:
    """Move of an upstream's home to this instance.

    Parameters
    ----------
    expected_fence : FencingNumber
        Fencing number of the home that is replaced; 0 if there is none.
    former : InstanceId
        Instance whose lease has to expire first; empty if no other instance
        may grant reservations.
    """

    upstream_id: UpstreamId
    expected_fence: FencingNumber
    former: InstanceId = InstanceId("")


@dataclass(frozen=True, kw_only=True)
class HandOverHome:
    """Move of an upstream's home from this instance to another one.

    Parameters
    ----------
    expected_fence : FencingNumber
        Fencing number of the home on this instance.
    to : InstanceId
        Instance that becomes the home.
    """

    upstream_id: UpstreamId
    expected_fence: FencingNumber
    to: InstanceId


@dataclass(frozen=True, kw_only=True)
class PlanContext:
    """Membership on which a plan of homes is based.

    Parameters
    ----------
    local_id : InstanceId
        This instance.
    members : tuple of Member
        All known instances.
    draining : frozenset of InstanceId
        Draining instances, possibly including this one.
    settled : frozenset of InstanceId
        Instances that have been alive long enough to receive a home.
    absent : frozenset of InstanceId
        Instances that have been unavailable long enough to lose their homes.
    """

    local_id: InstanceId
    members: tuple
    draining: frozenset = frozenset()
    settled: frozenset = frozenset()
    absent: frozenset = frozenset()


def plan_homes(state, own_fences, context):
    """Return the moves of homes that this instance should propose.

    Parameters
    ----------
    state : ClusterState
        Replicated state.
    own_fences : dict of UpstreamId to FencingNumber
        Fencing numbers of the homes that this process has taken over.
    context : PlanContext
        Membership on which the plan is based.
    """
    moves = []
    for name in sorted(state.upstreams):
        record = state.upstreams[name]
        home = state.homes.get(name)
        if record.present or (home and home.instance == context.local_id):
            moves.append(_plan(record.upstream, home, own_fences, context))
    planned = [move for move in moves if move is not None]
    return _at_most_one_rebalance(planned, context)


class HomePlanner:
    """Cache of the plan of homes until one of its inputs changes.

    Load pattern: several ticks per second, and changes of membership or
    homes a few hundred times a day.  Hashing every upstream against every
    candidate on each tick would cost more than all other control work
    together.  The loads of members change continuously and are not an input.
    """

    def __init__(self):
        """Start without a cached plan."""
        self._inputs = None
        self._moves = []

    def plan(self, state, own_fences, context):
        """Return the result of ``plan_homes``, cached if still valid."""
        inputs = (
            state.upstreams,
            state.homes,
            dict(own_fences),
            context.draining,
            context.settled,
            context.absent,
            tuple(_placement_key(member) for member in context.members),
        )
        if inputs != self._inputs:
            self._inputs = inputs
            self._moves = plan_homes(state, own_fences, context)
        return self._moves


def _placement_key(member):
    return (
        member.instance,
        member.status,
        member.draining,
        member.region,
        member.data_center,
    )


def _plan(upstream, home, own_fences, context):
    name = upstream.upstream_id
    preferred = choose_home(upstream, context.members, context.draining)
    if home is None:
        if preferred == context.local_id:
            return TakeOverHome(upstream_id=name, expected_fence=0)
        return None
    if home.instance == context.local_id:
        return _plan_own(name, home, preferred, own_fences, context)
    if preferred == context.local_id and home.instance in context.absent:
        return TakeOverHome(
            upstream_id=name,
            expected_fence=home.fence,
            former=home.instance,
        )
    return None


def _plan_own(name, home, preferred, own_fences, context):
    is_draining = context.local_id in context.draining
    if preferred not in (None, context.local_id) and (
        is_draining or preferred in context.settled
    ):
        return HandOverHome(
            upstream_id=name, expected_fence=home.fence, to=preferred
        )
    if own_fences.get(name) != home.fence and not is_draining:
        # This instance was the home before it restarted, or the home was
        # handed over to it.  The process has no ledger for it, and a new
        # fence invalidates anything that the former process still sends.
        return TakeOverHome(upstream_id=name, expected_fence=home.fence)
    return None


def _at_most_one_rebalance(moves, context):
    if context.local_id in context.draining:
        return moves
    handovers = [move for move in moves if isinstance(move, HandOverHome)]
    return [move for move in moves if move not in handovers[1:]]


class PresenceTracker:
    """Time for which each instance has been alive or unavailable.

    Parameters
    ----------
    settle_s : float
        Time alive after which an instance may receive a home.
    absence_s : float
        Time after which the homes of an instance that was alive and is now
        suspected or unavailable are taken over.  This is shorter than the
        time until it is declared dead: if it is still alive, its lease keeps
        its homes exclusive, and each second delays the callers of its
        upstreams.
    unseen_s : float
        Time from the start of this process after which the homes of an
        instance that was never in the member table are taken over.
    now_s : float
        Monotonic start time, in seconds.
    """

    def __init__(self, *, settle_s, absence_s, unseen_s, now_s):
        """Start without observations."""
        self._settle_s = settle_s
        self._absence_s = absence_s
        self._unseen_s = unseen_s
        self._started_s = now_s
        self._since_s = {}
        self._alive = {}

    def observe(self, members, now_s):
        """Record the membership at a time."""
        alive = {m.instance: _is_alive(m) for m in members}
        for name in self._alive.keys() | alive.keys():
            present = alive.get(name, False)
            if self._alive.get(name) is not present:
                self._alive[name] = present
                self._since_s[name] = now_s

    def settled(self, now_s):
        """Return the instances that may receive a home."""
        return frozenset(
            name
            for name, alive in self._alive.items()
            if alive and now_s >= self._since_s[name] + self._settle_s
        )

    def absent(self, names, now_s):
        """Return those of ``names`` whose homes may be taken over."""
        return frozenset(
            name
            for name in names
            if not self._alive.get(name, False)
            and now_s >= self._absent_from_s(name)
        )

    def _absent_from_s(self, name):
        if name in self._alive:
            return self._since_s[name] + self._absence_s
        return self._started_s + self._unseen_s


def _is_alive(member):
    return member.status is MemberStatus.ALIVE
