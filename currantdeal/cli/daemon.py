"""Builds, starts and stops one instance of ``currantdeal serve``.

``Daemon`` builds the HTTP endpoints and the drain over the given ``Ports``.
Each part behind the ports that has to be started and stopped is a ``Runner``,
so that a further part needs only one more entry in a list.

See Also
--------
currantdeal.cli.wiring : builds the ports of an instance
"""

import random
from collections.abc import Callable
from dataclasses import dataclass

import structlog

from currantdeal.adapters.connections import Connections
from currantdeal.adapters.engines import HttpEngines
from currantdeal.adapters.http import App, HttpServer, Routes
from currantdeal.adapters.http.auth import KeyRing
from currantdeal.adapters.http.generation import GenerationEndpoints
from currantdeal.adapters.http.health import HealthEndpoints
from currantdeal.adapters.http.intake import Intake
from currantdeal.adapters.http.operator import OperatorEndpoints
from currantdeal.adapters.http.services import ServiceEndpoints
from currantdeal.adapters.http.upstreams import UpstreamEndpoints
from currantdeal.adapters.services import HttpServices
from currantdeal.cli.drain import Drain
from currantdeal.cli.serving import build_serving
from currantdeal.ports import HomesPort, MembersPort, StatePort

RESERVED_THREADS_DIVISOR = 8
MIN_RESERVED_THREADS = 4
"""Threads reserved for short answers: an eighth of all, at least four."""

_log = structlog.get_logger(__name__)


@dataclass(frozen=True, kw_only=True)
class Runner:
    """A part of the instance that runs beside the HTTP server.

    Parameters
    ----------
    name : str
        Name in the log line of a failed stop.
    start, stop : callable
        Called once each; runners stop in the reverse order of their start.
    """

    name: str
    start: Callable[[], object]
    stop: Callable[[], object]


@dataclass(frozen=True, kw_only=True)
class Ports:
    """The ports of an instance and the runners behind them.

    Parameters
    ----------
    runners : tuple of Runner
        Started in this order, before callers are served.
    hand_over : tuple of callable
        Handovers to other instances; called in this order at the end of a
        drain, when no request is served any more.
    """

    state: StatePort
    homes: HomesPort
    members: MembersPort
    runners: tuple[Runner, ...] = ()
    hand_over: tuple[Callable[[], object], ...] = ()


class Daemon:
    """One instance: its listener, its endpoints, its runners and its drain.

    Parameters
    ----------
    settings : Settings
        Settings of this instance.
    ports : Ports
        Replicated state, homes and membership.
    clock : Clock
        Clock of the services and endpoints.
    metrics : Metrics
        Registry of the whole instance.
    """

    def __init__(self, *, settings, ports, clock, metrics):
        """Build all parts and bind the listener; ``start`` runs them."""
        self._settings = settings
        self._ports = ports
        self._clock = clock
        self._metrics = metrics
        connections = Connections()
        self._serving = build_serving(
            settings=settings,
            ports=ports,
            engines=HttpEngines(connections=connections),
            services=HttpServices(connections=connections),
            clock=clock,
            metrics=metrics,
            limit=_max_concurrent_requests(settings.threads),
        )
        self._keys = KeyRing(keys=settings.keys)
        self._http = self._build_http()
        self._drain = self._build_drain()

    @property
    def caller_address(self):
        """``IP:PORT`` at which callers are served."""
        host, _, _ = self._settings.caller_address.rpartition(":")
        return f"{host}:{self._http.port}"

    def start(self):
        """Start the runners, then the drain, then serve callers."""
        for runner in self._ports.runners:
            runner.start()
        self._serving.disconnects.start()
        self._drain.start()
        self._http.start()
        if self._keys.is_open:
            _log.warning(
                "no keys in the settings: only loopback addresses are served"
            )
        _log.info("serving", address=self.caller_address)

    def request_stop(self):
        """Begin the graceful shutdown; return at once."""
        self._drain.begin()

    def wait(self):
        """Wait for the end of the graceful shutdown, then stop all parts."""
        self._drain.wait()
        self.stop()

    def stop(self):
        """Stop all parts at once; ``request_stop`` stops gracefully."""
        self._drain.stop()
        self._serving.disconnects.stop()
        self._http.stop()
        for runner in reversed(self._ports.runners):
            try:
                runner.stop()
            except Exception:
                _log.exception("stop failed", part=runner.name)
        self._serving.stop()
        _log.info("stopped")

    def _build_drain(self):
        return Drain(
            instance=self._settings.instance,
            ports=self._ports,
            serving=self._serving,
            http=self._http,
            keep_s=self._settings.timing.entries_keep_s,
            clock=self._clock,
        )

    def _build_http(self):
        host, _, port = self._settings.caller_address.rpartition(":")
        return HttpServer(
            app=App(
                routes=self._build_routes(),
                keys=self._keys,
                metrics=self._metrics,
                max_body_bytes=self._settings.max_body_bytes,
            ),
            host=host,
            port=int(port),
            threads=self._settings.threads,
            max_header_bytes=self._settings.max_header_bytes,
            max_body_bytes=self._settings.max_body_bytes,
        )

    def _build_routes(self):
        routes = Routes()
        for endpoints in (
            *self._caller_endpoints(),
            self._upstream_endpoints(),
            self._operator_endpoints(),
            self._health_endpoints(),
        ):
            endpoints.register(routes)
        return routes

    def _caller_endpoints(self):
        serving = self._serving
        intake = Intake(
            region=self._settings.region,
            deadline_s=self._settings.timing.deadline_s,
            clock=self._clock,
        )
        return (
            GenerationEndpoints(
                service=serving.generation,
                view=serving.view,
                intake=intake,
                in_flight=serving.in_flight,
                clock=self._clock,
            ),
            ServiceEndpoints(
                service=serving.calls,
                intake=intake,
                in_flight=serving.in_flight,
            ),
        )

    def _upstream_endpoints(self):
        return UpstreamEndpoints(
            state=self._ports.state,
            homes=self._ports.homes,
            instance=self._settings.instance,
            renew_every_s=self._settings.timing.announce_renew_s,
            clock=self._clock,
        )

    def _operator_endpoints(self):
        return OperatorEndpoints(
            state=self._ports.state,
            homes=self._ports.homes,
            members=self._ports.members,
            instance=self._settings.instance,
            region=self._settings.region,
            clock=self._clock,
        )

    def _health_endpoints(self):
        return HealthEndpoints(
            state=self._ports.state,
            members=self._ports.members,
            metrics=self._metrics,
            in_flight=self._serving.in_flight,
            region=self._settings.region,
            keep_s=self._settings.timing.entries_keep_s,
            rng=random.Random(),
            draining=lambda: self._drain.draining,
        )


def _max_concurrent_requests(threads):
    reserved = max(MIN_RESERVED_THREADS, threads // RESERVED_THREADS_DIVISOR)
    return max(1, threads - reserved)
