"""Holds an entry's view: the routes in force and the known upstreams."""

import asyncio
import zlib

import structlog

from currantdeal.core.errors import DialectError
from currantdeal.organisations import ViewFreshness
from currantdeal.policy.placement.distance import Proximity
from currantdeal.registry import (
    RegistryFollower,
    UpstreamRegistry,
    UpstreamState,
)
from currantdeal.routing import CallerLimits, RouteTable

_log = structlog.get_logger(__name__)


class EntryView:
    """The routes and upstreams by which an entry handles requests.

    A configuration is only replaced by one with a higher version, and the
    records of an upstream are merged by its own start time and sequence
    numbers.  So a control instance that lags behind cannot return the entry
    to an older state.

    Parameters
    ----------
    read_config : callable
        Decodes the bytes of a configuration into a ``RoutingConfig``.
    data_center, region : str
        Location of this entry.
    region_of : dict
        Region of each data centre.
    heartbeat_s : float
        Interval of the upstreams' heartbeats.
    clock : callable
        Returns monotonic seconds.

    Attributes
    ----------
    entries : int
        Number of entries.
    silent : frozenset of str
        Upstreams whose heartbeats no control instance receives any more.
    confirmed_s : float
        Time of the last confirmation of this view.
    """

    def __init__(
        self,
        *,
        read_config,
        data_center,
        region,
        region_of,
        heartbeat_s,
        clock,
    ):
        """Start without routes and upstreams."""
        self._read_config = read_config
        self._data_center = data_center
        self._region = region
        self._region_of = region_of
        self._registry = UpstreamRegistry(heartbeat_s=heartbeat_s)
        self._follower = RegistryFollower(
            registry=self._registry, now_s=clock()
        )
        self._clock = clock
        self._route_table = None
        self._by_service = {}
        self._by_address = {}
        self._switching = {}
        self._replaced = []
        self._freshness = ViewFreshness()
        self._changed = asyncio.Event()
        self.entries = 1
        self.silent = frozenset()
        self.confirmed_s = clock()

    @property
    def data_center(self):
        """Data centre of this entry."""
        return self._data_center

    @property
    def route_table(self):
        """The ``RouteTable`` in force; None before the first configuration."""
        return self._route_table

    @property
    def version(self):
        """Version of the configuration in force; 0 before the first."""
        return self._route_table.version if self._route_table else 0

    @property
    def limits(self):
        """Limits on the requests of callers."""
        return (
            self._route_table.limits if self._route_table else CallerLimits()
        )

    @property
    def age_s(self):
        """Seconds since a control instance confirmed this view."""
        return round(self._clock() - self.confirmed_s, 3)

    @property
    def confirmed_boot_s(self):
        """Time since boot up to which the view has all acknowledged changes.

        Minus infinity before the first confirmation.
        """
        return self._freshness.confirmed_s

    def confirm(self, version, confirmed_boot_s):
        """Record that a quorum confirmed the newest version at a time."""
        self._freshness.confirm(
            version=version,
            confirmed_s=confirmed_boot_s,
            held_version=self.version,
        )
        self._wake_waiters()

    async def wait_for_change(self):
        """Wait for the next configuration or confirmation."""
        await self._changed.wait()

    def ready(self, service):
        """Return the upstreams of a service that accept work."""
        return self._by_service.get(service, ())

    def engines(self, service, stage):
        """Return the engines of a service that serve a stage.

        An engine that was ordered to switch stages is omitted until it
        announces the new stage.
        """
        now_s = self._clock()
        return [
            record
            for record in self.ready(service)
            if record.stage is stage and not self._is_switching(record, now_s)
        ]

    def health_path(self, service):
        """Return the health check path of a service; None if unknown."""
        services = self._route_table.services if self._route_table else ()
        paths = (s.health_path for s in services if s.name == service)
        return next(paths, None)

    def record(self, upstream):
        """Return the latest record of an upstream; None if it is unknown."""
        return self._registry.get(upstream)

    def drop_if_replaced(self, record, answered_by):
        """Drop an upstream if another one answers at its address.

        The process was restarted under another name and has not announced
        itself yet.  Until it does, it would refuse each request that is sent
        there, after its prompt was prefilled elsewhere.
        """
        if answered_by in ("", record.upstream):
            return
        if self.accepts_work(record.upstream):
            gone = self._registry.leave(record.upstream, now_s=self._clock())
            self._replaced.append(gone)
            self._group_by_service()
            _log.info(
                "upstream-replaced",
                upstream=record.upstream,
                answered_by=answered_by,
            )

    def pop_replaced(self):
        """Return the upstreams found replaced since the last call."""
        replaced, self._replaced = self._replaced, []
        return tuple(replaced)

    def record_switching(self, upstream, for_s):
        """Omit an engine for a time, or until it announces another stage."""
        record = self._registry.get(upstream)
        if record is not None:
            until_s = self._clock() + for_s
            self._switching[upstream] = (record, until_s)
            _log.info("engine-switches", upstream=upstream, for_s=for_s)

    def accepts_work(self, upstream):
        """Return whether an upstream accepts work."""
        record = self._registry.get(upstream)
        return record is not None and record.state is UpstreamState.READY

    def is_current(self, record):
        """Return whether the process of a record is still the one registered.

        What an upstream has granted or kept is lost when its process ends,
        and the next process may give out the same identifiers again.
        """
        known = self._registry.get(record.upstream)
        return (
            known is not None
            and known.state is not UpstreamState.GONE
            and known.started_ms == record.started_ms
            and known.address == record.address
        )

    def is_restarted(self, record):
        """Return whether a later process runs in the place of a record's.

        It has the same name, or the same address and service.
        """
        return any(
            other.started_ms > record.started_ms
            and (
                other.upstream == record.upstream
                or other.address == record.address
            )
            for other in self.ready(record.service)
        )

    def distance_to(self, data_center):
        """Return the ``Proximity`` of a data centre to this one."""
        return self.proximity(data_center, self._data_center)

    def proximity(self, first, second):
        """Return the ``Proximity`` of two data centres."""
        if first == second:
            return Proximity.DATA_CENTER
        regions = {self._data_center: self._region, **self._region_of}
        region = regions.get(first)
        if region is not None and region == regions.get(second):
            return Proximity.REGION
        return Proximity.ELSEWHERE

    def data_center_at(self, address):
        """Return the data centre of the upstream at an address, or None."""
        record = self._by_address.get(address)
        return record and record.data_center

    def upstream_at(self, address):
        """Return the record of the upstream at an address, or None."""
        return self._by_address.get(address)

    @property
    def addresses(self):
        """Addresses of all upstreams that accept work."""
        return self._by_address.keys()

    def apply_config(self, version, packed):
        """Apply a committed configuration if it is newer."""
        if version <= self.version:
            return
        try:
            config = self._read_config(zlib.decompress(packed))
        except (DialectError, zlib.error) as exc:
            _log.error("config-unreadable", version=version, why=str(exc))
            return
        before = self.version
        self._route_table = RouteTable(config=config)
        self._freshness.hold(version=version)
        self._wake_waiters()
        _log.info("config-in-force", version=version, before=before)

    def lacks_upstreams(self, digest, *, adopts):
        """Return whether to ask the source for all records of upstreams.

        Parameters
        ----------
        digest : int
            Digest of the source's registry.
        adopts : bool
            Whether the source adopts upstreams that it does not know.
        """
        return self._follower.observe(
            digest, adopts=adopts, now_s=self._clock()
        )

    def reconcile_upstreams(self, listed):
        """Merge all records of the source; returns those that it lacks."""
        reported, forgotten = self._follower.reconcile(
            listed, now_s=self._clock()
        )
        self._group_by_service()
        _log.info(
            "upstreams-compared",
            listed=len(listed),
            reported=[r.upstream for r in reported],
            forgotten=[r.upstream for r in forgotten],
        )
        return reported

    def remove_expired(self, records):
        """Remove upstreams that are lost."""
        for record in records:
            known = self._registry.get(record.upstream)
            if known in self._registry.present and (
                known.started_ms == record.started_ms
            ):
                self._forget(known)
        self._group_by_service()

    def merge_upstreams(self, records, *, complete):
        """Merge records; if they are complete, remove all other upstreams."""
        now_s = self._clock()
        for record in records:
            if self._registry.merge(record, now_s=now_s):
                _log.info(
                    "upstream-changed",
                    upstream=record.upstream,
                    service=record.service,
                    state=record.state.value,
                    stage=record.stage.value if record.stage else None,
                    sequence=record.sequence,
                )
        if complete:
            for record in self._registry.difference_from(records).unlisted:
                self._forget(record)
        self._group_by_service()

    def _wake_waiters(self):
        self._changed.set()
        self._changed = asyncio.Event()

    def _is_switching(self, record, now_s):
        if record.upstream not in self._switching:
            return False
        before, until_s = self._switching[record.upstream]
        same_stage = record.stage is before.stage
        same_start = record.started_ms == before.started_ms
        if now_s < until_s and same_stage and same_start:
            return True
        del self._switching[record.upstream]
        return False

    def _forget(self, record):
        self._registry.forget(record.upstream)
        _log.info("upstream-dropped", upstream=record.upstream)

    def _group_by_service(self):
        found = {}
        for record in self._registry.present:
            if record.state is UpstreamState.READY:
                found.setdefault(record.service, []).append(record)
        self._by_service = {name: tuple(rs) for name, rs in found.items()}
        self._by_address = {
            record.address: record
            for records in found.values()
            for record in records
        }
