"""Errors of the HTTP interface that are sent as answers."""

from currantdeal.adapters.errors import AdapterError
from currantdeal.core import Outcome


class HttpError(AdapterError):
    """An error that is answered with an HTTP status.

    Parameters
    ----------
    status : int
        HTTP status.
    reason : str
        Machine-readable cause.
    message : str
        Human-readable cause and remedy.
    headers : tuple of tuple
        Additional headers of the answer.
    outcome : Outcome
        What is proved about the execution of the request.
    """

    def __init__(
        self, status, reason, message, *, headers=(), outcome=Outcome.NOT_RUN
    ):
        """Store the parts of the answer."""
        super().__init__(message)
        self.status = status
        self.reason = reason
        self.headers = headers
        self.outcome = outcome


def bad_request(message, *, reason="bad-request"):
    """Return the error for an invalid request."""
    return HttpError(400, reason, message)


def not_found(message):
    """Return the error for a resource that does not exist."""
    return HttpError(404, "not-found", message)
