"""Reads the output of one request, complete and in order.

A stream whose connection breaks is resumed at the next offset, as long as
the engine keeps the request.
"""

from currantdeal.core import (
    Ran,
    UpstreamCrashedError,
    UpstreamError,
    UpstreamRefusedError,
    UpstreamTimeoutError,
)
from currantdeal.ports import DecodeRequest

MAX_RESUMES = 4
"""Consecutive resumes without output before the engine counts as failed."""

MIN_SILENCE_S = 0.05
"""Shortest timeout for a first output, also if its deadline is sooner."""


class OutputStream:
    """Output tokens of one request; resumes after a broken connection.

    Iterate over it for the chunks.  ``close`` frees the engine's memory and
    must always be called.

    Parameters
    ----------
    request : GenerationRequest
        The request.
    reservation : Reservation
        Of the decode engine that holds the KV cache.
    prompt_tokens : int
        Length of the prompt, as counted by the engine.
    granted_tokens : int
        Output tokens for which memory is reserved.
    context : ServingContext
        Shared dependencies.
    """

    def __init__(
        self, *, request, reservation, prompt_tokens, granted_tokens, context
    ):
        """Start without a connection to the engine."""
        self._request = request
        self._reservation = reservation
        self._prompt_tokens = prompt_tokens
        self._context = context
        self._next_offset = 0
        self._first_chunk = None
        self._finished = False
        self._closed = False
        self._granted_tokens = granted_tokens
        self._first_output_s = 0.0
        self._last_output_s = 0.0
        self._chunks = self._read()

    @property
    def prompt_tokens(self):
        """Length of the prompt in tokens, as counted by the engine."""
        return self._prompt_tokens

    @property
    def output_tokens(self):
        """Number of output tokens received so far."""
        return self._next_offset

    def receive_first(self):
        """Wait for the first output.

        Until then the caller can still be sent an error status.
        """
        self._first_chunk = next(self._chunks)
        self._first_output_s = self._context.clock.monotonic_s()

    def __iter__(self):
        """Yield all chunks, including the first one already received."""
        if self._first_chunk is not None:
            yield self._first_chunk
            self._first_chunk = None
        yield from self._chunks

    def close(self):
        """Cancel at the engine and release the grant; idempotent."""
        if self._closed:
            return
        self._closed = True
        self._chunks.close()
        self._context.cleaner.cancel(
            self._reservation.upstream,
            self._reservation.request_id,
            self._reservation.grant,
        )
        self._record_metrics()

    def _record_metrics(self):
        context = self._context
        upstream = self._reservation.upstream
        context.metrics.add("output_tokens_total", self._next_offset)
        if not self._finished:
            return
        context.crashes.record_completion(self._request)
        gap_s = self._mean_gap_s()
        context.decisions.record_output(
            self._request.work,
            upstream,
            tokens=self._next_offset,
            output_gap_s=gap_s,
        )
        if gap_s > 0:
            context.idle_timeouts.observe(upstream.upstream_id, gap_s)
            context.metrics.observe("output_gap_seconds", gap_s)

    def _mean_gap_s(self):
        if self._next_offset < 2:
            return 0.0
        return (self._last_output_s - self._first_output_s) / (
            self._next_offset - 1
        )

    def _read(self):
        resumes = 0
        while True:
            before = self._next_offset
            try:
                yield from self._read_once()
                return
            except UpstreamRefusedError:
                raise
            except UpstreamCrashedError:
                # The crash lost the request's state, so that it can't be
                # resumed there, and the restarted process may crash again.
                self._record_crash()
                raise
            except UpstreamError:
                if self._next_offset > before:
                    resumes = 0
                resumes += 1
                if not self._may_resume(resumes):
                    self._record_failure()
                    raise
                self._context.metrics.add("stream_resumes_total")

    def _record_crash(self):
        self._context.crashes.record_crash(
            self._request,
            self._reservation.upstream,
            early=not self._next_offset,
        )
        self._record_failure()

    def _record_failure(self):
        self._context.decisions.record_failure(
            self._request.work, self._reservation.upstream
        )

    def _read_once(self):
        # After a resume, outputs may be repeated or missing; the caller would
        # see doubled or missing words.  The offsets detect both.
        expected = self._next_offset
        for chunk in self._open():
            if chunk.finish_reason:
                if chunk.offset != expected:
                    raise _offset_error(chunk, expected)
                self._finished = True
                self._last_output_s = self._context.clock.monotonic_s()
                yield chunk
                return
            if chunk.offset < expected:
                continue
            if chunk.offset > expected:
                raise _offset_error(chunk, expected)
            expected += 1
            self._next_offset = expected
            if expected > self._granted_tokens:
                self._grow_grant()
            yield chunk

    def _open(self):
        work = self._request.work
        reservation = self._reservation
        request = DecodeRequest(
            request_id=reservation.request_id,
            model=work.target,
            offset=self._next_offset,
            max_tokens=work.max_output_tokens,
            priority=work.priority,
            fence=reservation.grant.fence,
        )
        return self._context.engines.decode(
            reservation.upstream, request, silence_s=self._silence_s()
        )

    def _silence_s(self):
        upstream_id = self._reservation.upstream.upstream_id
        limit_s = self._context.idle_timeouts.limit_s(upstream_id)
        if self._next_offset:
            return limit_s
        return max(MIN_SILENCE_S, min(limit_s, self._time_left_s()))

    def _may_resume(self, resumes):
        if resumes > MAX_RESUMES or self._request.is_disconnected():
            return False
        return self._next_offset > 0 or self._time_left_s() > 0

    def _time_left_s(self):
        now_s = self._context.clock.monotonic_s()
        return self._request.work.deadline_s - now_s

    def _grow_grant(self):
        upstream = self._reservation.upstream
        self._granted_tokens += upstream.tokens_per_piece
        if not self._context.homes.grow(self._reservation.grant, pieces=1):
            self._context.metrics.add("grants_not_grown_total")


def _offset_error(chunk, expected):
    return UpstreamTimeoutError(
        f"output {chunk.offset} received where {expected} was due", ran=Ran.YES
    )
