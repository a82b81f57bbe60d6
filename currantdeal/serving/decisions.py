"""Policy of one instance, shared by the threads that serve its requests.

The modules of ``currantdeal.policy`` know no threads; the actor lets one
request after the other ask them.  Each question takes some microseconds.

A request that is admitted gets a ``Ticket`` and waits for its turn.  What the
scheduler says of it (a plan, a pause, or that it is given up) reaches its
thread through the ticket's future, whichever thread made the scheduler say
it.
"""

from dataclasses import dataclass

import pykka

from currantdeal.core import Role, Work
from currantdeal.policy import (
    EVEN_WEIGHTS,
    Admission,
    FairQueue,
    OutputLengths,
    Placement,
    Pools,
    PrefixHints,
    Refused,
    RetryBudget,
    Scheduler,
    SlowUpstreams,
    Wait,
    slow_group,
)
from currantdeal.serving.errors import RefusedError
from currantdeal.serving.view import ServingView

USUAL_STEP_S = 0.02
"""Time between outputs of a moderately busy engine, in seconds."""


@dataclass(frozen=True, kw_only=True)
class Ticket:
    """A place in the queue.

    Parameters
    ----------
    turn : pykka.Future
        Brings a ``Plan``, ``Pause`` or ``GiveUp``.
    """

    work: Work
    turn: pykka.Future


@dataclass(frozen=True, kw_only=True)
class Pause:
    """Every engine is full: call ``poll`` after some time.

    Parameters
    ----------
    ticket : Ticket
        Brings the next message; the poll of another request may have set it
        before the pause is over.
    """

    delay_s: float
    ticket: Ticket


class Decisions(pykka.ThreadingActor):
    """Schedulers, learned lengths and speeds, and retries.

    Parameters
    ----------
    instance : InstanceId
        This instance.
    view : ServingView
        Which upstreams are allowed.
    clock : Clock
        Time of the decisions.
    rng : random.Random
        Chance in them.
    load : callable
        From an upstream id to its last ``LoadReport`` or None.
    weights : policy.UserWeights
        What the user weighs more.
    caller_weights : mapping of CallerId to float
        Shares of callers.
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
        """Start with nothing learned."""
        super().__init__()
        self._instance = instance
        self._view = view
        self._clock = clock
        self._rng = rng
        self._load = load
        self._weights = weights
        self._caller_weights = caller_weights or {}
        self._hints = PrefixHints()
        self._slow = SlowUpstreams()
        self._lengths = OutputLengths()
        self._retries = RetryBudget(rng=rng)
        self._schedulers = {}
        self._turns = {}
        self._reports = {}

    def enter(self, work):
        """Return a ``Ticket``, or the ``Refused`` of admission."""
        self._retries.record_try()
        scheduler = self._scheduler(work)
        decision = scheduler.submit(work, now_s=self._now_s())
        if isinstance(decision, Refused):
            return decision
        ticket = self._new_ticket(work)
        self._poll(scheduler)
        return ticket

    def poll(self, work):
        """Let the scheduler look again, after a pause is over."""
        self._poll(self._scheduler(work))

    def reserved(self, plan):
        """Take in that all of a plan is reserved."""
        scheduler = self._scheduler(plan.work)
        scheduler.reserved(plan, now_s=self._now_s())
        self._poll(scheduler)

    def blocked(self, plan, upstream_id, retry_after_s):
        """Return a new ``Ticket`` after a home refused a part of a plan."""
        scheduler = self._scheduler(plan.work)
        scheduler.blocked(
            plan,
            upstream_id,
            retry_after_s=retry_after_s,
            now_s=self._now_s(),
        )
        ticket = self._new_ticket(plan.work)
        self._poll(scheduler)
        return ticket

    def leave(self, work):
        """Take in that a request no longer waits for its turn."""
        self._turns.pop(work.request_id, None)
        scheduler = self._scheduler(work)
        scheduler.cancel(work.request_id)
        self._poll(scheduler)

    def order_services(self, work, upstreams):
        """Return services, those that answer fast and are idle first."""
        now_s = self._now_s()
        group = slow_group(work, Role.SERVICE)

        def burden(upstream):
            report = self._load(upstream.upstream_id)
            waiting = report.running + report.queued if report else 0
            out = self._slow.is_out(group, upstream.upstream_id, now_s=now_s)
            return (out, waiting)

        return sorted(upstreams, key=burden)

    def count_call(self):
        """Earn for the retries of a call to a plain service."""
        self._retries.record_try()

    def may_retry(self, work, *, ran, attempts):
        """Return the budget's ``RetryDecision`` on a failed attempt."""
        return self._retries.decide(
            ran=ran,
            idempotent=work.idempotent,
            attempts=attempts,
            time_left_s=work.deadline_s - self._now_s(),
        )

    def learn_prefill(self, upstream, work, *, cached_tokens, taken_s):
        """Take in where a prompt was computed, and how fast."""
        self._scheduler(work).prefilled(
            work,
            upstream.upstream_id,
            cached_tokens=cached_tokens,
            taken_s=taken_s,
            now_s=self._now_s(),
        )

    def learn_failure(self, work, upstream):
        """Take in that an upstream could not be reached or fell silent."""
        self._scheduler(work).failed(upstream.upstream_id, now_s=self._now_s())

    def learn_path(self, work, path_s):
        """Take in the time between start and first output."""
        self._scheduler(work).first_output(work, path_s=path_s)

    def learn_output(self, work, upstream, *, tokens, between_s):
        """Take in the length and speed of one whole answer."""
        self._scheduler(work).finished(
            work,
            upstream.upstream_id,
            tokens=tokens,
            between_s=between_s,
            now_s=self._now_s(),
        )

    def learn_service(self, work, upstream, *, slowness):
        """Take in how fast a plain service answered."""
        self._slow.observe(
            slow_group(work, Role.SERVICE),
            upstream.upstream_id,
            slowness,
            now_s=self._now_s(),
        )

    def _scheduler(self, work):
        known = self._schedulers.get(work.target)
        if known is None:
            known = self._schedulers[work.target] = self._new_scheduler()
        return known

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
            slow=self._slow,
            placement=Placement(
                rng=self._rng, hints=self._hints, slow=self._slow
            ),
        )

    def _new_ticket(self, work):
        turn = self._turns[work.request_id] = pykka.ThreadingFuture()
        return Ticket(work=work, turn=turn)

    def _poll(self, scheduler):
        for message in scheduler.poll(now_s=self._now_s()):
            work = message.work
            turn = self._turns.pop(work.request_id, None)
            if turn is None:
                scheduler.cancel(work.request_id)
            elif isinstance(message, Wait):
                ticket = self._new_ticket(work)
                turn.set(Pause(delay_s=message.delay_s, ticket=ticket))
            else:
                turn.set(message)

    def _pools_of(self, work):
        try:
            return Pools(
                prefills=self._view.candidates(work, Role.PREFILL),
                decodes=self._view.candidates(work, Role.DECODE),
            )
        except RefusedError:
            # The last matching upstream went while the work waited; it may
            # come back before the deadline.
            return Pools(prefills=(), decodes=())

    def _load_of(self, upstream_id):
        report = self._load(upstream_id)
        if report is not None and report != self._reports.get(upstream_id):
            self._reports[upstream_id] = report
            self._hints.learn(
                upstream_id, report.cached_prefixes, now_s=self._now_s()
            )
        return report

    def _now_s(self):
        return self._clock.monotonic_s()
