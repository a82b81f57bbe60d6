"""Evidence that an identity crashes upstreams, and its weight."""

from dataclasses import dataclass

from currantdeal.policy.crashes.identity import IdentityKind, kind_of

EARLY_WEIGHT = 3
"""Weight of the crash of an upstream that had sent no output for a request."""

LATE_WEIGHT = 1
"""Weight of the crash of an upstream that had sent output for a request."""

LATE_PART_WEIGHT = 2
"""Weight of the crash of an upstream that had sent output for a part.

Unlike a long stream, a part is rarely present at crashes by chance and never
completed.
"""

MIXED_PART_WEIGHT = 1
"""Weight of a crash under several requests with a part, one of which had
sent output.

A part with many concurrent requests is present at most crashes.
"""

QUARANTINE_SCORE = 3 * EARLY_WEIGHT
"""Total weight of crashes at which an identity is quarantined."""

CERTAIN_SCORE = 5 * EARLY_WEIGHT
"""Total weight at which identities that were present at the same crashes are
all quarantined."""

MAX_CRASHES_OF_PART = 5
"""Number of crashes at which a part that never completed is quarantined,
whatever their weight."""

SOUND_SCORE = 8 * EARLY_WEIGHT
"""Total weight at which a part is quarantined that has also completed.

A wrong verdict on a popular part refuses most requests.
"""


@dataclass(frozen=True, kw_only=True)
class Crash:
    """The crash of an upstream that ran requests with an identity.

    Parameters
    ----------
    started_ms : int
        Unix time at which the process started.
    early : bool
        True if the upstream had sent no output for one of them.
    software : str
        Version of the software of the upstream, or empty.
    late : bool
        True if it had sent output for another one of them.
    request_id : str
        Id of one of them, an early one if there is one, or empty.
    """

    upstream: str
    started_ms: int
    early: bool = True
    software: str = ""
    late: bool = False
    request_id: str = ""

    @property
    def incarnation(self):
        """Identity of the process that crashed."""
        return (self.upstream, self.started_ms)

    def weight(self, kind):
        """Weight of this crash in the score of an identity of a kind."""
        if kind is IdentityKind.REQUEST:
            return EARLY_WEIGHT if self.early else LATE_WEIGHT
        if self.early:
            return MIXED_PART_WEIGHT if self.late else EARLY_WEIGHT
        return LATE_PART_WEIGHT

    def is_under_same_request(self, crashes):
        """Return whether one of several crashes has the same request.

        Parameters
        ----------
        crashes : dict of tuple to Crash
            Crashes under another identity, by incarnation.
        """
        other = crashes.get(self.incarnation)
        return other is not None and (
            bool(self.request_id) and other.request_id == self.request_id
        )

    def merge(self, other):
        """Return what both records of the same crash state together."""
        early = self.early or other.early
        first = min(self, other, key=_order_of_requests)
        return Crash(
            upstream=self.upstream,
            started_ms=self.started_ms,
            early=early,
            software=max(self.software, other.software),
            late=early and (self._is_late or other._is_late),
            request_id=first.request_id,
        )

    @property
    def _is_late(self):
        return self.late or not self.early


def _order_of_requests(crash):
    return (not crash.request_id, not crash.early, crash.request_id)


class Suspect:
    """Crashes that count against an identity.

    Parameters
    ----------
    identity : bytes
        See ``currantdeal.policy.crashes.identity``.

    Attributes
    ----------
    crashes, cleared : dict of tuple to Crash
        Crashes that count, and those before a completion, by incarnation.
    sound_on : frozenset of str
        Versions of software under which it has completed.
    score : int
        Total weight of the crashes that count.
    """

    def __init__(self, *, identity):
        """Start without crashes."""
        self.identity = identity
        self.kind = kind_of(identity)
        self.crashes = {}
        self.cleared = {}
        self.sound_on = frozenset()
        self.score = 0

    @property
    def is_sound(self):
        """Whether it is a part that the software that crashed has completed.

        A request that has completed is cleared of its crashes instead.
        """
        return self.kind is not IdentityKind.REQUEST and all(
            crash.software in self.sound_on for crash in self.crashes.values()
        )

    @property
    def is_heavy(self):
        """Whether its crashes suffice for a quarantine."""
        return self.is_heavy_without(())

    def is_heavy_without(self, incarnations):
        """Return whether the crashes of other incarnations suffice for it."""
        score = self.score_without(incarnations)
        if self.is_sound:
            return score >= SOUND_SCORE
        if score >= QUARANTINE_SCORE:
            return True
        if self.kind is IdentityKind.REQUEST:
            return False
        left = sum(key not in incarnations for key in self.crashes)
        return left >= MAX_CRASHES_OF_PART

    def is_certain_without(self, incarnations):
        """Return whether they suffice even if others were present at all."""
        return self.score_without(incarnations) >= (
            SOUND_SCORE if self.is_sound else CERTAIN_SCORE
        )

    def score_without(self, incarnations):
        """Return the total weight of the crashes of other incarnations."""
        return sum(
            crash.weight(self.kind)
            for key, crash in self.crashes.items()
            if key not in incarnations
        )

    def set_crashes(self, crashes):
        """Replace the crashes that count."""
        self.crashes = crashes
        self.score = self.score_without(())
