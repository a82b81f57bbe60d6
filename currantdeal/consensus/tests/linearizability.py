"""Linearizability checker for recorded histories, after Wing and Gong [1]_.

References
----------
.. [1] J. M. Wing and C. Gong, "Testing and Verifying Concurrent Objects",
   1993.
"""

import math
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, kw_only=True)
class Operation:
    """One call of a client.

    Parameters
    ----------
    call_s, return_s : float
        Real times between which the call took effect.  The return time of a
        call without an answer is infinite; such a call may never take effect.
    request, answer : object
        Hashable request and answer; the answer is None if it is unknown.
    """

    call_s: float
    request: Any
    answer: Any = None
    return_s: float = math.inf


def is_linearizable(history, *, start, step):
    """Return whether a sequential order of the operations fits all answers.

    Parameters
    ----------
    history : sequence of Operation
        Operations on one object.
    start : object
        Hashable initial state.
    step : callable
        Takes a state and a request; returns the next state and the answer.
    """
    history = sorted(history, key=lambda op: op.call_s)
    answered = sum(1 << n for n, op in enumerate(history) if op.answer)
    todo = [(0, start)]
    seen = set(todo)
    while todo:
        done, state = todo.pop()
        if done & answered == answered:
            return True
        for position in _next_positions(history, done):
            op = history[position]
            next_state, answer = step(state, op.request)
            if op.answer is not None and op.answer != answer:
                continue
            candidate = (done | 1 << position, next_state)
            if candidate not in seen:
                seen.add(candidate)
                todo.append(candidate)
    return False


def _next_positions(history, done):
    remaining = [n for n in range(len(history)) if not done >> n & 1]
    first_return_s = min(history[n].return_s for n in remaining)
    return [n for n in remaining if history[n].call_s <= first_return_s]
