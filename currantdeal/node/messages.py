"""What the processes of a deployment say to each other.

Notices are sent and forgotten; calls get one answer.  All are read by one
codec, so that a process refuses what it does not know instead of guessing.
"""

from dataclasses import dataclass

from currantdeal.core import Codec
from currantdeal.policy.crash_book import SuspectRecord
from currantdeal.policy.demand import Demand
from currantdeal.policy.shared_load import PoolLoad
from currantdeal.registry import EntryRecord, UpstreamRecord


@dataclass(frozen=True, kw_only=True)
class RaftNotice:
    """Messages of the replicated log, each encoded by its own codec."""

    messages: tuple[bytes, ...]


@dataclass(frozen=True, kw_only=True)
class JoinCall:
    """A control instance asks to become a replica; answered by ``Done``.

    Parameters
    ----------
    blank : bool
        True when it has no durable state.
    forwarded : bool
        True when another instance passed the call on.
    """

    instance: str
    address: str
    blank: bool
    forwarded: bool = False


@dataclass(frozen=True, kw_only=True)
class LeaveCall:
    """A control instance that stops asks not to count any more.

    Answered by ``Done``: accepted once it is no member of the replica set.
    """

    instance: str


@dataclass(frozen=True, kw_only=True)
class ProposeConfigCall:
    """Ask the leader to bring a configuration into force."""

    version: int
    raw: bytes


@dataclass(frozen=True, kw_only=True)
class ReadConfigCall:
    """Ask the leader for the newest configuration."""


@dataclass(frozen=True, kw_only=True)
class ConfigAnswer:
    """The newest configuration, or that it is not known which one that is.

    Parameters
    ----------
    certain : bool
        False when the answering instance may not be the leader any more.
    version : int
        0 before the first configuration.
    """

    certain: bool
    version: int = 0
    raw: bytes = b""


@dataclass(frozen=True, kw_only=True)
class Done:
    """Whether a call did what it asked for."""

    accepted: bool


@dataclass(frozen=True, kw_only=True)
class SpreadCall:
    """News of upstreams and entries, between control instances."""

    upstreams: tuple[UpstreamRecord, ...] = ()
    entries: tuple[EntryRecord, ...] = ()


@dataclass(frozen=True, kw_only=True)
class Renewal:
    """A heartbeat that brought no news."""

    name: str
    started_ms: int
    sequence: int


@dataclass(frozen=True, kw_only=True)
class RenewalsNotice:
    """The renewing heartbeats that an instance has received lately.

    Parameters
    ----------
    sender : str
        Peer address of that instance.
    data_center : str
        Where that instance is.
    demand : dict
        Demand of each service that entries reported to it since the last
        notice.
    """

    sender: str
    data_center: str
    demand: dict[str, Demand]
    upstreams: tuple[Renewal, ...] = ()
    entries: tuple[Renewal, ...] = ()


@dataclass(frozen=True, kw_only=True)
class RecordsCall:
    """Ask a control instance for all its records: a ``SpreadCall``."""


@dataclass(frozen=True, kw_only=True)
class SubscribeCall:
    """An entry asks for the view; answered by ``Done``, then notices come.

    Parameters
    ----------
    config_version : int
        The version that the entry holds; 0 if none.
    provisional : bool
        True if an instance out of touch with the leader will do: no other
        was found.
    """

    entry: EntryRecord
    config_version: int
    provisional: bool = False


@dataclass(frozen=True, kw_only=True)
class EntryNotice:
    """An entry's heartbeat to the control instance it subscribed to.

    Parameters
    ----------
    demand : dict
        Demand of each service since the last notice.
    """

    entry: EntryRecord
    demand: dict[str, Demand]


@dataclass(frozen=True, kw_only=True)
class LoadNotice:
    """Load of engines: an entry's, or a sum over entries.

    Parameters
    ----------
    sender : str
        The entry, or the peer address of the control instance.
    """

    sender: str
    load: PoolLoad


@dataclass(frozen=True, kw_only=True)
class ConfigNotice:
    """A committed configuration, compressed with zlib."""

    version: int
    packed: bytes


@dataclass(frozen=True, kw_only=True)
class UpstreamsNotice:
    """Records of upstreams for entries.

    Parameters
    ----------
    complete : bool
        True when upstreams that are not named here are not there.
    """

    upstreams: tuple[UpstreamRecord, ...]
    complete: bool = False


@dataclass(frozen=True, kw_only=True)
class SwitchingNotice:
    """An engine was ordered to do another stage.

    Parameters
    ----------
    for_s : float
        Time for which it takes no work, unless it announces the new stage
        before.
    """

    upstream: str
    for_s: float


@dataclass(frozen=True, kw_only=True)
class ReadingNotice:
    """An entry has a prompt read by a decode engine.

    Parameters
    ----------
    entry : str
        The entry.
    for_s : float
        Time that it will take.
    """

    entry: str
    upstream: str
    for_s: float


@dataclass(frozen=True, kw_only=True)
class CrashesNotice:
    """What is known of requests that crash upstreams.

    Parameters
    ----------
    asked_by : str
        Peer address of the sender if it wants to be told all in return.
    """

    records: tuple[SuspectRecord, ...]
    asked_by: str = ""


@dataclass(frozen=True, kw_only=True)
class ControlPlace:
    """Where a control instance is.

    Parameters
    ----------
    address : str
        Its peer address.
    data_center : str
        Empty while it is not known.
    """

    address: str
    data_center: str = ""


@dataclass(frozen=True, kw_only=True)
class SourceNotice:
    """A control instance's heartbeat to its subscribers.

    Parameters
    ----------
    current : bool
        True while it is in touch with the leader, so that its view is at
        most seconds old.
    control : tuple of ControlPlace
        The control instances.
    entries : int
        Number of entries, for shares of limits that all keep together.
    """

    current: bool
    control: tuple[ControlPlace, ...]
    entries: int


PEER_CODEC = Codec(
    classes=(
        RaftNotice,
        JoinCall,
        LeaveCall,
        ProposeConfigCall,
        ReadConfigCall,
        ConfigAnswer,
        Done,
        SpreadCall,
        RenewalsNotice,
        RecordsCall,
        SubscribeCall,
        EntryNotice,
        LoadNotice,
        ConfigNotice,
        UpstreamsNotice,
        SwitchingNotice,
        SourceNotice,
        ReadingNotice,
        CrashesNotice,
    )
)
