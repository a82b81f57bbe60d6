"""Draws the calls of slow callers and slow upstreams, by rows."""

import math
from functools import partial

from currantdeal.testing.scripted_upstream import Script
from currantdeal.testing.stalling_caller import Row, StallingCall

KINDS = ("menu", "order", "note", "draft")
PART_BYTES = 10_000
UNTAKEN_BODY = b"x" * 60_000
LONGEST_STALL_S = 12.5
"""Leaves some of the timeout of 14 s for the rest of an answer."""


def draw_usual(rng):
    """Draw streams, prefills, pauses, slow reads, chunked bodies, orders."""
    kind = rng.choice(KINDS)
    is_stream = kind in KINDS[2:]
    length_s = rng.uniform(0.1, 9.0) if is_stream else 0.0
    events = 1 + int(length_s / 0.15)
    reads_slowly = rng.random() < 0.3
    return StallingCall(
        row="usual",
        kind=kind,
        script=Script(
            prefill_s=rng.uniform(0.5, 6.0) if rng.random() < 0.3 else 0.05,
            work_s=0.0 if is_stream else rng.uniform(0.02, 0.5),
            events=events,
            event_bytes=9_000 if reads_slowly and is_stream else 400,
            gap_s=length_s / events,
            pause_s=rng.uniform(1.0, 5.0) if rng.random() < 0.2 else 0.0,
        ),
        body=b"x" * rng.choice((1, 4_000)),
        sending_s=rng.uniform(0.1, 2.0) if rng.random() < 0.3 else 0.0,
        bytes_per_s=(
            rng.uniform(75_000, 300_000) if reads_slowly else float("inf")
        ),
        buffer_bytes=16_384,
    )


def draw_taken_late(rng):
    """Draw callers that stop to read an answer of 180 kB for 0.5 to 4 s."""
    return _stalling(
        "taken late", rng, size=180_000, stall_s=rng.uniform(0.5, 4.0)
    )


def draw_taken_last(rng, *, longest_stall_s=LONGEST_STALL_S):
    """Draw callers that stop for up to the timeout, 10 kB to 4 MB."""
    size = int(10_000 * math.exp(rng.uniform(0.0, math.log(400))))
    stall_s = rng.uniform(0.5, longest_stall_s)
    return _stalling("taken last", rng, size=size, stall_s=stall_s)


def draw_read_late(rng):
    """Draw requests whose upstream takes nothing of the body for a while."""
    return StallingCall(
        row="read late",
        kind=rng.choice(KINDS[:2]),
        script=Script(
            untaken_s=rng.choice((0.0, 1.0, 2.0, 4.0, 8.0, LONGEST_STALL_S))
        ),
        body=UNTAKEN_BODY,
    )


def _stalling(row, rng, *, size, stall_s):
    kind = rng.choice(KINDS)
    events = size // PART_BYTES
    return StallingCall(
        row=row,
        kind=kind,
        script=Script(events=events, event_bytes=PART_BYTES),
        stall_s=stall_s,
    )


def rows(*, longest_stall_s=LONGEST_STALL_S):
    """Return all rows, with a longest stall of those that are taken last."""
    taken_last = partial(draw_taken_last, longest_stall_s=longest_stall_s)
    return (
        Row(draw=draw_usual, per_s=25.0, most_calls=3),
        Row(draw=draw_taken_late, per_s=14.0),
        Row(draw=taken_last, per_s=2.0),
        Row(draw=draw_read_late, per_s=3.0),
    )
