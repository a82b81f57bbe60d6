"""Root of the exception hierarchy, and the errors of core and ports.

Each layer derives its own errors from the root and converts errors of the
layer below into its own, so that the caller of a layer does not depend on the
layers below it.
"""


class CurrantdealError(Exception):
    """Base class of every error that this program raises deliberately."""


class CoreError(CurrantdealError):
    """A value could not be constructed, parsed or decoded."""


class ParseError(CoreError):
    """A text does not follow its grammar."""


class CodecError(CoreError):
    """Bytes do not decode to a known message."""


class PortError(CurrantdealError):
    """Base class of the errors that adapters raise through ports."""


class UpstreamError(PortError):
    """An upstream did not carry out a request.

    Parameters
    ----------
    message : str
        Description of the failure, for logs.
    ran : Ran
        Whether the work ran on the upstream.
    """

    def __init__(self, message, *, ran):
        """Store the message and whether the work ran."""
        super().__init__(message)
        self.ran = ran


class UpstreamUnreachableError(UpstreamError):
    """No connection to the upstream could be opened."""


class UpstreamTimeoutError(UpstreamError):
    """An open connection received nothing for longer than the time limit."""


class UpstreamCrashedError(UpstreamTimeoutError):
    """The upstream's process ended while it was running the request."""


class UpstreamRefusedError(UpstreamError):
    """The upstream responded that it rejects the work."""


class StaleFenceError(UpstreamRefusedError):
    """The upstream has received a higher fencing number than the one sent."""


class KvExpiredError(UpstreamRefusedError):
    """The engine that computed the prefill result no longer holds it."""


class StateUnavailableError(PortError):
    """The replicated state did not respond in time.

    Parameters
    ----------
    message : str
        Description of the failure, for logs.
    proposed : bool
        True if the command may still be committed later.
    """

    def __init__(self, message, *, proposed):
        """Store the message and whether the command may still commit."""
        super().__init__(message)
        self.proposed = proposed


class LeaseExpiredError(PortError):
    """The instance's lease on its view of the state has expired."""


class ReservationError(PortError):
    """An engine's memory or a share of its link could not be reserved.

    Parameters
    ----------
    message : str
        Description of the failure, for logs.
    retry_after_s : float
        Seconds after which the reservation may succeed.
    """

    def __init__(self, message, *, retry_after_s=0.0):
        """Store the message and the time until a retry."""
        super().__init__(message)
        self.retry_after_s = retry_after_s


class DialectError(PortError):
    """A message from outside is malformed; the text names place and cause."""
