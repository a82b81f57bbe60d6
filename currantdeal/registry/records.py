"""Defines the records that upstreams and entries announce in heartbeats."""

from dataclasses import dataclass
from enum import Enum


class UpstreamState(str, Enum):
    """Whether an upstream accepts new work."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Stage(str, Enum):
    """Stage of a generation that a model engine runs."""

    PREFILL = "prefill"
    DECODE = "decode"


@dataclass(frozen=True, kw_only=True)
class UpstreamRecord:
    """State of one upstream according to its latest heartbeat.

    Parameters
    ----------
    upstream : str
        Name of the upstream; a restart may keep or change it.
    address : str
        Host and port.
    started_ms : int
        Unix time of the start of its process; identifies the incarnation.
    sequence : int
        Number of the heartbeat within the incarnation.
    stage : Stage or None
        Stage that a model engine runs; None for other upstreams.
    cold_s : float
        Time that its warm-up after the start still takes, as of the
        heartbeat; it is slower until then.
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
    def sort_key(self):
        """Sort key of records of one upstream; the last record is current.

        Later incarnations sort last; within an incarnation, a leave does.
        """
        gone = self.state is UpstreamState.GONE
        return (self.started_ms, gone, self.sequence)


@dataclass(frozen=True, kw_only=True)
class EntryRecord:
    """State of one entry according to its latest heartbeat.

    Parameters
    ----------
    instance : str
        Name of the entry.
    address : str
        Host and port for callers.
    ready : bool
        Whether callers should be directed to it.
    started_ms, sequence : int
        As in ``UpstreamRecord``.
    """

    instance: str
    address: str
    data_center: str
    region: str
    ready: bool
    started_ms: int
    sequence: int

    @property
    def sort_key(self):
        """Sort key of records of one entry; the last record is current."""
        return (self.started_ms, self.sequence)
