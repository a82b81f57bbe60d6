import json

from currantdeal.adapters.clock import SystemClock
from currantdeal.adapters.http.operator import OperatorEndpoints
from currantdeal.state import ClusterState


class _StartingState:
    """State that gets its first lease right after the view is read."""

    def __init__(self):
        self._lease_s = 0.0

    def view(self):
        self._lease_s = 2.0
        return ClusterState()

    def lease_remaining_s(self):
        return self._lease_s

    def leader(self):
        return None

    def progress(self):
        return ()


class _Homes:
    def load(self, upstream_id):
        return None


class _Members:
    def members(self):
        return ()


def test_status_shows_no_lease_beside_an_older_version():
    """A replica that lost its disk has just started and gets its lease.

    Guards against a race in the status: with the version read before the
    lease, it showed version 0 as in force, as if every change had been
    reverted.  Found by ``bin/soak instances --minutes 5 --seed 3``.
    """
    endpoints = OperatorEndpoints(
        state=_StartingState(),
        homes=_Homes(),
        members=_Members(),
        instance="i1",
        region="lagos",
        clock=SystemClock(),
    )
    status = json.loads(endpoints.status(None).body)
    assert (status["version"], status["lease_remaining_s"]) == (0, 0.0)
