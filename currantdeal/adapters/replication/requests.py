"""Messages to the actor that runs a replica."""

from dataclasses import dataclass

from pykka import Future

from currantdeal.adapters.replication.entries import Step
from currantdeal.consensus import Configuration, Holder, Message, Replica
from currantdeal.core import InstanceId, RegionId


@dataclass(frozen=True, kw_only=True)
class Tick:
    """Time has passed."""


@dataclass(frozen=True, kw_only=True)
class Deliver:
    """Messages came from another replica.

    Parameters
    ----------
    sender : InstanceId or None
        Whom ``reply`` answers.
    reply : Future or None
        Gets the messages to the sender that they lead to, once those may be
        sent; otherwise these would need a call of their own.
    """

    messages: tuple[Message, ...]
    sender: InstanceId | None = None
    reply: Future | None = None


@dataclass(frozen=True, kw_only=True)
class Propose:
    """Put a command into the log; ``reply`` gets a ``Proposed``."""

    command: bytes
    reply: Future


@dataclass(frozen=True, kw_only=True)
class Proposed:
    """A command was committed and applied."""

    version: int
    result: bytes


@dataclass(frozen=True, kw_only=True)
class Renew:
    """An instance asks the leader for a lease; answered by ``Renewed``."""

    instance: InstanceId
    region: RegionId
    version: int


@dataclass(frozen=True, kw_only=True)
class Renewed:
    """A replica's answer to a renewal.

    Parameters
    ----------
    steps : tuple of Step
        What the instance has not seen, as far as one answer holds it.
    compacted : bool
        True when the instance needs a snapshot instead.
    """

    granted: bool
    leader: InstanceId | None
    members: tuple[Replica, ...]
    remaining_s: float = 0.0
    version: int = 0
    steps: tuple[Step, ...] = ()
    compacted: bool = False


@dataclass(frozen=True, kw_only=True)
class ReleaseLease:
    """An instance hands out no more work."""

    instance: InstanceId


@dataclass(frozen=True, kw_only=True)
class ReadSteps:
    """Ask for committed steps after a version; None when compacted."""

    after: int


@dataclass(frozen=True, kw_only=True)
class AskInForce:
    """Ask the leader whether a version is in force everywhere."""

    version: int


@dataclass(frozen=True, kw_only=True)
class InForce:
    """Whether this replica leads, and whether the version is in force."""

    leads: bool
    in_force: bool = False


@dataclass(frozen=True, kw_only=True)
class AskProgress:
    """Ask the leader who holds a lease."""


@dataclass(frozen=True, kw_only=True)
class LeaseProgress:
    """Who holds a lease, with what is left of each."""

    leads: bool
    holders: tuple[Holder, ...] = ()
    remaining_s: tuple[float, ...] = ()


@dataclass(frozen=True, kw_only=True)
class AskStatus:
    """Ask what this replica is; answered by ``ReplicaStatus``."""


@dataclass(frozen=True, kw_only=True)
class ReplicaStatus:
    """What a replica is at present."""

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
    """Start the very first replica set."""

    configuration: Configuration


@dataclass(frozen=True, kw_only=True)
class Join:
    """Take one step towards having a replica as voter."""

    replica: Replica
    blank: bool


@dataclass(frozen=True, kw_only=True)
class Remove:
    """Take a replica out of the set."""

    instance: InstanceId


@dataclass(frozen=True, kw_only=True)
class HandOver:
    """Give leadership to another replica."""


@dataclass(frozen=True, kw_only=True)
class Compact:
    """A snapshot of the applied state is encoded."""

    index: int
    data: bytes


@dataclass(frozen=True, kw_only=True)
class Steps:
    """Committed steps, and the version up to which the log is applied."""

    version: int
    steps: tuple[Step, ...] | None
