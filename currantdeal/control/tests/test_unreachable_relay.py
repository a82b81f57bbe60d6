"""Reports of unreachable upstreams between entries and instances."""

from types import SimpleNamespace

from currantdeal.control.unreachable_relay import UnreachableRelay
from currantdeal.node.messages import UNREACHABLE_PROTOCOL, UnreachableNotice


class _Receiver:
    def __init__(self):
        self.notices = []

    def notify(self, notice):
        self.notices.append(notice)


def _relay(*subscribers):
    others = _Receiver()
    exchange = SimpleNamespace(
        subscribers=set(subscribers),
        notify_understanding=lambda protocol, notice: others.notify(notice),
    )
    return UnreachableRelay(exchange=exchange, clock=lambda: 0.0), others


def _notice(entry, upstream="d1"):
    return UnreachableNotice(entry=entry, upstream=upstream, started_ms=1)


def test_first_two_reports_reach_all_entries_and_instances():
    """Guards against each entry trying the same dead engines for itself."""
    near, far = _Receiver(), _Receiver()
    relay, others = _relay(near, far)
    for entry in (near, far):
        relay.subscribe(entry, UNREACHABLE_PROTOCOL)
    for number in range(20):
        relay.receive(near, _notice(f"entry-{number}"))
    assert far.notices == [_notice("entry-0"), _notice("entry-1")]
    assert others.notices == far.notices


def test_report_of_another_instance_goes_to_entries_only():
    """Guards against reports that circle between control instances."""
    near = _Receiver()
    relay, others = _relay(near)
    relay.subscribe(near, UNREACHABLE_PROTOCOL)
    relay.receive(_Receiver(), _notice("far-away"))
    assert near.notices == [_notice("far-away")]
    assert not others.notices


def test_entry_of_an_earlier_build_gets_no_report():
    """Guards against a message that an earlier build does not know."""
    old = _Receiver()
    relay, _ = _relay(old)
    relay.subscribe(old, UNREACHABLE_PROTOCOL - 1)
    relay.receive(old, _notice("one"))
    assert not old.notices
