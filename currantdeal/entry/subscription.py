"""Keeping an entry's view up to date.

An entry follows the nearest control instance that accepts it.  It moves to
another when that one is unresponsive, or is out of touch with the leader while
another is not: behind a partition the entry would keep an old view.

Entries that all follow the first instance of a list load that one and its
links between regions, and lose their source together.
"""

import asyncio
from functools import singledispatchmethod

import structlog

from currantdeal.node.errors import PeerUnreachableError
from currantdeal.node.messages import (
    ConfigNotice,
    CrashesNotice,
    EntryNotice,
    LoadNotice,
    ReadingNotice,
    SourceNotice,
    SubscribeCall,
    SwitchingNotice,
    UpstreamsNotice,
)
from currantdeal.node.peers import HEARTBEAT_S, connect_peer

SILENT_AFTER_S = 1.2
"""Silence after which another control instance is followed.

Two missed heartbeats; together with the time to connect elsewhere this stays
below the 2.5 s in which an upstream that leaves must be known everywhere.
"""

STALE_AFTER_S = 1.2
"""Time out of touch with the leader after which another one is followed."""

SUBSCRIBE_TIMEOUT_S = 0.8
AVOID_S = 3.0
"""Time for which an instance that was left is followed last."""

UNKNOWN_DISTANCE = 2
"""Distance of an instance whose data centre is not known yet: the longest."""

_log = structlog.get_logger(__name__)


class Subscription:
    """Follows a control instance.

    Parameters
    ----------
    view : EntryView
        Takes what comes.
    own_record : callable
        Returns the ``EntryRecord`` to announce, each time with a higher
        sequence.
    seeds : callable
        Returns the peer addresses that the settings name.
    take_demand : callable
        Returns the demand of each service since the last call.
    report_load : callable
        Returns the ``PoolLoad`` of this entry.
    take_load : callable
        Takes the ``PoolLoad`` of all entries.
    take_reading : callable
        Takes a decode engine that reads a prompt of another entry, and for
        how long.
    crashes : CrashWatch
        Requests that crash upstreams.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(
        self,
        *,
        view,
        own_record,
        seeds,
        take_demand,
        report_load,
        take_load,
        take_reading,
        crashes,
        clock,
    ):
        """Follow nobody before ``run``."""
        self._view = view
        self._own_record = own_record
        self._seeds = seeds
        self._take_demand = take_demand
        self._report_load = report_load
        self._take_load = take_load
        self._take_reading = take_reading
        self._crashes = crashes
        self._clock = clock
        self._known = {}
        self._avoid = {}
        self._connection = None
        self._source = ""
        self._moving = None
        self._load_told = None
        self._load_told_s = 0.0
        self._heard_s = 0.0
        self._current_s = 0.0

    def announce(self):
        """Tell the followed instance at once what this entry is now."""
        if self._connection is not None and self._connection.is_open:
            self._connection.notify(
                EntryNotice(
                    entry=self._own_record(), demand=self._take_demand()
                )
            )

    def tell_load(self):
        """Tell the followed instance what this entry holds, if it changed.

        An unchanged load is repeated with each heartbeat, since what is not
        repeated is forgotten.
        """
        connection = self._connection
        if connection is None or not connection.is_open:
            return
        self._tell_replaced(connection)
        now_s = self._clock()
        load = self._report_load()
        told = (connection, load)
        if told == self._load_told and now_s - self._load_told_s < HEARTBEAT_S:
            return
        self._load_told = told
        self._load_told_s = now_s
        sender = self._own_record().instance
        connection.notify(LoadNotice(sender=sender, load=load))

    def tell_reading(self, upstream, for_s):
        """Tell all entries that a decode engine reads a prompt from here."""
        connection = self._connection
        if connection is not None and connection.is_open:
            entry = self._own_record().instance
            connection.notify(
                ReadingNotice(entry=entry, upstream=upstream, for_s=for_s)
            )

    def tell_crashes(self, records):
        """Tell all processes of requests that crash upstreams."""
        connection = self._connection
        if connection is not None and connection.is_open:
            connection.notify(CrashesNotice(records=records))

    def _tell_replaced(self, connection):
        """Tell of upstreams at whose address another one answers.

        Their own leave never comes.  Untold, each entry finds out by a prompt
        that is read for nothing.
        """
        replaced = self._view.take_replaced()
        if replaced:
            connection.notify(UpstreamsNotice(upstreams=replaced))

    async def run(self):
        """Follow, until cancelled."""
        while True:
            await self._follow_one()
            await self._stay()
            self._leave()

    async def _follow_one(self):
        while True:
            if await self._subscribe_to_any(self._candidates()):
                return
            # Without a leader none of them is current.  What an instance
            # hears itself, of upstreams and of the load, is still worth
            # more than nothing.
            if await self._subscribe_to_any(
                self._candidates(), provisional=True
            ):
                return
            await asyncio.sleep(0.1)

    async def _subscribe_to_any(self, addresses, *, provisional=False):
        for address in addresses:
            if await self._subscribe(address, provisional=provisional):
                return True
        return False

    def _candidates(self):
        now_s = self._clock()
        known = dict.fromkeys((*self._known, *self._seeds()))
        return sorted(
            known,
            key=lambda a: (
                self._avoid.get(a, 0.0) > now_s,
                self._known.get(a, UNKNOWN_DISTANCE),
            ),
        )

    async def _subscribe(self, address, *, provisional=False):
        """Follow an instance from now on, if it takes this entry."""
        connection = await self._ask(address, provisional)
        if connection is None:
            self._avoid[address] = self._clock() + AVOID_S
            return False
        now_s = self._clock()
        before, self._connection = self._connection, connection
        self._source = address
        self._heard_s = now_s
        if not provisional:
            self._current_s = now_s
        if before is not None:
            before.close()
        # It may know less than this entry: it, or all of control, may have
        # started anew.
        if self._crashes.records:
            self.tell_crashes(self._crashes.records)
        _log.info(
            "control-followed",
            source=address,
            distance=self._known.get(address),
            provisional=provisional,
            version=self._view.version,
        )
        return True

    async def _ask(self, address, provisional):
        """Return a connection to an instance; None if it takes no entry."""
        try:
            connection = await connect_peer(address, on_notice=self._on_notice)
        except PeerUnreachableError:
            return None
        call = SubscribeCall(
            entry=self._own_record(),
            config_version=self._view.version,
            provisional=provisional,
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

    async def _stay(self):
        while self._connection.is_open:
            await asyncio.sleep(HEARTBEAT_S)
            self.announce()
            now_s = self._clock()
            if now_s - self._heard_s > SILENT_AFTER_S:
                self._note_lost("silent")
                return
            self._look_for_better(now_s)
        self._note_lost("connection lost")

    def _look_for_better(self, now_s):
        """Begin to follow a better instance, if there may be one.

        A nearer one is better, and any other than one that is out of touch
        with the leader.  The present one is followed until the other has
        taken this entry, so that no news is missed when it does not answer.
        """
        if self._moving is not None and not self._moving.done():
            return
        stale = now_s - self._current_s > STALE_AFTER_S
        here = self._known.get(self._source, UNKNOWN_DISTANCE)
        better = [
            address
            for address in self._candidates()
            if address != self._source
            and self._avoid.get(address, 0.0) <= now_s
            and (stale or self._known.get(address, UNKNOWN_DISTANCE) < here)
        ]
        if better:
            self._moving = asyncio.ensure_future(
                self._subscribe_to_any(better)
            )

    def _note_lost(self, why):
        _log.warning(
            "control-lost", source=self._source, why=why, age=self._view.age_s
        )
        self._avoid[self._source] = self._clock() + AVOID_S

    def _leave(self):
        if self._moving is not None:
            self._moving.cancel()
        self._connection.close()
        self._connection = None

    def _on_notice(self, connection, message):
        if connection is self._connection:
            self._heard_s = self._clock()
        elif isinstance(message, SourceNotice):
            # Only the followed instance tells whether it is current.
            return
        self._take(message)

    @singledispatchmethod
    def _take(self, message):
        _log.warning("notice-unknown", kind=type(message).__name__)

    @_take.register
    def _(self, message: ConfigNotice):
        first = not self._view.version
        self._view.take_config(message.version, message.packed)
        if first:
            self.announce()

    @_take.register
    def _(self, message: UpstreamsNotice):
        self._view.take_upstreams(message.upstreams, complete=message.complete)

    @_take.register
    def _(self, message: SwitchingNotice):
        self._view.take_switching(message.upstream, message.for_s)

    @_take.register
    def _(self, message: LoadNotice):
        self._take_load(message.load)

    @_take.register
    def _(self, message: CrashesNotice):
        self._crashes.take(message.records)

    @_take.register
    def _(self, message: ReadingNotice):
        if message.entry != self._own_record().instance:
            self._take_reading(message.upstream, message.for_s)

    @_take.register
    def _(self, message: SourceNotice):
        self._take_source(message, self._clock())

    def _take_source(self, notice, now_s):
        distance_to = self._view.distance_to
        self._known = {
            place.address: distance_to(place.data_center)
            if place.data_center
            else UNKNOWN_DISTANCE
            for place in notice.control
        }
        self._view.entries = notice.entries
        if notice.current:
            self._current_s = now_s
            self._view.confirmed_s = now_s
