"""Runs a replica as an actor, with its disk, outbox, leases and state.

The actor handles all requests in its inbox before it writes (group commit):
one sync covers all proposals and messages that arrived during the previous
sync.
"""

from functools import singledispatchmethod

import pykka
import structlog

from currantdeal.adapters.disk import DiskError
from currantdeal.adapters.replication import compaction
from currantdeal.adapters.replication.entries import (
    apply_update,
    state_from_snapshot,
    update_from_entry,
)
from currantdeal.adapters.replication.errors import NotProposedError
from currantdeal.adapters.replication.pending import (
    OpenCalls,
    PendingProposals,
    fail,
)
from currantdeal.adapters.replication.requests import (
    Bootstrap,
    CheckInForce,
    Compact,
    Deliver,
    GetProgress,
    GetStatus,
    InForce,
    Join,
    LeaseProgress,
    Propose,
    ReadUpdates,
    ReleaseLease,
    Remove,
    Renew,
    RenewReply,
    ReplicaStatus,
    Tick,
    TransferLeadership,
    Updates,
)
from currantdeal.consensus import (
    CompactedError,
    ConsensusError,
    InvariantError,
    LeaseTable,
    Node,
    NotLeaderError,
)

MAX_MESSAGES_PER_SYNC = 256
"""Maximum number of messages handled before the writes are synced."""

MAX_UPDATES = 512
MAX_UPDATE_BYTES = 262_144

_log = structlog.get_logger(__name__)


class ReplicaActor(pykka.ThreadingActor):
    """Runs one replica.

    Parameters
    ----------
    local_id : InstanceId
        Name of this replica.
    folder : DataFolder
        Its durable state.
    outbox : Outbox
        Sends messages to other replicas.
    view_store : ViewStore
        Receives every applied state.
    clock : Clock
        Source of time.
    random : random.Random
        Source of randomness of the election timeouts.
    node_settings : NodeSettings
        Intervals of the replica.
    lease_s : float
        Duration of a lease on the view.
    on_configuration : callable
        Called with every new configuration of the replica set.
    """

    use_daemon_thread = True

    def __init__(
        self,
        *,
        local_id,
        folder,
        outbox,
        view_store,
        clock,
        random,
        node_settings,
        lease_s,
        on_configuration,
    ):
        """Start from the folder's stored state."""
        super().__init__()
        self._folder = folder
        self._outbox = outbox
        self._view_store = view_store
        self._clock = clock
        self._lease_s = lease_s
        self._on_configuration = on_configuration
        stored = folder.stored
        self._node = Node(
            local_id=local_id,
            settings=node_settings,
            stored=stored,
            random=random,
            now_s=clock.monotonic_s(),
        )
        self._state = state_from_snapshot(
            stored.snapshot.data if stored.snapshot else b""
        )
        self._compaction = compaction.Compaction(
            index=self._state.version, send=self._send_to_self
        )
        self._pending_proposals = PendingProposals()
        self._open_calls = OpenCalls()
        self._leases = None
        self._messages_since_sync = 0
        self._is_tick_due = False
        self._unsaved = None
        self._logged_role = None
        self._configuration = None
        view_store.publish(self._state)

    def on_receive(self, message):
        """Handle one message; write and sync if the inbox is empty."""
        answer = self._handle(message)
        self._messages_since_sync += 1
        if (
            self.actor_inbox.empty()
            or self._messages_since_sync >= MAX_MESSAGES_PER_SYNC
        ):
            self._messages_since_sync = 0
            self._tick_if_due()
            self._flush()
        return answer

    def on_stop(self):
        """Complete open calls, fail proposals and close the folder."""
        self._open_calls.complete_all()
        self._pending_proposals.fail_all("the instance stops")
        self._folder.close()

    def _tick_if_due(self):
        # After all messages that wait: a leader whose heartbeats arrived
        # during a write is not silent.
        if self._is_tick_due and self._unsaved is None:
            self._node.tick(self._now_s)
        self._is_tick_due = False

    @property
    def _now_s(self):
        return self._clock.monotonic_s()

    @property
    def _leads(self):
        if not self._node.is_ready or self._unsaved is not None:
            return False
        # A tick that is due runs after the messages that wait.
        return not self._node.is_quorum_silent(self._now_s)

    @singledispatchmethod
    def _handle(self, message):
        raise TypeError(f"no handler for request {message!r}")

    @_handle.register
    def _(self, message: Tick):
        self._is_tick_due = True

    @_handle.register
    def _(self, message: Deliver):
        if message.reply is not None:
            self._open_calls.add(message.sender, message.reply)
        # A replica whose disk refuses writes must not reply; to the others it
        # appears unreachable.
        if self._unsaved is None:
            for item in message.messages:
                self._node.receive(item, self._now_s)

    @_handle.register
    def _(self, message: Propose):
        if not self._leads:
            fail(message.reply, NotProposedError("no leader"))
            return
        try:
            (entry,) = self._node.propose((message.command,), self._now_s)
        except NotLeaderError as exc:
            fail(message.reply, NotProposedError(str(exc)))
            return
        self._pending_proposals.add(entry, message.reply)

    @_handle.register
    def _(self, message: Renew):
        now_s = self._now_s
        members = self._node.configuration.members
        leader = self._node.leader
        if not self._leads or message.version > self._state.version:
            return RenewReply(granted=False, leader=leader, members=members)
        remaining_s = self._lease_table().renew(
            message.instance,
            message.region,
            message.version,
            anchor_s=self._node.quorum_acked_s(now_s),
            now_s=now_s,
        )
        found = self._updates_after(message.version)
        return RenewReply(
            granted=remaining_s > 0.0,
            leader=leader,
            members=members,
            remaining_s=remaining_s,
            version=self._state.version,
            updates=found.updates or (),
            compacted=found.updates is None,
        )

    @_handle.register
    def _(self, message: ReleaseLease):
        if self._leads:
            self._lease_table().release(message.instance)

    @_handle.register
    def _(self, message: ReadUpdates):
        return self._updates_after(message.after)

    @_handle.register
    def _(self, message: CheckInForce):
        if not self._leads:
            return InForce(leads=False)
        applied = self._state.version >= message.version
        table = self._lease_table()
        in_force = table.in_force(message.version, self._now_s)
        return InForce(leads=True, in_force=applied and in_force)

    @_handle.register
    def _(self, message: GetProgress):
        if not self._leads:
            return LeaseProgress(leads=False)
        table, now_s = self._lease_table(), self._now_s
        homes = {home.instance for home in self._state.homes.values()}
        holders = table.holders(now_s, possible_holders=homes)
        return LeaseProgress(
            leads=True,
            holders=holders,
            remaining_s=tuple(
                table.remaining_s(holder.instance, now_s) for holder in holders
            ),
        )

    @_handle.register
    def _(self, message: GetStatus):
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

    @_handle.register
    def _(self, message: Bootstrap):
        if self._node.is_fresh and self._node.blank:
            self._node.bootstrap(message.configuration)

    @_handle.register
    def _(self, message: Join):
        return self._change_members(
            lambda: self._node.join(
                message.replica, blank=message.blank, now_s=self._now_s
            )
        )

    @_handle.register
    def _(self, message: Remove):
        return self._change_members(
            lambda: self._node.remove(message.instance, self._now_s)
        )

    @_handle.register
    def _(self, message: TransferLeadership):
        self._node.transfer(self._now_s)

    @_handle.register
    def _(self, message: Compact):
        if message.index >= self._node.base_index:
            self._compaction.record_snapshot(message.index)
            self._node.compact(
                index=message.index,
                data=message.data,
                keep=compaction.KEEP_ENTRIES,
            )

    def _updates_after(self, version):
        try:
            entries = self._node.entries_after(
                version, limit=MAX_UPDATES, max_bytes=MAX_UPDATE_BYTES
            )
        except CompactedError:
            return Updates(version=self._state.version, updates=None)
        updates = tuple(
            update_from_entry(e)
            for e in entries
            if e.index <= self._state.version
        )
        return Updates(version=self._state.version, updates=updates)

    def _change_members(self, change):
        try:
            change()
        except InvariantError:
            raise
        except ConsensusError:
            return False
        return True

    def _lease_table(self):
        # A lease table belongs to one leadership.  The next leader has no
        # record of the leases that this one granted and must wait until they
        # have expired.
        elected_s = self._node.elected_s
        if self._leases is None or self._leases.elected_s != elected_s:
            self._leases = LeaseTable(
                lease_s=self._lease_s, elected_s=elected_s
            )
        return self._leases

    def _flush(self):
        while self._process_output():
            pass
        self._open_calls.complete_all()
        if not self._node.is_ready:
            self._pending_proposals.fail_all("leadership was lost")
        self._report_changes()
        if self._unsaved is None:
            self._compaction.start_if_due(
                self._state, self._folder.segment_bytes
            )

    def _process_output(self):
        output = self._unsaved or self._node.take_output()
        if self._unsaved is None:
            self._outbox.send(output.early)
        if not self._save(output):
            return False
        self._node.synced(output.last_index, self._now_s)
        self._outbox.send(
            message
            for message in output.messages
            if not self._open_calls.add_message(message)
        )
        if output.installed is not None:
            self._state = state_from_snapshot(output.installed.data)
            self._compaction.record_snapshot(output.installed.index)
        for entry in output.committed:
            self._apply(entry)
        if output.installed is not None or output.committed:
            self._view_store.publish(self._state)
        return bool(output.writes or output.committed)

    def _save(self, output):
        try:
            self._folder.save(output.writes)
        except DiskError as exc:
            if self._unsaved is None:
                _log.error("disk-refused", error=str(exc))
                self._pending_proposals.fail_all("the disk refuses writes")
            self._unsaved = output
            return False
        if self._unsaved is not None:
            _log.info("disk-accepts-again")
            self._unsaved = None
        return True

    def _apply(self, entry):
        self._state, result = apply_update(
            self._state, update_from_entry(entry)
        )
        self._pending_proposals.resolve(entry, result)

    def _send_to_self(self, message):
        try:
            self.actor_ref.tell(message)
        except pykka.ActorDeadError:
            return

    def _report_changes(self):
        role = self._node.role
        if role is not self._logged_role:
            self._logged_role = role
            _log.info("replica-role", role=role.value, term=self._node.term)
        configuration = self._node.configuration
        if configuration is not self._configuration:
            self._configuration = configuration
            self._on_configuration(configuration)
