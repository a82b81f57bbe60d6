import random
from collections import Counter
from dataclasses import replace

from currantdeal.membership import choose_entries, choose_home
from currantdeal.membership.tests.builders import (
    build_member,
    build_upstream,
)
from currantdeal.ports import MemberStatus


def _two_regions():
    return [build_member(n) for n in range(4)] + [
        build_member(n, region="abuja") for n in range(4, 8)
    ]


def test_home_is_in_the_data_centre_of_the_upstream():
    members = _two_regions()
    home = choose_home(build_upstream(), members)
    assert home in {"i0", "i1", "i2", "i3"}


def test_homes_are_balanced_and_only_those_of_a_lost_instance_move():
    members = _two_regions()
    upstreams = [build_upstream(f"u{n}") for n in range(400)]
    before = {u: choose_home(u, members) for u in upstreams}
    assert min(Counter(before.values()).values()) > 60
    members[2] = replace(members[2], status=MemberStatus.DEAD)
    for upstream, home in before.items():
        after = choose_home(upstream, members)
        assert after == home or home == "i2"
        assert after != "i2"


def test_home_falls_back_to_the_region_and_then_to_any_instance():
    members = _two_regions()
    upstream = build_upstream(data_center="lagos-9")
    assert choose_home(upstream, members) in {"i0", "i1", "i2", "i3"}
    draining = {"i0", "i1", "i2", "i3"}
    assert choose_home(upstream, members, draining) in {
        "i4",
        "i5",
        "i6",
        "i7",
    }
    assert choose_home(upstream, []) is None


def test_entries_are_ordered_by_region_and_load_without_dead_and_draining():
    members = _two_regions()
    members[0] = replace(members[0], load=0.9)
    members[1] = replace(members[1], status=MemberStatus.DEAD)
    members[2] = replace(members[2], draining=True)
    answer = choose_entries(
        members,
        region="lagos",
        draining={"i7"},
        keep_s=5.0,
        rng=random.Random(1),
    )
    found = [entry.address for entry in answer.entries]
    assert found[:2] == ["127.0.0.1:8003", "127.0.0.1:8000"]
    assert set(found[2:]) == {f"127.0.0.1:800{n}" for n in (4, 5, 6)}
    assert answer.keep_s == 5.0


def test_entries_of_equal_load_are_shuffled():
    rng = random.Random(2)
    first = Counter(
        choose_entries(
            _two_regions(),
            region="lagos",
            draining=(),
            keep_s=5.0,
            rng=rng,
        )
        .entries[0]
        .address
        for _ in range(400)
    )
    assert len(first) == 4
    assert min(first.values()) > 60
