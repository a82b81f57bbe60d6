"""The output of one request, whole and in order, over dying connections."""

from currantdeal.core import (
    Ran,
    UpstreamCrashedError,
    UpstreamError,
    UpstreamRefusedError,
    UpstreamSilentError,
)
from currantdeal.ports import DecodeRequest

MAX_RESUMES = 4
"""Resumes in a row that bring no output before the engine counts as gone."""

SHORTEST_SILENCE_S = 0.05
"""Least wait for a first output whose deadline is all but reached."""


class OutputStream:
    """Output tokens of one request; resumed where a connection broke.

    Iterate over it for the chunks; ``close`` frees the engine's memory and
    must be called in every case.

    Parameters
    ----------
    request : GenerationRequest
        What was asked.
    reserved : Reserved
        The decode engine that holds the KV cache.
    prompt_tokens : int
        Measured length of the prompt.
    granted_tokens : int
        Output tokens that memory is reserved for.
    parts : ServingParts
        What streams of one instance share.
    """

    def __init__(
        self, *, request, reserved, prompt_tokens, granted_tokens, parts
    ):
        """Send nothing yet."""
        self._request = request
        self._reserved = reserved
        self._prompt_tokens = prompt_tokens
        self._parts = parts
        self._next_offset = 0
        self._first = None
        self._finished = False
        self._closed = False
        self._granted_tokens = granted_tokens
        self._first_s = 0.0
        self._last_s = 0.0
        self._chunks = self._read()

    @property
    def prompt_tokens(self):
        """Measured length of the prompt, in tokens."""
        return self._prompt_tokens

    @property
    def output_tokens(self):
        """Number of output tokens received so far."""
        return self._next_offset

    def prime(self):
        """Wait for the first output, so that a failure can be answered."""
        self._first = next(self._chunks)
        self._first_s = self._parts.clock.monotonic_s()

    def __iter__(self):
        """Yield the chunks, the first one again included."""
        if self._first is not None:
            yield self._first
            self._first = None
        yield from self._chunks

    def close(self):
        """Cancel at the engine and give the grant back; once."""
        if self._closed:
            return
        self._closed = True
        self._chunks.close()
        self._parts.cleaner.cancel(
            self._reserved.upstream,
            self._reserved.request_id,
            self._reserved.grant,
        )
        self._measure()

    def _measure(self):
        parts = self._parts
        upstream = self._reserved.upstream
        parts.metrics.add("output_tokens_total", self._next_offset)
        if not self._finished:
            return
        parts.crashes.completed(self._request)
        gap_s = self._mean_gap_s()
        parts.decisions.learn_output(
            self._request.work,
            upstream,
            tokens=self._next_offset,
            between_s=gap_s,
        )
        if gap_s > 0:
            parts.silence.observe(upstream.upstream_id, gap_s)
            parts.metrics.observe("output_gap_seconds", gap_s)

    def _mean_gap_s(self):
        if self._next_offset < 2:
            return 0.0
        return (self._last_s - self._first_s) / (self._next_offset - 1)

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
                # Nothing is left to resume there, and the process that comes
                # back may end the same way.
                self._blame_crash()
                raise
            except UpstreamError:
                if self._next_offset > before:
                    resumes = 0
                resumes += 1
                if not self._may_resume(resumes):
                    self._blame_upstream()
                    raise
                self._parts.metrics.add("stream_resumes_total")

    def _blame_crash(self):
        self._parts.crashes.crashed(
            self._request,
            self._reserved.upstream,
            early=not self._next_offset,
        )
        self._blame_upstream()

    def _blame_upstream(self):
        self._parts.decisions.learn_failure(
            self._request.work, self._reserved.upstream
        )

    def _read_once(self):
        # Offsets guard against outputs that come twice or are missing after
        # a resume; a caller would see doubled words or a hole.
        wanted = self._next_offset
        for chunk in self._open():
            if chunk.finish_reason:
                if chunk.offset != wanted:
                    raise _gap(chunk, wanted)
                self._finished = True
                self._last_s = self._parts.clock.monotonic_s()
                yield chunk
                return
            if chunk.offset < wanted:
                continue
            if chunk.offset > wanted:
                raise _gap(chunk, wanted)
            wanted += 1
            self._next_offset = wanted
            if wanted > self._granted_tokens:
                self._grow()
            yield chunk

    def _open(self):
        work = self._request.work
        reserved = self._reserved
        wanted = DecodeRequest(
            request_id=reserved.request_id,
            model=work.target,
            offset=self._next_offset,
            max_tokens=work.max_output_tokens,
            priority=work.priority,
            fence=reserved.grant.fence,
        )
        return self._parts.engines.decode(
            reserved.upstream, wanted, silence_s=self._silence_s()
        )

    def _silence_s(self):
        upstream_id = self._reserved.upstream.upstream_id
        limit_s = self._parts.silence.limit_s(upstream_id)
        if self._next_offset:
            return limit_s
        return max(SHORTEST_SILENCE_S, min(limit_s, self._time_left_s()))

    def _may_resume(self, resumes):
        if resumes > MAX_RESUMES or self._request.gone():
            return False
        return self._next_offset > 0 or self._time_left_s() > 0

    def _time_left_s(self):
        now_s = self._parts.clock.monotonic_s()
        return self._request.work.deadline_s - now_s

    def _grow(self):
        upstream = self._reserved.upstream
        self._granted_tokens += upstream.tokens_per_piece
        if not self._parts.homes.grow(self._reserved.grant, pieces=1):
            self._parts.metrics.add("grants_not_grown_total")


def _gap(chunk, wanted):
    return UpstreamSilentError(
        f"output {chunk.offset} came where {wanted} was due", ran=Ran.YES
    )
