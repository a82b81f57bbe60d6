"""Handles the calls and notices that a control instance receives.

They come from callers, upstreams and operators over HTTP, and from entries
and other control instances over peer connections.
"""

import zlib
from dataclasses import replace
from functools import singledispatchmethod

import structlog

from currantdeal.adapters.generated.peers.ttypes import FrameKind
from currantdeal.control.entry_list import EntryList
from currantdeal.control.load_publisher import LoadPublisher
from currantdeal.control.unreachable_relay import UnreachableRelay
from currantdeal.core.errors import DialectError
from currantdeal.node.crash_messages import (
    LiftQuarantineCall,
    ListQuarantinesCall,
    QuarantinesAnswer,
)
from currantdeal.node.limit_messages import LimitCall
from currantdeal.node.messages import (
    LOAD_CHANGES_PROTOCOL,
    ORGANISATIONS_PROTOCOL,
    PROTOCOL,
    ConfigNotice,
    CrashesNotice,
    Done,
    EntryNotice,
    JoinCall,
    LeaveCall,
    LoadChangesNotice,
    LoadNotice,
    ProposeConfigCall,
    RaftNotice,
    ReadConfigCall,
    ReadingNotice,
    RenewalsNotice,
    SourceNotice,
    SubscribeCall,
    SwitchingNotice,
    UnreachableNotice,
)
from currantdeal.node.organisation_messages import (
    ConfirmCall,
    CreditCall,
    RetryCreditCall,
)
from currantdeal.node.peers import HEARTBEAT_S, pack_frame
from currantdeal.node.record_messages import (
    RecordsCall,
    SpreadCall,
    UpstreamsNotice,
)
from currantdeal.policy.load.load_changes import LoadChains
from currantdeal.policy.load.shared_load import LoadSums
from currantdeal.policy.speed.paces import PACE_INTERVAL_S, unusual_paces

MAX_SILENT_NAMED = 64
"""Silent upstreams that a heartbeat names; entries ask about few of them."""

_log = structlog.get_logger(__name__)


class ControlService:
    """Dispatches calls and notices to the parts of a control instance.

    Parameters
    ----------
    dialect : currantdeal.node.dialect.ControlDialect
        Formats of the HTTP calls.
    replica : Replica
        The replicated configuration.
    membership : Membership
        The replica set.
    config : ConfigAccess
        Changes and reads the configuration.
    exchange : RecordExchange
        The records of upstreams and entries.
    demand : DemandTracker
        Demand that entries measure.
    crashes : CrashReplicator
        Records of requests that crash upstreams.
    confirmation : ViewConfirmation
        Confirms the age of views.
    quotas, retry_budgets : QuotaOwner
        Credit of quotas and of retries.
    limits : LimitControl
        Limits of upstreams.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(
        self,
        *,
        dialect,
        replica,
        membership,
        config,
        exchange,
        demand,
        crashes,
        confirmation,
        quotas,
        retry_budgets,
        limits,
        clock,
    ):
        """Start without subscribers and without a configuration."""
        self._crashes = crashes
        self._confirmation = confirmation
        self._quotas = quotas
        self._retry_budgets = retry_budgets
        self._limits = limits
        self._entry_list = EntryList(directory=exchange.directory)
        self._unreachable = UnreachableRelay(exchange=exchange, clock=clock)
        self._dialect = dialect
        self._replica = replica
        self._membership = membership
        self._config = config
        self._exchange = exchange
        self._demand = demand
        self._clock = clock
        self._published_version = 0
        self._config_frame = None
        self._loads = LoadSums()
        self._load_publisher = LoadPublisher(sender=exchange.local_id)
        self._control_publisher = LoadPublisher(sender=exchange.local_id)
        self._control_loads = LoadChains()
        self._last_load = None
        self._last_load_s = 0.0
        self._paces_due_s = 0.0

    @property
    def has_leader(self):
        """True while this instance leads or is in contact with the leader."""
        return self._replica.has_leader

    @property
    def sizes(self):
        """Numbers of upstreams, entries and subscribers, by metric name."""
        live = self._exchange.directory.live(now_s=self._clock())
        return {
            "upstreams": len(self._exchange.registry.present),
            "entries": len(live),
            "subscribers": len(self._exchange.subscribers),
        }

    def on_state(self, state):
        """Publish a newly committed configuration to the subscribers."""
        if state.version == self._published_version:
            return
        self._published_version = state.version
        self._update_config(state.packed)
        notice = ConfigNotice(version=state.version, packed=state.packed)
        self._config_frame = pack_frame(FrameKind.NOTICE, 0, notice)
        self._exchange.publish_frame(self._config_frame)

    def _update_config(self, packed):
        try:
            config = self._dialect.read_config(zlib.decompress(packed))
        except DialectError as exc:
            _log.error("config-unreadable", why=str(exc))
            return
        self._exchange.configure(service.name for service in config.services)
        self._demand.update_config(config)
        self._quotas.update_config(config)
        self._retry_budgets.update_config(config)

    def on_notice(self, connection, message):
        """Handle a notice of an entry or another control instance."""
        self._handle_notice(message, connection)

    async def on_call(self, connection, message):
        """Answer a call of an entry or another control instance."""
        return await self._handle_call(message, connection)

    def on_lost(self, connection):
        """Remove a subscriber whose connection was lost."""
        self._exchange.subscribers.discard(connection)
        self._loads.remove_entry(connection)
        self._load_publisher.unsubscribe(connection)
        self._entry_list.unsubscribe(connection)
        self._unreachable.unsubscribe(connection)

    @property
    def held_tokens(self):
        """Tokens that entries hold at each engine, by its name."""
        return self._loads.total(now_s=self._clock()).held

    @property
    def paces(self):
        """Paces of upstreams, summed over all entries."""
        return self._loads.total_paces(now_s=self._clock())

    def publish_loads(self):
        """Publish the entries and the tokens that they hold at engines.

        The other control instances receive the sum over the entries that
        report to this one, when it changes and with each heartbeat.  Entries
        receive the sum over all entries at every call, because they use it
        only while it is fresh.
        """
        now_s = self._clock()
        local_total = self._loads.local_total(now_s=now_s)
        total_paces = {}
        if now_s >= self._paces_due_s:
            self._paces_due_s = now_s + PACE_INTERVAL_S
            local_paces = self._loads.local_paces(now_s=now_s)
            local_total = replace(local_total, paces=local_paces)
            total_paces = unusual_paces(self.paces)
        if (
            local_total != self._last_load
            or now_s - self._last_load_s > HEARTBEAT_S
        ):
            self._last_load = local_total
            self._last_load_s = now_s
            self._control_publisher.publish_to_links(
                local_total,
                self._exchange.other_links,
                understands=self._exchange.supports_load_changes,
                now_s=now_s,
            )
        self._publish_entries()
        if self._limits.take_changed():
            self._exchange.publish(self._source_notice())
            self._spread_renewals()
        total = self._loads.total(now_s=now_s)
        self._load_publisher.publish(
            replace(total, paces=total_paces),
            self._exchange.subscribers,
            now_s=now_s,
        )

    def send_heartbeat(self):
        """Send the periodic notices and expire silent records."""
        self._exchange.publish(self._source_notice())
        self._spread_renewals()
        self._crashes.repeat_recent()
        self._quotas.observe()
        self._retry_budgets.observe()
        self._exchange.expire()

    def _spread_renewals(self):
        self._exchange.spread_renewals(
            self._demand.take_reported(),
            grants=self._quotas.grant_log(),
            retry_grants=self._retry_budgets.grant_log(),
            limits=self._limits.local_reports,
        )

    def _publish_entries(self):
        self._entry_list.publish_changes(
            now_s=self._clock(), current=self.has_leader
        )

    def _record_load(self, connection, message):
        now_s = self._clock()
        if connection in self._exchange.subscribers:
            self._loads.set_entry(connection, message.load, now_s=now_s)
        else:
            self._loads.set_control(message.sender, message.load, now_s=now_s)

    @singledispatchmethod
    def _handle_notice(self, notice, connection):
        _log.warning("notice-unknown", kind=type(notice).__name__)

    @_handle_notice.register
    def _(self, notice: RaftNotice, connection):
        self._replica.deliver(notice.messages)

    @_handle_notice.register
    def _(self, notice: RenewalsNotice, connection):
        self._crashes.on_heartbeat(notice.sender)
        self._demand.record(notice.demand, reported_here=False)
        self._exchange.merge_renewals(notice)
        self._limits.receive(notice.limits)
        if notice.grants is not None:
            self._quotas.receive_grants(notice.grants)
        if notice.retry_grants is not None:
            self._retry_budgets.receive_grants(notice.retry_grants)

    @_handle_notice.register
    def _(self, notice: LoadNotice, connection):
        self._record_load(connection, notice)

    @_handle_notice.register
    def _(self, notice: LoadChangesNotice, connection):
        now_s = self._clock()
        load = self._control_loads.apply(
            notice.sender, notice.changes, now_s=now_s
        )
        if load is not None:
            self._loads.set_control(notice.sender, load, now_s=now_s)

    @_handle_notice.register
    def _(self, notice: SwitchingNotice, connection):
        self._exchange.publish(notice)

    @_handle_notice.register
    def _(self, notice: CrashesNotice, connection):
        self._crashes.receive(notice)

    @_handle_notice.register
    def _(self, notice: ReadingNotice, connection):
        self._exchange.relay(connection, notice)

    @_handle_notice.register
    def _(self, notice: UnreachableNotice, connection):
        self._unreachable.receive(connection, notice)

    @_handle_notice.register
    def _(self, notice: UpstreamsNotice, connection):
        self._exchange.receive_report(notice.upstreams)

    @_handle_notice.register
    def _(self, notice: EntryNotice, connection):
        self._demand.record(notice.demand, reported_here=True)
        self._exchange.merge_entry(notice.entry)
        self._limits.receive_from_entry(notice.limits)

    @singledispatchmethod
    async def _handle_call(self, call, connection):
        raise TypeError(f"not a call: {call!r}")

    @_handle_call.register
    async def _(self, call: JoinCall, connection):
        return await self._membership.on_join(call)

    @_handle_call.register
    async def _(self, call: LeaveCall, connection):
        return self._membership.on_leave(call)

    @_handle_call.register
    async def _(self, call: ProposeConfigCall, connection):
        return Done(accepted=await self._config.propose_as_leader(call))

    @_handle_call.register
    async def _(self, call: ReadConfigCall, connection):
        return await self._config.read_as_leader()

    @_handle_call.register
    async def _(self, call: SpreadCall, connection):
        return Done(accepted=self._exchange.merge_spread(call))

    @_handle_call.register
    async def _(self, call: RecordsCall, connection):
        if call.upstreams_only:
            return SpreadCall(upstreams=self._exchange.registry.records)
        return self._exchange.all_records

    @_handle_call.register
    async def _(self, call: ConfirmCall, connection):
        return await self._confirmation.answer(call)

    @_handle_call.register
    async def _(self, call: CreditCall, connection):
        return await self._quotas.answer(call)

    @_handle_call.register
    async def _(self, call: RetryCreditCall, connection):
        return await self._retry_budgets.answer(call)

    @_handle_call.register
    async def _(self, call: LimitCall, connection):
        return await self._limits.answer(call)

    @_handle_call.register
    async def _(self, call: ListQuarantinesCall, connection):
        return QuarantinesAnswer(quarantines=self._crashes.quarantines)

    @_handle_call.register
    async def _(self, call: LiftQuarantineCall, connection):
        return Done(accepted=self._crashes.lift(call.members))

    @_handle_call.register
    async def _(self, call: SubscribeCall, connection):
        if not (self.has_leader or call.provisional):
            # During a partition between control instances, entries try each
            # of them in turn.  Sending all records each time would saturate
            # the links.
            return Done(accepted=False)
        self._exchange.subscribers.add(connection)
        _log.info(
            "entry-subscribed",
            entry=call.entry.instance,
            holds=call.config_version,
            version=self._replica.state.version,
        )
        self._exchange.merge_entry(call.entry)
        self._unreachable.subscribe(connection, call.protocol)
        if call.protocol >= ORGANISATIONS_PROTOCOL:
            self._publish_entries()
            self._entry_list.subscribe(connection)
        if call.protocol >= LOAD_CHANGES_PROTOCOL:
            self._load_publisher.subscribe(connection)
        # Sent before the upstreams and the configuration, so that the entry
        # runs no quarantined request.
        self._crashes.send_all(connection)
        connection.notify(
            UpstreamsNotice(
                upstreams=self._exchange.registry.records,
                complete=(
                    self.has_leader and not self._exchange.adopts_upstreams
                ),
            )
        )
        connection.notify(self._source_notice())
        newer = self._replica.state.version > call.config_version
        if newer and self._config_frame is not None:
            connection.send_packed(self._config_frame)
        return Done(accepted=True)

    def _source_notice(self):
        now_s = self._clock()
        live = self._exchange.directory.live(now_s=now_s)
        silent = self._exchange.registry.silent(now_s=now_s)
        return SourceNotice(
            current=self.has_leader,
            control=self._exchange.places,
            entries=max(1, len(live)),
            protocol=PROTOCOL,
            limits=self._limits.reports,
            upstreams_digest=self._exchange.registry.digest,
            adopts_upstreams=self._exchange.adopts_upstreams,
            silent=tuple(silent[:MAX_SILENT_NAMED]),
        )
