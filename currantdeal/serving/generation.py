"""Life of a request to a model, from admission to its last output."""

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
    CallerGoneError,
    Reason,
    RefusedError,
    late_answer,
)
from currantdeal.serving.filling import Filling
from currantdeal.serving.requests import Completion
from currantdeal.serving.streams import OutputStream
from currantdeal.serving.unbroken import UnbrokenStream

RETRY_AFTER_S = 1.0


class GenerationService:
    """Serves requests to models.

    Parameters
    ----------
    parts : ServingParts
        Ports and helpers.
    """

    def __init__(self, *, parts):
        """Keep the parts."""
        self._parts = parts

    def open(self, request):
        """Return an ``UnbrokenStream`` whose first output has arrived.

        Raises
        ------
        RefusedError
            If the request is given up.
        CallerGoneError
            If the caller hung up.
        """
        self._parts.crashes.check(request)
        attempts = Attempts(parts=self._parts, request=request)
        return UnbrokenStream(attempts=attempts, stream=attempts.open())

    def complete(self, request):
        """Return the whole answer, trying again where output broke off."""
        self._parts.crashes.check(request)
        attempts = Attempts(parts=self._parts, request=request)
        stream = attempts.open()
        while True:
            with contextlib.closing(stream):
                try:
                    return _collect(stream, request)
                except UpstreamError as exc:
                    failure = exc
            stream = attempts.restart(failure)


class Attempts:
    """Attempts of one request; never two at a time.

    Parameters
    ----------
    parts : ServingParts
        Ports and helpers.
    request : GenerationRequest
        What was asked.
    """

    def __init__(self, *, parts, request):
        """Attempt nothing yet."""
        self._parts = parts
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
            self._fail(failure)

    def restart(self, failure):
        """Return another stream after output had begun, or raise.

        The deadline was for the first output and is met; the new attempt
        gets as much time again.
        """
        work = self._request.work
        now_s = self._parts.clock.monotonic_s()
        deadline_s = now_s + work.deadline_s - work.arrived_s
        work = replace(work, arrived_s=now_s, deadline_s=deadline_s)
        self._request = replace(self._request, work=work)
        self._fail(failure)
        return self.open()

    def _fail(self, failure):
        work = self._request.work
        self._note(failure.ran)
        if self._request.gone():
            raise CallerGoneError("the caller hung up")
        decision = self._parts.decisions.may_retry(
            work, ran=failure.ran, attempts=self._count
        ).get()
        again = self._parts.crashes.may_send_again(self._request)
        if not (decision.allowed and again):
            raise RefusedError(
                f"the engines failed: {failure}",
                reason=Reason.UPSTREAM_FAILED,
                outcome=outcome_of(self._ran),
                retry_after_s=RETRY_AFTER_S,
            ) from failure
        self._parts.metrics.add("generation_retries_total")
        self._parts.clock.sleep(decision.delay_s)

    def _note(self, ran):
        # A refusal tells of all attempts together: it says "not run" only
        # when none of them ran.
        if self._ran is Ran.NO or ran is Ran.YES:
            self._ran = ran

    def _try_once(self):
        engine_id = f"{self._request.work.request_id}.{self._count}"
        try:
            placed = self._parts.reserver.reserve(self._request, engine_id)
        except RefusedError as exc:
            raise self._truthful(exc) from exc
        filling = Filling(
            parts=self._parts, request=self._request, placed=placed
        )
        try:
            result = filling.run()
        except RefusedError as exc:
            raise self._truthful(exc) from exc
        self._note(Ran.YES)
        stream = OutputStream(
            request=self._request,
            reserved=placed.decode,
            prompt_tokens=result.prompt_tokens,
            granted_tokens=placed.output_tokens,
            parts=self._parts,
        )
        return self._prime(stream, result, placed.started_s)

    def _prime(self, stream, result, started_s):
        work = self._request.work
        try:
            stream.prime()
            now_s = self._parts.clock.monotonic_s()
            if now_s > work.deadline_s:
                raise late_answer()
            if self._request.gone():
                raise CallerGoneError("the caller hung up")
        except BaseException:
            self._parts.metrics.add(
                "wasted_prefill_tokens_total", result.prompt_tokens
            )
            stream.close()
            raise
        self._parts.decisions.learn_path(work, now_s - started_s)
        if self._count == 1:
            self._parts.metrics.observe(
                "first_output_seconds", now_s - work.arrived_s
            )
        return stream

    def _truthful(self, refusal):
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
        if request.gone():
            raise CallerGoneError("the caller hung up")
    raise UpstreamRefusedError("the output has no end", ran=Ran.YES)
