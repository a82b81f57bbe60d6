"""Chooses the upstream of a call that is not a generation."""

from currantdeal.entry.arrivals import ArrivalKind
from currantdeal.entry.errors import RefusedError
from currantdeal.policy.health.upstream_health import order_upstreams


async def may_repeat(context, active, error):
    """Return whether the retry budget allows the next attempt.

    Repeats after an ``error`` that mostly fail again use the credit of the
    requests at this entry alone.  The rest of the budget is kept for others.

    Parameters
    ----------
    error : _AttemptResult or None
        The last complete answer, an error.
    """
    service = active.service.name
    pays = error is None or context.repeat_outcomes.pays(
        service, now_s=context.now_s
    )
    if not pays and not context.retry_budgets.left().get(service):
        context.metrics.add("repeats_withheld_total", service=service)
        return False
    return await active.arrivals.may_send(ArrivalKind.CALL)


async def choose_upstream(context, active, attempted):
    """Return the upstream to try next; None if there is none.

    Raises
    ------
    RefusedError
        If the request has not run, and all upstreams are at their limits.
    """
    ordered = _order(context, active, attempted)
    while ordered:
        record = await _admitted(context, active, ordered)
        if record is None or context.view.accepts_work(record.upstream):
            return record
        # It left while the request waited.
        ordered = _order(context, active, attempted)
    return None


def _order(context, active, attempted):
    ready = [
        record
        for record in context.view.ready(active.service.name)
        if record.upstream not in attempted
    ]
    return order_upstreams(
        ready,
        context.health,
        random=context.random,
        now_s=context.now_s,
        is_unreachable=lambda name: context.load.reports.is_unreachable(
            name, now_s=context.now_s
        ),
        **context.departures.plain_options(active, ready, now_s=context.now_s),
    )


async def _admitted(context, active, ordered):
    """Return the first upstream that takes a request now.

    One in need, which limits its requests, is used if the others are busy.
    """
    unlimited, limited = context.limits.split(ordered)
    if not limited:
        return ordered[0]
    now_s = context.now_s
    reachable = [
        record
        for record in limited
        if not context.health.is_ejected(record.upstream, now_s=now_s)
    ]
    if unlimited:
        if context.health.has_room(unlimited[0], now_s=now_s):
            return unlimited[0]
        return await context.limits.admit_if_free(reachable) or unlimited[0]
    try:
        return await context.limits.admit(
            reachable or limited, context.limit_patience(active)
        )
    except RefusedError:
        if active.runs:
            return None
        raise
