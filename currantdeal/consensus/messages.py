"""Raft messages between replicas, and the records they write to disk.

Every message carries its sender, its receiver and the sender's term.  The
names follow the Raft paper [1]_ where it defines one.  Messages and records
are encoded under their class and field names, which must not change.

References
----------
.. [1] D. Ongaro and J. Ousterhout, "In Search of an Understandable Consensus
   Algorithm", 2014.
"""

from dataclasses import dataclass
from enum import Enum

from currantdeal.consensus.configuration import Configuration
from currantdeal.core import Codec, InstanceId


class EntryKind(str, Enum):
    """Kind of a log entry; ``NOTHING`` is the empty entry of a new leader."""

    COMMAND = "command"
    NOTHING = "nothing"
    CONFIGURATION = "configuration"


@dataclass(frozen=True, kw_only=True)
class Entry:
    """A log entry; ``data`` is opaque unless it is a configuration.

    Parameters
    ----------
    index : int
        Position in the log, starting at 1.
    term : int
        Term of the leader that appended it.
    """

    index: int
    term: int
    kind: EntryKind
    data: bytes = b""


@dataclass(frozen=True, kw_only=True)
class Snapshot:
    """The applied state up to an index, which replaces the entries up to it.

    Parameters
    ----------
    index, term : int
        Index and term of the last entry that the state includes.
    configuration : Configuration
        The replica set at that index.
    data : bytes
        The serialised state, opaque to this package.
    """

    index: int
    term: int
    configuration: Configuration
    data: bytes = b""


@dataclass(frozen=True, kw_only=True)
class VoteRequest:
    """Request for a vote, or for a pre-vote if ``pre`` is set.

    Parameters
    ----------
    transfer : bool
        True when the leader requested the election by ``TimeoutNow``, so
        that recent contact with the leader is no reason to refuse.
    """

    term: int
    sender: InstanceId
    to: InstanceId
    last_index: int
    last_term: int
    pre: bool = False
    transfer: bool = False


@dataclass(frozen=True, kw_only=True)
class VoteAnswer:
    """Answer to a ``VoteRequest``: whether the vote is granted."""

    term: int
    sender: InstanceId
    to: InstanceId
    granted: bool
    pre: bool = False


@dataclass(frozen=True, kw_only=True)
class AppendRequest:
    """Entries from the leader, or a heartbeat if there are none.

    Parameters
    ----------
    sent_s : float
        Leader's monotonic time of sending.  The answer returns it as a lower
        bound of the time at which the receiver last followed this leader.
    learner : bool
        True when the receiver is a learner; a replica without stored votes
        accepts the log only as a learner.
    """

    term: int
    sender: InstanceId
    to: InstanceId
    previous_index: int
    previous_term: int
    commit: int
    sent_s: float
    entries: tuple[Entry, ...] = ()
    learner: bool = False


@dataclass(frozen=True, kw_only=True)
class AppendAnswer:
    """Answer to an ``AppendRequest``, sent after the disk is synced.

    Parameters
    ----------
    match_index : int
        If accepted, the last index up to which the log is known to match the
        leader's.  If rejected, the last index up to which it may match, as a
        hint from where to resend.
    blank : bool
        True when the receiver has lost its disk or never stored any state.
    """

    term: int
    sender: InstanceId
    to: InstanceId
    accepted: bool
    match_index: int
    sent_s: float
    blank: bool = False


@dataclass(frozen=True, kw_only=True)
class SnapshotPiece:
    """A part of a snapshot, sent by the leader."""

    term: int
    sender: InstanceId
    to: InstanceId
    index: int
    index_term: int
    configuration: Configuration
    offset: int
    total: int
    data: bytes
    sent_s: float
    learner: bool = False


@dataclass(frozen=True, kw_only=True)
class SnapshotAnswer:
    """Answer to a ``SnapshotPiece``: the number of bytes received so far."""

    term: int
    sender: InstanceId
    to: InstanceId
    index: int
    offset: int
    sent_s: float
    blank: bool = False


@dataclass(frozen=True, kw_only=True)
class TimeoutNow:
    """Request from the leader to a caught-up voter to start an election."""

    term: int
    sender: InstanceId
    to: InstanceId


Message = (
    VoteRequest
    | VoteAnswer
    | AppendRequest
    | AppendAnswer
    | SnapshotPiece
    | SnapshotAnswer
    | TimeoutNow
)

MESSAGE_CODEC = Codec(classes=Message.__args__)
CONFIGURATION_CODEC = Codec(classes=(Configuration,))


@dataclass(frozen=True, kw_only=True)
class SaveVote:
    """Write of the term and of the vote that was granted in it."""

    term: int
    voted_for: InstanceId | None


@dataclass(frozen=True, kw_only=True)
class SaveEntries:
    """Write of entries that replace all stored ones from their first index."""

    entries: tuple[Entry, ...]


@dataclass(frozen=True, kw_only=True)
class SaveSnapshot:
    """Write of a snapshot.

    Parameters
    ----------
    discard : bool
        True when all log entries are to be deleted, because the snapshot
        came from the leader and conflicts with the log or is ahead of it.
    """

    snapshot: Snapshot
    discard: bool = False


Write = SaveVote | SaveEntries | SaveSnapshot


@dataclass(frozen=True, kw_only=True)
class Stored:
    """Data that a replica reads from its disk when it starts.

    Parameters
    ----------
    snapshot : Snapshot or None
        The latest snapshot; None on a replica without stored state, which
        neither votes nor counts for a quorum until it has caught up as a
        learner.
    entries : tuple of Entry
        Entries after the snapshot, without gaps.
    """

    term: int = 0
    voted_for: InstanceId | None = None
    snapshot: Snapshot | None = None
    entries: tuple[Entry, ...] = ()


@dataclass(frozen=True, kw_only=True)
class Output:
    """Actions that the caller must carry out for a replica, in this order.

    Parameters
    ----------
    early : tuple of Message
        Messages that may be sent before the writes are synced.
    writes : tuple of Write
        Writes to be synced to disk together.
    messages : tuple of Message
        Messages to be sent only after the writes are synced.
    installed : Snapshot or None
        Snapshot that replaces the applied state, before the committed
        entries are applied.
    committed : tuple of Entry
        Entries to be applied, in order.
    last_index : int
        Index to be passed to ``Node.synced`` after the sync.
    """

    early: tuple[Message, ...] = ()
    writes: tuple[Write, ...] = ()
    messages: tuple[Message, ...] = ()
    installed: Snapshot | None = None
    committed: tuple[Entry, ...] = ()
    last_index: int = 0
