from random import Random

import pytest

from currantdeal.core import Ran, WorkKind
from currantdeal.policy import (
    Admission,
    Estimates,
    FairQueue,
    LoadView,
    OutlierDetector,
    OutputLengths,
    Placement,
    PrefixHints,
    Refused,
    RetryBudget,
    StartRate,
    UserWeights,
)
from currantdeal.policy.health.outliers import EJECTION_S
from currantdeal.policy.tests.builders import engine, work


def test_full_queue_refuses_with_a_retry_time():
    admission = Admission(rng=Random(1), max_queued_s=10.0)
    decision = admission.decide(
        time_left_s=100.0,
        cost_ahead_s=1.0,
        cost_s=1.0,
        queued_s=10.0,
        rate_per_s=1.0,
        first_output_s=0.1,
    )
    assert isinstance(decision, Refused)
    assert 1.0 <= decision.retry_after_s <= 45.0


def test_start_rate_is_measured_only_while_work_waits():
    rate = StartRate(initial=10.0)
    for step in range(40):
        rate.record(cost_s=1.0, now_s=0.5 * step, waiting=True)
    assert rate.per_s == pytest.approx(2.0, rel=0.1)
    rate.record(cost_s=1.0, now_s=100.0, waiting=False)
    assert rate.per_s == pytest.approx(2.0, rel=0.1)


def test_short_work_overtakes_long_work_for_a_limited_time():
    queue = FairQueue()
    queue.push(work("long", arrived_s=0.0), cost_s=10.0)
    queue.push(work("short", arrived_s=0.5), cost_s=0.1)
    queue.push(work("later", arrived_s=2.5), cost_s=0.1)
    served = [queue.pop().work.request_id for _ in range(3)]
    assert served == ["short", "long", "later"]


def test_output_lengths_are_kept_by_caller():
    lengths = OutputLengths()
    for _ in range(20):
        for caller, tokens in (("brief", 20), ("wordy", 900)):
            lengths.observe(caller=caller, kind=WorkKind.CHAT, tokens=tokens)
    expected = [
        lengths.expected(
            caller=caller, kind=WorkKind.CHAT, max_output_tokens=2_000
        )
        for caller in ("brief", "wordy")
    ]
    assert expected[0] < 30 and expected[1] >= 900


def test_retries_in_an_outage_stay_within_the_budget():
    """Every request fails for a while, as when a region is unreachable.

    Unlimited retries would overload the remaining capacity (retry storm).
    """
    budget = RetryBudget(rng=Random(1))
    retries = 0
    for _ in range(1_000):
        budget.record_first_attempt()
        decision = budget.decide(ran=Ran.NO, idempotent=True, attempts=1)
        retries += decision.allowed
    assert retries <= 1_000 * 0.1 + 10


def test_ejected_upstreams_are_limited_and_probed():
    """Nearly half of the engines slow down at once.

    If all of them were ejected, the others would be overloaded.
    """
    outliers = OutlierDetector()
    for _ in range(10):
        for number in range(9):
            ratio = 5.0 if number >= 5 else 1.0
            outliers.observe("g", f"u{number}", ratio, now_s=0.0)
    assert len(outliers.ejected("g")) == 3
    name = outliers.ejected("g")[0]
    assert outliers.is_ejected("g", name, now_s=EJECTION_S - 0.1)
    assert not outliers.is_ejected("g", name, now_s=EJECTION_S)
    for _ in range(20):
        outliers.observe("g", name, 1.0, now_s=EJECTION_S)
    assert name not in outliers.ejected("g")


def test_hot_prefix_spreads_when_its_engine_is_busy():
    """All requests share a prefix that one engine has cached.

    If they were all sent there regardless of its queue, they would all miss
    their deadlines.
    """
    hints = PrefixHints()
    hints.record("p1", tuple(range(12)), now_s=0.0)
    loads = LoadView(source=lambda name: None)
    placement = Placement(
        rng=Random(1), hints=hints, outliers=OutlierDetector()
    )
    request = work(prompt_tokens=3_200, prefix_keys=tuple(range(12)))
    chosen = []
    for _ in range(6):
        choice = placement.choose(
            request,
            prefills=(engine("p1"), engine("p2")),
            decodes=(engine("d1"),),
            load=loads,
            tokens=3_400,
            now_s=0.0,
        )
        chosen.append(choice.prefill.upstream_id)
        loads.record_reservation(chosen[-1], pieces=0, tokens=1_600, now_s=0.0)
    assert chosen[0] == "p1"
    assert set(chosen) == {"p1", "p2"}


def test_traffic_crosses_regions_only_to_save_time():
    near, far = engine("near"), engine("far", region="r2")
    loads = LoadView(source=lambda name: None)
    placement = Placement(
        rng=Random(1), hints=PrefixHints(), outliers=OutlierDetector()
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
    loads.record_reservation("near", pieces=0, tokens=8_000, now_s=0.0)
    assert chosen() == "far"


def test_weight_on_waste_reserves_more_and_starts_less_late():
    lengths = OutputLengths()
    for tokens in range(10, 200, 10):
        lengths.observe(caller="c", kind=WorkKind.CHAT, tokens=tokens)
    low_waste, high_goodput = (
        Estimates(lengths=lengths, weights=weights)
        for weights in (
            UserWeights(goodput=0.0, wasted_prefill=1.0),
            UserWeights(goodput=1.0, wasted_prefill=0.0),
        )
    )
    request = work(deadline_s=0.15)
    assert low_waste.reserved_tokens(request) > high_goodput.reserved_tokens(
        request
    )
    assert low_waste.would_miss_deadline(
        request, 0.0
    ) and not high_goodput.would_miss_deadline(request, 0.0)
