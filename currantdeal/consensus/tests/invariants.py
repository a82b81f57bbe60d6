"""What must hold at every step of a schedule."""

import xxhash

from currantdeal.consensus import EntryKind, RaftRole, VoteAnswer
from currantdeal.consensus.messages import CONFIGURATION_CODEC


class Invariants:
    """Checks a world; the names are those of the Raft paper, figure 3.

    Parameters
    ----------
    world : World
        What is looked at.
    """

    def __init__(self, *, world):
        """Start with nothing committed."""
        self._world = world
        self._committed = {}
        self._states = {0: b""}
        self._leaders = {}
        self._votes = {}
        self._known_leaders = set()
        first = world.disks[world.names[0]].stored.snapshot.configuration
        self.committed_configuration = first
        self._configuration_index = 0

    def state_at(self, index):
        """Return a stand-in for the applied state, a hash of all entries."""
        return self._states[index]

    def check(self):
        """Check what every step must leave true."""
        for name, process in self._world.processes.items():
            if process.node.role is RaftRole.LEADER:
                self._check_leader(name, process)
        self._check_log_matching()

    def on_send(self, message):
        """Check that nobody votes twice in a term."""
        if not isinstance(message, VoteAnswer):
            return
        if message.pre or not message.granted:
            return
        key = (message.sender, message.term, self._world.lost_disks)
        assert self._votes.setdefault(key, message.to) == message.to, (
            f"{message.sender} voted twice in term {message.term}"
        )

    def on_commit(self, name, entry):
        """Check an entry that a replica applies."""
        process = self._world.processes[name]
        assert entry.index == process.applied + 1, (
            f"{name} applied {entry.index} after {process.applied}"
        )
        known = self._committed.get(entry.index)
        if known is None:
            self._note_commit(name, entry)
        else:
            assert known == entry, (
                f"{name} applied another entry {entry.index}"
            )

    def on_install(self, name, snapshot):
        """Check a snapshot that a replica installs."""
        process = self._world.processes[name]
        assert snapshot.index >= process.applied, f"{name} went back"
        assert snapshot.data == self._states[snapshot.index], (
            f"{name} installed a damaged snapshot"
        )
        known = self._committed.get(snapshot.index)
        assert (known.term if known else 0) == snapshot.term

    def _note_commit(self, name, entry):
        index = entry.index
        before = self._states.get(index - 1)
        assert before is not None, f"entry {index - 1} was never committed"
        self._committed[index] = entry
        raw = before + bytes(str((entry.term, entry.data)), "ascii")
        self._states[index] = xxhash.xxh3_128_digest(raw) * 2
        self._world.counts["commits"] += 1
        if entry.kind is EntryKind.CONFIGURATION:
            found = CONFIGURATION_CODEC.decode(entry.data)
            self.committed_configuration = found
            self._configuration_index = index
        self._check_quorum_on_disk(name, entry)

    def _check_quorum_on_disk(self, name, entry):
        # Looked at when an entry is first applied anywhere.  A replica that
        # lost its disk since it answered is not held against the leader.
        node = self._world.processes[name].node
        if node.role is not RaftRole.LEADER:
            return
        configuration = node.configuration
        holders = sum(
            self._world.disks[voter].holds(entry.index, entry.term)
            for voter in configuration.voter_names
        )
        missing = len(self._world.repairing)
        assert holders + missing >= configuration.quorum, (
            f"entry {entry.index} committed on {holders} disks"
        )

    def _check_leader(self, name, process):
        node = process.node
        known = self._leaders.setdefault(node.term, name)
        assert known == name, (
            f"{known} and {name} both lead in term {node.term}"
        )
        if (name, node.term) not in self._known_leaders:
            self._known_leaders.add((name, node.term))
            self._world.counts["elections"] += 1
            self._check_leader_completeness(name, node)
        self._check_leases(name, process)

    def _check_leader_completeness(self, name, node):
        for index, entry in self._committed.items():
            if index > node.base_index:
                assert node.entry_term(index) == entry.term, (
                    f"{name} leads without committed entry {index}"
                )

    def _check_leases(self, name, process):
        if not process.node.is_ready or process.leases is None:
            return
        now_s = self._world.clock_s(name)
        table = self._world.lease_table(name)
        version = process.applied
        if not table.in_force(version, now_s):
            return
        self._world.counts["in_force"] += 1
        for viewer in self._world.viewers:
            if viewer.lease_ends_s > self._world.now_s:
                assert viewer.version >= version, (
                    f"version {version} is said to be in force, but an "
                    f"instance acts on {viewer.version}"
                )

    def _check_log_matching(self):
        nodes = [process.node for process in self._world.processes.values()]
        for one, other in zip(nodes, nodes[1:], strict=False):
            last = min(one.last_index, other.last_index)
            first = max(one.base_index, other.base_index)
            same = False
            for index in range(last, first, -1):
                equal = one.entry_term(index) == other.entry_term(index)
                assert equal or not same, f"logs differ before {index + 1}"
                same |= equal
