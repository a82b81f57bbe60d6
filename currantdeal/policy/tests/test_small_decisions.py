from random import Random

import pytest

from currantdeal.core import Ran, WorkKind
from currantdeal.policy import (
    Admission,
    Estimates,
    FairQueue,
    LoadView,
    OutputLengths,
    Placement,
    PrefixHints,
    Refused,
    RetryBudget,
    SlowUpstreams,
    StartRate,
    UserWeights,
)
from currantdeal.policy.outliers import OUT_S
from currantdeal.policy.tests.builders import engine, work


def test_full_queue_refuses_and_says_when_to_come_back():
    admission = Admission(rng=Random(1), max_queued_s=10.0)
    found = admission.decide(
        time_left_s=100.0,
        cost_ahead_s=1.0,
        cost_s=1.0,
        queued_s=10.0,
        rate_per_s=1.0,
        path_s=0.1,
    )
    assert isinstance(found, Refused)
    assert 1.0 <= found.retry_after_s <= 45.0


def test_start_rate_learns_only_while_work_waits():
    rate = StartRate(initial=10.0)
    for step in range(40):
        rate.record(cost_s=1.0, now_s=0.5 * step, waiting=True)
    assert rate.per_s == pytest.approx(2.0, rel=0.1)
    rate.record(cost_s=1.0, now_s=100.0, waiting=False)
    assert rate.per_s == pytest.approx(2.0, rel=0.1)


def test_short_work_passes_long_work_of_its_caller_but_not_for_ever():
    queue = FairQueue()
    queue.push(work("long", arrived_s=0.0), cost_s=10.0)
    queue.push(work("short", arrived_s=0.5), cost_s=0.1)
    queue.push(work("later", arrived_s=2.5), cost_s=0.1)
    served = [queue.pop().work.request_id for _ in range(3)]
    assert served == ["short", "long", "later"]


def test_lengths_of_one_caller_do_not_mix_with_anothers():
    lengths = OutputLengths()
    for _ in range(20):
        for caller, tokens in (("brief", 20), ("wordy", 900)):
            lengths.observe(caller=caller, kind=WorkKind.CHAT, tokens=tokens)
    found = [
        lengths.expected(
            caller=caller, kind=WorkKind.CHAT, max_output_tokens=2_000
        )
        for caller in ("brief", "wordy")
    ]
    assert found[0] < 30 and found[1] >= 900


def test_retries_of_an_outage_stay_within_the_budget():
    """Every request fails for a while, as when a region is cut off.

    Retried without bound they would be a storm for what is left.
    """
    budget = RetryBudget(rng=Random(1))
    retries = 0
    for _ in range(1_000):
        budget.record_try()
        found = budget.decide(ran=Ran.NO, idempotent=True, attempts=1)
        retries += found.allowed
    assert retries <= 1_000 * 0.1 + 10


def test_slow_upstreams_are_a_bounded_number_and_are_tried_again():
    """Half of the engines get slow at once.

    Were all of them left out, the rest would be overloaded.
    """
    slow = SlowUpstreams()
    for _ in range(10):
        for number in range(9):
            ratio = 5.0 if number >= 5 else 1.0
            slow.observe("g", f"u{number}", ratio, now_s=0.0)
    assert len(slow.out("g")) == 3
    name = slow.out("g")[0]
    assert slow.is_out("g", name, now_s=OUT_S - 0.1)
    assert not slow.is_out("g", name, now_s=OUT_S)
    for _ in range(20):
        slow.observe("g", name, 1.0, now_s=OUT_S)
    assert name not in slow.out("g")


def test_hot_prefix_is_spread_once_its_engine_is_busy():
    """All requests begin alike and one engine has that beginning cached.

    Sent there without regard to its queue, they would all be late.
    """
    hints = PrefixHints()
    hints.learn("p1", tuple(range(12)), now_s=0.0)
    loads = LoadView(source=lambda name: None)
    placement = Placement(rng=Random(1), hints=hints, slow=SlowUpstreams())
    wanted = work(prompt_tokens=3_200, prefix_keys=tuple(range(12)))
    chosen = []
    for _ in range(6):
        choice = placement.choose(
            wanted,
            prefills=(engine("p1"), engine("p2")),
            decodes=(engine("d1"),),
            load=loads,
            tokens=3_400,
            now_s=0.0,
        )
        chosen.append(choice.prefill.upstream_id)
        loads.sent(chosen[-1], pieces=0, tokens=1_600, now_s=0.0)
    assert chosen[0] == "p1"
    assert set(chosen) == {"p1", "p2"}


def test_traffic_crosses_regions_only_where_it_saves_time():
    near, far = engine("near"), engine("far", region="r2")
    loads = LoadView(source=lambda name: None)
    placement = Placement(
        rng=Random(1), hints=PrefixHints(), slow=SlowUpstreams()
    )

    def chosen():
        return placement.choose(
            work(prompt_tokens=4_000),
            prefills=pool,
            decodes=(engine("d1"),),
            load=loads,
            tokens=4_100,
            now_s=0.0,
        ).prefill.upstream_id

    pool = (near, far)
    assert chosen() == "near"
    loads.sent("near", pieces=0, tokens=8_000, now_s=0.0)
    assert chosen() == "far"


def test_weight_on_waste_reserves_more_and_starts_nothing_late():
    lengths = OutputLengths()
    for tokens in range(10, 200, 10):
        lengths.observe(caller="c", kind=WorkKind.CHAT, tokens=tokens)
    careful, bold = (
        Estimates(lengths=lengths, weights=weights)
        for weights in (
            UserWeights(goodput=0.0, wasted_prefill=1.0),
            UserWeights(goodput=1.0, wasted_prefill=0.0),
        )
    )
    wanted = work(deadline_s=0.15)
    assert careful.reserved_tokens(wanted) > bold.reserved_tokens(wanted)
    assert careful.is_late(wanted, 0.0) and not bold.is_late(wanted, 0.0)
