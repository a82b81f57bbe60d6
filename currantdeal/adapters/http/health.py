"""Endpoints for health, readiness, metrics and the list of entries."""

from currantdeal.adapters.http.errors import HttpError
from currantdeal.adapters.http.messages import Response, json_response
from currantdeal.adapters.settings import KeyKind
from currantdeal.membership import choose_entries
from currantdeal.ports import MemberStatus


class HealthEndpoints:
    """Endpoints about the instance itself and the entries callers can use.

    Parameters
    ----------
    state : StatePort
        Provides the lease on the replicated state and its version.
    members : MembersPort
        The known instances and their status.
    metrics : Metrics
        Registry that is rendered for scrapers.
    in_flight : InFlight
        Counts the requests in flight.
    region : RegionId
        Region of the instance; its entries are listed first.
    keep_s : float
        Time for which callers may cache the list of entries, in seconds.
    rng : random.Random
        Shuffles entries with equal load.
    draining : callable
        Returns True during a planned stop.
    """

    def __init__(
        self,
        *,
        state,
        members,
        metrics,
        in_flight,
        region,
        keep_s,
        rng,
        draining,
    ):
        """Store the collaborators."""
        self._in_flight = in_flight
        self._region = region
        self._rng = rng
        self._state = state
        self._members = members
        self._metrics = metrics
        self._keep_s = keep_s
        self._draining = draining

    def register(self, routes):
        """Add the endpoints."""
        routes.add("GET", "/healthz", self.healthz)
        routes.add("GET", "/readyz", self.readyz)
        routes.add("GET", "/metrics", self.metrics)
        routes.add("GET", "/v1/entries", self.entries, kind=KeyKind.CALLER)

    def healthz(self, request):
        """Answer that the process is alive."""
        return json_response({"status": "ok"})

    def readyz(self, request):
        """Answer whether this instance accepts new work."""
        if self._draining():
            raise HttpError(503, "draining", "the instance is being stopped")
        if self._state.lease_remaining_s() <= 0:
            raise HttpError(
                503,
                "no-lease",
                "the instance has no lease on the replicated state",
            )
        return json_response(
            {"status": "ready", "version": self._state.view().version}
        )

    def metrics(self, request):
        """Return the metrics in the text format of Prometheus."""
        self._update_gauges()
        content_type, text = self._metrics.render()
        return Response(headers=(("Content-Type", content_type),), body=text)

    def _update_gauges(self):
        alive = [
            member
            for member in self._members.members()
            if member.status is MemberStatus.ALIVE
        ]
        metrics = self._metrics
        metrics.set("requests_in_flight", self._in_flight.count)
        metrics.set("members_alive", len(alive))
        metrics.set("state_version", self._state.view().version)
        metrics.set("lease_remaining_seconds", self._state.lease_remaining_s())

    def entries(self, request):
        """Return the addresses that callers should use."""
        return json_response(
            choose_entries(
                self._members.members(),
                region=self._region,
                draining=self._state.view().draining,
                keep_s=self._keep_s,
                rng=self._rng,
            )
        )
