"""The registry of upstreams: soft state, merged from heartbeats.

Heartbeats arrive late, twice, out of order, and after their sender has left
or crashed.  Every control instance merges the same records by the same rules
and so all come to hold the same, whatever the order in which they hear:

- of one name, a later incarnation wins, and within one incarnation leaving
  is final and the higher sequence wins;
- of two names at one address, the incarnation that started later wins.

Without the first rule a heartbeat that was held up in a partition brings
back an upstream that has left; callers notice it as requests that fail at a
closed port.  Without the second one work goes to an address under the name
of its earlier owner, and is refused there.
"""

from dataclasses import replace

from currantdeal.registry.records import UpstreamState

SILENT_AFTER_BEATS = 5.0
"""Missed heartbeats after which an upstream counts as silent.

Heartbeats may be seconds late; five intervals of 1.2 s are twice the longest
delay seen.
"""

REMOVE_AFTER_S = 30.0
"""Silence after which an upstream is forgotten.

Upstreams cut off from control still serve, so that they are kept for much
longer than the partitions that pass by themselves.
"""

KEEP_GONE_S = 60.0
"""Time for which a leave is remembered against late heartbeats."""


class UpstreamRegistry:
    """Records of upstreams, merged.

    Parameters
    ----------
    heartbeat_s : float
        Interval between the heartbeats of an upstream.

    Examples
    --------
    >>> from currantdeal.registry.tests.builders import an_upstream
    >>> registry = UpstreamRegistry(heartbeat_s=1.2)
    >>> registry.merge(an_upstream(sequence=2), now_s=0.0)
    True
    >>> registry.merge(an_upstream(sequence=1), now_s=0.1)
    False
    >>> registry.leave("u1", now_s=1.0).state.value
    'gone'
    >>> registry.merge(an_upstream(sequence=9), now_s=2.0)
    False
    """

    def __init__(self, *, heartbeat_s):
        """Start empty."""
        self._silent_after_s = SILENT_AFTER_BEATS * heartbeat_s
        self._records = {}
        self._heard_s = {}

    @property
    def records(self):
        """All records, those of upstreams that left included."""
        return tuple(self._records.values())

    @property
    def present(self):
        """Records of the upstreams that have not left."""
        return tuple(
            record
            for record in self._records.values()
            if record.state is not UpstreamState.GONE
        )

    def get(self, upstream):
        """Return the record of an upstream, or None."""
        return self._records.get(upstream)

    def merge(self, record, *, now_s):
        """Take in a record and return whether it brought anything new.

        A heartbeat that merely renews is not new, but keeps its upstream
        from counting as silent.
        """
        known = self._records.get(record.upstream)
        if known is not None and record.order <= known.order:
            return False
        if not self._wins_address(record):
            return False
        self._records[record.upstream] = record
        self._heard_s[record.upstream] = now_s
        renewed = replace(record, sequence=0, cold_s=0.0)
        return known is None or renewed != replace(
            known, sequence=0, cold_s=0.0
        )

    def leave(self, upstream, *, now_s):
        """Note that an upstream has left; returns its last record, or None.

        A leave names no incarnation, so it concerns the one known.
        """
        known = self._records.get(upstream)
        if known is None:
            return None
        gone = replace(known, state=UpstreamState.GONE)
        self._records[upstream] = gone
        self._heard_s[upstream] = now_s
        return gone

    def heard(self, upstream, started_ms, sequence, *, now_s):
        """Note a renewing heartbeat that another instance received."""
        known = self._records.get(upstream)
        if known is None or known.started_ms != started_ms:
            return
        if known.state is UpstreamState.GONE or sequence < known.sequence:
            return
        self._records[upstream] = replace(known, sequence=sequence)
        self._heard_s[upstream] = now_s

    def is_silent(self, upstream, *, now_s):
        """Return whether an upstream has missed its heartbeats."""
        return now_s - self._heard_s[upstream] > self._silent_after_s

    def expire(self, *, now_s):
        """Forget who has been silent too long; returns their records."""
        lost = [
            record
            for name, record in self._records.items()
            if now_s - self._heard_s[name] > _kept_s(record)
        ]
        for record in lost:
            del self._records[record.upstream]
            del self._heard_s[record.upstream]
        return tuple(r for r in lost if r.state is not UpstreamState.GONE)

    def _wins_address(self, record):
        others = [
            other
            for other in self.present
            if other.address == record.address
            and other.upstream != record.upstream
        ]
        if any(o.started_ms > record.started_ms for o in others):
            return False
        if record.state is not UpstreamState.GONE:
            for other in others:
                self._records[other.upstream] = replace(
                    other, state=UpstreamState.GONE
                )
        return True


def _kept_s(record):
    if record.state is UpstreamState.GONE:
        return KEEP_GONE_S
    return REMOVE_AFTER_S
