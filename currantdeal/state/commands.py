"""Changes that instances propose to the replicated state.

Every command carries who proposed it and a request id, so that a resend
after a lost answer is recognised and the audit trail can name its author.
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
        Instance that took the change in.
    address : str
        Network address the change came from; empty for internal changes.
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
    """An upstream appeared, restarted or changed what it serves."""

    origin: Origin
    upstream: Upstream


@dataclass(frozen=True, kw_only=True)
class RetireUpstream:
    """An upstream left, or fell silent, under one incarnation."""

    origin: Origin
    upstream_id: UpstreamId
    incarnation: int
    reason: str


@dataclass(frozen=True, kw_only=True)
class SetLabels:
    """An operator sets and removes labels of one upstream.

    ``expected_version`` is the version of the upstream's labels that the
    operator saw; 0 for an upstream without operators' labels.
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

    ``expected_fence`` is the fencing number of the home it replaces; 0 for
    an upstream that had none.
    """

    origin: Origin
    upstream_id: UpstreamId
    home: InstanceId
    expected_fence: FencingNumber


class OrderKind(str, Enum):
    """What an engine can be ordered to do."""

    LOAD = "load"
    UNLOAD = "unload"
    SET_ROLES = "set-roles"


class OrderStatus(str, Enum):
    """How far an engine order has come."""

    PENDING = "pending"
    DONE = "done"
    REFUSED = "refused"


@dataclass(frozen=True, kw_only=True)
class EngineOrder:
    """An order to an engine.

    Parameters
    ----------
    kind : OrderKind
        What to do.
    model, adapter, model_version : str
        What to load or unload; empty where the kind needs none.
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
    """An operator orders an engine to do something; its home carries it."""

    origin: Origin
    upstream_id: UpstreamId
    order: EngineOrder


@dataclass(frozen=True, kw_only=True)
class FinishOrder:
    """The home tells how an order ended."""

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
    """What makes two non-idempotent calls the same call."""

    caller: CallerId
    service: str
    key: str


@dataclass(frozen=True, kw_only=True)
class ClaimCall:
    """An instance asks to be the only one to send a call.

    Parameters
    ----------
    key : ClaimKey
        Which call.
    digest : str
        Digest of method, path and body.
    """

    origin: Origin
    key: ClaimKey
    digest: str


@dataclass(frozen=True, kw_only=True)
class CallAnswer:
    """The answer of a non-idempotent call, kept for resends."""

    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True, kw_only=True)
class FinishClaim:
    """The claim's owner has the answer."""

    origin: Origin
    key: ClaimKey
    token: int
    answer: CallAnswer


@dataclass(frozen=True, kw_only=True)
class ReleaseClaim:
    """The claim's owner proves that the call did not run."""

    origin: Origin
    key: ClaimKey
    token: int


@dataclass(frozen=True, kw_only=True)
class AbandonClaim:
    """The claim's owner is gone, or cannot tell whether the call ran."""

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
