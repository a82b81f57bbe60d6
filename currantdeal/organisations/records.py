"""Defines organisations and their quotas."""

from dataclasses import dataclass
from enum import Enum


class QuotaUnit(str, Enum):
    """What a quota counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"


@dataclass(frozen=True, kw_only=True, slots=True)
class Quota:
    """Limit on the requests of an organisation, over all entries together.

    Parameters
    ----------
    rate_per_s : float
        Units per second.
    burst : float
        Units above the rate that may be used at once.
    unit : QuotaUnit
        What is counted.
    default_tokens : int
        Count of a request that states no token counts, if tokens are counted.

    Examples
    --------
    >>> quota = Quota(
    ...     rate_per_s=9.0, burst=1.0, unit=QuotaUnit.TOKENS,
    ...     default_tokens=200)
    >>> quota.cost(prompt_tokens=5_000, max_output_tokens=160)
    5160
    >>> quota.cost(prompt_tokens=0, max_output_tokens=0)
    200
    """

    rate_per_s: float
    burst: float
    unit: QuotaUnit = QuotaUnit.REQUESTS
    default_tokens: int = 0

    def cost(self, *, prompt_tokens, max_output_tokens):
        """Return the units that a request counts."""
        if self.unit is QuotaUnit.REQUESTS:
            return 1
        return prompt_tokens + max_output_tokens or self.default_tokens


@dataclass(frozen=True, kw_only=True, slots=True)
class RetryAllowance:
    """Retries of a service that any window may have, over all entries.

    Parameters
    ----------
    units : float
        Number of retries.
    window_s : float
        Length of the window.
    """

    units: float
    window_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class LimitedService:
    """A service with its allowance, as ``Organisation`` with its quota."""

    name: str
    quota: RetryAllowance


@dataclass(frozen=True, kw_only=True, slots=True)
class Organisation:
    """One organisation of a configuration.

    Parameters
    ----------
    key_digests : tuple of bytes
        Digests of its keys, see ``digest_key``.
    priority : int or None
        Priority of its requests, which precedes that of the route; 0 is the
        highest, None keeps that of the route.
    quota : Quota or None
        None if its requests are not limited.
    """

    name: str
    key_digests: tuple[bytes, ...] = ()
    priority: int | None = None
    quota: Quota | None = None
