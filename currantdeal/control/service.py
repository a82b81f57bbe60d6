"""A control instance: what its callers and the other instances ask of it."""

import asyncio
import zlib
from functools import singledispatchmethod

import structlog

from currantdeal.adapters.generated.peers.ttypes import FrameKind
from currantdeal.control.deployment_state import SetConfig
from currantdeal.control.directory import EntryDirectory
from currantdeal.control.errors import NotCertainError, NotCommittedError
from currantdeal.core.errors import DialectError
from currantdeal.node.dialect import (
    Announce,
    AskReady,
    FindEntries,
    GetConfig,
    Leave,
    PutConfig,
)
from currantdeal.node.errors import PeerUnreachableError
from currantdeal.node.messages import (
    ConfigAnswer,
    ConfigNotice,
    Done,
    EntryNotice,
    JoinCall,
    ProposeConfigCall,
    RaftNotice,
    ReadConfigCall,
    RecordsCall,
    Renewal,
    RenewalsNotice,
    SourceNotice,
    SpreadCall,
    SubscribeCall,
    SwitchingNotice,
    UpstreamsNotice,
)
from currantdeal.node.peers import pack_frame
from currantdeal.policy.demand import Demand, DemandWindow, busy_engines
from currantdeal.registry import UpstreamRegistry, UpstreamState
from currantdeal.routing import InvalidConfigError, check_config

PROPOSE_TIMEOUT_S = 2.0
"""Time for a change to be committed: several elections."""

READ_TIMEOUT_S = 0.9
"""Time for a read; callers wait one second before they ask elsewhere."""

FETCH_TIMEOUT_S = 1.0
"""Time for another control instance to send all its records."""

SPREAD_TIMEOUT_S = 0.4
"""Time for other control instances to confirm that an upstream leaves."""

DEMAND_WINDOW_S = 15.0
"""Time over which demand is measured: a burst and the pause after it."""

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
    links : callable
        Returns the ``PeerLink`` to an address.
    me : str
        Peer address of this instance.
    heartbeat_s : float
        Interval of the upstreams' heartbeats.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(
        self, *, dialect, replica, membership, links, me, heartbeat_s, clock
    ):
        """Start with an empty registry."""
        self._dialect = dialect
        self._replica = replica
        self._membership = membership
        self._links = links
        self._me = me
        self._clock = clock
        self._started_s = clock()
        self.registry = UpstreamRegistry(heartbeat_s=heartbeat_s)
        self.directory = EntryDirectory()
        self._subscribers = set()
        self._config_frame = None
        self._renewed = {}
        self._renewed_entries = {}
        self._fetching = set()
        self._reported = {}
        self._demand = {}
        self._traits = {}

    @property
    def current(self):
        """True while this instance is in touch with the leader."""
        return self._replica.knows_leader

    @property
    def sizes(self):
        """Numbers of upstreams, entries and subscribers, by their names."""
        live = self.directory.live(now_s=self._clock())
        return {
            "upstreams": len(self.registry.present),
            "entries": len(live),
            "subscribers": len(self._subscribers),
        }

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
        if not state.version:
            return
        notice = ConfigNotice(version=state.version, packed=state.packed)
        frame = pack_frame(FrameKind.NOTICE, 0, notice)
        if self._config_frame == frame:
            return
        self._note_engines(state.packed)
        self._config_frame = frame
        for connection in self._subscribers:
            connection.send_packed(frame)

    def _note_engines(self, packed):
        try:
            config = self._dialect.read_config(zlib.decompress(packed))
        except DialectError as exc:
            _log.error("config-unreadable", why=str(exc))
            return
        self._traits = {
            service.name: service.engine
            for service in config.services
            if service.engine is not None
        }

    def on_notice(self, connection, message):
        """Take in what another instance says."""
        if isinstance(message, RaftNotice):
            self._replica.deliver(message.messages)
        elif isinstance(message, RenewalsNotice):
            self._take_demand(message.demand, reported_here=False)
            self._take_renewals(message)
        elif isinstance(message, SwitchingNotice):
            self._publish_message(message)
        elif isinstance(message, EntryNotice):
            self._take_demand(message.demand, reported_here=True)
            self._take_entry(message.entry)

    async def on_call(self, connection, message):
        """Answer another instance."""
        return await self._take_call(message, connection)

    def on_lost(self, connection):
        """Forget a subscriber."""
        self._subscribers.discard(connection)

    def spread_renewals(self):
        """Tell the other control instances whose heartbeats came here."""
        notice = RenewalsNotice(
            sender=self._me,
            demand=self._reported,
            upstreams=tuple(self._renewed.values()),
            entries=tuple(self._renewed_entries.values()),
        )
        self._renewed = {}
        self._renewed_entries = {}
        self._reported = {}
        if notice.upstreams or notice.entries:
            for address in self._others():
                self._links(address).notify(notice)

    def tell_subscribers(self):
        """Send a heartbeat to the entries."""
        live = self.directory.live(now_s=self._clock())
        notice = SourceNotice(
            current=self.current,
            control=self._membership.control_addresses,
            entries=max(1, len(live)),
        )
        frame = pack_frame(FrameKind.NOTICE, 0, notice)
        for connection in self._subscribers:
            connection.send_packed(frame)

    def expire(self):
        """Forget who has been silent."""
        now_s = self._clock()
        self.directory.expire(now_s=now_s)
        for record in self.registry.expire(now_s=now_s):
            _log.info("upstream-forgotten", upstream=record.upstream)

    @singledispatchmethod
    async def _operate(self, operation, request, responder):
        raise TypeError(f"not an operation: {operation!r}")

    @_operate.register
    async def _(self, operation: AskReady, request, responder):
        self._answer(responder, 200, "ready")

    @_operate.register
    async def _(self, operation: FindEntries, request, responder):
        addresses = self.directory.choose(
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
        news = self._merge_upstream(record)
        leaving = record.state is not UpstreamState.READY
        if news or leaving:
            # An acknowledged leave bounds the time for which entries may
            # still send work there, so they must be on their way to know.
            confirmed = await self._spread(upstreams=(record,))
            if leaving and not confirmed:
                self._answer(responder, 503, "not known to a majority")
                return
        responder.answer(200, (_JSON,), b"{}")

    @_operate.register
    async def _(self, operation: Leave, request, responder):
        gone = self.registry.leave(operation.upstream, now_s=self._clock())
        if gone is not None:
            self._publish((gone,))
            if not await self._spread(upstreams=(gone,)):
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
        accepted = await self._propose(call)
        _log.info("config-offered", version=config.version, accepted=accepted)
        if accepted:
            responder.answer(200, (_JSON,), b"{}")
        else:
            self._answer(responder, 503, "the change may not be in force")

    @_operate.register
    async def _(self, operation: GetConfig, request, responder):
        answer = await self._read()
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
    async def _(self, call: ProposeConfigCall, connection):
        return Done(accepted=await self._propose_here(call))

    @_take_call.register
    async def _(self, call: ReadConfigCall, connection):
        return await self._read_here()

    @_take_call.register
    async def _(self, call: SpreadCall, connection):
        for record in call.upstreams:
            self._merge_upstream(record)
        for record in call.entries:
            self.directory.merge(record, now_s=self._clock())
        return Done(accepted=True)

    @_take_call.register
    async def _(self, call: RecordsCall, connection):
        return SpreadCall(
            upstreams=self.registry.records, entries=self.directory.records
        )

    @_take_call.register
    async def _(self, call: SubscribeCall, connection):
        self._subscribers.add(connection)
        _log.info(
            "entry-subscribed",
            entry=call.entry.instance,
            holds=call.config_version,
            version=self._replica.state.version,
        )
        self._take_entry(call.entry)
        settled = self._clock() - self._started_s > SETTLED_S
        connection.notify(
            UpstreamsNotice(
                upstreams=self.registry.records,
                complete=settled and self.current,
            )
        )
        newer = self._replica.state.version > call.config_version
        if newer and self._config_frame is not None:
            connection.send_packed(self._config_frame)
        return Done(accepted=self.current)

    def _merge_upstream(self, record):
        now_s = self._clock()
        news = self.registry.merge(record, now_s=now_s)
        if news:
            _log.info(
                "upstream-changed",
                upstream=record.upstream,
                service=record.service,
                state=record.state.value,
                stage=record.stage.value if record.stage else "",
                sequence=record.sequence,
            )
            self._publish((record,))
        else:
            self._renewed[record.upstream] = Renewal(
                name=record.upstream,
                started_ms=record.started_ms,
                sequence=record.sequence,
            )
        return news

    def tell_switching(self, upstream, for_s):
        """Have all entries leave an engine alone while it switches."""
        notice = SwitchingNotice(upstream=upstream, for_s=for_s)
        self._publish_message(notice)
        for address in self._others():
            self._links(address).notify(notice)

    def _publish(self, records):
        self._publish_message(UpstreamsNotice(upstreams=records))

    def _publish_message(self, message):
        frame = pack_frame(FrameKind.NOTICE, 0, message)
        for connection in self._subscribers:
            connection.send_packed(frame)

    def _take_entry(self, record):
        if self.directory.merge(record, now_s=self._clock()):
            _log.info(
                "entry-changed", entry=record.instance, ready=record.ready
            )
            task = asyncio.ensure_future(self._spread(entries=(record,)))
            task.add_done_callback(lambda done: done.exception())
        else:
            self._renewed_entries[record.instance] = Renewal(
                name=record.instance,
                started_ms=record.started_ms,
                sequence=record.sequence,
            )

    def busy(self, service):
        """Return the engines that the demand of a service keeps busy."""
        window = self._demand.get(service)
        traits = self._traits.get(service)
        now_s = self._clock()
        if window is None or traits is None:
            return None
        if not window.is_full(now_s=now_s):
            return None
        return busy_engines(
            window.total(now_s=now_s),
            window_s=DEMAND_WINDOW_S,
            kv_tokens=traits.kv_tokens,
        )

    def switch_s(self, service):
        """Return the time that an engine of a service needs to switch."""
        traits = self._traits.get(service)
        return traits.switch_s if traits is not None else 0.0

    def _take_demand(self, demands, *, reported_here):
        now_s = self._clock()
        for service, demand in demands.items():
            window = self._demand.get(service)
            if window is None:
                window = DemandWindow(window_s=DEMAND_WINDOW_S)
                self._demand[service] = window
            window.add(demand, now_s=now_s)
            if reported_here:
                before = self._reported.get(service, Demand())
                self._reported[service] = before + demand

    def _take_renewals(self, notice):
        now_s = self._clock()
        self._fetch_unknown(notice)
        for renewal in notice.upstreams:
            self.registry.heard(
                renewal.name, renewal.started_ms, renewal.sequence, now_s=now_s
            )
        for renewal in notice.entries:
            self.directory.heard(
                renewal.name, renewal.started_ms, renewal.sequence, now_s=now_s
            )

    def _fetch_unknown(self, notice):
        """Fetch the records of a sender who renews what is not known here.

        That is so after a restart, and on an instance that joined after the
        news was spread.
        """
        unknown = any(
            self.registry.get(renewal.name) is None
            for renewal in notice.upstreams
        ) or any(
            not self.directory.knows(renewal.name)
            for renewal in notice.entries
        )
        if unknown and notice.sender not in self._fetching:
            self._fetching.add(notice.sender)
            asyncio.ensure_future(self._fetch(notice.sender))

    async def _fetch(self, address):
        try:
            found = await self._links(address).call(
                RecordsCall(), timeout_s=FETCH_TIMEOUT_S
            )
        except PeerUnreachableError:
            return
        finally:
            self._fetching.discard(address)
        await self._take_call(found, None)

    def _others(self):
        return [
            address
            for address in self._membership.control_addresses
            if address != self._me
        ]

    async def _spread(self, *, upstreams=(), entries=()):
        call = SpreadCall(upstreams=upstreams, entries=entries)
        others = self._others()
        answers = await asyncio.gather(
            *(self._confirm(address, call) for address in others)
        )
        return 1 + sum(answers) > (1 + len(others)) // 2

    async def _confirm(self, address, call):
        try:
            answer = await self._links(address).call(
                call, timeout_s=SPREAD_TIMEOUT_S
            )
        except PeerUnreachableError:
            return False
        return answer.accepted

    async def _propose(self, call):
        if self._replica.leads:
            return await self._propose_here(call)
        answer = await self._ask_leader(call, PROPOSE_TIMEOUT_S)
        return answer is not None and answer.accepted

    async def _propose_here(self, call):
        if call.version <= self._replica.state.version:
            # Nothing to change, but the acknowledgement must rest on what a
            # majority holds, not on what this instance once saw.
            answer = await self._read_here()
            if not answer.certain:
                return False
            if call.version <= answer.version:
                return True
        command = SetConfig(
            version=call.version, packed=zlib.compress(call.raw)
        )
        try:
            async with asyncio.timeout(PROPOSE_TIMEOUT_S):
                await self._replica.propose(command)
        except (NotCommittedError, TimeoutError) as exc:
            _log.info("config-unclear", version=call.version, why=repr(exc))
            return False
        return True

    async def _read(self):
        if self._replica.leads:
            return await self._read_here()
        answer = await self._ask_leader(ReadConfigCall(), READ_TIMEOUT_S)
        return answer or ConfigAnswer(certain=False)

    async def _read_here(self):
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                state = await self._replica.read()
        except (NotCertainError, TimeoutError):
            return ConfigAnswer(certain=False)
        raw = zlib.decompress(state.packed) if state.version else b""
        return ConfigAnswer(certain=True, version=state.version, raw=raw)

    async def _ask_leader(self, call, timeout_s):
        leader = self._replica.node.leader
        if leader is None or leader == self._me:
            return None
        try:
            return await self._links(leader).call(call, timeout_s=timeout_s)
        except PeerUnreachableError:
            return None

    def _answer(self, responder, status, reason):
        more = (_RETRY,) if status == 503 else ()
        responder.answer(
            status, (_JSON, *more), self._dialect.error_answer(reason)
        )
