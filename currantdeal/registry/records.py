"""What upstreams and entries say of themselves."""

from dataclasses import dataclass
from enum import Enum


class UpstreamState(str, Enum):
    """Whether an upstream takes new work."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Stage(str, Enum):
    """Which part of a generation a model engine does."""

    PREFILL = "prefill"
    DECODE = "decode"


@dataclass(frozen=True, kw_only=True)
class UpstreamRecord:
    """The latest that is known of one upstream.

    Parameters
    ----------
    upstream : str
        Its name, which a restart may keep or change.
    address : str
        Host and port.
    started_ms : int
        Unix time of the start of its process, which tells one incarnation
        from the next.
    sequence : int
        Counts the heartbeats of one incarnation.
    stage : Stage or None
        Only of model engines.
    cold_s : float
        How much longer it is slow after its start, as of the heartbeat.
    software : str
        Version of the software that it runs, or empty.
    """

    upstream: str
    service: str
    address: str
    data_center: str
    slots: int
    state: UpstreamState
    started_ms: int
    sequence: int
    stage: Stage | None = None
    cold_s: float = 0.0
    software: str = ""

    @property
    def order(self):
        """Sorts what an upstream said: a later incarnation, a leave, last."""
        gone = self.state is UpstreamState.GONE
        return (self.started_ms, gone, self.sequence)


@dataclass(frozen=True, kw_only=True)
class EntryRecord:
    """The latest that an entry has said of itself.

    Parameters
    ----------
    address : str
        Where callers connect.
    ready : bool
        Whether callers should be sent there.
    started_ms, sequence : int
        As for upstreams.
    """

    instance: str
    address: str
    data_center: str
    region: str
    ready: bool
    started_ms: int
    sequence: int

    @property
    def order(self):
        """Sorts what an entry said."""
        return (self.started_ms, self.sequence)
