"""Runtime of the replicated state: replicas, local views and leases."""

from currantdeal.adapters.replication.port import ReplicatedState
from currantdeal.adapters.replication.service import StateService, build_state

__all__ = ["ReplicatedState", "StateService", "build_state"]
