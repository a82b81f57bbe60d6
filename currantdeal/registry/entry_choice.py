"""Chooses the entries that a caller may connect to.

Callers cache an answer for seconds and pick an address at random.  They get
the nearest entries, but at least three if there are that many, so that each
caller has another choice when one entry fails.  Otherwise a data centre with a
single entry would lose all its callers at once when that entry fails.
"""

import bisect

MIN_CHOICES = 3
"""Minimum number of addresses: one may have failed and one may be busy."""

MAX_CHOICES = 64
"""Maximum number of addresses; callers would not use more."""


def choose_entries(records, region, data_center):
    """Return the addresses for a caller, nearest first.

    Parameters
    ----------
    records : iterable of EntryRecord
        Entries that accept callers.

    Examples
    --------
    >>> from currantdeal.registry.tests.builders import an_entry
    >>> choose_entries([an_entry()], "r1", "dc1")
    ('10.1.0.1:8100',)
    """
    groups = ([], [], [])
    for record in sorted(records, key=lambda r: r.instance):
        groups[_distance(record, region, data_center)].append(record)
    chosen = []
    for group in groups:
        if len(chosen) >= MIN_CHOICES:
            break
        chosen.extend(group)
    return tuple(r.address for r in _limit_choices(chosen, data_center))


def _distance(record, region, data_center):
    if record.data_center == data_center:
        return 0
    return 1 if record.region == region else 2


def _limit_choices(records, data_center):
    if len(records) <= MAX_CHOICES:
        return records
    names = [record.instance for record in records]
    start = bisect.bisect(names, data_center) % len(records)
    return (records[start:] + records[:start])[:MAX_CHOICES]
