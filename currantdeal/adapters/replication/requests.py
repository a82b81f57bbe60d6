"""Requests to the actor that runs a replica, and its replies."""

from dataclasses import dataclass

from pykka import Future

from currantdeal.adapters.replication.entries import StateUpdate
from currantdeal.consensus import Configuration, LeaseHolder, Message, Replica
from currantdeal.core import InstanceId, RegionId


@dataclass(frozen=True, kw_only=True)
class Tick:
    """Run the timers: heartbeats and election timeouts."""


@dataclass(frozen=True, kw_only=True)
class Deliver:
    """Process consensus messages from another replica.

    Parameters
    ----------
    sender : InstanceId or None
        The replica whose open call ``reply`` completes.
    reply : Future or None
        Receives the messages to the sender that result, once they may be
        sent.  This saves a separate call for each of them.
    """

    messages: tuple[Message, ...]
    sender: InstanceId | None = None
    reply: Future | None = None


@dataclass(frozen=True, kw_only=True)
class Propose:
    """Append a command to the log; ``reply`` receives a ``Committed``."""

    command: bytes
    reply: Future


@dataclass(frozen=True, kw_only=True)
class Committed:
    """Reply to a proposal whose command was committed and applied."""

    version: int
    result: bytes


@dataclass(frozen=True, kw_only=True)
class Renew:
    """Renew an instance's lease; the reply is a ``RenewReply``."""

    instance: InstanceId
    region: RegionId
    version: int


@dataclass(frozen=True, kw_only=True)
class RenewReply:
    """A replica's reply to a renewal.

    Parameters
    ----------
    updates : tuple of StateUpdate
        Updates that the instance lacks, up to the size limit of a reply.
    compacted : bool
        True if these updates were compacted and the instance needs a
        snapshot instead.
    """

    granted: bool
    leader: InstanceId | None
    members: tuple[Replica, ...]
    remaining_s: float = 0.0
    version: int = 0
    updates: tuple[StateUpdate, ...] = ()
    compacted: bool = False


@dataclass(frozen=True, kw_only=True)
class ReleaseLease:
    """Release the lease of an instance that assigns no more work."""

    instance: InstanceId


@dataclass(frozen=True, kw_only=True)
class ReadUpdates:
    """Read the committed updates after a version."""

    after: int


@dataclass(frozen=True, kw_only=True)
class CheckInForce:
    """Check on the leader whether a version is in force everywhere."""

    version: int


@dataclass(frozen=True, kw_only=True)
class InForce:
    """Whether this replica leads, and whether the version is in force."""

    leads: bool
    in_force: bool = False


@dataclass(frozen=True, kw_only=True)
class GetProgress:
    """Read the lease holders from the leader."""


@dataclass(frozen=True, kw_only=True)
class LeaseProgress:
    """The lease holders, with the remaining time of each lease."""

    leads: bool
    holders: tuple[LeaseHolder, ...] = ()
    remaining_s: tuple[float, ...] = ()


@dataclass(frozen=True, kw_only=True)
class GetStatus:
    """Read this replica's ``ReplicaStatus``."""


@dataclass(frozen=True, kw_only=True)
class ReplicaStatus:
    """Current role, term, log position and configuration of a replica.

    Parameters
    ----------
    ready : bool
        True on a leader that serves renewals and proposals.
    fresh : bool
        True if the replica has neither a term nor a log entry yet.
    blank : bool
        True if the replica has lost, or never had, its durable state.
    """

    role: str
    term: int
    leader: InstanceId | None
    ready: bool
    fresh: bool
    blank: bool
    commit_index: int
    last_index: int
    configuration: Configuration


@dataclass(frozen=True, kw_only=True)
class Bootstrap:
    """Initialise the first replica set of a new system."""

    configuration: Configuration


@dataclass(frozen=True, kw_only=True)
class Join:
    """Make one membership change towards a replica becoming a voter."""

    replica: Replica
    blank: bool


@dataclass(frozen=True, kw_only=True)
class Remove:
    """Remove a replica from the set."""

    instance: InstanceId


@dataclass(frozen=True, kw_only=True)
class TransferLeadership:
    """Transfer leadership to another replica."""


@dataclass(frozen=True, kw_only=True)
class Compact:
    """Replace the log up to an index by an encoded snapshot."""

    index: int
    data: bytes


@dataclass(frozen=True, kw_only=True)
class Updates:
    """Committed updates, and the version up to which the log is applied.

    Parameters
    ----------
    updates : tuple of StateUpdate or None
        None if the requested updates were compacted.
    """

    version: int
    updates: tuple[StateUpdate, ...] | None
