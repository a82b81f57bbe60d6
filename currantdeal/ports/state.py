"""How the rest of the system reads and changes the replicated state."""

from dataclasses import dataclass
from typing import Protocol

from currantdeal.core import InstanceId, RegionId
from currantdeal.state import ClusterState, Command, Result


@dataclass(frozen=True, kw_only=True)
class InstanceProgress:
    """What an instance has in force, as the leader knows it.

    Parameters
    ----------
    version : int
        Version of the state the instance last said it had applied.
    lease_remaining_s : float
        Upper bound of what is left of its lease; 0 when it has run out.
    """

    instance: InstanceId
    region: RegionId
    version: int
    lease_remaining_s: float


class StatePort(Protocol):
    """The replicated state, as one instance sees it."""

    def view(self) -> ClusterState:
        """Return the latest state known here; its version never goes back."""

    def lease_remaining_s(self) -> float:
        """Return how long the view may still guide new work; 0 if not.

        Instances that hand out work check this before every decision.
        """

    def propose(self, command: Command, *, timeout_s: float) -> Result:
        """Return the result once a quorum has the command on synced disk.

        The local view includes the command's effect before this returns.
        ``StateUnavailableError`` tells whether it may still be committed.
        """

    def wait_in_force(self, version: int, *, timeout_s: float) -> float:
        """Return the seconds until the version is in force everywhere.

        It is in force when every instance has applied it or has no lease.
        """

    def progress(self) -> tuple[InstanceProgress, ...]:
        """Return the progress of every instance the leader knows."""

    def leader(self) -> InstanceId | None:
        """Return the instance that leads, if known here."""
