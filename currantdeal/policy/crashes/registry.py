"""Detection and quarantine of what crashes upstreams.

Load pattern: query of death.  A request crashes every process that starts to
run it, and its caller retries it at any entry.  Each retry takes down one more
upstream with all requests that run there, until a few callers keep a whole
service down.  Outlier detection makes it worse, since it attributes the
failure to the upstream.  The cause may also be a part of a prompt that many
different requests share.

Each crash of an upstream counts against all identities of the requests that it
had started to run, see ``currantdeal.policy.crashes.identity``.  One that was
present at the crashes of three upstreams and never completed is quarantined,
unless another one explains them, see
``currantdeal.policy.crashes.verdicts``.  A completion clears an identity of
all its earlier crashes, so that one that was present at many crashes only
because it is frequent is not quarantined.

Another release of the upstreams may have fixed the fault.  Once all upstreams
of a service run software that has not crashed under a quarantined identity, it
is run again; if it crashes that release, too, it stays in quarantine for all
later releases.

Records only grow, and merging them is commutative: two registries that have
exchanged their records have the same state, whatever the order of delivery.
This needs neither a leader nor a clock.
"""

import heapq

from currantdeal.policy.crashes.evidence import EARLY_WEIGHT, Suspect
from currantdeal.policy.crashes.identity import IdentityKind
from currantdeal.policy.crashes.records import (
    SuspectRecord,
    merge_into,
    record_of,
)
from currantdeal.policy.crashes.verdicts import find_verdicts

MAX_QUARANTINED = 512
"""Limit of quarantined identities; the least recently changed is dropped."""

MAX_SUSPECTS = 1024
"""Limit of other identities in a registry; the one with the lowest score is
dropped."""


class CrashRegistry:
    """Crash history of all identities, as one process has it.

    Examples
    --------
    >>> from currantdeal.policy.crashes.evidence import Crash
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
        self._verdicts = {}
        self._heavy_at = {}

    @property
    def quarantined(self):
        """Identities that are quarantined, alone or together with others."""
        return frozenset(self._verdicts)

    @property
    def has_verdicts(self):
        """Whether anything is quarantined."""
        return bool(self._verdicts)

    @property
    def identities(self):
        """All identities in the registry."""
        return self._suspects.keys()

    @property
    def verdicts(self):
        """Each ``Verdict`` once, in no particular order."""
        return tuple({v.members: v for v in self._verdicts.values()}.values())

    @property
    def records(self):
        """All ``SuspectRecord`` of this registry."""
        return tuple(map(record_of, self._suspects.values()))

    def __len__(self):
        """Return the number of identities in the registry."""
        return len(self._suspects)

    def record(self, identity):
        """Return the ``SuspectRecord`` of an identity, empty if unknown."""
        suspect = self._suspects.get(identity)
        if suspect is None:
            return SuspectRecord(fingerprint=identity)
        return record_of(suspect)

    def is_quarantined(self, identity):
        """Return whether an identity is quarantined by itself."""
        return self.find_verdict((identity,)) is not None

    def is_suspect(self, identity):
        """Return whether crashes count against an identity."""
        return bool(self.crashes(identity))

    def is_sound(self, identity, software):
        """Return whether an identity is known to complete under a release."""
        suspect = self._suspects.get(identity)
        return suspect is not None and software in suspect.sound_on

    def find_verdict(self, identities, software=None):
        """Return the ``Verdict`` that refuses a request, or None.

        Parameters
        ----------
        identities : iterable of bytes
            All identities of the request.
        software : iterable of str or None
            Software versions of the upstreams of its service, one of which
            may have fixed the fault.
        """
        identities = frozenset(identities)
        for identity in identities.intersection(self._verdicts):
            verdict = self._verdicts[identity]
            if not verdict.members <= identities:
                continue
            if software is None or not self.may_run(identity, software):
                return verdict
        return None

    def may_run(self, identity, software):
        """Return whether requests with an identity may be run.

        Parameters
        ----------
        software : iterable of str
            Software versions of the upstreams of its service.
        """
        if identity not in self._verdicts:
            return True
        crashed = {crash.software for crash in self.crashes(identity)}
        upgraded = bool(software) and crashed.isdisjoint(software)
        return upgraded and len(crashed) == 1

    def crashes(self, identity):
        """Return the crashes that count against an identity."""
        suspect = self._suspects.get(identity)
        return tuple(suspect.crashes.values()) if suspect else ()

    def score(self, identity, *, without=None):
        """Return the total weight of the crashes that count against it.

        Parameters
        ----------
        without : tuple or None
            Incarnation whose crash is left out.
        """
        suspect = self._suspects.get(identity)
        return suspect.score_without((without,)) if suspect else 0

    def may_repeat(self, identity, *, without):
        """Return whether a request that has lost a run may be run again.

        It may if the lost run was the only one that counts against it.  One
        that has completed and crashes that a verdict explains do not count.

        Parameters
        ----------
        without : tuple
            Incarnation of the upstream of the lost run.
        """
        suspect = self._suspects.get(identity)
        if suspect is None or suspect.is_sound:
            return True
        left_out = {
            incarnation
            for incarnation in suspect.crashes
            if self._is_explained(incarnation, identity)
        }
        return suspect.score_without(left_out | {without}) < EARLY_WEIGHT

    def add_crash(self, identity, crash, *, sound_on=()):
        """Add a crash of an identity; returns what has changed."""
        record = SuspectRecord(
            fingerprint=identity, crashes=(crash,), sound_on=sound_on
        )
        return self.merge((record,))

    def add_completion(self, identity, *, software=None):
        """Clear the crashes of a completed identity; returns what changed.

        An identity that is unknown or has no crashes changes nothing.

        Parameters
        ----------
        software : str or None
            Version of the software that completed it; None to state only that
            it is cleared.
        """
        if identity not in self._suspects:
            return ()
        record = SuspectRecord(
            fingerprint=identity,
            cleared=self.crashes(identity),
            sound_on=() if software is None else (software,),
        )
        return self.merge((record,))

    def merge(self, records):
        """Merge the records of another registry.

        Returns
        -------
        tuple of SuspectRecord
            What has changed, which is all that others need to merge.
        """
        changed = [self._merge_one(record) for record in records]
        self._enforce_limits()
        return tuple(change for change in changed if change is not None)

    def is_contested(self, verdict):
        """Return whether others may have caused what a verdict explains.

        They may if each crash but one at most is explained by another verdict,
        or happened under a request with another suspect part that has never
        completed.  That is likely only before most parts have completed once.
        """
        member = self._suspects[min(verdict.members)]
        rivals = [
            suspect
            for suspect in self._suspects.values()
            if suspect.kind is member.kind
            and not suspect.is_sound
            and suspect.identity not in verdict.members
        ]
        decided = sum(
            not self._is_explained(incarnation, member.identity)
            and not any(crash.is_under_same_request(r.crashes) for r in rivals)
            for incarnation, crash in member.crashes.items()
        )
        return decided <= 1

    def has_unsound(self, identities):
        """Return whether any part among identities may cause crashes."""
        suspects = (self._suspects.get(identity) for identity in identities)
        return any(
            s is not None
            and s.kind is not IdentityKind.REQUEST
            and bool(s.crashes)
            and not s.is_sound
            for s in suspects
        )

    def _is_explained(self, incarnation, identity):
        """Return whether a verdict on others explains a crash."""
        heavy = self._heavy_at.get(incarnation, ())
        verdicts = (self._verdicts.get(other) for other in heavy)
        return any(v and identity not in v.members for v in verdicts)

    def _merge_one(self, record):
        """Merge one record; returns what it changed, or None."""
        suspect = self._suspects.get(record.fingerprint)
        if suspect is None:
            suspect = Suspect(identity=record.fingerprint)
        before = set(suspect.crashes) if suspect.is_heavy else set()
        change = merge_into(suspect, record)
        if change is None:
            return None
        # The dict is kept in order of the latest change.
        self._suspects.pop(record.fingerprint, None)
        self._suspects[record.fingerprint] = suspect
        self._reassess(suspect, before)
        return change

    def _reassess(self, suspect, before):
        """Update the verdicts on an identity and all that share its crashes.

        Parameters
        ----------
        before : set of tuple
            Incarnations under which it was indexed as heavy.
        """
        after = set(suspect.crashes) if suspect.is_heavy else set()
        if not before and not after:
            return
        for incarnation in before - after:
            present = self._heavy_at[incarnation]
            present.discard(suspect.identity)
            if not present:
                del self._heavy_at[incarnation]
        for incarnation in after - before:
            present = self._heavy_at.setdefault(incarnation, set())
            present.add(suspect.identity)
        connected = self._connected(before | after)
        for identity in (*connected, suspect.identity):
            self._verdicts.pop(identity, None)
        for verdict in find_verdicts(self._suspects[i] for i in connected):
            self._verdicts.update(dict.fromkeys(verdict.members, verdict))

    def _connected(self, incarnations):
        """Return the heavy identities that share crashes, also indirectly."""
        found = {}
        pending = list(incarnations)
        seen = set(pending)
        while pending:
            for identity in sorted(self._heavy_at.get(pending.pop(), ())):
                if identity in found:
                    continue
                found[identity] = None
                new = set(self._suspects[identity].crashes) - seen
                seen |= new
                pending += new
        return sorted(found)

    def _enforce_limits(self):
        """Drop records beyond ``MAX_QUARANTINED`` and ``MAX_SUSPECTS``.

        The limits are separate, so that a full quarantine leaves room to
        detect the next culprit.
        """
        while len(self._verdicts) > MAX_QUARANTINED:
            self._drop(next(i for i in self._suspects if i in self._verdicts))
        excess = len(self._suspects) - len(self._verdicts) - MAX_SUSPECTS
        if excess > 0:
            others = (
                suspect
                for identity, suspect in self._suspects.items()
                if identity not in self._verdicts
            )
            lowest = heapq.nsmallest(excess, others, key=lambda s: s.score)
            for suspect in lowest:
                self._drop(suspect.identity)

    def _drop(self, identity):
        suspect = self._suspects.pop(identity)
        before = set(suspect.crashes) if suspect.is_heavy else set()
        suspect.set_crashes({})
        self._reassess(suspect, before)
