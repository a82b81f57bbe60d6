import random
from types import SimpleNamespace

from currantdeal.adapters.replication.replica import ReplicaActor
from currantdeal.adapters.replication.requests import (
    CheckInForce,
    Deliver,
    GetProgress,
    GetStatus,
    Renew,
    Tick,
)
from currantdeal.consensus import (
    AppendAnswer,
    AppendRequest,
    Configuration,
    NodeSettings,
    Replica,
    Snapshot,
    Stored,
    VoteAnswer,
    VoteRequest,
)

SETTINGS = NodeSettings()


def _heartbeat(now_s):
    return Deliver(
        messages=(
            AppendRequest(
                term=1,
                sender="i2",
                to="i1",
                previous_index=0,
                previous_term=0,
                commit=0,
                sent_s=now_s,
            ),
        )
    )


def _actor(clock, sent):
    """Return an actor of three voters, which runs in no thread."""
    voters = tuple(Replica(instance=n, address=n) for n in ("i1", "i2", "i3"))
    first = Snapshot(
        index=0, term=0, configuration=Configuration(voters=voters)
    )
    return ReplicaActor(
        local_id="i1",
        folder=SimpleNamespace(
            stored=Stored(snapshot=first),
            save=lambda writes: None,
            segment_bytes=0,
        ),
        outbox=SimpleNamespace(send=sent.extend),
        view_store=SimpleNamespace(publish=lambda state: None),
        clock=SimpleNamespace(monotonic_s=lambda: clock.now_s),
        random=random.Random(1),
        node_settings=SETTINGS,
        lease_s=1.0,
        on_configuration=lambda configuration: None,
    )


def test_leader_whose_messages_wait_is_not_silent():
    """Guards against an election because this replica was held up."""
    clock, sent = SimpleNamespace(now_s=0.0), []
    actor = _actor(clock, sent)
    actor.on_receive(_heartbeat(0.0))
    clock.now_s += 10.0 * SETTINGS.election_s
    waiting = _heartbeat(clock.now_s)
    actor.actor_inbox.put(waiting)
    actor.on_receive(Tick())
    actor.actor_inbox.get()
    actor.on_receive(waiting)
    assert actor.on_receive(GetStatus()).leader == "i2"
    assert not [m for m in sent if isinstance(m, VoteRequest)]


def _elected(actor, clock):
    """Let an actor win an election and commit its first entry."""
    clock.now_s += 3.0 * SETTINGS.election_s
    actor.on_receive(Tick())
    for pre in (True, False):
        vote = VoteAnswer(term=1, sender="i2", to="i1", granted=True, pre=pre)
        actor.on_receive(Deliver(messages=(vote,)))
    answer = AppendAnswer(
        term=1,
        sender="i2",
        to="i1",
        accepted=True,
        match_index=1,
        sent_s=clock.now_s,
    )
    actor.on_receive(Deliver(messages=(answer,)))
    assert actor.on_receive(GetStatus()).ready


def test_leader_that_was_paused_ends_no_leases():
    """Guards against a change in force while a later leader renews a lease."""
    clock = SimpleNamespace(now_s=0.0)
    actor = _actor(clock, [])
    _elected(actor, clock)
    actor.on_receive(Renew(instance="h1", region="lagos", version=0))
    check = CheckInForce(version=1)
    assert not actor.on_receive(check).in_force
    clock.now_s += 10.0 * SETTINGS.election_s
    actor.actor_inbox.put(check)
    actor.on_receive(Tick())
    actor.actor_inbox.get()
    assert not actor.on_receive(check).in_force
    assert not actor.on_receive(GetProgress()).leads
