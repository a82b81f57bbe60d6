"""The replica set: voters, learners and their peer addresses.

The set changes by one voter at a time [1]_, so that any quorum of the old set
and any quorum of the new set share a replica.  A replica that is new, or that
lost its disk, starts as a learner: it receives the log but counts neither for
commits nor for elections until it has caught up.

References
----------
.. [1] D. Ongaro, "Consensus: Bridging Theory and Practice", 2014, chapter 4.
"""

from dataclasses import dataclass, replace

from currantdeal.consensus.errors import ChangePendingError
from currantdeal.core import InstanceId


@dataclass(frozen=True, kw_only=True)
class Replica:
    """A member of the replica set with its peer address."""

    instance: InstanceId
    address: str


@dataclass(frozen=True, kw_only=True)
class Configuration:
    """An immutable replica set of voters and learners.

    Examples
    --------
    >>> from currantdeal.consensus import Configuration, Replica
    >>> one = Replica(instance="i1", address="127.0.0.1:1")
    >>> two = Replica(instance="i2", address="127.0.0.1:2")
    >>> first = Configuration(voters=(one,))
    >>> second = first.with_learner(two).with_voter("i2")
    >>> second.voter_names, second.quorum
    (('i1', 'i2'), 2)
    """

    voters: tuple[Replica, ...] = ()
    learners: tuple[Replica, ...] = ()

    @property
    def voter_names(self):
        """Instance names of the voters."""
        return tuple(rep.instance for rep in self.voters)

    @property
    def learner_names(self):
        """Instance names of the learners."""
        return tuple(rep.instance for rep in self.learners)

    @property
    def members(self):
        """Voters and learners."""
        return self.voters + self.learners

    @property
    def member_names(self):
        """Instance names of the voters and learners."""
        return self.voter_names + self.learner_names

    @property
    def quorum(self):
        """Number of voters that form a majority."""
        return len(self.voters) // 2 + 1

    def with_learner(self, replica):
        """Return the set with a replica added as a learner."""
        if replica.instance in self.member_names:
            raise ChangePendingError(f"{replica.instance} is already a member")
        return replace(self, learners=(*self.learners, replica))

    def with_voter(self, instance):
        """Return the set with a learner promoted to voter."""
        promoted = [rep for rep in self.learners if rep.instance == instance]
        if not promoted:
            raise ChangePendingError(f"{instance} is not a learner")
        learners = tuple(rep for rep in self.learners if rep not in promoted)
        return Configuration(
            voters=(*self.voters, *promoted), learners=learners
        )

    def without(self, instance):
        """Return the set with a voter or learner removed."""
        voters = tuple(rep for rep in self.voters if rep.instance != instance)
        learners = tuple(
            rep for rep in self.learners if rep.instance != instance
        )
        if len(voters) + len(learners) == len(self.members):
            raise ChangePendingError(f"{instance} is not a member")
        if not voters:
            raise ChangePendingError("the last voter cannot be removed")
        return Configuration(voters=voters, learners=learners)
