"""Registers upstreams as soft state, merged from heartbeats.

Heartbeats may arrive late, twice, out of order, or after their sender has
left or crashed.  All control instances merge the same records by the same
rules, so that they converge to the same state regardless of the order in
which they receive the records:

- of one name, a later incarnation wins, and within one incarnation leaving
  is final and the higher sequence wins;
- of two names at one address, the incarnation that started later wins.

Without the first rule, a heartbeat delayed by a network partition would bring
back an upstream that has left, and requests would fail at a closed port.
Without the second one, work would be sent to an address under the name of its
previous owner, and the new owner would refuse it.

Processes compare digests of their registries to notice that one has missed a
record, see ``currantdeal.registry.convergence``.
"""

import hashlib
from dataclasses import dataclass, replace

import msgspec

from currantdeal.registry.records import UpstreamRecord, UpstreamState

MAX_MISSED_HEARTBEATS = 5.0
"""Missed heartbeats after which an upstream counts as silent.

Heartbeats may be seconds late; five intervals of 1.2 s are twice the longest
delay observed.
"""

MISSED_HEARTBEATS = 3.0
"""Missed heartbeats that confirm what entries found of an upstream."""

EXPIRE_AFTER_S = 30.0
"""Time without heartbeats after which an upstream is removed.

Upstreams that are partitioned from the control instances still serve, so that
they are retained for much longer than a transient partition lasts.
"""

TOMBSTONE_RETENTION_S = 60.0
"""Time for which the record of a leave is retained.

It prevents late heartbeats from bringing back the upstream.
"""


_DIGEST_BYTES = 7
"""Size of a digest, which fits into a signed integer of 64 bits."""


@dataclass(frozen=True, kw_only=True)
class RegistryDifference:
    """How a registry differs from a list of another process's records.

    Parameters
    ----------
    superseding : tuple of UpstreamRecord
        Records that are later than the listed ones.
    unlisted : tuple of UpstreamRecord
        Records of present upstreams that are not listed.
    """

    superseding: tuple[UpstreamRecord, ...] = ()
    unlisted: tuple[UpstreamRecord, ...] = ()


class UpstreamRegistry:
    """Merged records of upstreams.

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
        """Start without records."""
        self._heartbeat_s = heartbeat_s
        self._silent_after_s = MAX_MISSED_HEARTBEATS * heartbeat_s
        self._records = {}
        self._names_by_address = {}
        self._last_heartbeat_s = {}
        self._succeeded_s = {}
        self._digest = 0

    @property
    def digest(self):
        """Integer that is equal for equal records of present upstreams.

        Sequences of heartbeats and remaining warm-ups are left out.
        """
        return self._digest

    @property
    def records(self):
        """All records, including those of upstreams that have left."""
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
        """Merge a record and return whether it changed the registered state.

        A heartbeat that only renews its upstream is no change, but prevents
        the upstream from counting as silent.
        """
        current = self._records.get(record.upstream)
        if current is not None and record.sort_key <= current.sort_key:
            return False
        if not self._resolve_address_conflict(record):
            return False
        if current is not None and current.started_ms < record.started_ms:
            self._succeeded_s[record.upstream] = now_s
        changed = current is None or _content(record) != _content(current)
        if changed:
            self._digest ^= _digest_of(current) ^ _digest_of(record)
        self._store(record)
        self._last_heartbeat_s[record.upstream] = now_s
        return changed

    def leave(self, upstream, *, now_s):
        """Record that an upstream has left.

        A leave does not specify an incarnation, so it applies to the one
        registered.

        Returns
        -------
        UpstreamRecord or None
            The record of the leave; None for an unknown upstream.
        """
        current = self._records.get(upstream)
        if current is None:
            return None
        self._last_heartbeat_s[upstream] = now_s
        return self._mark_gone(current)

    def has_just_restarted(self, upstream, *, now_s):
        """Return whether a leave may have been sent by an earlier process."""
        succeeded_s = self._succeeded_s.get(upstream)
        if succeeded_s is None:
            return False
        return now_s - succeeded_s < self._silent_after_s

    def forget(self, upstream):
        """Remove the record of an upstream; any record may bring it back."""
        record = self._records.pop(upstream)
        self._unlink(record)
        self._digest ^= _digest_of(record)
        self._last_heartbeat_s.pop(upstream)
        self._succeeded_s.pop(upstream, None)

    def difference_from(self, listed):
        """Return the ``RegistryDifference`` from another one's records."""
        theirs = {record.upstream: record for record in listed}
        superseding, unlisted = [], []
        for record in self._records.values():
            other = theirs.get(record.upstream)
            if other is None:
                if record.state is not UpstreamState.GONE:
                    unlisted.append(record)
            elif record.sort_key > other.sort_key and _content(
                record
            ) != _content(other):
                superseding.append(record)
        return RegistryDifference(
            superseding=tuple(superseding), unlisted=tuple(unlisted)
        )

    def on_heartbeat(self, upstream, started_ms, sequence, *, now_s):
        """Record a renewal that another control instance received."""
        current = self._records.get(upstream)
        if current is None or current.started_ms != started_ms:
            return
        if current.state is UpstreamState.GONE or sequence < current.sequence:
            return
        self._records[upstream] = replace(current, sequence=sequence)
        self._last_heartbeat_s[upstream] = now_s

    def is_silent(self, upstream, *, now_s):
        """Return whether an upstream has missed too many heartbeats."""
        return now_s - self._last_heartbeat_s[upstream] > self._silent_after_s

    def silent(self, *, now_s):
        """Return present upstreams that missed some heartbeats, by name.

        ``MISSED_HEARTBEATS`` of them show little without other evidence.
        """
        limit_s = MISSED_HEARTBEATS * self._heartbeat_s
        return [
            record.upstream
            for record in self.present
            if now_s - self._last_heartbeat_s[record.upstream] > limit_s
        ]

    def expire(self, *, now_s):
        """Remove records that were not renewed in time.

        Returns
        -------
        tuple of UpstreamRecord
            Those of upstreams that had not left.
        """
        expired = [
            record
            for name, record in self._records.items()
            if now_s - self._last_heartbeat_s[name] > _retention_s(record)
        ]
        for record in expired:
            self.forget(record.upstream)
        return tuple(r for r in expired if r.state is not UpstreamState.GONE)

    def _store(self, record):
        before = self._records.get(record.upstream)
        if before is not None:
            self._unlink(before)
        self._records[record.upstream] = record
        names = self._names_by_address.setdefault(record.address, set())
        names.add(record.upstream)

    def _mark_gone(self, record):
        gone = replace(record, state=UpstreamState.GONE)
        self._digest ^= _digest_of(record)
        self._records[record.upstream] = gone
        return gone

    def _unlink(self, record):
        names = self._names_by_address[record.address]
        names.discard(record.upstream)
        if not names:
            del self._names_by_address[record.address]

    def _names_at(self, address):
        """Return the names of all records with an address."""
        return self._names_by_address.get(address, frozenset())

    def _resolve_address_conflict(self, record):
        others = [
            self._records[name]
            for name in self._names_at(record.address)
            if name != record.upstream
        ]
        present = [o for o in others if o.state is not UpstreamState.GONE]
        if any(o.started_ms > record.started_ms for o in present):
            return False
        if record.state is not UpstreamState.GONE:
            for other in present:
                self._mark_gone(other)
        return True


def _content(record):
    """Return a record without what each heartbeat changes."""
    return replace(record, sequence=0, cold_s=0.0)


def _digest_of(record):
    """Return the share of a record, or of None, in a registry's digest."""
    if record is None or record.state is UpstreamState.GONE:
        return 0
    raw = msgspec.msgpack.encode(_content(record))
    found = hashlib.blake2b(raw, digest_size=_DIGEST_BYTES).digest()
    return int.from_bytes(found, "big")


def _retention_s(record):
    if record.state is UpstreamState.GONE:
        return TOMBSTONE_RETENTION_S
    return EXPIRE_AFTER_S
