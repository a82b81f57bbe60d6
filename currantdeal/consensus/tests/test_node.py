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
from currantdeal.consensus.tests.builders import NAMES, Machines


def test_replica_that_was_cut_off_does_not_depose_the_leader():
    """A replica is cut off for many election timeouts and comes back.

    Without the pre-vote its term would have grown meanwhile, and every
    return from a partition would stop all changes for an election.
    """
    machines = Machines()
    leader = machines.leader()
    term = leader.term
    away = next(n for n in NAMES if machines.nodes[n] is not leader)
    machines.cut = {away}
    machines.run(10.0)
    machines.cut = set()
    machines.run(3.0)
    assert machines.leader() is leader
    assert leader.term == term


def test_isolated_leader_steps_down():
    """The leader is cut off and hears from nobody.

    If it stayed leader it would go on telling its instances that it is.
    """
    machines = Machines()
    old = machines.leader()
    machines.cut = {machines.name_of(old)}
    machines.run(4.0)
    assert old.role is not RaftRole.LEADER
    with pytest.raises(NotLeaderError):
        old.propose((b"x",), machines.now_s)
    assert machines.leader() is not old


def test_learner_counts_only_after_it_has_caught_up():
    """A new replica joins while one of three is down.

    Were it counted at once, a quorum could rest on an empty disk.
    """
    machines = Machines(names=(*NAMES, "i4"))
    leader = machines.leader()
    leader.propose((b"x",) * 50, machines.now_s)
    machines.run(0.5)
    leader.compact(index=leader.commit_index - 5, data=b"state", keep=0)
    down = next(n for n in NAMES if machines.nodes[n] is not leader)
    machines.cut = {down}
    machines.run(4.0)
    machines.cut = {down, "i4"}
    joining = Replica(instance="i4", address="")
    leader.join(joining, blank=True, now_s=machines.now_s)
    machines.run(1.0)
    assert leader.configuration.learner_names == ("i4",)
    assert leader.configuration.voter_names == NAMES
    machines.cut = {down}
    machines.run(2.0)
    assert "i4" in leader.configuration.voter_names
    assert down not in leader.configuration.voter_names
    assert "i4" in machines.installed
    assert machines.nodes["i4"].last_index == leader.last_index


def test_replica_without_memory_grants_no_vote():
    """A replica's disk was lost after it had voted, and it is asked again.

    Two votes in one term could make two leaders.
    """
    node = Machines(names=(*NAMES, "i4")).nodes["i4"]
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
    """Two operators replace two replicas at once.

    Two changes together could give two quorums without a common replica.
    """
    machines = Machines()
    leader = machines.leader()
    others = [n for n in NAMES if machines.nodes[n] is not leader]
    leader.remove(others[0], machines.now_s)
    with pytest.raises(ChangePendingError):
        leader.remove(others[1], machines.now_s)
    machines.run(0.5)
    assert len(leader.configuration.voters) == 2


def test_committed_entry_is_never_replaced():
    """A message of a leader that cannot exist would replace what counts.

    The replica stops with a clear error instead of losing an order.
    """
    machines = Machines()
    leader = machines.leader()
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
        leader.receive(message, machines.now_s)


def test_hand_over_goes_to_a_replica_that_has_everything():
    machines = Machines()
    leader = machines.leader()
    entries = leader.propose((b"x",), machines.now_s)
    leader.transfer(machines.now_s)
    with pytest.raises(NotLeaderError):
        leader.propose((b"y",), machines.now_s)
    machines.run(0.3)
    assert machines.leader() is not leader
    assert machines.leader().commit_index > entries[0].index


def test_new_leader_waits_for_leases_it_has_not_heard_of():
    """A leader dies after it granted a lease, and a new one is elected.

    Without the wait the new one would say that a withdrawal is in force
    while an instance still sends work under its old lease.
    """
    table = LeaseTable(lease_s=2.0, elected_s=100.0)
    assert not table.in_force(0, 101.9)
    assert table.remaining_s("i7", 101.0) > 1.0
    assert [h.instance for h in table.holders(101.0, also=("i7",))] == ["i7"]
    assert table.in_force(0, 102.1)
    assert table.remaining_s("i7", 102.1) == 0.0
    assert table.holders(102.1, also=("i7",)) == ()


def test_entry_of_an_earlier_term_is_not_committed_by_counting():
    """A new leader finds that a majority holds an entry of an earlier term.

    Another replica may still win and replace it (Raft, figure 8), so an
    order that counts as accepted here would be lost.
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
        me="i1",
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
    node.synced(node.take_output().last_index)

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


def test_snapshot_replaces_entries_that_contradict_it():
    """A follower that kept entries of a lost leader gets a snapshot.

    Keeping the entries after it would put changes into force that were
    never accepted.
    """
    first = Configuration(
        voters=tuple(Replica(instance=n, address="") for n in NAMES)
    )
    lost = tuple(
        Entry(index=n, term=1, kind=EntryKind.COMMAND) for n in (1, 2, 3)
    )
    node = Node(
        me="i1",
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
    """Every replica restarts, and one leads before it has applied its log.

    If it granted a lease then, an instance would work by an empty view and
    send work to upstreams that were withdrawn before the restart.
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
        me="i1",
        settings=NodeSettings(),
        stored=stored,
        random=random.Random(1),
        now_s=0.0,
    )
    node.tick(2.0)
    node.synced(node.take_output().last_index)
    assert node.commit_index == 2
    assert not node.is_ready
    committed = node.take_output().committed
    assert [entry.index for entry in committed] == [1, 2]
    assert node.is_ready


def test_a_replica_set_that_starts_anew_elects_a_leader_soon():
    """All processes are killed and start again.

    There is no leader to wait for, and until one is elected callers are
    refused everywhere.
    """
    settings = NodeSettings(election_s=0.8, first_election_s=0.1)
    machines = Machines(settings=settings)
    machines.run(0.5)
    assert any(node.is_ready for node in machines.nodes.values())


def test_a_replica_that_restarts_does_not_depose_the_leader():
    """One of three restarts and has not heard the leader yet."""
    settings = NodeSettings(election_s=0.8, first_election_s=0.1)
    machines = Machines(settings=settings)
    leader = machines.leader()
    term = leader.term
    machines.run(3.0)
    other = next(n for n in NAMES if machines.nodes[n] is not leader)
    machines.restart(other)
    machines.run(2.0)
    assert machines.leader() is leader
    assert leader.term == term


def test_a_new_leader_tells_what_is_committed_before_its_next_heartbeat():
    """A leader is elected, and the entries that follow other replicas wait.

    Told with the next heartbeat only, they refuse callers for that long.
    """
    settings = NodeSettings(heartbeat_s=60.0, first_election_s=0.1)
    machines = Machines(settings=settings)
    leader = machines.leader()
    commits = {node.commit_index for node in machines.nodes.values()}
    assert commits == {leader.commit_index}
    assert leader.commit_index >= 1
