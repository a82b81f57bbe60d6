"""Errors of the replicated log."""

from currantdeal.core import CurrantdealError


class ConsensusError(CurrantdealError):
    """Base class of the errors of the replicated log."""


class NotLeaderError(ConsensusError):
    """The operation needs a leader, and this replica is not a ready one."""


class ChangePendingError(ConsensusError):
    """A change of the replica set is invalid or must wait for another."""


class CompactedError(ConsensusError):
    """The requested entries were compacted into a snapshot."""


class InvariantError(ConsensusError):
    """The log would become inconsistent; continuing would lose data."""
