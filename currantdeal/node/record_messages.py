"""Messages that carry records of upstreams and entries."""

from dataclasses import dataclass

from currantdeal.registry import EntryRecord, UpstreamRecord


@dataclass(frozen=True, kw_only=True)
class SpreadCall:
    """New records of upstreams and entries, sent between control instances."""

    upstreams: tuple[UpstreamRecord, ...] = ()
    entries: tuple[EntryRecord, ...] = ()


@dataclass(frozen=True, kw_only=True)
class Renewal:
    """A heartbeat that changed nothing in its record but the sequence."""

    name: str
    started_ms: int
    sequence: int


@dataclass(frozen=True, kw_only=True)
class RecordsCall:
    """Request all records of a control instance; returns a ``SpreadCall``.

    Parameters
    ----------
    upstreams_only : bool
        True to leave out the records of entries.
    """

    upstreams_only: bool = False


@dataclass(frozen=True, kw_only=True)
class UpstreamsNotice:
    """Records of upstreams for entries, or of an entry for others.

    Parameters
    ----------
    complete : bool
        True if the notice lists all upstreams, so that any other one no
        longer exists.
    expired : tuple of UpstreamRecord
        Upstreams that are lost, since they have been silent for too long.
    """

    upstreams: tuple[UpstreamRecord, ...]
    complete: bool = False
    expired: tuple[UpstreamRecord, ...] = ()
