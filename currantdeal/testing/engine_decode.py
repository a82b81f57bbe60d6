"""Decode half of the stand-in engine: one batch, stepped continuously.

Output stays until its request is cancelled, so that a stream can be resumed
at any offset, also after the output is complete.
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

WAIT_S = 0.5


class Running:
    """A request that holds memory, and its output so far.

    Its prompt is known once its KV cache has arrived, its length once the
    decode has been asked for.
    """

    def __init__(self, *, request):
        """Keep the import; the KV cache comes later."""
        self._request = request
        self._since_s = time.monotonic()
        self.prompt = None
        self.prompt_tokens = 0
        self.seed = 0
        self.length = None
        self.given = []

    def fill(self, prompt):
        """Take in the prompt whose KV cache has arrived."""
        self.prompt_tokens = count_tokens(prompt)
        self.seed = output_seed(prompt)
        self.prompt = prompt

    @property
    def request_id(self):
        """Name of the request."""
        return self._request.request_id

    @property
    def fence(self):
        """Fencing number that came with the import."""
        return self._request.fence

    @property
    def age_s(self):
        """Seconds since the import."""
        return time.monotonic() - self._since_s

    @property
    def finished(self):
        """True when the whole output is there."""
        return self.length is not None and len(self.given) >= self.length

    @property
    def active(self):
        """True while tokens are to be generated."""
        return self.length is not None and len(self.given) < self.length

    def has(self, offset):
        """Return whether the chunk at an offset can be given."""
        return offset < len(self.given) or self.finished

    def chunk(self, offset):
        """Return the chunk at an offset that ``has`` confirmed."""
        if offset < len(self.given):
            return OutputChunk(offset=offset, text=self.given[offset])
        whole = self.length >= natural_length(self.prompt)
        return OutputChunk(
            offset=len(self.given),
            finish_reason="stop" if whole else "length",
        )


class DecodeBatch:
    """Generates output for all running requests, one token a step.

    Parameters are those of ``PrefillPool``, but for the prefix cache.
    """

    def __init__(self, *, profile, memory, journal, switch):
        """Start with an empty batch."""
        self._model = profile.model
        self._memory = memory
        self._journal = journal
        self._switch = switch
        self._changed = threading.Condition()
        self._requests = {}

    @property
    def running(self):
        """Number of requests in the batch."""
        return len(self._active())

    @property
    def step_s(self):
        """Time of one step with the present batch, in seconds."""
        plain_s = self._model.step_s(batch=self.running)
        return plain_s * self._switch.faults.slow_factor

    def reserve(self, request):
        """Take the pieces for a KV cache that is about to be fetched."""
        with self._changed:
            if request.request_id in self._requests:
                raise RefusedError(400, "bad-request", "imported before")
            self._memory.take(request.request_id, request.pieces)
            running = Running(request=request)
            self._requests[request.request_id] = running
        self._switch.maybe_die(Stage.IMPORT)
        return running

    def abort(self, running):
        """Free the pieces of an import that failed."""
        with self._changed:
            if self._known(running):
                del self._requests[running.request_id]
                self._memory.release(running.request_id)

    def admit(self, running, prompt):
        """Make a request whose KV cache has arrived ready for decode."""
        with self._changed:
            if not self._known(running):
                raise RefusedError(404, "unknown-request", "cancelled")
            running.fill(prompt)
        self._note(EventKind.IMPORT, running, running.prompt_tokens)

    def begin(self, request):
        """Return a request, put into the batch unless it is there."""
        with self._changed:
            running = self._requests.get(request.request_id)
            if running is None or running.prompt is None:
                raise RefusedError(404, "unknown-request")
            if running.length is not None:
                return running
            length = natural_length(running.prompt)
            running.length = min(length, request.max_tokens)
            self._changed.notify_all()
        self._note(EventKind.DECODE, running, running.length)
        return running

    def next_chunk(self, running, offset):
        """Return the chunk at an offset, or None when it takes long."""
        with self._changed:
            self._changed.wait_for(
                lambda: not self._known(running) or running.has(offset),
                timeout=WAIT_S,
            )
            if not self._known(running):
                raise RefusedError(404, "unknown-request", "cancelled")
            return running.chunk(offset) if running.has(offset) else None

    def cancel(self, request_id):
        """Free a request; return whether anything was held for it."""
        with self._changed:
            running = self._requests.pop(request_id, None)
            held = self._memory.held_by(request_id)
            self._memory.release(request_id)
            self._changed.notify_all()
        return running is not None or held > 0

    def held(self):
        """Return what is held for imported requests and their output."""
        with self._changed:
            known = list(self._requests.values())
        return [
            HeldMemory(
                request_id=running.request_id,
                pieces=self._memory.held_by(running.request_id),
                age_s=running.age_s,
                fence=running.fence,
            )
            for running in known
        ]

    def loop(self):
        """Step the batch for as long as the process lives."""
        while True:
            with self._changed:
                self._changed.wait_for(self._active)
                step_s = self.step_s
            time.sleep(step_s)
            self._switch.maybe_die(Stage.DECODE)
            with self._changed:
                for running in self._active():
                    self._step(running)
                self._changed.notify_all()

    def _known(self, running):
        return self._requests.get(running.request_id) is running

    def _active(self):
        return [run for run in list(self._requests.values()) if run.active]

    def _step(self, running):
        if not self._has_room(running):
            return
        token = output_token(running.seed, len(running.given))
        running.given.append(token)
        if running.finished:
            self._memory.release(running.request_id)
            self._note(EventKind.FINISH, running, len(running.given))

    def _has_room(self, running):
        used = running.prompt_tokens + len(running.given) + 1
        needed = self._model.pieces(used)
        missing = needed - self._memory.held_by(running.request_id)
        return missing <= 0 or self._memory.try_take(
            running.request_id, missing
        )

    def _note(self, kind, running, tokens):
        self._journal.note(
            kind,
            request_id=running.request_id,
            tokens=tokens,
            fence=running.fence,
        )
