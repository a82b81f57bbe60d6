"""What replicas say to each other, and what they keep.

Every message names its sender, its receiver and the sender's term.  The
names follow the Raft paper [1]_ where it has one.

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
    """What an entry of the log holds."""

    COMMAND = "command"
    NOTHING = "nothing"
    CONFIGURATION = "configuration"


@dataclass(frozen=True, kw_only=True)
class Entry:
    """One place of the log; ``data`` is opaque unless it is a configuration.

    Parameters
    ----------
    index : int
        Place in the log, from 1.
    term : int
        Term of the leader that appended it.
    """

    index: int
    term: int
    kind: EntryKind
    data: bytes = b""


@dataclass(frozen=True, kw_only=True)
class Snapshot:
    """The applied state up to an index, in place of the entries.

    Parameters
    ----------
    index, term : int
        Of the last entry that the state includes.
    configuration : Configuration
        The replica set at that index.
    data : bytes
        Opaque state.
    """

    index: int
    term: int
    configuration: Configuration
    data: bytes = b""


@dataclass(frozen=True, kw_only=True)
class VoteRequest:
    """A candidate, or one that would be (``pre``), asks for a vote.

    Parameters
    ----------
    transfer : bool
        True when the leader itself asked the sender to take over, so that
        hearing from the leader is no reason to refuse.
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
    """Whether the vote is granted."""

    term: int
    sender: InstanceId
    to: InstanceId
    granted: bool
    pre: bool = False


@dataclass(frozen=True, kw_only=True)
class AppendRequest:
    """The leader sends entries, or none as a heartbeat.

    Parameters
    ----------
    sent_s : float
        Leader's monotonic time of sending; the answer brings it back, which
        tells the leader since when the receiver has known it as leader.
    learner : bool
        True when the receiver only learns; a replica without memory of its
        votes takes entries on no other terms.
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
    """What the receiver now has on synced disk.

    Parameters
    ----------
    match_index : int
        When accepted, the last index known to equal the leader's; when not,
        the last index that may, as a hint where to go on.
    blank : bool
        True when the receiver lost its disk or never had one.
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
    """The leader sends a part of a snapshot."""

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
    """How much of a snapshot the receiver has."""

    term: int
    sender: InstanceId
    to: InstanceId
    index: int
    offset: int
    sent_s: float
    blank: bool = False


@dataclass(frozen=True, kw_only=True)
class TimeoutNow:
    """The leader asks a caught-up voter to take over at once."""

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
    """Write: the term, and who got the vote in it."""

    term: int
    voted_for: InstanceId | None


@dataclass(frozen=True, kw_only=True)
class SaveEntries:
    """Write: entries; those at and after the first index give way."""

    entries: tuple[Entry, ...]


@dataclass(frozen=True, kw_only=True)
class SaveSnapshot:
    """Write: a snapshot.

    Parameters
    ----------
    discard : bool
        True when the log's entries are all to be dropped, because the
        snapshot came from the leader and the log does not lead up to it.
    """

    snapshot: Snapshot
    discard: bool = False


Write = SaveVote | SaveEntries | SaveSnapshot


@dataclass(frozen=True, kw_only=True)
class Stored:
    """What a replica finds on its disk when it starts.

    Parameters
    ----------
    snapshot : Snapshot or None
        The latest; None on a replica without memory, which neither votes
        nor counts before it has learned from a leader.
    entries : tuple of Entry
        Those after the snapshot, without gaps.
    """

    term: int = 0
    voted_for: InstanceId | None = None
    snapshot: Snapshot | None = None
    entries: tuple[Entry, ...] = ()


@dataclass(frozen=True, kw_only=True)
class Output:
    """What a replica wants done, in this order.

    Parameters
    ----------
    early : tuple of Message
        May be sent before the writes are synced.
    writes : tuple of Write
        To be synced to disk together.
    messages : tuple of Message
        To be sent only after the writes are synced.
    installed : Snapshot or None
        Replaces the applied state, before the committed entries.
    committed : tuple of Entry
        To be applied, in order.
    last_index : int
        To be passed to ``Node.synced`` after the sync.
    """

    early: tuple[Message, ...] = ()
    writes: tuple[Write, ...] = ()
    messages: tuple[Message, ...] = ()
    installed: Snapshot | None = None
    committed: tuple[Entry, ...] = ()
    last_index: int = 0
