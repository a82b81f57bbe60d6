"""Detection and quarantine of requests that crash upstreams.

Load pattern: query of death.  A request crashes every process that starts to
run it, and its caller retries it at any entry.  Each retry takes down one more
upstream with all requests that run there, until a few callers keep a whole
service down.  Outlier detection makes it worse, since it attributes the
failure to the upstream.

A request and its retries are identified by their fingerprint.  Each crash of
an upstream counts against the requests that it had started to run.  A request
that was lost in the crashes of three upstreams and never completed is
quarantined, unless another request may have caused the same crashes.  A
completion clears a request of all its earlier crashes, so a request that was
present at many crashes only because it is frequent is not quarantined.

Another release of the upstreams may have fixed the fault.  Once all upstreams
of a service run software that has not crashed under a quarantined request, it
is run again; if it crashes that release, too, it stays in quarantine for all
later releases.

Records only grow, and merging them is commutative: two registries that have
exchanged their records have the same state, whatever the order of delivery.
This needs neither a leader nor a clock.
"""

from dataclasses import dataclass

EARLY_WEIGHT = 3
"""Weight of the crash of an upstream that had sent no output for a request."""

LATE_WEIGHT = 1
"""Weight of the crash of an upstream that had sent output for a request."""

QUARANTINE_SCORE = 3 * EARLY_WEIGHT
"""Total weight of crashes at which a request is quarantined."""

CERTAIN_SCORE = 5 * EARLY_WEIGHT
"""Total weight at which requests that were present at the same crashes are
all quarantined."""

MAX_QUARANTINED = 512
"""Limit of quarantined requests; the least recently changed is dropped."""

MAX_SUSPECTS = 512
"""Limit of other requests in a registry; the one with the lowest score is
dropped."""

MAX_CRASHES = 32
"""Limit of crashes, and of cleared crashes, that are kept per request."""


@dataclass(frozen=True, kw_only=True)
class Crash:
    """The crash of an upstream that ran a request.

    Parameters
    ----------
    started_ms : int
        Unix time at which the process started.
    early : bool
        True if the upstream had sent no output for the request.
    software : str
        Version of the software of the upstream, or empty.
    """

    upstream: str
    started_ms: int
    early: bool = True
    software: str = ""

    @property
    def incarnation(self):
        """Identity of the process that crashed."""
        return (self.upstream, self.started_ms)

    @property
    def weight(self):
        """Weight of this crash in the score of the request."""
        return EARLY_WEIGHT if self.early else LATE_WEIGHT


@dataclass(frozen=True, kw_only=True)
class SuspectRecord:
    """Crash history of one request.

    Parameters
    ----------
    crashes : tuple of Crash
        Crashes of upstreams while they ran the request.
    cleared : tuple of Crash
        Crashes that were followed by a completion of the request.
    """

    fingerprint: bytes
    crashes: tuple[Crash, ...] = ()
    cleared: tuple[Crash, ...] = ()


class CrashRegistry:
    """Crash history of all requests, as one process has it.

    Examples
    --------
    >>> registry = CrashRegistry()
    >>> for name in ("u1", "u2", "u3"):
    ...     crash = Crash(upstream=name, started_ms=1)
    ...     _ = registry.add_crash(b"poison", crash)
    >>> registry.is_quarantined(b"poison")
    True
    >>> _ = registry.add_completion(b"poison")
    >>> registry.is_quarantined(b"poison")
    False
    """

    def __init__(self):
        """Start without suspects."""
        self._suspects = {}
        self._quarantined = set()
        self._by_incarnation = {}

    @property
    def quarantined(self):
        """Fingerprints of the quarantined requests."""
        return frozenset(self._quarantined)

    @property
    def records(self):
        """All ``SuspectRecord`` of this registry."""
        return tuple(s.record for s in self._suspects.values())

    def __len__(self):
        """Return the number of requests in the registry."""
        return len(self._suspects)

    def is_quarantined(self, fingerprint):
        """Return whether a request is quarantined."""
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
            Software versions of the upstreams of its service.
        """
        if fingerprint not in self._quarantined:
            return True
        crashed = {crash.software for crash in self.crashes(fingerprint)}
        upgraded = bool(software) and crashed.isdisjoint(software)
        return upgraded and len(crashed) == 1

    def crashes(self, fingerprint):
        """Return the crashes that count against a request."""
        suspect = self._suspects.get(fingerprint)
        return tuple(suspect.crashes.values()) if suspect else ()

    def score(self, fingerprint, *, without=None):
        """Return the total weight of the crashes that count against a request.

        Parameters
        ----------
        without : tuple or None
            Incarnation whose crash is left out.
        """
        return sum(
            crash.weight
            for crash in self.crashes(fingerprint)
            if crash.incarnation != without
        )

    def add_crash(self, fingerprint, crash):
        """Add a crash of a request; returns the changed records."""
        return self.merge(
            (SuspectRecord(fingerprint=fingerprint, crashes=(crash,)),)
        )

    def add_completion(self, fingerprint):
        """Clear the crashes of a completed request; returns changed records.

        A request without crashes changes nothing.
        """
        crashes = self.crashes(fingerprint)
        if not crashes:
            return ()
        return self.merge(
            (SuspectRecord(fingerprint=fingerprint, cleared=crashes),)
        )

    def merge(self, records):
        """Merge the records of another registry; returns the changed ones."""
        changed = {}
        for record in records:
            suspect = self._merge_one(record)
            if suspect is not None:
                changed[record.fingerprint] = suspect.record
        self._enforce_limits()
        return tuple(changed.values())

    def _merge_one(self, record):
        """Merge one record; returns the suspect, or None if unchanged."""
        suspect = self._suspects.get(record.fingerprint)
        if suspect is None:
            suspect = _Suspect(fingerprint=record.fingerprint)
        before = set(suspect.crashes)
        if not suspect.merge(record):
            return None
        # The dict is kept in order of the latest change.
        self._suspects.pop(record.fingerprint, None)
        self._suspects[record.fingerprint] = suspect
        self._update_index(suspect, before)
        self._update_quarantine(before.union(suspect.crashes), suspect)
        return suspect

    def _update_index(self, suspect, before):
        for incarnation in before.difference(suspect.crashes):
            present = self._by_incarnation[incarnation]
            present.discard(suspect.fingerprint)
            if not present:
                del self._by_incarnation[incarnation]
        for incarnation in suspect.crashes:
            present = self._by_incarnation.setdefault(incarnation, set())
            present.add(suspect.fingerprint)

    def _update_quarantine(self, incarnations, changed):
        """Reassess a request and all that were present at the same crashes."""
        affected = {changed.fingerprint}
        for incarnation in incarnations:
            affected.update(self._by_incarnation.get(incarnation, ()))
        for fingerprint in affected:
            if self._is_culprit(self._suspects[fingerprint]):
                self._quarantined.add(fingerprint)
            else:
                self._quarantined.discard(fingerprint)

    def _is_culprit(self, suspect):
        if suspect.score < QUARANTINE_SCORE:
            return False
        present = set().union(
            *(self._by_incarnation[key] for key in suspect.crashes)
        )
        present.discard(suspect.fingerprint)
        return not any(
            _may_have_caused(self._suspects[o], suspect) for o in present
        )

    def _enforce_limits(self):
        """Drop records beyond ``MAX_QUARANTINED`` and ``MAX_SUSPECTS``.

        The limits are separate, so that a full quarantine leaves room to
        detect the next culprit.
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
            lowest = min(others, key=lambda suspect: suspect.score)
            self._drop(lowest.fingerprint)

    def _drop(self, fingerprint):
        suspect = self._suspects.pop(fingerprint)
        self._quarantined.discard(fingerprint)
        before = set(suspect.crashes)
        suspect.crashes = {}
        self._update_index(suspect, before)


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

    def merge(self, record):
        """Merge a record; returns whether it changed this one."""
        before = (self.crashes, self.cleared)
        cleared = {c.incarnation: c for c in record.cleared}
        self.cleared = _keep_latest({**cleared, **self.cleared})
        crashes = dict(self.crashes)
        for crash in record.crashes:
            existing = crashes.get(crash.incarnation)
            if existing is None or existing.weight < crash.weight:
                crashes[crash.incarnation] = crash
        for incarnation in self.cleared:
            crashes.pop(incarnation, None)
        self.crashes = _keep_latest(crashes)
        self.score = sum(c.weight for c in self.crashes.values())
        return before != (self.crashes, self.cleared)


def _may_have_caused(other, suspect):
    """Return whether another request may have caused a suspect's crashes.

    It may not if the suspect has enough crashes without the other one to be
    quarantined for these alone.  Two requests that were present at the same
    crashes protect each other until one of them has a further crash, or both
    reach ``CERTAIN_SCORE``.
    """
    if other is suspect or other.score < suspect.score:
        return False
    unshared = sum(
        crash.weight
        for key, crash in suspect.crashes.items()
        if key not in other.crashes
    )
    if unshared >= QUARANTINE_SCORE:
        return False
    tied = other.score == suspect.score
    return not (tied and suspect.score >= CERTAIN_SCORE)


def _keep_latest(crashes):
    """Return the latest crashes, the same ones in every registry."""
    if len(crashes) <= MAX_CRASHES:
        return crashes
    order = sorted(crashes, key=lambda key: (key[1], key[0]), reverse=True)
    return {key: crashes[key] for key in order[:MAX_CRASHES]}
