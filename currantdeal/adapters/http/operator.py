"""Endpoints through which operators read and change the state.

Changes use compare-and-set on a version and carry a request id, so that a
retry after a lost answer returns the first answer.
"""

from dataclasses import dataclass, field
from urllib.parse import parse_qs

import msgspec

from currantdeal.adapters.http.errors import HttpError, bad_request
from currantdeal.adapters.http.messages import json_response
from currantdeal.adapters.settings import KeyKind
from currantdeal.core import (
    Label,
    Outcome,
    Selector,
    StateUnavailableError,
)
from currantdeal.state import (
    ApplySelector,
    Conflict,
    DeleteSelector,
    EngineOrder,
    Invalid,
    IssueOrder,
    Origin,
    SetDraining,
    SetLabels,
    read_audit,
)

PROPOSE_TIMEOUT_S = 5.0
MAX_WAIT_S = 60.0
MAX_AUDIT = 1_000


@dataclass(frozen=True, kw_only=True)
class LabelsBody:
    """Body that sets and removes labels."""

    request_id: str
    expected_version: int
    labels: tuple[Label, ...] = ()
    removed: tuple[str, ...] = ()
    wait_s: float = 0.0


@dataclass(frozen=True, kw_only=True)
class SelectorBody:
    """Body that creates or replaces a selector."""

    request_id: str
    expected_version: int
    selector: Selector
    wait_s: float = 0.0


@dataclass(frozen=True, kw_only=True)
class DeleteBody:
    """Body that deletes a selector."""

    request_id: str
    expected_version: int
    wait_s: float = 0.0


@dataclass(frozen=True, kw_only=True)
class DrainBody:
    """Body that starts or cancels a graceful shutdown."""

    request_id: str
    draining: bool = True
    wait_s: float = 0.0


@dataclass(frozen=True, kw_only=True)
class OrderBody:
    """Body that issues an order to an engine."""

    request_id: str
    upstream_id: str
    order: EngineOrder
    wait_s: float = 0.0


@dataclass(frozen=True, kw_only=True)
class ChangeAnswer:
    """Answer to an accepted change.

    Parameters
    ----------
    in_force_s : float or None
        Seconds until the change was in force on all instances; None if the
        request did not wait for that.
    """

    result: str
    version: int
    in_force_s: float | None = None
    order_id: int | None = None


@dataclass(frozen=True, kw_only=True)
class ShownUpstream:
    """An upstream as shown to operators."""

    upstream: object
    labels: dict
    labels_version: int
    present: bool
    withdrawn: bool
    home: object = None
    load: object = None


@dataclass(frozen=True, kw_only=True)
class Status:
    """Status of the whole system as seen by one instance."""

    instance: str
    region: str
    version: int
    leader: str | None
    lease_remaining_s: float
    draining: tuple = ()
    progress: tuple = ()
    members: tuple = ()
    loads: tuple = field(default=())


class OperatorEndpoints:
    """Endpoints for operators.

    Parameters
    ----------
    state : StatePort
        The replicated state, to which changes are proposed.
    homes, members : HomesPort, MembersPort
        Shown in the status.
    instance, region : str
        This instance.
    clock : Clock
        Source of the time of changes.
    """

    def __init__(self, *, state, homes, members, instance, region, clock):
        """Store the collaborators."""
        self._state = state
        self._homes = homes
        self._members = members
        self._instance = instance
        self._region = region
        self._clock = clock

    def register(self, routes):
        """Add the endpoints."""
        base = "/operator"
        upstream = f"{base}/upstreams/(?P<name>[^/]+)"
        selector = f"{base}/selectors/(?P<name>[^/]+)"
        instance = f"{base}/instances/(?P<name>[^/]+)"
        for methods, pattern, handler in (
            ("GET", f"{base}/status", self.status),
            ("GET", f"{base}/upstreams", self.upstreams),
            ("POST", f"{upstream}/labels", self.set_labels),
            ("GET", f"{base}/selectors", self.selectors),
            ("PUT", selector, self.apply_selector),
            ("DELETE", selector, self.delete_selector),
            ("POST", f"{instance}/drain", self.drain),
            ("GET", f"{base}/orders", self.orders),
            ("POST", f"{base}/orders", self.issue_order),
            ("GET", f"{base}/audit", self.audit),
        ):
            routes.add(methods, pattern, handler, kind=KeyKind.OPERATOR)

    def status(self, request):
        """Return which version is in force, and on which instances."""
        # The lease is read before the view.  Otherwise a lease granted in
        # between would be shown with the version from before it, as if work
        # were started under an outdated version.
        lease_remaining_s = self._state.lease_remaining_s()
        state = self._state.view()
        reports = map(self._homes.load, sorted(state.upstreams))
        return json_response(
            Status(
                instance=self._instance,
                region=self._region,
                version=state.version,
                leader=self._state.leader(),
                lease_remaining_s=lease_remaining_s,
                draining=tuple(sorted(state.draining)),
                progress=self._progress(),
                members=self._members.members(),
                loads=tuple(found for found in reports if found is not None),
            )
        )

    def upstreams(self, request):
        """List the upstreams with the labels in force."""
        state = self._state.view()
        items = [
            self._shown(state, state.upstreams[name])
            for name in sorted(state.upstreams)
        ]
        return json_response({"version": state.version, "upstreams": items})

    def set_labels(self, request):
        """Set and remove labels of an upstream."""
        body = request.json(LabelsBody)
        return self._change(
            body,
            SetLabels(
                origin=self._origin(request, body),
                upstream_id=request.groups["name"],
                labels=body.labels,
                removed=body.removed,
                expected_version=body.expected_version,
            ),
        )

    def selectors(self, request):
        """List the selectors."""
        state = self._state.view()
        items = [state.selectors[name] for name in sorted(state.selectors)]
        return json_response({"version": state.version, "selectors": items})

    def apply_selector(self, request):
        """Create or replace a selector."""
        body = request.json(SelectorBody)
        if body.selector.name != request.groups["name"]:
            raise bad_request("selector.name: not the one in the path")
        return self._change(
            body,
            ApplySelector(
                origin=self._origin(request, body),
                selector=body.selector,
                expected_version=body.expected_version,
            ),
        )

    def delete_selector(self, request):
        """Delete a selector."""
        body = request.json(DeleteBody)
        return self._change(
            body,
            DeleteSelector(
                origin=self._origin(request, body),
                name=request.groups["name"],
                expected_version=body.expected_version,
            ),
        )

    def drain(self, request):
        """Start or cancel the graceful shutdown of an instance."""
        body = request.json(DrainBody)
        return self._change(
            body,
            SetDraining(
                origin=self._origin(request, body),
                instance=request.groups["name"],
                draining=body.draining,
            ),
        )

    def orders(self, request):
        """List engine orders."""
        state = self._state.view()
        items = [state.orders[number] for number in sorted(state.orders)]
        return json_response({"version": state.version, "orders": items})

    def issue_order(self, request):
        """Issue an order to an engine."""
        body = request.json(OrderBody)
        return self._change(
            body,
            IssueOrder(
                origin=self._origin(request, body),
                upstream_id=body.upstream_id,
                order=body.order,
            ),
        )

    def audit(self, request):
        """Return part of the audit trail."""
        query = parse_qs(request.query)
        after = _parse_number(query, "after", 0)
        limit = min(_parse_number(query, "limit", 100), MAX_AUDIT)
        records = read_audit(
            self._state.view(), after_version=after, limit=limit
        )
        return json_response({"records": records})

    def _progress(self):
        # A partitioned instance must still report its view, since that is
        # when an operator needs the status.
        try:
            return self._state.progress()
        except StateUnavailableError:
            return ()

    def _shown(self, state, record):
        name = record.upstream.upstream_id
        return ShownUpstream(
            upstream=record.upstream,
            labels=record.labels,
            labels_version=record.labels_version,
            present=record.present,
            withdrawn=record.withdrawn,
            home=state.homes.get(name),
            load=self._homes.load(name),
        )

    def _change(self, body, command):
        try:
            result = self._state.propose(command, timeout_s=PROPOSE_TIMEOUT_S)
        except StateUnavailableError as exc:
            verb = "may still be" if exc.proposed else "was not"
            raise HttpError(
                503,
                "state-unavailable",
                f"no quorum answered in time; the change {verb} made; "
                "retry with the same request id",
                headers=(("Retry-After", "1"),),
                outcome=Outcome.UNKNOWN if exc.proposed else Outcome.NOT_RUN,
            ) from exc
        if isinstance(result, Conflict):
            raise HttpError(
                409,
                "conflict",
                f"{result.message}; the current version is "
                f"{result.current_version}: read it before another change",
            )
        if isinstance(result, Invalid):
            raise HttpError(422, "invalid", result.message)
        return json_response(
            ChangeAnswer(
                result=type(result).__name__,
                version=result.version,
                in_force_s=self._wait(body, result.version),
                order_id=getattr(result, "order_id", None),
            )
        )

    def _wait(self, body, version):
        if body.wait_s <= 0:
            return None
        try:
            return self._state.wait_in_force(
                version, timeout_s=min(body.wait_s, MAX_WAIT_S)
            )
        except StateUnavailableError as exc:
            raise HttpError(
                504,
                "not-in-force",
                f"version {version} is accepted but was not in force on all "
                "instances in time",
                outcome=Outcome.UNKNOWN,
            ) from exc

    def _origin(self, request, body):
        return Origin(
            request_id=body.request_id,
            actor=request.key.name if request.key else "operator",
            instance=self._instance,
            address=request.client_address,
            wall_s=self._clock.wall_s(),
        )


def _parse_number(query, name, default):
    text = query.get(name, [str(default)])[0]
    try:
        return max(0, msgspec.convert(text, int, strict=False))
    except msgspec.ValidationError as exc:
        raise bad_request(f"{name}: {exc}") from exc
