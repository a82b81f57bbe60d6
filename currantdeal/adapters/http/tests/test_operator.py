import pytest

from currantdeal.adapters.http.errors import HttpError
from currantdeal.adapters.http.operator import DeleteBody, OperatorEndpoints
from currantdeal.core import Outcome, StateUnavailableError
from currantdeal.testing.fake_upstreams import ManualClock


class SilentState:
    """Replicated state whose quorum does not answer."""

    def __init__(self, *, proposed):
        self._proposed = proposed

    def propose(self, command, *, timeout_s):
        raise StateUnavailableError("no quorum", proposed=self._proposed)


class Change:
    """A request to delete a selector."""

    groups = {"name": "all"}
    key = None
    client_address = "127.0.0.1"

    def json(self, cls):
        return DeleteBody(request_id="r1", expected_version=1)


@pytest.mark.parametrize(
    ("proposed", "outcome"),
    [(True, Outcome.UNKNOWN), (False, Outcome.NOT_RUN)],
)
def test_lost_change_is_not_said_to_be_unmade(proposed, outcome):
    """The leader fails after a change may have reached other replicas.

    Guards against reporting such a change as not made: an operator would send
    it again under another request id and get a conflict with the first one.
    """
    endpoints = OperatorEndpoints(
        state=SilentState(proposed=proposed),
        homes=None,
        members=None,
        instance="i1",
        region="lagos",
        clock=ManualClock(),
    )
    with pytest.raises(HttpError) as caught:
        endpoints.delete_selector(Change())
    assert caught.value.status == 503
    assert caught.value.outcome is outcome
