import shutil
import time

import pytest

from currantdeal.adapters.replication import compaction
from currantdeal.adapters.replication.tests.builders import (
    LIMIT_S,
    Cluster,
    announce,
    claim,
    selector,
    wait_until,
    withdraw,
)
from currantdeal.core import StateUnavailableError
from currantdeal.state import (
    Applied,
    ClaimExists,
    ClaimGranted,
    Conflict,
)


@pytest.fixture
def cluster(tmp_path):
    found = Cluster(tmp_path)
    yield found
    found.close()


def propose(cluster, name, command):
    return cluster.port(name).propose(command, timeout_s=LIMIT_S)


def _versions_until(view, version):
    seen = []
    wait_until(lambda: seen.append(view().version) or seen[-1] >= version)
    return seen


def test_change_is_seen_at_once_here_and_soon_everywhere(cluster):
    result = propose(cluster, "i4", selector("all"))
    assert "all" in cluster.port("i4").view().selectors
    cluster.port("i4").wait_in_force(result.version, timeout_s=LIMIT_S)
    for service in cluster.services.values():
        assert "all" in service.port.view().selectors
    progress = cluster.port("i4").progress()
    assert {item.instance for item in progress} == set(cluster.services)


def test_racing_operators_one_wins_and_resend_gets_first_answer(cluster):
    """Two operators change one selector under the same version.

    The winner's answer is lost, so it sends again.  Without the check one
    change would vanish silently, and the winner would be told that it lost.
    """
    first = selector("all", expression="tier=gold")
    won = propose(cluster, "i1", first)
    lost = propose(cluster, "i2", selector("all", expression="tier=tin"))
    assert isinstance(won, Applied)
    assert isinstance(lost, Conflict)
    assert propose(cluster, "i4", first) == won


def test_claim_is_granted_once_through_loss_of_the_leader(cluster):
    """The leader dies right after a booking was claimed.

    The caller resends through another instance.  A second grant would send two
    engineers to one auditorium.
    """
    granted = propose(cluster, "i4", claim("hall-7", request_id="first"))
    assert isinstance(granted, ClaimGranted)
    cluster.kill(cluster.wait_for_leader())
    again = propose(cluster, "i4", claim("hall-7", request_id="second"))
    assert isinstance(again, ClaimExists)
    assert again.claim.token == granted.token


def test_clock_far_ahead_makes_no_claim_expire(cluster):
    """An instance's clock is two days ahead when it claims a call.

    Were its time taken, every claim would count as older than its retention,
    and an order that is sent again would run a second time.
    """
    propose(cluster, "i4", claim("cake"))
    ahead_s = time.time() + 2 * 86_400.0
    propose(cluster, "i2", claim("other", wall_s=ahead_s))
    again = propose(cluster, "i4", claim("cake"))
    assert isinstance(again, ClaimExists)


def test_cut_off_instance_loses_its_lease_before_a_withdrawal_counts(cluster):
    """An instance is cut off silently and an upstream is withdrawn.

    Without a lease it would go on sending orders to the withdrawn upstream for
    as long as the cut lasts.
    """
    propose(cluster, "i1", announce("shop-1"))
    wait_until(lambda: "shop-1" in cluster.port("i4").view().upstreams)
    cluster.isolate("i4")
    result = propose(cluster, "i1", withdraw("shop-1"))
    cluster.port("i1").wait_in_force(result.version, timeout_s=LIMIT_S)
    assert cluster.port("i4").lease_remaining_s() == 0.0
    assert not cluster.port("i4").view().upstreams["shop-1"].withdrawn
    cluster.heal()
    cluster.wait_for_leases()
    assert cluster.port("i4").view().upstreams["shop-1"].withdrawn


def test_isolated_leader_grants_nothing_and_loses_nothing(cluster):
    """The leader is cut off silently and does not know it.

    If it went on
    granting leases or accepting changes, two halves of the system would
    follow different selectors, and one half's changes would be lost.
    """
    propose(cluster, "i1", selector("before"))
    cluster.wait_for_leases()
    old = cluster.wait_for_leader()
    cluster.isolate(old)
    other = next(n for n in cluster.replicas if n != old)
    result = propose(cluster, other, selector("during"))
    cluster.port(other).wait_in_force(result.version, timeout_s=LIMIT_S)
    assert cluster.port(old).lease_remaining_s() == 0.0
    cluster.heal()
    wait_until(lambda: "during" in cluster.port(old).view().selectors)


def test_silent_leader_does_not_use_up_the_proposers_time(cluster):
    """The leader's path goes silent, and an operator withdraws an upstream.

    Waiting for the silent leader to the end would refuse the withdrawal,
    although another replica leads long before.
    """
    propose(cluster, "i4", announce("shop-1"))
    cluster.silence(cluster.wait_for_leader())
    assert isinstance(propose(cluster, "i4", withdraw("shop-1")), Applied)


def test_replica_that_lost_its_disk_learns_before_it_counts(cluster):
    """A replica's disk is lost and replaced by an empty one.

    A second replica is lost right after the repair.  Had the first one voted
    before it learned, an accepted change could be gone; had it never been
    counted again, the system would stand still.
    """
    propose(cluster, "i4", selector("kept"))
    leader = cluster.wait_for_leader()
    broken, other = (n for n in cluster.replicas if n != leader)
    cluster.kill(broken)
    shutil.rmtree(cluster.folder(broken))
    cluster.start(broken)

    def is_voter_again():
        status = cluster.services[broken].replica.status()
        return not status.blank and (
            broken in status.configuration.voter_names
        )

    wait_until(is_voter_again)
    cluster.kill(other)
    propose(cluster, "i4", selector("after"))
    wait_until(lambda: "after" in cluster.port(broken).view().selectors)
    assert "kept" in cluster.port(broken).view().selectors


def test_replica_that_gave_way_joins_again_when_it_is_back(tmp_path):
    """A replica is cut off for so long that one that stood by replaces it.

    When the path is whole again it takes itself for a voter, and hears from
    nobody: it would stay behind until somebody restarts it, and the next
    loss would find nobody who stands by.
    """
    cluster = Cluster(tmp_path, replicas=4, others=0, first_set=3)
    try:
        leader = cluster.wait_for_leader()
        away = next(n for n in cluster.replicas[:3] if n != leader)

        def members():
            return cluster.services[leader].replica.status().configuration

        wait_until(lambda: members().learner_names == ("i4",))
        cluster.isolate(away)
        wait_until(lambda: "i4" in members().voter_names)
        assert away not in members().voter_names
        cluster.heal()
        wait_until(lambda: members().learner_names == (away,))
        propose(cluster, leader, selector("after"))
        wait_until(lambda: "after" in cluster.port(away).view().selectors)
    finally:
        cluster.close()


def test_replica_whose_disk_fails_acknowledges_nothing(cluster):
    """One replica is down and a second one's disk fails.

    Were the second one's answers counted, a change would be accepted that
    only one disk holds, and the loss of that one would undo it.
    """
    leader = cluster.wait_for_leader()
    down, failing = (n for n in cluster.replicas if n != leader)
    cluster.wait_for_leases()
    cluster.kill(down)
    cluster.failing_disks.add(failing)
    with pytest.raises(StateUnavailableError) as caught:
        cluster.port("i4").propose(selector("lost"), timeout_s=1.5)
    assert caught.value.proposed
    cluster.start(down)
    assert isinstance(propose(cluster, "i4", selector("kept")), Applied)
    assert failing not in (cluster.leader(), None)


def test_restart_after_many_changes_never_shows_an_older_version(
    cluster, monkeypatch
):
    """Instances restart after changes that are only in a snapshot any more.

    Showing what its disk held would bring
    a withdrawn upstream back to work for a moment.
    """
    monkeypatch.setattr(compaction, "COMPACT_ENTRIES", 40)
    monkeypatch.setattr(compaction, "KEEP_ENTRIES", 5)
    leader = cluster.wait_for_leader()
    away = next(n for n in cluster.replicas if n != leader)
    cluster.wait_for_leases()
    cluster.kill(away)
    cluster.kill("i4")
    for number in range(120):
        last = propose(cluster, leader, selector(f"s{number}"))
    cluster.start(away)
    cluster.start("i4")
    for name in (away, "i4"):
        versions = _versions_until(cluster.port(name).view, last.version)
        assert set(versions) <= {0, *range(last.version, versions[-1] + 1)}
        assert len(cluster.port(name).view().selectors) == 120


def test_whole_cluster_restarts_from_its_disks(cluster):
    """The power fails in every data center at once.

    Everything that was accepted has to be there afterwards.
    """
    for number in range(5):
        propose(cluster, "i4", selector(f"s{number}"))
    for name in list(cluster.services):
        cluster.kill(name)
    for name in ("i1", "i2", "i3", "i4"):
        cluster.start(name)
    cluster.wait_for_leases()
    assert len(cluster.port("i4").view().selectors) == 5


def test_leadership_is_handed_over(cluster):
    leader = cluster.wait_for_leader()
    propose(cluster, "i4", selector("all"))
    assert cluster.services[leader].hand_over(timeout_s=LIMIT_S)
    wait_until(lambda: cluster.leader() not in (None, leader))
    assert isinstance(propose(cluster, leader, selector("more")), Applied)
