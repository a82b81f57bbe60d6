"""Errors of the entries: why a request gets no complete answer."""

from currantdeal.core.errors import CurrantdealError
from currantdeal.node.fingerprint import describe_verdict
from currantdeal.policy.retries.retry_after import RefusalReason


class EntryError(CurrantdealError):
    """Base of the errors of this package."""


class UnauthorisedError(EntryError):
    """The request has no key of an organisation, and has not run."""


class RefusedError(EntryError):
    """The request has not run and will not run.

    Parameters
    ----------
    reason : str
        Text for logs and for the caller.
    refusal_reason : RefusalReason
        What is missing; determines the retry-after.
    """

    def __init__(self, reason, *, refusal_reason):
        """Store the text and the ``RefusalReason``."""
        super().__init__(reason)
        self.refusal_reason = refusal_reason


class QuotaExceededError(RefusedError):
    """The quota of an organisation is used up.

    Parameters
    ----------
    organisation : str
        Name of the organisation.
    retry_after_s : float
        Time after which the quota allows the request.
    kept_units : int
        Units that are kept for requests of another urgency.
    """

    def __init__(self, organisation, *, retry_after_s, kept_units=0):
        """Compose the reason; the request has not run."""
        kept = f" but for {kept_units} kept units" if kept_units else ""
        super().__init__(
            f"the quota of organisation {organisation!r} is used up{kept}",
            refusal_reason=RefusalReason.QUOTA,
        )
        self.retry_after_s = retry_after_s


class LimitReachedError(RefusedError):
    """All upstreams that could run the request are at their limits.

    Parameters
    ----------
    retry_after_s : float
        Time after which one of them takes the request.
    """

    def __init__(self, *, retry_after_s):
        """Compose the reason; the request has not run."""
        super().__init__(
            "all upstreams are at the limits that they have named",
            refusal_reason=RefusalReason.LIMIT,
        )
        self.retry_after_s = retry_after_s


class MemoryShortError(RefusedError):
    """No engine has memory for the request in its time.

    Parameters
    ----------
    retry_after_s : float or None
        Predicted time after which its turn comes; None if unknown.
    """

    def __init__(self, reason, *, retry_after_s):
        """Store the prediction; the request has not run."""
        super().__init__(reason, refusal_reason=RefusalReason.MEMORY)
        self.retry_after_s = retry_after_s


class QuarantinedError(RefusedError):
    """The request, or a part of its prompt, crashes upstreams.

    Parameters
    ----------
    verdict : Verdict
        What is quarantined.
    """

    def __init__(self, verdict):
        """Compose the reason; the request has not run."""
        super().__init__(
            f"{describe_verdict(verdict)}: upstreams that ran it crashed",
            refusal_reason=RefusalReason.QUARANTINE,
        )
        self.kind = verdict.kind


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
