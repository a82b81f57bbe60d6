"""Keeps registries of upstreams equal, and decides whose word counts.

Registries differ when a process restarts without its records, misses some
during a partition, or forgets a silent upstream that another one retains.  A
leave of an upstream is safe only if every process that sends work to it gets
to know it.  So each control instance states the digest of its registry with
its heartbeats, and a process with another one asks for the records:

- records that both have are merged, and the later one wins on either side;
- a present upstream that only one side has is adopted by a control instance
  that may have missed it, and is lost if the instance has been in contact for
  as long as it retains silent upstreams.

Leaves win over all other records of an incarnation, so that an adopted record
cannot bring back an upstream of which any process knows the leave.
"""

from currantdeal.registry.upstreams import (
    EXPIRE_AFTER_S,
    TOMBSTONE_RETENTION_S,
)

SETTLE_S = 0.9
"""Time for which a difference must last: records are often on their way."""

RETRY_S = 10.0
"""Pause before the records are asked for again if nothing has changed."""

MAX_GAP_S = 5.0
"""Loss of contact in which a control instance may miss an upstream."""


class DigestComparison:
    """Notices that two registries differ for longer than records take.

    Examples
    --------
    >>> comparison = DigestComparison()
    >>> [comparison.observe(1, 2, now_s=t) for t in (0.0, 0.5, 1.0, 1.5)]
    [False, False, True, False]
    """

    def __init__(self):
        """Start without a difference."""
        self._differing = None
        self._ask_s = 0.0

    def observe(self, own, other, *, now_s):
        """Return whether to ask for the other registry's records now."""
        if own == other:
            self._differing = None
            return False
        if self._differing != (own, other):
            self._differing = (own, other)
            self._ask_s = now_s + SETTLE_S
        if now_s < self._ask_s:
            return False
        self._ask_s = now_s + RETRY_S
        return True


class AdoptionWindow:
    """Whether a control instance adopts upstreams that only others know.

    It does for as long as silent upstreams are retained, from its start and
    from the end of each longer loss of contact.  Later it has received at
    least one heartbeat of each upstream that is not lost.

    Examples
    --------
    >>> window = AdoptionWindow(now_s=0.0)
    >>> window.observe_contact(now_s=1.0)
    >>> [window.is_open(now_s=t) for t in (29.0, 31.0)]
    [True, False]
    >>> window.observe_contact(now_s=40.0)
    >>> window.is_open(now_s=41.0)
    True
    """

    def __init__(self, *, now_s):
        """Start as an instance without records."""
        self._contact_s = now_s
        self._ends_s = now_s + EXPIRE_AFTER_S

    def observe_contact(self, *, now_s):
        """Record that there is contact with a majority."""
        if now_s - self._contact_s > MAX_GAP_S:
            self._ends_s = now_s + EXPIRE_AFTER_S
        self._contact_s = now_s

    def is_open(self, *, now_s):
        """Return whether unknown upstreams are adopted."""
        return now_s < self._ends_s


class RegistryFollower:
    """Keeps an entry's registry equal to that of its control instance.

    Parameters
    ----------
    registry : UpstreamRegistry
        Registry of the entry, which is empty.
    now_s : float
        Time of the start.
    """

    def __init__(self, *, registry, now_s):
        """Follow no control instance yet."""
        self._registry = registry
        self._comparison = DigestComparison()
        self._adopts = False
        self._equal_s = now_s

    def observe(self, digest, *, adopts, now_s):
        """Return whether to ask the control instance for its records.

        Parameters
        ----------
        digest : int
            Digest of its registry.
        adopts : bool
            Whether it adopts upstreams that it does not know.
        """
        self._adopts = adopts
        own = self._registry.digest
        if own == digest:
            self._equal_s = now_s
        return self._comparison.observe(own, digest, now_s=now_s)

    def reconcile(self, listed, *, now_s):
        """Merge all records of the control instance.

        Returns
        -------
        reported : tuple of UpstreamRecord
            Records that the control instance lacks.
        forgotten : tuple of UpstreamRecord
            Records of upstreams that are lost, and removed here.
        """
        for record in listed:
            self._registry.merge(record, now_s=now_s)
        difference = self._registry.difference_from(listed)
        if self._adopts and self._is_recent(now_s):
            return difference.superseding + difference.unlisted, ()
        for record in difference.unlisted:
            self._registry.forget(record.upstream)
        return difference.superseding, difference.unlisted

    def _is_recent(self, now_s):
        """Return whether each leave since the last contact is still known."""
        return now_s - self._equal_s < TOMBSTONE_RETENTION_S / 2.0
