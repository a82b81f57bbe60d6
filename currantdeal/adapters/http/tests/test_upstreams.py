import pytest

from currantdeal.adapters.http.errors import HttpError
from currantdeal.adapters.http.upstreams import UpstreamEndpoints
from currantdeal.core import LoadReport
from currantdeal.state.tests.builders import Log, announce


class CutOffState:
    """Replicated state whose lease has expired."""

    def __init__(self):
        log = Log()
        log.apply(announce("shop-1"))
        self._view = log.state

    def view(self):
        return self._view

    def lease_remaining_s(self):
        return 0.0


class Renewal:
    """A request to renew an upstream."""

    groups = {"name": "shop-1"}

    def json(self, cls):
        return LoadReport(upstream_id="shop-1", incarnation=1)


def test_cut_off_instance_rejects_renewals():
    """An instance is partitioned from the others, but upstreams reach it.

    Guards against accepting their renewals: the other instances would retire
    the upstreams as silent and refuse callers, although these instances could
    serve them.
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
