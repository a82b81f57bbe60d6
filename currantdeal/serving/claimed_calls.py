"""Claimed calls, each on a thread of its own.

A call that may not run twice goes on when its caller's deadline has passed:
the caller is told at once that the outcome is unknown, and the answer, when
it comes, is kept for a resend.  Were the call given up at the deadline, an
order that ran would stay without an answer for as long as its claim is kept.
"""

import threading

import pykka

from currantdeal.core import CurrantdealError, Outcome
from currantdeal.serving.errors import CallerGoneError, Reason, RefusedError

LATE_S = 30.0
"""Time after the deadline for which an answer is still waited for."""

KEEP_MARGIN_S = 0.05
SHORTEST_KEEP_S = 0.05
LONGEST_KEEP_S = 2.0


class ClaimedCalls:
    """Runs claimed calls and ends their claims.

    Parameters
    ----------
    claims : ClaimBook
        Ends claims.
    clock : Clock
        Time of deadlines.
    """

    def __init__(self, *, claims, clock):
        """Run nothing yet."""
        self._claims = claims
        self._clock = clock
        self._count = 0
        self._changed = threading.Condition()

    def run(self, request, claim, send):
        """Return the answer, or raise a refusal at the caller's deadline.

        Parameters
        ----------
        claim : HeldClaim
            Lets the call be sent; ended here in every case.
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
            return future.get(timeout=max(0.0, self._left_s(request)))
        except pykka.Timeout:
            raise RefusedError(
                "no answer in time; send the call again under the same key "
                "to learn its outcome",
                reason=Reason.DEADLINE,
                outcome=Outcome.UNKNOWN,
                retry_after_s=1.0,
            ) from None

    def wait_idle(self, *, timeout_s):
        """Return whether no call was left within the timeout."""
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
        except CallerGoneError:
            # It is only looked for before a call is sent.
            self._claims.release(claim)
            raise
        except BaseException:
            self._claims.abandon(claim)
            raise
        self._claims.finish(claim, answer, timeout_s=self._keep_s(request))
        return answer

    def _keep_s(self, request):
        # The answer is kept before it is given, so that a resend gets it
        # also if this process dies right afterwards; but a lost leader must
        # not make an answer late that is here in time.
        left_s = self._left_s(request) - KEEP_MARGIN_S
        return min(LONGEST_KEEP_S, max(SHORTEST_KEEP_S, left_s))

    def _left_s(self, request):
        return request.work.deadline_s - self._clock.monotonic_s()
