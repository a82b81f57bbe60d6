"""Changes between the sums that follow each other, and sums rebuilt of them.

Load pattern: fan-out.  The sums name each engine and go to each entry a few
times a second, while only some of them change in between.
"""

from dataclasses import dataclass, fields

from currantdeal.policy.load.shared_load import (
    MAX_SUMS_AGE_S,
    SOURCE_TIMEOUT_S,
    PoolLoad,
)

WHOLE_INTERVAL_S = MAX_SUMS_AGE_S
"""Interval of whole sums, which end the effect of a lost change."""


@dataclass(frozen=True, kw_only=True)
class LoadChanges:
    """What changed since the sums with the number before.

    Parameters
    ----------
    number : int
        Number of the sums that result.
    changed : PoolLoad
        New and changed values; all of them if ``is_whole``.
    removed : dict
        Names that are no longer there, by the field of ``PoolLoad``.
    is_whole : bool
        Whether no earlier sums are needed.
    """

    number: int
    changed: PoolLoad
    removed: dict[str, tuple[str, ...]]
    is_whole: bool = False


def changes_between(before, after, *, number):
    """Return the ``LoadChanges`` that lead from one load to another.

    Examples
    --------
    >>> before = PoolLoad(held={"d1": 1, "d2": 2, "d3": 3}, unreachable={})
    >>> after = PoolLoad(held={"d1": 1, "d2": 5}, unreachable={})
    >>> changes = changes_between(before, after, number=7)
    >>> changes.changed.held, changes.removed
    ({'d2': 5}, {'held': ('d3',)})
    """
    changed = {}
    removed = {}
    for field in fields(PoolLoad):
        old, new = getattr(before, field.name), getattr(after, field.name)
        changed[field.name] = {
            name: value
            for name, value in new.items()
            if name not in old or old[name] != value
        }
        if gone := tuple(old.keys() - new.keys()):
            removed[field.name] = gone
    return LoadChanges(
        number=number, changed=PoolLoad(**changed), removed=removed
    )


def whole_load(load, *, number):
    """Return the ``LoadChanges`` that need no earlier sums."""
    return LoadChanges(number=number, changed=load, removed={}, is_whole=True)


class LoadChain:
    """Sums of one sender, rebuilt from their changes.

    Examples
    --------
    >>> chain = LoadChain()
    >>> one = PoolLoad(held={"d1": 1}, unreachable={})
    >>> two = PoolLoad(held={"d2": 2}, unreachable={})
    >>> chain.apply("c1", whole_load(one, number=1)) == one
    True
    >>> changes = changes_between(one, two, number=2)
    >>> chain.apply("c1", changes) == two
    True
    >>> chain.apply("c1", changes) is None
    True
    """

    def __init__(self):
        """Start without sums."""
        self._sender = ""
        self._number = None
        self._load = None

    def apply(self, sender, changes):
        """Return the new sums; None if those before are missing."""
        if changes.is_whole:
            load = changes.changed
        elif sender == self._sender and changes.number == self._number + 1:
            load = _merge(self._load, changes)
        else:
            return None
        self._sender = sender
        self._number = changes.number
        self._load = load
        return load


class LoadChains:
    """Chains of several senders, without those that fell silent."""

    def __init__(self):
        """Start without senders."""
        self._chains = {}

    def apply(self, sender, changes, *, now_s):
        """Return the new sums; None if those before are missing."""
        for name, (heard_s, _) in tuple(self._chains.items()):
            if now_s - heard_s > SOURCE_TIMEOUT_S:
                del self._chains[name]
        _, chain = self._chains.get(sender, (now_s, LoadChain()))
        self._chains[sender] = (now_s, chain)
        return chain.apply(sender, changes)


def _merge(load, changes):
    merged = {}
    for field in fields(PoolLoad):
        values = dict(getattr(load, field.name))
        for name in changes.removed.get(field.name, ()):
            values.pop(name, None)
        values.update(getattr(changes.changed, field.name))
        merged[field.name] = values
    return PoolLoad(**merged)
