"""Keeps records of upstreams and entries in sync at all control instances.

Changed records are sent to the other instances at once, and confirmed.
Heartbeats that change nothing are sent in batches and not confirmed.
"""

import asyncio
import itertools

import structlog

from currantdeal.adapters.generated.peers.ttypes import FrameKind
from currantdeal.control.directory import EntryDirectory
from currantdeal.control.reconciliation import UpstreamReconciler
from currantdeal.node.errors import PeerUnreachableError
from currantdeal.node.messages import (
    LIMITS_PROTOCOL,
    LOAD_CHANGES_PROTOCOL,
    ORGANISATIONS_PROTOCOL,
    PROTOCOL,
    RETRIES_PROTOCOL,
    ControlPlace,
    RenewalsNotice,
    SwitchingNotice,
)
from currantdeal.node.peers import pack_frame
from currantdeal.node.record_messages import (
    Renewal,
    SpreadCall,
    UpstreamsNotice,
)
from currantdeal.registry import UpstreamRegistry, UpstreamState

SPREAD_TIMEOUT_S = 0.4
"""Timeout of other control instances' confirmation of changed records."""

_log = structlog.get_logger(__name__)


class RecordExchange:
    """The registry, the directory and the receivers of their changes.

    Parameters
    ----------
    local_place : ControlPlace
        This instance.
    control : callable
        Returns the peer addresses of all control instances.
    voters : callable
        Returns the peer addresses of the voters among them.
    links : callable
        Returns the ``PeerLink`` to an address.
    heartbeat_s : float
        Interval of the upstreams' heartbeats.
    has_leader : callable
        Returns whether this instance is in contact with the leader.
    clock : callable
        Returns monotonic seconds.
    save_leaves : callable
        Called with the records of upstreams that have left, after each
        change.
    """

    def __init__(
        self,
        *,
        local_place,
        control,
        voters,
        links,
        heartbeat_s,
        has_leader,
        clock,
        save_leaves=lambda records: None,
    ):
        """Start with empty records."""
        self.local_id = local_place.address
        self._data_centers = {local_place.address: local_place.data_center}
        self._control = control
        self._voters = voters
        self._links = links
        self._clock = clock
        self._save_leaves = save_leaves
        self._services = frozenset()
        self.registry = UpstreamRegistry(heartbeat_s=heartbeat_s)
        self._reconciler = UpstreamReconciler(
            registry=self.registry,
            merge=self._merge_upstream,
            links=links,
            has_leader=has_leader,
            clock=clock,
        )
        self.directory = EntryDirectory()
        self.subscribers = set()
        self._renewed_upstreams = {}
        self._renewed_entries = {}
        self._protocols = {}
        self._fetching = set()
        self._fetched = set()
        self._tasks = set()

    @property
    def places(self):
        """The control instances, with their data centres where known."""
        return tuple(
            ControlPlace(
                address=address,
                data_center=self._data_centers.get(address, ""),
            )
            for address in self._control()
        )

    @property
    def all_records(self):
        """All records, for an instance that lacks some of them."""
        return SpreadCall(
            upstreams=self.registry.records, entries=self.directory.records
        )

    @property
    def adopts_upstreams(self):
        """Whether this instance may lack upstreams that others know."""
        return self._reconciler.adopts_upstreams

    def supports_organisations(self, address):
        """Return whether a control instance understands calls for them."""
        return self._protocols.get(address, 0) >= ORGANISATIONS_PROTOCOL

    def supports_limits(self, address):
        """Return whether a control instance understands ``LimitCall``."""
        return self._protocols.get(address, 0) >= LIMITS_PROTOCOL

    def supports_retries(self, address):
        """Return whether an instance understands ``RetryCreditCall``."""
        return self._protocols.get(address, 0) >= RETRIES_PROTOCOL

    def supports_load_changes(self, address):
        """Return whether an instance understands ``LoadChangesNotice``."""
        return self._protocols.get(address, 0) >= LOAD_CHANGES_PROTOCOL

    def configure(self, services):
        """Set the names of the configured services."""
        self._services = frozenset(services)

    def is_configured(self, record):
        """Return whether an upstream may announce itself with a record.

        One of a service that the configuration does not name, or names no
        longer, may only renew or end what is known of it.  Before the first
        configuration no service is known.
        """
        if record.service in self._services:
            return True
        known = self.registry.get(record.upstream)
        return known is not None and (
            (known.service, known.address, known.started_ms)
            == (record.service, record.address, record.started_ms)
        )

    def merge_upstream(self, record):
        """Merge an upstream's heartbeat; returns whether it changed a record.

        A heartbeat that changes nothing is kept for ``spread_renewals``.
        """
        changed = self._merge_upstream(record)
        if not changed:
            self._renewed_upstreams[record.upstream] = Renewal(
                name=record.upstream,
                started_ms=record.started_ms,
                sequence=record.sequence,
            )
        return changed

    def leave(self, upstream):
        """Mark an upstream as gone; returns its record.

        Returns None if it is not known which incarnation leaves.
        """
        now_s = self._clock()
        if self.adopts_upstreams and self._has_left(upstream):
            # A later incarnation may not be known here yet.
            return None
        if self.registry.has_just_restarted(upstream, now_s=now_s):
            return None
        gone = self.registry.leave(upstream, now_s=now_s)
        if gone is not None:
            self._record_leaves()
            self._publish_upstreams((gone,))
        return gone

    def load_leaves(self, records):
        """Restore the leaves that were known before a restart."""
        for record in records:
            self.registry.merge(record, now_s=self._clock())

    def receive_report(self, records):
        """Merge records that an entry has and this instance may lack."""
        changed = self._reconciler.merge(records)
        if changed:
            self._in_background(self.spread(upstreams=changed))

    def merge_entry(self, record):
        """Merge the heartbeat of an entry that subscribes to this instance."""
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

    def merge_spread(self, call):
        """Merge the records of another instance's ``SpreadCall``.

        They are no heartbeats: a record that changes nothing is not renewed,
        or each start of an instance would renew those of silent upstreams.

        Returns
        -------
        bool
            False if a later incarnation of one of the upstreams is known
            here, so that its record says nothing about the present one.
        """
        for record in call.upstreams:
            self._merge_upstream(record)
        for record in call.entries:
            self.directory.merge(record, now_s=self._clock())
        return all(
            self.registry.get(record.upstream).started_ms <= record.started_ms
            for record in call.upstreams
            if self.registry.get(record.upstream) is not None
        )

    def merge_renewals(self, notice):
        """Merge the batch of heartbeats that another instance received."""
        now_s = self._clock()
        self._data_centers[notice.sender] = notice.data_center
        self._protocols[notice.sender] = notice.protocol
        self._fetch_missing(notice)
        for renewal in notice.upstreams:
            self.registry.on_heartbeat(
                renewal.name, renewal.started_ms, renewal.sequence, now_s=now_s
            )
        self._reconciler.observe_digest(notice.sender, notice.upstreams_digest)
        for renewal in notice.entries:
            self.directory.on_heartbeat(
                renewal.name, renewal.started_ms, renewal.sequence, now_s=now_s
            )

    def spread_renewals(
        self, demand, *, grants=None, retry_grants=None, limits=None
    ):
        """Send the heartbeats received here to the other control instances.

        Parameters
        ----------
        demand : dict
            Demand of each service that entries reported to this instance.
        grants, retry_grants : GrantLog or None
            Credit that this instance has granted as the owner of quotas and
            of retry budgets.
        limits : dict or None
            ``LimitReport`` of upstreams that entries reported here.
        """
        notice = RenewalsNotice(
            sender=self.local_id,
            data_center=self._data_centers[self.local_id],
            demand=demand,
            upstreams=tuple(self._renewed_upstreams.values()),
            entries=tuple(self._renewed_entries.values()),
            protocol=PROTOCOL,
            grants=grants,
            retry_grants=retry_grants,
            limits=limits or {},
            upstreams_digest=self.registry.digest,
        )
        self._renewed_upstreams = {}
        self._renewed_entries = {}
        self.notify_others(notice)

    async def spread(self, *, upstreams=(), entries=()):
        """Send changed records; returns whether a majority confirmed them.

        They go to all control instances, but only the voters of the replica
        set count.  If an instance that is still starting counted in addition
        to the failed one it replaces, fewer than a majority might be able to
        answer, and no upstream could leave.
        """
        call = SpreadCall(upstreams=upstreams, entries=entries)
        others = self._other_addresses()
        answers = await asyncio.gather(
            *(self._request_confirmation(address, call) for address in others)
        )
        confirmed = {self.local_id}
        confirmed.update(itertools.compress(others, answers))
        voters = set(self._voters())
        return len(voters & confirmed) > len(voters) // 2

    def announce_switching(self, upstream, for_s):
        """Have all entries send no work to an engine while it switches."""
        notice = SwitchingNotice(upstream=upstream, for_s=for_s)
        self.publish(notice)
        self.notify_others(notice)

    def relay(self, connection, notice):
        """Forward a notice of one entry to all entries without delay."""
        self.publish(notice)
        if connection in self.subscribers:
            self.notify_others(notice)

    @property
    def other_links(self):
        """Links to the other control instances."""
        return [self._links(address) for address in self._other_addresses()]

    def notify_others(self, notice):
        """Send a notice to the other control instances."""
        for link in self.other_links:
            link.notify(notice)

    def notify_understanding(self, protocol, notice):
        """Send a notice to the other instances of a protocol version."""
        for address in self._other_addresses():
            if self._protocols.get(address, 0) >= protocol:
                self._links(address).notify(notice)

    def notify_one(self, address, notice):
        """Send a notice to one other control instance."""
        self._links(address).notify(notice)

    def publish(self, message):
        """Send a notice to the entries that subscribe to this instance."""
        self.publish_frame(pack_frame(FrameKind.NOTICE, 0, message))

    def publish_frame(self, frame):
        """Send a packed frame to the entries that subscribe to this one."""
        for connection in self.subscribers:
            connection.send_packed(frame)

    def expire(self):
        """Remove the records of silent upstreams and entries."""
        now_s = self._clock()
        self._reconciler.observe_contact()
        self.directory.expire(now_s=now_s)
        expired = self.registry.expire(now_s=now_s)
        for record in expired:
            _log.info("upstream-forgotten", upstream=record.upstream)
        if expired:
            self.publish(UpstreamsNotice(upstreams=(), expired=expired))

    def _publish_upstreams(self, records):
        self.publish(UpstreamsNotice(upstreams=records))

    def _merge_upstream(self, record):
        """Merge an upstream's record; returns whether it changed one."""
        changed = self.registry.merge(record, now_s=self._clock())
        if changed:
            _log.info(
                "upstream-changed",
                upstream=record.upstream,
                service=record.service,
                state=record.state.value,
                stage=record.stage.value if record.stage else "",
                sequence=record.sequence,
            )
            if record.state is UpstreamState.GONE:
                self._record_leaves()
            self._publish_upstreams((record,))
        return changed

    def _has_left(self, upstream):
        record = self.registry.get(upstream)
        return record is not None and record.state is UpstreamState.GONE

    def _record_leaves(self):
        self._save_leaves(
            tuple(
                record
                for record in self.registry.records
                if record.state is UpstreamState.GONE
            )
        )

    def _fetch_missing(self, notice):
        """Fetch all records of a sender that may have some missing here.

        Records are missing after a restart, and on an instance that joined
        after they were sent.  Renewals do not name upstreams whose heartbeats
        do not arrive, so each sender is asked once in any case.
        """
        sender = notice.sender
        if sender in self._fetched and not self._renews_unknown(notice):
            return
        if sender not in self._fetching:
            self._fetching.add(sender)
            self._in_background(self._fetch(sender))

    def _renews_unknown(self, notice):
        return any(
            self.registry.get(renewal.name) is None
            for renewal in notice.upstreams
        ) or any(
            not self.directory.contains(renewal.name)
            for renewal in notice.entries
        )

    async def _fetch(self, address):
        try:
            found = await self._reconciler.fetch(address)
        finally:
            self._fetching.discard(address)
        if found is not None:
            self._fetched.add(address)
            self.merge_spread(found)

    def _in_background(self, work):
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _other_addresses(self):
        return [
            address for address in self._control() if address != self.local_id
        ]

    async def _request_confirmation(self, address, call):
        try:
            answer = await self._links(address).call(
                call, timeout_s=SPREAD_TIMEOUT_S
            )
        except PeerUnreachableError:
            return False
        return answer.accepted
