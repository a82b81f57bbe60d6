"""From reserved engines to a KV cache in decode memory."""

from currantdeal.core import (
    KvExpiredError,
    Ran,
    ReservationError,
    Role,
    UpstreamRefusedError,
)
from currantdeal.ports import ImportRequest, PrefillRequest
from currantdeal.serving.errors import (
    CallerGoneError,
    Reason,
    RefusedError,
    late_answer,
    not_run,
)
from currantdeal.serving.hangups import Watched
from currantdeal.serving.reservations import pieces_for

PATIENCE = 4.0
PATIENCE_S = 1.0
"""An engine is given four times the predicted time and a second more, as
loads lag; then its connection is presumed dead."""

RETRY_AFTER_S = 1.0


class Filling:
    """Fills the decode memory reserved for one attempt.

    Parameters
    ----------
    parts : ServingParts
        Ports and helpers.
    request : GenerationRequest
        What was asked.
    placed : Placed
        The engines that are reserved.
    """

    def __init__(self, *, parts, request, placed):
        """Send nothing yet."""
        self._parts = parts
        self._request = request
        self._placed = placed
        self._prefill = placed.prefill
        self._importing = False
        self._prefilled = False

    def run(self):
        """Return the prefill's result once it is in decode memory."""
        attempts = 1
        try:
            while True:
                try:
                    return self._prefill_and_import()
                except KvExpiredError as exc:
                    self._prefill_again(exc, attempts)
                    attempts += 1
        except BaseException:
            self._drop_decode()
            raise

    def _prefill_again(self, failure, attempts):
        work = self._request.work
        decision = self._parts.decisions.may_retry(
            work, ran=failure.ran, attempts=attempts
        ).get()
        if not decision.allowed:
            raise UpstreamRefusedError(str(failure), ran=Ran.YES) from failure
        self._parts.metrics.add("prefill_retries_total")
        name = f"{self._placed.decode.request_id}p{attempts + 1}"
        try:
            self._prefill = self._parts.reserver.reserve_prefill(
                work, self._placed.choice, name
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
            self._parts.cleaner.cancel(
                prefill.upstream, prefill.request_id, prefill.grant
            )
            if self._prefilled:
                self._parts.metrics.add(
                    "wasted_prefill_tokens_total", result.prompt_tokens
                )
            raise
        self._parts.cleaner.release(prefill.grant)
        return result

    def _run_prefill(self):
        prefill = self._prefill
        work = self._request.work
        self._sleep_until_start()
        predicted_s = self._placed.choice.prefill_s
        timeout_s = self._check_sendable(Role.PREFILL, prefill, predicted_s)
        started_s = self._parts.clock.monotonic_s()
        blaming = self._parts.blaming(self._request, prefill.upstream)
        with self._watching(prefill), blaming:
            result = self._parts.engines.prefill(
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
        taken_s = self._parts.clock.monotonic_s() - started_s
        self._parts.metrics.add("prefill_tokens_total", result.prompt_tokens)
        self._parts.decisions.learn_prefill(
            prefill.upstream,
            work,
            cached_tokens=result.cached_tokens,
            taken_s=taken_s,
        )
        return result

    def _run_import(self, result):
        decode = self._placed.decode
        tokens = result.prompt_tokens + self._placed.output_tokens
        predicted_s = self._placed.choice.transfer_s
        timeout_s = self._check_sendable(Role.DECODE, decode, predicted_s)
        wanted = ImportRequest(
            request_id=decode.request_id,
            kv_id=result.kv_id,
            source_address=self._prefill.upstream.address,
            pieces=pieces_for(decode.upstream, tokens),
            fence=decode.grant.fence,
        )
        self._importing = True
        blaming = self._parts.blaming(self._request, decode.upstream)
        with self._watching(decode), blaming:
            self._parts.engines.import_kv(
                decode.upstream, wanted, timeout_s=timeout_s
            )

    def _sleep_until_start(self):
        # The prefill should end when the decode memory is free: earlier and
        # its result expires, later and the memory stands idle.
        placed = self._placed
        decode_in_s = placed.decode.grant.start_in_s
        wait_s = max(
            self._prefill.grant.start_in_s,
            decode_in_s - placed.choice.prefill_s,
        )
        if wait_s > 0:
            self._parts.clock.sleep(wait_s)

    def _check_sendable(self, role, reserved, predicted_s):
        """Return the timeout, or raise if nothing may be sent any more."""
        work = self._request.work
        if self._request.gone():
            raise CallerGoneError("the caller hung up")
        left_s = work.deadline_s - self._parts.clock.monotonic_s()
        if left_s <= 0:
            raise late_answer() if self._prefilled else _too_late_to_start()
        try:
            self._parts.view.check_lease()
        except RefusedError as exc:
            if self._prefilled:
                raise UpstreamRefusedError(str(exc), ran=Ran.YES) from exc
            raise
        if not self._parts.view.may_serve(work, role, reserved.upstream):
            ran = Ran.YES if self._prefilled else Ran.NO
            raise UpstreamRefusedError("withdrawn meanwhile", ran=ran)
        return min(left_s, PATIENCE * predicted_s + PATIENCE_S)

    def _watching(self, reserved):
        return self._parts.hangups.watching(
            Watched(
                request=self._request,
                upstream=reserved.upstream,
                engine_request_id=reserved.request_id,
            )
        )

    def _drop_decode(self):
        decode = self._placed.decode
        if self._importing:
            self._parts.cleaner.cancel(
                decode.upstream, decode.request_id, decode.grant
            )
        else:
            self._parts.cleaner.release(decode.grant)


def _too_late_to_start():
    return not_run(
        "the deadline passed before the work could start",
        reason=Reason.DEADLINE,
        retry_after_s=RETRY_AFTER_S,
    )
