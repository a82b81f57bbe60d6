from currantdeal.consensus import (
    ChangeReason,
    Configuration,
    MemberHealth,
    Replica,
    can_leave,
    next_change,
)
from currantdeal.consensus.tests.builders import NAMES, Cluster

SUCCESSOR = Replica(instance="i4", address="")


def _cluster_with_spare():
    return Cluster(names=(*NAMES, SUCCESSOR.instance))


def _follower(cluster):
    leader = cluster.leader()
    return next(n for n in NAMES if cluster.nodes[n] is not leader)


def _restart_all(cluster, *, without_disk, except_for):
    for name in set(cluster.nodes) - {except_for}:
        if name == without_disk:
            cluster.lose_disk(name)
        else:
            cluster.restart(name)


def test_replaced_voter_is_removed_from_the_replica_set():
    """Guards against a removed instance that still counts as a voter.

    A control instance is added and an older one is shut down.  15 seconds
    later all machines lose power, and one of the remaining three returns with
    an empty disk.  If the old instance is still a voter, the quorum is three
    of four but only two can vote.  No leader is elected, join requests fail
    without one, and callers are refused until an operator intervenes.
    """
    cluster = _cluster_with_spare()
    cluster.leader().join(SUCCESSOR, blank=True, now_s=cluster.now_s)
    cluster.run(4.0)
    lost = _follower(cluster)
    cluster.isolated = {lost}
    cluster.run(15.0)
    _restart_all(cluster, without_disk=SUCCESSOR.instance, except_for=lost)
    assert cluster.leader()


def test_changes_commit_after_the_successor_of_a_leader_loses_its_disk():
    """Guards against a lost quorum although two of three replicas are healthy.

    The leader is permanently lost and a successor joins, which later loses
    its disk.  If the successor became a voter in addition to the lost leader,
    which was removed only on a later join request, the two healthy replicas
    would be no quorum of four and could not commit any change.
    """
    cluster = _cluster_with_spare()
    lost = cluster.name_of(cluster.leader())
    cluster.isolated = {lost}
    cluster.leader().join(SUCCESSOR, blank=True, now_s=cluster.now_s)
    cluster.run(15.0)
    cluster.lose_disk(SUCCESSOR.instance)
    cluster.run(5.0)
    leader = cluster.leader()
    (entry,) = leader.propose((b"change",), cluster.now_s)
    cluster.run(1.0)
    assert leader.commit_index >= entry.index


def test_learner_that_lost_its_disk_catches_up_again():
    """Guards against a leader that resends entries in an endless loop."""
    cluster = _cluster_with_spare()
    cluster.leader().join(SUCCESSOR, blank=True, now_s=cluster.now_s)
    cluster.run(4.0)
    leader = cluster.leader()
    leader.propose((b"change",), cluster.now_s)
    cluster.run(1.0)
    cluster.lose_disk(SUCCESSOR.instance)
    cluster.run(1.0)
    learner = cluster.nodes[SUCCESSOR.instance]
    assert learner.commit_index == leader.commit_index


def test_quorum_leaves_out_what_a_lost_disk_held():
    """Guards against counting entries as replicated to an empty disk."""
    cluster = _cluster_with_spare()
    leader = cluster.leader()
    leader.join(SUCCESSOR, blank=True, now_s=cluster.now_s)
    cluster.run(4.0)
    cluster.lose_disk(SUCCESSOR.instance)
    cluster.isolated = {*NAMES, SUCCESSOR.instance} - {
        cluster.name_of(leader),
        SUCCESSOR.instance,
    }
    cluster.run(0.6)
    peer = leader._raft.progress[SUCCESSOR.instance]
    last_index = cluster.nodes[SUCCESSOR.instance]._raft.log.last_index
    assert peer.match_index <= last_index


def _replica_set(voters, learners=""):
    return Configuration(
        voters=tuple(Replica(instance=n, address="") for n in voters),
        learners=tuple(Replica(instance=n, address="") for n in learners),
    )


def _health(answering, *, silent="", leaving="", caught_up=""):
    return MemberHealth(
        answering=frozenset(answering),
        silent=frozenset(silent),
        leaving=frozenset(leaving),
        caught_up=frozenset(caught_up),
    )


def _apply_changes(configuration, health, *, steps=6):
    """Return the final replica set and the changes that lead to it."""
    changes = []
    for _ in range(steps):
        change = next_change(configuration, health)
        if change is None:
            break
        changes.append((change.replica, change.reason))
        configuration = change.configuration
    return configuration, changes


def test_surplus_replica_stays_a_learner():
    """Guards against an even number of voters.

    Four voters tolerate the loss of one, as three do, but not of any two.
    Three voters and a learner also tolerate the loss of the learner together
    with any one voter.
    """
    health = _health("abcd", caught_up="d")
    assert _apply_changes(_replica_set("abc", "d"), health) == (
        _replica_set("abc", "d"),
        [],
    )


def test_two_surplus_replicas_are_promoted_together():
    after, changes = _apply_changes(
        _replica_set("abc", "de"), _health("abcde", caught_up="de")
    )
    assert after == _replica_set("abcde")
    assert changes == [("d", ChangeReason.CAUGHT_UP)] + [
        ("e", ChangeReason.CAUGHT_UP)
    ]


def test_pause_of_one_of_three_voters_changes_nothing():
    """Guards against removing a paused voter that has no successor.

    A replica restarts or its machine is suspended, and there is no learner.
    Without it, each change would need both other voters, and the replica
    would have to join again.
    """
    health = _health("ab", silent="c")
    assert next_change(_replica_set("abc"), health) is None


def test_no_learner_is_promoted_while_a_voter_does_not_answer():
    """Guards against a larger quorum while a voter may be lost.

    If the successor of a voter that does not answer were promoted already,
    the quorum would be three of four, and the loss of the successor would
    block all changes.
    """
    health = _health("abd", caught_up="d")
    assert next_change(_replica_set("abc", "d"), health) is None


def test_silent_voter_is_removed_before_its_successor_is_promoted():
    after, changes = _apply_changes(
        _replica_set("abc", "d"), _health("abd", silent="c", caught_up="d")
    )
    assert after == _replica_set("abd")
    assert [name for name, _ in changes] == ["c", "d"]


def test_successor_is_promoted_before_a_leaving_voter_is_removed():
    after, changes = _apply_changes(
        _replica_set("abc", "d"), _health("abcd", leaving="c", caught_up="d")
    )
    assert after == _replica_set("abd")
    assert [name for name, _ in changes] == ["d", "c"]


def test_two_silent_voters_of_five_are_removed():
    """Guards against an outage after the loss of a data centre.

    A data centre with two of five control instances is lost.  While both are
    voters, the other three must all answer, and a restart of one of them
    would block all changes.
    """
    after, _ = _apply_changes(
        _replica_set("abcde"), _health("abc", silent="de")
    )
    assert after == _replica_set("abc")


def test_leaving_voter_of_an_odd_set_stays_without_a_successor():
    """Guards against removing one of three voters during its restart.

    Its operators restart it, and there is no learner to replace it.
    """
    health = _health("abc", leaving="c")
    assert next_change(_replica_set("abc"), health) is None
    assert not can_leave(_replica_set("abc"), "c")
    assert can_leave(_replica_set("abc", "d"), "c")
    assert can_leave(_replica_set("abcd"), "c")


def test_silent_learner_is_removed():
    after, changes = _apply_changes(
        _replica_set("abc", "d"), _health("abc", silent="d")
    )
    assert after == _replica_set("abc")
    assert changes == [("d", ChangeReason.SILENT)]


def test_replaced_voter_returns_as_a_learner():
    """Guards against a replaced replica that still acts as a voter.

    Its machine is suspended for ten seconds and replaced meanwhile.  It
    returns with its disk, where it is still a voter.
    """
    cluster = _cluster_with_spare()
    leader = cluster.leader()
    leader.join(SUCCESSOR, blank=True, now_s=cluster.now_s)
    isolated = _follower(cluster)
    cluster.isolated = {isolated}
    cluster.run(10.0)
    assert isolated not in leader.configuration.voter_names
    cluster.isolated = set()
    cluster.run(3.0)
    back = Replica(instance=isolated, address="")
    leader.join(back, blank=False, now_s=cluster.now_s)
    cluster.run(3.0)
    assert cluster.leader() is leader
    assert leader.configuration.learner_names == (isolated,)
    assert cluster.nodes[isolated].configuration == leader.configuration


def test_isolated_learner_clears_its_leader():
    """Guards against a learner that never rejoins after a partition.

    A learner is isolated and removed from the replica set meanwhile.  When
    the network path works again it must ask to join.  If it kept its last
    leader, entries that follow it would stay on old routes permanently and
    never switch to another control instance.
    """
    cluster = _cluster_with_spare()
    leader = cluster.leader()
    leader.join(SUCCESSOR, blank=True, now_s=cluster.now_s)
    cluster.run(2.0)
    learner = cluster.nodes[SUCCESSOR.instance]
    assert learner.leader == cluster.name_of(leader)
    cluster.isolated = {SUCCESSOR.instance}
    cluster.run(5.0)
    assert leader.configuration.learner_names == ()
    assert learner.leader is None


def test_leave_request_expires():
    """Guards against removing a replica that was restarted at once.

    It announced that it stops, and it has started again since then.
    """
    cluster = _cluster_with_spare()
    leader = cluster.leader()
    other = _follower(cluster)
    assert not leader.leave(other, cluster.now_s)
    cluster.run(2.0)
    leader.join(SUCCESSOR, blank=True, now_s=cluster.now_s)
    cluster.run(3.0)
    assert leader.configuration.voter_names == NAMES
