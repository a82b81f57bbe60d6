"""The replicated state: an immutable value computed from the log.

Threads read one value without locks while the next is being computed; the
persistent maps share what did not change.
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
    """An upstream, with the labels that operators gave it.

    Parameters
    ----------
    upstream : Upstream
        Its last announcement.
    operator_labels : tuple of Label
        Set by operators; they win over announced ones.
    removed_labels : tuple of str
        Announced labels that an operator removed.
    labels_version : int
        Version of the state at the last change by an operator, or 0.
    present : bool
        False after it left or fell silent.  Operators' labels outlive that,
        so that a withdrawal is not undone by a restart.
    """

    upstream: Upstream
    operator_labels: tuple[Label, ...] = ()
    removed_labels: tuple[str, ...] = ()
    labels_version: int = 0
    present: bool = True

    @property
    def labels(self):
        """Mapping of label names to values in force."""
        found = {label.name: label.value for label in self.upstream.labels}
        for name in self.removed_labels:
            found.pop(name, None)
        found.update((lb.name, lb.value) for lb in self.operator_labels)
        return found

    @property
    def withdrawn(self):
        """True when no new work may go to the upstream."""
        return WITHDRAWN_LABEL in self.labels


@dataclass(frozen=True, kw_only=True)
class SelectorRecord:
    """A selector and the version of its last change."""

    selector: Selector
    version: int


@dataclass(frozen=True, kw_only=True)
class Home:
    """Which instance keeps an upstream's ledger."""

    instance: InstanceId
    fence: FencingNumber


@dataclass(frozen=True, kw_only=True)
class OrderRecord:
    """An engine order and how far it has come."""

    order_id: int
    upstream_id: UpstreamId
    order: EngineOrder
    status: OrderStatus = OrderStatus.PENDING
    detail: str = ""


class ClaimStatus(str, Enum):
    """How far a claimed call has come."""

    RUNNING = "running"
    ANSWERED = "answered"
    UNKNOWN = "unknown"


@dataclass(frozen=True, kw_only=True)
class Claim:
    """One non-idempotent call that somebody was allowed to send.

    Parameters
    ----------
    token : int
        Version of the state that granted it.
    owner : InstanceId
        The instance that may send the call.
    request_id : RequestId
        Of the proposal that was granted.
    digest : str
        Of method, path and body.
    claimed_wall_s : float
        When it was granted, in seconds since the epoch.
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
    """Place of a claim in the order in which claims are forgotten."""

    key: ClaimKey
    token: int


@dataclass(frozen=True, kw_only=True)
class AuditRecord:
    """One change as the audit trail tells it."""

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
    """Bounds of what the state keeps; the same on every replica.

    Parameters
    ----------
    audit_records : int
        Changes kept in the audit trail.
    remembered_results : int
        Operators' changes whose resend is recognised.
    claims : int
        Claims kept at most; when all are younger than the retention, new
        calls are refused rather than old claims forgotten.
    claim_retention_s : float
        How long a claim and its answer are kept, in seconds.
    answer_bytes : int
        Bytes of kept answers at which new calls are refused.
    largest_answer_bytes : int
        A larger answer is not kept; a resend learns that the call ran and
        that its answer is gone.
    finished_orders : int
        Ended engine orders kept for ``currantdeal orders``.
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
    """Everything that a quorum has agreed on, up to one version.

    Parameters
    ----------
    version : int
        Index of the last log entry that was applied.
    last_fence : int
        Highest fencing number given out.
    answer_bytes : int
        Sum of the sizes of the kept answers.
    log_wall_s : float
        Latest wall-clock time in the log, in seconds since the epoch; it
        never goes back.
    selectors, upstreams, homes, orders, draining, claims : Map
        From a name or key to its record.
    results : Map
        From request ids to the results that a resend gets again.
    claim_order, result_order, audit : Fifo
        What is forgotten first stands first.
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
