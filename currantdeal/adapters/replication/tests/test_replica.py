import random
from types import SimpleNamespace

from currantdeal.adapters.replication.replica import ReplicaActor
from currantdeal.adapters.replication.requests import Deliver, GetStatus, Tick
from currantdeal.consensus import (
    AppendRequest,
    Configuration,
    NodeSettings,
    Replica,
    Snapshot,
    Stored,
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


def test_leader_whose_messages_wait_is_not_silent():
    """Guards against an election because this replica was held up."""
    voters = tuple(Replica(instance=n, address=n) for n in ("i1", "i2", "i3"))
    first = Snapshot(
        index=0, term=0, configuration=Configuration(voters=voters)
    )
    clock = SimpleNamespace(now_s=0.0)
    sent = []
    actor = ReplicaActor(
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
    actor.on_receive(_heartbeat(0.0))
    clock.now_s += 10.0 * SETTINGS.election_s
    waiting = _heartbeat(clock.now_s)
    actor.actor_inbox.put(waiting)
    actor.on_receive(Tick())
    actor.actor_inbox.get()
    actor.on_receive(waiting)
    assert actor.on_receive(GetStatus()).leader == "i2"
    assert not [m for m in sent if isinstance(m, VoteRequest)]
