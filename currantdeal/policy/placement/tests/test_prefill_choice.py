from collections import Counter
from random import Random

from currantdeal.policy.placement.prefill_choice import (
    PromptEstimate,
    estimate_prefill,
    prefers_local_prefill,
    prefill_timeout_s,
)

PROMPT_TOKENS = 3_000
S_PER_TOKEN = 3e-5
TARGET_S = 0.6
GAP_TARGET_S = 0.3


def _choose(backlog, *, random=None, distance=None, suspects=()):
    found = estimate_prefill(
        list(backlog),
        tokens=PROMPT_TOKENS,
        backlog=backlog.get,
        distance=distance or (lambda name: 0),
        is_suspect=lambda name: name in suspects,
        random=random or Random(1),
        s_per_token=S_PER_TOKEN,
    )
    return found[0].upstream


def _prefills_locally(wait_s, *, tokens=PROMPT_TOKENS, left_s=TARGET_S):
    best = PromptEstimate(upstream="p1", expected_s=wait_s)
    return prefers_local_prefill(
        best,
        tokens=tokens,
        s_per_token=S_PER_TOKEN,
        time_left_s=left_s,
        gap_target_s=GAP_TARGET_S,
    )


def test_burst_of_prompts_fills_queues_evenly():
    """Guards against long prefill queues next to idle engines.

    Forty prompts arrive at once for eight engines.  If each went to the engine
    nearest to its decode engine, some would wait a second behind ten others.
    """
    backlog = dict.fromkeys((f"p{n}" for n in range(8)), 0)
    random = Random(3)
    placed = Counter()
    for _ in range(40):
        name = _choose(backlog, random=random)
        backlog[name] += PROMPT_TOKENS
        placed[name] += 1
    assert set(placed.values()) == {5}


def test_entries_with_the_same_sums_choose_different_engines():
    """Guards against a thundering herd on the engine with the least backlog.

    Twelve prompts are placed before any of them is in the sums.
    """
    backlog = dict.fromkeys((f"p{n}" for n in range(8)), 0)
    random = Random(3)
    placed = Counter(_choose(backlog, random=random) for _ in range(12))
    assert max(placed.values()) <= 4


def test_prompts_go_to_the_shorter_queue_even_if_it_is_far():
    """Guards against a queue at a near engine while farther ones are idle.

    Two prompts wait at the near engine; by its many slots it would look idle.
    """
    backlog = {"good": 0, "bad": 0, "third": 0}
    distance = {"good": 0.0, "bad": 0.06, "third": 0.06}.get
    chosen = []
    for _ in range(6):
        name = _choose(backlog, distance=distance)
        backlog[name] += PROMPT_TOKENS
        chosen.append(name)
    assert chosen[0] == "good"
    assert sorted(chosen.count(name) for name in backlog) == [2, 2, 2]


def test_other_region_is_used_only_for_a_shorter_queue():
    distance = {"near": 0.0, "far": 0.06}.get
    idle = {"near": 0, "far": 0}
    assert _choose(idle, distance=distance) == "near"
    queued = {"near": 2 * PROMPT_TOKENS, "far": 0}
    assert _choose(queued, distance=distance) == "far"


def test_backlog_is_measured_in_tokens():
    """Guards against head-of-line blocking by a prompt of 20,000 tokens.

    Counted in prompts, its queue would be the shorter one.
    """
    backlog = {"long": 20_000, "short": 2 * PROMPT_TOKENS}
    assert _choose(backlog) == "short"


def test_short_prompts_are_prefilled_locally_while_prompts_queue():
    """Guards against long prompts that are late behind short ones.

    Short and long prompts arrive at once for the only prefill engine.  If all
    waited in its queue, the last would be late, and long prompts cannot be
    prefilled elsewhere.
    """
    backlog = 0
    in_time = 0
    for tokens in (2_000, 4_500) * 4 + (2_000, 2_000):
        expected_s = (backlog + tokens) * S_PER_TOKEN
        local = _prefills_locally(expected_s, tokens=tokens)
        if not local:
            backlog += tokens
        in_time += local or expected_s <= TARGET_S
    assert backlog >= 4 * 4_500
    assert in_time == 10


def test_long_prompt_is_not_prefilled_locally():
    """Guards against a pause that makes all streams of the engine late.

    A dozen streams would be late for one caller.
    """
    assert not _prefills_locally(1.0, tokens=6_000)


def test_prompt_that_is_late_anyway_is_not_prefilled_locally():
    assert not _prefills_locally(1.0, left_s=0.0)


def test_without_a_prefill_engine_prompts_are_prefilled_locally():
    """Guards against waiting for seconds after the only engine crashed."""
    assert prefers_local_prefill(
        None,
        tokens=6_000,
        s_per_token=S_PER_TOKEN,
        time_left_s=0.0,
        gap_target_s=GAP_TARGET_S,
    )


def _timeout_s(expected_s, *, tokens=PROMPT_TOKENS):
    return prefill_timeout_s(
        PromptEstimate(upstream="p1", expected_s=expected_s),
        tokens=tokens,
        s_per_token=S_PER_TOKEN,
        time_left_s=0.7,
    )


def test_unresponsive_engine_times_out_in_time_for_local_prefill():
    """Guards against late callers of an engine that stopped responding.

    Its connections stay open, so nothing else ends the wait before the
    reservation expires.
    """
    idle_s = PROMPT_TOKENS * S_PER_TOKEN
    assert _timeout_s(idle_s) + 2 * idle_s <= 0.7


def test_busy_engine_does_not_time_out_early():
    """Guards against prompts that are prefilled twice while prompts queue.

    Their callers are late in any case, and each second prefill lengthens the
    queue.
    """
    idle_s = PROMPT_TOKENS * S_PER_TOKEN
    assert _timeout_s(5 * idle_s) > 1.5
    assert _timeout_s(idle_s, tokens=6_000) > 1.5


def test_engine_that_several_entries_cannot_reach_comes_last():
    """Guards against preferring a silent engine for its empty queue."""
    backlog = {"silent": 0, "busy": 2 * PROMPT_TOKENS}
    assert _choose(backlog, suspects=("silent",)) == "busy"
    assert _choose({"silent": 0}, suspects=("silent",)) == "silent"


def _first_choices(*, backlog, suspects=()):
    """Return how often each engine comes first for prompts that stay."""
    random = Random(1)
    return Counter(
        estimate_prefill(
            ("near-1", "near-2", "away-1", "away-2"),
            tokens=3000,
            backlog=lambda name: backlog.get(name, 0),
            distance=lambda name: 0.06 * name.startswith("away"),
            is_suspect=lambda name: name in suspects,
            random=random,
            s_per_token=3e-5,
            unreported=8,
            may_leave=lambda *costs, **more: False,
        )[0].upstream
        for _ in range(100)
    )


def test_prompt_that_stays_gets_the_shorter_queue():
    """Guards against a random engine here while others are far away."""
    assert _first_choices(backlog={"near-1": 30_000}) == {"near-2": 100}


def test_prompt_that_stays_avoids_engines_that_cannot_be_reached():
    """Guards against suspect engines here before good ones elsewhere."""
    chosen = _first_choices(backlog={}, suspects=("near-1", "near-2"))
    assert set(chosen) <= {"away-1", "away-2"}
