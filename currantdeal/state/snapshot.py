"""Encodes and decodes the replicated state, for snapshots and catch-up.

Maps are encoded as tuples of records sorted by their keys, so that equal
states have equal bytes.
"""

from dataclasses import dataclass

import msgspec
from immutables import Map

from currantdeal.core import (
    DECODE_ERRORS,
    Codec,
    CodecError,
    InstanceId,
    RequestId,
    UpstreamId,
)
from currantdeal.state.cluster import (
    AuditRecord,
    Claim,
    ClaimSlot,
    ClusterState,
    Home,
    OrderRecord,
    SelectorRecord,
    StateLimits,
    UpstreamRecord,
)
from currantdeal.state.errors import SnapshotError
from currantdeal.state.fifo import fifo_of
from currantdeal.state.results import RESULTS

_RESULT_CODEC = Codec(classes=RESULTS)


@dataclass(frozen=True, kw_only=True)
class _HomeEntry:
    upstream_id: UpstreamId
    home: Home


@dataclass(frozen=True, kw_only=True)
class _ResultEntry:
    request_id: RequestId
    result: bytes


@dataclass(frozen=True, kw_only=True)
class _Snapshot:
    version: int
    last_fence: int
    log_wall_s: float
    answer_bytes: int
    limits: StateLimits
    selectors: tuple[SelectorRecord, ...]
    upstreams: tuple[UpstreamRecord, ...]
    homes: tuple[_HomeEntry, ...]
    orders: tuple[OrderRecord, ...]
    draining: tuple[InstanceId, ...]
    claims: tuple[Claim, ...]
    claim_order: tuple[ClaimSlot, ...]
    results: tuple[_ResultEntry, ...]
    audit: tuple[AuditRecord, ...]


def encode_state(state):
    """Return a state encoded as bytes."""
    return msgspec.msgpack.encode(
        _Snapshot(
            version=state.version,
            last_fence=state.last_fence,
            log_wall_s=state.log_wall_s,
            answer_bytes=state.answer_bytes,
            limits=state.limits,
            selectors=_sorted_values(state.selectors),
            upstreams=_sorted_values(state.upstreams),
            homes=tuple(
                _HomeEntry(upstream_id=name, home=state.homes[name])
                for name in sorted(state.homes)
            ),
            orders=_sorted_values(state.orders),
            draining=tuple(sorted(state.draining)),
            claims=tuple(
                sorted(state.claims.values(), key=lambda claim: claim.token)
            ),
            claim_order=tuple(state.claim_order),
            results=tuple(
                _ResultEntry(
                    request_id=name,
                    result=_RESULT_CODEC.encode(state.results[name]),
                )
                for name in state.result_order
            ),
            audit=tuple(state.audit),
        )
    )


def decode_state(raw):
    """Return the state that was encoded as bytes.

    Raises
    ------
    SnapshotError
        If the bytes are not a valid snapshot.
    """
    try:
        snap = msgspec.msgpack.decode(raw, type=_Snapshot)
        results = {
            entry.request_id: _RESULT_CODEC.decode(entry.result)
            for entry in snap.results
        }
    except (*DECODE_ERRORS, CodecError) as exc:
        raise SnapshotError(f"undecodable snapshot: {exc}") from exc
    return ClusterState(
        version=snap.version,
        last_fence=snap.last_fence,
        log_wall_s=snap.log_wall_s,
        answer_bytes=snap.answer_bytes,
        limits=snap.limits,
        selectors=Map({rec.selector.name: rec for rec in snap.selectors}),
        upstreams=Map(
            {rec.upstream.upstream_id: rec for rec in snap.upstreams}
        ),
        homes=Map({entry.upstream_id: entry.home for entry in snap.homes}),
        orders=Map({rec.order_id: rec for rec in snap.orders}),
        draining=Map({name: True for name in snap.draining}),
        claims=Map({claim.key: claim for claim in snap.claims}),
        claim_order=fifo_of(snap.claim_order),
        results=Map(results),
        result_order=fifo_of(entry.request_id for entry in snap.results),
        audit=fifo_of(snap.audit),
    )


def _sorted_values(mapping):
    return tuple(mapping[key] for key in sorted(mapping))
