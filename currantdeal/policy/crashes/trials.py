"""Decides when a quarantined part of a prompt may be run once more.

A part may have been quarantined by mistake, and then nothing can clear it,
since all requests with it are refused.  So one of them is run from time to
time, as a trial.  Each crash doubles the wait, so that a part that does crash
upstreams costs a few of them a day.

While another part may have caused the same crashes, the trial is made at once
by a request without any other suspect part: its outcome decides between them.

Entries need no agreement on who runs the trial: each waits for a random share
of a time that grows with their number, and the outcome of the first trial is
known to all before the next one is due.
"""

from dataclasses import dataclass

FIRST_WAIT_S = 60.0
"""Wait after the crashes that suffice for a quarantine."""

LONGEST_WAIT_S = 21_600.0

CONTESTED_WAIT_S = 0.5
"""Wait if another part may have caused the same crashes."""

CONTESTED_SPREAD_PER_ENTRY_S = 0.25
"""Mean time between two such trials; a crash is known to all much sooner."""

FEWEST_CRASHES = 3
"""Crashes that suffice for a quarantine."""

SPREAD_PER_ENTRY_S = 5.0
"""Mean time between the trials of two entries; the longest run of a request
is of this order."""

MAX_VERDICTS = 512


@dataclass(frozen=True, kw_only=True)
class _Wait:
    crashes: int
    due_s: float


class Trials:
    """Trials of one entry.

    Parameters
    ----------
    random : random.Random
        Draws the share of the spread.

    Examples
    --------
    >>> import random
    >>> trials = Trials(random=random.Random(1))
    >>> part = frozenset({b"part"})
    >>> trials.is_due(part, crashes=3, entries=1, now_s=0.0)
    False
    >>> trials.is_due(part, crashes=3, entries=1, now_s=70.0)
    True
    >>> trials.is_due(part, crashes=3, entries=1, now_s=70.0)
    False
    """

    def __init__(self, *, random):
        """Start without verdicts."""
        self._random = random
        self._waits = {}

    def is_due(self, members, *, crashes, entries, now_s, contested=False):
        """Return whether a request is to be run as a trial now.

        Parameters
        ----------
        members : frozenset of bytes
            Identities that are quarantined together.
        crashes : int
            Number of crashes that count against them.
        entries : int
            Number of entries that may run trials.
        contested : bool
            Whether another part may have caused the same crashes, and the
            request has no other suspect part.
        """
        key = (members, contested)
        wait = self._waits.get(key)
        if wait is not None and wait.crashes == crashes and now_s < wait.due_s:
            return False
        is_due = wait is not None and wait.crashes == crashes
        self._waits.pop(key, None)
        self._waits[key] = _Wait(
            crashes=crashes,
            due_s=now_s + self._wait_s(crashes, entries, contested),
        )
        if len(self._waits) > MAX_VERDICTS:
            del self._waits[next(iter(self._waits))]
        return is_due

    def _wait_s(self, crashes, entries, contested):
        if contested:
            spread_s = CONTESTED_SPREAD_PER_ENTRY_S * entries
            return CONTESTED_WAIT_S + self._random.random() * spread_s
        doublings = max(0, crashes - FEWEST_CRASHES)
        wait_s = min(LONGEST_WAIT_S, FIRST_WAIT_S * 2.0**doublings)
        spread_s = SPREAD_PER_ENTRY_S * entries
        return wait_s + self._random.random() * spread_s
