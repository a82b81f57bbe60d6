import random

from structlog.testing import capture_logs

from currantdeal.consensus import (
    Configuration,
    Node,
    NodeSettings,
    Replica,
    Snapshot,
    Stored,
)
from currantdeal.control.replica_watch import (
    NO_LEADER_INTERVAL_S,
    ReplicaWatch,
)

VOTERS = tuple(Replica(instance=n, address=n) for n in ("c1", "c2", "c3"))


def _log_lines(node, *, seconds):
    now_s = 0.0
    watch = ReplicaWatch(clock=lambda: now_s)
    with capture_logs() as lines:
        while now_s < seconds:
            node.tick(now_s)
            node.synced(node.take_output().last_index, now_s)
            watch.log_changes(node)
            now_s += 0.05
    return lines


def _a_node(*, voters):
    first = Snapshot(
        index=0, term=0, configuration=Configuration(voters=voters)
    )
    return Node(
        local_id="c1",
        settings=NodeSettings(),
        stored=Stored(snapshot=first),
        random=random.Random(1),
        now_s=0.0,
    )


def test_a_replica_without_a_majority_logs_voters_and_votes():
    """A control instance cannot reach any of the others.

    Operators see changes refused, and look for the voters and for those that
    answer.
    """
    lines = _log_lines(_a_node(voters=VOTERS), seconds=11.0)
    missing = [line for line in lines if line["event"] == "no-leader"]
    assert len(missing) == 2
    assert missing[0]["voters"] == ("c1", "c2", "c3")
    assert missing[0]["quorum"] == 2
    assert missing[0]["votes"] == ("c1",)
    assert missing[0]["for_s"] >= NO_LEADER_INTERVAL_S


def test_leader_and_replica_set_are_logged_once():
    lines = _log_lines(_a_node(voters=VOTERS[:1]), seconds=11.0)
    events = [line["event"] for line in lines]
    assert sorted(events) == ["leader-changed", "replica-set-changed"]
