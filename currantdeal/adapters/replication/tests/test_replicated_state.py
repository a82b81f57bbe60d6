import shutil
import threading
import time
from pathlib import Path

import pytest

from currantdeal.adapters.replication import compaction
from currantdeal.adapters.replication.joiner import Joiner
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


def test_replicas_of_a_started_cluster_can_all_vote(tmp_path, monkeypatch):
    """Guards against tests that lose a quorum with one replica."""
    start = Joiner.start

    def start_late(joiner):
        late_s = 2.0 if joiner._replica.instance == "i3" else 0.0
        threading.Timer(late_s, start, [joiner]).start()

    monkeypatch.setattr(Joiner, "start", start_late)
    cluster = Cluster(tmp_path)
    propose(cluster, "i4", selector("before"))
    cluster.make_unresponsive(cluster.wait_for_leader())
    assert isinstance(propose(cluster, "i4", selector("after")), Applied)
    cluster.close()


def propose(cluster, name, command):
    return cluster.port(name).propose(command, timeout_s=LIMIT_S)


def _versions_until(view, version):
    seen = []
    wait_until(lambda: seen.append(view().version) or seen[-1] >= version)
    return seen


def test_change_is_visible_to_the_proposer_at_once_and_then_everywhere(
    cluster,
):
    result = propose(cluster, "i4", selector("all"))
    assert "all" in cluster.port("i4").view().selectors
    cluster.port("i4").wait_in_force(result.version, timeout_s=LIMIT_S)
    for service in cluster.services.values():
        assert "all" in service.port.view().selectors
    progress = cluster.port("i4").progress()
    assert {item.instance for item in progress} == set(cluster.services)


def test_one_of_two_concurrent_changes_wins_and_its_retry_succeeds(cluster):
    """Two operators change one selector with the same expected version.

    The answer to the first is lost, so it retries.  Without the version check
    one change would be lost silently; without deduplication the retry would
    report a conflict to the operator whose change was applied.
    """
    first = selector("all", expression="tier=gold")
    won = propose(cluster, "i1", first)
    lost = propose(cluster, "i2", selector("all", expression="tier=tin"))
    assert isinstance(won, Applied)
    assert isinstance(lost, Conflict)
    assert propose(cluster, "i4", first) == won


def test_claim_is_granted_once_through_loss_of_the_leader(cluster):
    """The leader crashes right after a booking was claimed.

    The caller retries through another instance.  A second grant would book
    the call twice and send two engineers to one auditorium.
    """
    granted = propose(cluster, "i4", claim("hall-7", request_id="first"))
    assert isinstance(granted, ClaimGranted)
    cluster.kill(cluster.wait_for_leader())
    again = propose(cluster, "i4", claim("hall-7", request_id="second"))
    assert isinstance(again, ClaimExists)
    assert again.claim.token == granted.token


def test_clock_far_ahead_makes_no_claim_expire(cluster):
    """An instance's clock is two days ahead when it claims a call.

    If its timestamp were used, every claim would be older than the retention
    and expire, and a retried order would run a second time.
    """
    propose(cluster, "i4", claim("cake"))
    ahead_s = time.time() + 2 * 86_400.0
    propose(cluster, "i2", claim("other", wall_s=ahead_s))
    again = propose(cluster, "i4", claim("cake"))
    assert isinstance(again, ClaimExists)


def test_lease_of_partitioned_instance_ends_before_withdrawal_is_in_force(
    cluster,
):
    """An instance is partitioned and an upstream is withdrawn.

    Without leases the instance would route orders to the withdrawn upstream
    for the whole duration of the partition.
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


def test_isolated_leader_grants_no_leases_and_loses_no_changes(cluster):
    """The leader is partitioned and does not detect it.

    If it continued to grant leases or accept changes (split brain), the two
    sides would use different selectors, and the changes of one side would be
    lost.
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


def test_unresponsive_leader_does_not_exhaust_the_proposers_timeout(cluster):
    """The leader becomes unresponsive, and an operator withdraws an upstream.

    If the proposer waited for that leader until its timeout, the withdrawal
    would fail, although another replica is elected long before.
    """
    propose(cluster, "i4", announce("shop-1"))
    cluster.make_unresponsive(cluster.wait_for_leader())
    assert isinstance(propose(cluster, "i4", withdraw("shop-1")), Applied)


def test_replica_that_lost_its_disk_catches_up_before_it_votes(cluster):
    """A replica's disk is lost and replaced by an empty one.

    A second replica is lost right after the repair.  If the first one voted
    before it caught up, a committed change could be lost; if it never became
    a voter again, there would be no quorum.
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


def test_replaced_replica_joins_again_after_the_partition_heals(tmp_path):
    """A replica is partitioned for so long that a learner replaces it.

    After the partition heals, its own configuration still lists it as a
    voter, but no leader contacts it.  Without a new join request it would
    lag until somebody restarts it, and no learner would be available to
    replace the next lost voter.
    """
    cluster = Cluster(tmp_path, replicas=4, others=0, first_set=3)
    try:
        leader = cluster.wait_for_leader()
        away = next(n for n in cluster.replicas[:3] if n != leader)

        def members():
            # Another replica may be elected meanwhile.
            current = cluster.services[cluster.wait_for_leader()]
            return current.replica.status().configuration

        wait_until(lambda: members().learner_names == ("i4",))
        cluster.isolate(away)
        wait_until(lambda: "i4" in members().voter_names)
        assert away not in members().voter_names
        cluster.heal()
        wait_until(lambda: members().learner_names == (away,))
        propose(cluster, cluster.wait_for_leader(), selector("after"))
        wait_until(lambda: "after" in cluster.port(away).view().selectors)
    finally:
        cluster.close()


def test_replica_whose_disk_fails_acknowledges_nothing(cluster):
    """One replica is down and a second one's disk fails.

    If the second replica acknowledged entries, a change would be committed
    that only one disk holds, and the loss of that disk would lose the change.
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
    """Instances restart after changes whose log entries were compacted.

    If a restarted instance made the older state on its disk visible, requests
    would be routed to a withdrawn upstream until the first renewal.
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
    """The power fails in every data centre at once.

    Every accepted change must be present after the restart.
    """
    for number in range(5):
        propose(cluster, "i4", selector(f"s{number}"))
    for name in list(cluster.services):
        cluster.kill(name)
    for name in ("i1", "i2", "i3", "i4"):
        cluster.start(name)
    cluster.wait_for_leases()
    assert len(cluster.port("i4").view().selectors) == 5


def test_leadership_is_transferred_on_request(cluster):
    leader = cluster.wait_for_leader()
    propose(cluster, "i4", selector("all"))
    assert cluster.services[leader].transfer_leadership(timeout_s=LIMIT_S)
    wait_until(lambda: cluster.leader() not in (None, leader))
    assert isinstance(propose(cluster, leader, selector("more")), Applied)


def test_port_of_a_killed_instance_is_not_assigned_to_another_process(cluster):
    """Guards against a restart at an address that was taken meanwhile."""
    limits = Path("/proc/sys/net/ipv4/ip_local_port_range").read_text()
    first_ephemeral, last_ephemeral = map(int, limits.split())
    for address in cluster.addresses.values():
        port = int(address.rpartition(":")[2])
        assert not first_ephemeral <= port <= last_ephemeral
