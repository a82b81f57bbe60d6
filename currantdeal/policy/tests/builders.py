"""Builders of work, upstreams and reservations for policy tests."""

from currantdeal.core import Role, Upstream, UpstreamKind, Work, WorkKind
from currantdeal.policy import LedgerRequest


def work(name="r1", caller="c", **changes):
    """Return work of 800 prompt tokens with a deadline of ten seconds."""
    fields = {
        "kind": WorkKind.CHAT,
        "target": "m",
        "region": "r1",
        "prompt_tokens": 800,
        "max_output_tokens": 200,
        "deadline_s": 10.0,
    }
    return Work(request_id=name, caller=caller, **{**fields, **changes})


def engine(name, role=Role.DECODE, *, region="r1", pieces=1_000):
    """Return an engine of one role."""
    return Upstream(
        upstream_id=name,
        incarnation=1,
        address="127.0.0.1:1",
        kind=UpstreamKind.ENGINE,
        roles=(role,),
        targets=("m",),
        region=region,
        data_center=f"{region}-1",
        pieces_total=pieces,
        link_bytes_per_s=4e9,
        kv_bytes_per_token=100_000,
    )


def ledger_request(name, caller="c", *, pieces=10, entry="i1", **changes):
    """Return a ``LedgerRequest`` for decode memory."""
    return LedgerRequest(
        request_id=name, caller=caller, entry=entry, pieces=pieces, **changes
    )
