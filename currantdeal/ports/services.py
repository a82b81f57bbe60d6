"""Protocol for calls to plain services."""

from dataclasses import dataclass
from typing import Protocol

from currantdeal.core import Upstream


@dataclass(frozen=True, kw_only=True)
class Header:
    """One HTTP header."""

    name: str
    value: str


@dataclass(frozen=True, kw_only=True)
class ServiceCall:
    """A call to a plain service.

    Parameters
    ----------
    path : str
        Path relative to the service's root, starting with ``/``, with its
        query.
    """

    method: str
    path: str
    headers: tuple[Header, ...] = ()
    body: bytes = b""


@dataclass(frozen=True, kw_only=True)
class ServiceAnswer:
    """The response of a service, received to its end.

    Parameters
    ----------
    is_known_whole : bool
        False if only the close of the connection ended the body, which may
        be incomplete.
    """

    status: int
    headers: tuple[Header, ...] = ()
    body: bytes = b""
    is_known_whole: bool = True


class ServicePort(Protocol):
    """Client for plain services."""

    def call(
        self, upstream: Upstream, call: ServiceCall, *, timeout_s: float
    ) -> ServiceAnswer:
        """Send the call once and return the response.

        Raises
        ------
        UpstreamError
            If it failed; its ``ran`` states whether the call ran.
        """
