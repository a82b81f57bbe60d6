"""A cluster of Raft nodes in one process, without disks or a network."""

import random

from currantdeal.consensus import (
    Configuration,
    Node,
    NodeSettings,
    Replica,
    Snapshot,
    Stored,
)

NAMES = ("i1", "i2", "i3")

MAX_MESSAGES_PER_STEP = 1_000
"""Number of messages in one step above which resends are taken as endless."""


class Cluster:
    """Nodes whose messages are delivered at once, except isolated nodes."""

    def __init__(self, *, voters=NAMES, names=NAMES, settings=None):
        """Start the initial voters, and the other named nodes as blank."""
        self.settings = settings or NodeSettings()
        first = Configuration(
            voters=tuple(Replica(instance=n, address="") for n in voters)
        )
        start = Snapshot(index=0, term=0, configuration=first)
        self.now_s = 0.0
        self.isolated = set()
        self.delivered = 0
        self.nodes = {
            name: self._start(
                name, Stored(snapshot=start if name in voters else None)
            )
            for name in names
        }
        self.installed = set()

    def run(self, seconds):
        """Advance the clock step by step and deliver all messages."""
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            self.now_s += 0.05
            for node in self.nodes.values():
                node.tick(self.now_s)
            self._deliver_all()

    def _deliver_all(self):
        before = self.delivered
        while any([self._process_output(name) for name in self.nodes]):
            assert self.delivered - before < MAX_MESSAGES_PER_STEP, (
                "the nodes send messages in an endless loop"
            )

    def leader(self):
        """Return the leader, waiting until there is a ready one."""
        for _ in range(100):
            ready = [
                node
                for name, node in self.nodes.items()
                if node.is_ready and name not in self.isolated
            ]
            if ready:
                return ready[0]
            self.run(0.1)
        raise AssertionError("no leader was elected")

    def name_of(self, node):
        """Return the name of a node."""
        return next(n for n, found in self.nodes.items() if found is node)

    def restart(self, name):
        """Restart a node with the data on its disk."""
        raft = self.nodes[name]._raft
        base = raft.log.base_index
        entries = raft.log.after(base, limit=100, max_bytes=1_000_000)
        self.nodes[name] = self._start(
            name,
            Stored(
                snapshot=raft.snapshot,
                term=raft.term,
                voted_for=raft.voted_for,
                entries=tuple(entries),
            ),
        )

    def lose_disk(self, name):
        """Restart a node with an empty disk."""
        self.nodes[name] = self._start(name, Stored())

    def _start(self, name, stored):
        return Node(
            local_id=name,
            settings=self.settings,
            stored=stored,
            random=random.Random(name),
            now_s=self.now_s,
        )

    def _process_output(self, name):
        output = self.nodes[name].take_output()
        self.nodes[name].synced(output.last_index, self.now_s)
        if output.installed:
            self.installed.add(name)
        for message in output.early + output.messages:
            self.delivered += 1
            if not {name, message.to} & self.isolated:
                self.nodes[message.to].receive(message, self.now_s)
        return bool(output.early or output.messages or output.committed)
