"""What the system asks of plain services."""

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
        Path below the service's root, with its query, starting with ``/``.
    """

    method: str
    path: str
    headers: tuple[Header, ...] = ()
    body: bytes = b""


@dataclass(frozen=True, kw_only=True)
class ServiceAnswer:
    """The service's whole answer."""

    status: int
    headers: tuple[Header, ...] = ()
    body: bytes = b""


class ServicePort(Protocol):
    """Client of plain services."""

    def call(
        self, upstream: Upstream, call: ServiceCall, *, timeout_s: float
    ) -> ServiceAnswer:
        """Send the call once; ``UpstreamError`` tells whether it ran."""
