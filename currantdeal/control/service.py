"""Handles the calls and notices that a control instance receives.

They come from callers, upstreams and operators over HTTP, and from entries
and other control instances over peer connections.
"""

from functools import singledispatchmethod

import structlog

from currantdeal.adapters.generated.peers.ttypes import FrameKind
from currantdeal.core.errors import DialectError
from currantdeal.node.dialect import (
    Announce,
    CheckReadiness,
    GetConfig,
    Leave,
    LookUpEntries,
    PutConfig,
)
from currantdeal.node.messages import (
    PROTOCOL,
    ConfigNotice,
    ConfirmCall,
    CrashesNotice,
    Done,
    EntryNotice,
    JoinCall,
    LeaveCall,
    LoadNotice,
    ProposeConfigCall,
    RaftNotice,
    ReadConfigCall,
    ReadingNotice,
    RecordsCall,
    RenewalsNotice,
    SourceNotice,
    SpreadCall,
    SubscribeCall,
    SwitchingNotice,
    UpstreamsNotice,
)
from currantdeal.node.peers import HEARTBEAT_S, pack_frame
from currantdeal.policy.shared_load import LoadSums
from currantdeal.registry import UpstreamState
from currantdeal.routing import InvalidConfigError, check_config

DIRECTORY_TTL_S = 4.0
"""Time for which callers may cache an answer of the directory.

Each look-up may reach a control instance that does not answer, which costs
the caller a second.  An entry that stops or fails while its address is cached
costs one refused connection, after which its callers choose another one.
"""

REGISTRY_COMPLETE_S = 8.0
"""Time after its start in which an instance receives all upstream records."""

_JSON = (b"content-type", b"application/json")
_RETRY = (b"retry-after", b"0.3")
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
        clock,
    ):
        """Start without subscribers and without a configuration."""
        self._crashes = crashes
        self._confirmation = confirmation
        self._dialect = dialect
        self._replica = replica
        self._membership = membership
        self._config = config
        self._exchange = exchange
        self._demand = demand
        self._clock = clock
        self._started_s = clock()
        self._published_version = 0
        self._config_frame = None
        self._loads = LoadSums()
        self._last_load = None
        self._last_load_s = 0.0

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

    @property
    def _registry_is_complete(self):
        return self._clock() - self._started_s > REGISTRY_COMPLETE_S

    async def handle_http(self, request, responder):
        """Answer one HTTP call of a caller, an upstream or an operator."""
        operation = self._dialect.read_operation(request.head)
        if operation is None:
            self._answer(responder, 404, "no such call")
            return
        try:
            await self._handle_operation(operation, request, responder)
        except DialectError as exc:
            _log.info("call-refused", target=request.head.target, why=str(exc))
            self._answer(responder, 400, str(exc))

    def on_state(self, state):
        """Publish a newly committed configuration to the subscribers."""
        if state.version == self._published_version:
            return
        self._published_version = state.version
        self._demand.update_config(state.packed)
        notice = ConfigNotice(version=state.version, packed=state.packed)
        self._config_frame = pack_frame(FrameKind.NOTICE, 0, notice)
        self._exchange.publish_frame(self._config_frame)

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

    @property
    def held_tokens(self):
        """Tokens that entries hold at each engine, by its name."""
        return self._loads.total(now_s=self._clock()).held

    def publish_loads(self):
        """Publish the tokens that entries hold at engines.

        The other control instances receive the sum over the entries that
        report to this one, when it changes and with each heartbeat.  Entries
        receive the sum over all entries at every call, because they use it
        only while it is fresh.
        """
        now_s = self._clock()
        local_total = self._loads.local_total(now_s=now_s)
        if (
            local_total != self._last_load
            or now_s - self._last_load_s > HEARTBEAT_S
        ):
            self._last_load = local_total
            self._last_load_s = now_s
            self._exchange.notify_others(self._load_notice(local_total))
        total = self._loads.total(now_s=now_s)
        self._exchange.publish(self._load_notice(total))

    def send_heartbeat(self):
        """Send the periodic notices and expire silent records."""
        self._exchange.publish(self._source_notice())
        self._exchange.spread_renewals(self._demand.take_reported())
        self._crashes.repeat_recent()
        self._exchange.expire()

    def _load_notice(self, load):
        return LoadNotice(sender=self._exchange.local_id, load=load)

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

    @_handle_notice.register
    def _(self, notice: LoadNotice, connection):
        self._record_load(connection, notice)

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
    def _(self, notice: UpstreamsNotice, connection):
        self._exchange.report_replaced(notice.upstreams)

    @_handle_notice.register
    def _(self, notice: EntryNotice, connection):
        self._demand.record(notice.demand, reported_here=True)
        self._exchange.merge_entry(notice.entry)

    @singledispatchmethod
    async def _handle_operation(self, operation, request, responder):
        raise TypeError(f"not an operation: {operation!r}")

    @_handle_operation.register
    async def _(self, operation: CheckReadiness, request, responder):
        self._answer(responder, 200, "ready")

    @_handle_operation.register
    async def _(self, operation: LookUpEntries, request, responder):
        addresses = self._exchange.directory.choose(
            operation.region,
            operation.data_center,
            now_s=self._clock(),
            current=self.has_leader,
        )
        if not addresses:
            self._answer(responder, 503, "no entry is known yet")
            return
        body = self._dialect.directory_answer(addresses, DIRECTORY_TTL_S)
        responder.answer(200, (_JSON,), body)

    @_handle_operation.register
    async def _(self, operation: Announce, request, responder):
        record = self._dialect.read_announcement(
            operation.upstream, request.body
        )
        changed = self._exchange.merge_upstream(record)
        leaving = record.state is not UpstreamState.READY
        if changed or leaving:
            # After an acknowledged leave, entries send work to the upstream
            # for a bounded time only.  So a majority must have the record
            # first, from which all entries receive it.
            confirmed = await self._exchange.spread(upstreams=(record,))
            if leaving and not confirmed:
                self._answer(responder, 503, "not confirmed by a majority")
                return
        responder.answer(200, (_JSON,), b"{}")

    @_handle_operation.register
    async def _(self, operation: Leave, request, responder):
        gone = self._exchange.leave(operation.upstream)
        if gone is None and not self._registry_is_complete:
            # Other control instances may have a record of the upstream, and
            # their entries would go on sending work there.  The refusal makes
            # it retry at one of them.
            self._answer(responder, 503, "no record of the upstream here yet")
            return
        known = gone is not None
        if known and not await self._exchange.spread(upstreams=(gone,)):
            self._answer(responder, 503, "not confirmed by a majority")
            return
        responder.answer(200, (_JSON,), b"{}")

    @_handle_operation.register
    async def _(self, operation: PutConfig, request, responder):
        config = self._dialect.read_config(request.body)
        try:
            check_config(config)
        except InvalidConfigError as exc:
            _log.info("config-refused", version=config.version, why=str(exc))
            self._answer(responder, 400, str(exc))
            return
        call = ProposeConfigCall(version=config.version, raw=request.body)
        accepted = await self._config.propose(call)
        _log.info("config-offered", version=config.version, accepted=accepted)
        if accepted:
            responder.answer(200, (_JSON,), b"{}")
        else:
            self._answer(
                responder, 503, "outcome unknown: the change can be retried"
            )

    @_handle_operation.register
    async def _(self, operation: GetConfig, request, responder):
        answer = await self._config.read()
        if not answer.certain:
            self._answer(
                responder, 503, "the newest version cannot be determined"
            )
        elif not answer.version:
            self._answer(responder, 404, "there is no configuration yet")
        else:
            responder.answer(200, (_JSON,), answer.raw)

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
        self._exchange.merge_spread(call)
        return Done(accepted=True)

    @_handle_call.register
    async def _(self, call: RecordsCall, connection):
        return self._exchange.all_records

    @_handle_call.register
    async def _(self, call: ConfirmCall, connection):
        return await self._confirmation.answer(call)

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
        # Sent before the upstreams and the configuration, so that the entry
        # runs no quarantined request.
        self._crashes.send_all(connection)
        connection.notify(
            UpstreamsNotice(
                upstreams=self._exchange.registry.records,
                complete=self._registry_is_complete and self.has_leader,
            )
        )
        connection.notify(self._source_notice())
        newer = self._replica.state.version > call.config_version
        if newer and self._config_frame is not None:
            connection.send_packed(self._config_frame)
        return Done(accepted=True)

    def _source_notice(self):
        live = self._exchange.directory.live(now_s=self._clock())
        return SourceNotice(
            current=self.has_leader,
            control=self._exchange.places,
            entries=max(1, len(live)),
            protocol=PROTOCOL,
        )

    def _answer(self, responder, status, reason):
        more = (_RETRY,) if status == 503 else ()
        responder.answer(
            status, (_JSON, *more), self._dialect.error_answer(reason)
        )
