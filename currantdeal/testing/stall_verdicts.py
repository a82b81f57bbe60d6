"""Tells which calls of slow callers were lost, and which had to be."""

from currantdeal.entry.service import ANSWER_MARGIN_S

GRACE_S = 8.0
LATE_S = 3.0
"""Seconds after a signal in which a request may outlast the process."""

LOSS_SLACK_S = 0.2


def works_by_request(standins):
    """Return the lists of ``Work`` by request id, prefills left out."""
    found = {}
    for standin in standins:
        for work in standin.works:
            if not work.request.is_prefill:
                found.setdefault(work.request.request_id, []).append(work)
    return found


def judge(end, works, signalled_s):
    """Return what became of a call.

    Parameters
    ----------
    end : CallEnd
        How it ended.
    works : sequence of Work
        What upstreams did for it.
    signalled_s : float
        When the process was signalled to stop; infinite if it was not.

    Returns
    -------
    str
        ``served``, ``refused`` (it has not run), ``failed`` (another status),
        ``ended`` (the same in the last sixth of the grace, when the process
        has to end), ``unconnected``, ``crossed`` (closed before it was
        taken), ``late`` (its time is over), ``outlasted`` (its upstream was
        still at work at the end of the grace), ``wrong`` or ``lost``.
    """
    last_sixth_s = signalled_s + GRACE_S * 5 / 6
    if end.how == "whole" and end.status in (200, 429, 503):
        return "served" if end.served else "refused"
    if end.how in ("unconnected", "wrong"):
        return end.how
    left_s = end.call.deadline_ms / 1e3 - ANSWER_MARGIN_S
    if end.ended_s >= end.began_s + left_s:
        return "late"
    if end.how == "whole":
        is_end = last_sixth_s < end.ended_s < signalled_s + GRACE_S
        return "ended" if is_end else "failed"
    if not works and end.ended_s < end.sent_s + LOSS_SLACK_S:
        return "crossed"
    is_timely = end.sent_s <= signalled_s + LATE_S
    if (
        is_timely
        and end.ended_s > last_sixth_s
        and any(work.began_s < last_sixth_s < work.ended_s for work in works)
    ):
        return "outlasted"
    return "lost"
