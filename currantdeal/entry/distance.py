"""Applies the cost of distance to the choices of an entry.

It measures round trips from the exchanges of the entry, gives the choices of
upstreams their costs, and counts what left the data centre and why.
"""

from copy import copy
from enum import Enum
from functools import cache, partial

from currantdeal.entry.steps import StepKind
from currantdeal.policy.load.rates import DecayingRate
from currantdeal.policy.placement.distance import (
    DEFAULT_TRANSFER_S,
    MEMORY_WAIT_TARGETS,
    NEAR_S,
    RUN_ROUND_TRIPS,
    SLOT_WAIT_TARGETS,
    DistanceCosts,
    KvTransfer,
    LeaveGate,
    expected_unreported,
)

MIN_FULL_WAIT_S = 0.02
"""Shortest wait that a full upstream stands for."""


class Pool(str, Enum):
    """What upstreams are chosen for."""

    PREFILL = "prefill"
    DECODE = "decode"
    PLAIN = "plain"


class Departures:
    """What leaving the data centre costs an entry, and what has left.

    Parameters
    ----------
    view : EntryView
        Known upstreams and the location of the entry.
    settings : DistanceSettings
        What operators say about distance.
    random : random.Random
        Chooses the requests that leave.
    metrics : currantdeal.ports.MetricsPort
        Counters and histograms.
    """

    def __init__(self, *, view, settings, random, metrics):
        """Start without measurements."""
        self.costs = DistanceCosts(
            home=view.data_center,
            proximity=view.proximity,
            settings=settings,
        )
        self.gate = LeaveGate(random=random)
        self._placed = {}
        self._view = view
        self._metrics = metrics

    def copy(self, *, random):
        """Return a copy that changes nothing here when it is asked."""
        copied = copy(self)
        copied.gate = self.gate.copy(random=random)
        return copied

    def record_connected(self, address, took_s, *, now_s):
        """Record how long it took to open a connection."""
        data_center = self._view.data_center_at(address)
        if data_center is not None:
            self.costs.record_round_trip(data_center, took_s, now_s=now_s)

    def memory_options(self, active, records, *, now_s):
        """Return options of ``DecodeEngineOrder.order`` for a generation.

        Parameters
        ----------
        records : dict
            Records of the engines by name.
        """
        target_s = active.route.target_s
        full_wait_s = MEMORY_WAIT_TARGETS * target_s
        if active.first_output_s is not None and active.route.gap_target_s:
            # A stream that resumes must be back within a pause.
            full_wait_s = active.route.gap_target_s
        way = self._way(active, now_s, trips=RUN_ROUND_TRIPS)
        return {
            "distance": lambda name: way(records[name].data_center),
            "full_wait_s": max(MIN_FULL_WAIT_S, full_wait_s),
            "may_leave": self._gate(active, Pool.DECODE, records, way, now_s),
        }

    def plain_options(self, active, records, *, now_s):
        """Return options of ``order_upstreams`` for a plain call."""
        way = self._way(active, now_s, trips=1)
        by_name = {record.upstream: record for record in records}
        full_wait_s = SLOT_WAIT_TARGETS * active.route.target_s
        return {
            "distance": lambda record: way(record.data_center),
            "full_wait_s": max(MIN_FULL_WAIT_S, full_wait_s),
            "may_leave": self._gate(active, Pool.PLAIN, by_name, way, now_s),
        }

    def prefill_options(self, active, records, decode_engine, *, now_s):
        """Return options of ``estimate_prefill`` for a prompt.

        Parameters
        ----------
        decode_engine : UpstreamRecord or None
            The engine that will fetch the KV cache, if it is known.
        """
        if decode_engine is None:
            return {"distance": lambda name: 0.0}
        request_way = self._way(active, now_s, trips=1)
        kv = _kv_transfer(active)

        @cache
        def way(data_center):
            return request_way(data_center) + self.costs.seconds(
                decode_engine.data_center,
                data_center,
                trips=1,
                now_s=now_s,
                kv=kv,
            )

        return {
            "distance": lambda name: way(records[name].data_center),
            "may_leave": self._gate(active, Pool.PREFILL, records, way, now_s),
        }

    def connect_s(self, record, *, now_s):
        """Return the expected time to open a connection to an upstream."""
        return self.costs.round_trip(record.data_center, now_s=now_s).seconds

    def record_sent(self, active, pool, record, *, now_s):
        """Count a request that was sent to an upstream, and why it left."""
        rate = self._placed.setdefault(
            (active.service.name, pool), DecayingRate()
        )
        rate.add(1, now_s=now_s)
        home = self._view.data_center
        self._metrics.add(
            "placements_total",
            pool=pool.value,
            source=home,
            destination=record.data_center,
        )
        if record.data_center == home:
            return
        gain_s = active.leaving_gains_s.get(pool)
        why = self._reason(record, gain_s, now_s)
        if why == "cheaper":
            self._metrics.observe(
                "leaving_saved_seconds", gain_s, pool=pool.value
            )
        self._metrics.add("left_total", pool=pool.value, why=why)
        saved = f", {gain_s:.3f} s" if why == "cheaper" else ""
        active.add_step(
            StepKind.LEFT,
            record.upstream,
            f"{pool.value} in {record.data_center}, {why}{saved}",
        )

    def _reason(self, record, gain_s, now_s):
        home = self._view.data_center
        way_s = self.costs.seconds(
            home, record.data_center, trips=1, now_s=now_s
        )
        if way_s <= NEAR_S:
            return "near"
        if gain_s is None:
            return "only-there"
        return "cheaper" if gain_s > 0.0 else "refused-here"

    def _way(self, active, now_s, *, trips):
        """Return a function for the seconds from the entry to elsewhere."""
        return cache(
            partial(
                self.costs.seconds,
                self._view.data_center,
                trips=trips,
                now_s=now_s,
                size_bytes=len(active.request.body),
            )
        )

    def _gate(self, active, pool, records, way, now_s):
        """Return ``may_leave`` for one choice; it notes the gain."""
        active.leaving_gains_s.pop(pool, None)
        places = {record.data_center for record in records.values()}
        nearest_s = min((way(place) for place in places), default=0.0)
        error_s = min(
            (
                self.costs.round_trip(place, now_s=now_s).error_s
                for place in places
                if way(place) > nearest_s + NEAR_S
            ),
            default=0.0,
        )

        key = (active.service.name, pool)

        def may_leave(here_s, away_s, *, unreported, **more):
            if here_s and away_s:
                gain_s = min(here_s) - min(away_s)
                active.leaving_gains_s[pool] = gain_s
            return self.gate.may_leave(
                key,
                here_s,
                away_s,
                error_s=error_s,
                unreported=max(unreported, self._unreported(key, now_s)),
                **more,
            )

        return may_leave

    def _unreported(self, key, now_s):
        rate = self._placed.get(key)
        placed_per_s = 0.0 if rate is None else rate.per_s(now_s=now_s)
        return expected_unreported(placed_per_s, self._view.entries)


def _kv_transfer(active):
    """Return the ``KvTransfer`` of a prompt."""
    engine = active.service.engine
    size_bytes = active.call.prompt_tokens * engine.kv_bytes_per_token
    if not size_bytes or not engine.link_bytes_per_s:
        return KvTransfer(size_bytes=0, seconds=DEFAULT_TRANSFER_S)
    seconds = size_bytes / engine.link_bytes_per_s
    return KvTransfer(
        size_bytes=size_bytes,
        seconds=tuple(f * seconds for f in engine.transfer_factors),
    )
