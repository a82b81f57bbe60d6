"""Errors of the entries: why a request gets no complete answer."""

from currantdeal.core.errors import CurrantdealError
from currantdeal.policy.return_time import Shortage


class EntryError(CurrantdealError):
    """Base of the errors of this package."""


class RefusedError(EntryError):
    """The request has not run and will not run.

    Parameters
    ----------
    reason : str
        Text for logs and for the caller.
    shortage : Shortage
        What is missing; determines the retry-after.
    """

    def __init__(self, reason, *, shortage):
        """Store the reason and the shortage."""
        super().__init__(reason)
        self.shortage = shortage


class QuarantinedError(RefusedError):
    """The request crashes the upstreams that run it.

    Parameters
    ----------
    fingerprint : str
        Short form, as in logs.
    """

    def __init__(self, fingerprint):
        """Compose the reason; the request has not run."""
        super().__init__(
            f"it is in quarantine as {fingerprint}: upstreams that ran it"
            " crashed",
            shortage=Shortage.QUARANTINE,
        )


class FailedError(EntryError):
    """The request may have run, and its outcome is unknown."""


class IncompleteAnswerError(EntryError):
    """The answer ended early, after a part of it was forwarded."""


class PrefillFailedError(EntryError):
    """A prefill engine did not confirm the prefill of a prompt.

    Parameters
    ----------
    reason : str
        Text for logs.
    maybe_running : bool
        Whether the engine may run the prefill nevertheless.
    """

    def __init__(self, reason, *, maybe_running):
        """Store the reason and whether the prefill may be running."""
        super().__init__(reason)
        self.maybe_running = maybe_running
