"""Verdicts on identities that crash upstreams.

Accepted error: a sound part that has never completed is refused if its runs
are lost on three upstreams in crashes that nothing else explains.  If a run is
lost in such a crash with probability ``p``, that is ``p ** 3`` for each part.
"""

import itertools

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from currantdeal.policy.crashes.evidence import Crash
from currantdeal.policy.crashes.identity import (
    IdentityKind,
    part_identity,
)
from currantdeal.policy.crashes.records import SuspectRecord
from currantdeal.policy.crashes.registry import CrashRegistry
from currantdeal.policy.crashes.tests.crash_traffic import (
    Traffic,
    TrafficPlan,
    part,
)

STEPS = 700
MAX_CRASHES = 5
"""Crashes under one culprit by which it must be quarantined."""

MAX_LATE = 3

A, B, C = part("a"), part("b"), part("c")


def _lose(registry, number, *identities, request="", **more):
    """Record a run with some identities that was lost in a crash."""
    crash = Crash(
        upstream=f"u{number}",
        started_ms=1,
        request_id=request or f"r{number}",
        **more,
    )
    registry.merge(
        SuspectRecord(fingerprint=identity, crashes=(crash,))
        for identity in identities
    )


def _lose_each(identities, numbers, **more):
    registry = CrashRegistry()
    for number in numbers:
        _lose(registry, number, b"request-%d" % number, *identities, **more)
    return registry


@settings(max_examples=25, derandomize=True, deadline=None)
@given(
    seed=st.integers(0, 10_000),
    position=st.integers(0, 2),
    partner=st.booleans(),
    crash_after=st.sampled_from([1, 3]),
    culprit_share=st.sampled_from([0.05, 0.15, 0.4]),
    culprits=st.sampled_from([("bad",), ("bad", "worse")]),
)
def test_each_culprit_is_quarantined_by_its_fifth_crash(**drawn):
    """Guards against a part that crashes upstreams without end."""
    result = Traffic(plan=TrafficPlan(**drawn)).play(STEPS)
    assert max(map(len, result.crashes.values())) <= MAX_CRASHES
    assert result.refused == 0


@settings(max_examples=25, derandomize=True, deadline=None)
@given(
    seed=st.integers(0, 10_000),
    when=st.sampled_from([{"crash_after": 12}, {"unseen": 0.2}]),
    culprit_share=st.sampled_from([0.05, 0.15, 0.4]),
    culprits=st.sampled_from([("bad",), ("bad", "worse")]),
)
def test_crashes_in_mid_answer_or_unseen_bound_a_culprit_too(when, **drawn):
    """Guards against a bound that needs every crash to be seen at once."""
    result = Traffic(plan=TrafficPlan(**when, **drawn)).play(STEPS)
    assert max(result.late.values()) <= MAX_LATE


@settings(max_examples=25, derandomize=True, deadline=None)
@given(
    seed=st.integers(0, 10_000),
    culprit_share=st.sampled_from([0.0, 0.15]),
    other_crashes=st.sampled_from([0.003, 0.01]),
    unseen=st.sampled_from([0.0, 0.3]),
)
def test_sound_parts_are_served_beside_other_crashes(**drawn):
    """Guards against a sound part that is refused for others' crashes."""
    result = Traffic(plan=TrafficPlan(**drawn)).play(STEPS)
    assert result.refused <= result.sound / 1_000


def test_part_of_different_requests_is_quarantined():
    """Guards against crashes that are attributed to whole requests only."""
    registry = _lose_each((A,), range(3))
    assert registry.quarantined == {A}


def test_repeated_request_is_quarantined_rather_than_its_parts():
    """Guards against refusing all requests with a part for one of them."""
    registry = CrashRegistry()
    for number in range(3):
        _lose(registry, number, b"request", A)
    assert registry.quarantined == {b"request"}


def test_parts_that_are_always_together_are_refused_together():
    """Guards against refusing a sound part for the one beside it."""
    registry = _lose_each((A, B), range(3))
    assert registry.find_verdict((b"other", A, B)) is not None
    assert registry.find_verdict((b"other", A)) is None
    assert registry.find_verdict((b"other", B)) is None


def test_crash_with_one_of_two_parts_decides_between_them():
    """Guards against a culprit that another part beside it protects."""
    registry = _lose_each((A, B), range(3))
    _lose(registry, 3, b"alone", A)
    assert registry.find_verdict((b"other", A)) is not None
    assert registry.find_verdict((b"other", B)) is None


def test_completion_of_one_of_two_parts_decides_between_them():
    """Guards against a sound part that stays tied to a culprit."""
    registry = _lose_each((A, B), range(3))
    registry.add_completion(B, software="")
    assert registry.find_verdict((b"other", A)) is not None
    assert registry.find_verdict((b"other", B)) is None


def test_tied_parts_of_other_requests_are_refused_at_the_fifth_crash():
    """Guards against two parts that protect each other without limit."""
    registry = CrashRegistry()
    for number in range(5):
        assert not registry.has_verdicts
        _lose(registry, number, A, request=f"a{number}")
        _lose(registry, number, B, request=f"b{number}")
    assert registry.quarantined == {A, B}


def test_sound_part_protects_no_culprit():
    """Guards against a popular part that explains all crashes."""
    registry = CrashRegistry()
    for number in range(3):
        registry.add_crash(
            A,
            Crash(upstream=f"w{number}", started_ms=1, software="v1"),
            sound_on=("v1",),
        )
        _lose(registry, number, b"q%d" % number, A, C, software="v1")
    assert registry.quarantined == {C}


def test_completion_under_other_software_vouches_for_nothing():
    """Guards against a release that crashes under what an older one ran."""
    registry = CrashRegistry()
    registry.add_crash(A, Crash(upstream="u9", started_ms=1), sound_on=("v1",))
    registry.add_completion(A)
    for number in range(3):
        _lose(registry, number, b"q%d" % number, A, software="v2")
    assert registry.quarantined == {A}


def test_sound_part_that_no_longer_completes_is_quarantined():
    """Guards against a part that counts as sound for ever."""
    registry = CrashRegistry()
    _lose(registry, 99, A)
    registry.add_completion(A, software="")
    for number in range(8):
        assert not registry.has_verdicts
        _lose(registry, number, b"q%d" % number, A)
    assert registry.quarantined == {A}


def test_part_of_many_concurrent_requests_counts_for_less():
    """Guards against refusing a part before any request with it completed."""
    registry = CrashRegistry()
    for number in range(3):
        _lose(registry, number, b"q%d" % number, A, C)
        _lose(registry, number, b"s%d" % number, A, request="s", early=False)
    assert registry.quarantined == {C}


def _organisation_part(name):
    digest = name.encode().ljust(16, b"-")
    return part_identity(IdentityKind.ORGANISATION_PART, digest)


def test_part_is_refused_for_the_organisation_under_which_it_crashed():
    """Guards against one organisation that has another's part refused."""
    mine = _organisation_part("a-mill")
    registry = _lose_each((A, mine), range(3))
    assert registry.find_verdict((b"other", A, mine)) is not None
    theirs = _organisation_part("a-bakery")
    assert registry.find_verdict((b"other", A, theirs)) is None


def test_part_that_crashes_under_two_organisations_is_refused_for_all():
    """Guards against three crashes for each organisation."""
    registry = _lose_each((A, _organisation_part("a-mill")), range(3))
    _lose(registry, 3, b"q", A, _organisation_part("a-bakery"))
    assert registry.find_verdict((b"other", A)) is not None


@pytest.mark.parametrize("order", list(itertools.permutations(range(4))))
def test_verdicts_do_not_depend_on_the_order_of_records(order):
    """Guards against entries that disagree on the same part."""
    registry = CrashRegistry()
    for number in order:
        identities = (A, B) if number < 3 else (A,)
        early = number != 2
        _lose(registry, number, b"q%d" % number, *identities, early=early)
    assert registry.quarantined == {A}


def test_flood_of_parts_evicts_no_culprit():
    """Guards against a caller who sends different parts in each request."""
    registry = _lose_each((A,), range(2))
    for number in range(300):
        flood = [part(f"f{number}-{n}") for n in range(16)]
        _lose(registry, 1_000 + number, b"f%d" % number, *flood)
    _lose(registry, 2, b"q2", A)
    assert registry.find_verdict((b"other", A)) is not None
    assert len(registry) <= 1_024 + 512
