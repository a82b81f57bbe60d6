"""Life of a request to a model, from admission to its last output."""

import contextlib
from dataclasses import dataclass

import pykka

from currantdeal.core import (
    KvExpiredError,
    Outcome,
    Ran,
    ReservationError,
    Role,
    UpstreamError,
    UpstreamRefusedError,
    outcome_of,
)
from currantdeal.ports import (
    Clock,
    EnginePort,
    HomesPort,
    ImportRequest,
    MetricsPort,
    PrefillRequest,
)
from currantdeal.serving.cleanup import Cleaner
from currantdeal.serving.errors import (
    CallerGoneError,
    Reason,
    RefusedError,
    not_run,
)
from currantdeal.serving.hangups import HangUpMonitor, Watched
from currantdeal.serving.requests import Completion
from currantdeal.serving.reservations import Reserver, pieces_for
from currantdeal.serving.silence import SilenceLimits
from currantdeal.serving.streams import OutputStream
from currantdeal.serving.view import ServingView

RETRY_AFTER_S = 1.0

PATIENCE = 4.0
PATIENCE_S = 1.0
"""An engine is given four times the predicted time and a second more, as
loads lag; then its connection is presumed dead."""


@dataclass(frozen=True, kw_only=True)
class ServingParts:
    """What the requests of one instance share."""

    engines: EnginePort
    homes: HomesPort
    clock: Clock
    metrics: MetricsPort
    cleaner: Cleaner
    silence: SilenceLimits
    decisions: pykka.ActorProxy
    reserver: Reserver
    view: ServingView
    hangups: HangUpMonitor


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
        """Return a stream whose first output has arrived.

        Raises
        ------
        RefusedError
            If the request is given up.
        CallerGoneError
            If the caller hung up.
        """
        return _Attempts(parts=self._parts, request=request).open()

    def complete(self, request):
        """Return the whole answer, trying again where output broke off."""
        attempts = _Attempts(parts=self._parts, request=request)
        while True:
            with contextlib.closing(attempts.open()) as stream:
                try:
                    return _collect(stream, request)
                except UpstreamError as exc:
                    failure = exc
            attempts.fail(failure)


class _Attempts:
    """Attempts of one request; never two at a time."""

    def __init__(self, *, parts, request):
        self._parts = parts
        self._request = request
        self._count = 0
        self._ran = Ran.NO

    def open(self):
        while True:
            self._count += 1
            try:
                return self._try_once()
            except UpstreamError as exc:
                failure = exc
            self.fail(failure)

    def fail(self, failure):
        """Return when another attempt may start, or raise a refusal."""
        work = self._request.work
        self._note(failure.ran)
        if self._request.gone():
            raise CallerGoneError("the caller hung up")
        decision = self._parts.decisions.may_retry(
            work, ran=failure.ran, attempts=self._count
        ).get()
        if not decision.allowed:
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
        filling = _Filling(
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
                raise _late()
            if self._request.gone():
                raise CallerGoneError("the caller hung up")
        except BaseException:
            self._parts.metrics.add(
                "wasted_prefill_tokens_total", result.prompt_tokens
            )
            stream.close()
            raise
        self._parts.decisions.learn_path(work, now_s - started_s)
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


class _Filling:
    """Fills reserved decode memory: prefill, then transfer."""

    def __init__(self, *, parts, request, placed):
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
        with self._watching(prefill):
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
        with self._watching(decode):
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
            raise _late() if self._prefilled else _too_late_to_start()
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


def _too_late_to_start():
    return not_run(
        "the deadline passed before the work could start",
        reason=Reason.DEADLINE,
        retry_after_s=RETRY_AFTER_S,
    )


def _late():
    return RefusedError(
        "the first output came too late",
        reason=Reason.DEADLINE,
        outcome=Outcome.FAILED,
        retry_after_s=RETRY_AFTER_S,
    )
