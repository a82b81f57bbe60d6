"""Which upstreams the selectors allow for a piece of work.

The answer depends only on the version of the state and on a few properties
of the work, so it is computed once for each and looked up afterwards.  With
680 upstreams, matching labels for every request would cost more than the
choice among the matches.
"""

from dataclasses import dataclass
from functools import lru_cache

from currantdeal.core import (
    RegionId,
    Role,
    WorkKind,
    matches,
    parse_expression,
)


@dataclass(frozen=True, kw_only=True)
class WorkClass:
    """What selectors see of a piece of work, for one role."""

    kind: WorkKind
    target: str
    role: Role
    region: RegionId


def work_class(work, role):
    """Return the class of a piece of work for one role."""
    return WorkClass(
        kind=work.kind, target=work.target, role=role, region=work.region
    )


class Eligibility:
    """Answers for one version of the state.

    Parameters
    ----------
    state : ClusterState
        The state whose selectors and labels count.
    """

    def __init__(self, *, state):
        """Keep the state; nothing is computed before it is asked for."""
        self._state = state
        self._allowed = lru_cache(maxsize=1024)(self._find_allowed)

    @property
    def version(self):
        """Version of the state that the answers follow."""
        return self._state.version

    def allowed(self, wanted):
        """Return the upstreams that may serve a class of work.

        Parameters
        ----------
        wanted : WorkClass
            The class of work.

        Returns
        -------
        tuple of Upstream
            In the order of their names.
        """
        return self._allowed(wanted)

    def _find_allowed(self, wanted):
        rules = [
            rec.selector
            for rec in self._state.selectors.values()
            if _covers(rec.selector, wanted)
        ]
        found = []
        for name in sorted(self._state.upstreams):
            record = self._state.upstreams[name]
            if _serves(record, wanted) and _any_rule(rules, record):
                found.append(record.upstream)
        return tuple(found)


def _covers(selector, wanted):
    return (
        _is_any_or_in(selector.kinds, wanted.kind)
        and _is_any_or_in(selector.targets, wanted.target)
        and _is_any_or_in(selector.roles, wanted.role)
        and _is_any_or_in(selector.caller_regions, wanted.region)
    )


def _serves(record, wanted):
    return (
        record.present
        and not record.withdrawn
        and wanted.role in record.upstream.roles
        and wanted.target in record.upstream.targets
    )


def _any_rule(rules, record):
    labels = record.labels
    region = record.upstream.region
    return any(
        _is_any_or_in(rule.upstream_regions, region)
        and matches(parse_expression(rule.expression), labels)
        for rule in rules
    )


def _is_any_or_in(allowed, value):
    return not allowed or value in allowed
