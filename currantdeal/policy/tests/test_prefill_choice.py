from collections import Counter
from random import Random

from currantdeal.policy.prefill_choice import order_prefill

PROMPT_TOKENS = 3_000
S_PER_TOKEN = 3e-5


def _choose(backlog, *, random=None, distance=None, avoided=()):
    return order_prefill(
        list(backlog),
        backlog=backlog.get,
        distance=distance or (lambda name: 0),
        avoided=lambda name: name in avoided,
        random=random or Random(1),
        s_per_token=S_PER_TOKEN,
    )[0]


def test_a_burst_of_prompts_fills_the_queues_evenly():
    """Forty prompts come at once to eight engines.

    Where they are sent to the engines beside their decode engines, some wait
    for ten others, a second long, beside engines without work.
    """
    backlog = dict.fromkeys((f"p{n}" for n in range(8)), 0)
    random = Random(3)
    placed = Counter()
    for _ in range(40):
        name = _choose(backlog, random=random)
        backlog[name] += PROMPT_TOKENS
        placed[name] += 1
    assert set(placed.values()) == {5}


def test_entries_with_the_same_sums_do_not_choose_the_same_engine():
    """Twelve prompts are placed before the sums tell of any of them."""
    backlog = dict.fromkeys((f"p{n}" for n in range(8)), 0)
    random = Random(3)
    placed = Counter(_choose(backlog, random=random) for _ in range(12))
    assert max(placed.values()) <= 4


def test_prompts_go_to_the_shorter_queue_even_if_it_is_far():
    """A prefill engine near the decode engine has two prompts waiting.

    Judged by its many slots it would look idle, and prompts would queue
    there while another engine reads none.
    """
    backlog = {"good": 0, "bad": 0, "third": 0}
    distance = {"good": 0, "bad": 2, "third": 2}.get
    chosen = []
    for _ in range(6):
        name = _choose(backlog, distance=distance)
        backlog[name] += PROMPT_TOKENS
        chosen.append(name)
    assert chosen[0] == "good"
    assert sorted(chosen.count(name) for name in backlog) == [2, 2, 2]


def test_another_region_is_worth_its_delay_only_for_a_shorter_queue():
    distance = {"near": 0, "far": 2}.get
    idle = {"near": 0, "far": 0}
    assert _choose(idle, distance=distance) == "near"
    queued = {"near": 2 * PROMPT_TOKENS, "far": 0}
    assert _choose(queued, distance=distance) == "far"


def test_a_prompt_of_one_long_caller_counts_by_its_length():
    """One prompt of twenty thousand tokens stands among short ones."""
    backlog = {"long": 20_000, "short": 2 * PROMPT_TOKENS}
    assert _choose(backlog) == "short"


def test_an_engine_that_several_entries_cannot_reach_comes_last():
    """An engine has gone dark; its queue looks empty for that very reason."""
    backlog = {"dark": 0, "busy": 5 * PROMPT_TOKENS}
    assert _choose(backlog, avoided=("dark",)) == "busy"
