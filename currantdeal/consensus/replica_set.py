"""Rules by which the leader of a Raft group changes its membership.

A voter that does not answer, or leaves, is removed as soon as the remaining
voters have a smaller quorum without it or a learner has caught up.  An even
number of voters tolerates no more failures than the next smaller odd number,
so a surplus replica stays a learner.
"""

from dataclasses import dataclass
from enum import Enum

from currantdeal.consensus.configuration import Configuration
from currantdeal.core import InstanceId

REJOIN_AFTER_S = 2.5
"""Time without a leader after which a member asks to join again.

A member that was replaced while it was unreachable is not notified of its
removal.
"""


class ChangeReason(str, Enum):
    """Why the leader changes the replica set."""

    SILENT = "silent"
    LEAVING = "leaving"
    CAUGHT_UP = "caught-up"


@dataclass(frozen=True, kw_only=True)
class MemberHealth:
    """Health of the members, the leader included, as tracked by the leader.

    Parameters
    ----------
    answering : frozenset of InstanceId
        Members that have answered within an election timeout.
    silent : frozenset of InstanceId
        Members that have not answered for so long that they are considered
        permanently unreachable.
    leaving : frozenset of InstanceId
        Members that have asked to leave because they stop.
    caught_up : frozenset of InstanceId
        Answering learners whose log includes all committed entries.
    """

    answering: frozenset[InstanceId] = frozenset()
    silent: frozenset[InstanceId] = frozenset()
    leaving: frozenset[InstanceId] = frozenset()
    caught_up: frozenset[InstanceId] = frozenset()


@dataclass(frozen=True, kw_only=True)
class ReplicaSetChange:
    """One membership change: a learner is promoted or a member removed."""

    replica: InstanceId
    reason: ChangeReason
    configuration: Configuration


def next_change(configuration, health):
    """Return the next ``ReplicaSetChange``, or None if no change is needed.

    Examples
    --------
    One of three voters is silent.  It is removed before its successor is
    promoted; with both as voters, a quorum might need both.

    >>> from currantdeal.consensus import Configuration, Replica
    >>> a, b, c, d = (Replica(instance=n, address="") for n in "abcd")
    >>> members = Configuration(voters=(a, b, c), learners=(d,))
    >>> health = MemberHealth(
    ...     answering=frozenset("abd"),
    ...     silent=frozenset("c"),
    ...     caught_up=frozenset("d"))
    >>> first = next_change(members, health)
    >>> first.replica, first.reason.value
    ('c', 'silent')
    >>> second = next_change(first.configuration, health)
    >>> second.replica, second.configuration.voter_names
    ('d', ('a', 'b', 'd'))
    """
    return (
        _remove_learner(configuration, health)
        or _remove_silent_voter(configuration, health)
        or _replace_leaving_voter(configuration, health)
        or _promote_learner(configuration, health)
    )


def can_leave(configuration, instance):
    """Return whether a leaving member can be removed or replaced."""
    if instance in configuration.voter_names:
        return _is_even(configuration) or bool(configuration.learners)
    return instance in configuration.learner_names


def is_active_member(configuration, instance, *, leaderless_s):
    """Return whether a replica is a member and need not ask to join.

    It applies to replicas that are not blank; a blank one always asks.

    Parameters
    ----------
    leaderless_s : float
        Seconds since the replica last had a leader.
    """
    return (
        instance in configuration.member_names
        and leaderless_s < REJOIN_AFTER_S
    )


def _remove_learner(configuration, health):
    for name in configuration.learner_names:
        if name in health.silent:
            return _removal(configuration, name, ChangeReason.SILENT)
        if name in health.leaving:
            return _removal(configuration, name, ChangeReason.LEAVING)
    return None


def _remove_silent_voter(configuration, health):
    silent = [n for n in configuration.voter_names if n in health.silent]
    if not silent:
        return None
    remaining = len(configuration.voters) - len(silent)
    fewer_needed = remaining // 2 + 1 < configuration.quorum
    if not (fewer_needed or health.caught_up):
        # Without a successor, removing one voter from a set of odd size does
        # not improve fault tolerance, and the voter may return with its disk
        # intact.
        return None
    return _removal(configuration, silent[0], ChangeReason.SILENT)


def _replace_leaving_voter(configuration, health):
    leaving = [n for n in configuration.voter_names if n in health.leaving]
    if not leaving:
        return None
    if _is_even(configuration):
        return _removal(configuration, leaving[0], ChangeReason.LEAVING)
    # The leaving voter still answers, so its successor is promoted first.
    # The quorum is then never smaller than before.
    return _promotion(configuration, health)


def _promote_learner(configuration, health):
    if not health.answering.issuperset(configuration.voter_names):
        # A voter that does not answer may be permanently unreachable.  If a
        # learner were promoted in addition, a quorum would need the new
        # voter, too.
        return None
    if _is_even(configuration) or len(health.caught_up) > 1:
        return _promotion(configuration, health)
    return None


def _is_even(configuration):
    return len(configuration.voters) % 2 == 0


def _removal(configuration, name, reason):
    return ReplicaSetChange(
        replica=name,
        reason=reason,
        configuration=configuration.without(name),
    )


def _promotion(configuration, health):
    for name in configuration.learner_names:
        if name in health.caught_up:
            return ReplicaSetChange(
                replica=name,
                reason=ChangeReason.CAUGHT_UP,
                configuration=configuration.with_voter(name),
            )
    return None
