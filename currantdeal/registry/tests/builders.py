"""Builds records of upstreams and entries for tests."""

from currantdeal.registry import EntryRecord, UpstreamRecord, UpstreamState


def an_upstream(**changes):
    """Return the record of a ready upstream of the plain service."""
    defaults = {
        "upstream": "u1",
        "service": "shop",
        "address": "10.0.0.1:80",
        "data_center": "dc1",
        "slots": 6,
        "state": UpstreamState.READY,
        "started_ms": 1_000,
        "sequence": 1,
    }
    return UpstreamRecord(**{**defaults, **changes})


def an_entry(**changes):
    """Return the record of a ready entry."""
    defaults = {
        "instance": "entry-1",
        "address": "10.1.0.1:8100",
        "data_center": "dc1",
        "region": "r1",
        "ready": True,
        "started_ms": 1_000,
        "sequence": 1,
    }
    return EntryRecord(**{**defaults, **changes})
