"""Finds the identities that explain the crashes of upstreams.

Each crash counts against every identity that was present, and all but one of
them are bystanders.  The identities that explain most crashes are taken first;
what they explain no longer counts against the others (a greedy set cover).

Identities that explain the same crashes are told apart by what they are:

- One that has completed explains nothing that another one may have caused.
- A narrower one is the cause if the same requests had both: a request rather
  than its parts, a part in requests of one organisation rather than in all.
- Parts that the same requests had each time are refused together only, so
  that a request with one of them is still run and decides between them.
- Any others protect each other until they have enough crashes to be certain.
"""

from dataclasses import dataclass

from currantdeal.policy.crashes.identity import kind_of


@dataclass(frozen=True, kw_only=True)
class Verdict:
    """A cause of crashes.

    Parameters
    ----------
    members : frozenset of bytes
        Identities; a request that has all of them is refused.
    incarnations : frozenset of tuple
        Incarnations whose crashes it explains.
    """

    members: frozenset[bytes]
    incarnations: frozenset[tuple[str, int]]

    @property
    def kind(self):
        """The ``IdentityKind`` of all members."""
        return kind_of(next(iter(self.members)))


def find_verdicts(suspects):
    """Return the verdicts that explain the crashes of suspects.

    Parameters
    ----------
    suspects : iterable of Suspect
        All suspects that were present at any of the same crashes and have
        enough of them for a quarantine.

    Returns
    -------
    list of Verdict
    """
    verdicts = []
    explained = set()
    remaining = list(suspects)
    while True:
        remaining = [s for s in remaining if s.is_heavy_without(explained)]
        if not remaining:
            return verdicts
        ranks = {s.identity: _rank(s, explained) for s in remaining}
        best = max(ranks.values())
        leading = [s for s in remaining if ranks[s.identity] == best]
        groups = _group_by_requests(leading, explained)
        for group in groups:
            if _is_decided(group, groups, explained):
                verdicts.append(_verdict_on(group))
        remaining = [s for s in remaining if ranks[s.identity] != best]
        for suspect in leading:
            explained.update(suspect.crashes)


def _rank(suspect, explained):
    return (not suspect.is_sound, suspect.score_without(explained))


def _group_by_requests(suspects, explained):
    """Return lists of suspects that the same requests had at each crash."""
    groups = {}
    for suspect in suspects:
        requests = frozenset(
            (key, crash.request_id)
            for key, crash in suspect.crashes.items()
            if key not in explained
        )
        is_known = all(request_id for _, request_id in requests)
        key = requests if is_known else suspect.identity
        groups.setdefault(key, []).append(suspect)
    return list(groups.values())


def _is_decided(group, groups, explained):
    """Return whether no other group may have caused the same crashes."""
    suspect = group[0]
    if suspect.is_certain_without(explained):
        return True
    return all(
        suspect.is_heavy_without(explained.union(other[0].crashes))
        for other in groups
        if other is not group
    )


def _verdict_on(group):
    narrowest = min(suspect.kind for suspect in group)
    members = [s for s in group if s.kind is narrowest]
    return Verdict(
        members=frozenset(s.identity for s in members),
        incarnations=frozenset(members[0].crashes),
    )
