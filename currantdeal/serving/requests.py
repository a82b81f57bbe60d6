"""Requests to the serving layer, and their results."""

from collections.abc import Callable
from dataclasses import dataclass
from functools import cached_property

from currantdeal.core import Work, digest_parts, prefix_keys
from currantdeal.policy.crashes.identity import (
    IdentityKind,
    part_identity,
)
from currantdeal.ports import ServiceAnswer, ServiceCall

MAX_CRASH_BLOCKS = 16
"""Leading blocks of a prompt against which crashes count."""

_DIGEST_BYTES = 16


def never_disconnected():
    """Return False; for requests whose caller can't disconnect."""
    return False


@dataclass(frozen=True, kw_only=True)
class GenerationRequest:
    """A prompt to be continued by a model.

    Parameters
    ----------
    work : Work
        Description of the request for scheduling decisions.
    prompt : str
        The complete prompt.
    is_disconnected : callable
        Returns True once the caller has disconnected.
    """

    work: Work
    prompt: str
    is_disconnected: Callable[[], bool] = never_disconnected

    @cached_property
    def fingerprint(self):
        """Digest that identifies resends of the same request."""
        parts = (self.work.caller, self.work.target, self.prompt)
        return digest_parts(*(str(part).encode() for part in parts))

    @cached_property
    def crash_identities(self):
        """Identities against which a crash under this request counts.

        Returns
        -------
        tuple of bytes
            Its fingerprint, and the leading blocks of its prompt among the
            requests of all callers and of this one, see
            ``currantdeal.policy.crashes.identity``.
        """
        keys = prefix_keys(self.prompt)[:MAX_CRASH_BLOCKS]
        caller = str(self.work.caller).encode()
        parts = []
        for key in (key.to_bytes(8, "big") for key in keys):
            parts += [
                part_identity(IdentityKind.PART, _digest(key)),
                part_identity(
                    IdentityKind.ORGANISATION_PART, _digest(key, caller)
                ),
            ]
        return (self.fingerprint, *parts)


@dataclass(frozen=True, kw_only=True)
class Completion:
    """A complete answer of a model."""

    text: str
    finish_reason: str
    prompt_tokens: int
    output_tokens: int


@dataclass(frozen=True, kw_only=True)
class CallRequest:
    """A call to a plain service.

    Parameters
    ----------
    work : Work
        Description of the request for scheduling decisions; ``target`` names
        the service.
    call : ServiceCall
        The HTTP call to send.
    key : str
        The caller's idempotency key; empty if there is none.
    is_disconnected : callable
        Returns True once the caller has disconnected.
    """

    work: Work
    call: ServiceCall
    key: str = ""
    is_disconnected: Callable[[], bool] = never_disconnected

    @cached_property
    def fingerprint(self):
        """Digest that identifies resends of the same request."""
        call = self.call
        names = (self.work.caller, self.work.target, call.method, call.path)
        parts = (str(name).encode() for name in names)
        return digest_parts(*parts, call.body)

    @property
    def crash_identities(self):
        """Identities against which a crash under this request counts."""
        return (self.fingerprint,)


@dataclass(frozen=True, kw_only=True)
class CallOutcome:
    """The answer of a plain service.

    Parameters
    ----------
    answer : ServiceAnswer
        The answer.
    replayed : bool
        True if the answer was stored by an earlier call with the key.
    """

    answer: ServiceAnswer
    replayed: bool = False


def _digest(*parts):
    return digest_parts(b"block", *parts)[:_DIGEST_BYTES]
