"""Which entries a caller is told to connect to.

Callers keep an answer for seconds and pick an address at random.  They are
given the nearest entries, but at least three where there are as many, so
that the loss of one leaves each caller another choice; without that, a zone
with a single entry loses all its callers at once when the entry fails.
"""

import bisect

MIN_CHOICES = 3
"""Addresses a caller gets at least: one may be lost and one may be busy."""

MAX_CHOICES = 64
"""Addresses a caller gets at most; more would not be used."""

SILENT_AFTER_S = 1.6
"""Silence after which an entry is left out: three missed heartbeats."""

FORGET_AFTER_S = 30.0
"""Silence after which an entry is forgotten."""


class EntryDirectory:
    """Entries by their heartbeats.

    Examples
    --------
    >>> from currantdeal.registry.tests.builders import an_entry
    >>> directory = EntryDirectory()
    >>> directory.merge(an_entry(), now_s=0.0)
    True
    >>> directory.choose("r1", "dc1", now_s=1.0, current=True)
    ('10.1.0.1:8100',)
    """

    def __init__(self):
        """Start without any entry."""
        self._records = {}
        self._heard_s = {}

    @property
    def records(self):
        """All records."""
        return tuple(self._records.values())

    def knows(self, instance):
        """Return whether an entry has a record."""
        return instance in self._records

    def merge(self, record, *, now_s):
        """Take in a heartbeat and return whether it brought news."""
        known = self._records.get(record.instance)
        if known is not None and record.order <= known.order:
            return False
        self._records[record.instance] = record
        self._heard_s[record.instance] = now_s
        return (
            known is None
            or known.ready != record.ready
            or known.address != record.address
            or known.started_ms != record.started_ms
        )

    def heard(self, instance, started_ms, sequence, *, now_s):
        """Note a heartbeat that another control instance received."""
        known = self._records.get(instance)
        if known is None or known.started_ms != started_ms:
            return
        if sequence > known.sequence:
            self._heard_s[instance] = now_s

    def live(self, *, now_s):
        """Return the ready entries that were heard lately."""
        return tuple(
            record
            for name, record in self._records.items()
            if record.ready and now_s - self._heard_s[name] <= SILENT_AFTER_S
        )

    def expire(self, *, now_s):
        """Forget the entries that have been silent for long."""
        for name in tuple(self._records):
            if now_s - self._heard_s[name] > FORGET_AFTER_S:
                del self._records[name]
                del self._heard_s[name]

    def choose(self, region, data_center, *, now_s, current):
        """Return the addresses for a caller, nearest first.

        Parameters
        ----------
        current : bool
            False when this control instance may have missed heartbeats;
            silent entries are then named too, because a wrong address costs
            a caller one attempt and an empty answer costs it the request.
        """
        live = self.live(now_s=now_s)
        if not current or not live:
            live = tuple(r for r in self._records.values() if r.ready)
        groups = ([], [], [])
        for record in sorted(live, key=lambda r: r.instance):
            groups[_distance(record, region, data_center)].append(record)
        chosen = []
        for group in groups:
            if len(chosen) >= MIN_CHOICES:
                break
            chosen.extend(group)
        return tuple(r.address for r in _spread(chosen, data_center))


def _distance(record, region, data_center):
    if record.data_center == data_center:
        return 0
    return 1 if record.region == region else 2


def _spread(records, data_center):
    if len(records) <= MAX_CHOICES:
        return records
    names = [record.instance for record in records]
    start = bisect.bisect(names, data_center) % len(records)
    return (records[start:] + records[:start])[:MAX_CHOICES]
