"""Records of entries, and which of them callers may connect to."""

from currantdeal.registry import choose_entries

SILENCE_TIMEOUT_S = 1.6
"""Silence after which an entry is not chosen: three missed heartbeats."""

EXPIRY_S = 30.0
"""Silence after which the record of an entry is removed."""


class EntryDirectory:
    """Records of entries, kept up to date by their heartbeats.

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
        self._last_heartbeat_s = {}

    @property
    def records(self):
        """All records."""
        return tuple(self._records.values())

    def contains(self, instance):
        """Return whether there is a record of an entry."""
        return instance in self._records

    def merge(self, record, *, now_s):
        """Merge a heartbeat; returns whether the entry is new or changed."""
        known = self._records.get(record.instance)
        if known is not None and record.sort_key <= known.sort_key:
            return False
        self._records[record.instance] = record
        self._last_heartbeat_s[record.instance] = now_s
        return (
            known is None
            or known.ready != record.ready
            or known.address != record.address
            or known.started_ms != record.started_ms
        )

    def on_heartbeat(self, instance, started_ms, sequence, *, now_s):
        """Record a heartbeat that another control instance received."""
        known = self._records.get(instance)
        if known is None or known.started_ms != started_ms:
            return
        if sequence > known.sequence:
            self._last_heartbeat_s[instance] = now_s

    def live(self, *, now_s):
        """Return the ready entries with a recent heartbeat."""
        return tuple(
            record
            for name, record in self._records.items()
            if record.ready
            and now_s - self._last_heartbeat_s[name] <= SILENCE_TIMEOUT_S
        )

    def expire(self, *, now_s):
        """Remove the records of entries that have been silent for long."""
        for name in tuple(self._records):
            if now_s - self._last_heartbeat_s[name] > EXPIRY_S:
                del self._records[name]
                del self._last_heartbeat_s[name]

    def candidates(self, *, now_s, current):
        """Return the records of the entries that callers may connect to.

        Parameters
        ----------
        current : bool
            False when this control instance may have missed heartbeats.
            Then silent entries are included, because a wrong address costs
            a caller one attempt and an empty answer costs it the request.
        """
        live = self.live(now_s=now_s)
        if current and live:
            return live
        return tuple(r for r in self._records.values() if r.ready)

    def choose(self, region, data_center, *, now_s, current):
        """Return the addresses for a caller, see ``candidates``."""
        return choose_entries(
            self.candidates(now_s=now_s, current=current), region, data_center
        )
