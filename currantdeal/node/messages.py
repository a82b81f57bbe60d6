"""Messages that entry and control processes exchange.

Notices are sent without a response; calls receive one response.  All are
decoded by one codec, so that a process rejects unknown messages instead of
guessing their meaning.
"""

from dataclasses import dataclass, field

from currantdeal.core import Codec
from currantdeal.node.crash_messages import (
    LiftQuarantineCall,
    ListQuarantinesCall,
    QuarantinesAnswer,
)
from currantdeal.node.limit_messages import LimitAnswer, LimitCall
from currantdeal.node.link_messages import LinkAnswer, LinkCall
from currantdeal.node.organisation_messages import (
    ConfirmAnswer,
    ConfirmCall,
    CreditAnswer,
    CreditCall,
    GrantLog,
    RetryCreditCall,
)
from currantdeal.node.record_messages import (
    RecordsCall,
    Renewal,
    SpreadCall,
    UpstreamsNotice,
)
from currantdeal.policy.crashes.records import SuspectRecord
from currantdeal.policy.limits.limit_records import LimitReport
from currantdeal.policy.load.demand import Demand
from currantdeal.policy.load.load_changes import LoadChanges
from currantdeal.policy.load.shared_load import PoolLoad
from currantdeal.registry import EntryRecord

PROTOCOL = 4
"""Version of the messages that this build understands.

An instance of an earlier build aborts a connection on which it receives a
message that it does not know, so messages that a version adds go only to
instances that have stated it.
"""

ORGANISATIONS_PROTOCOL = 1
"""Version with the calls for organisations and the list of entries."""

LIMITS_PROTOCOL = 2
"""Version with the calls for limits of upstreams."""

RETRIES_PROTOCOL = 3
"""Version with the calls for credit of retries."""

LOAD_CHANGES_PROTOCOL = 4
"""Version with the changes of the sums of loads."""

UNREACHABLE_PROTOCOL = 4
"""Version with the notices of upstreams that an entry cannot reach."""


@dataclass(frozen=True, kw_only=True)
class RaftNotice:
    """Raft messages, each encoded by the codec of the replicated log."""

    messages: tuple[bytes, ...]


@dataclass(frozen=True, kw_only=True)
class JoinCall:
    """A control instance requests to join as a replica; returns ``Done``.

    Parameters
    ----------
    blank : bool
        True if it has no durable state.
    forwarded : bool
        True if another instance forwarded the call.
    """

    instance: str
    address: str
    blank: bool
    forwarded: bool = False


@dataclass(frozen=True, kw_only=True)
class LeaveCall:
    """A stopping control instance requests its removal as a replica.

    Returns ``Done``, which is accepted once the instance is no longer a
    member of the replica set.
    """

    instance: str


@dataclass(frozen=True, kw_only=True)
class ProposeConfigCall:
    """Request that the leader bring a configuration into force."""

    version: int
    raw: bytes


@dataclass(frozen=True, kw_only=True)
class ReadConfigCall:
    """Request the newest configuration from the leader."""


@dataclass(frozen=True, kw_only=True)
class ConfigAnswer:
    """The newest configuration, if the responding instance can be certain.

    Parameters
    ----------
    certain : bool
        False if the responding instance may no longer be the leader.
    version : int
        0 before the first configuration.
    """

    certain: bool
    version: int = 0
    raw: bytes = b""


@dataclass(frozen=True, kw_only=True)
class Done:
    """Whether a call was carried out."""

    accepted: bool


@dataclass(frozen=True, kw_only=True)
class RenewalsNotice:
    """Heartbeats without changes that an instance has received recently.

    Parameters
    ----------
    sender : str
        Peer address of that instance.
    data_center : str
        Data centre of that instance.
    demand : dict
        Demand of each service that entries reported to that instance since
        its last notice.
    protocol : int
        ``PROTOCOL`` of that instance.
    grants, retry_grants : GrantLog or None
        Credit that it has granted as the owner of the quotas and of the retry
        budgets.
    limits : dict
        ``LimitReport`` of upstreams, from the entries that report to it.
    upstreams_digest : int or None
        Digest of its ``UpstreamRegistry``; None from an earlier build.
    """

    sender: str
    data_center: str
    demand: dict[str, Demand]
    upstreams: tuple[Renewal, ...] = ()
    entries: tuple[Renewal, ...] = ()
    protocol: int = 0
    grants: GrantLog | None = None
    retry_grants: GrantLog | None = None
    limits: dict[str, LimitReport] = field(default_factory=dict)
    upstreams_digest: int | None = None


@dataclass(frozen=True, kw_only=True)
class SubscribeCall:
    """An entry subscribes to the view of a control instance.

    Returns ``Done``; the view follows in notices.

    Parameters
    ----------
    config_version : int
        Version of the configuration that the entry holds; 0 if none.
    provisional : bool
        True if the entry also accepts an instance that has lost contact with
        the leader, because it found no other.
    protocol : int
        ``PROTOCOL`` of the entry.
    """

    entry: EntryRecord
    config_version: int
    provisional: bool = False
    protocol: int = 0


@dataclass(frozen=True, kw_only=True)
class EntryNotice:
    """An entry's heartbeat to the control instance it subscribed to.

    Parameters
    ----------
    demand : dict
        Demand of each service since the last notice.
    limits : dict
        ``LimitReport`` of each upstream that has named a limit to this entry.
    """

    entry: EntryRecord
    demand: dict[str, Demand]
    limits: dict[str, LimitReport] = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True)
class LoadNotice:
    """Load on engines, caused by one entry or summed over entries.

    Parameters
    ----------
    sender : str
        Name of the entry, or peer address of the control instance.
    """

    sender: str
    load: PoolLoad


@dataclass(frozen=True, kw_only=True)
class LoadChangesNotice:
    """What changed in the load that is summed over all entries.

    Parameters
    ----------
    sender : str
        Peer address of the control instance.
    """

    sender: str
    changes: LoadChanges


@dataclass(frozen=True, kw_only=True)
class ConfigNotice:
    """A committed configuration, compressed with zlib."""

    version: int
    packed: bytes


@dataclass(frozen=True, kw_only=True)
class EntriesNotice:
    """Changes of the entries that callers may connect to.

    Parameters
    ----------
    entries : tuple of EntryRecord
        New and changed ones.
    gone : tuple of str
        Names of those that callers should no longer connect to.
    complete : bool
        True if all entries are listed.
    """

    entries: tuple[EntryRecord, ...] = ()
    gone: tuple[str, ...] = ()
    complete: bool = False


@dataclass(frozen=True, kw_only=True)
class SwitchingNotice:
    """An engine was ordered to switch to another stage.

    Parameters
    ----------
    for_s : float
        Time for which it accepts no work, unless it announces the new stage
        earlier.
    """

    upstream: str
    for_s: float


@dataclass(frozen=True, kw_only=True)
class ReadingNotice:
    """An entry runs the prefill of a prompt on a decode engine.

    Parameters
    ----------
    entry : str
        Name of the entry.
    for_s : float
        Expected duration of the prefill.
    """

    entry: str
    upstream: str
    for_s: float


@dataclass(frozen=True, kw_only=True)
class UnreachableNotice:
    """An entry found that nothing listens at the address of an upstream.

    Parameters
    ----------
    entry : str
        Name of the entry.
    started_ms : int
        Start of the process that was expected there.
    """

    entry: str
    upstream: str
    started_ms: int


@dataclass(frozen=True, kw_only=True)
class CrashesNotice:
    """Records of requests that are suspected of crashing upstreams.

    Parameters
    ----------
    asked_by : str
        Peer address of the sender if it requests all records in return;
        otherwise empty.
    """

    records: tuple[SuspectRecord, ...]
    asked_by: str = ""


@dataclass(frozen=True, kw_only=True)
class ControlPlace:
    """Address and data centre of a control instance.

    Parameters
    ----------
    address : str
        Its peer address.
    data_center : str
        Empty while it is unknown.
    """

    address: str
    data_center: str = ""


@dataclass(frozen=True, kw_only=True)
class SourceNotice:
    """A control instance's heartbeat to its subscribers.

    Parameters
    ----------
    current : bool
        True while it has contact with the leader, so that its view is at
        most seconds old.
    control : tuple of ControlPlace
        All control instances.
    entries : int
        Number of entries, from which each entry computes its share of limits
        that apply to all of them together.
    protocol : int
        ``PROTOCOL`` of the control instance.
    limits : dict
        ``LimitReport`` of each upstream that has named a limit to any entry.
    upstreams_digest : int or None
        Digest of its ``UpstreamRegistry``; None from an earlier build.
    adopts_upstreams : bool
        Whether it adopts upstreams that it does not know.
    silent : tuple of str
        Some of the upstreams whose heartbeats have stopped.
    """

    current: bool
    control: tuple[ControlPlace, ...]
    entries: int
    protocol: int = 0
    limits: dict[str, LimitReport] = field(default_factory=dict)
    upstreams_digest: int | None = None
    adopts_upstreams: bool = False
    silent: tuple[str, ...] = ()


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
        UnreachableNotice,
        CrashesNotice,
        ConfirmCall,
        ConfirmAnswer,
        CreditCall,
        CreditAnswer,
        RetryCreditCall,
        EntriesNotice,
        LimitCall,
        LimitAnswer,
        ListQuarantinesCall,
        QuarantinesAnswer,
        LiftQuarantineCall,
        LoadChangesNotice,
        LinkCall,
        LinkAnswer,
    )
)
