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
from functools import partial

from currantdeal.policy.placement.distance import (
    order_by_leaving,
    split_by_distance,
)
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

DEFAULT_FULL_WAIT_S = 0.3
"""Wait that a full engine stands for if the target is unknown."""

PREFILL_SHARE = 0.3
"""Share of memory that an engine must have more free while it prefills.

A prompt that it has to prefill locally waits for the one in progress.
"""

NEW_CONNECTION_SHARE = 0.1
"""Share of memory that an engine without an open connection must have more
free."""

JITTER_SHARE = 0.1
"""Random share of memory, so that entries choose different engines."""

MAX_GAP_SHARE = 0.75
"""Share of the gap target that the mean gap of an engine may take."""

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


def keeps_gap_target(gap_s, gap_target_s):
    """Return whether an engine with a mean gap keeps the gap target.

    Parameters
    ----------
    gap_target_s : float
        Longest pause that is in time; 0 if there is no target.

    Examples
    --------
    >>> keeps_gap_target(0.25, 0.3), keeps_gap_target(0.25, 0.0)
    (False, True)
    """
    return not gap_target_s or gap_s <= MAX_GAP_SHARE * gap_target_s


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
        full_wait_s=DEFAULT_FULL_WAIT_S,
        may_leave=None,
        slowdown=None,
        is_too_slow=None,
    ):
        """Return engines in the order in which to request memory.

        Engines without room by the current sums are left out.  Engines that
        several entries could not reach, that refused a reservation less than
        ``FULL_ENGINE_BACKOFF_S`` ago, or that are too slow come last.

        Parameters
        ----------
        tokens : int
            Memory to reserve.
        capacity : int
            Memory of each engine; 0 if unknown.
        distance : callable
            Seconds that the way to an engine costs.
        max_fill : float
            Share of its memory up to which an engine has room; an idle engine
            always has.
        prefilling : callable or None
            Whether an engine prefills a prompt that this one would wait for.
        connected : callable or None
            Whether there is an open connection to an engine.
        full_wait_s : float
            Wait for memory that a full engine stands for; it relates fill
            and distance.
        may_leave : callable or None
            Whether farther engines may come first, see
            ``LeaveGate.may_leave``.
        slowdown : callable or None
            Time that work takes at an engine, as a multiple of the pool's;
            a stream holds memory of a slow engine for longer.
        is_too_slow : callable or None
            Whether an engine can't keep the gap target of the stream.
        """
        load = self._load
        memory_tokens = capacity or DEFAULT_CAPACITY
        loads_known = capacity and load.has_current_sums(now_s=now_s)

        def has_room(upstream):
            held = load.tokens(upstream, now_s=now_s)
            return not held or held + tokens <= max_fill * memory_tokens

        def is_deferred(upstream):
            too_slow = is_too_slow is not None and is_too_slow(upstream)
            return too_slow or self._is_deferred(upstream, now_s)

        costs = {}
        groups = {}
        near, away = split_by_distance(
            [u for u in upstreams if not loads_known or has_room(u)], distance
        )
        for upstream in (*near, *away):
            is_connected = connected is not None and connected(upstream)
            busy = prefilling is not None and prefilling(upstream)
            held = load.tokens(upstream, now_s=now_s)
            excess = slowdown(upstream) - 1.0 if slowdown is not None else 0.0
            costs[upstream] = (
                held / memory_tokens
                + (held + tokens) / memory_tokens * excess
                + distance(upstream) / full_wait_s
                + PREFILL_SHARE * busy
                - NEW_CONNECTION_SHARE * is_connected
            )
            key = (is_deferred(upstream), len(costs) > len(near))
            group = groups.setdefault(key, {})
            group.setdefault(is_connected, []).append(upstream)

        def groups_of(*key):
            return list(groups.get(key, {}).values())

        def waits_s(is_away):
            # A connection does not make an engine less busy.
            first = groups.get((False, is_away), {}).items()
            return [
                (costs[u] + NEW_CONNECTION_SHARE * is_connected) * full_wait_s
                for is_connected, group in first
                for u in group
            ]

        unreported = load.unreported(tokens, now_s=now_s)
        leaves = may_leave is None or may_leave(
            waits_s(False),
            waits_s(True),
            unit_s=tokens / memory_tokens * full_wait_s,
            unreported=unreported,
        )
        by_choices = partial(
            order_groups_by_choices,
            cost=costs.get,
            random=random,
            unreported=unreported,
            jitter=JITTER_SHARE,
        )
        return [
            upstream
            for deferred in (False, True)
            for upstream in order_by_leaving(
                groups_of(deferred, False),
                groups_of(deferred, True),
                by_choices,
                may_leave=leaves,
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
