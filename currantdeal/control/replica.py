"""Runs one replica of the log on the event loop, and its disk on a thread.

A disk sync may take seconds.  The replica blocks until it completes, so that
nothing is acknowledged before it is durable, and so that the other replicas
elect a leader whose disk works.  The rest of the process keeps running.
"""

import asyncio
from concurrent.futures import ThreadPoolExecutor

import structlog

from currantdeal.adapters.disk import DiskError, DiskFullError
from currantdeal.consensus import (
    MESSAGE_CODEC,
    ConsensusError,
    EntryKind,
    InvariantError,
    Node,
    NotLeaderError,
    RaftRole,
)
from currantdeal.control.deployment_state import (
    DEPLOYMENT_CODEC,
    DeploymentState,
)
from currantdeal.control.errors import NotCertainError, NotCommittedError
from currantdeal.control.replica_watch import ReplicaWatch

TICK_S = 0.05
"""Interval at which timeouts are checked; a third of the default heartbeat."""

SLOW_WRITE_S = 1.0
"""Duration of a disk write from which a line is logged, in seconds.

A replica neither votes nor leads meanwhile.
"""

DISK_RETRY_S = 0.2
"""Pause before a write to a full disk is retried."""

COMPACTION_BYTES = 4_194_304
"""Size of the log on disk from which it is compacted into a snapshot."""

KEEP_ENTRIES = 64
"""Entries kept before a snapshot, for replicas that are slightly behind."""

_log = structlog.get_logger(__name__)


class Replica:
    """One replica of the log and the state machine that it feeds.

    Parameters
    ----------
    local_id : InstanceId
        Name of the replica in the replica set: its peer address.
    folder : DataFolder
        Durable state of the replica.
    node_settings : NodeSettings
        Intervals of the log (``currantdeal.consensus.NodeSettings``).
    random : random.Random
        Source of the election timeouts.
    clock : callable
        Returns monotonic seconds.
    send : callable
        Called with messages for other replicas.
    on_state : callable
        Called with each new state after entries were applied.
    """

    def __init__(
        self, *, local_id, folder, node_settings, random, clock, send, on_state
    ):
        """Restore the state that is stored in the folder."""
        self._folder = folder
        self._clock = clock
        self._send = send
        self._on_state = on_state
        stored = folder.stored
        self.node = Node(
            local_id=local_id,
            settings=node_settings,
            stored=stored,
            random=random,
            now_s=clock(),
        )
        self.state = _decode_snapshot(stored.snapshot)
        self._inbox = []
        self._wakeup = asyncio.Event()
        self._proposals = {}
        self._pending_reads = []
        self._watch = ReplicaWatch(clock=clock)
        self._disk = ThreadPoolExecutor(1, thread_name_prefix="disk")

    @property
    def is_leader(self):
        """True on a leader that has applied all earlier committed entries."""
        return self.node.is_ready

    @property
    def is_caught_up_leader(self):
        """True on a leader whose state has all entries of earlier terms.

        The node hands out committed entries before a disk write that may take
        long, and the state has them only after it.
        """
        node = self.node
        return node.is_ready and self.state.index >= node.first_own_index

    @property
    def has_leader(self):
        """True while this replica leads or is in contact with the leader."""
        return self.node.leader is not None and not self.node.blank

    def deliver(self, messages):
        """Queue messages that were received from another replica."""
        self._inbox.extend(MESSAGE_CODEC.decode(raw) for raw in messages)
        self._wakeup.set()

    def bootstrap(self, configuration):
        """Start the first replica set of the deployment."""
        self.node.bootstrap(configuration)
        self._wakeup.set()

    def change(self, change_node):
        """Call a function that changes the replica set.

        Returns False if the node rejected the change.
        """
        try:
            change_node(self.node)
        except InvariantError:
            raise
        except ConsensusError:
            return False
        self._wakeup.set()
        return True

    async def propose(self, command):
        """Propose a command; returns when it is committed and applied.

        Raises
        ------
        NotCommittedError
            If the outcome is unknown; the command may still be committed.
        """
        raw = DEPLOYMENT_CODEC.encode(command)
        try:
            (entry,) = self.node.propose((raw,), self._clock())
        except NotLeaderError as exc:
            raise NotCommittedError(str(exc)) from exc
        future = asyncio.get_running_loop().create_future()
        self._proposals[entry.index] = (entry.term, future)
        self._wakeup.set()
        await future

    async def read(self):
        """Return the newest state (a linearizable read).

        A quorum must first answer a heartbeat that this leader sent after
        the call.  Otherwise a later leader may already have changed the
        state, and the caller would not see an acknowledged change.

        Raises
        ------
        NotCertainError
            If this replica is not the leader, or loses leadership before
            the quorum has answered.
        """
        if not self.is_leader:
            raise NotCertainError("not the leader")
        future = asyncio.get_running_loop().create_future()
        self._pending_reads.append((self._clock(), future))
        await future
        return self.state

    async def run(self):
        """Run until cancelled, or until a disk write fails permanently."""
        while True:
            await self._wait_for_work()
            now_s = self._clock()
            # Received before the timers run: a leader whose messages wait
            # here is not silent.
            inbox, self._inbox = self._inbox, []
            for message in inbox:
                self.node.receive(message, now_s)
            self.node.tick(now_s)
            while await self._process_output():
                pass
            self._update_waiters()
            await self._compact_if_due()

    async def _wait_for_work(self):
        if not self._wakeup.is_set():
            loop = asyncio.get_running_loop()
            timer = loop.call_later(TICK_S, self._wakeup.set)
            await self._wakeup.wait()
            timer.cancel()
        self._wakeup.clear()

    async def _process_output(self):
        output = self.node.take_output()
        self._send(output.early)
        if output.writes:
            await self._save(output.writes)
        self.node.synced(output.last_index, self._clock())
        self._send(output.messages)
        if output.installed is not None:
            self.state = _decode_snapshot(output.installed)
        for entry in output.committed:
            self._apply(entry)
        if output.installed is not None or output.committed:
            self._on_state(self.state)
        return bool(output.writes or output.committed)

    async def _save(self, writes):
        loop = asyncio.get_running_loop()
        began_s = self._clock()
        is_full = False
        while True:
            try:
                await loop.run_in_executor(
                    self._disk, self._folder.save, writes
                )
            except DiskFullError as exc:
                if not is_full:
                    is_full = True
                    _log.error("disk-lost", reason=str(exc))
                self._fail_pending("the disk is full")
                await asyncio.sleep(DISK_RETRY_S)
                continue
            except DiskError as exc:
                _log.error("disk-failed", reason=str(exc))
                raise
            if is_full:
                _log.info("disk-regained")
            took_s = self._clock() - began_s
            if took_s > SLOW_WRITE_S:
                _log.warning("disk-slow", took=round(took_s, 3))
            return

    def _apply(self, entry):
        command = None
        if entry.kind is EntryKind.COMMAND:
            command = DEPLOYMENT_CODEC.decode(entry.data)
        before = self.state.version
        self.state = self.state.after(entry.index, command)
        if self.state.version != before:
            _log.info(
                "config-committed",
                version=self.state.version,
                before=before,
                index=entry.index,
            )
        term, future = self._proposals.pop(entry.index, (0, None))
        if future is None or future.done():
            return
        if term == entry.term:
            future.set_result(None)
        else:
            future.set_exception(
                NotCommittedError("another entry was committed in its place")
            )

    def _update_waiters(self):
        if self.node.role is not RaftRole.LEADER:
            self._fail_pending("leadership was lost")
        if self._pending_reads:
            self._complete_reads()
        self._watch.log_changes(self.node)

    def _complete_reads(self):
        if not self.is_leader:
            self._fail_reads("leadership was lost")
            return
        acked_s = self.node.quorum_acked_s(self._clock())
        waiting = []
        for started_s, future in self._pending_reads:
            if acked_s > started_s and not future.done():
                future.set_result(None)
            elif not future.done():
                waiting.append((started_s, future))
        self._pending_reads = waiting

    def _fail_pending(self, reason):
        self._fail_reads(reason)
        for _, future in self._proposals.values():
            if not future.done():
                future.set_exception(NotCommittedError(reason))
        self._proposals.clear()

    def _fail_reads(self, reason):
        for _, future in self._pending_reads:
            if not future.done():
                future.set_exception(NotCertainError(reason))
        self._pending_reads = []

    async def _compact_if_due(self):
        if self._folder.segment_bytes < COMPACTION_BYTES:
            return
        if self.state.index <= self.node.base_index + KEEP_ENTRIES:
            return
        self.node.compact(
            index=self.state.index,
            data=DEPLOYMENT_CODEC.encode(self.state),
            keep=KEEP_ENTRIES,
        )
        await self._process_output()


def _decode_snapshot(snapshot):
    if snapshot is None or not snapshot.data:
        return DeploymentState()
    return DEPLOYMENT_CODEC.decode(snapshot.data)
