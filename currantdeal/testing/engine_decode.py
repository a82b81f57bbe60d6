"""Simulate decoding: one continuous batch, stepped token by token.

Output is kept until its request is cancelled, so that a stream can be resumed
at any offset, even after the output is complete.
"""

import threading
import time

from currantdeal.ports import HeldMemory, OutputChunk
from currantdeal.testing.engine_messages import EventKind, Stage
from currantdeal.testing.errors import RefusedError
from currantdeal.testing.output import (
    count_tokens,
    natural_length,
    output_seed,
    output_token,
)

CHUNK_WAIT_S = 0.5


class RunningRequest:
    """A request that holds memory, and its output so far.

    ``prompt`` is None until the KV cache has arrived, ``length`` is None until
    the decode is requested.
    """

    def __init__(self, *, request):
        """Keep the import request; its KV cache is not fetched yet."""
        self._request = request
        self._reserved_at_s = time.monotonic()
        self.prompt = None
        self.prompt_tokens = 0
        self.seed = 0
        self.length = None
        self.generated = []

    def set_prompt(self, prompt):
        """Set the prompt after its KV cache has arrived."""
        self.prompt_tokens = count_tokens(prompt)
        self.seed = output_seed(prompt)
        self.prompt = prompt

    @property
    def request_id(self):
        """Id of the request."""
        return self._request.request_id

    @property
    def fence(self):
        """Fencing number of the import request."""
        return self._request.fence

    @property
    def age_s(self):
        """Seconds since the import was requested."""
        return time.monotonic() - self._reserved_at_s

    @property
    def finished(self):
        """True when the whole output is generated."""
        return self.length is not None and len(self.generated) >= self.length

    @property
    def active(self):
        """True while the request generates tokens."""
        return self.length is not None and len(self.generated) < self.length

    def has_chunk(self, offset):
        """Return whether ``chunk`` can return the chunk at an offset."""
        return offset < len(self.generated) or self.finished

    def chunk(self, offset):
        """Return the chunk at an offset; ``has_chunk`` must be true for it."""
        if offset < len(self.generated):
            return OutputChunk(offset=offset, text=self.generated[offset])
        natural_end = self.length >= natural_length(self.prompt)
        return OutputChunk(
            offset=len(self.generated),
            finish_reason="stop" if natural_end else "length",
        )


class DecodeBatch:
    """Generates output for all running requests, one token a step.

    Its parameters are those of ``PrefillPool`` without the prefix cache.
    """

    def __init__(self, *, profile, memory, journal, fault_injector):
        """Start with an empty batch."""
        self._model = profile.model
        self._memory = memory
        self._journal = journal
        self._fault_injector = fault_injector
        self._changed = threading.Condition()
        self._requests = {}

    @property
    def running(self):
        """Number of requests in the batch."""
        return len(self._active())

    @property
    def step_s(self):
        """Duration of a step with the current batch, in seconds."""
        unscaled_s = self._model.step_s(batch=self.running)
        return unscaled_s * self._fault_injector.faults.slow_factor

    def reserve(self, request):
        """Reserve the pieces for a KV cache that is about to be fetched."""
        with self._changed:
            if request.request_id in self._requests:
                raise RefusedError(
                    400, "bad-request", "request is already imported"
                )
            self._memory.allocate(request.request_id, request.pieces)
            running = RunningRequest(request=request)
            self._requests[request.request_id] = running
        self._fault_injector.crash_if_set(Stage.IMPORT)
        return running

    def abort_import(self, running):
        """Release the pieces of a failed import."""
        with self._changed:
            if self._is_current(running):
                del self._requests[running.request_id]
                self._memory.release(running.request_id)

    def finish_import(self, running, prompt):
        """Mark a request as ready to decode once its KV cache has arrived."""
        with self._changed:
            if not self._is_current(running):
                raise RefusedError(404, "unknown-request", "cancelled")
            running.set_prompt(prompt)
        self._record(EventKind.IMPORT, running, running.prompt_tokens)

    def start_decode(self, request):
        """Return a request, and add it to the batch if it is not in it."""
        with self._changed:
            running = self._requests.get(request.request_id)
            if running is None or running.prompt is None:
                raise RefusedError(404, "unknown-request")
            if running.length is not None:
                return running
            length = natural_length(running.prompt)
            running.length = min(length, request.max_tokens)
            self._changed.notify_all()
        self._record(EventKind.DECODE, running, running.length)
        return running

    def next_chunk(self, running, offset):
        """Return the chunk at an offset, or None after ``CHUNK_WAIT_S``."""
        with self._changed:
            self._changed.wait_for(
                lambda: (
                    not self._is_current(running) or running.has_chunk(offset)
                ),
                timeout=CHUNK_WAIT_S,
            )
            if not self._is_current(running):
                raise RefusedError(404, "unknown-request", "cancelled")
            return running.chunk(offset) if running.has_chunk(offset) else None

    def cancel(self, request_id):
        """Release a request; return whether anything was held for it."""
        with self._changed:
            running = self._requests.pop(request_id, None)
            held = self._memory.held_by(request_id)
            self._memory.release(request_id)
            self._changed.notify_all()
        return running is not None or held > 0

    def held(self):
        """Return the memory held for imported requests and their output."""
        with self._changed:
            requests = list(self._requests.values())
        return [
            HeldMemory(
                request_id=running.request_id,
                pieces=self._memory.held_by(running.request_id),
                age_s=running.age_s,
                fence=running.fence,
            )
            for running in requests
        ]

    def step_forever(self):
        """Step the batch until the process ends."""
        while True:
            with self._changed:
                self._changed.wait_for(self._active)
                step_s = self.step_s
            time.sleep(step_s)
            self._fault_injector.crash_if_set(Stage.DECODE)
            with self._changed:
                for running in self._active():
                    self._step(running)
                self._changed.notify_all()

    def _is_current(self, running):
        return self._requests.get(running.request_id) is running

    def _active(self):
        return [run for run in list(self._requests.values()) if run.active]

    def _step(self, running):
        if not self._extend_memory(running):
            return
        token = output_token(running.seed, len(running.generated))
        running.generated.append(token)
        if running.finished:
            self._memory.release(running.request_id)
            self._record(EventKind.FINISH, running, len(running.generated))

    def _extend_memory(self, running):
        used = running.prompt_tokens + len(running.generated) + 1
        needed = self._model.pieces(used)
        missing = needed - self._memory.held_by(running.request_id)
        return missing <= 0 or self._memory.try_allocate(
            running.request_id, missing
        )

    def _record(self, kind, running, tokens):
        self._journal.record(
            kind,
            request_id=running.request_id,
            tokens=tokens,
            fence=running.fence,
        )
