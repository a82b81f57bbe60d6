"""Endpoints that forward calls to plain services."""

from urllib.parse import quote

from currantdeal.adapters.http.intake import idempotency_key_of
from currantdeal.adapters.http.messages import Response
from currantdeal.adapters.services import HOP_BY_HOP
from currantdeal.adapters.settings import KeyKind
from currantdeal.core import WorkKind
from currantdeal.ports import Header, ServiceCall
from currantdeal.serving.calls import is_idempotent
from currantdeal.serving.requests import CallRequest

REPLAYED_HEADER = "Idempotent-Replayed"

_PREFIX = "/services/"
_NOT_FORWARDED = HOP_BY_HOP | {"authorization", "host"}


class ServiceEndpoints:
    """Endpoint ``/services/NAME/PATH`` for all common HTTP methods.

    Parameters
    ----------
    service : CallService
        Sends the calls to upstreams.
    intake : Intake
        Builds the work of requests.
    in_flight : InFlight
        Counts requests in flight and limits their number.
    """

    def __init__(self, *, service, intake, in_flight):
        """Store the collaborators."""
        self._service = service
        self._intake = intake
        self._in_flight = in_flight

    def register(self, routes):
        """Add the endpoints."""
        routes.add(
            "GET HEAD OPTIONS POST PUT PATCH DELETE",
            r"/services/(?P<name>[^/]+)(?:/.*)?",
            self.call,
            kind=KeyKind.CALLER,
        )

    def call(self, request):
        """Answer a call with the answer of an upstream."""
        name = request.groups["name"]
        work = self._intake.work(
            request,
            kind=WorkKind.SERVICE,
            target=name,
            idempotent=is_idempotent(request.method),
        )
        call_request = CallRequest(
            work=work,
            call=ServiceCall(
                method=request.method,
                path=_upstream_path(request, name),
                headers=_headers_of(request),
                body=request.body,
            ),
            key=idempotency_key_of(request),
            is_disconnected=request.is_disconnected,
        )
        end = self._in_flight.begin()
        try:
            outcome = self._service.call(call_request)
        finally:
            end()
        headers = [(hd.name, hd.value) for hd in outcome.answer.headers]
        if outcome.replayed:
            headers.append((REPLAYED_HEADER, "true"))
        return Response(
            status=outcome.answer.status,
            headers=tuple(headers),
            body=outcome.answer.body,
            is_known_whole=outcome.answer.is_known_whole,
        )


def _upstream_path(request, name):
    raw, _, query = request.raw_path.partition("?")
    _, _, below = raw.lstrip("/").partition("/")
    _, _, rest = below.partition("/")
    if not raw.startswith(_PREFIX):
        rest = quote(request.path[len(_PREFIX) + len(name) + 1 :])
    return f"/{rest}?{query}" if query else f"/{rest}"


def _headers_of(request):
    headers = []
    for name, value in request.environ.items():
        if name in ("CONTENT_TYPE",):
            headers.append(Header(name="Content-Type", value=value))
        elif name.startswith("HTTP_"):
            header_name = name[5:].replace("_", "-").title()
            if header_name.lower() not in _NOT_FORWARDED:
                headers.append(Header(name=header_name, value=value))
    return tuple(headers)
