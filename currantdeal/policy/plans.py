"""What the scheduler is told of upstreams and what it answers."""

from dataclasses import dataclass

from currantdeal.core import Upstream, Work
from currantdeal.policy.admission import Refused
from currantdeal.policy.ledger import Ask
from currantdeal.policy.placement import Choice


@dataclass(frozen=True, kw_only=True)
class Pools:
    """Upstreams that the selectors allow for a target, by role.

    The tuples should stay the same objects while nothing changes.
    """

    prefills: tuple[Upstream, ...]
    decodes: tuple[Upstream, ...]


@dataclass(frozen=True, kw_only=True)
class Plan:
    """Work whose turn it is, and what to reserve for it.

    Parameters
    ----------
    decode_ask, prefill_ask : Ask
        Reserved in this order at the homes of the chosen engines.
    output_tokens : int
        Output tokens that the decode memory is meant for.
    """

    work: Work
    output_tokens: int
    choice: Choice
    decode_ask: Ask
    prefill_ask: Ask


@dataclass(frozen=True, kw_only=True)
class GiveUp:
    """Work that waited and can no longer be in time; it did not run."""

    work: Work
    refused: Refused


@dataclass(frozen=True, kw_only=True)
class Wait:
    """Work whose turn it is while every engine is full; poll again later."""

    work: Work
    delay_s: float
