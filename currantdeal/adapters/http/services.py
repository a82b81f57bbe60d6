"""Calls to plain services."""

from urllib.parse import quote

from currantdeal.adapters.http.intake import key_of
from currantdeal.adapters.http.messages import Response
from currantdeal.adapters.services import HOP_BY_HOP
from currantdeal.adapters.settings import KeyKind
from currantdeal.core import WorkKind
from currantdeal.ports import Header, ServiceCall
from currantdeal.serving.calls import is_idempotent
from currantdeal.serving.requests import CallRequest

REPLAYED_HEADER = "Idempotent-Replayed"

_PREFIX = "/services/"
_NOT_PASSED_ON = HOP_BY_HOP | {"authorization", "host"}


class ServiceEndpoints:
    """``/services/NAME/PATH`` with all usual methods.

    Parameters
    ----------
    service : CallService
        Serves the calls.
    intake : Intake
        Builds work.
    in_flight : InFlight
        Bounds requests.
    """

    def __init__(self, *, service, intake, in_flight):
        """Keep the parts."""
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
        """Answer a call."""
        name = request.groups["name"]
        work = self._intake.work(
            request,
            kind=WorkKind.SERVICE,
            target=name,
            idempotent=is_idempotent(request.method),
        )
        wanted = CallRequest(
            work=work,
            call=ServiceCall(
                method=request.method,
                path=_path_below(request, name),
                headers=_headers_of(request),
                body=request.body,
            ),
            key=key_of(request),
            gone=request.gone,
        )
        end = self._in_flight.begin()
        try:
            outcome = self._service.call(wanted)
        finally:
            end()
        headers = [(hd.name, hd.value) for hd in outcome.answer.headers]
        if outcome.replayed:
            headers.append((REPLAYED_HEADER, "true"))
        return Response(
            status=outcome.answer.status,
            headers=tuple(headers),
            body=outcome.answer.body,
        )


def _path_below(request, name):
    raw, _, query = request.raw_path.partition("?")
    _, _, below = raw.lstrip("/").partition("/")
    _, _, rest = below.partition("/")
    if not raw.startswith(_PREFIX):
        rest = quote(request.path[len(_PREFIX) + len(name) + 1 :])
    return f"/{rest}?{query}" if query else f"/{rest}"


def _headers_of(request):
    found = []
    for name, value in request.environ.items():
        if name in ("CONTENT_TYPE",):
            found.append(Header(name="Content-Type", value=value))
        elif name.startswith("HTTP_"):
            shown = name[5:].replace("_", "-").title()
            if shown.lower() not in _NOT_PASSED_ON:
                found.append(Header(name=shown, value=value))
    return tuple(found)
