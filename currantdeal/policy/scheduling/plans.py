"""Messages between the scheduler and its caller.

``Pools`` goes into the scheduler; ``Plan``, ``Wait`` and ``GiveUp`` are what
``Scheduler.poll`` returns.
"""

from dataclasses import dataclass

from currantdeal.core import Upstream, Work
from currantdeal.policy.memory.ledger import LedgerRequest
from currantdeal.policy.placement.placement import Choice
from currantdeal.policy.scheduling.admission import Refused


@dataclass(frozen=True, kw_only=True)
class Pools:
    """Upstreams that the selectors allow for a target, by role.

    The tuples should stay the same objects until the pools change, because
    ``Placement`` caches their grouping by region.
    """

    prefills: tuple[Upstream, ...]
    decodes: tuple[Upstream, ...]


@dataclass(frozen=True, kw_only=True)
class Plan:
    """Work to start, and the reservations to make for it.

    Parameters
    ----------
    decode_request, prefill_request : LedgerRequest
        Reservations to make at the homes of the chosen engines, in this
        order.
    output_tokens : int
        Output tokens for which decode memory is reserved.
    """

    work: Work
    output_tokens: int
    choice: Choice
    decode_request: LedgerRequest
    prefill_request: LedgerRequest


@dataclass(frozen=True, kw_only=True)
class GiveUp:
    """Queued work that can no longer meet its deadline; it did not run."""

    work: Work
    refused: Refused


@dataclass(frozen=True, kw_only=True)
class Wait:
    """No engine has capacity for the work; poll again after ``delay_s``."""

    work: Work
    delay_s: float
