"""Policy decisions of one instance, made by an actor.

The modules of ``currantdeal.policy`` are not thread-safe; the actor runs the
calls of all request threads one after the other.  Each call takes some
microseconds.

An admitted request gets a ``Ticket`` and waits on its future.  The future is
set to the scheduler's decision (a plan, a pause or a rejection) by whichever
call polls the scheduler, which may have been made for another request.
"""

from dataclasses import dataclass

import pykka

from currantdeal.core import Role, Work
from currantdeal.policy import (
    EVEN_WEIGHTS,
    Admission,
    FairQueue,
    OutlierDetector,
    OutputLengths,
    Placement,
    Pools,
    PrefixHints,
    Refused,
    RetryBudget,
    Scheduler,
    Wait,
    peer_group,
)
from currantdeal.serving.errors import RefusedError
from currantdeal.serving.view import ServingView


@dataclass(frozen=True, kw_only=True)
class Ticket:
    """An admitted request that waits for the scheduler.

    Parameters
    ----------
    work : Work
        The request.
    decision : pykka.Future
        Resolves to a ``Plan``, ``Pause`` or ``GiveUp``.
    """

    work: Work
    decision: pykka.Future


@dataclass(frozen=True, kw_only=True)
class Pause:
    """Every engine is full: call ``poll`` after a delay.

    Parameters
    ----------
    delay_s : float
        The delay, in seconds.
    ticket : Ticket
        Holds the next decision; the poll of another request may resolve it
        before the delay is over.
    """

    delay_s: float
    ticket: Ticket


class Decisions(pykka.ThreadingActor):
    """Schedulers, estimates of lengths and speeds, and the retry budget.

    Parameters
    ----------
    instance : InstanceId
        This instance.
    view : ServingView
        Which upstreams are allowed.
    clock : Clock
        Time of the decisions.
    rng : random.Random
        Source of randomness.
    load : callable
        Maps an upstream id to its last ``LoadReport`` or None.
    weights : policy.UserWeights
        The user's weights of goodput and of wasted prefills.
    caller_weights : mapping of CallerId to float
        Fair-queuing weights of callers.
    """

    use_daemon_thread = True

    def __init__(
        self,
        *,
        instance,
        view: ServingView,
        clock,
        rng,
        load,
        weights=EVEN_WEIGHTS,
        caller_weights=None,
    ):
        """Start without observations."""
        super().__init__()
        self._instance = instance
        self._view = view
        self._clock = clock
        self._rng = rng
        self._load = load
        self._weights = weights
        self._caller_weights = caller_weights or {}
        self._hints = PrefixHints()
        self._outliers = OutlierDetector()
        self._lengths = OutputLengths()
        self._retries = RetryBudget(rng=rng)
        self._schedulers = {}
        self._pending = {}
        self._reports = {}

    def submit(self, work):
        """Return a ``Ticket``, or ``Refused`` by admission control."""
        self._retries.record_first_attempt()
        scheduler = self._scheduler(work)
        decision = scheduler.submit(work, now_s=self._now_s())
        if isinstance(decision, Refused):
            return decision
        ticket = self._new_ticket(work)
        self._poll(scheduler)
        return ticket

    def poll(self, work):
        """Poll the scheduler of a request whose pause is over."""
        self._poll(self._scheduler(work))

    def record_reserved(self, plan):
        """Record that both engines of a plan are reserved."""
        scheduler = self._scheduler(plan.work)
        scheduler.record_reserved(plan, now_s=self._now_s())
        self._poll(scheduler)

    def record_refusal(self, plan, upstream_id, retry_after_s):
        """Record that a home refused a reservation of a plan.

        Returns
        -------
        Ticket
            For the next decision on the request.
        """
        scheduler = self._scheduler(plan.work)
        scheduler.record_refusal(
            plan,
            upstream_id,
            retry_after_s=retry_after_s,
            now_s=self._now_s(),
        )
        ticket = self._new_ticket(plan.work)
        self._poll(scheduler)
        return ticket

    def cancel(self, work):
        """Drop a request that no longer waits for a decision."""
        self._pending.pop(work.request_id, None)
        scheduler = self._scheduler(work)
        scheduler.cancel(work.request_id)
        self._poll(scheduler)

    def rank_services(self, work, upstreams):
        """Return services, fast ones first, then by requests in progress."""
        now_s = self._now_s()
        group = peer_group(work, Role.SERVICE)

        def sort_key(upstream):
            report = self._load(upstream.upstream_id)
            load = report.running + report.queued if report else 0
            ejected = self._outliers.is_ejected(
                group, upstream.upstream_id, now_s=now_s
            )
            return (ejected, load)

        return sorted(upstreams, key=sort_key)

    def record_call(self):
        """Credit the retry budget for a call to a plain service."""
        self._retries.record_first_attempt()

    def decide_retry(self, work, *, ran, attempts):
        """Return the retry budget's ``RetryDecision`` on a failed attempt."""
        return self._retries.decide(
            ran=ran,
            idempotent=work.idempotent,
            attempts=attempts,
            time_left_s=work.deadline_s - self._now_s(),
        )

    def record_prefill(self, upstream, work, *, cached_tokens, duration_s):
        """Record where a prompt was computed, and how fast."""
        self._scheduler(work).record_prefill(
            work,
            upstream.upstream_id,
            cached_tokens=cached_tokens,
            duration_s=duration_s,
            now_s=self._now_s(),
        )

    def record_failure(self, work, upstream):
        """Record that an upstream was unreachable or timed out."""
        self._scheduler(work).record_failure(
            upstream.upstream_id, now_s=self._now_s()
        )

    def record_first_output(self, work, first_output_s):
        """Record the time between start and first output."""
        self._scheduler(work).record_first_output(
            work, first_output_s=first_output_s
        )

    def record_output(self, work, upstream, *, tokens, output_gap_s):
        """Record the length and speed of one complete answer."""
        self._scheduler(work).record_output(
            work,
            upstream.upstream_id,
            tokens=tokens,
            output_gap_s=output_gap_s,
            now_s=self._now_s(),
        )

    def record_service(self, work, upstream, *, slowness):
        """Record how slowly a plain service answered.

        Parameters
        ----------
        slowness : float
            Response time divided by a typical one.
        """
        self._outliers.observe(
            peer_group(work, Role.SERVICE),
            upstream.upstream_id,
            slowness,
            now_s=self._now_s(),
        )

    def _scheduler(self, work):
        scheduler = self._schedulers.get(work.target)
        if scheduler is None:
            scheduler = self._schedulers[work.target] = self._new_scheduler()
        return scheduler

    def _new_scheduler(self):
        return Scheduler(
            entry=self._instance,
            rng=self._rng,
            load=self._load_of,
            pools=self._pools_of,
            weights=self._weights,
            queue=FairQueue(weights=self._caller_weights),
            admission=Admission(rng=self._rng, weights=self._weights),
            lengths=self._lengths,
            hints=self._hints,
            outliers=self._outliers,
            placement=Placement(
                rng=self._rng, hints=self._hints, outliers=self._outliers
            ),
        )

    def _new_ticket(self, work):
        future = self._pending[work.request_id] = pykka.ThreadingFuture()
        return Ticket(work=work, decision=future)

    def _poll(self, scheduler):
        for decision in scheduler.poll(now_s=self._now_s()):
            work = decision.work
            future = self._pending.pop(work.request_id, None)
            if future is None:
                scheduler.cancel(work.request_id)
            elif isinstance(decision, Wait):
                ticket = self._new_ticket(work)
                future.set(Pause(delay_s=decision.delay_s, ticket=ticket))
            else:
                future.set(decision)

    def _pools_of(self, work):
        try:
            return Pools(
                prefills=self._view.candidates(work, Role.PREFILL),
                decodes=self._view.candidates(work, Role.DECODE),
            )
        except RefusedError:
            # The last matching upstream left while the work was queued; it
            # may return before the deadline.
            return Pools(prefills=(), decodes=())

    def _load_of(self, upstream_id):
        report = self._load(upstream_id)
        if report is not None and report != self._reports.get(upstream_id):
            self._reports[upstream_id] = report
            self._hints.record(
                upstream_id, report.cached_prefixes, now_s=self._now_s()
            )
        return report

    def _now_s(self):
        return self._clock.monotonic_s()
