"""The actor that runs a replica: disk, outbox, leases and the applied state.

The actor handles what is in its inbox before it writes: one sync covers all
proposals and messages that came while the one before was under way.
"""

from functools import singledispatchmethod

import pykka
import structlog

from currantdeal.adapters.disk import DiskError
from currantdeal.adapters.replication import compaction
from currantdeal.adapters.replication.entries import (
    state_of,
    step_of,
    take_step,
)
from currantdeal.adapters.replication.errors import NotProposedError
from currantdeal.adapters.replication.requests import (
    AskInForce,
    AskProgress,
    AskStatus,
    Bootstrap,
    Compact,
    Deliver,
    HandOver,
    InForce,
    Join,
    LeaseProgress,
    Propose,
    ReadSteps,
    ReleaseLease,
    Remove,
    Renew,
    Renewed,
    ReplicaStatus,
    Steps,
    Tick,
)
from currantdeal.adapters.replication.waiting import (
    Callers,
    Proposals,
    fail,
)
from currantdeal.consensus import (
    CompactedError,
    ConsensusError,
    InvariantError,
    LeaseTable,
    Node,
    NotLeaderError,
)

MAX_UNWRITTEN = 256
"""Messages handled at most before the writes are synced."""

MAX_STEPS = 512
MAX_STEP_BYTES = 262_144

_log = structlog.get_logger(__name__)


class ReplicaActor(pykka.ThreadingActor):
    """Runs one replica.

    Parameters
    ----------
    me : InstanceId
        Name of this replica.
    folder : DataFolder
        Its durable state.
    outbox : Outbox
        Takes messages to other replicas.
    board : ViewBoard
        Gets every state that is applied.
    clock : Clock
        Source of time.
    random : random.Random
        Source of the election timeouts.
    node_settings : NodeSettings
        Intervals of the replica.
    lease_s : float
        Length of a lease on the view.
    on_configuration : callable
        Told of the latest replica set.
    """

    use_daemon_thread = True

    def __init__(
        self,
        *,
        me,
        folder,
        outbox,
        board,
        clock,
        random,
        node_settings,
        lease_s,
        on_configuration,
    ):
        """Start from what the folder holds."""
        super().__init__()
        self._me = me
        self._folder = folder
        self._outbox = outbox
        self._board = board
        self._clock = clock
        self._lease_s = lease_s
        self._on_configuration = on_configuration
        stored = folder.stored
        self._node = Node(
            me=me,
            settings=node_settings,
            stored=stored,
            random=random,
            now_s=clock.monotonic_s(),
        )
        data = stored.snapshot.data if stored.snapshot else b""
        self._state = state_of(data)
        self._compaction = compaction.Compaction(
            index=self._state.version, tell=self._tell_self
        )
        self._proposals = Proposals()
        self._callers = Callers()
        self._leases = None
        self._unwritten = 0
        self._held = None
        self._shown_role = None
        self._configuration = None
        board.publish(self._state)

    def on_receive(self, message):
        """Handle one message; write when the inbox is empty."""
        answer = self._take(message)
        self._unwritten += 1
        if self.actor_inbox.empty() or self._unwritten >= MAX_UNWRITTEN:
            self._unwritten = 0
            self._flush()
        return answer

    def on_stop(self):
        """Fail what is pending and give up the folder."""
        self._callers.release()
        self._proposals.fail_all("the instance stops")
        self._folder.close()

    @property
    def _now_s(self):
        return self._clock.monotonic_s()

    @property
    def _leads(self):
        return self._node.is_ready and self._held is None

    @singledispatchmethod
    def _take(self, message):
        raise TypeError(f"not a request: {message!r}")

    @_take.register
    def _(self, message: Tick):
        if self._held is None:
            self._node.tick(self._now_s)

    @_take.register
    def _(self, message: Deliver):
        if message.reply is not None:
            self._callers.add(message.sender, message.reply)
        # A replica whose disk takes nothing must not answer; to the others
        # it looks like one that is cut off.
        if self._held is None:
            for item in message.messages:
                self._node.receive(item, self._now_s)

    @_take.register
    def _(self, message: Propose):
        if not self._leads:
            fail(message.reply, NotProposedError("no leader"))
            return
        try:
            (entry,) = self._node.propose((message.command,), self._now_s)
        except NotLeaderError as exc:
            fail(message.reply, NotProposedError(str(exc)))
            return
        self._proposals.add(entry, message.reply)

    @_take.register
    def _(self, message: Renew):
        now_s = self._now_s
        members = self._node.configuration.members
        leader = self._node.leader
        if not self._leads or message.version > self._state.version:
            return Renewed(granted=False, leader=leader, members=members)
        remaining_s = self._lease_table().renew(
            message.instance,
            message.region,
            message.version,
            anchor_s=self._node.quorum_acked_s(now_s),
            now_s=now_s,
        )
        found = self._steps_after(message.version)
        return Renewed(
            granted=remaining_s > 0.0,
            leader=leader,
            members=members,
            remaining_s=remaining_s,
            version=self._state.version,
            steps=found.steps or (),
            compacted=found.steps is None,
        )

    @_take.register
    def _(self, message: ReleaseLease):
        if self._leads:
            self._lease_table().release(message.instance)

    @_take.register
    def _(self, message: ReadSteps):
        return self._steps_after(message.after)

    @_take.register
    def _(self, message: AskInForce):
        if not self._leads:
            return InForce(leads=False)
        known = self._state.version >= message.version
        now_s = self._now_s
        return InForce(
            leads=True,
            in_force=known
            and self._lease_table().in_force(message.version, now_s),
        )

    @_take.register
    def _(self, message: AskProgress):
        if not self._leads:
            return LeaseProgress(leads=False)
        table, now_s = self._lease_table(), self._now_s
        homes = {home.instance for home in self._state.homes.values()}
        holders = table.holders(now_s, also=homes)
        return LeaseProgress(
            leads=True,
            holders=holders,
            remaining_s=tuple(
                table.remaining_s(holder.instance, now_s) for holder in holders
            ),
        )

    @_take.register
    def _(self, message: AskStatus):
        node = self._node
        return ReplicaStatus(
            role=node.role.value,
            term=node.term,
            leader=node.leader,
            ready=self._leads,
            fresh=node.is_fresh,
            blank=node.blank,
            commit_index=node.commit_index,
            last_index=node.last_index,
            configuration=node.configuration,
        )

    @_take.register
    def _(self, message: Bootstrap):
        if self._node.is_fresh and self._node.blank:
            self._node.bootstrap(message.configuration)

    @_take.register
    def _(self, message: Join):
        return self._change(
            lambda: self._node.join(
                message.replica, blank=message.blank, now_s=self._now_s
            )
        )

    @_take.register
    def _(self, message: Remove):
        return self._change(
            lambda: self._node.remove(message.instance, self._now_s)
        )

    @_take.register
    def _(self, message: HandOver):
        self._node.transfer(self._now_s)

    @_take.register
    def _(self, message: Compact):
        if message.index >= self._node.base_index:
            self._compaction.note(message.index)
            self._node.compact(
                index=message.index,
                data=message.data,
                keep=compaction.KEEP_ENTRIES,
            )

    def _steps_after(self, version):
        try:
            entries = self._node.entries_after(
                version, limit=MAX_STEPS, max_bytes=MAX_STEP_BYTES
            )
        except CompactedError:
            return Steps(version=self._state.version, steps=None)
        steps = tuple(
            step_of(e) for e in entries if e.index <= self._state.version
        )
        return Steps(version=self._state.version, steps=steps)

    def _change(self, ask):
        try:
            ask()
        except InvariantError:
            raise
        except ConsensusError:
            return False
        return True

    def _lease_table(self):
        # Leases belong to one leadership: the next one knows nothing of
        # what this one granted and must wait for it.
        elected_s = self._node.elected_s
        if self._leases is None or self._leases.elected_s != elected_s:
            self._leases = LeaseTable(
                lease_s=self._lease_s, elected_s=elected_s
            )
        return self._leases

    def _flush(self):
        while self._carry_out():
            pass
        self._callers.release()
        if not self._node.is_ready:
            self._proposals.fail_all("leadership was lost")
        self._note_changes()
        if self._held is None:
            self._compaction.consider(self._state, self._folder.segment_bytes)

    def _carry_out(self):
        output = self._held or self._node.take_output()
        if self._held is None:
            self._outbox.send(output.early)
        if not self._save(output):
            return False
        self._node.synced(output.last_index)
        self._outbox.send(
            message
            for message in output.messages
            if not self._callers.take(message)
        )
        if output.installed is not None:
            self._state = state_of(output.installed.data)
            self._compaction.note(output.installed.index)
        for entry in output.committed:
            self._apply(entry)
        if output.installed is not None or output.committed:
            self._board.publish(self._state)
        return bool(output.writes or output.committed)

    def _save(self, output):
        try:
            self._folder.save(output.writes)
        except DiskError as exc:
            if self._held is None:
                _log.error("disk-refused", error=str(exc))
                self._proposals.fail_all("the disk takes no writes")
            self._held = output
            return False
        if self._held is not None:
            _log.info("disk-accepts-again")
            self._held = None
        return True

    def _apply(self, entry):
        self._state, result = take_step(self._state, step_of(entry))
        self._proposals.resolve(entry, result)

    def _tell_self(self, message):
        try:
            self.actor_ref.tell(message)
        except pykka.ActorDeadError:
            return

    def _note_changes(self):
        role = self._node.role
        if role is not self._shown_role:
            self._shown_role = role
            _log.info("replica-role", role=role.value, term=self._node.term)
        configuration = self._node.configuration
        if configuration is not self._configuration:
            self._configuration = configuration
            self._on_configuration(configuration)
