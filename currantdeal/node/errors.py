"""Errors of the event-loop processes."""

from currantdeal.core.errors import CurrantdealError


class NodeError(CurrantdealError):
    """Base of the errors of this package."""


class SettingsFileError(NodeError):
    """The settings file cannot be used; the message says where and why."""


class PeerUnreachableError(NodeError):
    """Another instance did not answer in time."""


class ExchangeError(NodeError):
    """An exchange with an upstream failed.

    Parameters
    ----------
    message : str
        What went wrong.
    sent : bool
        False when nothing of the request was written, so that the upstream
        cannot have run it.
    """

    def __init__(self, message, *, sent):
        """Keep the message and whether anything was written."""
        super().__init__(message)
        self.sent = sent


class ConnectError(ExchangeError):
    """No connection could be opened."""

    def __init__(self, message):
        """Keep the message; nothing was written."""
        super().__init__(message, sent=False)


class BrokenAnswerError(ExchangeError):
    """The answer ended early, or is not HTTP."""


class SilentUpstreamError(ExchangeError):
    """No answer came in time."""
