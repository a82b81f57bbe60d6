"""Finds the upstreams that the selectors allow for a piece of work.

The answer depends only on the version of the state and on a few properties of
the work, so it is computed once for each combination and cached.  With 680
upstreams, matching labels for every request would cost more than the choice
among the matching upstreams.
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
    """The properties of a piece of work that selectors match, for one role."""

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
    """The eligible upstreams at one version of the state.

    Parameters
    ----------
    state : ClusterState
        The state whose selectors and labels apply.
    """

    def __init__(self, *, state):
        """Start with an empty cache; upstreams are matched on demand."""
        self._state = state
        self._allowed = lru_cache(maxsize=1024)(self._find_allowed)

    @property
    def version(self):
        """Version of the state."""
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
            Sorted by their names.
        """
        return self._allowed(wanted)

    def _find_allowed(self, wanted):
        selectors = [
            rec.selector
            for rec in self._state.selectors.values()
            if _applies_to(rec.selector, wanted)
        ]
        found = []
        for name in sorted(self._state.upstreams):
            record = self._state.upstreams[name]
            if _can_serve(record, wanted) and _any_selector_matches(
                selectors, record
            ):
                found.append(record.upstream)
        return tuple(found)


def _applies_to(selector, wanted):
    return (
        _is_empty_or_contains(selector.kinds, wanted.kind)
        and _is_empty_or_contains(selector.targets, wanted.target)
        and _is_empty_or_contains(selector.roles, wanted.role)
        and _is_empty_or_contains(selector.caller_regions, wanted.region)
    )


def _can_serve(record, wanted):
    return (
        record.present
        and not record.withdrawn
        and wanted.role in record.upstream.roles
        and wanted.target in record.upstream.targets
    )


def _any_selector_matches(selectors, record):
    labels = record.labels
    region = record.upstream.region
    return any(
        _is_empty_or_contains(selector.upstream_regions, region)
        and matches(parse_expression(selector.expression), labels)
        for selector in selectors
    )


def _is_empty_or_contains(allowed, value):
    return not allowed or value in allowed
