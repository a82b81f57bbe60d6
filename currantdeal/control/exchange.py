"""Records of upstreams and entries, kept alike at all control instances.

News is spread at once and confirmed; renewing heartbeats are spread in
batches without an answer.
"""

import asyncio
import itertools

import structlog

from currantdeal.adapters.generated.peers.ttypes import FrameKind
from currantdeal.control.directory import EntryDirectory
from currantdeal.node.errors import PeerUnreachableError
from currantdeal.node.messages import (
    ControlPlace,
    RecordsCall,
    Renewal,
    RenewalsNotice,
    SpreadCall,
    SwitchingNotice,
    UpstreamsNotice,
)
from currantdeal.node.peers import pack_frame
from currantdeal.registry import UpstreamRegistry

FETCH_TIMEOUT_S = 1.0
"""Time for another control instance to send all its records."""

SPREAD_TIMEOUT_S = 0.4
"""Time for other control instances to confirm that an upstream leaves."""

_log = structlog.get_logger(__name__)


class RecordExchange:
    """The registry, the directory and who is told of their news.

    Parameters
    ----------
    me : ControlPlace
        This instance.
    control : callable
        Returns the peer addresses of all control instances.
    voters : callable
        Returns those of them that count towards a majority.
    links : callable
        Returns the ``PeerLink`` to an address.
    heartbeat_s : float
        Interval of the upstreams' heartbeats.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, *, me, control, voters, links, heartbeat_s, clock):
        """Start with empty records."""
        self.me = me.address
        self._data_centers = {me.address: me.data_center}
        self._control = control
        self._voters = voters
        self._links = links
        self._clock = clock
        self.registry = UpstreamRegistry(heartbeat_s=heartbeat_s)
        self.directory = EntryDirectory()
        self.subscribers = set()
        self._renewed = {}
        self._renewed_entries = {}
        self._fetching = set()
        self._tasks = set()

    @property
    def places(self):
        """The control instances, and where they are as far as is known."""
        return tuple(
            ControlPlace(
                address=address,
                data_center=self._data_centers.get(address, ""),
            )
            for address in self._control()
        )

    @property
    def all_records(self):
        """Everything known, for an instance that knows less."""
        return SpreadCall(
            upstreams=self.registry.records, entries=self.directory.records
        )

    def merge_upstream(self, record):
        """Take in a heartbeat; returns whether it brought news."""
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

    def leave(self, upstream):
        """Note that an upstream left; returns its record, or None."""
        gone = self.registry.leave(upstream, now_s=self._clock())
        if gone is not None:
            self._publish((gone,))
        return gone

    def take_replaced(self, records):
        """Take in that upstreams are gone, as an entry found out."""
        news = tuple(r for r in records if self.merge_upstream(r))
        if news:
            self._in_background(self.spread(upstreams=news))

    def take_entry(self, record):
        """Take in the heartbeat of an entry that follows this instance."""
        if self.directory.merge(record, now_s=self._clock()):
            _log.info(
                "entry-changed", entry=record.instance, ready=record.ready
            )
            self._in_background(self.spread(entries=(record,)))
        else:
            self._renewed_entries[record.instance] = Renewal(
                name=record.instance,
                started_ms=record.started_ms,
                sequence=record.sequence,
            )

    def take_spread(self, call):
        """Take in a ``SpreadCall`` of another instance."""
        for record in call.upstreams:
            self.merge_upstream(record)
        for record in call.entries:
            self.directory.merge(record, now_s=self._clock())

    def take_renewals(self, notice):
        """Take in the renewing heartbeats that another instance got."""
        now_s = self._clock()
        self._data_centers[notice.sender] = notice.data_center
        self._fetch_unknown(notice)
        for renewal in notice.upstreams:
            self.registry.heard(
                renewal.name, renewal.started_ms, renewal.sequence, now_s=now_s
            )
        for renewal in notice.entries:
            self.directory.heard(
                renewal.name, renewal.started_ms, renewal.sequence, now_s=now_s
            )

    def spread_renewals(self, demand):
        """Tell the other control instances what came here.

        Parameters
        ----------
        demand : dict
            Demand of each service that entries reported here.
        """
        notice = RenewalsNotice(
            sender=self.me,
            data_center=self._data_centers[self.me],
            demand=demand,
            upstreams=tuple(self._renewed.values()),
            entries=tuple(self._renewed_entries.values()),
        )
        self._renewed = {}
        self._renewed_entries = {}
        if notice.upstreams or notice.entries:
            self.tell_others(notice)

    async def spread(self, *, upstreams=(), entries=()):
        """Spread news; returns whether a majority has confirmed it.

        All are told, but only the voters of the replica set count.  An
        instance that still starts, beside one that is gone, would raise the
        majority above what can answer, and no upstream could leave.
        """
        call = SpreadCall(upstreams=upstreams, entries=entries)
        others = self._others()
        answers = await asyncio.gather(
            *(self._confirm(address, call) for address in others)
        )
        confirmed = {self.me}
        confirmed.update(itertools.compress(others, answers))
        voters = set(self._voters())
        return len(voters & confirmed) > len(voters) // 2

    def tell_switching(self, upstream, for_s):
        """Have all entries leave an engine alone while it switches."""
        notice = SwitchingNotice(upstream=upstream, for_s=for_s)
        self.publish(notice)
        self.tell_others(notice)

    def pass_on(self, connection, notice):
        """Pass a notice of an entry on to all entries, at once."""
        self.publish(notice)
        if connection in self.subscribers:
            self.tell_others(notice)

    def tell_others(self, notice):
        """Send a notice to the other control instances."""
        for address in self._others():
            self._links(address).notify(notice)

    def tell_one(self, address, notice):
        """Send a notice to one other control instance."""
        self._links(address).notify(notice)

    def publish(self, message):
        """Send a notice to the entries that follow this instance."""
        self.publish_frame(pack_frame(FrameKind.NOTICE, 0, message))

    def publish_frame(self, frame):
        """Send a packed frame to the entries that follow this instance."""
        for connection in self.subscribers:
            connection.send_packed(frame)

    def expire(self):
        """Forget who has been silent."""
        now_s = self._clock()
        self.directory.expire(now_s=now_s)
        for record in self.registry.expire(now_s=now_s):
            _log.info("upstream-forgotten", upstream=record.upstream)

    def _publish(self, records):
        self.publish(UpstreamsNotice(upstreams=records))

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
            self._in_background(self._fetch(notice.sender))

    async def _fetch(self, address):
        try:
            found = await self._links(address).call(
                RecordsCall(), timeout_s=FETCH_TIMEOUT_S
            )
        except PeerUnreachableError:
            return
        finally:
            self._fetching.discard(address)
        self.take_spread(found)

    def _in_background(self, work):
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _others(self):
        return [address for address in self._control() if address != self.me]

    async def _confirm(self, address, call):
        try:
            answer = await self._links(address).call(
                call, timeout_s=SPREAD_TIMEOUT_S
            )
        except PeerUnreachableError:
            return False
        return answer.accepted
