import itertools
import random

import pytest

from currantdeal.policy.crashes import records as crash_records
from currantdeal.policy.crashes import registry as crash_registry
from currantdeal.policy.crashes.evidence import Crash
from currantdeal.policy.crashes.records import SuspectRecord
from currantdeal.policy.crashes.registry import CrashRegistry

POISON = b"poison"
POPULAR = b"popular"


def _crash(number, **more):
    return Crash(upstream=f"u{number}", started_ms=1, **more)


def _registry(**crashes):
    """Return a registry with numbered crashes for each request."""
    registry = CrashRegistry()
    for name, numbers in crashes.items():
        for number in numbers:
            registry.add_crash(name.encode(), _crash(number))
    return registry


def test_crash_of_a_third_upstream_quarantines_the_request():
    """Guards against a query of death that is retried without limit."""
    registry = _registry(poison=(1, 2))
    assert not registry.is_quarantined(POISON)
    registry.add_crash(POISON, _crash(3))
    assert registry.is_quarantined(POISON)


def test_one_crash_counts_once():
    """Guards against counting one crash for each lost run of a request."""
    registry = _registry(poison=(1, 1, 1, 1))
    assert not registry.is_quarantined(POISON)
    assert len(registry.crashes(POISON)) == 1


def test_incarnations_of_an_upstream_count_separately():
    """Guards against missed crashes of a process restarted under its name."""
    registry = CrashRegistry()
    for start in range(3):
        registry.add_crash(POISON, Crash(upstream="u1", started_ms=start))
    assert registry.is_quarantined(POISON)


def test_completion_clears_earlier_crashes():
    """Guards against quarantine of a frequent request that crashes nothing.

    It is in progress at each crash because it is in progress everywhere.
    """
    registry = _registry(popular=(1, 2))
    registry.add_completion(POPULAR)
    registry.add_crash(POPULAR, _crash(3))
    assert not registry.is_quarantined(POPULAR)
    assert not registry.is_suspect(b"other")


def test_cleared_crash_does_not_count_again_from_another_registry():
    """Guards against stale records of an entry after a network partition."""
    stale = _registry(popular=(1, 2, 3))
    registry = _registry(popular=(1, 2))
    registry.merge(stale.records)
    registry.add_completion(POPULAR)
    assert registry.merge(stale.records) == ()
    assert not registry.is_quarantined(POPULAR)


def test_request_that_only_shares_crashes_of_a_culprit_is_not_quarantined():
    """Guards against refusing a bystander of three crashes."""
    registry = _registry(poison=(1, 2, 3, 4), other=(1, 2, 3))
    assert registry.quarantined == {POISON}


def test_requests_with_the_same_crashes_await_a_further_crash():
    """Guards against refusing a bystander before the culprit is identified."""
    registry = _registry(poison=(1, 2, 3), other=(1, 2, 3))
    assert registry.quarantined == frozenset()
    registry.add_crash(POISON, _crash(4))
    assert registry.quarantined == {POISON}


def test_requests_with_the_same_five_crashes_are_both_quarantined():
    """Guards against two culprits that protect each other without limit."""
    registry = _registry(poison=range(5), other=range(5))
    assert registry.quarantined == {POISON, b"other"}


def test_two_culprits_with_crashes_of_their_own_are_both_quarantined():
    """Guards against a culprit that a second one with more crashes masks."""
    registry = _registry(poison=range(8), other=(0, 11, 12, 13))
    assert registry.quarantined == {POISON, b"other"}


def test_crash_after_output_counts_less():
    """Guards against refusing a long stream that three engines failed under.

    Engines also end for other reasons during a long stream.
    """
    registry = CrashRegistry()
    for number in range(8):
        registry.add_crash(POISON, _crash(number, early=False))
    assert not registry.is_quarantined(POISON)
    registry.add_crash(POISON, _crash(8, early=False))
    assert registry.is_quarantined(POISON)


def _registry_of_versions(*versions):
    """Return a registry with three crashes of each version of the software."""
    registry = CrashRegistry()
    for version, part in itertools.product(versions, range(3)):
        crash = Crash(
            upstream=f"{version}-{part}", started_ms=1, software=version
        )
        registry.add_crash(POISON, crash)
    return registry


def test_upgrade_of_all_upstreams_allows_another_run():
    """Guards against refusing a request after its fault was fixed."""
    registry = _registry_of_versions("v1")
    assert not registry.may_run(POISON, {"v1"})
    assert not registry.may_run(POISON, {"v1", "v2"})
    assert registry.may_run(POISON, {"v2"})


def test_crash_of_a_second_release_makes_the_quarantine_permanent():
    """Guards against losing further upstreams after every release."""
    registry = _registry_of_versions("v1")
    crash = Crash(upstream="u9", started_ms=1, software="v2")
    registry.add_crash(POISON, crash)
    assert not registry.may_run(POISON, {"v2"})
    assert not registry.may_run(POISON, {"v3"})


def test_unknown_software_allows_no_further_run():
    """Guards against treating a missing version as another release."""
    registry = _registry_of_versions("")
    assert not registry.may_run(POISON, {""})
    assert not registry.may_run(POISON, set())


def test_score_leaves_out_one_incarnation():
    registry = _registry(poison=(1, 2))
    crash = _crash(2)
    assert registry.score(POISON) == 2 * crash_registry.EARLY_WEIGHT
    only = registry.score(POISON, without=crash.incarnation)
    assert only == crash_registry.EARLY_WEIGHT


def test_many_suspects_do_not_evict_a_quarantined_request(monkeypatch):
    """Guards against eviction when many different requests fill the table."""
    monkeypatch.setattr(crash_registry, "MAX_SUSPECTS", 50)
    registry = _registry(poison=(1, 2, 3))
    for number in range(500):
        registry.add_crash(b"flood-%d" % number, _crash(1_000 + number))
    assert len(registry) == 51
    assert registry.is_quarantined(POISON)


def test_many_culprits_keep_the_table_bounded(monkeypatch):
    """Guards against memory that grows with the number of culprits."""
    monkeypatch.setattr(crash_registry, "MAX_SUSPECTS", 10)
    monkeypatch.setattr(crash_registry, "MAX_QUARANTINED", 20)
    registry = CrashRegistry()
    for number, part in itertools.product(range(60), range(3)):
        name = b"culprit-%d" % number
        registry.add_crash(name, _crash(10 * number + part))
    assert len(registry) == 20
    assert registry.is_quarantined(b"culprit-59")
    assert not registry.is_quarantined(b"culprit-0")


def test_bounded_cleared_crashes_converge(monkeypatch):
    """Guards against two registries that exchange the same records for ever.

    A crash that one registry has dropped must not return from the other one.
    """
    monkeypatch.setattr(crash_records, "MAX_CRASHES", 4)
    one, two = CrashRegistry(), CrashRegistry()
    for number in range(12):
        registry = (one, two)[number % 2]
        crash = Crash(upstream="u1", started_ms=number)
        registry.add_crash(POPULAR, crash)
        registry.add_completion(POPULAR)
    for _ in range(2):
        one.merge(two.records)
        two.merge(one.records)
    assert one.merge(two.records) == ()
    assert two.merge(one.records) == ()
    (record,) = one.records
    assert len(record.cleared) == 4


@pytest.mark.parametrize("seed", range(20))
def test_registries_converge_for_any_order_of_records(seed):
    """Guards against entries that disagree on the same request."""
    rng = random.Random(seed)
    names = [b"a", b"b", b"c"]
    records = [
        SuspectRecord(
            fingerprint=rng.choice(names),
            **{
                rng.choice(("crashes", "crashes", "cleared")): (
                    _crash(rng.randrange(6), early=rng.random() < 0.7),
                )
            },
        )
        for _ in range(40)
    ]
    registries = []
    for _ in range(3):
        order = records + rng.sample(records, 10)
        rng.shuffle(order)
        registry = CrashRegistry()
        for record in order:
            registry.merge((record,))
        registries.append(registry)
    scores = [
        [registry.score(name) for name in names] for registry in registries
    ]
    assert scores[0] == scores[1] == scores[2]
    assert len({registry.quarantined for registry in registries}) == 1
