"""Defines the replicated state, an immutable value computed from the log.

Threads read one value without locks while the next one is being computed.
Successive values share the unchanged parts of their persistent maps.
"""

from dataclasses import dataclass, field
from enum import Enum

from immutables import Map

from currantdeal.core import (
    FencingNumber,
    InstanceId,
    Label,
    RequestId,
    Selector,
    Upstream,
    UpstreamId,
)
from currantdeal.state.commands import (
    CallAnswer,
    ClaimKey,
    EngineOrder,
    OrderStatus,
)
from currantdeal.state.fifo import Fifo

WITHDRAWN_LABEL = "withdrawn"


@dataclass(frozen=True, kw_only=True)
class UpstreamRecord:
    """An upstream and the labels that operators set for it.

    Parameters
    ----------
    upstream : Upstream
        The upstream as it last announced itself.
    operator_labels : tuple of Label
        Labels set by operators; they override announced ones.
    removed_labels : tuple of str
        Names of announced labels that an operator removed.
    labels_version : int
        Version of the state at the last change by an operator, or 0.
    present : bool
        False after the upstream left or timed out.  Operators' labels are
        kept, so that a restart does not undo a withdrawal.
    """

    upstream: Upstream
    operator_labels: tuple[Label, ...] = ()
    removed_labels: tuple[str, ...] = ()
    labels_version: int = 0
    present: bool = True

    @property
    def labels(self):
        """Mapping of effective label names to their values."""
        found = {label.name: label.value for label in self.upstream.labels}
        for name in self.removed_labels:
            found.pop(name, None)
        found.update((lb.name, lb.value) for lb in self.operator_labels)
        return found

    @property
    def withdrawn(self):
        """True if no new work may be sent to the upstream."""
        return WITHDRAWN_LABEL in self.labels


@dataclass(frozen=True, kw_only=True)
class SelectorRecord:
    """A selector and the version of the state at its last change."""

    selector: Selector
    version: int


@dataclass(frozen=True, kw_only=True)
class Home:
    """The instance that keeps an upstream's memory ledger.

    Parameters
    ----------
    fence : FencingNumber
        Fencing number under which it does so.
    """

    instance: InstanceId
    fence: FencingNumber


@dataclass(frozen=True, kw_only=True)
class OrderRecord:
    """An engine order and its status."""

    order_id: int
    upstream_id: UpstreamId
    order: EngineOrder
    status: OrderStatus = OrderStatus.PENDING
    detail: str = ""


class ClaimStatus(str, Enum):
    """Status of a claimed call."""

    RUNNING = "running"
    ANSWERED = "answered"
    UNKNOWN = "unknown"


@dataclass(frozen=True, kw_only=True)
class Claim:
    """A non-idempotent call that one instance was allowed to send.

    Parameters
    ----------
    token : int
        Version of the state at which it was granted.
    owner : InstanceId
        The instance that may send the call.
    request_id : RequestId
        Request id of the granted proposal.
    digest : str
        Digest of method, path and body.
    claimed_wall_s : float
        Time of the grant, in seconds since the epoch.
    answer : CallAnswer or None
        Answer for resends; None if there is none yet, or if it was too large
        to be kept.
    """

    key: ClaimKey
    token: int
    owner: InstanceId
    request_id: RequestId
    digest: str
    claimed_wall_s: float
    status: ClaimStatus = ClaimStatus.RUNNING
    answer: CallAnswer | None = None


@dataclass(frozen=True, kw_only=True)
class ClaimSlot:
    """Position of a claim in the order in which claims are removed."""

    key: ClaimKey
    token: int


@dataclass(frozen=True, kw_only=True)
class AuditRecord:
    """One change in the audit trail."""

    version: int
    wall_s: float
    actor: str
    instance: InstanceId
    address: str
    request_id: RequestId
    change: str
    subject: str
    before: str
    after: str


@dataclass(frozen=True, kw_only=True)
class StateLimits:
    """Limits on the size of the state; the same on every replica.

    Parameters
    ----------
    audit_records : int
        Maximum number of changes in the audit trail.
    remembered_results : int
        Maximum number of results kept to recognise resends.
    claims : int
        Maximum number of claims.  While all are younger than the retention
        time, new calls are refused rather than old claims removed.
    claim_retention_s : float
        Time for which a claim and its answer are kept.
    answer_bytes : int
        Total size of the stored answers from which new calls are refused.
    largest_answer_bytes : int
        Maximum size of a stored answer.  A resend of a call with a larger
        answer is informed that the call ran and that its answer is lost.
    finished_orders : int
        Finished engine orders kept for ``currantdeal orders``.
    """

    audit_records: int = 10_000
    remembered_results: int = 4_096
    claims: int = 200_000
    claim_retention_s: float = 86_400.0
    answer_bytes: int = 67_108_864
    largest_answer_bytes: int = 65_536
    finished_orders: int = 256


@dataclass(frozen=True, kw_only=True)
class ClusterState:
    """The state after all committed log entries up to one version.

    Parameters
    ----------
    version : int
        Index of the last log entry that was applied.
    last_fence : int
        Highest fencing number assigned so far.
    answer_bytes : int
        Total size of the stored answers.
    log_wall_s : float
        Latest wall-clock time in the log, in seconds since the epoch; it
        never decreases.
    selectors, upstreams, homes, orders, draining, claims : Map
        From a name or key to its record.
    results : Map
        From request ids to the results that resends receive.
    claim_order, result_order, audit : Fifo
        Oldest first, in the order of removal.
    """

    version: int = 0
    last_fence: int = 0
    log_wall_s: float = 0.0
    answer_bytes: int = 0
    limits: StateLimits = field(default_factory=StateLimits)
    selectors: Map = field(default_factory=Map)
    upstreams: Map = field(default_factory=Map)
    homes: Map = field(default_factory=Map)
    orders: Map = field(default_factory=Map)
    draining: Map = field(default_factory=Map)
    claims: Map = field(default_factory=Map)
    claim_order: Fifo = field(default_factory=Fifo)
    results: Map = field(default_factory=Map)
    result_order: Fifo = field(default_factory=Fifo)
    audit: Fifo = field(default_factory=Fifo)
