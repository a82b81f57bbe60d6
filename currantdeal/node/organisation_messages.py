"""Messages about organisations, see ``currantdeal.node.messages``."""

from dataclasses import dataclass

from currantdeal.organisations import CreditAsk, CreditGrant


@dataclass(frozen=True, kw_only=True)
class GrantLog:
    """Grants of an owner of quotas, for its successor.

    Parameters
    ----------
    epoch : int
        Epoch of the owner.
    grants : dict
        Age in seconds and units of each grant beyond the bucket, by the name
        of the organisation.
    """

    epoch: int
    grants: dict[str, tuple[tuple[float, int], ...]]


@dataclass(frozen=True, kw_only=True)
class ConfirmCall:
    """Ask for the newest version and when a quorum last confirmed it.

    Entries send it to their control instance, and that one to the leader;
    returns a ``ConfirmAnswer``.

    Parameters
    ----------
    fresh : bool
        True to ask the leader, instead of accepting a recent confirmation.
    """

    fresh: bool = False


@dataclass(frozen=True, kw_only=True)
class ConfirmAnswer:
    """The newest configuration that a quorum has confirmed.

    Parameters
    ----------
    certain : bool
        False if there is no confirmation.
    version : int
        Version of that configuration.
    age_s : float
        Seconds since the time up to which no later version had been
        acknowledged.
    fresh : bool
        True if the leader was asked after the call was received.
    """

    certain: bool
    version: int = 0
    age_s: float = 0.0
    fresh: bool = False


@dataclass(frozen=True, kw_only=True)
class CreditCall:
    """An entry asks for credit of quotas; returns a ``CreditAnswer``.

    Control instances forward it to the leader.
    """

    entry: str
    asks: tuple[CreditAsk, ...]


@dataclass(frozen=True, kw_only=True)
class RetryCreditCall:
    """An entry asks for credit of retries; returns a ``CreditAnswer``.

    Each ask names a service in place of an organisation.
    """

    entry: str
    asks: tuple[CreditAsk, ...]


@dataclass(frozen=True, kw_only=True)
class CreditAnswer:
    """Credit that the owner of the quotas or of the retry budgets grants.

    Parameters
    ----------
    epoch : int
        Epoch of the owner; 0 if no owner was reached.
    grants : tuple of CreditGrant
        One for each ask, in the same order.
    """

    epoch: int = 0
    grants: tuple[CreditGrant, ...] = ()
