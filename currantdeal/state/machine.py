"""Applies commands to the replicated state.

``apply_command`` is a pure function: the same commands in the same order give
the same state on every replica, independently of their clocks.
"""

from dataclasses import replace
from functools import singledispatch

from currantdeal.core import (
    FencingNumber,
    ParseError,
    check_label,
    parse_expression,
)
from currantdeal.state import claims as claim_rules
from currantdeal.state.audit import append_audit
from currantdeal.state.cluster import (
    Home,
    OrderRecord,
    SelectorRecord,
    UpstreamRecord,
)
from currantdeal.state.commands import (
    AbandonClaim,
    AnnounceUpstream,
    ApplySelector,
    AssignHome,
    ClaimCall,
    DeleteSelector,
    FinishClaim,
    FinishOrder,
    IssueOrder,
    OrderStatus,
    ReleaseClaim,
    RetireUpstream,
    SetDraining,
    SetLabels,
)
from currantdeal.state.results import (
    Applied,
    Conflict,
    HomeAssigned,
    Invalid,
    OrderIssued,
)

# Results of these are kept for resends.  All other commands are idempotent.
_DEDUPLICATED = (
    SetLabels,
    ApplySelector,
    DeleteSelector,
    IssueOrder,
    AssignHome,
)


def apply_command(state, command, *, version):
    """Return the next state and the result of a command.

    Parameters
    ----------
    state : ClusterState
        The state before the command.
    command : Command
        The command to apply.
    version : int
        Index of the command in the log; greater than ``state.version``.

    Examples
    --------
    >>> from currantdeal.core import Selector
    >>> from currantdeal.state import (
    ...     ApplySelector, ClusterState, Origin, apply_command)
    >>> origin = Origin(request_id="r1", actor="ana", instance="i1")
    >>> change = ApplySelector(
    ...     origin=origin, selector=Selector(name="all"), expected_version=0)
    >>> state, result = apply_command(ClusterState(), change, version=1)
    >>> result
    Applied(version=1)
    >>> apply_command(state, change, version=2)[1]
    Applied(version=1)
    """
    wall_s = max(state.log_wall_s, command.origin.wall_s)
    state = replace(state, version=version, log_wall_s=wall_s)
    known = state.results.get(command.origin.request_id)
    if known is not None and isinstance(command, _DEDUPLICATED):
        return state, known
    state, result = _apply(command, state)
    if isinstance(command, _DEDUPLICATED):
        state = _remember_result(state, command.origin.request_id, result)
    return state, result


def skip_entry(state, *, version):
    """Return the state after a log entry that holds no command."""
    return replace(state, version=version)


@singledispatch
def _apply(command, state):
    raise TypeError(f"not a command: {command!r}")


@_apply.register
def _(command: AnnounceUpstream, state):
    name = command.upstream.upstream_id
    before = state.upstreams.get(name)
    if before is None:
        after = UpstreamRecord(upstream=command.upstream)
    elif command.upstream.incarnation < before.upstream.incarnation:
        # A delayed announcement of an earlier incarnation would restore an
        # address and memory that no longer exist.  Requests sent there would
        # fail until the next announcement.
        return state, Conflict(
            current_version=before.upstream.incarnation,
            message="a later incarnation has announced itself",
        )
    else:
        after = replace(before, upstream=command.upstream, present=True)
    if after == before:
        return state, Applied(version=state.version)
    return _store_upstream(state, command, before, after)


@_apply.register
def _(command: RetireUpstream, state):
    before = state.upstreams.get(command.upstream_id)
    if before is None or before.upstream.incarnation != command.incarnation:
        return state, Invalid(message="no such incarnation of the upstream")
    if not before.present:
        return state, Applied(version=state.version)
    after = replace(before, present=False)
    return _store_upstream(state, command, before, after)


@_apply.register
def _(command: SetLabels, state):
    before = state.upstreams.get(command.upstream_id)
    if before is None:
        return state, Invalid(message="no such upstream")
    if conflict := _version_conflict(command, before.labels_version):
        return state, conflict
    try:
        for label in command.labels:
            check_label(label.name, label.value)
    except ParseError as exc:
        return state, Invalid(message=str(exc))
    changed = {label.name for label in command.labels}
    changed.update(command.removed)
    kept = [lb for lb in before.operator_labels if lb.name not in changed]
    removed = set(before.removed_labels) | set(command.removed)
    removed -= {label.name for label in command.labels}
    after = replace(
        before,
        operator_labels=(*kept, *command.labels),
        removed_labels=tuple(sorted(removed)),
        labels_version=state.version,
    )
    return _store_upstream(state, command, before, after)


@_apply.register
def _(command: ApplySelector, state):
    selector = command.selector
    before = state.selectors.get(selector.name)
    if conflict := _version_conflict(command, before.version if before else 0):
        return state, conflict
    try:
        check_label(selector.name, "")
        parse_expression(selector.expression)
    except ParseError as exc:
        return state, Invalid(message=str(exc))
    after = SelectorRecord(selector=selector, version=state.version)
    selectors = state.selectors.set(selector.name, after)
    state = replace(state, selectors=selectors)
    state = append_audit(state, command, selector.name, before, after)
    return state, Applied(version=state.version)


@_apply.register
def _(command: DeleteSelector, state):
    before = state.selectors.get(command.name)
    if before is None:
        return state, Invalid(message="no such selector")
    if conflict := _version_conflict(command, before.version):
        return state, conflict
    state = replace(state, selectors=state.selectors.delete(command.name))
    state = append_audit(state, command, command.name, before, None)
    return state, Applied(version=state.version)


@_apply.register
def _(command: AssignHome, state):
    before = state.homes.get(command.upstream_id)
    current = before.fence if before else 0
    if command.expected_fence != current:
        return state, Conflict(
            current_version=current,
            message="another instance became home of the upstream first",
        )
    fence = FencingNumber(state.last_fence + 1)
    home = Home(instance=command.home, fence=fence)
    homes = state.homes.set(command.upstream_id, home)
    state = replace(state, homes=homes, last_fence=fence)
    return state, HomeAssigned(version=state.version, fence=fence)


@_apply.register
def _(command: IssueOrder, state):
    if command.upstream_id not in state.upstreams:
        return state, Invalid(message="no such upstream")
    record = OrderRecord(
        order_id=state.version,
        upstream_id=command.upstream_id,
        order=command.order,
    )
    orders = state.orders.set(record.order_id, record)
    state = replace(state, orders=orders)
    state = append_audit(state, command, command.upstream_id, None, record)
    return state, OrderIssued(version=state.version, order_id=state.version)


@_apply.register
def _(command: FinishOrder, state):
    before = state.orders.get(command.order_id)
    if before is None:
        return state, Invalid(message="no such order")
    after = replace(before, status=command.status, detail=command.detail)
    orders = state.orders.set(command.order_id, after)
    finished = [
        number
        for number, record in orders.items()
        if record.status is not OrderStatus.PENDING
    ]
    for number in sorted(finished)[: -state.limits.finished_orders]:
        orders = orders.delete(number)
    state = replace(state, orders=orders)
    state = append_audit(state, command, before.upstream_id, before, after)
    return state, Applied(version=state.version)


@_apply.register
def _(command: SetDraining, state):
    before = state.draining.get(command.instance, False)
    if before == command.draining:
        return state, Applied(version=state.version)
    draining = (
        state.draining.delete(command.instance)
        if before
        else (state.draining.set(command.instance, True))
    )
    state = replace(state, draining=draining)
    state = append_audit(
        state, command, command.instance, before, command.draining
    )
    return state, Applied(version=state.version)


@_apply.register
def _(command: ClaimCall, state):
    return claim_rules.grant_claim(state, command)


@_apply.register
def _(command: FinishClaim, state):
    return claim_rules.finish_claim(state, command)


@_apply.register
def _(command: ReleaseClaim, state):
    return claim_rules.release_claim(state, command)


@_apply.register
def _(command: AbandonClaim, state):
    return claim_rules.abandon_claim(state, command)


def _version_conflict(command, current_version):
    if command.expected_version == current_version:
        return None
    return Conflict(
        current_version=current_version,
        message=(
            f"expected version {command.expected_version}, "
            f"but version {current_version} is in force"
        ),
    )


def _store_upstream(state, command, before, after):
    name = after.upstream.upstream_id
    state = replace(state, upstreams=state.upstreams.set(name, after))
    state = append_audit(state, command, name, before, after)
    return state, Applied(version=state.version)


def _remember_result(state, request_id, result):
    results = state.results.set(request_id, result)
    order = state.result_order.push(request_id)
    if len(order) > state.limits.remembered_results:
        results = results.delete(order.first)
        order = order.pop()
    return replace(state, results=results, result_order=order)
