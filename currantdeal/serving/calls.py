"""Serves calls to plain services.

GET, HEAD and OPTIONS are idempotent and may be retried within the retry
budget.  Every other method counts as non-idempotent, including PUT and
DELETE, because a service may have side effects beyond those that HTTP
specifies; such a call runs at most once.  With an idempotency key it is
first claimed in the replicated state; without one it gets a single attempt.
"""

from currantdeal.core import (
    Ran,
    Role,
    UpstreamCrashedError,
    UpstreamError,
    digest_parts,
    outcome_of,
)
from currantdeal.serving.claimed_calls import (
    LATE_ANSWER_TIMEOUT_S,
    ClaimedCalls,
)
from currantdeal.serving.errors import (
    CallerDisconnectedError,
    Reason,
    RefusedError,
    not_run,
)
from currantdeal.serving.requests import CallOutcome

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})

RETRY_AFTER_S = 1.0
TYPICAL_CALL_S = 0.05
MIN_SEND_TIME_S = 0.01


def is_idempotent(method):
    """Return whether calls with an HTTP method may run more than once."""
    return method in IDEMPOTENT_METHODS


def digest_of(call):
    """Return the digest that identifies resends of the same call."""
    parts = (call.method.encode(), call.path.encode(), call.body)
    return digest_parts(*parts).hex()


class CallService:
    """Serves calls to plain services.

    Parameters
    ----------
    services : ServicePort
        Client of the services.
    claims : ClaimManager
        Claims on calls that must run at most once.
    view : ServingView
        Which upstreams are allowed, under the lease.
    decisions : pykka.ActorProxy
        Proxy of ``Decisions``.
    crashes : CrashGuard
        Quarantines calls that crash services.
    clock : Clock
        Time for deadlines.
    metrics : MetricsPort
        Counts retries.
    """

    def __init__(
        self, *, services, claims, view, decisions, crashes, clock, metrics
    ):
        """Store the dependencies."""
        self._crashes = crashes
        self._services = services
        self._claims = claims
        self._claimed_calls = ClaimedCalls(claims=claims, clock=clock)
        self._view = view
        self._decisions = decisions
        self._clock = clock
        self._metrics = metrics

    def wait_idle(self, *, timeout_s):
        """Return whether all claimed calls ended within the timeout."""
        return self._claimed_calls.wait_idle(timeout_s=timeout_s)

    def call(self, request):
        """Return the service's answer as a ``CallOutcome``.

        Raises
        ------
        RefusedError
            If the call fails or may not be sent; its outcome states what is
            certain about the execution.
        """
        self._view.check_lease()
        self._view.candidates(request.work, Role.SERVICE)
        self._crashes.check(request)
        if request.work.idempotent:
            return CallOutcome(answer=self._call_with_retries(request))
        if not request.key:
            return CallOutcome(answer=self._call_once(request))
        return self._call_claimed(request)

    def _call_with_retries(self, request):
        self._decisions.record_call()
        ran = Ran.NO
        attempts = 0
        while True:
            attempts += 1
            upstreams = self._upstreams(request)
            upstream = upstreams[(attempts - 1) % len(upstreams)]
            try:
                return self._send(request, upstream)
            except UpstreamError as exc:
                failure = exc
            ran = failure.ran if ran is Ran.NO else ran
            decision = self._decisions.decide_retry(
                request.work, ran=failure.ran, attempts=attempts
            ).get()
            may_retry = self._crashes.may_retry(request)
            if not (decision.allowed and may_retry):
                raise _refusal(failure, ran) from failure
            self._metrics.add("service_retries_total")
            self._clock.sleep(decision.delay_s)

    def _call_once(self, request):
        upstream = self._upstreams(request)[0]
        try:
            return self._send(request, upstream)
        except UpstreamError as exc:
            raise _refusal(exc, exc.ran) from exc

    def _call_claimed(self, request):
        claim = self._claims.claim(request, digest_of(request.call))
        if claim.stored_answer is not None:
            return CallOutcome(answer=claim.stored_answer, replayed=True)
        try:
            self._time_to_send_s(request.work)
        except RefusedError:
            self._claims.release(claim)
            raise
        answer = self._claimed_calls.run(
            request, claim, lambda: self._send_claimed(request)
        )
        return CallOutcome(answer=answer)

    def _send_claimed(self, request):
        upstreams = self._upstreams(request)
        for upstream in upstreams:
            try:
                return self._send(
                    request, upstream, extra_s=LATE_ANSWER_TIMEOUT_S
                )
            except UpstreamError as exc:
                failure = exc
            # Only an attempt that certainly did not run may be followed by
            # another; otherwise an order could be placed twice.
            if failure.ran is not Ran.NO:
                break
        raise _refusal(failure, failure.ran) from failure

    def _upstreams(self, request):
        allowed = self._view.candidates(request.work, Role.SERVICE)
        return self._decisions.rank_services(request.work, allowed).get()

    def _send(self, request, upstream, *, extra_s=0.0):
        work = request.work
        self._view.check_lease()
        if not self._view.may_serve(work, Role.SERVICE, upstream):
            raise not_run(
                "the service was withdrawn",
                reason=Reason.NO_MATCHING_UPSTREAM,
                retry_after_s=RETRY_AFTER_S,
            )
        if request.is_disconnected():
            raise CallerDisconnectedError("the caller disconnected")
        started_s = self._clock.monotonic_s()
        left_s = self._time_to_send_s(work)
        try:
            answer = self._services.call(
                upstream, request.call, timeout_s=left_s + extra_s
            )
        except UpstreamCrashedError:
            self._crashes.record_crash(request, upstream)
            raise
        self._crashes.record_completion(request)
        duration_s = self._clock.monotonic_s() - started_s
        self._decisions.record_service(
            work, upstream, slowness=duration_s / TYPICAL_CALL_S
        )
        return answer

    def _time_to_send_s(self, work):
        left_s = work.deadline_s - self._clock.monotonic_s()
        if left_s < MIN_SEND_TIME_S:
            raise not_run(
                "the deadline passed before the call could be sent",
                reason=Reason.DEADLINE,
                retry_after_s=RETRY_AFTER_S,
            )
        return left_s


def _refusal(failure, ran):
    return RefusedError(
        f"the service call failed: {failure}",
        reason=Reason.UPSTREAM_FAILED,
        outcome=outcome_of(ran),
        retry_after_s=RETRY_AFTER_S if ran is Ran.NO else None,
    )
