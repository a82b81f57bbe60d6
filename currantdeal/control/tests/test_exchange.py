import asyncio

import pytest

from currantdeal.control.exchange import RecordExchange
from currantdeal.node.errors import PeerUnreachableError
from currantdeal.node.messages import (
    ControlPlace,
    Done,
    RenewalsNotice,
)
from currantdeal.node.record_messages import (
    RecordsCall,
    SpreadCall,
)
from currantdeal.registry import UpstreamState
from currantdeal.registry.tests.builders import an_upstream


class _Link:
    """A link to a control instance that confirms every call."""

    def __init__(self):
        self.calls = []

    async def call(self, call, *, timeout_s):
        self.calls.append(call)
        return Done(accepted=True)


class _RecordsLink:
    """A link to an instance with records; its first calls get no answer."""

    def __init__(self, *, records, unreachable=0):
        self.calls = 0
        self._answer = SpreadCall(upstreams=tuple(records), entries=())
        self._unreachable = unreachable

    async def call(self, call, *, timeout_s):
        assert isinstance(call, RecordsCall)
        self.calls += 1
        if self.calls <= self._unreachable:
            raise PeerUnreachableError("no answer")
        return self._answer

    def notify(self, notice):
        self.notice = notice


class _UnreachableLink:
    """A link to a control instance that does not answer."""

    calls = ()

    async def call(self, call, *, timeout_s):
        raise PeerUnreachableError("no answer")


def _an_exchange(
    *,
    local_id="c1",
    voters=("c1", "c2"),
    learners=(),
    links,
    clock=lambda: 0.0,
):
    return RecordExchange(
        local_place=ControlPlace(address=local_id, data_center="dc1"),
        control=lambda: (*voters, *learners),
        voters=lambda: voters,
        links=links,
        heartbeat_s=1.0,
        has_leader=lambda: True,
        clock=clock,
    )


class _Subscriber:
    def __init__(self):
        self.frames = []

    def send_packed(self, frame):
        self.frames.append(frame)


def test_an_upstream_reported_as_replaced_is_sent_to_all():
    """An engine has crashed and another process has taken its address.

    The engine announces no leave.  Every entry without the report would have
    prompts prefilled for it in vain.
    """

    async def run():
        link = _Link()
        exchange = _an_exchange(links=lambda address: link)
        subscriber = _Subscriber()
        exchange.subscribers.add(subscriber)
        exchange.merge_upstream(an_upstream())
        subscriber.frames.clear()
        gone = an_upstream(state=UpstreamState.GONE)
        exchange.receive_report((gone,))
        exchange.receive_report((gone,))
        await asyncio.sleep(0.0)
        return exchange, link, subscriber

    exchange, link, subscriber = asyncio.run(run())
    assert exchange.registry.present == ()
    assert len(subscriber.frames) == 1
    (call,) = link.calls
    assert isinstance(call, SpreadCall)


@pytest.mark.parametrize(
    ("local_id", "silent", "confirmed"),
    [
        ("c1", {"c3", "c4"}, True),
        ("c1", {"c4"}, True),
        ("c1", {"c2", "c3"}, False),
        ("c4", {"c2", "c3"}, False),
        ("c4", {"c3"}, True),
    ],
)
def test_a_leave_is_confirmed_by_a_majority_of_the_voters(
    local_id, silent, confirmed
):
    """A control instance has failed, and its successor is still starting.

    The leave of an upstream must be confirmed by a majority.  If the failed
    and the starting instance both counted, the two of four that answer would
    be no majority, and the upstream would be refused until it is killed.
    """
    links = {name: _UnreachableLink() for name in silent}
    exchange = _an_exchange(
        local_id=local_id,
        voters=("c1", "c2", "c3"),
        learners=("c4",),
        links=lambda address: links.setdefault(address, _Link()),
    )
    record = an_upstream(state=UpstreamState.DRAINING)
    found = asyncio.run(exchange.spread(upstreams=(record,)))
    assert found is confirmed
    assert all(len(link.calls) == 1 for link in links.values() if link.calls)


def test_a_started_instance_learns_upstreams_that_send_no_heartbeat():
    """Guards against a registry that lacks upstreams after a restart.

    An upstream is cut off from the control instances and still serves.  A
    control instance that starts gets no renewal of it, and entries that
    follow this instance would refuse requests that the upstream could serve.
    """
    silent = an_upstream()
    link = _RecordsLink(records=(silent,), unreachable=1)

    async def run():
        exchange = _an_exchange(links=lambda address: link)
        for _ in range(4):
            exchange.merge_renewals(_a_renewal_of_nothing())
            await asyncio.sleep(0.0)
            await asyncio.sleep(0.0)
        return exchange

    exchange = asyncio.run(run())
    assert exchange.registry.present == (silent,)
    assert link.calls == 2


def test_fetched_records_do_not_renew_silent_upstreams():
    """Guards against a start that makes a dead upstream look alive."""
    silent = an_upstream()
    link = _RecordsLink(records=(silent,))

    async def run():
        exchange = _an_exchange(links=lambda address: link)
        exchange.merge_upstream(silent)
        exchange.merge_renewals(_a_renewal_of_nothing())
        await asyncio.sleep(0.0)
        await asyncio.sleep(0.0)
        exchange.spread_renewals({})

    asyncio.run(run())
    assert link.calls == 1
    assert link.notice.upstreams == ()


def _a_renewal_of_nothing():
    return RenewalsNotice(
        sender="c2", data_center="dc1", demand={}, upstreams=(), entries=()
    )


def test_no_upstream_is_taken_before_the_first_configuration():
    """Guards against a service that nobody configured taking an address."""
    exchange = _an_exchange(links=lambda address: _Link())
    record = an_upstream()
    assert not exchange.is_configured(record)
    exchange.configure([record.service])
    assert exchange.is_configured(record)
