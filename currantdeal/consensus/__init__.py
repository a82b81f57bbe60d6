"""The replicated log: a Raft state machine that does no input or output."""

from currantdeal.consensus.configuration import Configuration, Replica
from currantdeal.consensus.errors import (
    ChangePendingError,
    CompactedError,
    ConsensusError,
    InvariantError,
    NotLeaderError,
)
from currantdeal.consensus.leases import CLOCK_DRIFT, LeaseHolder, LeaseTable
from currantdeal.consensus.log import Log
from currantdeal.consensus.messages import (
    MESSAGE_CODEC,
    AppendAnswer,
    AppendRequest,
    Entry,
    EntryKind,
    Message,
    Output,
    SaveEntries,
    SaveSnapshot,
    SaveVote,
    Snapshot,
    SnapshotAnswer,
    SnapshotPiece,
    Stored,
    TimeoutNow,
    VoteAnswer,
    VoteRequest,
    Write,
)
from currantdeal.consensus.node import Node
from currantdeal.consensus.raft import NodeSettings, RaftRole
from currantdeal.consensus.replica_set import (
    ChangeReason,
    MemberHealth,
    ReplicaSetChange,
    can_leave,
    is_active_member,
    next_change,
)

__all__ = [
    "AppendAnswer",
    "AppendRequest",
    "CLOCK_DRIFT",
    "ChangePendingError",
    "ChangeReason",
    "CompactedError",
    "Configuration",
    "ConsensusError",
    "Entry",
    "EntryKind",
    "InvariantError",
    "LeaseHolder",
    "LeaseTable",
    "Log",
    "MESSAGE_CODEC",
    "MemberHealth",
    "Message",
    "Node",
    "NodeSettings",
    "NotLeaderError",
    "Output",
    "RaftRole",
    "Replica",
    "ReplicaSetChange",
    "SaveEntries",
    "SaveSnapshot",
    "SaveVote",
    "Snapshot",
    "SnapshotAnswer",
    "SnapshotPiece",
    "Stored",
    "TimeoutNow",
    "VoteAnswer",
    "VoteRequest",
    "Write",
    "can_leave",
    "is_active_member",
    "next_change",
]
