"""Elections of replicas whose disks are slow, in simulated time."""

import random
from collections import defaultdict

import pytest

from currantdeal.consensus import (
    Configuration,
    Node,
    NodeSettings,
    Replica,
    Snapshot,
    Stored,
)

NAMES = ("i1", "i2", "i3")
SETTINGS = NodeSettings(heartbeat_s=0.1, election_s=0.4, first_election_s=0.1)
STEP_S = 0.01
LIMIT_S = 20.0


class _SlowReplica:
    """A replica that receives nothing while it writes."""

    def __init__(self, *, name, write_s, seed):
        voters = tuple(Replica(instance=n, address=n) for n in NAMES)
        first = Snapshot(
            index=0, term=0, configuration=Configuration(voters=voters)
        )
        self.inbox = []
        self.node = Node(
            local_id=name,
            settings=SETTINGS,
            stored=Stored(snapshot=first),
            random=random.Random(f"{name} {seed}"),
            now_s=0.0,
        )
        self._write_s = write_s
        self._output = None
        self._ends_s = 0.0

    def step(self, now_s):
        """Go on for one step; returns the messages that are sent."""
        if now_s < self._ends_s:
            return
        if self._output is None:
            received, self.inbox = self.inbox, []
            for message in received:
                self.node.receive(message, now_s)
            self.node.tick(now_s)
        else:
            yield from self._finish(now_s)
        while self._output is None:
            self._output = self.node.take_output()
            yield from self._output.early
            if self._output.writes:
                self._ends_s = now_s + self._write_s
                return
            goes_on = bool(self._output.committed)
            yield from self._finish(now_s)
            if not goes_on:
                return

    def _finish(self, now_s):
        output, self._output = self._output, None
        self.node.synced(output.last_index, now_s)
        yield from output.messages


def _time_to_leader_s(*, write_s, seed):
    replicas = {
        name: _SlowReplica(name=name, write_s=write_s, seed=seed)
        for name in NAMES
    }
    now_s = 0.0
    while now_s < LIMIT_S:
        sent = defaultdict(list)
        for replica in replicas.values():
            for message in replica.step(now_s):
                sent[message.to].append(message)
        for name, messages in sent.items():
            replicas[name].inbox += messages
        if any(replica.node.is_ready for replica in replicas.values()):
            return now_s
        now_s += STEP_S
    return LIMIT_S


@pytest.mark.parametrize("share", [0.0, 0.25, 0.5, 1.0, 1.5])
def test_leader_is_elected_while_all_disks_are_slow(share):
    """Guards against elections that end before any vote can arrive."""
    write_s = share * SETTINGS.election_s
    times = [_time_to_leader_s(write_s=write_s, seed=n) for n in range(20)]
    assert max(times) < LIMIT_S
