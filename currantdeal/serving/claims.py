"""Takes and ends claims on calls that must run at most once.

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
    CallerDisconnectedError,
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
"""Timeout of one proposal; long enough to elect a new leader."""

MAX_WAIT_S = 5.0
"""Time for which a resend waits for the running call that it repeats."""

INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.5
RETRY_PERIOD_S = 60.0
"""Time for which the proposal that ends a claim is retried."""


@dataclass(frozen=True, kw_only=True)
class HeldClaim:
    """A claim held by this instance, or the answer stored with one.

    Parameters
    ----------
    key : ClaimKey
        Identifies the claim.
    token : int
        Returned with the grant; required to end the claim.
    stored_answer : ServiceAnswer or None
        Answer of the earlier call; None if the call may be sent now.
    """

    key: ClaimKey
    token: int = 0
    stored_answer: ServiceAnswer | None = None


class ClaimManager:
    """Takes and ends claims through the replicated state.

    Parameters
    ----------
    state : StatePort
        The replicated state that stores claims.
    instance : InstanceId
        Owner of the claims taken here.
    clock : Clock
        Timestamps claims and times waits.
    """

    def __init__(self, *, state, instance, clock):
        """Start without claims."""
        self._state = state
        self._instance = instance
        self._clock = clock
        self._background = _BackgroundProposer(state=state, clock=clock)

    def claim(self, request, digest):
        """Return a claim that permits the call, or a stored answer.

        Raises
        ------
        RefusedError
            If the call must not be sent.
        CallerDisconnectedError
            If the caller disconnects while another call with the key runs.
        """
        work = request.work
        key = ClaimKey(
            caller=work.caller, service=work.target, key=request.key
        )
        until_s = min(work.deadline_s, self._clock.monotonic_s() + MAX_WAIT_S)
        backoff_s = INITIAL_BACKOFF_S
        while True:
            result = self._propose(request, key, digest)
            if isinstance(result, ClaimGranted):
                return HeldClaim(key=key, token=result.token)
            stored = _stored_answer(result)
            if stored is not None:
                return HeldClaim(key=key, stored_answer=stored)
            if self._clock.monotonic_s() + backoff_s >= until_s:
                raise _still_running()
            if request.is_disconnected():
                raise CallerDisconnectedError("the caller disconnected")
            self._clock.sleep(backoff_s)
            backoff_s = min(MAX_BACKOFF_S, 2 * backoff_s)

    def finish(self, claim, answer, *, timeout_s=PROPOSE_TIMEOUT_S):
        """Store the answer for resends; continues in the background if late.

        Parameters
        ----------
        timeout_s : float
            Longest time before this returns, in seconds.
        """
        stored = CallAnswer(
            status=answer.status,
            content_type=_content_type(answer),
            body=answer.body,
            is_known_whole=answer.is_known_whole,
        )
        self._propose_end(
            FinishClaim(
                origin=self._origin("finish"),
                key=claim.key,
                token=claim.token,
                answer=stored,
            ),
            timeout_s=timeout_s,
        )

    def release(self, claim):
        """Allow a resend to run; the call must certainly not have run."""
        self._propose_end(
            ReleaseClaim(
                origin=self._origin("release"),
                key=claim.key,
                token=claim.token,
            )
        )

    def abandon(self, claim):
        """Record that the outcome is unknown; resends are refused with it."""
        self._propose_end(
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
            # The call was not sent, so it did not run.  A claim that may still
            # be granted is released; otherwise it would block resends for a
            # day.
            if exc.proposed:
                self._background.release_if_granted(command)
            raise not_run(
                "the replicated state did not commit the claim in time",
                reason=Reason.STATE_UNAVAILABLE,
                retry_after_s=1.0,
            ) from exc

    def _propose_end(self, command, *, timeout_s=PROPOSE_TIMEOUT_S):
        try:
            self._state.propose(command, timeout_s=timeout_s)
        except StateUnavailableError:
            # The caller's answer must not wait for a leader, so the proposal
            # is retried in the background.
            self._background.propose(command)

    def _origin(self, name):
        # The id is random: if a request id were reused after a restart, the
        # old claim would be granted again, and an order could run twice.
        return Origin(
            request_id=f"{name}/{uuid.uuid4().hex}",
            actor="serving",
            instance=self._instance,
            wall_s=self._clock.wall_s(),
        )


class _BackgroundProposer:
    """Retries proposals that end claims until the state accepts them."""

    def __init__(self, *, state, clock):
        self._state = state
        self._clock = clock
        self._commands = deque()
        self._lock = threading.Lock()
        self._running = False

    def propose(self, command):
        until_s = self._clock.monotonic_s() + RETRY_PERIOD_S
        with self._lock:
            self._commands.append((command, until_s))
            if self._running:
                return
            self._running = True
        threading.Thread(
            target=self._run, name="late-claims", daemon=True
        ).start()

    def release_if_granted(self, command):
        """Retry proposing a claim, and release it once it is granted."""
        self.propose(command)

    def _run(self):
        while True:
            with self._lock:
                if not self._commands:
                    self._running = False
                    return
                command, until_s = self._commands.popleft()
            if not self._propose_once(command):
                if self._clock.monotonic_s() < until_s:
                    with self._lock:
                        self._commands.append((command, until_s))
                self._clock.sleep(MAX_BACKOFF_S)

    def _propose_once(self, command):
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


def _stored_answer(result):
    """Return the stored answer, None while the call runs, or raise."""
    if isinstance(result, ClaimMismatch):
        raise not_run(result.message, reason=Reason.KEY_REUSED)
    if isinstance(result, ClaimTableFull):
        raise not_run(
            "the claim table of the replicated state is full",
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
            "the outcome of an earlier call with the same idempotency key is "
            "unknown: it may or may not have run",
            reason=Reason.OUTCOME_UNKNOWN,
            outcome=Outcome.UNKNOWN,
        )
    if claim.answer is None:
        raise RefusedError(
            "an earlier call with the same idempotency key ran; its answer "
            "was too large to be stored",
            reason=Reason.ANSWER_TOO_LARGE,
            outcome=Outcome.FAILED,
        )
    return ServiceAnswer(
        status=claim.answer.status,
        headers=(Header(name="Content-Type", value=claim.answer.content_type),)
        if claim.answer.content_type
        else (),
        body=claim.answer.body,
        is_known_whole=claim.answer.is_known_whole,
    )


def _content_type(answer):
    for header in answer.headers:
        if header.name.lower() == "content-type":
            return header.value
    return ""


def _still_running():
    return RefusedError(
        "an earlier call with the same idempotency key is still running",
        reason=Reason.STILL_RUNNING,
        outcome=Outcome.UNKNOWN,
        retry_after_s=1.0,
    )
