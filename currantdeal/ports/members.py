"""Which instances take part, as one instance believes."""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from currantdeal.core import DataCenterId, InstanceId, RegionId


class MemberStatus(str, Enum):
    """What is believed of an instance."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


@dataclass(frozen=True, kw_only=True)
class Member:
    """One instance.

    Parameters
    ----------
    incarnation : int
        Grows with each start, and when the instance refutes a suspicion.
    caller_address, peer_address : str
        ``IP:PORT`` for callers and for other instances.
    draining : bool
        True when it should be told to no more callers.
    load : float
        Its share of capacity in use, from 0 up.
    """

    instance: InstanceId
    incarnation: int
    caller_address: str
    peer_address: str
    region: RegionId
    data_center: DataCenterId
    status: MemberStatus = MemberStatus.ALIVE
    draining: bool = False
    load: float = 0.0


class MembersPort(Protocol):
    """Membership as one instance believes it."""

    def members(self) -> tuple[Member, ...]:
        """Return all known instances, this one included, sorted by name."""

    def set_ready(self) -> None:
        """Tell the others that callers may be sent to this instance.

        Until then it counts as draining: it has no lease yet and would
        refuse whoever is sent to it.
        """

    def set_draining(self) -> None:
        """Tell the others that this instance takes no more callers."""

    def set_load(self, load: float) -> None:
        """Tell the others this instance's load."""
