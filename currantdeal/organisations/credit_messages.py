"""What entries and the owner of the quotas send to each other."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class CreditAsk:
    """What an entry asks the owner for one organisation.

    Parameters
    ----------
    organisation : str
        Name of the organisation.
    needs : tuple of int
        Costs of the requests that wait.
    returned : tuple
        Credit of requests that were not sent, each as its units and the
        ``granted_s`` of its grant.
    pool : int
        Unused reserve of the entry.
    epoch : int
        Epoch of the owner that granted ``returned`` and ``pool``.
    urgencies : tuple of int
        Urgency of each of the needs, 0 first; empty if they have none.
    """

    organisation: str
    needs: tuple[int, ...] = ()
    returned: tuple[tuple[int, float], ...] = ()
    pool: int = 0
    epoch: int = 0
    urgencies: tuple[int, ...] = ()


@dataclass(frozen=True, kw_only=True)
class CreditGrant:
    """The owner's answer to a ``CreditAsk``.

    Parameters
    ----------
    granted : tuple of bool
        Whether each of the needs is granted.
    granted_s : float
        Time of the grant by the owner's clock, which only the owner reads.
    retry_after_s : float
        Time after which the first need that is not granted can be met.
    open_s : float
        Time from the sending of the ask in which granted credit may be used.
    pool : int
        Units added to the reserve of the entry.
    pool_ttl_s : float
        Time from the sending of the ask in which the reserve may be used.
    refusals : tuple
        For each need, if they have urgencies and one is not granted: the
        seconds after which it can be met, and the units that it left to
        others.
    """

    organisation: str
    granted: tuple[bool, ...] = ()
    granted_s: float = 0.0
    retry_after_s: float = 0.0
    open_s: float = 0.0
    pool: int = 0
    pool_ttl_s: float = 0.0
    refusals: tuple[tuple[float, int], ...] = ()
