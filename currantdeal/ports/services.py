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
    """The complete response of a service."""

    status: int
    headers: tuple[Header, ...] = ()
    body: bytes = b""


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
