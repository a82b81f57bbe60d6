"""One replica of the log on the event loop, with its disk on a thread.

A disk may take seconds for a sync.  The replica stands still meanwhile, so
that nothing is answered before it is durable and the other replicas elect a
leader whose disk works; everything else in the process goes on.
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
"""Interval at which timeouts are looked at; a third of a heartbeat."""

DISK_RETRY_S = 0.2
"""Pause before a full disk is tried again."""

COMPACT_BYTES = 4_194_304
"""Length of the log on disk that calls for a snapshot."""

KEEP_ENTRIES = 64
"""Entries kept before a snapshot, for replicas that lag a little."""

_log = structlog.get_logger(__name__)


class Replica:
    """Runs one replica.

    Parameters
    ----------
    me : InstanceId
        Its name in the replica set: its peer address.
    folder : DataFolder
        Its durable state.
    node_settings : NodeSettings
        Intervals of the log (``currantdeal.consensus.NodeSettings``).
    random : random.Random
        Source of the election timeouts.
    clock : callable
        Returns monotonic seconds.
    send : callable
        Takes messages for other replicas.
    on_state : callable
        Told of every state that is applied.
    """

    def __init__(
        self, *, me, folder, node_settings, random, clock, send, on_state
    ):
        """Start from what the folder holds."""
        self._folder = folder
        self._clock = clock
        self._send = send
        self._on_state = on_state
        stored = folder.stored
        self.node = Node(
            me=me,
            settings=node_settings,
            stored=stored,
            random=random,
            now_s=clock(),
        )
        self.state = _state_of(stored.snapshot)
        self._inbox = []
        self._wanted = asyncio.Event()
        self._proposals = {}
        self._barriers = []
        self._watch = ReplicaWatch(clock=clock)
        self._disk = ThreadPoolExecutor(1, thread_name_prefix="disk")

    @property
    def leads(self):
        """True on a leader that has applied all that was committed before."""
        return self.node.is_ready

    @property
    def knows_leader(self):
        """True while this replica leads or has heard the leader lately."""
        return self.node.leader is not None and not self.node.blank

    def deliver(self, messages):
        """Take messages from another replica."""
        self._inbox.extend(MESSAGE_CODEC.decode(raw) for raw in messages)
        self._wanted.set()

    def bootstrap(self, configuration):
        """Begin the very first replica set."""
        self.node.bootstrap(configuration)
        self._wanted.set()

    def change(self, ask):
        """Run a change of the replica set; returns whether it was taken."""
        try:
            ask(self.node)
        except InvariantError:
            raise
        except ConsensusError:
            return False
        self._wanted.set()
        return True

    async def propose(self, command):
        """Return when a command is committed and applied.

        Raises
        ------
        NotCommittedError
            If that cannot be told; the command may still come into force.
        """
        raw = DEPLOYMENT_CODEC.encode(command)
        try:
            (entry,) = self.node.propose((raw,), self._clock())
        except NotLeaderError as exc:
            raise NotCommittedError(str(exc)) from exc
        future = asyncio.get_running_loop().create_future()
        self._proposals[entry.index] = (entry.term, future)
        self._wanted.set()
        await future

    async def read(self):
        """Return the newest state.

        A quorum must have answered a heartbeat that this leader sent after
        the call; otherwise a later leader may have changed the state, and a
        reader would see a change go away that was acknowledged.

        Raises
        ------
        NotCertainError
            If this replica does not lead, or stops leading meanwhile.
        """
        if not self.leads:
            raise NotCertainError("not the leader")
        future = asyncio.get_running_loop().create_future()
        self._barriers.append((self._clock(), future))
        await future
        return self.state

    async def run(self):
        """Run until cancelled, or until the disk fails for good."""
        while True:
            await self._wait()
            now_s = self._clock()
            self.node.tick(now_s)
            inbox, self._inbox = self._inbox, []
            for message in inbox:
                self.node.receive(message, now_s)
            while await self._carry_out():
                pass
            self._settle()
            await self._compact_if_due()

    async def _wait(self):
        if not self._wanted.is_set():
            loop = asyncio.get_running_loop()
            timer = loop.call_later(TICK_S, self._wanted.set)
            await self._wanted.wait()
            timer.cancel()
        self._wanted.clear()

    async def _carry_out(self):
        output = self.node.take_output()
        self._send(output.early)
        if output.writes:
            await self._save(output.writes)
        self.node.synced(output.last_index)
        self._send(output.messages)
        if output.installed is not None:
            self.state = _state_of(output.installed)
        for entry in output.committed:
            self._apply(entry)
        if output.installed is not None or output.committed:
            self._on_state(self.state)
        return bool(output.writes or output.committed)

    async def _save(self, writes):
        loop = asyncio.get_running_loop()
        refused = False
        while True:
            try:
                await loop.run_in_executor(
                    self._disk, self._folder.save, writes
                )
            except DiskFullError as exc:
                if not refused:
                    refused = True
                    _log.error("disk-lost", reason=str(exc))
                self._fail_waiting("the disk is full")
                await asyncio.sleep(DISK_RETRY_S)
                continue
            except DiskError as exc:
                _log.error("disk-failed", reason=str(exc))
                raise
            if refused:
                _log.info("disk-regained")
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
            future.set_exception(NotCommittedError("another entry came"))

    def _settle(self):
        if self.node.role is not RaftRole.LEADER:
            self._fail_waiting("leadership was lost")
        if self._barriers:
            self._release_barriers()
        self._watch.look(self.node)

    def _release_barriers(self):
        if not self.leads:
            self._fail_barriers("leadership was lost")
            return
        acked_s = self.node.quorum_acked_s(self._clock())
        waiting = []
        for since_s, future in self._barriers:
            if acked_s > since_s and not future.done():
                future.set_result(None)
            elif not future.done():
                waiting.append((since_s, future))
        self._barriers = waiting

    def _fail_waiting(self, reason):
        self._fail_barriers(reason)
        for _, future in self._proposals.values():
            if not future.done():
                future.set_exception(NotCommittedError(reason))
        self._proposals.clear()

    def _fail_barriers(self, reason):
        for _, future in self._barriers:
            if not future.done():
                future.set_exception(NotCertainError(reason))
        self._barriers = []

    async def _compact_if_due(self):
        if self._folder.segment_bytes < COMPACT_BYTES:
            return
        if self.state.index <= self.node.base_index + KEEP_ENTRIES:
            return
        self.node.compact(
            index=self.state.index,
            data=DEPLOYMENT_CODEC.encode(self.state),
            keep=KEEP_ENTRIES,
        )
        await self._carry_out()


def _state_of(snapshot):
    if snapshot is None or not snapshot.data:
        return DeploymentState()
    return DEPLOYMENT_CODEC.decode(snapshot.data)
