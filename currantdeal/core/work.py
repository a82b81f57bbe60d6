"""Description of a caller's request, on which decisions are based."""

from dataclasses import dataclass
from enum import Enum

from currantdeal.core.ids import CallerId, RegionId, RequestId


class WorkKind(str, Enum):
    """Kinds of work that selectors and priorities distinguish."""

    CHAT = "chat"
    COMPLETION = "completion"
    SERVICE = "service"


@dataclass(frozen=True, kw_only=True)
class Work:
    """A caller's request without its body.

    Parameters
    ----------
    request_id : RequestId
        Unique among all instances.
    caller : CallerId
        The caller to whom the work is charged.
    kind : WorkKind
        Kind of the work.
    target : str
        Name of the model or of the plain service.
    region : RegionId
        Region of the instance that accepted the request.
    prompt_tokens : int
        Estimated length of the prompt, in tokens; 0 for services.
    max_output_tokens : int
        Maximum number of output tokens; 0 for services.
    prefix_keys : tuple of int
        Hashes of the prompt's leading blocks, longest prefix last.
    arrived_s : float
        Monotonic time of arrival, in seconds.
    deadline_s : float
        Monotonic time by which the first output must be sent, in seconds.
    idempotent : bool
        True if the work may safely run twice.
    priority : int
        Work of higher priority is served first among otherwise equal work.
    """

    request_id: RequestId
    caller: CallerId
    kind: WorkKind
    target: str
    region: RegionId
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    prefix_keys: tuple[int, ...] = ()
    arrived_s: float = 0.0
    deadline_s: float = float("inf")
    idempotent: bool = True
    priority: int = 0
