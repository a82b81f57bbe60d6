"""Which requests crash the upstreams that run them.

Load pattern: query of death.  A request ends each process that begins to run
it, and its caller sends it again, to any entry.  Every repeat takes an
upstream away, with all that runs there, until a few callers keep a whole
service down.  Outlier detection makes it worse: it blames the upstream.

A request is told from its repeats by its fingerprint.  Each upstream that ends
counts against the requests that had begun there.  One that is lost with three
upstreams and completes nowhere is quarantined, unless another request explains
the same crashes.  What a request completes clears it of the crashes before, so
one that is merely popular, and thus beside many crashes, stays clear.

Another release of the upstreams may have mended it.  Once all of a service run
software that has not crashed under it, it is run again; if that crashes, too,
it stays in quarantine whatever is released.

What is known only grows, and two books that exchanged their records hold the
same, in whatever order those came.  No leader and no clock takes part in it.
"""

from dataclasses import dataclass

EARLY_WEIGHT = 3
"""Weight of an upstream that ended before it sent output for a request."""

LATE_WEIGHT = 1
"""Weight of one that ended after it had sent output for it."""

QUARANTINE_SCORE = 3 * EARLY_WEIGHT
"""Weight of the crashes from which a request is quarantined."""

CERTAIN_SCORE = 5 * EARLY_WEIGHT
"""Weight from which requests that were beside each other at each crash are
all quarantined."""

MAX_QUARANTINED = 512
"""Requests in quarantine; the one that was changed longest ago is dropped."""

MAX_SUSPECTS = 512
"""Other requests in a book; one of the lowest score is dropped."""

MAX_CRASHES = 32
"""Crashes, and cleared crashes, that are kept for one request."""


@dataclass(frozen=True, kw_only=True)
class Crash:
    """The end of an upstream that ran a request.

    Parameters
    ----------
    started_ms : int
        Unix time of the start of its process.
    early : bool
        True if it had sent no output for the request.
    software : str
        Version of the software that it ran, or empty.
    """

    upstream: str
    started_ms: int
    early: bool = True
    software: str = ""

    @property
    def incarnation(self):
        """The process that ended."""
        return (self.upstream, self.started_ms)

    @property
    def weight(self):
        """How much it counts against the request."""
        return EARLY_WEIGHT if self.early else LATE_WEIGHT


@dataclass(frozen=True, kw_only=True)
class SuspectRecord:
    """What is known of one request.

    Parameters
    ----------
    crashes : tuple of Crash
        Upstreams that ended while they ran it.
    cleared : tuple of Crash
        Those after which it completed.
    """

    fingerprint: bytes
    crashes: tuple[Crash, ...] = ()
    cleared: tuple[Crash, ...] = ()


class CrashBook:
    """What one process knows of requests and crashes.

    Examples
    --------
    >>> book = CrashBook()
    >>> for name in ("u1", "u2", "u3"):
    ...     crash = Crash(upstream=name, started_ms=1)
    ...     _ = book.add_crash(b"poison", crash)
    >>> book.is_quarantined(b"poison")
    True
    >>> _ = book.add_completion(b"poison")
    >>> book.is_quarantined(b"poison")
    False
    """

    def __init__(self):
        """Suspect nobody."""
        self._suspects = {}
        self._quarantined = set()
        self._beside = {}

    @property
    def quarantined(self):
        """Fingerprints of the requests that are not to be run."""
        return frozenset(self._quarantined)

    @property
    def records(self):
        """All ``SuspectRecord`` of this book."""
        return tuple(s.record for s in self._suspects.values())

    def __len__(self):
        """Return the number of requests in the book."""
        return len(self._suspects)

    def is_quarantined(self, fingerprint):
        """Return whether a request is not to be run."""
        return fingerprint in self._quarantined

    def is_suspect(self, fingerprint):
        """Return whether crashes count against a request."""
        suspect = self._suspects.get(fingerprint)
        return suspect is not None and bool(suspect.crashes)

    def may_run(self, fingerprint, software):
        """Return whether a request may be run.

        Parameters
        ----------
        software : iterable of str
            Versions of the software that the upstreams of its service run.
        """
        if fingerprint not in self._quarantined:
            return True
        crashed = {crash.software for crash in self.crashes(fingerprint)}
        released = bool(software) and crashed.isdisjoint(software)
        return released and len(crashed) == 1

    def crashes(self, fingerprint):
        """Return the crashes that count against a request."""
        suspect = self._suspects.get(fingerprint)
        return tuple(suspect.crashes.values()) if suspect else ()

    def score(self, fingerprint, *, without=None):
        """Return the weight of the crashes that count against a request.

        Parameters
        ----------
        without : tuple or None
            Incarnation of which the crash is left out.
        """
        return sum(
            crash.weight
            for crash in self.crashes(fingerprint)
            if crash.incarnation != without
        )

    def add_crash(self, fingerprint, crash):
        """Count a crash; returns the records that it changed."""
        return self.merge(
            (SuspectRecord(fingerprint=fingerprint, crashes=(crash,)),)
        )

    def add_completion(self, fingerprint):
        """Clear a request that completed; returns the changed records."""
        crashes = self.crashes(fingerprint)
        if not crashes:
            return ()
        return self.merge(
            (SuspectRecord(fingerprint=fingerprint, cleared=crashes),)
        )

    def merge(self, records):
        """Take in what another book holds; returns what was news here."""
        changed = {}
        for record in records:
            suspect = self._take(record)
            if suspect is not None:
                changed[record.fingerprint] = suspect.record
        self._drop_least()
        return tuple(changed.values())

    def _take(self, record):
        """Merge one record; returns the suspect, or None if it was no news."""
        suspect = self._suspects.get(record.fingerprint)
        if suspect is None:
            suspect = _Suspect(fingerprint=record.fingerprint)
        before = set(suspect.crashes)
        if not suspect.take(record):
            return None
        # The latest change moves to the end.
        self._suspects.pop(record.fingerprint, None)
        self._suspects[record.fingerprint] = suspect
        self._index(suspect, before)
        self._judge(before.union(suspect.crashes), suspect)
        return suspect

    def _index(self, suspect, before):
        for incarnation in before.difference(suspect.crashes):
            beside = self._beside[incarnation]
            beside.discard(suspect.fingerprint)
            if not beside:
                del self._beside[incarnation]
        for incarnation in suspect.crashes:
            beside = self._beside.setdefault(incarnation, set())
            beside.add(suspect.fingerprint)

    def _judge(self, incarnations, changed):
        """Judge a request, and those that were beside it at crashes."""
        affected = {changed.fingerprint}
        for incarnation in incarnations:
            affected.update(self._beside.get(incarnation, ()))
        for fingerprint in affected:
            if self._is_culprit(self._suspects[fingerprint]):
                self._quarantined.add(fingerprint)
            else:
                self._quarantined.discard(fingerprint)

    def _is_culprit(self, suspect):
        if suspect.score < QUARANTINE_SCORE:
            return False
        beside = set().union(*(self._beside[key] for key in suspect.crashes))
        beside.discard(suspect.fingerprint)
        return not any(_explains(self._suspects[o], suspect) for o in beside)

    def _drop_least(self):
        """Drop what is beyond the bounds.

        The two are bounded apart, so that a full quarantine leaves room to
        find the next culprit.
        """
        while len(self._quarantined) > MAX_QUARANTINED:
            self._drop(
                next(s for s in self._suspects if s in self._quarantined)
            )
        while len(self._suspects) - len(self._quarantined) > MAX_SUSPECTS:
            others = (
                suspect
                for suspect in self._suspects.values()
                if suspect.fingerprint not in self._quarantined
            )
            least = min(others, key=lambda suspect: suspect.score)
            self._drop(least.fingerprint)

    def _drop(self, fingerprint):
        suspect = self._suspects.pop(fingerprint)
        self._quarantined.discard(fingerprint)
        before = set(suspect.crashes)
        suspect.crashes = {}
        self._index(suspect, before)


class _Suspect:
    def __init__(self, *, fingerprint):
        self.fingerprint = fingerprint
        self.crashes = {}
        self.cleared = {}
        self.score = 0

    @property
    def record(self):
        return SuspectRecord(
            fingerprint=self.fingerprint,
            crashes=tuple(self.crashes.values()),
            cleared=tuple(self.cleared.values()),
        )

    def take(self, record):
        """Merge a record; returns whether it brought news."""
        before = (self.crashes, self.cleared)
        cleared = {c.incarnation: c for c in record.cleared}
        self.cleared = _latest({**cleared, **self.cleared})
        crashes = dict(self.crashes)
        for crash in record.crashes:
            known = crashes.get(crash.incarnation)
            if known is None or known.weight < crash.weight:
                crashes[crash.incarnation] = crash
        for incarnation in self.cleared:
            crashes.pop(incarnation, None)
        self.crashes = _latest(crashes)
        self.score = sum(c.weight for c in self.crashes.values())
        return before != (self.crashes, self.cleared)


def _explains(other, suspect):
    """Return whether another request may be the cause of too many crashes.

    Two requests that were beside each other at each crash are told apart by
    the next one.
    """
    if other is suspect or other.score < suspect.score:
        return False
    own = sum(
        crash.weight
        for key, crash in suspect.crashes.items()
        if key not in other.crashes
    )
    if own >= QUARANTINE_SCORE:
        return False
    tied = other.score == suspect.score
    return not (tied and suspect.score >= CERTAIN_SCORE)


def _latest(crashes):
    """Return the crashes to keep: the same ones in every book."""
    if len(crashes) <= MAX_CRASHES:
        return crashes
    order = sorted(crashes, key=lambda key: (key[1], key[0]), reverse=True)
    return {key: crashes[key] for key in order[:MAX_CRASHES]}
