"""Raft and lease invariants that are checked at every step of a schedule."""

import xxhash

from currantdeal.consensus import EntryKind, RaftRole, VoteAnswer
from currantdeal.consensus.messages import CONFIGURATION_CODEC


class Invariants:
    """Checks the invariants of a simulation.

    Their names follow figure 3 of the Raft paper.

    Parameters
    ----------
    simulation : Simulation
        The simulation to check.
    """

    def __init__(self, *, simulation):
        """Start without committed entries."""
        self._simulation = simulation
        self._committed = {}
        self._states = {0: b""}
        self._leaders = {}
        self._votes = {}
        self._known_leaders = set()
        first = simulation.disks[
            simulation.names[0]
        ].stored.snapshot.configuration
        self.committed_configuration = first
        self._configuration_index = 0

    def state_at(self, index):
        """Return a hash of all entries, which represents the applied state."""
        return self._states[index]

    def check(self):
        """Check the invariants that must hold after every step."""
        for name, process in self._simulation.processes.items():
            if process.node.role is RaftRole.LEADER:
                self._check_leader(name, process)
        self._check_log_matching()

    def on_send(self, message):
        """Check that no replica votes twice in a term."""
        if not isinstance(message, VoteAnswer):
            return
        if message.pre or not message.granted:
            return
        key = (message.sender, message.term, self._simulation.lost_disks)
        assert self._votes.setdefault(key, message.to) == message.to, (
            f"{message.sender} voted twice in term {message.term}"
        )

    def on_commit(self, name, entry):
        """Check an entry that a replica applies."""
        process = self._simulation.processes[name]
        assert entry.index == process.applied + 1, (
            f"{name} applied {entry.index} after {process.applied}"
        )
        known = self._committed.get(entry.index)
        if known is None:
            self._record_commit(name, entry)
        else:
            assert known == entry, (
                f"{name} applied another entry {entry.index}"
            )

    def on_install(self, name, snapshot):
        """Check a snapshot that a replica installs."""
        process = self._simulation.processes[name]
        assert snapshot.index >= process.applied, (
            f"{name} installed an outdated snapshot"
        )
        assert snapshot.data == self._states[snapshot.index], (
            f"{name} installed a corrupt snapshot"
        )
        known = self._committed.get(snapshot.index)
        assert (known.term if known else 0) == snapshot.term

    def _record_commit(self, name, entry):
        index = entry.index
        before = self._states.get(index - 1)
        assert before is not None, f"entry {index - 1} was never committed"
        self._committed[index] = entry
        raw = before + bytes(str((entry.term, entry.data)), "ascii")
        self._states[index] = xxhash.xxh3_128_digest(raw) * 2
        self._simulation.counts["commits"] += 1
        if entry.kind is EntryKind.CONFIGURATION:
            found = CONFIGURATION_CODEC.decode(entry.data)
            self.committed_configuration = found
            self._configuration_index = index
        self._check_quorum_on_disk(name, entry)

    def _check_quorum_on_disk(self, name, entry):
        # Runs when an entry is first applied anywhere.  Replicas that have
        # lost their disk since they answered count as holders: the loss is
        # no fault of the leader.
        node = self._simulation.processes[name].node
        if node.role is not RaftRole.LEADER:
            return
        configuration = node.configuration
        holders = sum(
            self._simulation.disks[voter].holds(entry.index, entry.term)
            for voter in configuration.voter_names
        )
        missing = len(self._simulation.recovering)
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
            self._simulation.counts["elections"] += 1
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
        now_s = self._simulation.clock_s(name)
        table = self._simulation.lease_table(name)
        version = process.applied
        if not table.in_force(version, now_s):
            return
        self._simulation.counts["in_force"] += 1
        for holder in self._simulation.lease_holders:
            if holder.lease_ends_s > self._simulation.now_s:
                assert holder.version >= version, (
                    f"version {version} is reported as in force, but an "
                    f"instance acts on {holder.version}"
                )

    def _check_log_matching(self):
        nodes = [
            process.node for process in self._simulation.processes.values()
        ]
        for one, other in zip(nodes, nodes[1:], strict=False):
            last = min(one.last_index, other.last_index)
            first = max(one.base_index, other.base_index)
            same = False
            for index in range(last, first, -1):
                equal = one.entry_term(index) == other.entry_term(index)
                assert equal or not same, f"logs differ before {index + 1}"
                same |= equal
