"""Load pattern: hot spot in one data centre, decided by lagged sums."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from currantdeal.policy.load.rates import DecayingRate
from currantdeal.policy.load.shared_load import EntryLoad
from currantdeal.policy.memory.decode_memory import DecodeEngineOrder
from currantdeal.policy.placement.distance import (
    MAX_SAMPLE_AGE_S,
    DistanceCosts,
    DistanceSettings,
    KvTransfer,
    LeaveGate,
    Proximity,
    expected_unreported,
)
from currantdeal.policy.placement.prefill_choice import estimate_prefill

PROMPT = 3_000
S_PER_TOKEN = 3e-5
PROMPT_S = PROMPT * S_PER_TOKEN
WAY_S = 0.06
STEP_S = 0.05
SUMS_STEPS = 6  # sums are up to 0.3 s old
ENTRIES = 20
ENGINES = {"a": ("a1", "a2", "a3"), "b": ("b1", "b2", "b3")}
CAPACITY = 3 * STEP_S / PROMPT_S  # prompts a step that a data centre prefills


class _Day:
    """Prompts placed by the entries of two data centres."""

    def __init__(self, *, leaves, seed=1, engines=None):
        self.engines = engines or ENGINES
        self.backlog = {n: 0.0 for g in self.engines.values() for n in g}
        self.sums = dict(self.backlog)
        self.leaves = leaves
        self.cost_s = 0.0
        self.loss_s = 0.0
        self.count = 0
        self.left = {"a": [], "b": []}
        self._rng = Random(seed)
        self._arrivals = Random(seed)
        self._own = {}
        self._gates = {}
        self._rates = {}

    def run(self, demand):
        """Place ``demand``, pairs of prompts from a and from b by step."""
        for step, pair in enumerate(demand):
            if step % SUMS_STEPS == 0:
                self.sums = dict(self.backlog)
                self._own = {}
            for home, count in zip("ab", pair, strict=True):
                self._place_all(home, count, step)
            for name in self.backlog:
                drained = STEP_S / S_PER_TOKEN
                self.backlog[name] = max(0.0, self.backlog[name] - drained)
        return self

    def _place_all(self, home, count, step):
        whole = int(count) + (self._arrivals.random() < count % 1.0)
        for _ in range(whole):
            entry = (home, self._rng.randrange(ENTRIES))
            names = self._order(entry, home, step * STEP_S)
            name = names[0]
            self.cost_s += self._cost_s(name, home)
            self.count += 1
            if name[0] != home:
                self.left[home].append(step)
                staying = [n for n in names if n[0] == home]
                if staying:
                    self.loss_s += self._cost_s(name, home)
                    self.loss_s -= self._cost_s(staying[0], home)
            self.backlog[name] += PROMPT

    def _cost_s(self, name, home):
        wait_s = (self.backlog[name] + PROMPT) * S_PER_TOKEN
        return wait_s + WAY_S * (name[0] != home)

    def _order(self, entry, home, now_s):
        own = self._own.setdefault(entry, dict.fromkeys(self.backlog, 0))
        gate = self._gates.setdefault(entry, LeaveGate(random=self._rng))
        rate = self._rates.setdefault(entry, DecayingRate())
        told = 0.1 * sum(self.sums.values()) / PROMPT
        expected = expected_unreported(rate.per_s(now_s=now_s), 2 * ENTRIES)
        rate.add(1, now_s=now_s)
        names = self.backlog if self.leaves else self.engines[home]
        found = estimate_prefill(
            names,
            tokens=PROMPT,
            backlog=lambda name: self.sums[name] + own[name],
            distance=lambda name: WAY_S * (name[0] != home),
            is_suspect=lambda name: False,
            random=self._rng,
            s_per_token=S_PER_TOKEN,
            unreported=max(told, expected),
            may_leave=lambda here, away, **more: gate.may_leave(
                "p", here, away, error_s=0.01, **more
            ),
        )
        own[found[0].upstream] += PROMPT
        return [estimate.upstream for estimate in found]


def _compare(demand, seed=1):
    """Return days with and without leaving."""
    return (
        _Day(leaves=True, seed=seed).run(demand),
        _Day(leaves=False, seed=seed).run(demand),
    )


@pytest.mark.parametrize("seed", range(3))
def test_overload_of_one_data_centre_is_shared(seed):
    """Guards against queues in one data centre while another is idle."""
    left, stayed = _compare([(1.6 * CAPACITY, 0.2 * CAPACITY)] * 80, seed=seed)
    assert left.cost_s < 0.5 * stayed.cost_s
    assert len(left.left["b"]) < 0.02 * left.count
    # 1.6 and 0.2 even out at 0.9, so under half of the prompts must leave.
    assert len(left.left["a"]) < 0.5 * left.count


@pytest.mark.parametrize("seed", range(3))
def test_nobody_gains_by_leaving_when_all_are_overloaded(seed):
    """Guards against bytes paid for in vain in an overload everywhere."""
    demand = [(1.3 * CAPACITY, 1.3 * CAPACITY)] * 60
    left, _ = _compare(demand, seed=seed)
    assert len(left.left["a"]) + len(left.left["b"]) < 0.1 * left.count


@pytest.mark.parametrize("seed", range(3))
def test_travelling_wave_is_followed_without_ping_pong(seed):
    """Guards against data centres that send each other their requests."""
    high, low = 1.5 * CAPACITY, 0.2 * CAPACITY
    demand = [(high, low)] * 40 + [(low, high)] * 40
    left, stayed = _compare(demand, seed=seed)
    assert left.cost_s < stayed.cost_s
    both = {step // SUMS_STEPS for step in left.left["a"]} & {
        step // SUMS_STEPS for step in left.left["b"]
    }
    assert len(both) <= 1


def test_quiet_data_centres_keep_their_requests():
    """Guards against traffic between data centres at rest."""
    left, _ = _compare([(0.4 * CAPACITY, 0.4 * CAPACITY)] * 80)
    assert len(left.left["a"]) + len(left.left["b"]) < 0.02 * left.count


def test_data_centre_without_engines_is_served_elsewhere():
    """Guards against refusals where the own data centre has no engines."""
    engines = {"a": (), "b": ENGINES["b"]}
    day = _Day(leaves=True, engines=engines).run([(0.5 * CAPACITY, 0)] * 20)
    assert day.count == len(day.left["a"]) > 0


def _check_losses(levels, seed):
    """Check that leaving cost no more than staying, but for the error.

    Each request that left is compared with the engine here that it would
    have got.  The error of a placement is that of the way, one placement, and
    what engines drain and entries place before the sums tell of it.
    """
    demand = [
        (a * CAPACITY, b * CAPACITY) for a, b in levels for _ in range(12)
    ]
    day = _Day(leaves=True, seed=seed).run(demand)
    load = max(max(pair) for pair in levels)
    error_s = 0.01 + PROMPT_S + SUMS_STEPS * STEP_S * (1.0 + load)
    assert day.loss_s <= error_s * len(day.left["a"] + day.left["b"])


@settings(max_examples=40, deadline=None, derandomize=True)
@given(
    levels=st.lists(
        st.tuples(st.floats(0.0, 2.0), st.floats(0.0, 2.0)),
        min_size=1,
        max_size=6,
    ),
    seed=st.integers(0, 99),
)
def test_leaving_never_costs_more_than_staying_beyond_the_error(levels, seed):
    """Guards against leaving that pays for no caller."""
    _check_losses(levels, seed)


def test_leaving_pays_when_both_data_centres_are_overloaded_at_once():
    """Guards against requests that leave together before the sums tell."""
    _check_losses([(1.25, 1.75)], 14)


def _costs(**options):
    def proximity(first, second):
        if first == second:
            return Proximity.DATA_CENTER
        same = first[0] == second[0]
        return Proximity.REGION if same else Proximity.ELSEWHERE

    return DistanceCosts(home="a1", proximity=proximity, **options)


def test_link_that_turns_slow_is_known_after_three_exchanges():
    """Guards against a link that keeps the cost of its better days."""
    costs = _costs()
    for number in range(5):
        costs.record_round_trip("b1", 0.025, now_s=float(number))
    before = costs.seconds("a1", "b1", trips=1, now_s=5.0)
    for number in range(3):
        costs.record_round_trip("b1", 0.4, now_s=5.0 + number)
    slow = costs.seconds("a1", "b1", trips=1, now_s=8.0)
    assert before == pytest.approx(0.024)
    assert slow > 0.39
    costs.record_round_trip("b1", 0.025, now_s=9.0)
    assert costs.seconds("a1", "b1", trips=1, now_s=9.0) == before


def test_slow_link_is_tried_again_later():
    """Guards against a measurement that nothing ever replaces."""
    costs = _costs()
    for _ in range(3):
        costs.record_round_trip("b1", 0.4, now_s=0.0)
    later_s = MAX_SAMPLE_AGE_S + 1.0
    found = costs.round_trip("b1", now_s=later_s)
    assert (found.seconds, found.error_s, found.age_s) == (0.025, 0.025, None)


def test_one_slow_engine_does_not_lengthen_the_way():
    """Guards against avoiding a data centre for an engine that is busy."""
    costs = _costs()
    for took_s in (0.026, 0.3, 0.2):
        costs.record_round_trip("b1", took_s, now_s=0.0)
    assert costs.round_trip("b1", now_s=0.0).seconds == 0.026


def test_price_counts_the_bytes_between_data_centres_only():
    kv = KvTransfer(size_bytes=1e8, seconds=(0.001, 0.002, 0.01))
    free = _costs()
    priced = _costs(settings=DistanceSettings(wait_s_per_gb=(1.0, 2.0)))
    ways = {
        other: [
            costs.seconds("a1", other, trips=1, now_s=0.0, kv=kv)
            for costs in (free, priced)
        ]
        for other in ("a1", "a2", "b1")
    }
    assert ways["a1"] == [0.0, 0.0]
    assert ways["a2"] == pytest.approx([0.002, 0.102])
    assert ways["b1"] == pytest.approx([0.033, 0.233])


def test_price_keeps_memory_reservations_at_home():
    """Guards against a price that operators name and no choice heeds."""
    load = EntryLoad()
    load.add("here", 9_000)
    order = DecodeEngineOrder(load=load).order

    def first(price):
        costs = _costs(settings=DistanceSettings(wait_s_per_gb=(price, price)))
        places = {"here": "a1", "away": "b1"}
        return order(
            places,
            tokens=3_000,
            capacity=30_000,
            distance=lambda name: costs.seconds(
                "a1", places[name], trips=1, now_s=0.0, size_bytes=1e8
            ),
            full_wait_s=0.6,
            random=Random(1),
            now_s=0.0,
        )[0]

    assert (first(0.0), first(3.0)) == ("away", "here")


def test_leaving_goes_on_until_there_is_no_gain():
    """Guards against entries that start and stop with each sum."""
    gate = LeaveGate(random=Random(1))

    def share(gain_s):
        return gate.share(
            "p", [0.3 + gain_s], [0.3], unit_s=0.1, unreported=0, error_s=0.03
        )

    assert share(0.02) == 0.0
    assert share(0.12) == 0.0
    assert share(0.14) > 0.0
    assert share(0.02) > 0.0
    assert share(0.0) == 0.0
    assert share(0.02) == 0.0


def test_together_entries_send_no_more_than_evens_the_load():
    """Guards against a thundering herd on the idle data centre.

    Forty placements are made before the sums tell of any.
    """
    gate = LeaveGate(random=Random(1))
    here, away = [0.8] * 4, [0.2] * 4
    share = gate.share("p", here, away, unit_s=0.1, unreported=80.0)
    assert 40 * share == pytest.approx(12.0, rel=0.01)
