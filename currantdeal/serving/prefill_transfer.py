"""Runs a prefill and imports its KV cache into decode memory."""

from currantdeal.core import (
    KvExpiredError,
    Ran,
    ReservationError,
    Role,
    UpstreamRefusedError,
)
from currantdeal.ports import ImportRequest, PrefillRequest
from currantdeal.serving.disconnects import WatchedCall
from currantdeal.serving.errors import (
    CallerDisconnectedError,
    Reason,
    RefusedError,
    late_answer,
    not_run,
)
from currantdeal.serving.reservations import pieces_for

TIMEOUT_FACTOR = 4.0
TIMEOUT_MARGIN_S = 1.0
"""The timeout is 4 times the predicted time plus 1 s, since the load reports
behind a prediction lag.  After that the connection is presumed dead."""

RETRY_AFTER_S = 1.0


class PrefillTransfer:
    """Prefill and KV transfer of one attempt, on its reserved engines.

    Parameters
    ----------
    context : ServingContext
        Shared dependencies.
    request : GenerationRequest
        The request.
    reserved : ReservedEngines
        The reserved engines.
    """

    def __init__(self, *, context, request, reserved):
        """Start without a call to an engine."""
        self._context = context
        self._request = request
        self._reserved = reserved
        self._prefill = reserved.prefill
        self._importing = False
        self._prefilled = False

    def run(self):
        """Return the prefill's result after its import to decode memory."""
        attempts = 1
        try:
            while True:
                try:
                    return self._prefill_and_import()
                except KvExpiredError as exc:
                    self._prefill_again(exc, attempts)
                    attempts += 1
        except BaseException:
            self._free_decode()
            raise

    def _prefill_again(self, failure, attempts):
        work = self._request.work
        decision = self._context.decisions.decide_retry(
            work, ran=failure.ran, attempts=attempts
        ).get()
        if not decision.allowed:
            raise UpstreamRefusedError(str(failure), ran=Ran.YES) from failure
        self._context.metrics.add("prefill_retries_total")
        engine_request_id = (
            f"{self._reserved.decode.request_id}p{attempts + 1}"
        )
        try:
            self._prefill = self._context.reserver.reserve_prefill(
                work, self._reserved.choice, engine_request_id
            )
        except ReservationError as exc:
            raise UpstreamRefusedError(str(exc), ran=Ran.YES) from exc

    def _prefill_and_import(self):
        prefill = self._prefill
        self._prefilled = False
        try:
            result = self._run_prefill()
            self._prefilled = True
            self._run_import(result)
        except BaseException:
            self._context.cleaner.cancel(
                prefill.upstream, prefill.request_id, prefill.grant
            )
            if self._prefilled:
                self._context.metrics.add(
                    "wasted_prefill_tokens_total", result.prompt_tokens
                )
            raise
        self._context.cleaner.release(prefill.grant)
        return result

    def _run_prefill(self):
        prefill = self._prefill
        work = self._request.work
        self._sleep_until_start()
        predicted_s = self._reserved.choice.prefill_s
        timeout_s = self._check_sendable(Role.PREFILL, prefill, predicted_s)
        started_s = self._context.clock.monotonic_s()
        recording = self._context.recording_failures(
            self._request, prefill.upstream
        )
        with self._watching(prefill), recording:
            result = self._context.engines.prefill(
                prefill.upstream,
                PrefillRequest(
                    request_id=prefill.request_id,
                    model=work.target,
                    prompt=self._request.prompt,
                    priority=work.priority,
                    fence=prefill.grant.fence,
                ),
                timeout_s=timeout_s,
            )
        duration_s = self._context.clock.monotonic_s() - started_s
        self._context.metrics.add("prefill_tokens_total", result.prompt_tokens)
        self._context.decisions.record_prefill(
            prefill.upstream,
            work,
            cached_tokens=result.cached_tokens,
            duration_s=duration_s,
        )
        return result

    def _run_import(self, result):
        decode = self._reserved.decode
        tokens = result.prompt_tokens + self._reserved.output_tokens
        predicted_s = self._reserved.choice.transfer_s
        timeout_s = self._check_sendable(Role.DECODE, decode, predicted_s)
        request = ImportRequest(
            request_id=decode.request_id,
            kv_id=result.kv_id,
            source_address=self._prefill.upstream.address,
            pieces=pieces_for(decode.upstream, tokens),
            fence=decode.grant.fence,
        )
        self._importing = True
        recording = self._context.recording_failures(
            self._request, decode.upstream
        )
        with self._watching(decode), recording:
            self._context.engines.import_kv(
                decode.upstream, request, timeout_s=timeout_s
            )

    def _sleep_until_start(self):
        # The prefill should end when the decode memory becomes free: if it
        # ends earlier its result expires, if later the memory is idle.
        reserved = self._reserved
        decode_in_s = reserved.decode.grant.start_in_s
        wait_s = max(
            self._prefill.grant.start_in_s,
            decode_in_s - reserved.choice.prefill_s,
        )
        if wait_s > 0:
            self._context.clock.sleep(wait_s)

    def _check_sendable(self, role, reservation, predicted_s):
        """Return the timeout of a call, or raise if it may not be sent."""
        work = self._request.work
        if self._request.is_disconnected():
            raise CallerDisconnectedError("the caller disconnected")
        left_s = work.deadline_s - self._context.clock.monotonic_s()
        if left_s <= 0:
            raise late_answer() if self._prefilled else _too_late_to_start()
        try:
            self._context.view.check_lease()
        except RefusedError as exc:
            if self._prefilled:
                raise UpstreamRefusedError(str(exc), ran=Ran.YES) from exc
            raise
        if not self._context.view.may_serve(work, role, reservation.upstream):
            ran = Ran.YES if self._prefilled else Ran.NO
            raise UpstreamRefusedError(
                f"{reservation.upstream.upstream_id} was withdrawn", ran=ran
            )
        return min(left_s, TIMEOUT_FACTOR * predicted_s + TIMEOUT_MARGIN_S)

    def _watching(self, reservation):
        return self._context.disconnects.watching(
            WatchedCall(
                request=self._request,
                upstream=reservation.upstream,
                engine_request_id=reservation.request_id,
            )
        )

    def _free_decode(self):
        decode = self._reserved.decode
        if self._importing:
            self._context.cleaner.cancel(
                decode.upstream, decode.request_id, decode.grant
            )
        else:
            self._context.cleaner.release(decode.grant)


def _too_late_to_start():
    return not_run(
        "the deadline passed before the work could start",
        reason=Reason.DEADLINE,
        retry_after_s=RETRY_AFTER_S,
    )
