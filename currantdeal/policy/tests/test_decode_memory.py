from currantdeal.policy.decode_memory import (
    REFUSED_REST_S,
    DecodeMemory,
    GenerationSize,
    tokens_to_reserve,
)


def test_a_burst_goes_to_the_engines_in_turn():
    """Twelve generations come at once to an entry with three engines."""
    memory = DecodeMemory()
    placed = []
    for _ in range(12):
        name = memory.order("abc", distance=lambda u: 0, now_s=0.0)[0]
        memory.reserved(name, 4_000)
        placed.append(name)
    assert [placed.count(name) for name in "abc"] == [4, 4, 4]


def test_long_generations_count_by_their_tokens():
    """One long generation among short ones.

    Counted as one request, its engine would get as many more as the others
    and preempt them.
    """
    memory = DecodeMemory()
    memory.reserved("a", 20_000)
    placed = []
    for _ in range(8):
        name = memory.order("ab", distance=lambda u: 0, now_s=0.0)[0]
        memory.reserved(name, 2_500)
        placed.append(name)
    assert placed.count("a") == 0


def test_a_full_engine_is_asked_last_for_a_moment():
    memory = DecodeMemory()
    memory.refused("a", now_s=0.0)
    memory.reserved("b", 9_000)
    order = memory.order("ab", distance=lambda u: 0, now_s=0.05)
    assert order == ["b", "a"]
    later = memory.order("ab", distance=lambda u: 0, now_s=REFUSED_REST_S)
    assert later == ["a", "b"]


def test_the_estimate_is_kept_within_what_is_allowed():
    """A caller estimates more output than it allows, or gives none."""
    wild = GenerationSize(
        prompt_tokens=100, max_output_tokens=50, expected_output_tokens=900
    )
    silent = GenerationSize(
        prompt_tokens=100, max_output_tokens=50, expected_output_tokens=0
    )
    assert 100 < tokens_to_reserve(silent, 0) <= 150
    assert tokens_to_reserve(wild, 0) <= 160
    assert tokens_to_reserve(wild, 120) == 120
