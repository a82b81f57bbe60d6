"""Errors of the HTTP interface, which become answers."""

from currantdeal.adapters.errors import AdapterError
from currantdeal.core import Outcome


class HttpError(AdapterError):
    """A request is answered with an error status.

    Parameters
    ----------
    status : int
        HTTP status.
    reason : str
        What is wrong, for programs.
    message : str
        What is wrong and what to do, for people.
    headers : tuple of tuple
        Further headers of the answer.
    outcome : Outcome
        What is proved of what was asked.
    """

    def __init__(
        self, status, reason, message, *, headers=(), outcome=Outcome.NOT_RUN
    ):
        """Keep what the answer needs."""
        super().__init__(message)
        self.status = status
        self.reason = reason
        self.headers = headers
        self.outcome = outcome


def bad_request(message, *, reason="bad-request"):
    """Return the error for a request that makes no sense."""
    return HttpError(400, reason, message)


def not_found(message):
    """Return the error for something that does not exist."""
    return HttpError(404, "not-found", message)
