"""Endpoints for announcements, renewals and withdrawals of upstreams."""

import uuid
from dataclasses import dataclass

from currantdeal.adapters.http.errors import HttpError, bad_request, not_found
from currantdeal.adapters.http.messages import json_response
from currantdeal.adapters.settings import KeyKind
from currantdeal.core import (
    LoadReport,
    ParseError,
    StateUnavailableError,
    Upstream,
    check_label,
)
from currantdeal.state import (
    AnnounceUpstream,
    Applied,
    Conflict,
    Origin,
    RetireUpstream,
)

PROPOSE_TIMEOUT_S = 2.0


@dataclass(frozen=True, kw_only=True)
class WithdrawBody:
    """Body of a withdrawal."""

    incarnation: int


class UpstreamEndpoints:
    """Endpoints for upstreams.

    Parameters
    ----------
    state : StatePort
        The replicated state, to which announcements are proposed.
    homes : HomesPort
        Receives load reports.
    instance : InstanceId
        This instance.
    renew_every_s : float
        Interval at which upstreams have to renew, in seconds.
    clock : Clock
        Source of the time of changes.
    """

    def __init__(self, *, state, homes, instance, renew_every_s, clock):
        """Store the collaborators."""
        self._state = state
        self._homes = homes
        self._instance = instance
        self._renew_every_s = renew_every_s
        self._clock = clock

    def register(self, routes):
        """Add the endpoints."""
        kind = KeyKind.UPSTREAM
        name = r"/upstreams/(?P<name>[^/]+)"
        routes.add("POST", "/upstreams/announce", self.announce, kind=kind)
        routes.add("POST", f"{name}/renew", self.renew, kind=kind)
        routes.add("POST", f"{name}/withdraw", self.withdraw, kind=kind)

    def announce(self, request):
        """Register an upstream."""
        upstream = request.json(Upstream)
        _validate(upstream)
        result = self._propose(
            AnnounceUpstream(
                origin=self._origin(request, "announce"), upstream=upstream
            )
        )
        return json_response(
            {"version": result.version, "renew_every_s": self._renew_every_s}
        )

    def renew(self, request):
        """Renew an upstream and record its load."""
        report = request.json(LoadReport)
        name = request.groups["name"]
        if report.upstream_id != name:
            raise bad_request("upstream_id: not the one in the path")
        if self._state.lease_remaining_s() <= 0.0:
            # A partitioned instance cannot relay the renewal.  If it
            # accepted it, the upstream would keep renewing here, the others
            # would retire it as silent, and it would get no work until the
            # partition ends.
            raise HttpError(
                503,
                "no-lease",
                "this instance has no lease on the replicated state; renew at "
                "another one",
                headers=(("Retry-After", "1"),),
            )
        record = self._state.view().upstreams.get(name)
        if (
            record is None
            or not record.present
            or record.upstream.incarnation != report.incarnation
        ):
            raise not_found(
                "unknown upstream or incarnation; announce it again"
            )
        self._homes.report_load(report)
        return json_response({"renew_every_s": self._renew_every_s})

    def withdraw(self, request):
        """Retire an upstream at its own request."""
        body = request.json(WithdrawBody)
        result = self._propose(
            RetireUpstream(
                origin=self._origin(request, "withdraw"),
                upstream_id=request.groups["name"],
                incarnation=body.incarnation,
                reason="withdrawn by itself",
            )
        )
        return json_response({"version": result.version})

    def _propose(self, command):
        try:
            result = self._state.propose(command, timeout_s=PROPOSE_TIMEOUT_S)
        except StateUnavailableError as exc:
            raise HttpError(
                503,
                "state-unavailable",
                "no quorum confirmed the change in time; send it again",
                headers=(("Retry-After", "1"),),
            ) from exc
        if isinstance(result, Applied):
            return result
        if isinstance(result, Conflict):
            raise HttpError(409, "conflict", result.message)
        raise HttpError(422, "invalid", result.message)

    def _origin(self, request, name):
        return Origin(
            request_id=f"{name}/{uuid.uuid4().hex}",
            actor=request.key.name if request.key else "upstream",
            instance=self._instance,
            address=request.client_address,
            wall_s=self._clock.wall_s(),
        )


def _validate(upstream):
    host, _, port = upstream.address.rpartition(":")
    if not host or not port.isdigit():
        raise bad_request("address: expected IP:PORT")
    try:
        check_label(upstream.upstream_id, "")
        for label in upstream.labels:
            check_label(label.name, label.value)
    except ParseError as exc:
        raise bad_request(str(exc)) from exc
