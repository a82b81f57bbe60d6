"""Randomised fault schedules over a simulated Raft group, with fixed seeds.

This is a randomised model check of the algorithm.  The faults are loss,
duplication and reordering of messages, crashes that lose unsynced writes,
lost disks, isolated replicas and clocks that run at different rates; they are
mixed with changes of the replica set, snapshots and leadership transfers.
``Invariants`` checks every step.
"""

import random
from dataclasses import replace

from currantdeal.consensus import (
    CLOCK_DRIFT,
    Configuration,
    ConsensusError,
    EntryKind,
    InvariantError,
    LeaseTable,
    Node,
    NodeSettings,
    RaftRole,
    Replica,
    SaveSnapshot,
    SaveVote,
    Snapshot,
    Stored,
)
from currantdeal.consensus.tests.invariants import Invariants

SETTINGS = NodeSettings(
    heartbeat_s=0.15,
    election_s=0.8,
    max_entries=4,
    window_entries=8,
    piece_bytes=16,
)
LEASE_S = 2.0
STEPS = 600
LEASE_HOLDER_COUNT = 2

# Relative frequency of the actions.
ACTIONS = {
    "deliver": 100,
    "duplicate": 3,
    "lose": 4,
    "pass_time": 22,
    "propose": 10,
    "renew": 4,
    "crash": 1.2,
    "restart": 3,
    "isolate": 0.6,
    "isolate_leader": 0.4,
    "heal": 1.2,
    "compact": 1,
    "join": 1,
    "remove": 0.3,
    "transfer": 0.5,
    "lose_disk": 0.25,
}


class Disk:
    """Synced data on the disk of one replica."""

    def __init__(self, stored):
        self.stored = stored

    def write(self, write):
        old = self.stored
        if isinstance(write, SaveVote):
            self.stored = replace(
                old, term=write.term, voted_for=write.voted_for
            )
        elif isinstance(write, SaveSnapshot):
            keep = () if write.discard else old.entries
            keep = tuple(e for e in keep if e.index > write.snapshot.index)
            self.stored = replace(old, snapshot=write.snapshot, entries=keep)
        else:
            first = write.entries[0].index
            keep = tuple(e for e in old.entries if e.index < first)
            base = old.snapshot.index if old.snapshot else 0
            new = tuple(e for e in write.entries if e.index > base)
            self.stored = replace(old, entries=keep + new)

    def holds(self, index, term):
        snapshot = self.stored.snapshot
        if snapshot is not None and snapshot.index >= index:
            return True
        return any(
            e.index == index and e.term == term for e in self.stored.entries
        )


class Process:
    """A running replica: its node, applied index and lease table."""

    def __init__(self, node, applied):
        self.node = node
        self.applied = applied
        self.unsynced = None
        self.leases = None


class SimulatedLeaseHolder:
    """An instance that uses its view of the state under a lease."""

    def __init__(self):
        self.version = 0
        self.lease_ends_s = 0.0


class Simulation:
    """The simulated run of one schedule.

    Parameters
    ----------
    seed : int
        Seed of all random decisions.
    """

    def __init__(self, *, seed):
        """Set up three or five replicas and one spare."""
        self.random = random.Random(seed)
        self.now_s = 0.0
        count = self.random.choice((3, 3, 5))
        self.names = [f"i{n}" for n in range(count)]
        first = Configuration(
            voters=tuple(Replica(instance=n, address="") for n in self.names)
        )
        start = Snapshot(index=0, term=0, configuration=first)
        self.disks = {n: Disk(Stored(snapshot=start)) for n in self.names}
        self.names.append("spare")
        self.disks["spare"] = Disk(Stored())
        self.rates = {
            n: 1.0 + self.random.uniform(-1, 1) * CLOCK_DRIFT / 2.1
            for n in self.names
        }
        self.lost_disks = 0
        self.recovering = set()
        self.max_lost_disks = count // 2
        self.isolated = set()
        self.in_flight = []
        self.lease_holders = [
            SimulatedLeaseHolder() for _ in range(LEASE_HOLDER_COUNT)
        ]
        self.processes = {}
        self.counts = dict.fromkeys(
            ("commits", "elections", "installs", "changes", "in_force"), 0
        )
        self.invariants = Invariants(simulation=self)
        for name in self.names:
            self._start_replica(name)

    def run(self, steps=STEPS):
        """Run random actions; a broken invariant raises ``AssertionError``."""
        names, weights = list(ACTIONS), list(ACTIONS.values())
        for action in self.random.choices(names, weights, k=steps):
            getattr(self, f"_{action}")()
            self.invariants.check()

    def clock_s(self, name):
        """Return the local monotonic time of a replica."""
        return self.now_s * self.rates[name]

    def _start_replica(self, name):
        stored = self.disks[name].stored
        node = Node(
            local_id=name,
            settings=SETTINGS,
            stored=stored,
            random=random.Random(self.random.random()),
            now_s=self.clock_s(name),
        )
        base = stored.snapshot.index if stored.snapshot else 0
        self.processes[name] = Process(node, base)

    def _pick_replica(self, *, leads=None):
        ready = [
            name
            for name, process in self.processes.items()
            if process.unsynced is None
            and (leads is None or process.node.role is RaftRole.LEADER)
        ]
        return self.random.choice(ready) if ready else None

    def _run_on_node(self, name, call):
        process = self.processes[name]
        try:
            call(process.node, self.clock_s(name))
        except InvariantError:
            raise
        except ConsensusError:
            pass
        self._process_output(name)

    def _process_output(self, name):
        process = self.processes[name]
        while process.unsynced is None:
            output = process.node.take_output()
            self._send(output.early)
            process.unsynced = output
            if output.writes and self.random.random() < 0.1:
                return
            self._sync(name)
            if not (output.writes or output.committed):
                return

    def _sync(self, name):
        process = self.processes[name]
        output, process.unsynced = process.unsynced, None
        for write in output.writes:
            self.disks[name].write(write)
        process.node.synced(output.last_index, self.clock_s(name))
        self._send(output.messages)
        if output.installed is not None:
            self.counts["installs"] += 1
            self.invariants.on_install(name, output.installed)
            process.applied = output.installed.index
        for entry in output.committed:
            self.invariants.on_commit(name, entry)
            process.applied = entry.index

    def _send(self, messages):
        for message in messages:
            self.invariants.on_send(message)
            if not {message.sender, message.to} & self.isolated:
                self.in_flight.append(message)

    def _deliver(self, *, again=False):
        if not self.in_flight:
            return
        position = self.random.randrange(len(self.in_flight))
        message = self.in_flight[position]
        if not again:
            self.in_flight[position] = self.in_flight[-1]
            self.in_flight.pop()
        if callable(message):
            message()
            return
        process = self.processes.get(message.to)
        if process is None or {message.sender, message.to} & self.isolated:
            return
        if process.unsynced is not None:
            self._sync(message.to)
            self._process_output(message.to)
        self._run_on_node(
            message.to, lambda node, now: node.receive(message, now)
        )

    def _duplicate(self):
        self._deliver(again=True)

    def _lose(self):
        if self.in_flight:
            self.in_flight.pop(self.random.randrange(len(self.in_flight)))

    def _pass_time(self):
        self.now_s += self.random.choice((0.02, 0.05, 0.1, 0.3))
        for name in list(self.processes):
            if self.processes[name].unsynced is None:
                self._run_on_node(name, lambda node, now: node.tick(now))

    def _propose(self):
        name = self._pick_replica(leads=True)
        if name is not None:
            data = self.random.randbytes(4)
            self._run_on_node(
                name, lambda node, now: node.propose((data,), now)
            )

    def _renew(self):
        holder = self.random.choice(self.lease_holders)
        sent_s, version = self.now_s, holder.version
        name = self._pick_replica(leads=True)
        if name is not None:
            self.in_flight.append(
                lambda: self._grant(name, holder, version, sent_s)
            )

    def _grant(self, name, holder, version, sent_s):
        process = self.processes.get(name)
        if process is None or not process.node.is_ready:
            return
        if version > process.applied:
            return
        now_s = self.clock_s(name)
        table = self.lease_table(name)
        remaining_s = table.renew(
            str(id(holder)),
            "region",
            version,
            anchor_s=process.node.quorum_acked_s(now_s),
            now_s=now_s,
        )
        applied = process.applied

        def accept_lease():
            holder.version = max(holder.version, applied)
            ends_s = sent_s + remaining_s
            holder.lease_ends_s = max(holder.lease_ends_s, ends_s)

        self.in_flight.append(accept_lease)

    def lease_table(self, name):
        """Return the lease table of a leader for its current term."""
        process = self.processes[name]
        elected_s = process.node.elected_s
        if process.leases is None or process.leases.elected_s != elected_s:
            process.leases = LeaseTable(lease_s=LEASE_S, elected_s=elected_s)
        return process.leases

    def _crash(self):
        if not self.processes:
            return
        name = self.random.choice(list(self.processes))
        process = self.processes.pop(name)
        if process.unsynced is not None:
            writes = process.unsynced.writes
            kept = self.random.randint(0, len(writes))
            for write in writes[:kept]:
                self.disks[name].write(write)

    def _restart(self):
        down = [name for name in self.names if name not in self.processes]
        if down:
            self._start_replica(self.random.choice(down))

    def _lose_disk(self):
        self.recovering = {
            name for name in self.recovering if not self._has_recovered(name)
        }
        down = [n for n in self.names[:-1] if n not in self.processes]
        if down and len(self.recovering) < min(1, self.max_lost_disks):
            name = self.random.choice(down)
            self.disks[name] = Disk(Stored())
            self.lost_disks += 1
            self.recovering.add(name)

    def _has_recovered(self, name):
        configuration = self.invariants.committed_configuration
        blank = self.disks[name].stored.snapshot is None
        return not blank and name in configuration.voter_names

    def _isolate(self):
        self.isolated.add(self.random.choice(self.names))

    def _isolate_leader(self):
        name = self._pick_replica(leads=True)
        if name is not None:
            self.isolated.add(name)

    def _heal(self):
        self.isolated.clear()

    def _compact(self):
        name = self._pick_replica()
        process = self.processes.get(name)
        if process is None or process.node.blank:
            return
        snapshot = self.disks[name].stored.snapshot
        if process.applied <= snapshot.index:
            return
        keep = self.random.choice((0, 2, 100))
        data = self.invariants.state_at(process.applied)
        self._run_on_node(
            name,
            lambda node, now: node.compact(
                index=process.applied, data=data, keep=keep
            ),
        )

    def _join(self):
        name = self._pick_replica(leads=True)
        target = self.random.choice(self.names)
        process = self.processes.get(target)
        if name is None or process is None:
            return
        replica = Replica(instance=target, address="")
        blank = process.node.blank
        self.counts["changes"] += 1
        self._run_on_node(
            name,
            lambda node, now: node.join(replica, blank=blank, now_s=now),
        )

    def _remove(self):
        name = self._pick_replica(leads=True)
        target = self.random.choice(self.names)
        if name is not None and not self.recovering:
            self._run_on_node(name, lambda node, now: node.remove(target, now))

    def _transfer(self):
        name = self._pick_replica(leads=True)
        if name is not None:
            self._run_on_node(name, lambda node, now: node.transfer(now))


def is_command(entry):
    """Return whether an entry holds a command."""
    return entry.kind is EntryKind.COMMAND
