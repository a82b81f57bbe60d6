"""Calls with which operators see and lift quarantines."""

from dataclasses import dataclass

from currantdeal.policy.crashes.evidence import Crash


@dataclass(frozen=True, kw_only=True)
class ListQuarantinesCall:
    """Request all quarantines; returns a ``QuarantinesAnswer``."""


@dataclass(frozen=True, kw_only=True)
class Quarantine:
    """A quarantine and its reasons.

    Parameters
    ----------
    members : tuple of bytes
        Identities; requests that have all of them are refused.
    crashes : tuple of Crash
        Crashes that count against the first of them.
    """

    members: tuple[bytes, ...]
    crashes: tuple[Crash, ...]


@dataclass(frozen=True, kw_only=True)
class QuarantinesAnswer:
    """All quarantines that a control instance knows."""

    quarantines: tuple[Quarantine, ...]


@dataclass(frozen=True, kw_only=True)
class LiftQuarantineCall:
    """Request that the crashes of identities count no more.

    Returns ``Done``, which is accepted if any of them was in quarantine.
    """

    members: tuple[bytes, ...]
