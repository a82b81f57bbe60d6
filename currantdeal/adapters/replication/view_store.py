"""Holds one instance's view of the replicated state, and its lease.

Writers publish later and later states.  Readers on other threads read the
visible state without a lock and may wait for a version.
"""

import threading

from currantdeal.adapters.replication.entries import apply_update
from currantdeal.state import ClusterState


class ViewStore:
    """The state that this instance makes visible to its readers.

    No state is visible before ``make_visible_from`` is called.  After a
    restart, the state on disk may be older than one that was visible before,
    and a version that decreases would route requests to an upstream that was
    already withdrawn.
    """

    def __init__(self):
        """Start with the empty state and without a lease."""
        self._latest = ClusterState()
        self._visible = ClusterState()
        self._min_visible_version = None
        self._lease_ends_s = 0.0
        self._changed = threading.Condition()

    @property
    def view(self):
        """The visible state; its version never decreases."""
        return self._visible

    @property
    def latest(self):
        """The latest state, visible or not; source of snapshot transfers."""
        return self._latest

    @property
    def version(self):
        """Version of the latest state, visible or not."""
        return self._latest.version

    @property
    def lease_ends_s(self):
        """Local monotonic time at which the lease expires."""
        return self._lease_ends_s

    def publish(self, state):
        """Store a state, unless a later one was published before."""
        with self._changed:
            self._publish(state)

    def apply(self, updates):
        """Apply the updates that follow the latest state; skip older ones.

        Returns
        -------
        bool
            False if there is a gap between the state and the updates.
        """
        with self._changed:
            state = self._latest
            for update in updates:
                if update.index == state.version + 1:
                    state, _ = apply_update(state, update)
            self._publish(state)
            return not updates or state.version >= updates[-1].index

    def make_visible_from(self, version):
        """Make states visible from a version that a leader has confirmed.

        Only the first call sets the version.
        """
        with self._changed:
            if self._min_visible_version is None:
                self._min_visible_version = version
            self._publish(self._latest)

    def extend_lease(self, ends_s):
        """Set the end of the lease, unless it already ends later."""
        with self._changed:
            self._lease_ends_s = max(self._lease_ends_s, ends_s)

    def drop_lease(self):
        """Drop the lease."""
        with self._changed:
            self._lease_ends_s = 0.0

    def wait_received(self, version, *, timeout_s):
        """Wait for a version to be published; return False on timeout."""
        with self._changed:
            return self._changed.wait_for(
                lambda: self._latest.version >= version, timeout_s
            )

    def wait_visible(self, version, *, timeout_s):
        """Wait for a version to be visible; return False on timeout."""
        with self._changed:
            return self._changed.wait_for(
                lambda: self._visible.version >= version, timeout_s
            )

    def _publish(self, state):
        if state.version > self._latest.version:
            self._latest = state
        if (
            self._min_visible_version is not None
            and self._latest.version >= self._min_visible_version
        ):
            self._visible = self._latest
        self._changed.notify_all()
