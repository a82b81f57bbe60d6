"""Root of the error tree.

Each layer derives its own errors from the root and turns errors of the layer
below into its own, so that a caller of a layer need not know what is
underneath.
"""


class CurrantdealError(Exception):
    """Base of every error that the project raises on purpose."""


class CoreError(CurrantdealError):
    """A value could not be built, parsed or decoded."""


class ParseError(CoreError):
    """A text does not follow its grammar."""


class CodecError(CoreError):
    """Bytes do not decode to a known message."""


class PortError(CurrantdealError):
    """Base of the errors that adapters raise through ports."""


class UpstreamError(PortError):
    """An upstream could not do what it was asked.

    Parameters
    ----------
    message : str
        What went wrong, for logs.
    ran : Ran
        Whether the work ran on the upstream.
    """

    def __init__(self, message, *, ran):
        """Keep the message and whether the work ran."""
        super().__init__(message)
        self.ran = ran


class UpstreamUnreachableError(UpstreamError):
    """No connection to the upstream could be opened."""


class UpstreamSilentError(UpstreamError):
    """An open connection brought nothing for longer than allowed."""


class UpstreamCrashedError(UpstreamSilentError):
    """The upstream's process ended while it had the request."""


class UpstreamRefusedError(UpstreamError):
    """The upstream answered that it will not do the work."""


class StaleFenceError(UpstreamRefusedError):
    """The upstream has seen a higher fencing number than the one sent."""


class KvExpiredError(UpstreamRefusedError):
    """The prefill result is gone from the engine that computed it."""


class StateUnavailableError(PortError):
    """The replicated state gave no answer in time.

    Parameters
    ----------
    message : str
        What went wrong, for logs.
    proposed : bool
        True when the command may still be committed later.
    """

    def __init__(self, message, *, proposed):
        """Keep the message and whether the command may still commit."""
        super().__init__(message)
        self.proposed = proposed


class LeaseExpiredError(PortError):
    """The lease on the view of the state has run out at the instance."""


class ReservationError(PortError):
    """An engine's memory or link share could not be reserved.

    Parameters
    ----------
    message : str
        What went wrong, for logs.
    retry_after_s : float
        Seconds after which the reservation may succeed.
    """

    def __init__(self, message, *, retry_after_s=0.0):
        """Keep the message and when to try again."""
        super().__init__(message)
        self.retry_after_s = retry_after_s


class DialectError(PortError):
    """A message from outside cannot be read; the text says where and why."""
