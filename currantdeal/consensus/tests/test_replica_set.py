import pytest

from currantdeal.consensus import Replica
from currantdeal.consensus.tests.builders import NAMES, Machines

SUCCESSOR = Replica(instance="i4", address="")


def _with_spare():
    return Machines(names=(*NAMES, SUCCESSOR.instance))


def _follower(machines):
    leader = machines.leader()
    return next(n for n in NAMES if machines.nodes[n] is not leader)


def _lose_power(machines, *, without_disk, gone):
    for name in set(machines.nodes) - {gone}:
        if name == without_disk:
            machines.lose_disk(name)
        else:
            machines.restart(name)


@pytest.mark.known_red
def test_a_replica_that_was_replaced_does_not_count_for_good():
    """A control instance is added, and an older one is taken away later.

    Fifteen seconds after that all machines lose power, and one of the three
    that are left comes back with an empty disk.  Nobody is elected any more,
    and callers are refused until operators step in.
    """
    machines = _with_spare()
    machines.leader().join(SUCCESSOR, blank=True, now_s=machines.now_s)
    machines.run(4.0)
    gone = _follower(machines)
    machines.cut = {gone}
    machines.run(15.0)
    _lose_power(machines, without_disk=SUCCESSOR.instance, gone=gone)
    assert machines.leader()


@pytest.mark.known_red
def test_the_successor_of_a_lost_leader_may_be_lost_too():
    """The control instance that leads is gone for good; another is started.

    Some time later that one loses its disk.  The two others hear each other
    all the while, but no change is acknowledged or reaches entries any more.
    """
    machines = _with_spare()
    gone = machines.name_of(machines.leader())
    machines.cut = {gone}
    machines.leader().join(SUCCESSOR, blank=True, now_s=machines.now_s)
    machines.run(15.0)
    machines.lose_disk(SUCCESSOR.instance)
    machines.run(5.0)
    leader = machines.leader()
    (entry,) = leader.propose((b"change",), machines.now_s)
    machines.run(1.0)
    assert leader.commit_index >= entry.index
