"""The view of the state at one instance, and its lease.

Writers publish ever later states; readers on other threads take whatever is
shown without a lock and may wait for a version.
"""

import threading

from currantdeal.adapters.replication.entries import take_step
from currantdeal.state import ClusterState


class ViewBoard:
    """What this instance shows of the replicated state.

    Nothing is shown before ``admit``: a process that starts again knows an
    older state from its disk than it may have shown before, and a version
    that goes back would bring a withdrawn upstream back to work.
    """

    def __init__(self):
        """Show the empty state, without a lease."""
        self._latest = ClusterState()
        self._shown = ClusterState()
        self._floor = None
        self._lease_ends_s = 0.0
        self._changed = threading.Condition()

    @property
    def view(self):
        """The shown state; its version never goes back."""
        return self._shown

    @property
    def latest(self):
        """The latest state known, shown or not; for those who catch up."""
        return self._latest

    @property
    def version(self):
        """Version of the latest state known, shown or not."""
        return self._latest.version

    @property
    def lease_ends_s(self):
        """Local monotonic time at which the lease runs out."""
        return self._lease_ends_s

    def publish(self, state):
        """Take a state, unless a later one is known."""
        with self._changed:
            self._publish(state)

    def apply(self, steps):
        """Apply the steps that follow the latest state; skip known ones.

        Returns
        -------
        bool
            False when steps in between are missing.
        """
        with self._changed:
            state = self._latest
            for step in steps:
                if step.index == state.version + 1:
                    state, _ = take_step(state, step)
            self._publish(state)
            return not steps or state.version >= steps[-1].index

    def admit(self, version):
        """Show states from a version on that a leader vouched for."""
        with self._changed:
            if self._floor is None:
                self._floor = version
            self._publish(self._latest)

    def extend_lease(self, ends_s):
        """Take a lease, unless a longer one is held."""
        with self._changed:
            self._lease_ends_s = max(self._lease_ends_s, ends_s)

    def drop_lease(self):
        """Give up the lease."""
        with self._changed:
            self._lease_ends_s = 0.0

    def wait_known(self, version, *, timeout_s):
        """Return whether a version is known within a time."""
        with self._changed:
            return self._changed.wait_for(
                lambda: self._latest.version >= version, timeout_s
            )

    def wait_shown(self, version, *, timeout_s):
        """Return whether a version is shown within a time."""
        with self._changed:
            return self._changed.wait_for(
                lambda: self._shown.version >= version, timeout_s
            )

    def _publish(self, state):
        if state.version > self._latest.version:
            self._latest = state
        if self._floor is not None and self._latest.version >= self._floor:
            self._shown = self._latest
        self._changed.notify_all()
