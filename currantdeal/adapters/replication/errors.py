"""Errors within the runtime of the replicated state."""

from currantdeal.adapters.errors import AdapterError


class ReplicationError(AdapterError):
    """Base of the runtime's errors."""


class NotProposedError(ReplicationError):
    """The command is in nobody's log, and will not be."""


class OutcomeUnknownError(ReplicationError):
    """The command may be in a log and may still be committed."""
