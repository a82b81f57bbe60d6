"""What the serving layer is asked, and what it gives back."""

from collections.abc import Callable
from dataclasses import dataclass
from functools import cached_property

from currantdeal.core import Work, digest_parts
from currantdeal.ports import ServiceAnswer, ServiceCall


def never_gone():
    """Return False, for requests whose caller cannot hang up."""
    return False


@dataclass(frozen=True, kw_only=True)
class GenerationRequest:
    """A prompt to be continued by a model.

    Parameters
    ----------
    work : Work
        What decisions see of the request.
    prompt : str
        The whole prompt.
    gone : callable
        Returns True once the caller has hung up.
    """

    work: Work
    prompt: str
    gone: Callable[[], bool] = never_gone

    @cached_property
    def fingerprint(self):
        """By what it counts as the same request when it is sent again."""
        parts = (self.work.caller, self.work.target, self.prompt)
        return digest_parts(*(str(part).encode() for part in parts))


@dataclass(frozen=True, kw_only=True)
class Completion:
    """A whole answer of a model."""

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
        What decisions see of the request; ``target`` names the service.
    call : ServiceCall
        What to send.
    key : str
        The caller's idempotency key; empty when there is none.
    gone : callable
        Returns True once the caller has hung up.
    """

    work: Work
    call: ServiceCall
    key: str = ""
    gone: Callable[[], bool] = never_gone

    @cached_property
    def fingerprint(self):
        """By what it counts as the same request when it is sent again."""
        call = self.call
        names = (self.work.caller, self.work.target, call.method, call.path)
        parts = (str(name).encode() for name in names)
        return digest_parts(*parts, call.body)


@dataclass(frozen=True, kw_only=True)
class CallOutcome:
    """The answer of a plain service.

    Parameters
    ----------
    replayed : bool
        True when the answer was kept from an earlier call with the key.
    """

    answer: ServiceAnswer
    replayed: bool = False
