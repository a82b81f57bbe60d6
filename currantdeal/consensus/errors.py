"""Errors of the replicated log."""

from currantdeal.core import CurrantdealError


class ConsensusError(CurrantdealError):
    """Base of the consensus layer's errors."""


class NotLeaderError(ConsensusError):
    """Only the leader takes proposals, and this replica does not lead."""


class ChangePendingError(ConsensusError):
    """A change of the replica set must wait, or makes no sense."""


class CompactedError(ConsensusError):
    """The wanted entries are only in a snapshot any more."""


class InvariantError(ConsensusError):
    """The log would contradict itself; going on would lose data."""
