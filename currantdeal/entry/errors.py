"""Errors of the entries: why a request gets no answer of an upstream."""

from currantdeal.core.errors import CurrantdealError
from currantdeal.policy.return_time import Shortage


class EntryError(CurrantdealError):
    """Base of the errors of this package."""


class RefusedError(EntryError):
    """The request has not run and will not.

    Parameters
    ----------
    reason : str
        For logs and for the caller.
    shortage : Shortage
        What there is too little of, which tells when to come back.
    """

    def __init__(self, reason, *, shortage):
        """Keep the reason and the shortage."""
        super().__init__(reason)
        self.shortage = shortage


class QuarantinedError(RefusedError):
    """The request crashes the upstreams that run it.

    Parameters
    ----------
    fingerprint : str
        As logs show it.
    """

    def __init__(self, fingerprint):
        """Refuse it as any other that has not run."""
        super().__init__(
            f"it is in quarantine as {fingerprint}: upstreams that ran it"
            " crashed",
            shortage=Shortage.QUARANTINE,
        )


class FailedError(EntryError):
    """The request may have run and has no answer."""


class BrokenOffError(EntryError):
    """The answer ends early, after a part of it was passed on."""


class PromptNotReadError(EntryError):
    """A prefill engine did not read a prompt, or did not say so.

    Parameters
    ----------
    reason : str
        For logs.
    taken : bool
        True when the engine may be reading it all the same.
    """

    def __init__(self, reason, *, taken):
        """Keep the reason and whether the prompt may have been taken."""
        super().__init__(reason)
        self.taken = taken
