"""Choices of engines in pools whose engines differ in speed."""

from collections import Counter
from random import Random

import pytest

from currantdeal.policy.load.shared_load import EntryLoad
from currantdeal.policy.memory.decode_memory import DecodeEngineOrder
from currantdeal.policy.placement.prefill_choice import (
    PromptEstimate,
    estimate_prefill,
    prefers_local_prefill,
    prefill_timeout_s,
)
from currantdeal.policy.speed.paces import Work
from currantdeal.policy.speed.upstream_speeds import FORGET_S, UpstreamSpeeds

S_PER_TOKEN = 3e-5
PROMPT_TOKENS = 3_000


def _choose(slowdowns, backlog, random, *, tokens=PROMPT_TOKENS):
    found = estimate_prefill(
        list(slowdowns),
        tokens=tokens,
        backlog=lambda name: backlog.get(name, 0),
        distance=lambda name: 0,
        is_suspect=lambda name: False,
        random=random,
        s_per_token=S_PER_TOKEN,
        slowdown=slowdowns.get,
    )
    return found[0].upstream


@pytest.mark.parametrize("seed", range(20))
def test_wave_takes_little_longer_than_with_the_best_split(seed):
    """Guards against a slow engine that takes as much of a wave as others.

    A wave of prompts of all sizes arrives at engines of known speeds.  The
    best split keeps all engines busy to the end.
    """
    random = Random(seed)
    slowdowns = {
        f"p{n}": random.uniform(0.5, 3.0) for n in range(random.randint(2, 20))
    }
    backlog = dict.fromkeys(slowdowns, 0)
    for _ in range(30 * len(slowdowns)):
        tokens = random.randint(200, 6_000)
        backlog[_choose(slowdowns, backlog, random, tokens=tokens)] += tokens
    took = max(backlog[name] * slowdowns[name] for name in slowdowns)
    best = sum(backlog.values()) / sum(1 / s for s in slowdowns.values())
    assert took <= 1.1 * best


@pytest.mark.parametrize("seed", range(6))
def test_no_engine_is_starved_of_the_work_that_shows_its_speed(seed):
    """Guards against an engine that is slow once and never tried again.

    Prompts come one at a time, so that the fastest engine could do them all.
    """
    random = Random(seed)
    slowdowns = {f"p{n}": random.uniform(0.5, 5.0) for n in range(8)}
    speeds, last_s = UpstreamSpeeds(), dict.fromkeys(slowdowns, 0.0)
    for step in range(1_000):
        now_s = step / 10
        known = {
            name: speeds.estimate(name, Work.PREFILL, now_s=now_s).factor
            for name in slowdowns
        }
        name = _choose(known, {}, random)
        last_s[name] = now_s
        expected_s = PROMPT_TOKENS * S_PER_TOKEN
        speeds.record(
            name,
            Work.PREFILL,
            expected_s=expected_s,
            took_s=expected_s * slowdowns[name],
            now_s=now_s,
        )
        oldest_s = min(last_s.values())
        assert now_s - oldest_s <= 3 * FORGET_S


def test_long_prompt_goes_to_a_fast_engine_with_a_queue():
    slowdowns, backlog = {"fast": 0.7, "slow": 1.7}, {"fast": 3_000}
    for tokens, expected in ((1_000, "slow"), (9_000, "fast")):
        chosen = _choose(slowdowns, backlog, Random(1), tokens=tokens)
        assert chosen == expected


def test_slow_engine_gets_a_longer_timeout():
    """Guards against speed and health that fight over a slow engine."""
    found = estimate_prefill(
        ["fast", "slow"],
        tokens=1_000,
        backlog=lambda name: 0,
        distance=lambda name: 0,
        is_suspect=lambda name: False,
        random=Random(1),
        s_per_token=S_PER_TOKEN,
        slowdown={"fast": 1.0, "slow": 5.0}.get,
    )
    timeouts = {
        best.upstream: prefill_timeout_s(
            best, tokens=1_000, s_per_token=S_PER_TOKEN, time_left_s=2.0
        )
        for best in found
    }
    assert timeouts["slow"] > timeouts["fast"] + 0.2


def test_slow_decode_engine_prefills_no_long_prompt():
    """Guards against long pauses of the streams of a slow decode engine."""
    queue = PromptEstimate(upstream="p1", expected_s=0.7)
    for slowdown, expected in ((1.0, True), (2.0, False)):
        assert expected is prefers_local_prefill(
            queue,
            tokens=PROMPT_TOKENS,
            s_per_token=S_PER_TOKEN,
            time_left_s=0.5,
            gap_target_s=0.3,
            slowdown=slowdown,
        )


def _place_streams(slowdowns, *, count, is_too_slow=None):
    load, random, placed = EntryLoad(), Random(2), Counter()
    engine_order = DecodeEngineOrder(load=load)
    for _ in range(count):
        name = engine_order.order(
            list(slowdowns),
            tokens=3_000,
            capacity=60_000,
            distance=lambda upstream: 0,
            random=random,
            now_s=0.0,
            slowdown=slowdowns.get,
            is_too_slow=is_too_slow,
        )[0]
        load.add(name, 3_000)
        placed[name] += 1
    return placed


def test_slow_decode_engine_gets_fewer_streams():
    """Guards against streams that pile up where each takes longer."""
    placed = _place_streams({"d1": 1.0, "d2": 1.0, "d3": 2.0}, count=30)
    assert 4 <= placed["d3"] <= 8
    assert abs(placed["d1"] - placed["d2"]) <= 3


def test_engine_that_misses_the_gap_target_is_the_last_choice():
    """Guards against streams whose pauses are too long from the first on."""
    placed = _place_streams(
        {"d1": 1.0, "d2": 4.0}, count=15, is_too_slow="d2".__eq__
    )
    assert placed == {"d1": 15}
