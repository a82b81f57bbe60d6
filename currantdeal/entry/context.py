"""Holds the state shared by all requests of an entry, and that of each one."""

import asyncio
import math
from dataclasses import dataclass
from functools import cached_property

from currantdeal.core import digest_parts
from currantdeal.entry.access import Access
from currantdeal.entry.crash_watch import CrashWatch
from currantdeal.entry.limits import LimitPatience, UpstreamLimits
from currantdeal.entry.probing import Prober
from currantdeal.entry.quotas import QuotaClient
from currantdeal.entry.steps import Step, kind_of_failure
from currantdeal.node.dialect import ForwardingOptions
from currantdeal.node.fingerprint import fingerprint_of
from currantdeal.policy.decode_memory import DecodeEngineOrder
from currantdeal.policy.demand import DemandMeter
from currantdeal.policy.local_prefills import LocalPrefills
from currantdeal.policy.reset_outcome import CallKind
from currantdeal.policy.retry_detection import RetryDetector
from currantdeal.policy.shared_load import EntryLoad
from currantdeal.policy.shared_retry_budget import SharedRetryBudget
from currantdeal.policy.upstream_health import UpstreamHealth
from currantdeal.routing import RetrySafety

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
    budget : BudgetBounds
        Bounds of the retry budget of each service.
    metrics : currantdeal.ports.MetricsPort
        Counters and histograms.
    revocation_s : float
        Time after which a withdrawn key must not work.
    """

    def __init__(
        self,
        *,
        view,
        pool,
        dialect,
        random,
        budget,
        metrics,
        revocation_s=math.inf,
    ):
        """Start without load or failures."""
        self.view = view
        self.pool = pool
        self.dialect = dialect
        self.random = random
        self.metrics = metrics
        self.access = Access(view=view, revocation_s=revocation_s)
        self.quotas = QuotaClient()
        self.limits = UpstreamLimits(metrics=metrics)
        self.health = UpstreamHealth()
        self.load = EntryLoad()
        self.decode_engine_order = DecodeEngineOrder(load=self.load)
        self.prefill_health = UpstreamHealth()
        self.retry_detector = RetryDetector()
        self.local_prefills = LocalPrefills()
        self.announce_local_prefill = None
        self._budget_bounds = budget
        self._budgets = {}
        self._meters = {}
        self._background = set()
        self._prober = Prober(
            view=view,
            pool=pool,
            dialect=dialect,
            read_response=self.read_response,
            in_background=self.in_background,
        )
        self.crash_watch = CrashWatch(
            view=view,
            pool=pool,
            metrics=metrics,
            in_background=self.in_background,
        )

    @property
    def now_s(self):
        """Loop time."""
        return asyncio.get_running_loop().time()

    def eject(self, record, health):
        """Eject an unreachable upstream until it answers a health check."""
        self._prober.eject(record, health)

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

    def encode(self, active, record, **more):
        """Return the ``Outgoing`` request for an upstream.

        Parameters
        ----------
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
        return self.dialect.outgoing(
            head, active.request.body, ForwardingOptions(**options)
        )

    def begin_local_prefill(self, upstream, for_s):
        """Record a local prefill and announce it to the other entries."""
        self.local_prefills.start(upstream, for_s, now_s=self.now_s)
        if self.announce_local_prefill is not None:
            self.announce_local_prefill(upstream, for_s)

    def record_local_prefill(self, upstream, for_s):
        """Record a local prefill of another entry."""
        self.local_prefills.start(upstream, for_s, now_s=self.now_s)

    def record_request(self, service):
        """Count a caller's request towards the retry budget of its service."""
        self._budget(service).record_request(now_s=self.now_s)

    def use_retry_budget(self, service):
        """Use a service's budget for a retry; returns False if it is empty."""
        return self._budget(service).try_use(
            now_s=self.now_s, entries=self.view.entries
        )

    def budgets_left(self):
        """Return the retries that each service's budget allows now."""
        return {
            name: budget.left(now_s=self.now_s, entries=self.view.entries)
            for name, budget in self._budgets.items()
        }

    def meter(self, service):
        """Return the ``DemandMeter`` of a service."""
        return self._meters.setdefault(service, DemandMeter())

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
        return self.load.report(
            unreachable=unreachable,
            longest_timeouts_s=self.retry_detector.longest_timeouts_s,
        )

    def update_load(self, load):
        """Update the load of all entries at the engines."""
        self.load.update_sums(load, now_s=self.now_s)
        self.retry_detector.set_shared_timeouts(load.patience)

    def in_background(self, work):
        """Run a coroutine that outlives its request."""
        task = asyncio.ensure_future(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    def _budget(self, service):
        found = self._budgets.get(service)
        if found is None:
            found = SharedRetryBudget(
                ratio=self._budget_bounds.ratio,
                allowance=self._budget_bounds.allowance,
                window_s=self._budget_bounds.window_s,
            )
            self._budgets[service] = found
        return found


@dataclass(frozen=True, kw_only=True)
class BudgetBounds:
    """Bounds of the retry budget of a service, over all entries."""

    ratio: float
    allowance: float
    window_s: float


class MemorySearch:
    """Counts of a request's attempts to reserve memory, for its log line.

    Attributes
    ----------
    requested : int
        Reservations that were requested.
    refused : int
        Reservations that an engine refused.
    rounds_without_room : int
        Rounds in which no engine was estimated to have room.
    """

    def __init__(self):
        """Start all counts at zero."""
        self.requested = 0
        self.refused = 0
        self.rounds_without_room = 0

    def __str__(self):
        """Return the counts as they are logged."""
        return f"{self.requested}/{self.refused}/{self.rounds_without_room}"


class ActiveRequest:
    """One request that is being handled.

    Parameters
    ----------
    request : currantdeal.node.http_request.Request
        The whole request.
    responder : currantdeal.node.http_request.Responder
        Sends the answer.
    call : currantdeal.node.dialect.CallerRequest
        Fields of its head.
    route, service : Route, Service
        Route that matches it, and the service that handles it.
    version : int
        Version of the configuration of that route.
    deadline_s : float
        Loop time by which it must end.
    organisation : Organisation or None
        Organisation of its caller; None if the route needs no key.

    Attributes
    ----------
    is_retry : bool
        Whether its caller has waited before, on an earlier attempt.
    runs : int
        Number of upstreams that may have run it.
    was_sent : bool
        Whether it was encoded for an upstream, so that it may have been sent.
    lost_incarnations : list
        Incarnations of upstreams whose connections were lost while they ran
        it.
    """

    def __init__(
        self,
        *,
        request,
        responder,
        call,
        route,
        service,
        version,
        deadline_s,
        organisation=None,
    ):
        """Start before the first attempt."""
        self.request = request
        self.responder = responder
        self.call = call
        self.route = route
        self.service = service
        self.version = version
        self.deadline_s = deadline_s
        self.organisation = organisation
        self.is_retry = False
        self.runs = 0
        self.was_sent = False
        self.lost_incarnations = []
        self.search = MemorySearch()
        self.steps = []
        self.first_output_s = None
        self.longest_pause_s = 0.0
        self._last_output_s = None

    @property
    def is_generation(self):
        """Whether it is served by a model engine, which streams its answer."""
        engine = self.service.engine
        return engine is not None and self.call.prompt_tokens > 0

    @cached_property
    def fingerprint(self):
        """Fingerprint, equal for each retry of the same request."""
        return fingerprint_of(self.request, self.call)

    @cached_property
    def caller_digest(self):
        """Digest of the request and the host that sent it.

        Equal for all its attempts; callers at other hosts who send the same
        request have another one.
        """
        sender = self.request.sender.encode()
        return digest_parts(self.fingerprint, sender)

    @property
    def priority(self):
        """Priority of the organisation, or else of the route; 0 is first."""
        organisation = self.organisation
        if organisation is None or organisation.priority is None:
            return self.route.priority
        return organisation.priority

    @property
    def kind(self):
        """The ``CallKind`` of the request."""
        if self.route.retry_safety is RetrySafety.RESUMABLE:
            return CallKind.RESUMABLE_STREAM
        if self.is_generation or self.route.streaming:
            return CallKind.STREAM
        if self.route.retry_safety is RetrySafety.FREELY:
            return CallKind.IDEMPOTENT
        return CallKind.NON_IDEMPOTENT

    def record_output(self, now_s):
        """Record the time of output that is sent to the caller."""
        if self._last_output_s is None:
            self.first_output_s = now_s
        else:
            pause_s = now_s - self._last_output_s
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self._last_output_s = now_s

    def add_step(self, kind, upstream="", detail=""):
        """Add a step at the current time, for the request's log line."""
        now_s = asyncio.get_running_loop().time()
        self.steps.append(
            Step(
                after_s=now_s - self.request.arrived_s,
                kind=kind,
                upstream=upstream,
                detail=str(detail),
            )
        )

    def add_failure_step(self, upstream, exc):
        """Add the step for a failed exchange."""
        self.add_step(kind_of_failure(exc), upstream, exc)

    def time_left_s(self, now_s):
        """Return the seconds until the deadline of the request."""
        return max(0.0, self.deadline_s - now_s)
