"""Runs claimed calls, each in its own thread.

A call that must run at most once continues after its caller's deadline: the
caller immediately gets the refusal that the outcome is unknown, and the
answer is stored for a resend when it arrives.  If the call were aborted at
the deadline, an order that ran would have no answer for as long as its claim
is retained.
"""

import threading

import pykka

from currantdeal.core import CurrantdealError, Outcome
from currantdeal.serving.errors import (
    CallerDisconnectedError,
    Reason,
    RefusedError,
)

LATE_ANSWER_TIMEOUT_S = 30.0
"""Time after the deadline for which the service may still answer."""

STORE_MARGIN_S = 0.05
MIN_STORE_TIMEOUT_S = 0.05
MAX_STORE_TIMEOUT_S = 2.0


class ClaimedCalls:
    """Runs claimed calls and ends their claims.

    Parameters
    ----------
    claims : ClaimManager
        Ends claims.
    clock : Clock
        Time for deadlines.
    """

    def __init__(self, *, claims, clock):
        """Start without running calls."""
        self._claims = claims
        self._clock = clock
        self._count = 0
        self._changed = threading.Condition()

    def run(self, request, claim, send):
        """Return the answer, or raise a refusal at the caller's deadline.

        Parameters
        ----------
        claim : HeldClaim
            Permits the call; always ended here.
        send : callable
            Sends the call and returns the answer.
        """
        future = pykka.ThreadingFuture()
        with self._changed:
            self._count += 1
        threading.Thread(
            target=self._run,
            args=(request, claim, send, future),
            name="claimed-call",
            daemon=True,
        ).start()
        try:
            return future.get(timeout=max(0.0, self._time_left_s(request)))
        except pykka.Timeout:
            raise RefusedError(
                "no answer before the deadline; resend the call with the same "
                "idempotency key to get its outcome",
                reason=Reason.DEADLINE,
                outcome=Outcome.UNKNOWN,
                retry_after_s=1.0,
            ) from None

    def wait_idle(self, *, timeout_s):
        """Return whether all calls ended within the timeout."""
        with self._changed:
            return self._changed.wait_for(
                lambda: self._count == 0, timeout=timeout_s
            )

    def _run(self, request, claim, send, future):
        try:
            future.set(self._send(request, claim, send))
        except CurrantdealError:
            future.set_exception()
        finally:
            with self._changed:
                self._count -= 1
                self._changed.notify_all()

    def _send(self, request, claim, send):
        try:
            answer = send()
        except RefusedError as exc:
            if exc.outcome is Outcome.NOT_RUN:
                self._claims.release(claim)
            else:
                self._claims.abandon(claim)
            raise
        except CallerDisconnectedError:
            # Disconnection is only checked before a call is sent.
            self._claims.release(claim)
            raise
        except BaseException:
            self._claims.abandon(claim)
            raise
        self._claims.finish(
            claim, answer, timeout_s=self._store_timeout_s(request)
        )
        return answer

    def _store_timeout_s(self, request):
        # The answer is stored before it is returned, so that a resend gets it
        # even if this process crashes right afterwards; but waiting for a
        # new leader must not delay the answer beyond the deadline.
        left_s = self._time_left_s(request) - STORE_MARGIN_S
        return min(MAX_STORE_TIMEOUT_S, max(MIN_STORE_TIMEOUT_S, left_s))

    def _time_left_s(self, request):
        return request.work.deadline_s - self._clock.monotonic_s()
