import random

import pytest

from currantdeal.consensus import (
    AppendAnswer,
    AppendRequest,
    ChangePendingError,
    Configuration,
    Entry,
    EntryKind,
    InvariantError,
    LeaseTable,
    Node,
    NodeSettings,
    NotLeaderError,
    RaftRole,
    Replica,
    Snapshot,
    SnapshotPiece,
    Stored,
    VoteAnswer,
    VoteRequest,
)
from currantdeal.consensus.tests.builders import NAMES, Cluster


def test_partitioned_replica_does_not_depose_the_leader():
    """Guards against an election whenever a network partition heals.

    A replica is isolated for many election timeouts.  Without pre-vote it
    would increment its term meanwhile, depose the leader on its return and
    block all changes until a new leader is elected.
    """
    cluster = Cluster()
    leader = cluster.leader()
    term = leader.term
    isolated = next(n for n in NAMES if cluster.nodes[n] is not leader)
    cluster.isolated = {isolated}
    cluster.run(10.0)
    cluster.isolated = set()
    cluster.run(3.0)
    assert cluster.leader() is leader
    assert leader.term == term


def test_isolated_leader_steps_down():
    """Guards against an isolated leader that still acts as leader.

    The leader receives no messages any more.  If it did not step down, it
    would still report itself as leader to its instances.
    """
    cluster = Cluster()
    old = cluster.leader()
    cluster.isolated = {cluster.name_of(old)}
    cluster.run(4.0)
    assert old.role is not RaftRole.LEADER
    with pytest.raises(NotLeaderError):
        old.propose((b"x",), cluster.now_s)
    assert cluster.leader() is not old


def test_learner_is_promoted_only_after_it_has_caught_up():
    """Guards against a quorum that includes an empty disk.

    A new replica joins while one of three is down.  As a voter it would
    count before it has received the log.
    """
    cluster = Cluster(names=(*NAMES, "i4"))
    leader = cluster.leader()
    leader.propose((b"x",) * 50, cluster.now_s)
    cluster.run(0.5)
    leader.compact(index=leader.commit_index - 5, data=b"state", keep=0)
    down = next(n for n in NAMES if cluster.nodes[n] is not leader)
    cluster.isolated = {down}
    cluster.run(4.0)
    cluster.isolated = {down, "i4"}
    joining = Replica(instance="i4", address="")
    leader.join(joining, blank=True, now_s=cluster.now_s)
    cluster.run(1.0)
    assert leader.configuration.learner_names == ("i4",)
    assert leader.configuration.voter_names == NAMES
    cluster.isolated = {down}
    cluster.run(2.0)
    assert "i4" in leader.configuration.voter_names
    assert down not in leader.configuration.voter_names
    assert "i4" in cluster.installed
    assert cluster.nodes["i4"].last_index == leader.last_index


def test_blank_replica_grants_no_vote():
    """Guards against two leaders in one term.

    A replica that lost its disk after a vote could vote a second time in the
    same term.
    """
    node = Cluster(names=(*NAMES, "i4")).nodes["i4"]
    for pre in (True, False):
        node.receive(
            VoteRequest(
                term=3,
                sender="i1",
                to="i4",
                last_index=9,
                last_term=2,
                pre=pre,
            ),
            0.0,
        )
    answers = node.take_output().messages
    assert [answer.granted for answer in answers] == [False, False]


def test_only_one_change_of_the_replica_set_at_a_time():
    """Guards against two quorums without a common replica.

    They can form if two operators replace two replicas at the same time.
    """
    cluster = Cluster()
    leader = cluster.leader()
    others = [n for n in NAMES if cluster.nodes[n] is not leader]
    leader.remove(others[0], cluster.now_s)
    with pytest.raises(ChangePendingError):
        leader.remove(others[1], cluster.now_s)
    cluster.run(0.5)
    assert len(leader.configuration.voters) == 2


def test_committed_entry_is_never_replaced():
    """Guards against the loss of a committed order.

    An append request of an invalid leader would replace a committed entry.
    The replica must stop with a clear error instead.
    """
    cluster = Cluster()
    leader = cluster.leader()
    wrong = Entry(index=1, term=9, kind=EntryKind.NOTHING)
    message = AppendRequest(
        term=9,
        sender="i9",
        to="i1",
        previous_index=0,
        previous_term=0,
        commit=1,
        sent_s=0.0,
        entries=(wrong,),
    )
    with pytest.raises(InvariantError):
        leader.receive(message, cluster.now_s)


def test_leadership_is_transferred_to_an_up_to_date_replica():
    cluster = Cluster()
    leader = cluster.leader()
    entries = leader.propose((b"x",), cluster.now_s)
    leader.transfer(cluster.now_s)
    with pytest.raises(NotLeaderError):
        leader.propose((b"y",), cluster.now_s)
    cluster.run(0.3)
    assert cluster.leader() is not leader
    assert cluster.leader().commit_index > entries[0].index


def test_new_leader_waits_for_the_leases_of_earlier_leaders():
    """Guards against a withdrawal that is reported in force too early.

    A leader crashes after it granted a lease, and a new leader is elected
    that has no record of the lease.  Without the wait an instance could
    still send work under its old lease.
    """
    table = LeaseTable(lease_s=2.0, elected_s=100.0)
    assert not table.in_force(0, 101.9)
    assert table.remaining_s("i7", 101.0) > 1.0
    assert [
        h.instance for h in table.holders(101.0, possible_holders=("i7",))
    ] == ["i7"]
    assert table.in_force(0, 102.1)
    assert table.remaining_s("i7", 102.1) == 0.0
    assert table.holders(102.1, possible_holders=("i7",)) == ()


def test_entry_of_an_earlier_term_is_not_committed_by_counting():
    """Guards against the loss of an accepted order (Raft, figure 8).

    A new leader finds an entry of an earlier term on a majority.  Another
    replica may still be elected and replace the entry, so it must not be
    committed by counting replicas.
    """
    first = Configuration(
        voters=tuple(Replica(instance=n, address="") for n in NAMES)
    )
    old = Entry(index=1, term=1, kind=EntryKind.COMMAND, data=b"order")
    stored = Stored(
        term=1,
        snapshot=Snapshot(index=0, term=0, configuration=first),
        entries=(old,),
    )
    node = Node(
        local_id="i1",
        settings=NodeSettings(),
        stored=stored,
        random=random.Random(1),
        now_s=0.0,
    )
    node.tick(2.0)
    for pre in (True, False):
        node.receive(
            VoteAnswer(term=2, sender="i2", to="i1", granted=True, pre=pre),
            2.0,
        )
    assert node.role is RaftRole.LEADER
    node.synced(node.take_output().last_index, 2.0)

    def answer(match):
        node.receive(
            AppendAnswer(
                term=2,
                sender="i2",
                to="i1",
                accepted=True,
                match_index=match,
                sent_s=2.0,
            ),
            2.1,
        )
        return node.commit_index

    assert answer(1) == 0
    assert answer(2) == 2


def test_snapshot_replaces_conflicting_entries():
    """Guards against uncommitted changes that come into force.

    A follower has entries of a crashed leader and receives a snapshot that
    conflicts with them.  It must drop the entries after the snapshot, too,
    because they were never accepted.
    """
    first = Configuration(
        voters=tuple(Replica(instance=n, address="") for n in NAMES)
    )
    lost = tuple(
        Entry(index=n, term=1, kind=EntryKind.COMMAND) for n in (1, 2, 3)
    )
    node = Node(
        local_id="i1",
        settings=NodeSettings(),
        stored=Stored(
            term=1,
            snapshot=Snapshot(index=0, term=0, configuration=first),
            entries=lost,
        ),
        random=random.Random(1),
        now_s=0.0,
    )
    node.receive(
        SnapshotPiece(
            term=2,
            sender="i2",
            to="i1",
            index=2,
            index_term=2,
            configuration=first,
            offset=0,
            total=5,
            data=b"state",
            sent_s=0.0,
        ),
        0.0,
    )
    output = node.take_output()
    assert output.installed.data == b"state"
    assert output.writes[-1].discard
    assert (node.last_index, node.commit_index) == (2, 2)


def test_leader_is_not_ready_before_it_has_given_out_what_is_committed():
    """Guards against leases on an empty view after a full restart.

    Every replica restarts, and one becomes leader before it has applied its
    log.  If it granted a lease then, an instance would send work to upstreams
    that were withdrawn before the restart.
    """
    alone = Configuration(voters=(Replica(instance="i1", address=""),))
    stored = Stored(
        term=1,
        voted_for="i1",
        snapshot=Snapshot(index=0, term=0, configuration=alone),
        entries=(
            Entry(index=1, term=1, kind=EntryKind.COMMAND, data=b"change"),
        ),
    )
    node = Node(
        local_id="i1",
        settings=NodeSettings(),
        stored=stored,
        random=random.Random(1),
        now_s=0.0,
    )
    node.tick(2.0)
    node.synced(node.take_output().last_index, 2.0)
    assert node.commit_index == 2
    assert not node.is_ready
    committed = node.take_output().committed
    assert [entry.index for entry in committed] == [1, 2]
    assert node.is_ready


def test_first_leader_after_a_full_restart_is_elected_soon():
    """Guards against a long outage after a restart of all processes.

    No replica has a leader to wait for, and until one is elected all
    instances refuse their callers.
    """
    settings = NodeSettings(election_s=0.8, first_election_s=0.1)
    cluster = Cluster(settings=settings)
    cluster.run(0.5)
    assert any(node.is_ready for node in cluster.nodes.values())


def test_restarted_replica_does_not_depose_the_leader():
    """Guards against an election when one of three replicas restarts.

    Until the leader contacts it, it uses the short first election timeout.
    """
    settings = NodeSettings(election_s=0.8, first_election_s=0.1)
    cluster = Cluster(settings=settings)
    leader = cluster.leader()
    term = leader.term
    cluster.run(3.0)
    other = next(n for n in NAMES if cluster.nodes[n] is not leader)
    cluster.restart(other)
    cluster.run(2.0)
    assert cluster.leader() is leader
    assert leader.term == term


def test_new_leader_sends_the_commit_index_before_its_next_heartbeat():
    """Guards against refused callers after an election.

    Entries that follow other replicas refuse their callers until their
    replica has received the commit index, which would take until the next
    heartbeat.
    """
    settings = NodeSettings(heartbeat_s=60.0, first_election_s=0.1)
    cluster = Cluster(settings=settings)
    leader = cluster.leader()
    commits = {node.commit_index for node in cluster.nodes.values()}
    assert commits == {leader.commit_index}
    assert leader.commit_index >= 1


def test_candidate_waits_for_votes_from_when_its_requests_are_sent():
    """Guards against elections that end before any vote can arrive.

    Writing the new term takes longer than an election timeout, and the
    requests for votes are sent after it.
    """
    voters = tuple(
        Replica(instance=name, address=name) for name in ("i1", "i2", "i3")
    )
    first = Snapshot(
        index=0, term=0, configuration=Configuration(voters=voters)
    )
    settings = NodeSettings()
    node = Node(
        local_id="i1",
        settings=settings,
        stored=Stored(snapshot=first),
        random=random.Random(1),
        now_s=0.0,
    )
    now_s = 2.0
    node.tick(now_s)
    vote = {"term": 1, "sender": "i2", "to": "i1", "granted": True}
    node.receive(VoteAnswer(**vote, pre=True), now_s)
    requests = node.take_output()
    now_s += 2.0 * settings.election_s
    node.synced(requests.last_index, now_s)
    assert {message.to for message in requests.messages} == {"i2", "i3"}
    now_s += 0.9 * settings.election_s
    node.tick(now_s)
    node.receive(VoteAnswer(**vote, pre=False), now_s)
    assert node.role is RaftRole.LEADER
