from collections import Counter
from random import Random

from currantdeal.policy.load.shared_load import (
    MAX_SUMS_AGE_S,
    SOURCE_TIMEOUT_S,
    EntryLoad,
    LoadSums,
    PoolLoad,
)
from currantdeal.policy.memory.decode_memory import MAX_FILL, DecodeEngineOrder
from currantdeal.policy.retries.retry_detection import RETRY_MAX_FILL

CAPACITY = 30_000
TOKENS = 4_000


def _load(**held):
    return PoolLoad(held=held, unreachable={})


def test_burst_over_many_entries_fills_engines_evenly():
    """Guards against overfull engines when each entry sees its own load only.

    Eighty entries place two streams each on thirty engines, and exchange
    loads after every eight streams, as in a burst of fifty a second.  Without
    sums each entry sees idle engines; the fullest engine then has eleven
    streams, more than fit, and the emptiest has one.
    """
    shared = _place_streams(entries=80, rounds=2, exchange_every=8)
    unshared = _place_streams(entries=80, rounds=2, exchange_every=10**9)
    assert max(shared.values()) <= 7
    assert min(shared.values()) >= 4
    assert max(unshared.values()) > 8


def _place_streams(*, entries, rounds, exchange_every):
    engines = [f"d{number}" for number in range(30)]
    loads = [EntryLoad() for _ in range(entries)]
    sums = LoadSums()
    random = Random(5)
    counts = Counter(dict.fromkeys(engines, 0))
    order = [*range(entries)] * rounds
    for placed, index in enumerate(order, start=1):
        engine_order = DecodeEngineOrder(load=loads[index])
        name = engine_order.order(
            engines,
            tokens=TOKENS,
            capacity=CAPACITY * 10,
            distance=lambda upstream: 0,
            random=random,
            now_s=0.0,
        )[0]
        loads[index].add(name, TOKENS)
        counts[name] += 1
        if placed % exchange_every == 0:
            _exchange_loads(loads, sums)
    return counts


def _exchange_loads(loads, sums):
    for number, load in enumerate(loads):
        report = load.report(unreachable=())
        sums.set_entry(number, report, now_s=0.0)
    total = sums.total(now_s=0.0)
    for load in loads:
        load.update_sums(total, now_s=0.0)


def test_own_placements_count_before_the_next_report():
    """Guards against ignoring a burst that the entry itself just placed."""
    load = EntryLoad()
    load.report(unreachable=())
    load.update_sums(_load(d1=8_000), now_s=0.0)
    load.add("d1", TOKENS)
    assert load.tokens("d1", now_s=0.1) == 12_000
    load.report(unreachable=())
    load.update_sums(_load(d1=12_000), now_s=0.2)
    assert load.tokens("d1", now_s=0.3) == 12_000


def test_entry_with_stale_sums_falls_back_on_its_own_counts():
    """Guards against placement by stale sums while control is unreachable.

    Engines that have long been idle would be skipped and callers refused
    unnecessarily.
    """
    load = EntryLoad()
    load.add("d1", TOKENS)
    load.report(unreachable=())
    load.update_sums(_load(d1=30_000, d2=30_000), now_s=0.0)
    later_s = MAX_SUMS_AGE_S + 0.1
    assert not load.has_current_sums(now_s=later_s)
    assert load.tokens("d1", now_s=later_s) == TOKENS
    engine_order = DecodeEngineOrder(load=load)
    order = engine_order.order(
        ["d1", "d2"],
        tokens=TOKENS,
        capacity=CAPACITY,
        distance=lambda upstream: 0,
        random=Random(1),
        now_s=later_s,
    )
    assert order == ["d2", "d1"]


def test_engines_filled_by_other_entries_are_not_asked():
    """Guards against requests for memory that other entries have reserved.

    Each refused reservation costs a caller up to 25 ms, and a stream that is
    admitted to a full engine preempts another one.
    """
    load = EntryLoad()
    load.update_sums(_load(d1=30_000, d2=12_000, d3=31_000), now_s=0.0)
    engine_order = DecodeEngineOrder(load=load)
    order = engine_order.order(
        ["d1", "d2", "d3"],
        tokens=5_000,
        capacity=CAPACITY,
        distance=lambda upstream: 0,
        random=Random(1),
        now_s=0.0,
    )
    assert order == ["d2"]


def test_load_of_a_silent_entry_expires():
    sums = LoadSums()
    sums.set_entry("entry-1", _load(d1=TOKENS), now_s=0.0)
    sums.set_entry("entry-2", _load(d1=TOKENS), now_s=SOURCE_TIMEOUT_S)
    assert sums.total(now_s=SOURCE_TIMEOUT_S + 0.1).held == {"d1": TOKENS}
    sums.remove_entry("entry-2")
    assert sums.total(now_s=SOURCE_TIMEOUT_S + 0.1).held == {}


def test_reports_of_one_partitioned_entry_make_no_engine_suspect():
    """Guards against avoiding all engines for one entry without network."""
    sums = LoadSums()
    partitioned = PoolLoad(held={}, unreachable={"d1": 1, "d2": 1})
    sums.set_entry("entry-1", partitioned, now_s=0.0)
    load = EntryLoad()
    load.update_sums(sums.total(now_s=0.0), now_s=0.0)
    assert not load.is_suspect("d1", now_s=0.0)
    other = PoolLoad(held={}, unreachable={"d2": 1})
    sums.set_control("10.0.0.2:7440", other, now_s=0.0)
    load.update_sums(sums.total(now_s=0.0), now_s=0.0)
    assert load.is_suspect("d2", now_s=0.0)
    assert not load.is_suspect("d1", now_s=0.0)


def test_generation_as_large_as_an_engine_goes_to_an_idle_one():
    """Guards against starvation of generations that need a whole engine."""
    load = EntryLoad()
    load.update_sums(_load(d1=4_000), now_s=0.0)
    engine_order = DecodeEngineOrder(load=load)
    for max_fill in (MAX_FILL, RETRY_MAX_FILL):
        order = engine_order.order(
            ["d1", "d2"],
            tokens=CAPACITY,
            capacity=CAPACITY,
            distance=lambda upstream: 0,
            random=Random(1),
            now_s=0.0,
            max_fill=max_fill,
        )
        assert order == ["d2"]
