"""Defines the commands that instances propose to the replicated state.

Every command carries its origin: a request id, by which a resend after a lost
answer is recognised, and the actor, whom the audit trail names.
"""

from dataclasses import dataclass
from enum import Enum

from currantdeal.core import (
    CallerId,
    FencingNumber,
    InstanceId,
    Label,
    RequestId,
    Role,
    Selector,
    Upstream,
    UpstreamId,
)


@dataclass(frozen=True, kw_only=True)
class Origin:
    """Who proposed a change, from where and when.

    Parameters
    ----------
    request_id : RequestId
        The same for every resend of one change.
    actor : str
        Name of the operator's key, or of the proposing component.
    instance : InstanceId
        Instance that received the change.
    address : str
        Network address of the sender; empty for internal changes.
    wall_s : float
        Wall-clock time of the proposal, in seconds since the epoch.
    """

    request_id: RequestId
    actor: str
    instance: InstanceId
    address: str = ""
    wall_s: float = 0.0


@dataclass(frozen=True, kw_only=True)
class AnnounceUpstream:
    """An upstream started, restarted or changed its announced properties."""

    origin: Origin
    upstream: Upstream


@dataclass(frozen=True, kw_only=True)
class RetireUpstream:
    """One incarnation of an upstream left or timed out."""

    origin: Origin
    upstream_id: UpstreamId
    incarnation: int
    reason: str


@dataclass(frozen=True, kw_only=True)
class SetLabels:
    """An operator sets and removes labels of one upstream.

    ``expected_version`` is the version of the upstream's labels that the
    operator read; 0 for an upstream without operators' labels.
    """

    origin: Origin
    upstream_id: UpstreamId
    labels: tuple[Label, ...] = ()
    removed: tuple[str, ...] = ()
    expected_version: int


@dataclass(frozen=True, kw_only=True)
class ApplySelector:
    """An operator creates (expected version 0) or replaces a selector."""

    origin: Origin
    selector: Selector
    expected_version: int


@dataclass(frozen=True, kw_only=True)
class DeleteSelector:
    """An operator deletes a selector."""

    origin: Origin
    name: str
    expected_version: int


@dataclass(frozen=True, kw_only=True)
class AssignHome:
    """An instance becomes home of an upstream, with a new fencing number.

    ``expected_fence`` is the fencing number of the home that it replaces; 0
    for an upstream without a home.
    """

    origin: Origin
    upstream_id: UpstreamId
    home: InstanceId
    expected_fence: FencingNumber


class OrderKind(str, Enum):
    """Kinds of orders to engines."""

    LOAD = "load"
    UNLOAD = "unload"
    SET_ROLES = "set-roles"


class OrderStatus(str, Enum):
    """Status of an engine order."""

    PENDING = "pending"
    DONE = "done"
    REFUSED = "refused"


@dataclass(frozen=True, kw_only=True)
class EngineOrder:
    """An order to an engine.

    Parameters
    ----------
    kind : OrderKind
        Kind of the order.
    model, adapter, model_version : str
        The model to load or unload; empty where the kind needs none.
    roles : tuple of Role
        The new roles, for ``SET_ROLES``.
    """

    kind: OrderKind
    model: str = ""
    adapter: str = ""
    model_version: str = ""
    roles: tuple[Role, ...] = ()


@dataclass(frozen=True, kw_only=True)
class IssueOrder:
    """An operator issues an order to an engine; its home delivers it."""

    origin: Origin
    upstream_id: UpstreamId
    order: EngineOrder


@dataclass(frozen=True, kw_only=True)
class FinishOrder:
    """The home reports the outcome of an order."""

    origin: Origin
    order_id: int
    status: OrderStatus
    detail: str = ""


@dataclass(frozen=True, kw_only=True)
class SetDraining:
    """An instance starts or ends its graceful shutdown."""

    origin: Origin
    instance: InstanceId
    draining: bool


@dataclass(frozen=True, kw_only=True)
class ClaimKey:
    """Identity of a non-idempotent call; resends have the same key."""

    caller: CallerId
    service: str
    key: str


@dataclass(frozen=True, kw_only=True)
class ClaimCall:
    """An instance requests the exclusive right to send a call.

    Parameters
    ----------
    key : ClaimKey
        Identity of the call.
    digest : str
        Digest of method, path and body.
    """

    origin: Origin
    key: ClaimKey
    digest: str


@dataclass(frozen=True, kw_only=True)
class CallAnswer:
    """The answer of a non-idempotent call, stored for resends.

    Parameters
    ----------
    is_known_whole : bool
        False if the body may be incomplete.
    """

    status: int
    content_type: str
    body: bytes
    is_known_whole: bool = True


@dataclass(frozen=True, kw_only=True)
class FinishClaim:
    """The claim's owner reports the answer of the call."""

    origin: Origin
    key: ClaimKey
    token: int
    answer: CallAnswer


@dataclass(frozen=True, kw_only=True)
class ReleaseClaim:
    """The claim's owner reports that the call certainly did not run."""

    origin: Origin
    key: ClaimKey
    token: int


@dataclass(frozen=True, kw_only=True)
class AbandonClaim:
    """The claim's owner failed, or cannot determine whether the call ran."""

    origin: Origin
    key: ClaimKey
    token: int


Command = (
    AnnounceUpstream
    | RetireUpstream
    | SetLabels
    | ApplySelector
    | DeleteSelector
    | AssignHome
    | IssueOrder
    | FinishOrder
    | SetDraining
    | ClaimCall
    | FinishClaim
    | ReleaseClaim
    | AbandonClaim
)

COMMANDS = Command.__args__
