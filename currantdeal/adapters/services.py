"""HTTP client of plain services; implements ``ports.ServicePort``."""

from currantdeal.adapters.connections import Connections, HttpRequest
from currantdeal.ports import Header, ServiceAnswer

HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "trailers",
        "transfer-encoding",
        "upgrade",
        "content-length",
    }
)
"""Headers that apply to one connection only and are not forwarded."""


class HttpServices:
    """Client of plain services.

    Parameters
    ----------
    connections : Connections
        Shared by all clients of upstreams.
    """

    def __init__(self, *, connections=None):
        """Store the connections, or create some if none are given."""
        self._connections = connections or Connections()

    def call(self, upstream, call, *, timeout_s):
        """Send the call once and return the answer."""
        request = HttpRequest(
            address=upstream.address,
            method=call.method,
            path=call.path,
            headers=tuple((hd.name, hd.value) for hd in call.headers),
            body=call.body,
        )
        response = self._connections.fetch(request, timeout_s=timeout_s)
        return ServiceAnswer(
            status=response.status,
            headers=tuple(
                Header(name=name, value=value)
                for name, value in response.headers
                if name.lower() not in HOP_BY_HOP
            ),
            body=response.body,
            is_known_whole=response.is_known_whole,
        )
