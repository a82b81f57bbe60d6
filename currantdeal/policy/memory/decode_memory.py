"""Order in which an entry requests KV cache memory of decode engines.

Load pattern: burst on shared KV cache memory.  Many entries share the engines,
a stream holds memory for seconds, and load reports are too old for placement.
So memory is reserved at the engine itself before the prompt is prefilled, and
the engine's answer is authoritative.

A reservation covers the prompt and a part of the expected output
(``OUTPUT_SHARE``).  It is charged in full from the beginning, while the stream
fills it gradually; the streams of an engine are at different points of their
output, so the unused part of one reservation is free when another stream
exceeds its own.
"""

import math
from dataclasses import dataclass

from currantdeal.policy.placement.power_of_choices import (
    order_groups_by_choices,
)

OUTPUT_SHARE = 0.5
"""Share of the expected output that is reserved."""

UNKNOWN_OUTPUT_SHARE = 0.35
"""Share of the allowed output that is expected without an estimate."""

FULL_ENGINE_BACKOFF_S = 0.15
"""Time for which an engine that refused a reservation comes last."""

MAX_FILL = 0.95
"""Share of an engine's memory that all its reservations may use.

A reservation is the mean size of a stream over its life; the rest is headroom
for engines whose streams are all near their end.
"""

CROSS_REGION_SHARE = 0.25
"""Share of memory that an engine in another region must have more free.

Reservation, prompt and stream each cost a round trip between regions.
"""

PREFILL_SHARE = 0.3
"""Share of memory that an engine must have more free while it prefills.

A prompt that it has to prefill locally waits for the one in progress.
"""

NEW_CONNECTION_SHARE = 0.1
"""Share of memory that an engine without an open connection must have more
free."""

JITTER_SHARE = 0.1
"""Random share of memory, so that entries choose different engines."""

DEFAULT_CAPACITY = 30_000
"""Memory of an engine whose capacity is unknown, in tokens."""


@dataclass(frozen=True, kw_only=True)
class GenerationSize:
    """Token counts of one generation.

    ``expected_output_tokens`` is 0 without an estimate.
    """

    prompt_tokens: int
    max_output_tokens: int
    expected_output_tokens: int


def tokens_to_reserve(size, kv_tokens):
    """Return the tokens to reserve for a generation.

    Parameters
    ----------
    size : GenerationSize
        Its prompt and output.
    kv_tokens : int
        Memory of an engine, the upper limit; 0 if unknown.

    Examples
    --------
    >>> size = GenerationSize(prompt_tokens=3000, max_output_tokens=3060,
    ...                       expected_output_tokens=1000)
    >>> tokens_to_reserve(size, 40_000)
    3500
    """
    expected = size.expected_output_tokens
    if not expected:
        expected = UNKNOWN_OUTPUT_SHARE * size.max_output_tokens
    expected = min(expected, size.max_output_tokens)
    needed = size.prompt_tokens + round(OUTPUT_SHARE * expected)
    return min(needed, kv_tokens) if kv_tokens else needed


class DecodeEngineOrder:
    """Orders decode engines for the reservations of one entry.

    Parameters
    ----------
    load : currantdeal.policy.load.shared_load.EntryLoad
        Load of each engine.

    Examples
    --------
    >>> from random import Random
    >>> from currantdeal.policy.load.shared_load import EntryLoad
    >>> load = EntryLoad()
    >>> engine_order = DecodeEngineOrder(load=load)
    >>> load.add("d1", 12_000)
    >>> engine_order.order(["d1", "d2"], tokens=4000, capacity=30_000,
    ...              distance=lambda u: 0, random=Random(1), now_s=0.0)
    ['d2', 'd1']
    >>> engine_order.record_refusal("d2", now_s=0.0)
    >>> engine_order.order(["d1", "d2"], tokens=4000, capacity=30_000,
    ...              distance=lambda u: 0, random=Random(1), now_s=0.1)
    ['d1', 'd2']
    """

    def __init__(self, *, load):
        """Start without refusals."""
        self._load = load
        self._refused_s = {}

    def record_refusal(self, upstream, *, now_s):
        """Record that an engine refused a reservation."""
        self._refused_s[upstream] = now_s

    def order(
        self,
        upstreams,
        *,
        tokens,
        capacity,
        distance,
        random,
        now_s,
        max_fill=MAX_FILL,
        prefilling=None,
        connected=None,
    ):
        """Return engines in the order in which to request memory.

        Engines without room by the current sums are left out.  Engines that
        several entries could not reach, or that refused a reservation less
        than ``FULL_ENGINE_BACKOFF_S`` ago, come last.

        Parameters
        ----------
        tokens : int
            Memory to reserve.
        capacity : int
            Memory of each engine; 0 if unknown.
        distance : callable
            0 for an engine in this data centre, 1 in this region, 2
            elsewhere.
        max_fill : float
            Share of its memory up to which an engine has room; an idle engine
            always has.
        prefilling : callable or None
            Whether an engine prefills a prompt that this one would wait for.
        connected : callable or None
            Whether there is an open connection to an engine.
        """
        load = self._load
        memory_tokens = capacity or DEFAULT_CAPACITY
        loads_known = capacity and load.has_current_sums(now_s=now_s)

        def has_room(upstream):
            held = load.tokens(upstream, now_s=now_s)
            return not held or held + tokens <= max_fill * memory_tokens

        def is_deferred(upstream):
            return self._is_deferred(upstream, now_s)

        costs = {}
        groups = {False: {}, True: {}}
        for upstream in upstreams:
            if loads_known and not has_room(upstream):
                continue
            far = distance(upstream) == 2
            is_connected = connected is not None and connected(upstream)
            busy = prefilling is not None and prefilling(upstream)
            costs[upstream] = (
                load.tokens(upstream, now_s=now_s) / memory_tokens
                + CROSS_REGION_SHARE * far
                + PREFILL_SHARE * busy
                - NEW_CONNECTION_SHARE * is_connected
            )
            group = groups[is_deferred(upstream)]
            group.setdefault((far, is_connected), []).append(upstream)
        return [
            upstream
            for deferred in (False, True)
            for upstream in order_groups_by_choices(
                groups[deferred].values(),
                cost=costs.get,
                random=random,
                unreported=load.unreported(tokens, now_s=now_s),
                jitter=JITTER_SHARE,
            )
        ]

    def free_tokens(self, upstreams, *, tokens, capacity, now_s, max_fill):
        """Return the memory that requests of one size find free.

        Engines that come last by ``order`` are not counted.  None if the
        loads or the capacity are unknown.
        """
        if not capacity or not self._load.has_current_sums(now_s=now_s):
            return None
        free = 0
        for upstream in upstreams:
            if not self._is_deferred(upstream, now_s):
                held = self._load.tokens(upstream, now_s=now_s)
                left = max(0.0, max_fill * capacity - held)
                free += tokens * max(int(left // tokens), not held)
        return free

    def _is_deferred(self, upstream, now_s):
        since_refusal_s = now_s - self._refused_s.get(upstream, -math.inf)
        suspect = self._load.is_suspect(upstream, now_s=now_s)
        return suspect or since_refusal_s < FULL_ENGINE_BACKOFF_S
