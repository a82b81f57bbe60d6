"""Registers upstreams, and defines the records in heartbeats."""

from currantdeal.registry.convergence import (
    AdoptionWindow,
    DigestComparison,
    RegistryFollower,
)
from currantdeal.registry.entry_choice import choose_entries
from currantdeal.registry.records import (
    EntryRecord,
    Stage,
    UpstreamRecord,
    UpstreamState,
)
from currantdeal.registry.upstreams import UpstreamRegistry

__all__ = [
    "AdoptionWindow",
    "DigestComparison",
    "EntryRecord",
    "RegistryFollower",
    "Stage",
    "UpstreamRecord",
    "UpstreamRegistry",
    "UpstreamState",
    "choose_entries",
]
