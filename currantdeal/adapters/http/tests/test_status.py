import json

from currantdeal.adapters.clock import SystemClock
from currantdeal.adapters.http.operator import OperatorEndpoints
from currantdeal.state import ClusterState


class _StartingState:
    """A view that gets its first lease right after it was read."""

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

    A status that took the version from before the lease showed version 0 as
    in force, and an operator would think that every change had reverted.
    Found by ``bin/soak instances --minutes 5 --seed 3``.
    """
    endpoints = OperatorEndpoints(
        state=_StartingState(),
        homes=_Homes(),
        members=_Members(),
        instance="i1",
        region="lagos",
        clock=SystemClock(),
    )
    found = json.loads(endpoints.status(None).body)
    assert (found["version"], found["lease_remaining_s"]) == (0, 0.0)
