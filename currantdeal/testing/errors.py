"""Define the errors of the stand-ins and of the test harness."""

from currantdeal.core import CurrantdealError


class BenchError(CurrantdealError):
    """Base class of the errors of ``currantdeal.testing``."""


class RefusedError(BenchError):
    """A stand-in refuses a request; sent as an HTTP error response.

    Parameters
    ----------
    status : int
        HTTP status.
    name : str
        Machine-readable reason.
    """

    def __init__(self, status, name, message=""):
        """Keep the status and the reason for the HTTP response."""
        super().__init__(message or name)
        self.status = status
        self.name = name


class HarnessError(BenchError):
    """A process of the harness failed or did not respond as expected."""
