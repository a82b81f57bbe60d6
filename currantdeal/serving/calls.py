"""Life of a call to a plain service.

GET, HEAD and OPTIONS are idempotent and may be tried again within the retry
budget.  Every other method counts as non-idempotent, also PUT and DELETE,
because a service may do more on them than HTTP promises; such a call runs at
most once.  With an idempotency key it is claimed in the replicated state
first; without one it gets exactly one try.
"""

from currantdeal.core import (
    Ran,
    Role,
    UpstreamCrashedError,
    UpstreamError,
    digest_parts,
    outcome_of,
)
from currantdeal.serving.claimed_calls import LATE_S, ClaimedCalls
from currantdeal.serving.errors import (
    CallerGoneError,
    Reason,
    RefusedError,
    not_run,
)
from currantdeal.serving.requests import CallOutcome

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})

RETRY_AFTER_S = 1.0
USUAL_CALL_S = 0.05
SHORTEST_SEND_S = 0.01


def is_idempotent(method):
    """Return whether calls with an HTTP method may run twice."""
    return method in IDEMPOTENT_METHODS


def digest_of(call):
    """Return the digest by which two calls count as the same."""
    parts = (call.method.encode(), call.path.encode(), call.body)
    return digest_parts(*parts).hex()


class CallService:
    """Serves calls to plain services.

    Parameters
    ----------
    services : ServicePort
        Client of the services.
    claims : ClaimBook
        Claims on calls that may not run twice.
    view : ServingView
        What may be done at present.
    decisions : pykka.ActorProxy
        Of ``Decisions``.
    crashes : CrashGuard
        Calls that crash services.
    clock : Clock
        Time of deadlines.
    metrics : MetricsPort
        Counts tries.
    """

    def __init__(
        self, *, services, claims, view, decisions, crashes, clock, metrics
    ):
        """Keep the parts."""
        self._crashes = crashes
        self._services = services
        self._claims = claims
        self._claimed_calls = ClaimedCalls(claims=claims, clock=clock)
        self._view = view
        self._decisions = decisions
        self._clock = clock
        self._metrics = metrics

    def wait_idle(self, *, timeout_s):
        """Return whether no claimed call was left within the timeout."""
        return self._claimed_calls.wait_idle(timeout_s=timeout_s)

    def call(self, request):
        """Return the service's answer as a ``CallOutcome``.

        Raises
        ------
        RefusedError
            If the call is given up; the outcome says what is proved.
        """
        self._view.check_lease()
        self._view.candidates(request.work, Role.SERVICE)
        self._crashes.check(request)
        if request.work.idempotent:
            return CallOutcome(answer=self._repeatable(request))
        if not request.key:
            return CallOutcome(answer=self._single_try(request))
        return self._claimed(request)

    def _repeatable(self, request):
        self._decisions.count_call()
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
            decision = self._decisions.may_retry(
                request.work, ran=failure.ran, attempts=attempts
            ).get()
            again = self._crashes.may_send_again(request)
            if not (decision.allowed and again):
                raise _refusal(failure, ran) from failure
            self._metrics.add("service_retries_total")
            self._clock.sleep(decision.delay_s)

    def _single_try(self, request):
        upstream = self._upstreams(request)[0]
        try:
            return self._send(request, upstream)
        except UpstreamError as exc:
            raise _refusal(exc, exc.ran) from exc

    def _claimed(self, request):
        claim = self._claims.claim(request, digest_of(request.call))
        if claim.kept is not None:
            return CallOutcome(answer=claim.kept, replayed=True)
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
                return self._send(request, upstream, late_s=LATE_S)
            except UpstreamError as exc:
                failure = exc
            # Only a try that is proved not to have run may be followed by
            # another; anything else could place an order twice.
            if failure.ran is not Ran.NO:
                break
        raise _refusal(failure, failure.ran) from failure

    def _upstreams(self, request):
        allowed = self._view.candidates(request.work, Role.SERVICE)
        return self._decisions.order_services(request.work, allowed).get()

    def _send(self, request, upstream, *, late_s=0.0):
        work = request.work
        self._view.check_lease()
        if not self._view.may_serve(work, Role.SERVICE, upstream):
            raise not_run(
                "the service was withdrawn",
                reason=Reason.NO_MATCHING_UPSTREAM,
                retry_after_s=RETRY_AFTER_S,
            )
        if request.gone():
            raise CallerGoneError("the caller hung up")
        started_s = self._clock.monotonic_s()
        left_s = self._time_to_send_s(work)
        try:
            answer = self._services.call(
                upstream, request.call, timeout_s=left_s + late_s
            )
        except UpstreamCrashedError:
            self._crashes.crashed(request, upstream)
            raise
        self._crashes.completed(request)
        taken_s = self._clock.monotonic_s() - started_s
        self._decisions.learn_service(
            work, upstream, slowness=taken_s / USUAL_CALL_S
        )
        return answer

    def _time_to_send_s(self, work):
        left_s = work.deadline_s - self._clock.monotonic_s()
        if left_s < SHORTEST_SEND_S:
            raise not_run(
                "the deadline passed before the call could be sent",
                reason=Reason.DEADLINE,
                retry_after_s=RETRY_AFTER_S,
            )
        return left_s


def _refusal(failure, ran):
    return RefusedError(
        f"the service gave no answer: {failure}",
        reason=Reason.UPSTREAM_FAILED,
        outcome=outcome_of(ran),
        retry_after_s=RETRY_AFTER_S if ran is Ran.NO else None,
    )
