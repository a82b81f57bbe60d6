import pytest

from currantdeal.adapters.errors import PeerError
from currantdeal.adapters.homes import HomeClient
from currantdeal.adapters.tests.home_builders import build_request
from currantdeal.core import ReservationError
from currantdeal.membership import HeldReservations, HomeRefusal
from currantdeal.ports import Grant
from currantdeal.state import ClusterState, Home
from currantdeal.testing.fake_upstreams import ManualClock

NO_ANSWER = PeerError("no answer", sent=True)


class _State:
    def __init__(self):
        self.home = Home(instance="i1", fence=1)

    def view(self):
        return ClusterState(homes={"decode-1": self.home})


class _Calls:
    """Homes that answer with the given answers, in their order."""

    def __init__(self, *answers):
        self._answers = list(answers)

    def reserve(self, home, call, *, timeout_s):
        answer = self._answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


class _Links:
    def __init__(self):
        self.released = []

    def release(self, home, upstream_id, request_id):
        self.released.append((home, upstream_id, request_id))


def _a_client(*answers):
    links = _Links()
    client = HomeClient(
        instance="i2",
        process=1,
        state=_State(),
        members=None,
        clock=ManualClock(),
        reservations=HeldReservations(),
        calls=_Calls(*answers),
        links=links,
        server=None,
        work=None,
        start_actor=None,
    )
    return client, links


def _a_grant(**changes):
    fields = {
        "grant_id": "g1",
        "request_id": "r1",
        "upstream_id": "decode-1",
        "home": "i1",
        "fence": 1,
    }
    return Grant(**(fields | changes))


def test_a_retry_that_is_granted_releases_nothing():
    """Guards against a release that ends the grant of the retry after it.

    The answer of the home is lost.  A release of what it may have granted
    could arrive after the retry, and the engine's memory would be granted to
    another stream as well.
    """
    client, links = _a_client(NO_ANSWER, _a_grant())
    request = build_request(1, entry="i2")
    grant = client.reserve(request, timeout_s=5.0)
    assert client.refresh(grant) == grant
    assert links.released == []


def test_homes_that_did_not_answer_are_released():
    """Guards against memory that stays reserved at the former home."""
    client, links = _a_client(NO_ANSWER, _a_grant(home="i3", fence=2))
    client.reserve(build_request(1, entry="i2"), timeout_s=5.0)
    assert links.released == [("i1", "decode-1", "r1")]


def test_a_request_that_is_given_up_is_released():
    """Guards against memory that stays reserved for a refused caller."""
    client, links = _a_client(NO_ANSWER, HomeRefusal(message="full"))
    with pytest.raises(ReservationError):
        client.reserve(build_request(1, entry="i2"), timeout_s=5.0)
    assert links.released == [("i1", "decode-1", "r1")]
