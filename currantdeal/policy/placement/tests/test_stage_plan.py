from currantdeal.policy.load.demand import (
    BusyEngines,
    Demand,
    DemandMeter,
    busy_engines,
)
from currantdeal.policy.placement.stage_plan import plan_stages, prefill_count
from currantdeal.registry import Stage
from currantdeal.registry.tests.builders import an_upstream


def _engines(prefill, decode):
    stages = [Stage.PREFILL] * prefill + [Stage.DECODE] * decode
    return [
        an_upstream(upstream=f"e{n}", address=f"e{n}:1", stage=stage)
        for n, stage in enumerate(stages)
    ]


def test_split_that_fits_the_demand_is_kept():
    busy = BusyEngines(prefill=0.95, decode=2.4)
    assert plan_stages(_engines(2, 4), busy=busy) == ()


def test_lost_decode_engines_are_replaced():
    """Guards against refusals for lack of memory while prefill engines idle.

    Two of four decode engines leave, and two prefill engines remain.
    """
    busy = BusyEngines(prefill=0.5, decode=2.6)
    (change,) = plan_stages(_engines(2, 2), busy=busy)
    assert change.stage is Stage.DECODE


def test_lost_prefill_engine_is_replaced():
    """Guards against a pool that cannot prefill after its only engine crashed.

    The crashed engine does not come back.
    """
    busy = BusyEngines(prefill=0.5, decode=1.5)
    (change,) = plan_stages(_engines(0, 4), busy=busy)
    assert change.stage is Stage.PREFILL


def test_burst_of_long_prompts_moves_engines_to_prefill():
    busy = BusyEngines(prefill=4.0, decode=2.0)
    changes = plan_stages(_engines(2, 10), busy=busy)
    assert {change.stage for change in changes} == {Stage.PREFILL}
    assert len(changes) >= 3


def test_both_stages_keep_an_engine():
    assert prefill_count(2, busy=BusyEngines(prefill=9.0, decode=0.1)) == 1
    assert prefill_count(2, busy=BusyEngines(prefill=0.0, decode=9.0)) == 1
    assert prefill_count(1) == 0


def test_plan_does_not_depend_on_the_order_of_records():
    """Guards against more changing engines after a leader election.

    A new leader that takes over during a change must choose the same engines.
    """
    engines = _engines(5, 4)
    assert plan_stages(engines) == plan_stages(list(reversed(engines)))


def test_refused_generations_count_as_demand():
    """Guards against underestimating the load of a pool that refuses callers.

    It refuses half of them; by those that ran it would seem half as loaded.
    """
    all_ran = Demand(offered=20, ended=20, memory_token_s=8e4)
    half_ran = Demand(offered=40, ended=20, memory_token_s=8e4)
    without_refusals = busy_engines(all_ran, window_s=10.0, kv_tokens=10_000)
    with_refusals = busy_engines(half_ran, window_s=10.0, kv_tokens=10_000)
    assert with_refusals.decode == 2 * without_refusals.decode


def test_time_in_queues_does_not_count_as_prefill_time():
    """Guards against taking engines from decoding in the middle of a burst.

    Each of forty entries has sent a prompt or two, and only one entry met an
    idle prefill engine.  If each entry used its own fastest prefill, time in
    queues would count as demand.
    """
    total = Demand()
    for number in range(40):
        meter = DemandMeter()
        meter.record_offered()
        meter.record_prefill(3_000, 0.1 if number == 7 else 0.25)
        meter.record_completed(4_000, 3.0)
        total += meter.collect()
    busy = busy_engines(total, window_s=10.0, kv_tokens=30_000)
    assert round(busy.prefill, 2) == 0.4


def test_prompts_of_refused_callers_do_not_keep_engines_on_prefill():
    """Guards against idle prefill engines while decode engines refuse callers.

    Two of four decode engines leave a pool of six in a burst.  The remaining
    two are full, and nearly half of the callers are refused before their
    prompt is prefilled.  Two prefill engines are busy for a third of the time
    each, so one of them is of more use as a decode engine.
    """
    meter = DemandMeter()
    for _ in range(180):
        meter.record_offered()
    for _ in range(90):
        meter.record_prefill(3_200, 0.11)
        meter.record_completed(3_800, 3.0)
    demand = meter.collect()
    busy = busy_engines(demand, window_s=15.0, kv_tokens=40_000)
    (change,) = plan_stages(_engines(2, 2), busy=busy)
    assert change.stage is Stage.DECODE
    assert plan_stages(_engines(1, 3), busy=busy) == ()


def test_pool_that_shrinks_before_demand_is_measured_is_split_anew():
    """Guards against keeping the old split when no demand is known.

    Two decode engines of a pool of six leave before streams have ended.
    """
    (change,) = plan_stages(_engines(2, 2))
    assert change.stage is Stage.DECODE


def test_queue_of_prompts_moves_an_engine_to_prefill():
    """Guards against a bottleneck at the only prefill engine of five.

    It is busy all the time.
    """
    busy = BusyEngines(prefill=0.98, decode=1.6)
    (change,) = plan_stages(_engines(1, 4), busy=busy)
    assert change.stage is Stage.PREFILL


def test_short_burst_of_prompts_takes_no_decode_engine():
    """Guards against a change of stage that takes longer than the burst.

    The only prefill engine of five is busy for a burst of five seconds.  A
    decode engine has to drain its streams before it changes; for ten seconds
    and more, the other three would refuse callers.
    """
    busy = BusyEngines(prefill=0.8, decode=1.9)
    assert plan_stages(_engines(1, 4), busy=busy) == ()


def test_engine_with_the_least_load_is_changed():
    """Guards against a change that waits for the longest stream of an engine.

    A full decode engine is unavailable for that long.
    """
    held = {"e0": 9_000, "e1": 30_000, "e2": 4_000, "e3": 30_000}
    engines = _engines(0, 4)
    (change,) = plan_stages(engines, held=held)
    assert change.upstream == "e2"


def test_fast_engines_are_added_to_a_short_prefill_stage():
    """Guards against a slow engine that is to relieve a burst of prompts."""
    slowdowns = {"e5": 0.6, "e7": 0.5, "e9": 1.9}
    busy = BusyEngines(prefill=4.0, decode=2.0)
    held = {f"e{n}": n for n in range(12)}
    changes = plan_stages(
        _engines(2, 10), busy=busy, held=held, slowdowns=slowdowns
    )
    chosen = [change.upstream for change in changes]
    assert chosen[:2] == ["e7", "e5"]
    assert "e9" not in chosen


def test_slow_prefill_engines_are_the_first_to_decode():
    busy = BusyEngines(prefill=0.4, decode=6.0)
    slowdowns = {"e2": 2.5, "e0": 0.8}
    changes = plan_stages(_engines(4, 4), busy=busy, slowdowns=slowdowns)
    assert changes[0].upstream == "e2"
    assert "e0" not in {change.upstream for change in changes}


def test_slow_prefill_engines_count_as_parts_of_usual_ones():
    """Guards against a stage that is short though it has enough engines."""
    busy = BusyEngines(prefill=2.0, decode=6.0)
    even = _engines(3, 9)
    slow = dict.fromkeys(("e0", "e1", "e2"), 3.0)
    assert plan_stages(even, busy=busy) == ()
    changes = plan_stages(even, busy=busy, slowdowns=slow)
    assert {change.stage for change in changes} == {Stage.PREFILL}
