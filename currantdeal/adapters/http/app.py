"""The WSGI application: routes requests, checks keys, answers errors."""

import re
from dataclasses import dataclass
from http import HTTPStatus

import structlog

from currantdeal.adapters.http.errors import HttpError, not_found
from currantdeal.adapters.http.messages import OPEN_ENDED, Request
from currantdeal.adapters.http.problems import (
    problem,
    problem_response,
    refusal_response,
)
from currantdeal.adapters.settings import KeyKind
from currantdeal.core import Outcome
from currantdeal.serving.errors import CallerDisconnectedError, RefusedError

CLIENT_CLOSED_STATUS = 400

_log = structlog.get_logger(__name__)


@dataclass(frozen=True, kw_only=True)
class Route:
    """One endpoint.

    Parameters
    ----------
    methods : frozenset of str
        HTTP methods; empty for all.
    pattern : re.Pattern
        Matched against the whole path; its named groups are passed to the
        handler.
    handler : callable
        Takes a ``Request`` and returns a ``Response``.
    kind : KeyKind or None
        Kind of key that is required; None for no key.
    """

    methods: frozenset[str]
    pattern: re.Pattern
    handler: object
    kind: KeyKind | None = None


class Routes:
    """Routing table of an instance.

    Examples
    --------
    >>> routes = Routes()
    >>> routes.add("GET", "/things/(?P<name>[^/]+)", lambda request: request)
    >>> routes.find("GET", "/things/oven")[1]
    {'name': 'oven'}
    """

    def __init__(self):
        """Start with no routes."""
        self._routes = []

    def add(self, methods, pattern, handler, *, kind=None):
        """Add an endpoint; methods are separated by spaces."""
        self._routes.append(
            Route(
                methods=frozenset(methods.split()),
                pattern=re.compile(pattern),
                handler=handler,
                kind=kind,
            )
        )

    def find(self, method, path):
        """Return the matching route and the groups of its pattern."""
        allowed_methods = set()
        for route in self._routes:
            match = route.pattern.fullmatch(path)
            if match is None:
                continue
            if not route.methods or method in route.methods:
                return route, match.groupdict()
            allowed_methods |= route.methods
        if allowed_methods:
            raise HttpError(
                405,
                "wrong-method",
                f"{method} is not allowed for {path}",
                headers=(("Allow", ", ".join(sorted(allowed_methods))),),
            )
        raise not_found(f"no endpoint at {path}")


class App:
    """WSGI application that passes requests to the handlers of routes.

    Parameters
    ----------
    routes : Routes
        The endpoints.
    keys : KeyRing
        Keys that requests are checked against.
    metrics : MetricsPort
        Counts answers by status, and refusals.
    max_body_bytes : int
        Requests with larger bodies are refused.
    """

    def __init__(self, *, routes, keys, metrics, max_body_bytes):
        """Store the collaborators."""
        self._routes = routes
        self._keys = keys
        self._metrics = metrics
        self._max_body_bytes = max_body_bytes

    def __call__(self, environ, start_response):
        """Serve one request through the WSGI interface."""
        response = self._answer(environ)
        self._metrics.add("http_answers_total", status=str(response.status))
        reason_phrase = _status_phrase(response.status)
        start_response(
            f"{response.status} {reason_phrase}", list(response.headers)
        )
        if not response.is_known_whole:
            environ[OPEN_ENDED] = True
            # The server states a length for a list.
            return iter((response.body,))
        if isinstance(response.body, bytes):
            return [response.body]
        return response.body

    def _answer(self, environ):
        try:
            return self._handle(environ)
        except HttpError as exc:
            return problem_response(
                problem(
                    exc.status,
                    exc.reason,
                    str(exc),
                    outcome=exc.outcome.value,
                ),
                headers=exc.headers,
            )
        except RefusedError as exc:
            self._metrics.add(
                "refusals_total",
                reason=exc.reason.value,
                outcome=exc.outcome.value,
            )
            return refusal_response(exc)
        except CallerDisconnectedError:
            self._metrics.add("callers_gone_total")
            return problem_response(
                problem(
                    CLIENT_CLOSED_STATUS,
                    "caller-gone",
                    "the client closed the connection",
                )
            )
        except Exception:
            # A fault in a handler must not end the thread or expose internals
            # to the caller; it is logged and counted.
            _log.exception("handler failed", path=environ.get("PATH_INFO"))
            self._metrics.add("handler_faults_total")
            return problem_response(
                problem(
                    500,
                    "internal",
                    "internal error of the instance",
                    outcome=Outcome.UNKNOWN.value,
                )
            )

    def _handle(self, environ):
        method = environ["REQUEST_METHOD"]
        path = environ["PATH_INFO"]
        route, groups = self._routes.find(method, path)
        key = None
        if route.kind is not None:
            key = self._keys.check(
                route.kind,
                environ.get("HTTP_AUTHORIZATION", ""),
                environ.get("REMOTE_ADDR", ""),
            )
        request = Request(
            method=method,
            path=path,
            raw_path=environ.get("REQUEST_URI", path),
            environ=environ,
            groups=groups,
            body=self._read_body(environ),
            key=key,
            is_disconnected=environ.get(
                "waitress.client_disconnected", _never
            ),
        )
        return route.handler(request)

    def _read_body(self, environ):
        raw = environ["wsgi.input"].read(self._max_body_bytes + 1)
        if len(raw) > self._max_body_bytes:
            raise HttpError(
                413,
                "body-too-large",
                f"the body exceeds the limit of {self._max_body_bytes} bytes",
            )
        return raw


def _status_phrase(status):
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"


def _never():
    return False
