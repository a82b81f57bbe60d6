"""Protocol for reading and changing the replicated state."""

from dataclasses import dataclass
from typing import Protocol

from currantdeal.core import InstanceId, RegionId
from currantdeal.state import ClusterState, Command, Result


@dataclass(frozen=True, kw_only=True)
class InstanceProgress:
    """The state version that an instance has applied, as the leader sees it.

    Parameters
    ----------
    version : int
        Version of the state that the instance last reported as applied.
    lease_remaining_s : float
        Upper bound of the remaining time of its lease; 0 once it expired.
    """

    instance: InstanceId
    region: RegionId
    version: int
    lease_remaining_s: float


class StatePort(Protocol):
    """Access to the replicated state at one instance."""

    def view(self) -> ClusterState:
        """Return the latest local state; its version never decreases."""

    def lease_remaining_s(self) -> float:
        """Return the remaining time for which the view is valid for new work.

        It is 0 if the view is not valid.  Instances that assign work check
        this before every decision.
        """

    def propose(self, command: Command, *, timeout_s: float) -> Result:
        """Return the result once a quorum has synced the command to disk.

        The local view includes the command's effect before this returns.

        Raises
        ------
        StateUnavailableError
            If that did not happen in time; its ``proposed`` states whether
            the command may still be committed.
        """

    def wait_in_force(self, version: int, *, timeout_s: float) -> float:
        """Wait until a version is in force everywhere.

        Returns the time waited, in seconds.

        It is in force once every instance has applied it or has no lease.
        """

    def progress(self) -> tuple[InstanceProgress, ...]:
        """Return the progress of every instance known to the leader."""

    def leader(self) -> InstanceId | None:
        """Return the leader, or None if it is unknown here."""
