"""A small checker of recorded histories, after Wing and Gong [1]_.

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
        Real times between which it took effect; the return of a call
        without an answer is infinite, and it may never take effect.
    ask, answer : object
        Hashable; the answer is None when it is not known.
    """

    call_s: float
    ask: Any
    answer: Any = None
    return_s: float = math.inf


def is_linearizable(history, *, start, step):
    """Return whether some order of the operations explains all answers.

    Parameters
    ----------
    history : sequence of Operation
        Operations on one object.
    start : object
        Hashable state at the beginning.
    step : callable
        Takes a state and an ask; returns the next state and the answer.
    """
    history = sorted(history, key=lambda op: op.call_s)
    known = sum(1 << n for n, op in enumerate(history) if op.answer)
    todo = [(0, start)]
    seen = set(todo)
    while todo:
        done, state = todo.pop()
        if done & known == known:
            return True
        for place in _next_places(history, done):
            op = history[place]
            after, answer = step(state, op.ask)
            if op.answer is not None and op.answer != answer:
                continue
            found = (done | 1 << place, after)
            if found not in seen:
                seen.add(found)
                todo.append(found)
    return False


def _next_places(history, done):
    waiting = [n for n in range(len(history)) if not done >> n & 1]
    first_return_s = min(history[n].return_s for n in waiting)
    return [n for n in waiting if history[n].call_s <= first_return_s]
