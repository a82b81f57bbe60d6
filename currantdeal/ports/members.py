"""Protocol for the membership of instances, as seen by one instance."""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from currantdeal.core import DataCenterId, InstanceId, RegionId


class MemberStatus(str, Enum):
    """Status of an instance, as another instance sees it."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


@dataclass(frozen=True, kw_only=True)
class Member:
    """An instance and its status.

    Parameters
    ----------
    incarnation : int
        Increases with each start, and when the instance refutes a suspicion.
    caller_address, peer_address : str
        ``IP:PORT`` for callers and for other instances.
    draining : bool
        True if no more callers are to be directed to it.
    load : float
        Fraction of its capacity in use, 0 or more.
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
    """Membership of all instances, as one instance sees it."""

    def members(self) -> tuple[Member, ...]:
        """Return all known instances, this one included, sorted by name."""

    def set_ready(self) -> None:
        """Announce that callers may be directed to this instance.

        Until then it counts as draining: it has no lease yet and would
        reject every request.
        """

    def set_draining(self) -> None:
        """Announce that this instance accepts no more callers."""

    def set_load(self, load: float) -> None:
        """Announce the load of this instance."""
