"""Implements a router that runs the product's policy over the fake engines.

Eight entries have a scheduler each, and each engine has one ledger, as its
home would keep it.  Reservations take no time here; schedulers use the loads
of the last report.
"""

from random import Random

from benchmarks.fake import Stream
from benchmarks.measures import itl_s
from currantdeal.core import Ran, Role
from currantdeal.policy import (
    FairQueue,
    GiveUp,
    Ledger,
    LedgerLimits,
    LedgerRefusal,
    Plan,
    Pools,
    Refused,
    RetryBudget,
    Scheduler,
    Wait,
)

REPORT_S = 0.5


class Current:
    """Routes requests by ``currantdeal.policy``.

    Parameters
    ----------
    scenario : Scenario
        Provides the deployment.
    make_ledger, make_scheduler : callable, optional
        Factories of modified parts, for ablations.
    """

    preempts = False

    def __init__(
        self,
        *,
        scenario,
        loop,
        engines,
        rng,
        make_ledger=None,
        make_scheduler=None,
    ):
        """Build entries and ledgers and collect the first load reports."""
        deployment = scenario.deployment
        self._loop = loop
        self._engines = engines
        self._rng = rng
        self._weights = deployment.weights
        self._reports = {}
        self._pools = _pools(engines)
        make_ledger = make_ledger or Ledger
        self._ledgers = {
            name: make_ledger(limits=_limits(eng, deployment.itl_target_s))
            for name, eng in engines.items()
        }
        make_scheduler = make_scheduler or Scheduler
        self._entries = [
            _Entry(
                router=self,
                name=f"entry-{index}",
                region=deployment.regions[index % len(deployment.regions)],
                rng=Random(rng.random()),
                make_scheduler=make_scheduler,
            )
            for index in range(deployment.entries)
        ]
        self._report()

    def receive(self, request):
        """Pass a request to a random entry in its caller's region."""
        nearby = [
            entry
            for entry in self._entries
            if entry.region == request.work.region
        ]
        self._rng.choice(nearby).receive(request)

    def cancel(self, request):
        """Cancel a request whose caller has given up."""
        for entry in self._entries:
            entry.scheduler.cancel(request.work.request_id)
        for engine in request.engines:
            engine.cancel((request.work.request_id, request.attempt))
            self._ledgers[engine.upstream.upstream_id].release(
                request.work.request_id
            )

    def _report(self):
        for name, engine in self._engines.items():
            report = engine.report()
            self._reports[name] = report
            self._ledgers[name].record_report(
                running=report.running, step_s=report.step_s
            )
        self._loop.after(REPORT_S, self._report)


class _Entry:
    """One instance that serves callers, with its own scheduler."""

    def __init__(self, *, router, name, region, rng, make_scheduler):
        self.region = region
        self._loop = router._loop
        self._ledgers = router._ledgers
        self._engines = router._engines
        self._requests = {}
        self._budget = RetryBudget(rng=rng)
        self.scheduler = make_scheduler(
            entry=name,
            rng=rng,
            load=router._reports.get,
            weights=router._weights,
            pools=lambda work: router._pools,
            queue=FairQueue(),
        )

    def receive(self, request):
        self._budget.record_first_attempt()
        self._submit(request)

    def _submit(self, request):
        now_s = self._loop.now_s
        decision = self.scheduler.submit(request.work, now_s=now_s)
        if isinstance(decision, Refused):
            request.refused = True
            return
        self._requests[request.work.request_id] = request
        self._poll()

    def _poll(self):
        while True:
            due = self.scheduler.poll(now_s=self._loop.now_s)
            for message in due:
                self._handle(message)
            if not any(isinstance(message, Plan) for message in due):
                break

    def _handle(self, message):
        if isinstance(message, GiveUp):
            self._requests.pop(message.work.request_id).refused = True
        elif isinstance(message, Wait):
            self._loop.after(message.delay_s, self._poll)
        else:
            self._reserve(message)

    def _reserve(self, plan):
        now_s = self._loop.now_s
        decode = plan.choice.decode.upstream_id
        prefill = plan.choice.prefill.upstream_id
        memory_grant = self._ledgers[decode].reserve(
            plan.decode_request, now_s=now_s
        )
        if isinstance(memory_grant, LedgerRefusal):
            self._blocked(plan, decode, memory_grant)
            return
        prefill_grant = self._ledgers[prefill].reserve(
            plan.prefill_request, now_s=now_s
        )
        if isinstance(prefill_grant, LedgerRefusal):
            self._ledgers[decode].release(plan.work.request_id)
            self._blocked(plan, prefill, prefill_grant)
            return
        self.scheduler.record_reserved(plan, now_s=now_s)
        request = self._requests.pop(plan.work.request_id)
        self._loop.after(
            prefill_grant.start_in_s, self._start, request, plan, now_s
        )

    def _blocked(self, plan, upstream_id, refusal):
        self.scheduler.record_refusal(
            plan,
            upstream_id,
            retry_after_s=refusal.retry_after_s,
            now_s=self._loop.now_s,
        )

    def _start(self, request, plan, planned_s):
        source = self._engines[plan.choice.prefill.upstream_id]
        target = self._engines[plan.choice.decode.upstream_id]
        if request.cancelled:
            self._release(request, plan)
            return
        request.attempt += 1
        request.engines = (source, target)
        _Attempt(
            entry=self, request=request, plan=plan, planned_s=planned_s
        ).start(source, target)

    def _release(self, request, plan):
        for upstream in (plan.choice.decode, plan.choice.prefill):
            self._ledgers[upstream.upstream_id].release(
                request.work.request_id
            )


class _Attempt:
    """One attempt at a request, from prefill to the last output."""

    def __init__(self, *, entry, request, plan, planned_s):
        self._entry = entry
        self._request = request
        self._plan = plan
        self._planned_s = planned_s
        self._computed_before = request.computed_tokens
        self._began_s = entry._loop.now_s

    def start(self, source, target):
        left_s = self._request.work.deadline_s - self._began_s
        self._entry._loop.after(left_s, self._check_late)
        source.prefill(
            self._request,
            lambda expires_s: self._prefilled(source, target, expires_s),
        )

    def _prefilled(self, source, target, expires_s):
        entry, request = self._entry, self._request
        now_s = entry._loop.now_s
        name = source.upstream.upstream_id
        computed = request.computed_tokens - self._computed_before
        entry.scheduler.record_prefill(
            request.work,
            name,
            cached_tokens=request.work.prompt_tokens - computed,
            duration_s=now_s - self._began_s,
            now_s=now_s,
        )
        entry._ledgers[name].release(request.work.request_id)
        ledger = entry._ledgers[target.upstream.upstream_id]
        stream = Stream(
            request=request,
            pieces=self._plan.decode_request.pieces,
            grow=lambda: self._grow(ledger, target),
            on_end=lambda whole: self._on_end(whole),
        )

        def fetched(arrived):
            if arrived and not request.cancelled:
                target.decode(stream)
            else:
                target.cancel(stream.key)
                self._failed()

        target.fetch(source, stream, expires_s, fetched)

    def _grow(self, ledger, target):
        grown = ledger.grow(self._request.work.request_id, pieces=1)
        victim = None if grown else ledger.victim()
        if victim is not None:
            target.evict(victim)
        return grown

    def _check_late(self):
        # A late answer has no value to the caller, but keeps memory reserved
        # that a request could use which can still meet its deadline.
        if self._request.first_s is None and not self._request.cancelled:
            self._request.cancelled = True
            for engine in self._request.engines:
                engine.cancel(
                    (self._request.work.request_id, self._request.attempt)
                )
            self._entry._release(self._request, self._plan)

    def _failed(self):
        entry, request = self._entry, self._request
        entry._release(request, self._plan)
        if request.cancelled:
            return
        decision = entry._budget.decide(
            ran=Ran.YES,
            idempotent=True,
            attempts=request.attempt,
            time_left_s=request.work.deadline_s - entry._loop.now_s,
        )
        if decision.allowed:
            entry._loop.after(decision.delay_s, entry._submit, request)
        else:
            request.refused = True

    def _on_end(self, whole):
        entry, request = self._entry, self._request
        entry._release(request, self._plan)
        if not whole:
            self._failed()
            return
        request.done = True
        request.useful_tokens = request.computed_tokens - self._computed_before
        now_s = entry._loop.now_s
        first_output_s = request.first_s - self._planned_s
        entry.scheduler.record_first_output(
            request.work, first_output_s=first_output_s
        )
        entry.scheduler.record_output(
            request.work,
            self._plan.choice.decode.upstream_id,
            tokens=request.tokens,
            output_gap_s=itl_s(request),
            now_s=now_s,
        )
        entry._poll()


def _pools(engines):
    upstreams = [eng.upstream for eng in engines.values()]
    return Pools(
        prefills=tuple(up for up in upstreams if Role.PREFILL in up.roles),
        decodes=tuple(up for up in upstreams if Role.DECODE in up.roles),
    )


def _limits(engine, itl_target_s):
    upstream = engine.upstream
    prefills = Role.PREFILL in upstream.roles
    return LedgerLimits(
        pieces_total=0 if prefills else upstream.pieces_total,
        prefill_tokens_per_s=(
            engine.model.prefill_tokens_per_s if prefills else 0.0
        ),
        link_bytes_per_s=upstream.link_bytes_per_s,
        output_gap_s=itl_target_s,
    )
