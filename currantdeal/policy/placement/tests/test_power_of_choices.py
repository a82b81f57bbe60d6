from random import Random

import pytest

from currantdeal.policy.placement.power_of_choices import order_by_choices
from currantdeal.policy.placement.prefill_choice import estimate_prefill

ENGINES = tuple(f"p{number}" for number in range(12))
TOKENS = 3_000
S_PER_TOKEN = 3e-5
LAG_S = 0.3
TARGET_S = 0.6
BURST_S = 4.0
UTILISATION = 0.8


def _least_loaded(backlog, random):
    return min(ENGINES, key=lambda name: (backlog[name], random.random()))


def _estimated(backlog, random):
    (first, *_) = estimate_prefill(
        ENGINES,
        tokens=TOKENS,
        backlog=backlog.get,
        distance=lambda name: 0,
        is_suspect=lambda name: False,
        random=random,
        s_per_token=S_PER_TOKEN,
        unreported=LAG_S * UTILISATION * len(ENGINES) / (TOKENS * S_PER_TOKEN),
    )
    return first.upstream


def _share_in_time(choose, *, seed):
    """Return the share of a burst of prompts that are prefilled in time.

    All entries place by the same backlogs, which are up to ``LAG_S`` old.
    """
    random = Random(seed)
    free_s = dict.fromkeys(ENGINES, 0.0)
    backlogs = {}
    updated_s = -LAG_S
    now_s = 0.0
    in_time = []
    while now_s < BURST_S:
        now_s += random.expovariate(
            UTILISATION * len(ENGINES) / (TOKENS * S_PER_TOKEN)
        )
        if now_s - updated_s >= LAG_S:
            updated_s = now_s
            backlogs = {
                name: max(0.0, free_s[name] - now_s) / S_PER_TOKEN
                for name in ENGINES
            }
        name = choose(backlogs, random)
        free_s[name] = max(now_s, free_s[name]) + TOKENS * S_PER_TOKEN
        in_time.append(free_s[name] - now_s <= TARGET_S)
    return sum(in_time) / len(in_time)


@pytest.mark.parametrize("seed", range(5))
def test_burst_placed_by_stale_sums_is_prefilled_in_time(seed):
    """Guards against a thundering herd on the engine with the least backlog.

    Until the next sums, all entries would choose the same engine.
    """
    least = _share_in_time(_least_loaded, seed=seed)
    chosen = _share_in_time(_estimated, seed=seed)
    assert 1.0 - chosen <= 0.5 * (1.0 - least)


def test_prompts_cross_regions_only_where_queues_differ():
    """Guards against transfers between regions without a shorter queue."""
    random = Random(4)
    near = ENGINES[:3]
    firsts = [
        estimate_prefill(
            ENGINES,
            tokens=TOKENS,
            backlog=lambda name: 0,
            distance=lambda name: 0.0 if name in near else 0.06,
            is_suspect=lambda name: False,
            random=random,
            s_per_token=S_PER_TOKEN,
            unreported=99.0,
        )[0].upstream
        for _ in range(200)
    ]
    assert set(firsts) == set(near)


def test_most_loaded_upstream_never_comes_first():
    random = Random(1)
    load = {name: number for number, name in enumerate(ENGINES)}
    for _ in range(200):
        order = order_by_choices(
            ENGINES, cost=load.get, random=random, unreported=99.0
        )
        assert order[0] != ENGINES[-1]
        assert sorted(order) == sorted(ENGINES)


def test_first_choices_are_spread_over_equally_loaded_upstreams():
    """Guards against a thundering herd on one of several equal upstreams."""
    random = Random(2)
    firsts = {
        order_by_choices(
            ENGINES, cost=lambda name: 0, random=random, unreported=99.0
        )[0]
        for _ in range(200)
    }
    assert firsts == set(ENGINES)


def test_without_unseen_placements_the_least_loaded_comes_first():
    load = {name: number for number, name in enumerate(ENGINES)}
    order = order_by_choices(
        ENGINES, cost=load.get, random=Random(3), unreported=0.4
    )
    assert order == list(ENGINES)
