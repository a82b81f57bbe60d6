from currantdeal.adapters.clock import SystemClock
from currantdeal.adapters.errors import PeerError
from currantdeal.adapters.homes_work import HomeWork
from currantdeal.adapters.tests.home_builders import (
    FakeEngine,
    FakeMembers,
    FakeStatePort,
    SharedState,
    until,
)
from currantdeal.membership import UpstreamHome
from currantdeal.membership.tests.builders import build_member, build_upstream


class SlowCalls:
    """Peers that answer only after some calls have timed out."""

    def __init__(self, *, failures):
        self._failures = failures

    def claims(self, name, call, *, timeout_s):
        if self._failures > 0:
            self._failures -= 1
            raise PeerError("timed out", sent=True)
        return f"claims of {name}"


def _take_claims(calls, found):
    told = []
    shared = SharedState()
    work = HomeWork(
        instance="i1",
        state=FakeStatePort(shared=shared, instance="i1"),
        members=FakeMembers(found=found),
        engines=FakeEngine(),
        calls=calls,
        clock=SystemClock(),
        threads=2,
    )
    work.start(told.append)
    home = UpstreamHome(
        upstream=build_upstream(),
        fence=2,
        instance="i1",
        output_gap_s=0.04,
        now_s=0.0,
    )
    work.take_claims(home)
    until(lambda: told)
    work.stop()
    return told[0].answers


def test_slow_entry_is_asked_until_it_answers():
    """An entry is too busy to answer a new home in time, several times.

    If the home went on without the answer, it would cancel the entry's
    streams as memory held for nobody, and callers would lose their output.
    """
    found = {"i2": build_member(2)}
    assert _take_claims(SlowCalls(failures=4), found) == ("claims of i2",)


def test_silent_entry_is_not_waited_for_long():
    found = {"i2": build_member(2)}
    assert _take_claims(SlowCalls(failures=10_000), found) == ()
