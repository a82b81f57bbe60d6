"""Applies claims, which run non-idempotent calls at most once.

An instance sends a non-idempotent call only after its claim has been granted
in the replicated log.  A resend at any instance finds the claim and returns
the stored answer, waits for it, or reports that the outcome is unknown.  A
claim is removed only after its retention time.  While the table is full of
younger claims, new calls are refused, because the removal of such a claim
would let its call run twice.
"""

from dataclasses import replace

from currantdeal.state.cluster import Claim, ClaimSlot, ClaimStatus
from currantdeal.state.results import (
    Applied,
    ClaimExists,
    ClaimGranted,
    ClaimMismatch,
    ClaimTableFull,
    Invalid,
)

_MAX_EXPIRED_PER_GRANT = 4


def grant_claim(state, command):
    """Return the next state and whether the proposer may send the call."""
    state = _remove_expired(state)
    known = state.claims.get(command.key)
    if known is not None:
        return state, _resend_result(known, command)
    if _is_full(state):
        return state, ClaimTableFull(
            retry_after_s=_seconds_until_expiry(state)
        )
    claim = Claim(
        key=command.key,
        token=state.version,
        owner=command.origin.instance,
        request_id=command.origin.request_id,
        digest=command.digest,
        claimed_wall_s=state.log_wall_s,
    )
    state = replace(
        state,
        claims=state.claims.set(claim.key, claim),
        claim_order=state.claim_order.push(
            ClaimSlot(key=claim.key, token=claim.token)
        ),
    )
    return state, ClaimGranted(token=claim.token)


def finish_claim(state, command):
    """Return the next state, with the answer stored for resends."""
    claim = _owned_claim(state, command)
    if claim is None:
        return state, Invalid(message="the claim is not held")
    if claim.status is ClaimStatus.ANSWERED:
        return state, Applied(version=state.version)
    answer = command.answer
    if len(answer.body) > state.limits.largest_answer_bytes:
        answer = None
    after = replace(claim, status=ClaimStatus.ANSWERED, answer=answer)
    total = state.answer_bytes + _answer_size(after)
    return _store_claim(replace(state, answer_bytes=total), after)


def release_claim(state, command):
    """Return the next state, without the claim of a call that did not run."""
    claim = _owned_claim(state, command)
    if claim is None or claim.status is ClaimStatus.ANSWERED:
        return state, Invalid(message="the claim is not held")
    state = replace(state, claims=state.claims.delete(claim.key))
    return state, Applied(version=state.version)


def abandon_claim(state, command):
    """Return the next state, with the claim's outcome marked as unknown."""
    claim = _owned_claim(state, command)
    if claim is None or claim.status is ClaimStatus.ANSWERED:
        return state, Invalid(message="the claim is not held")
    return _store_claim(state, replace(claim, status=ClaimStatus.UNKNOWN))


def _resend_result(known, command):
    if known.request_id == command.origin.request_id:
        return ClaimGranted(token=known.token)
    if known.digest != command.digest:
        return ClaimMismatch(
            message="the idempotency key was used with another request"
        )
    return ClaimExists(claim=known)


def _owned_claim(state, command):
    claim = state.claims.get(command.key)
    if claim is None or claim.token != command.token:
        return None
    return claim


def _store_claim(state, claim):
    state = replace(state, claims=state.claims.set(claim.key, claim))
    return state, Applied(version=state.version)


def _is_full(state):
    return len(state.claim_order) >= state.limits.claims or (
        state.answer_bytes >= state.limits.answer_bytes
    )


def _answer_size(claim):
    return len(claim.answer.body) if claim.answer else 0


def _remove_expired(state):
    # The work per command is bounded: each new claim removes at most a few
    # expired ones, more than one so that the table shrinks.  Removing all of
    # them at once after a long idle time would cause one long pause.
    for _ in range(_MAX_EXPIRED_PER_GRANT):
        if not len(state.claim_order) or _seconds_until_expiry(state) > 0:
            break
        slot = state.claim_order.first
        state = replace(state, claim_order=state.claim_order.pop())
        claim = _claim_in_slot(state, slot)
        if claim is not None:
            state = replace(
                state,
                claims=state.claims.delete(slot.key),
                answer_bytes=state.answer_bytes - _answer_size(claim),
            )
    return state


def _seconds_until_expiry(state):
    oldest = _claim_in_slot(state, state.claim_order.first)
    if oldest is None:
        return 0.0
    expiry_s = oldest.claimed_wall_s + state.limits.claim_retention_s
    return max(0.0, expiry_s - state.log_wall_s)


def _claim_in_slot(state, slot):
    claim = state.claims.get(slot.key)
    if claim is None or claim.token != slot.token:
        return None
    return claim
