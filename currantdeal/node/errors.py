"""Errors raised by this package, which runs on the event loop."""

from currantdeal.core.errors import CurrantdealError
from currantdeal.policy.answers.reset_outcome import ExchangePhase


class NodeError(CurrantdealError):
    """Base class of the errors of this package."""


class SettingsFileError(NodeError):
    """The settings file is invalid; the message names the place and reason."""


class UnreadableFrameError(NodeError):
    """Bytes from another instance are not a frame with a known message."""


class PeerUnreachableError(NodeError):
    """Another instance could not be reached or did not respond in time."""


class NoResponseError(NodeError):
    """The handler of a request has ended without a response."""


class SlowCallerError(NodeError):
    """A caller does not take its answer while an upstream waits for that."""


class SendExpiredError(NodeError):
    """A request was not sent, because its time to be sent had passed."""


class UnchargedError(SendExpiredError):
    """A retry was not sent, because no charge to the budget covers it."""


class UnsendableRequestError(SendExpiredError):
    """A request was not sent, because HTTP cannot express it."""


class ExchangeError(NodeError):
    """An HTTP exchange with an upstream failed.

    Parameters
    ----------
    message : str
        Description of the failure.
    phase : ExchangePhase
        Phase of the exchange in which it failed.

    Attributes
    ----------
    has_ended : bool
        Whether the upstream's process is known to have ended.
    """

    has_ended = False

    def __init__(self, message, *, phase):
        """Store the message and the phase."""
        super().__init__(message)
        self.phase = phase

    @property
    def sent(self):
        """True if any of the request was written, so that it may have run."""
        return self.phase is not ExchangePhase.CONNECTING


class ConnectError(ExchangeError):
    """No connection could be opened."""

    def __init__(self, message):
        """Store the message; no part of the request was written."""
        super().__init__(message, phase=ExchangePhase.CONNECTING)


class ConnectionEndedError(ConnectError):
    """A connection ended before the request was sent on it."""


class ConnectRefusedError(ConnectError):
    """No process listens at the address: the upstream has ended."""

    has_ended = True


class LinkError(ConnectError):
    """No connection could be opened through another entry.

    Parameters
    ----------
    is_conclusive : bool
        Whether an entry with sound links has failed to reach the upstream.
    is_refused : bool
        Whether such an entry found that no process listens there.
    """

    def __init__(self, message, *, is_conclusive, is_refused):
        """Store the message and what others have found."""
        super().__init__(message)
        self.is_conclusive = is_conclusive
        self.is_refused = is_refused


class InvalidResponseError(ExchangeError):
    """The response was truncated or is not valid HTTP."""


class MalformedResponseError(InvalidResponseError):
    """The upstream sent bytes that are no answer, or more than are read."""


class EngineLostError(ExchangeError):
    """The upstream has ended, although its connection is open."""

    has_ended = True


class ResponseTimeoutError(ExchangeError):
    """The upstream did not respond in time."""
