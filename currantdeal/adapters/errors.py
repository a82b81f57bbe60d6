"""Errors of the adapters that are not part of a port."""

from currantdeal.core import CurrantdealError


class AdapterError(CurrantdealError):
    """Base of the adapters' own errors."""


class PeerError(AdapterError):
    """A call to another instance was not answered.

    Parameters
    ----------
    message : str
        Cause, for logs.
    sent : bool
        True when the other instance may have received the call.
    """

    def __init__(self, message, *, sent):
        """Store the message and whether the call may have arrived."""
        super().__init__(message)
        self.sent = sent
