"""Keeps an entry's view up to date by subscribing to a control instance.

An entry follows the nearest control instance that accepts it.  It switches to
another one if that instance is unresponsive, or has lost contact with the
leader while another has not: on the wrong side of a partition the entry would
keep a stale view.

If all entries followed the first instance of a list, they would overload it
and its links between regions, and would all lose their source at once.
"""

import asyncio
from functools import singledispatchmethod

import structlog

from currantdeal.entry.control_calls import ControlCalls
from currantdeal.entry.engine_notices import EngineNotices
from currantdeal.entry.source_choice import UNKNOWN_DISTANCE, SourceChoice
from currantdeal.entry.upstream_comparison import UpstreamComparison
from currantdeal.node.errors import PeerUnreachableError
from currantdeal.node.messages import (
    PROTOCOL,
    ConfigNotice,
    CrashesNotice,
    EntriesNotice,
    EntryNotice,
    LoadChangesNotice,
    LoadNotice,
    ReadingNotice,
    SourceNotice,
    SubscribeCall,
    SwitchingNotice,
    UnreachableNotice,
)
from currantdeal.node.peers import HEARTBEAT_S, connect_peer
from currantdeal.node.record_messages import UpstreamsNotice
from currantdeal.policy.load.load_changes import LoadChain

SILENCE_TIMEOUT_S = 1.2
"""Silence after which the entry switches to another control instance.

Two missed heartbeats.  Together with the time to connect elsewhere this stays
below the 2.5 s within which all entries must learn that an upstream leaves.
"""

STALENESS_TIMEOUT_S = 1.2
"""Time without contact to the leader after which the entry switches."""

SUBSCRIBE_TIMEOUT_S = 0.8
"""Time in which an instance must answer a subscription."""

_log = structlog.get_logger(__name__)


class Subscription:
    """Follows one control instance at a time.

    Parameters
    ----------
    view : EntryView
        Updated with each notice.
    own_record : callable
        Returns the ``EntryRecord`` to announce, each time with a higher
        sequence.
    seeds : callable
        Returns the control addresses from the settings.
    collect_demand : callable
        Returns the demand of each service since the last call.
    report_load : callable
        Returns the ``PoolLoad`` of this entry.
    update_load : callable
        Called with the ``PoolLoad`` of all entries.
    record_local_prefill, record_unreachable : callable
        See ``EngineNotices``.
    crash_watch : CrashWatch
        Requests that crash upstreams.
    limits : UpstreamLimits
        Limits that upstreams name.
    update_entries : callable
        Called with each ``EntriesNotice``.
    clock : callable
        Returns monotonic seconds.

    Attributes
    ----------
    control_calls : ControlCalls
        Calls to the source.
    engine_notices : EngineNotices
        Notices about engines to and from other entries.
    """

    def __init__(
        self,
        *,
        view,
        own_record,
        seeds,
        collect_demand,
        report_load,
        update_load,
        record_local_prefill,
        record_unreachable,
        crash_watch,
        limits,
        update_entries,
        clock,
    ):
        """Start without a source; ``run`` subscribes."""
        self._view = view
        self._own_record = own_record
        self._choice = SourceChoice(seeds=seeds)
        self._collect_demand = collect_demand
        self._report_load = report_load
        self._update_load = update_load
        self._crash_watch = crash_watch
        self._limits = limits
        self._update_entries = update_entries
        self._clock = clock
        self._connection = None
        self._source = ""
        self._switch_task = None
        self._sums = LoadChain()
        self._sent_load = None
        self._sent_load_s = 0.0
        self._last_notice_s = self._last_current_s = 0.0
        self._protocol = 0
        self._comparison = UpstreamComparison(view=view)
        self.control_calls = ControlCalls(
            view=view, connection=self._connection_for
        )
        self.engine_notices = EngineNotices(
            own_record=own_record,
            connection=self._connection_for,
            record_local_prefill=record_local_prefill,
            record_unreachable=record_unreachable,
        )

    @property
    def silence_s(self):
        """Seconds since the last notice of a source."""
        return self._clock() - self._last_notice_s

    def announce(self):
        """Send what this entry knows of itself to the source at once."""
        if self._is_connected:
            self._connection.notify(
                EntryNotice(
                    entry=self._own_record(),
                    demand=self._collect_demand(),
                    limits=self._limits.own_reports,
                )
            )

    def send_load(self):
        """Send this entry's load to the source, if it changed.

        An unchanged load is sent again with each heartbeat, since a load that
        is not refreshed expires.
        """
        if not self._is_connected:
            return
        connection = self._connection
        self._report_replaced(connection)
        now_s = self._clock()
        load = self._report_load()
        sent = (connection, load)
        if sent == self._sent_load and now_s - self._sent_load_s < HEARTBEAT_S:
            return
        self._sent_load, self._sent_load_s = sent, now_s
        sender = self._own_record().instance
        connection.notify(LoadNotice(sender=sender, load=load))

    def publish_crashes(self, records):
        """Send records of requests that crash upstreams to all processes."""
        if self._is_connected:
            self._connection.notify(CrashesNotice(records=records))

    @property
    def _is_connected(self):
        return self._connection is not None and self._connection.is_open

    def _report_replaced(self, connection):
        """Report upstreams at whose address another one answers.

        Such an upstream never announces that it leaves.  Without the report,
        each entry would waste a prefill to find out.
        """
        replaced = self._view.pop_replaced()
        if replaced:
            connection.notify(UpstreamsNotice(upstreams=replaced))

    async def run(self):
        """Follow control instances until cancelled."""
        while True:
            await self._follow_any()
            try:
                await self._watch_source()
            finally:
                self._disconnect()

    async def _follow_any(self):
        while True:
            candidates = self._choice.candidates(now_s=self._clock())
            if await self._subscribe_to_any(candidates):
                return
            # Without a leader no instance is current.  What an instance
            # receives directly from upstreams and entries is still better
            # than no view at all.
            candidates = self._choice.candidates(now_s=self._clock())
            if await self._subscribe_to_any(candidates, provisional=True):
                return
            await asyncio.sleep(0.1)

    async def _subscribe_to_any(self, addresses, *, provisional=False):
        for address in addresses:
            if await self._subscribe(address, provisional=provisional):
                return True
        return False

    async def _subscribe(self, address, *, provisional=False):
        """Make an instance the source; returns False if it does not accept."""
        connection = await self._connect(address, provisional)
        if connection is None:
            self._choice.avoid(address, now_s=self._clock())
            return False
        now_s = self._clock()
        before, self._connection = self._connection, connection
        self._source = address
        self._protocol = 0
        self._last_notice_s = now_s
        if not provisional:
            self._last_current_s = now_s
        if before is not None:
            before.close()
        # The instance, or the whole control plane, may have restarted and
        # lost records that this entry has.
        if self._crash_watch.records:
            self.publish_crashes(self._crash_watch.records)
        if self._limits.own_reports:
            self.announce()
        _log.info(
            "control-followed",
            source=address,
            distance=self._choice.distance(address),
            provisional=provisional,
            version=self._view.version,
        )
        return True

    async def _connect(self, address, provisional):
        """Return a connection to an instance; None if it does not accept."""
        try:
            connection = await connect_peer(address, on_notice=self._on_notice)
        except PeerUnreachableError:
            return None
        call = SubscribeCall(
            entry=self._own_record(),
            config_version=self._view.version,
            provisional=provisional,
            protocol=PROTOCOL,
        )
        try:
            answer = await connection.call(call, timeout_s=SUBSCRIBE_TIMEOUT_S)
        except PeerUnreachableError:
            answer = None
        except asyncio.CancelledError:
            connection.close()
            raise
        if answer is None or not answer.accepted:
            connection.close()
            return None
        return connection

    async def _watch_source(self):
        while self._connection.is_open:
            await asyncio.sleep(HEARTBEAT_S)
            self.announce()
            self.control_calls.confirm_in_background()
            now_s = self._clock()
            if now_s - self._last_notice_s > SILENCE_TIMEOUT_S:
                self._record_loss("silent")
                return
            self._switch_to_better(now_s)
        self._record_loss("connection lost")

    def _switch_to_better(self, now_s):
        """Start to subscribe to a better instance, if there is a candidate.

        A nearer instance is better, and if the source has lost contact with
        the leader, any other is.  The source is kept until another instance
        has accepted the subscription, so that no notice is missed if that
        one does not answer.
        """
        if self._switch_task is not None and not self._switch_task.done():
            return
        unconfirmed = self.control_calls.should_leave_source(now_s)
        age_s = now_s - self._last_current_s
        stale = unconfirmed or age_s > STALENESS_TIMEOUT_S
        if unconfirmed:
            # Otherwise the entry would alternate between two of them.
            self._choice.avoid(self._source, now_s=now_s)
        better = self._choice.better(
            self._source, now_s=now_s, any_other=stale
        )
        if better:
            self._switch_task = asyncio.ensure_future(
                self._subscribe_to_any(better)
            )

    def _connection_for(self, protocol):
        return self._connection if self._protocol >= protocol else None

    def _record_loss(self, why):
        _log.warning(
            "control-lost", source=self._source, why=why, age=self._view.age_s
        )
        self._choice.avoid(self._source, now_s=self._clock())

    def _disconnect(self):
        if self._switch_task is not None:
            self._switch_task.cancel()
        self._connection.close()
        self._connection = None

    def _on_notice(self, connection, message):
        if connection is self._connection:
            self._last_notice_s = self._clock()
        elif isinstance(message, SourceNotice):
            # Only a notice of the current source says whether it is current.
            return
        self._handle_notice(message)

    @singledispatchmethod
    def _handle_notice(self, message):
        _log.warning("notice-unknown", kind=type(message).__name__)

    @_handle_notice.register
    def _(self, message: ConfigNotice):
        first = not self._view.version
        self._view.apply_config(message.version, message.packed)
        if first:
            self.announce()
            self.control_calls.confirm_in_background()

    @_handle_notice.register
    def _(self, message: UpstreamsNotice):
        self._view.merge_upstreams(
            message.upstreams, complete=message.complete
        )
        if message.expired:
            self._view.remove_expired(message.expired)

    @_handle_notice.register
    def _(self, message: SwitchingNotice):
        self._view.record_switching(message.upstream, message.for_s)

    @_handle_notice.register
    def _(self, message: LoadNotice):
        self._update_load(message.load)

    @_handle_notice.register
    def _(self, message: LoadChangesNotice):
        if load := self._sums.apply(message.sender, message.changes):
            self._update_load(load)

    @_handle_notice.register
    def _(self, message: CrashesNotice):
        self._crash_watch.merge(message.records)

    @_handle_notice.register
    def _(self, message: EntriesNotice):
        self._update_entries(message)

    @_handle_notice.register
    def _(self, message: ReadingNotice | UnreachableNotice):
        self.engine_notices.receive(message)

    @_handle_notice.register
    def _(self, message: SourceNotice):
        self._update_source(message, self._clock())

    def _update_source(self, notice, now_s):
        self._choice.update(
            {
                place.address: self._view.distance_to(place.data_center)
                if place.data_center
                else UNKNOWN_DISTANCE
                for place in notice.control
            }
        )
        self._view.entries = notice.entries
        self._view.silent = frozenset(notice.silent)
        self._limits.merge(notice.limits)
        known, self._protocol = self._protocol, notice.protocol
        if not known:
            self.control_calls.confirm_in_background()
        if notice.current:
            self._last_current_s = now_s
            self._view.confirmed_s = now_s
            self._comparison.observe(self._connection, notice)
