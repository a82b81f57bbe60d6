"""A control instance: what its callers and the other instances ask of it."""

from functools import singledispatchmethod

import structlog

from currantdeal.adapters.generated.peers.ttypes import FrameKind
from currantdeal.core.errors import DialectError
from currantdeal.node.dialect import (
    Announce,
    AskReady,
    FindEntries,
    GetConfig,
    Leave,
    PutConfig,
)
from currantdeal.node.messages import (
    ConfigNotice,
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
from currantdeal.policy.shared_load import LoadBook
from currantdeal.registry import UpstreamState
from currantdeal.routing import InvalidConfigError, check_config

DIRECTORY_KEEP_S = 4.0
"""Time for which callers may keep the directory's answer.

Each look-up is a chance to meet a control instance that does not answer, and
costs its caller a second then.  An entry that stops or fails meanwhile costs
one connection that is refused, after which its callers choose another.
"""

SETTLED_S = 8.0
"""Time after its start from which an instance has heard every upstream."""

_JSON = (b"content-type", b"application/json")
_RETRY = (b"retry-after", b"0.3")
_log = structlog.get_logger(__name__)


class ControlService:
    """Answers callers, upstreams, operators and other instances.

    Parameters
    ----------
    dialect : currantdeal.node.dialect.ControlDialect
        Formats of the calls from outside.
    replica : Replica
        The replicated configuration.
    membership : Membership
        The replica set.
    config : ConfigAccess
        Changes and reads the configuration.
    exchange : RecordExchange
        The records of upstreams and entries.
    demand : DemandBook
        What entries measure.
    crashes : CrashLedger
        Requests that crash upstreams.
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
        clock,
    ):
        """Keep the parts."""
        self._crashes = crashes
        self._dialect = dialect
        self._replica = replica
        self._membership = membership
        self._config = config
        self._exchange = exchange
        self._demand = demand
        self._clock = clock
        self._started_s = clock()
        self._passed_on = 0
        self._config_frame = None
        self._loads = LoadBook()
        self._load_told = None
        self._load_told_s = 0.0

    @property
    def current(self):
        """True while this instance is in touch with the leader."""
        return self._replica.knows_leader

    @property
    def sizes(self):
        """Numbers of upstreams, entries and subscribers, by their names."""
        live = self._exchange.directory.live(now_s=self._clock())
        return {
            "upstreams": len(self._exchange.registry.present),
            "entries": len(live),
            "subscribers": len(self._exchange.subscribers),
        }

    @property
    def _is_settled(self):
        return self._clock() - self._started_s > SETTLED_S

    async def handle_http(self, request, responder):
        """Answer one call from outside."""
        operation = self._dialect.read_operation(request.head)
        if operation is None:
            self._answer(responder, 404, "no such call")
            return
        try:
            await self._operate(operation, request, responder)
        except DialectError as exc:
            _log.info("call-refused", target=request.head.target, why=str(exc))
            self._answer(responder, 400, str(exc))

    def on_state(self, state):
        """Pass a committed configuration on to the subscribers."""
        if state.version == self._passed_on:
            return
        self._passed_on = state.version
        self._demand.note_config(state.packed)
        notice = ConfigNotice(version=state.version, packed=state.packed)
        self._config_frame = pack_frame(FrameKind.NOTICE, 0, notice)
        self._exchange.publish_frame(self._config_frame)

    def on_notice(self, connection, message):
        """Take in what another instance says."""
        self._take_notice(message, connection)

    async def on_call(self, connection, message):
        """Answer another instance."""
        return await self._take_call(message, connection)

    def on_lost(self, connection):
        """Forget a subscriber."""
        self._exchange.subscribers.discard(connection)
        self._loads.drop_entry(connection)

    @property
    def held(self):
        """Tokens that entries hold at each engine, by name."""
        return self._loads.total(now_s=self._clock()).held

    def tell_loads(self):
        """Pass on what entries hold at engines.

        Other control instances get the sum over the entries that report
        here, when it changed and with each heartbeat.  Entries get the sum
        over all each time: how fresh it is tells them whether to believe it.
        """
        now_s = self._clock()
        here = self._loads.here(now_s=now_s)
        if here != self._load_told or now_s - self._load_told_s > HEARTBEAT_S:
            self._load_told = here
            self._load_told_s = now_s
            self._exchange.tell_others(self._load_notice(here))
        total = self._loads.total(now_s=now_s)
        self._exchange.publish(self._load_notice(total))

    def beat(self):
        """Tell the others what is new, and forget who is silent."""
        self._tell_subscribers()
        self._exchange.spread_renewals(self._demand.take_reported())
        self._crashes.beat()
        self._exchange.expire()

    def _load_notice(self, load):
        return LoadNotice(sender=self._exchange.me, load=load)

    def _take_load(self, connection, message):
        now_s = self._clock()
        if connection in self._exchange.subscribers:
            self._loads.take_entry(connection, message.load, now_s=now_s)
        else:
            self._loads.take_control(message.sender, message.load, now_s=now_s)

    @singledispatchmethod
    def _take_notice(self, notice, connection):
        _log.warning("notice-unknown", kind=type(notice).__name__)

    @_take_notice.register
    def _(self, notice: RaftNotice, connection):
        self._replica.deliver(notice.messages)

    @_take_notice.register
    def _(self, notice: RenewalsNotice, connection):
        self._crashes.heard(notice.sender)
        self._demand.take(notice.demand, reported_here=False)
        self._exchange.take_renewals(notice)

    @_take_notice.register
    def _(self, notice: LoadNotice, connection):
        self._take_load(connection, notice)

    @_take_notice.register
    def _(self, notice: SwitchingNotice, connection):
        self._exchange.publish(notice)

    @_take_notice.register
    def _(self, notice: CrashesNotice, connection):
        self._crashes.take(notice)

    @_take_notice.register
    def _(self, notice: ReadingNotice, connection):
        self._exchange.pass_on(connection, notice)

    @_take_notice.register
    def _(self, notice: UpstreamsNotice, connection):
        self._exchange.take_replaced(notice.upstreams)

    @_take_notice.register
    def _(self, notice: EntryNotice, connection):
        self._demand.take(notice.demand, reported_here=True)
        self._exchange.take_entry(notice.entry)

    @singledispatchmethod
    async def _operate(self, operation, request, responder):
        raise TypeError(f"not an operation: {operation!r}")

    @_operate.register
    async def _(self, operation: AskReady, request, responder):
        self._answer(responder, 200, "ready")

    @_operate.register
    async def _(self, operation: FindEntries, request, responder):
        addresses = self._exchange.directory.choose(
            operation.region,
            operation.data_center,
            now_s=self._clock(),
            current=self.current,
        )
        if not addresses:
            self._answer(responder, 503, "no entry is known yet")
            return
        body = self._dialect.directory_answer(addresses, DIRECTORY_KEEP_S)
        responder.answer(200, (_JSON,), body)

    @_operate.register
    async def _(self, operation: Announce, request, responder):
        record = self._dialect.read_announcement(
            operation.upstream, request.body
        )
        news = self._exchange.merge_upstream(record)
        leaving = record.state is not UpstreamState.READY
        if news or leaving:
            # An acknowledged leave bounds the time for which entries may
            # still send work there, so they must be on their way to know.
            confirmed = await self._exchange.spread(upstreams=(record,))
            if leaving and not confirmed:
                self._answer(responder, 503, "not known to a majority")
                return
        responder.answer(200, (_JSON,), b"{}")

    @_operate.register
    async def _(self, operation: Leave, request, responder):
        gone = self._exchange.leave(operation.upstream)
        if gone is None and not self._is_settled:
            # The others may know the upstream and go on sending work there;
            # it asks one of them next.
            self._answer(responder, 503, "not known here yet")
            return
        known = gone is not None
        if known and not await self._exchange.spread(upstreams=(gone,)):
            self._answer(responder, 503, "not known to a majority")
            return
        responder.answer(200, (_JSON,), b"{}")

    @_operate.register
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
            self._answer(responder, 503, "the change may not be in force")

    @_operate.register
    async def _(self, operation: GetConfig, request, responder):
        answer = await self._config.read()
        if not answer.certain:
            self._answer(responder, 503, "not certain of the newest version")
        elif not answer.version:
            self._answer(responder, 404, "there is no configuration yet")
        else:
            responder.answer(200, (_JSON,), answer.raw)

    @singledispatchmethod
    async def _take_call(self, call, connection):
        raise TypeError(f"not a call: {call!r}")

    @_take_call.register
    async def _(self, call: JoinCall, connection):
        return await self._membership.on_join(call)

    @_take_call.register
    async def _(self, call: LeaveCall, connection):
        return self._membership.on_leave(call)

    @_take_call.register
    async def _(self, call: ProposeConfigCall, connection):
        return Done(accepted=await self._config.propose_here(call))

    @_take_call.register
    async def _(self, call: ReadConfigCall, connection):
        return await self._config.read_here()

    @_take_call.register
    async def _(self, call: SpreadCall, connection):
        self._exchange.take_spread(call)
        return Done(accepted=True)

    @_take_call.register
    async def _(self, call: RecordsCall, connection):
        return self._exchange.all_records

    @_take_call.register
    async def _(self, call: SubscribeCall, connection):
        if not (self.current or call.provisional):
            # While the control instances are cut apart, entries ask each of
            # them in turn; sending all records each time would fill links.
            return Done(accepted=False)
        self._exchange.subscribers.add(connection)
        _log.info(
            "entry-subscribed",
            entry=call.entry.instance,
            holds=call.config_version,
            version=self._replica.state.version,
        )
        self._exchange.take_entry(call.entry)
        # Before the routes, so that it serves nothing that it should refuse.
        self._crashes.welcome(connection)
        connection.notify(
            UpstreamsNotice(
                upstreams=self._exchange.registry.records,
                complete=self._is_settled and self.current,
            )
        )
        newer = self._replica.state.version > call.config_version
        if newer and self._config_frame is not None:
            connection.send_packed(self._config_frame)
        return Done(accepted=True)

    def _tell_subscribers(self):
        live = self._exchange.directory.live(now_s=self._clock())
        notice = SourceNotice(
            current=self.current,
            control=self._exchange.places,
            entries=max(1, len(live)),
        )
        self._exchange.publish(notice)

    def _answer(self, responder, status, reason):
        more = (_RETRY,) if status == 503 else ()
        responder.answer(
            status, (_JSON, *more), self._dialect.error_answer(reason)
        )
