"""Holds the state shared by all requests of an entry."""

import asyncio
import math
from dataclasses import replace

from currantdeal.entry.access import Access
from currantdeal.entry.crash_watch import CrashWatch
from currantdeal.entry.distance import Departures
from currantdeal.entry.engine_watch import EngineWatch
from currantdeal.entry.limits import LimitPatience, UpstreamLimits
from currantdeal.entry.link_watch import LinkWatch
from currantdeal.entry.probing import Prober
from currantdeal.entry.quotas import QuotaClient
from currantdeal.entry.retry_budgets import RetryBudgets
from currantdeal.entry.run_contacts import RunContacts
from currantdeal.node.dialect import ForwardingOptions
from currantdeal.node.errors import (
    MalformedResponseError,
    ResponseTimeoutError,
)
from currantdeal.policy.health.upstream_health import UpstreamHealth
from currantdeal.policy.load.demand import DemandMeter
from currantdeal.policy.load.run_lengths import RunLengths
from currantdeal.policy.load.shared_load import EntryLoad
from currantdeal.policy.memory.decode_memory import DecodeEngineOrder
from currantdeal.policy.memory.urgency import MemoryTurns
from currantdeal.policy.placement.local_prefills import LocalPrefills
from currantdeal.policy.retries.repeat_outcomes import RepeatOutcomes
from currantdeal.policy.retries.retry_detection import RetryDetector
from currantdeal.policy.speed.paces import PACE_INTERVAL_S
from currantdeal.policy.speed.upstream_speeds import UpstreamSpeeds

LIMIT_QUEUE_TARGETS = 0.5
"""Longest wait for a slot of a limited upstream, as a multiple of the target.

A longer one would make the answer late.
"""

MAX_RETRY_AFTER_SHARE = 1 / 3
"""Share of the time left that callers wait before they retry."""

MAX_OWNER_WAIT_S = 2.0
"""Longest wait for an owner of quotas or limits; it covers its election."""

OWNER_WAIT_SHARE = 0.75
"""Largest share of the time left that this wait may take."""

_HERE = ""  # this entry as the reporter of an upstream


class EntryContext:
    """State shared by the requests of one entry.

    Parameters
    ----------
    view : EntryView
        Routes in force and known upstreams.
    pool : ConnectionPool
        Connections to upstreams.
    dialect : currantdeal.node.dialect.UpstreamDialect
        Formats of requests and answers.
    random : random.Random
        Source of randomness for tie-breaking and jitter.
    retry_ratio : RetryRatio
        Retries that the requests of each service allow.
    metrics : currantdeal.ports.MetricsPort
        Counters and histograms.
    revocation_s : float
        Time after which a withdrawn key must not work.
    distance : DistanceSettings or None
        What operators say about distance.
    """

    def __init__(
        self,
        *,
        view,
        pool,
        dialect,
        random,
        retry_ratio,
        metrics,
        revocation_s=math.inf,
        distance=None,
    ):
        """Start without load or failures."""
        self.view = view
        self.pool = pool
        self.dialect = dialect
        self.random = random
        self.metrics = metrics
        self.access = Access(view=view, revocation_s=revocation_s)
        self.quotas = QuotaClient()
        self.retry_budgets = RetryBudgets(bounds=retry_ratio)
        self.limits = UpstreamLimits(metrics=metrics)
        self.health = UpstreamHealth()
        self.load = EntryLoad()
        self.speeds = UpstreamSpeeds()
        self.run_lengths = RunLengths()
        self.run_contacts = RunContacts(
            clock=lambda: self.now_s,
            call_later=lambda delay_s, action: (
                asyncio.get_running_loop().call_later(delay_s, action)
            ),
        )
        self._paces_due_s = 0.0
        self.decode_engine_order = DecodeEngineOrder(load=self.load)
        self.memory_turns = MemoryTurns()
        self.prefill_health = UpstreamHealth()
        self.retry_detector = RetryDetector()
        self.repeat_outcomes = RepeatOutcomes()
        self.retry_budgets.on_denied = self._record_denied
        self.local_prefills = LocalPrefills()
        self.departures = Departures(
            view=view, settings=distance, random=random, metrics=metrics
        )
        pool.connector.on_connected = self._record_connected
        self.announce_local_prefill = None
        self.announce_unreachable = None
        self._meters = {}
        self._background = set()
        self._prober = Prober(
            view=view,
            pool=pool,
            dialect=dialect,
            read_response=self.read_response,
            in_background=self.in_background,
        )
        self.engine_watch = EngineWatch(
            view=view,
            pool=pool,
            dialect=dialect,
            read_response=self.read_response,
            load=self.load,
        )
        self.crash_watch = CrashWatch(
            view=view,
            pool=pool,
            metrics=metrics,
            in_background=self.in_background,
            random=random,
        )
        self.crash_watch.on_ended = self._report_unreachable
        self.link_watch = LinkWatch(
            view=view,
            pool=pool,
            dialect=dialect,
            read_response=self.read_response,
            in_background=self.in_background,
            random=random,
            metrics=metrics,
        )
        self.link_watch.on_answer = self._readmit
        self.link_watch.on_reached = self._absolve

    @property
    def now_s(self):
        """Loop time."""
        return asyncio.get_running_loop().time()

    def eject(self, record, health, exc=None):
        """Eject an upstream until it answers a health check.

        Parameters
        ----------
        exc : ExchangeError or None
            The failure of a request to it, if one failed.
        """
        is_malformed = isinstance(exc, MalformedResponseError)
        now_s = self.now_s
        self._prober.eject(
            record,
            health,
            is_malformed=is_malformed,
            why="no answer" if exc is None else str(exc),
            contact_age=self.health.contact_age_s(
                record.upstream, now_s=now_s
            ),
            reported=self.load.is_suspect(record.upstream, now_s=now_s),
        )
        if exc is not None and exc.has_ended:
            self._report_unreachable(record)
        elif isinstance(exc, ResponseTimeoutError):
            self.link_watch.record_timeout(record.address)

    def _readmit(self, record):
        """Readmit an upstream that has answered a health check."""
        self.record_reached(record)
        for health in (self.health, self.prefill_health):
            health.readmit(record.upstream)

    def _absolve(self, record):
        """Readmit an upstream that is reached again, on another way."""
        self.record_reached(record)
        for health in (self.health, self.prefill_health):
            health.absolve(record.upstream)

    def may_send(self, active):
        """Return whether a request may be sent to an upstream now."""
        return self.access.may_send(active) and self.crash_watch.may_send(
            active
        )

    def read_response(self, record, head, *, sent_s=None):
        """Return the ``ResponseMetadata`` of an answer of an upstream.

        What it says of the upstream itself takes effect: its limit, and
        whether another one answers at its address.

        Parameters
        ----------
        sent_s : float or None
            See ``UpstreamLimits.observe``.
        """
        metadata = self.dialect.read_response(head)
        self.view.drop_if_replaced(record, metadata.answered_by)
        self.limits.observe(record.upstream, metadata, sent_s=sent_s)
        return metadata

    def limit_patience(self, active):
        """Return the ``LimitPatience`` of a request."""
        left_s = active.time_left_s(self.now_s)
        return LimitPatience(
            caller=active.caller_digest,
            slot_s=LIMIT_QUEUE_TARGETS * active.route.target_s,
            return_s=MAX_RETRY_AFTER_SHARE * left_s,
            owner_s=min(MAX_OWNER_WAIT_S, OWNER_WAIT_SHARE * left_s),
        )

    def encode(self, active, record, kind, **more):
        """Return the ``Outgoing`` request for an upstream.

        Parameters
        ----------
        kind : ArrivalKind
            What of the request is sent.
        more : dict
            Further fields of its ``ForwardingOptions``; ``time_left_s``
            defaults to the whole time left.
        """
        options = {
            "upstream": record.upstream,
            "time_left_s": active.time_left_s(self.now_s),
            **more,
        }
        active.was_sent = True
        self.limits.record_request(record.upstream)
        if active.organisation is not None:
            options["organisation"] = active.organisation.name
            options["priority"] = active.priority
            options["send_before_s"] = self.access.valid_until_s
        head = active.request.head
        if self.view.route_table.needs_keys:
            # The request may have arrived under an earlier configuration.
            head = self.dialect.without_credentials(head)
        outgoing = self.dialect.outgoing(
            head, active.request.body, ForwardingOptions(**options)
        )
        return replace(outgoing, on_send=lambda: active.arrivals.begin(kind))

    def begin_local_prefill(self, upstream, for_s):
        """Record a local prefill and announce it to the other entries."""
        self.local_prefills.start(upstream, for_s, now_s=self.now_s)
        if self.announce_local_prefill is not None:
            self.announce_local_prefill(upstream, for_s)

    def record_local_prefill(self, upstream, for_s):
        """Record a local prefill of another entry."""
        self.local_prefills.start(upstream, for_s, now_s=self.now_s)

    def record_unreachable(self, upstream, started_ms, entry):
        """Record that another entry could not reach an upstream."""
        self.load.reports.add(upstream, started_ms, entry, now_s=self.now_s)

    def record_reached(self, record):
        """Record that an upstream has answered."""
        self.load.reports.clear(record.upstream)
        self.health.record_contact(record.upstream, now_s=self.now_s)
        self.engine_watch.record_reached(record)

    def _record_connected(self, address, took_s):
        self.departures.record_connected(address, took_s, now_s=self.now_s)

    def meter(self, service):
        """Return the ``DemandMeter`` of a service."""
        return self._meters.setdefault(service, DemandMeter())

    def _record_denied(self, service):
        self.repeat_outcomes.record_denied(service, now_s=self.now_s)

    def _report_unreachable(self, record):
        """Report an upstream that has ended, if others may need to know."""
        is_needed = self.load.reports.add(
            record.upstream, record.started_ms, _HERE, now_s=self.now_s
        )
        if is_needed and self.announce_unreachable is not None:
            self.metrics.add("unreachable_reported_total")
            self.announce_unreachable(record)

    def collect_demand(self):
        """Return the demand of each service since the last call."""
        return {name: m.collect() for name, m in self._meters.items()}

    def report_load(self):
        """Return the load of this entry, as reported to the others."""
        now_s = self.now_s
        unreachable = {
            *self.health.ejected(now_s=now_s),
            *self.prefill_health.ejected(now_s=now_s),
            *self.prefill_health.unresponsive(now_s=now_s),
        }
        load = self.load.report(
            unreachable=set(filter(self._is_trusted, unreachable)),
            longest_timeouts_s=self.retry_detector.longest_timeouts_s,
            repeats=self.repeat_outcomes.counts(now_s=now_s),
            waiting=self.memory_turns.report(now_s=now_s),
            wanted=self.memory_turns.report_wanted(),
        )
        if now_s < self._paces_due_s:
            return load
        self._paces_due_s = now_s + PACE_INTERVAL_S
        return replace(load, paces=self.speeds.report(now_s=now_s))

    def _is_trusted(self, upstream):
        """Return whether failures of an upstream are not those of its link.

        Otherwise entries that are cut would make the others avoid it.
        """
        record = self.view.record(upstream)
        return record is None or self.link_watch.is_trusted(record.address)

    def update_load(self, load):
        """Update the load of all entries at the engines."""
        self.load.update_sums(load, now_s=self.now_s)
        self.memory_turns.update_sums(
            load.waiting, load.wanted, now_s=self.now_s
        )
        self.retry_detector.set_shared_timeouts(load.patience)
        self.repeat_outcomes.update_sums(load.repeats)
        if load.paces:
            self.speeds.update(load.paces, now_s=self.now_s)

    def in_background(self, work):
        """Run a coroutine that outlives its request."""
        task = asyncio.ensure_future(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)
