"""Errors of the stand-ins and of the harness."""

from currantdeal.core import CurrantdealError


class BenchError(CurrantdealError):
    """Base of the errors of ``currantdeal.testing``."""


class RefusedError(BenchError):
    """The stand-in refuses; becomes an HTTP answer.

    Parameters
    ----------
    status : int
        HTTP status.
    name : str
        Machine-readable reason.
    """

    def __init__(self, status, name, message=""):
        """Keep what the HTTP answer needs."""
        super().__init__(message or name)
        self.status = status
        self.name = name


class HarnessError(BenchError):
    """A process of the harness did not do what was waited for."""
