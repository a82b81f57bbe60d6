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
    """Peers that answer only after a number of calls have timed out."""

    def __init__(self, *, failures):
        self._failures = failures

    def claims(self, name, call, *, timeout_s):
        if self._failures > 0:
            self._failures -= 1
            raise PeerError("timed out", sent=True)
        return f"claims of {name}"


def _collect_claims(calls, members_by_name):
    messages = []
    shared = SharedState()
    work = HomeWork(
        instance="i1",
        state=FakeStatePort(shared=shared, instance="i1"),
        members=FakeMembers(members_by_name=members_by_name),
        engines=FakeEngine(),
        calls=calls,
        clock=SystemClock(),
        threads=2,
    )
    work.start(messages.append)
    home = UpstreamHome(
        upstream=build_upstream(),
        fence=2,
        instance="i1",
        output_gap_s=0.04,
        now_s=0.0,
    )
    work.collect_claims(home)
    until(lambda: messages)
    work.stop()
    return messages[0].answers


def test_claims_call_to_a_slow_entry_is_retried():
    """An overloaded entry times out several claims calls of a new home.

    Guards against opening the home without the entry's claims: the entry's
    streams would be cancelled as orphans, and callers would lose their
    output.
    """
    members_by_name = {"i2": build_member(2)}
    assert _collect_claims(SlowCalls(failures=4), members_by_name) == (
        "claims of i2",
    )


def test_claims_call_to_a_silent_entry_times_out():
    members_by_name = {"i2": build_member(2)}
    assert _collect_claims(SlowCalls(failures=10_000), members_by_name) == ()
