"""What a caller asks for, as decisions see it."""

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
    """One request of a caller, without its body.

    Parameters
    ----------
    request_id : RequestId
        Unique among all instances.
    caller : CallerId
        Who is charged for the work.
    kind : WorkKind
        What kind of work it is.
    target : str
        The model's name, or the plain service's name.
    region : RegionId
        Region of the instance that accepted the request.
    prompt_tokens : int
        Estimated length of the prompt, in tokens; 0 for services.
    max_output_tokens : int
        Most tokens the answer may have; 0 for services.
    prefix_keys : tuple of int
        Hashes of the prompt's leading blocks, longest prefix last.
    arrived_s : float
        Monotonic time of arrival, in seconds.
    deadline_s : float
        Monotonic time by which the first output must be out, in seconds.
    idempotent : bool
        True when running the work twice does no harm.
    priority : int
        Higher is served first among equals.
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
