"""Errors of the event-loop processes."""

from currantdeal.core.errors import CurrantdealError
from currantdeal.policy.reset_outcome import Moment


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
    moment : Moment
        How far the exchange had come.
    """

    def __init__(self, message, *, moment):
        """Keep the message and the moment."""
        super().__init__(message)
        self.moment = moment

    @property
    def sent(self):
        """Whether anything was written, so that the upstream may have run."""
        return self.moment is not Moment.CONNECTING


class ConnectError(ExchangeError):
    """No connection could be opened."""

    def __init__(self, message):
        """Keep the message; nothing was written."""
        super().__init__(message, moment=Moment.CONNECTING)


class ConnectRefusedError(ConnectError):
    """Nobody listens at the address: its process has ended."""


class BrokenAnswerError(ExchangeError):
    """The answer ended early, or is not HTTP."""


class SilentUpstreamError(ExchangeError):
    """No answer came in time."""
