"""Where requests wait until an engine may be reserved for them.

A few requests for each model try at a time; the others wait in fair order.
Without a bound every waiting request would ask the homes again and again
while all engines are full, most of all when there is least time for it.
"""

from dataclasses import dataclass

import pykka

from currantdeal.core import RequestId
from currantdeal.policy import (
    EVEN_WEIGHTS,
    Admission,
    FairQueue,
    Refused,
    StartRate,
)

SLOTS = 4
"""Requests for one model that ask for reservations at a time.

A reservation takes one round trip, about 25 ms between regions, so four
slots start 160 requests a second; an entry is offered some tens.
"""

WAIT_SLICE_S = 0.1
"""Interval at which a waiting request looks whether its caller is gone."""


@dataclass(frozen=True, kw_only=True)
class Ticket:
    """A place in the queue; ``turn`` is set when it is the request's turn."""

    request_id: RequestId
    target: str
    cost_s: float
    turn: pykka.Future


class WaitingRoom(pykka.ThreadingActor):
    """Admission and the fair queues of one instance, one for each model.

    Parameters
    ----------
    clock : Clock
        Time of admission.
    rng : random.Random
        Spreads the times at which refused callers come back.
    weights : policy.UserWeights
        What the user weighs more.
    caller_weights : mapping of CallerId to float
        Shares of callers.
    """

    use_daemon_thread = True

    def __init__(
        self, *, clock, rng, weights=EVEN_WEIGHTS, caller_weights=None
    ):
        """Start with empty queues."""
        super().__init__()
        self._clock = clock
        self._admission = Admission(rng=rng, weights=weights)
        self._caller_weights = caller_weights or {}
        self._lines = {}

    def enter(self, work, need, *, engines):
        """Return a ``Ticket``, or the ``Refused`` of admission.

        Parameters
        ----------
        engines : int
            Decode engines that match; the first guess of the start rate.
        """
        line = self._lines.get(work.target)
        if line is None:
            line = self._lines[work.target] = _Line(
                weights=self._caller_weights, engines=engines
            )
        decision = self._admission.decide(
            time_left_s=work.deadline_s - self._clock.monotonic_s(),
            cost_ahead_s=line.queue.cost_ahead_s(work.caller),
            cost_s=need.cost_s,
            queued_s=line.queue.cost_s,
            rate_per_s=line.rate.per_s,
            path_s=need.path_s,
        )
        if isinstance(decision, Refused):
            return decision
        line.queue.push(work, cost_s=need.cost_s)
        return self._wait_again(line, work, need.cost_s)

    def started(self, ticket):
        """Take in that a request has its reservations."""
        line = self._lines[ticket.target]
        line.rate.record(
            cost_s=ticket.cost_s,
            now_s=self._clock.monotonic_s(),
            waiting=len(line.queue) > 0,
        )
        self._free(line, ticket)

    def put_back(self, ticket):
        """Return a new ticket after the reservations were refused."""
        line = self._lines[ticket.target]
        queued = line.trying.pop(ticket.request_id)
        line.queue.put_back(queued)
        return self._wait_again(line, queued.work, queued.cost_s)

    def leave(self, ticket):
        """Take in that a request is given up."""
        line = self._lines[ticket.target]
        line.waiting.pop(ticket.request_id, None)
        line.queue.remove_if(
            lambda queued: queued.work.request_id == ticket.request_id
        )
        self._free(line, ticket)

    def _wait_again(self, line, work, cost_s):
        turn = pykka.ThreadingFuture()
        line.waiting[work.request_id] = turn
        self._call_next(line)
        return Ticket(
            request_id=work.request_id,
            target=work.target,
            cost_s=cost_s,
            turn=turn,
        )

    def _free(self, line, ticket):
        line.trying.pop(ticket.request_id, None)
        self._call_next(line)

    def _call_next(self, line):
        while len(line.trying) < SLOTS:
            queued = line.queue.pop()
            if queued is None:
                return
            request_id = queued.work.request_id
            line.trying[request_id] = queued
            line.waiting.pop(request_id).set(True)


class _Line:
    def __init__(self, *, weights, engines):
        self.queue = FairQueue(weights=weights)
        self.rate = StartRate(initial=float(max(1, engines)))
        self.waiting = {}
        self.trying = {}
