import pytest

from currantdeal.adapters.http.errors import HttpError
from currantdeal.adapters.http.upstreams import UpstreamEndpoints
from currantdeal.core import LoadReport
from currantdeal.state.tests.builders import Log, announce


class CutOffState:
    """A state whose view may guide no work any more."""

    def __init__(self):
        log = Log()
        log.apply(announce("shop-1"))
        self._view = log.state

    def view(self):
        return self._view

    def lease_remaining_s(self):
        return 0.0


class Renewal:
    """A request to renew."""

    groups = {"name": "shop-1"}

    def json(self, cls):
        return LoadReport(upstream_id="shop-1", incarnation=1)


def test_cut_off_instance_sends_upstreams_elsewhere():
    """An instance is cut off from the others, but its upstreams reach it.

    If it took their renewals, every other instance would find them silent
    and callers would be refused, although other instances could serve them.
    """
    endpoints = UpstreamEndpoints(
        state=CutOffState(),
        homes=None,
        instance="i1",
        renew_every_s=0.5,
        clock=None,
    )
    with pytest.raises(HttpError) as caught:
        endpoints.renew(Renewal())
    assert caught.value.status == 503
