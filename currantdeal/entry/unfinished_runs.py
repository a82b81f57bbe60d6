"""Runs that ended early, for which a crash of the upstream is not confirmed.

A crash may be noticed elsewhere only: another entry finds the upstream gone,
while here its connection was reset, its answer did not come, or the caller had
left before.
"""

from collections import deque
from dataclasses import dataclass

from currantdeal.policy.crashes.evidence import Crash

KEEP_S = 5.0
"""Time for which a run is kept; a crash is known everywhere long before."""

MAX_RUNS = 512
MAX_CRASHES = 64


@dataclass(frozen=True, kw_only=True, eq=False)
class UnfinishedRun:
    """A run that ended early.

    Parameters
    ----------
    identities : tuple of bytes
        Identities of its request.
    crash : Crash
        The crash that it would be.
    ended_s : float
        Loop time at which it ended.
    """

    identities: tuple[bytes, ...]
    crash: Crash
    ended_s: float


class UnfinishedRuns:
    """The latest runs that ended early, and the latest crashes."""

    def __init__(self):
        """Start without runs."""
        self._runs = deque(maxlen=MAX_RUNS)
        self._crashed = deque(maxlen=MAX_CRASHES)

    def add(self, run):
        """Keep a run for ``KEEP_S``; returns False if its crash is known."""
        if run.crash.incarnation in self._crashed:
            return False
        self._runs.append(run)
        return True

    def record_crash(self, incarnation, *, now_s):
        """Remove and return the runs that ended in a crash."""
        if incarnation not in self._crashed:
            self._crashed.append(incarnation)
        while self._runs and now_s - self._runs[0].ended_s > KEEP_S:
            self._runs.popleft()
        found = [r for r in self._runs if r.crash.incarnation == incarnation]
        for run in found:
            self._runs.remove(run)
        return found
