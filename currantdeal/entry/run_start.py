"""Brings a run of a generation from its memory to an engine that has it."""

from currantdeal.entry.arrivals import ArrivalKind
from currantdeal.entry.decode_run import DecodeRun
from currantdeal.entry.errors import (
    BreakReason,
    Failure,
    PrefillFailedError,
)
from currantdeal.entry.prefill import prefill_prompt
from currantdeal.entry.prefill_call import release_kv_cache
from currantdeal.entry.progress import RequestState
from currantdeal.entry.steps import StepKind
from currantdeal.node.errors import ConnectError

HANDLE_REUSE_SHARE = 0.7
"""Share of the lifetime of a KV cache in which another engine may be sent it.

The rest is for the engine to fetch it.
"""


class RunStarter:
    """Starts the runs of one generation, one at a time.

    Parameters
    ----------
    context : EntryContext
        Shared by the requests of an entry.
    active : ActiveRequest
        The generation.
    reserver : MemoryReserver
        Reserves and releases memory for it.
    relay : EventRelay
        What was forwarded to its caller so far.

    Attributes
    ----------
    failure : Failure
        Why the last attempt failed.
    """

    def __init__(self, *, context, active, reserver, relay):
        """Start before the first run."""
        self.fail(BreakReason.NO_ENGINE)
        self._context = context
        self._active = active
        self._reserver = reserver
        self._relay = relay
        self._unused_prefill = None

    def fail(self, reason, text=""):
        """Keep why the present attempt failed; returns False."""
        text = text or reason.description
        self.failure = Failure(reason=reason, text=text)
        return False

    async def start(
        self, reservation, *, is_move=False, may_prefill_locally=None
    ):
        """Prefill the prompt and send a run; returns its ``DecodeRun``.

        Returns None and sets ``failure`` if it was not sent.

        Parameters
        ----------
        reservation : Reservation
            Memory for it, which is released unless it is used.
        is_move : bool
            Whether another run of the generation is in progress.
        may_prefill_locally : callable or None
            See ``prefill_prompt``.
        """
        run = DecodeRun(
            context=self._context,
            active=self._active,
            reserver=self._reserver,
            reservation=reservation,
        )
        is_sent = False
        try:
            is_sent = await self._start(run, is_move, may_prefill_locally)
        finally:
            if not is_sent:
                run.end()
        return run if is_sent else None

    async def _start(self, run, is_move, may_prefill_locally):
        if not self.may_send():
            return False
        if not is_move:
            self._active.enter(RequestState.PREFILL)
        elif not await self.may_run(with_prefill=True):
            return False
        try:
            run.prefill = await self._obtain_prefill(
                run.record, is_move, may_prefill_locally
            )
        except PrefillFailedError as exc:
            return self.fail(BreakReason.NO_PREFILL, str(exc))
        if not await self._may_decode(run.record):
            self._unused_prefill = run.take_prefill()
            return False
        return await self._send(run, is_move)

    async def _send(self, run, is_move):
        resume_after = self._relay.last_id or self._active.call.resume_after
        try:
            call = await run.connect(resume_after=resume_after)
            if lost := run.lost_grants:
                self._active.add_step(StepKind.ENGINE_LOST, lost[0])
                self._unused_prefill = run.take_prefill()
                text = f"{lost[0]!r} was restarted or left meanwhile"
                return self.fail(BreakReason.ENGINE_LEFT, text)
            if not is_move:
                self._active.enter(RequestState.RUNNING)
            run.send(call)
        except ConnectError as exc:
            return self.record_unreached(run, exc)
        return True

    def record_unreached(self, run, exc):
        """Keep the KV cache of a run that its engine did not receive."""
        self._unused_prefill = run.take_prefill()
        self._reserver.record_unreachable(run.record, exc)
        return self.fail(BreakReason.UNREACHED, str(exc))

    def release_unused(self):
        """Release a KV cache that is no longer needed."""
        if self._unused_prefill is not None:
            release_kv_cache(self._context, self._unused_prefill)
            self._unused_prefill = None

    def may_send(self):
        """Return whether the generation may be sent to an engine now."""
        if self._context.may_send(self._active):
            return True
        return self.fail(BreakReason.NOT_ALLOWED)

    async def may_run(self, *, with_prefill=False):
        """Return whether the retry budget allows the next run.

        Parameters
        ----------
        with_prefill : bool
            Whether it is charged together with a prefill, or not at all.
        """
        kind = ArrivalKind.PREFILL if with_prefill else ArrivalKind.RUN
        if await self._active.arrivals.may_send(kind, with_run=with_prefill):
            return True
        self._active.add_step(StepKind.NO_BUDGET)
        self.failure = self.failure.followed_by(BreakReason.RETRY_BUDGET)
        return False

    async def _may_decode(self, record):
        """Return whether the decode request may be sent to an engine."""
        if not await self.may_run():
            return False
        if not self._context.view.accepts_work(record.upstream):
            return self.fail(BreakReason.ENGINE_LEFT)
        return self.may_send()

    async def _obtain_prefill(self, record, is_move, may_prefill_locally):
        """Return a ``Prefill`` for an engine; None for local prefill.

        The ``Prefill`` of an earlier attempt whose engine left is reused if
        it does not expire too soon.
        """
        prefill, self._unused_prefill = self._unused_prefill, None
        if prefill is not None:
            age_s = self._context.now_s - prefill.completed_s
            handle_ttl_s = self._active.service.engine.kv_handle_ttl_s
            is_current = self._context.view.is_current(prefill.record)
            if is_current and age_s < HANDLE_REUSE_SHARE * handle_ttl_s:
                return prefill
            release_kv_cache(self._context, prefill)
        has_begun = self._relay.started
        return await prefill_prompt(
            self._context,
            self._active,
            record,
            in_time=not (has_begun or self._active.is_retry),
            resumes=is_move or has_begun,
            may_prefill_locally=may_prefill_locally,
        )
