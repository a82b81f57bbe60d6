"""Checks the guarantees of the system from the outside.

Each function returns the violations of one guarantee.  The checks use only
what callers received and the journals of the stand-ins; the system's own
counters and logs are not evidence.
"""

from collections import Counter
from dataclasses import dataclass

from currantdeal.testing.engine_messages import EventKind
from currantdeal.testing.traffic import Kind, Received

WORK = (EventKind.PREFILL, EventKind.IMPORT)
"""Events of an engine that begins new work."""

WITHDRAWAL_S = 3.0
"""Time within which a withdrawn upstream must stop receiving work."""


@dataclass(frozen=True, kw_only=True)
class Violation:
    """A violated guarantee and the observation that shows it."""

    promise: str
    detail: str


def find_wrong_answers(sent):
    """Return answers that were incomplete, altered or another caller's."""
    return [
        Violation(
            promise="whole answer to its own caller", detail=repr(attempt)
        )
        for attempt in sent
        if attempt.received is Received.WRONG
    ]


def find_order_violations(sent, runs):
    """Return orders that ran twice, or contrary to the answer.

    Parameters
    ----------
    sent : sequence of Attempt
        Attempts of all callers.
    runs : sequence of ServiceRun
        Journals of the plain services.
    """
    run_counts = Counter(run.key for run in runs if run.key)
    violations = [
        Violation(promise="an order runs at most once", detail=f"{key}: {n}")
        for key, n in run_counts.items()
        if n > 1
    ]
    for attempt in sent:
        if attempt.kind is Kind.ORDER and attempt.final:
            violations += _check_order_outcome(
                attempt, run_counts[attempt.name]
            )
    return violations


def find_refused_orders_that_ran(sent, runs):
    """Return orders that had run when their caller received "not run".

    Orders are excluded if an earlier attempt may have run.
    """
    ran_at_s = {run.key: run.wall_s for run in runs if run.key}
    possibly_run = set()
    violations = []
    for attempt in sorted(sent, key=lambda each: each.ended_s):
        if attempt.kind is not Kind.ORDER:
            continue
        if attempt.received not in (Received.NOT_RUN, Received.UNREACHABLE):
            possibly_run.add(attempt.name)
        ran_s = ran_at_s.get(attempt.name, attempt.ended_s)
        if attempt.name not in possibly_run and ran_s < attempt.ended_s:
            violations.append(
                Violation(promise='"not run" is true', detail=repr(attempt))
            )
    return violations


def find_interrupted_requests(sent, *, allowed=()):
    """Return requests that were interrupted at instances without a fault.

    Parameters
    ----------
    allowed : container of str
        Addresses of instances that were killed or partitioned.
    """
    return [
        Violation(promise="no request is cut off", detail=repr(attempt))
        for attempt in sent
        if attempt.received is Received.CUT and attempt.entry not in allowed
    ]


def find_refusals(sent):
    """Return requests that were refused or failed."""
    refused = (Received.NOT_RUN, Received.UNKNOWN, Received.FAILED)
    return [
        Violation(promise="nothing is refused", detail=repr(attempt))
        for attempt in sent
        if attempt.received in refused
    ]


def find_work_after_withdrawal(events, *, withdrawn_s):
    """Return work that an engine received too late after its withdrawal.

    Parameters
    ----------
    events : sequence of EngineEvent
        The engine's journal.
    withdrawn_s : float
        Time at which the operator received the confirmation of the
        withdrawal, in seconds since the epoch.
    """
    return [
        Violation(promise="no work after a withdrawal", detail=repr(event))
        for event in events
        if event.kind in WORK and event.wall_s > withdrawn_s + WITHDRAWAL_S
    ]


def _check_order_outcome(attempt, run_count):
    if attempt.received is Received.WHOLE and run_count != 1:
        detail = f"{attempt.name}: answered, but ran {run_count} times"
        return [Violation(promise="an answered order ran", detail=detail)]
    if attempt.received is Received.NOT_RUN and run_count:
        return [Violation(promise='"not run" is true', detail=repr(attempt))]
    return []
