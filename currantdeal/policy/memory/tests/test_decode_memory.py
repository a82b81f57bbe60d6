import random
from collections import Counter

from currantdeal.policy.load.shared_load import EntryLoad
from currantdeal.policy.memory.decode_memory import (
    FULL_ENGINE_BACKOFF_S,
    DecodeEngineOrder,
    GenerationSize,
    tokens_to_reserve,
)


def test_burst_is_spread_evenly_over_engines():
    """Guards against an engine that gets more of a burst than others.

    Twelve generations arrive at once at an entry with three engines.
    """
    load = EntryLoad()
    placed = []
    for _ in range(12):
        name = _order(load, "abc")[0]
        load.add(name, 4_000)
        placed.append(name)
    assert [placed.count(name) for name in "abc"] == [4, 4, 4]


def test_load_is_measured_in_tokens():
    """Guards against an engine that is overfilled beside a long generation.

    Counted as one request, the long generation would let its engine get as
    many short ones as the others, which it then has to preempt.
    """
    load = EntryLoad()
    load.add("a", 20_000)
    placed = []
    for _ in range(8):
        name = _order(load, "ab")[0]
        load.add(name, 2_500)
        placed.append(name)
    assert placed.count("a") == 0


def test_engine_that_refused_comes_last_during_backoff():
    load = EntryLoad()
    engine_order = DecodeEngineOrder(load=load)
    engine_order.record_refusal("a", now_s=0.0)
    load.add("b", 9_000)
    order = _order(load, "ab", engine_order=engine_order, now_s=0.05)
    assert order == ["b", "a"]
    later = _order(
        load, "ab", engine_order=engine_order, now_s=FULL_ENGINE_BACKOFF_S
    )
    assert later == ["a", "b"]


def test_entries_without_sums_choose_different_engines_first():
    """Guards against a thundering herd on the first engine.

    Eighty entries place a stream each on twenty engines.  In the order of
    names, the first engine would be filled while the others are idle.  The
    outputs of its streams would then outgrow its memory, and the callers of
    preempted streams would see a long pause.
    """
    engines = [f"e{number}" for number in range(20)]
    rng = random.Random(7)
    firsts = Counter(
        _order(EntryLoad(), engines, rng=rng)[0] for _ in range(80)
    )
    assert max(firsts.values()) <= 12
    assert len(firsts) >= 15


def test_engines_in_other_regions_come_after_nearer_ones():
    distance = {"far": 0.075, "here": 0.0, "near": 0.003}.get
    order = _order(EntryLoad(), ["far", "here", "near"], distance=distance)
    assert order[-1] == "far"


def test_engine_with_an_open_connection_is_preferred_among_equal_ones():
    """Guards against opening a new connection for each reservation."""
    engines = [f"e{number}" for number in range(20)]
    for seed in range(20):
        rng = random.Random(seed)
        found = _order(
            EntryLoad(), engines, rng=rng, connected={"e7"}.__contains__
        )
        assert found[0] == "e7"


def test_open_connection_does_not_outweigh_free_memory():
    """Guards against filling a connected engine while others are idle."""
    load = EntryLoad()
    load.add("a", 9_000)
    order = _order(load, "abc", connected={"a"}.__contains__)
    assert order[-1] == "a"


def test_reservation_stays_within_the_allowed_output_and_the_capacity():
    """Guards against oversized reservations for estimates by callers.

    A caller may estimate more output than it allows, or give no estimate.
    """
    excessive = GenerationSize(
        prompt_tokens=100, max_output_tokens=50, expected_output_tokens=900
    )
    missing = GenerationSize(
        prompt_tokens=100, max_output_tokens=50, expected_output_tokens=0
    )
    assert 100 < tokens_to_reserve(missing, 0) <= 150
    assert tokens_to_reserve(excessive, 0) <= 160
    assert tokens_to_reserve(excessive, 120) == 120


def _order(
    load,
    engines,
    *,
    engine_order=None,
    now_s=0.0,
    rng=None,
    distance=lambda name: 0,
    connected=None,
):
    engine_order = engine_order or DecodeEngineOrder(load=load)
    return engine_order.order(
        engines,
        tokens=4_000,
        capacity=30_000,
        distance=distance,
        random=rng or random.Random(1),
        now_s=now_s,
        connected=connected,
    )
