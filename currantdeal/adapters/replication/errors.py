"""Errors of the replicated state's runtime."""

from currantdeal.adapters.errors import AdapterError


class ReplicationError(AdapterError):
    """Base class of the runtime's errors."""


class NotProposedError(ReplicationError):
    """The command is in no log and never will be; a retry is safe."""


class OutcomeUnknownError(ReplicationError):
    """The command may be in a log and may still be committed."""
