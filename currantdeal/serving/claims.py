"""Claims on calls that may not run twice, as one instance handles them.

See Also
--------
currantdeal.state.claims : the rules that the replicated state applies
"""

import threading
import uuid
from collections import deque
from dataclasses import dataclass, replace

from currantdeal.core import Outcome, StateUnavailableError
from currantdeal.ports import Header, ServiceAnswer
from currantdeal.serving.errors import (
    CallerGoneError,
    Reason,
    RefusedError,
    not_run,
)
from currantdeal.state import (
    AbandonClaim,
    CallAnswer,
    ClaimCall,
    ClaimExists,
    ClaimGranted,
    ClaimKey,
    ClaimMismatch,
    ClaimStatus,
    ClaimTableFull,
    FinishClaim,
    Origin,
    ReleaseClaim,
)

PROPOSE_TIMEOUT_S = 2.0
"""Time for one proposal; a leader that was lost is replaced meanwhile."""

LONGEST_WAIT_S = 5.0
"""Time for which a resend waits for the running call that it repeats."""

PAUSE_S = 0.05
LONGEST_PAUSE_S = 0.5
KEEP_TRYING_S = 60.0
"""Time for which the end of a claim is proposed again and again."""


@dataclass(frozen=True, kw_only=True)
class HeldClaim:
    """A claim this instance may act on, or the answer kept with one.

    Parameters
    ----------
    kept : ServiceAnswer or None
        Answer of the earlier call; None when the call may be sent now.
    """

    key: ClaimKey
    token: int = 0
    kept: ServiceAnswer | None = None


class ClaimBook:
    """Takes and ends claims through the replicated state.

    Parameters
    ----------
    state : StatePort
        Where claims are agreed on.
    instance : InstanceId
        Owner of the claims taken here.
    clock : Clock
        Dates claims and paces waits.
    """

    def __init__(self, *, state, instance, clock):
        """Hold no claims."""
        self._state = state
        self._instance = instance
        self._clock = clock
        self._late = _LateEnds(state=state, clock=clock)

    def claim(self, request, digest):
        """Return a claim that lets the call be sent, or a kept answer.

        Raises
        ------
        RefusedError
            If the call must not be sent.
        """
        work = request.work
        key = ClaimKey(
            caller=work.caller, service=work.target, key=request.key
        )
        until_s = min(
            work.deadline_s, self._clock.monotonic_s() + LONGEST_WAIT_S
        )
        pause_s = PAUSE_S
        while True:
            result = self._propose(request, key, digest)
            if isinstance(result, ClaimGranted):
                return HeldClaim(key=key, token=result.token)
            kept = _kept_answer(result)
            if kept is not None:
                return HeldClaim(key=key, kept=kept)
            if self._clock.monotonic_s() + pause_s >= until_s:
                raise _still_running()
            if request.gone():
                raise CallerGoneError("the caller hung up")
            self._clock.sleep(pause_s)
            pause_s = min(LONGEST_PAUSE_S, 2 * pause_s)

    def finish(self, claim, answer, *, timeout_s=PROPOSE_TIMEOUT_S):
        """Keep the answer for resends, in the background if it takes long."""
        kept = CallAnswer(
            status=answer.status,
            content_type=_content_type(answer),
            body=answer.body,
        )
        self._end(
            FinishClaim(
                origin=self._origin("finish"),
                key=claim.key,
                token=claim.token,
                answer=kept,
            ),
            timeout_s=timeout_s,
        )

    def release(self, claim):
        """Let a resend run, after the call is proved not to have run."""
        self._end(
            ReleaseClaim(
                origin=self._origin("release"),
                key=claim.key,
                token=claim.token,
            )
        )

    def abandon(self, claim):
        """Let resends know that the outcome is unknown."""
        self._end(
            AbandonClaim(
                origin=self._origin("abandon"),
                key=claim.key,
                token=claim.token,
            )
        )

    def _propose(self, request, key, digest):
        command = ClaimCall(
            origin=self._origin(request.work.request_id),
            key=key,
            digest=digest,
        )
        try:
            return self._state.propose(command, timeout_s=PROPOSE_TIMEOUT_S)
        except StateUnavailableError as exc:
            # The call was not sent, so it did not run.  A claim that may yet
            # be granted is released, or resends would meet it for a day.
            if exc.proposed:
                self._late.release_if_granted(command)
            raise not_run(
                "the claim could not be agreed on in time",
                reason=Reason.STATE_UNAVAILABLE,
                retry_after_s=1.0,
            ) from exc

    def _end(self, command, *, timeout_s=PROPOSE_TIMEOUT_S):
        try:
            self._state.propose(command, timeout_s=timeout_s)
        except StateUnavailableError:
            # The caller's answer doesn't wait for a leader; the end of the
            # claim is proposed again in the background.
            self._late.propose(command)

    def _origin(self, name):
        # A request id that came back after a restart would be granted an
        # old claim again, and an order could run twice.
        return Origin(
            request_id=f"{name}/{uuid.uuid4().hex}",
            actor="serving",
            instance=self._instance,
            wall_s=self._clock.wall_s(),
        )


class _LateEnds:
    """Proposes ends of claims again until the state takes them."""

    def __init__(self, *, state, clock):
        self._state = state
        self._clock = clock
        self._commands = deque()
        self._lock = threading.Lock()
        self._running = False

    def propose(self, command):
        until_s = self._clock.monotonic_s() + KEEP_TRYING_S
        with self._lock:
            self._commands.append((command, until_s))
            if self._running:
                return
            self._running = True
        threading.Thread(
            target=self._run, name="late-claims", daemon=True
        ).start()

    def release_if_granted(self, command):
        """Propose a claim again, and release it once it is granted."""
        self.propose(command)

    def _run(self):
        while True:
            with self._lock:
                if not self._commands:
                    self._running = False
                    return
                command, until_s = self._commands.popleft()
            if not self._try(command):
                if self._clock.monotonic_s() < until_s:
                    with self._lock:
                        self._commands.append((command, until_s))
                self._clock.sleep(LONGEST_PAUSE_S)

    def _try(self, command):
        try:
            result = self._state.propose(command, timeout_s=PROPOSE_TIMEOUT_S)
        except StateUnavailableError:
            return False
        if isinstance(command, ClaimCall) and isinstance(result, ClaimGranted):
            origin = replace(
                command.origin,
                request_id=f"{command.origin.request_id}/release",
            )
            self.propose(
                ReleaseClaim(
                    origin=origin, key=command.key, token=result.token
                )
            )
        return True


def _kept_answer(result):
    """Return the kept answer, None while the call runs, or raise."""
    if isinstance(result, ClaimMismatch):
        raise not_run(result.message, reason=Reason.KEY_REUSED)
    if isinstance(result, ClaimTableFull):
        raise not_run(
            "no more calls can be claimed at present",
            reason=Reason.CLAIMS_FULL,
            retry_after_s=max(1.0, result.retry_after_s),
        )
    if not isinstance(result, ClaimExists):
        raise not_run(
            f"the claim was refused: {result}",
            reason=Reason.STATE_UNAVAILABLE,
        )
    claim = result.claim
    if claim.status is ClaimStatus.RUNNING:
        return None
    if claim.status is ClaimStatus.UNKNOWN:
        raise RefusedError(
            "an earlier call with the key may or may not have run",
            reason=Reason.OUTCOME_UNKNOWN,
            outcome=Outcome.UNKNOWN,
        )
    if claim.answer is None:
        raise RefusedError(
            "an earlier call with the key ran; its answer was too large "
            "to be kept",
            reason=Reason.ANSWER_TOO_LARGE,
            outcome=Outcome.FAILED,
        )
    return ServiceAnswer(
        status=claim.answer.status,
        headers=(Header(name="Content-Type", value=claim.answer.content_type),)
        if claim.answer.content_type
        else (),
        body=claim.answer.body,
    )


def _content_type(answer):
    for header in answer.headers:
        if header.name.lower() == "content-type":
            return header.value
    return ""


def _still_running():
    return RefusedError(
        "the call is still running",
        reason=Reason.STILL_RUNNING,
        outcome=Outcome.UNKNOWN,
        retry_after_s=1.0,
    )
