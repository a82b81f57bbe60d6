"""The promises of the system, judged from outside.

Only what callers received and what the stand-ins wrote into their journals
counts here; the system's own counters and logs do not.
"""

from collections import Counter
from dataclasses import dataclass

from currantdeal.testing.engine_messages import EventKind
from currantdeal.testing.traffic import Kind, Received

WORK = (EventKind.PREFILL, EventKind.IMPORT)
WITHDRAWAL_S = 3.0


@dataclass(frozen=True, kw_only=True)
class Violation:
    """A promise that was not kept."""

    promise: str
    detail: str


def judge_answers(sent):
    """Return answers that were not whole or not the caller's own."""
    return [
        Violation(promise="whole answer to its own caller", detail=repr(one))
        for one in sent
        if one.received is Received.WRONG
    ]


def judge_orders(sent, runs):
    """Return orders that ran twice, or against what callers were told.

    Parameters
    ----------
    sent : sequence of Sent
        What callers sent and received.
    runs : sequence of ServiceRun
        Journals of the plain services.
    """
    count = Counter(run.key for run in runs if run.key)
    found = [
        Violation(promise="an order runs at most once", detail=f"{key}: {n}")
        for key, n in count.items()
        if n > 1
    ]
    for one in sent:
        if one.kind is Kind.ORDER and one.final:
            found += _judge_order(one, count[one.name])
    return found


def judge_refused_orders(sent, runs):
    """Return orders that ran before their caller was told "not run".

    Orders of which an earlier sending may have run are left out.
    """
    began_s = {run.key: run.wall_s for run in runs if run.key}
    doubtful = set()
    found = []
    for one in sorted(sent, key=lambda each: each.ended_s):
        if one.kind is not Kind.ORDER:
            continue
        if one.received not in (Received.NOT_RUN, Received.UNREACHABLE):
            doubtful.add(one.name)
        ran_s = began_s.get(one.name, one.ended_s)
        if one.name not in doubtful and ran_s < one.ended_s:
            found.append(
                Violation(promise='"not run" is true', detail=repr(one))
            )
    return found


def judge_cuts(sent, *, allowed=()):
    """Return requests that broke off at instances that did not fail.

    Parameters
    ----------
    allowed : container of str
        Addresses of instances that were killed or cut off.
    """
    return [
        Violation(promise="no request is cut off", detail=repr(one))
        for one in sent
        if one.received is Received.CUT and one.entry not in allowed
    ]


def judge_refusals(sent):
    """Return requests that were refused or failed."""
    refused = (Received.NOT_RUN, Received.UNKNOWN, Received.FAILED)
    return [
        Violation(promise="nothing is refused", detail=repr(one))
        for one in sent
        if one.received in refused
    ]


def judge_withdrawal(events, *, withdrawn_s):
    """Return work that an engine got too long after its withdrawal.

    Parameters
    ----------
    events : sequence of EngineEvent
        The engine's journal.
    withdrawn_s : float
        When the operator was told that the withdrawal is accepted, in
        seconds since the epoch.
    """
    return [
        Violation(promise="no work after a withdrawal", detail=repr(event))
        for event in events
        if event.kind in WORK and event.wall_s > withdrawn_s + WITHDRAWAL_S
    ]


def _judge_order(one, ran):
    if one.received is Received.WHOLE and ran != 1:
        detail = f"{one.name}: answered, but ran {ran} times"
        return [Violation(promise="an answered order ran", detail=detail)]
    if one.received is Received.NOT_RUN and ran:
        return [Violation(promise='"not run" is true', detail=repr(one))]
    return []
