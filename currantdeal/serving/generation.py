"""Serves requests to models, from admission to the last output.

Each attempt reserves engines, runs the prefill, transfers its KV cache to
the decode engine and streams the output.  Failed attempts are retried within
the retry budget.
"""

import contextlib
from dataclasses import replace

from currantdeal.core import (
    Outcome,
    Ran,
    UpstreamError,
    UpstreamRefusedError,
    outcome_of,
)
from currantdeal.serving.errors import (
    CallerDisconnectedError,
    Reason,
    RefusedError,
    late_answer,
)
from currantdeal.serving.failover import FailoverStream
from currantdeal.serving.prefill_transfer import PrefillTransfer
from currantdeal.serving.requests import Completion
from currantdeal.serving.streams import OutputStream

RETRY_AFTER_S = 1.0


class GenerationService:
    """Serves requests to models.

    Parameters
    ----------
    context : ServingContext
        Shared dependencies.
    """

    def __init__(self, *, context):
        """Store the dependencies."""
        self._context = context

    def open(self, request):
        """Return a ``FailoverStream`` whose first output has arrived.

        Raises
        ------
        RefusedError
            If the request fails or is not admitted.
        CallerDisconnectedError
            If the caller has disconnected.
        """
        self._context.crashes.check(request)
        attempts = Attempts(context=self._context, request=request)
        return FailoverStream(attempts=attempts, stream=attempts.open())

    def complete(self, request):
        """Return the whole answer; retries if the output breaks off."""
        self._context.crashes.check(request)
        attempts = Attempts(context=self._context, request=request)
        stream = attempts.open()
        while True:
            with contextlib.closing(stream):
                try:
                    return _collect(stream, request)
                except UpstreamError as exc:
                    failure = exc
            stream = attempts.restart(failure)


class Attempts:
    """Attempts of one request, made one after the other.

    Parameters
    ----------
    context : ServingContext
        Shared dependencies.
    request : GenerationRequest
        The request.
    """

    def __init__(self, *, context, request):
        """Start without an attempt."""
        self._context = context
        self._request = request
        self._count = 0
        self._ran = Ran.NO

    def open(self):
        """Return an ``OutputStream`` whose first output has arrived."""
        while True:
            self._count += 1
            try:
                return self._try_once()
            except UpstreamError as exc:
                failure = exc
            self._wait_for_retry(failure)

    def restart(self, failure):
        """Return a new stream after one that failed in mid-output, or raise.

        The deadline applies to the first output and was met, so the new
        attempt gets the same time allowance again.
        """
        work = self._request.work
        now_s = self._context.clock.monotonic_s()
        deadline_s = now_s + work.deadline_s - work.arrived_s
        work = replace(work, arrived_s=now_s, deadline_s=deadline_s)
        self._request = replace(self._request, work=work)
        self._wait_for_retry(failure)
        return self.open()

    def _wait_for_retry(self, failure):
        """Sleep before the next attempt, or raise if there is none."""
        work = self._request.work
        self._record_outcome(failure.ran)
        if self._request.is_disconnected():
            raise CallerDisconnectedError("the caller disconnected")
        decision = self._context.decisions.decide_retry(
            work, ran=failure.ran, attempts=self._count
        ).get()
        may_retry = self._context.crashes.may_retry(self._request)
        if not (decision.allowed and may_retry):
            raise RefusedError(
                f"the engines failed: {failure}",
                reason=Reason.UPSTREAM_FAILED,
                outcome=outcome_of(self._ran),
                retry_after_s=RETRY_AFTER_S,
            ) from failure
        self._context.metrics.add("generation_retries_total")
        self._context.clock.sleep(decision.delay_s)

    def _record_outcome(self, ran):
        # A refusal reports on all attempts together: its outcome is "not
        # run" only if none of them ran.
        if self._ran is Ran.NO or ran is Ran.YES:
            self._ran = ran

    def _try_once(self):
        engine_request_id = f"{self._request.work.request_id}.{self._count}"
        try:
            reserved = self._context.reserver.reserve(
                self._request, engine_request_id
            )
        except RefusedError as exc:
            raise self._with_combined_outcome(exc) from exc
        transfer = PrefillTransfer(
            context=self._context, request=self._request, reserved=reserved
        )
        try:
            result = transfer.run()
        except RefusedError as exc:
            raise self._with_combined_outcome(exc) from exc
        self._record_outcome(Ran.YES)
        stream = OutputStream(
            request=self._request,
            reservation=reserved.decode,
            prompt_tokens=result.prompt_tokens,
            granted_tokens=reserved.output_tokens,
            context=self._context,
        )
        return self._receive_first_output(stream, result, reserved.started_s)

    def _receive_first_output(self, stream, result, started_s):
        work = self._request.work
        try:
            stream.receive_first()
            now_s = self._context.clock.monotonic_s()
            if now_s > work.deadline_s:
                raise late_answer()
            if self._request.is_disconnected():
                raise CallerDisconnectedError("the caller disconnected")
        except BaseException:
            self._context.metrics.add(
                "wasted_prefill_tokens_total", result.prompt_tokens
            )
            stream.close()
            raise
        self._context.decisions.record_first_output(work, now_s - started_s)
        if self._count == 1:
            self._context.metrics.observe(
                "first_output_seconds", now_s - work.arrived_s
            )
        return stream

    def _with_combined_outcome(self, refusal):
        """Return a refusal whose outcome covers all attempts."""
        if self._ran is Ran.NO or refusal.outcome is not Outcome.NOT_RUN:
            return refusal
        return RefusedError(
            str(refusal),
            reason=refusal.reason,
            outcome=outcome_of(self._ran),
            retry_after_s=refusal.retry_after_s,
        )


def _collect(stream, request):
    texts = []
    for chunk in stream:
        texts.append(chunk.text)
        if chunk.finish_reason:
            return Completion(
                text="".join(texts),
                finish_reason=chunk.finish_reason,
                prompt_tokens=stream.prompt_tokens,
                output_tokens=stream.output_tokens,
            )
        if request.is_disconnected():
            raise CallerDisconnectedError("the caller disconnected")
    raise UpstreamRefusedError(
        "the output ended without a finish reason", ran=Ran.YES
    )
