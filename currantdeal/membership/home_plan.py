"""Which homes an instance should take or give away.

A home stays where it is while its instance lives, because every move costs a
reconciliation with the engine.  It moves when its instance is gone or
drains, and, one at a time, to the instance that rendezvous hashing chooses
when that one has been there for a while; without the last rule, a rolling
restart would leave all homes with the instance that restarted last.
"""

from dataclasses import dataclass

from currantdeal.core import FencingNumber, InstanceId, UpstreamId
from currantdeal.membership.placement import choose_home
from currantdeal.ports import MemberStatus


@dataclass(frozen=True, kw_only=True)
class TakeHome:
    """Become home of an upstream.

    Parameters
    ----------
    expected_fence : FencingNumber
        Of the home that is replaced; 0 if there is none.
    former : InstanceId
        Whose lease has to run out first; empty if nobody else may grant.
    """

    upstream_id: UpstreamId
    expected_fence: FencingNumber
    former: InstanceId = InstanceId("")


@dataclass(frozen=True, kw_only=True)
class GiveHome:
    """Let another instance become home of an upstream."""

    upstream_id: UpstreamId
    expected_fence: FencingNumber
    to: InstanceId


@dataclass(frozen=True, kw_only=True)
class Surroundings:
    """What a plan depends on.

    Parameters
    ----------
    me : InstanceId
        This instance.
    members : tuple of Member
        All known instances.
    draining : frozenset of InstanceId
        Instances that drain, this one included if it does.
    settled : frozenset of InstanceId
        Instances that have been alive long enough to be given a home.
    absent : frozenset of InstanceId
        Instances that have been gone long enough to be replaced.
    """

    me: InstanceId
    members: tuple
    draining: frozenset = frozenset()
    settled: frozenset = frozenset()
    absent: frozenset = frozenset()


def plan_homes(state, mine, around):
    """Return the moves that this instance should propose.

    Parameters
    ----------
    state : ClusterState
        The replicated state.
    mine : dict of UpstreamId to FencingNumber
        Homes that this process has taken itself.
    around : Surroundings
        Who else is there.
    """
    moves = []
    for name in sorted(state.upstreams):
        record = state.upstreams[name]
        home = state.homes.get(name)
        if record.present or (home and home.instance == around.me):
            moves.append(_plan(record.upstream, home, mine, around))
    found = [move for move in moves if move is not None]
    return _at_most_one_rebalance(found, around)


class HomePlanner:
    """Plans anew only when something has changed that a plan depends on.

    Load pattern: a tick several times a second, and changes of membership
    or homes some hundred times a day.  Hashing every upstream against every
    candidate on each tick would cost more than all other control together;
    loads, which change all the time, do not count.
    """

    def __init__(self):
        """Start without a plan."""
        self._known = None
        self._moves = []

    def plan(self, state, mine, around):
        """Return the moves of ``plan_homes``."""
        known = (
            state.upstreams,
            state.homes,
            dict(mine),
            around.draining,
            around.settled,
            around.absent,
            tuple(_placed(member) for member in around.members),
        )
        if known != self._known:
            self._known = known
            self._moves = plan_homes(state, mine, around)
        return self._moves


def _placed(member):
    return (
        member.instance,
        member.status,
        member.draining,
        member.region,
        member.data_center,
    )


def _plan(upstream, home, mine, around):
    name = upstream.upstream_id
    wanted = choose_home(upstream, around.members, around.draining)
    if home is None:
        if wanted == around.me:
            return TakeHome(upstream_id=name, expected_fence=0)
        return None
    if home.instance == around.me:
        return _plan_own(name, home, wanted, mine, around)
    if wanted == around.me and home.instance in around.absent:
        return TakeHome(
            upstream_id=name,
            expected_fence=home.fence,
            former=home.instance,
        )
    return None


def _plan_own(name, home, wanted, mine, around):
    leaving = around.me in around.draining
    if wanted not in (None, around.me) and (
        leaving or wanted in around.settled
    ):
        return GiveHome(upstream_id=name, expected_fence=home.fence, to=wanted)
    if mine.get(name) != home.fence and not leaving:
        # The home was this instance's before it restarted, or was given to
        # it.  Its ledger is not here, and a new fence keeps anything that
        # the former process still sends from counting.
        return TakeHome(upstream_id=name, expected_fence=home.fence)
    return None


def _at_most_one_rebalance(moves, around):
    if around.me in around.draining:
        return moves
    given = [move for move in moves if isinstance(move, GiveHome)]
    return [move for move in moves if move not in given[1:]]


class Presence:
    """How long each instance has been there, or been gone.

    Parameters
    ----------
    settle_s : float
        Time alive after which an instance may be given a home.
    absence_s : float
        Time for which an instance that was seen alive has to be suspected
        or gone until its homes are taken.  They are taken before it is
        declared dead: its lease keeps a living one's homes exclusive
        anyway, and each second counts for the callers of its upstreams.
    unseen_s : float
        The same for an instance that was never seen, from the start.
    now_s : float
        Monotonic time of the start.
    """

    def __init__(self, *, settle_s, absence_s, unseen_s, now_s):
        """Start without having seen anybody."""
        self._settle_s = settle_s
        self._absence_s = absence_s
        self._unseen_s = unseen_s
        self._started_s = now_s
        self._since_s = {}
        self._alive = {}

    def observe(self, members, now_s):
        """Take in the membership at a time."""
        alive = {m.instance: _is_alive(m) for m in members}
        for name in self._alive.keys() | alive.keys():
            present = alive.get(name, False)
            if self._alive.get(name) is not present:
                self._alive[name] = present
                self._since_s[name] = now_s

    def settled(self, now_s):
        """Return the instances that may be given a home."""
        return frozenset(
            name
            for name, alive in self._alive.items()
            if alive and now_s >= self._since_s[name] + self._settle_s
        )

    def absent(self, names, now_s):
        """Return those of some instances that are gone for good."""
        return frozenset(
            name
            for name in names
            if not self._alive.get(name, False)
            and now_s >= self._gone_since_s(name)
        )

    def _gone_since_s(self, name):
        if name in self._alive:
            return self._since_s[name] + self._absence_s
        return self._started_s + self._unseen_s


def _is_alive(member):
    return member.status is MemberStatus.ALIVE
