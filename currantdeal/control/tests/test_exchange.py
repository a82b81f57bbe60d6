import asyncio

import pytest

from currantdeal.control.exchange import RecordExchange
from currantdeal.node.errors import PeerUnreachableError
from currantdeal.node.messages import ControlPlace, Done, SpreadCall
from currantdeal.registry import UpstreamState
from currantdeal.registry.tests.builders import an_upstream


class _Link:
    """A link to a control instance that confirms every call."""

    def __init__(self):
        self.calls = []

    async def call(self, call, *, timeout_s):
        self.calls.append(call)
        return Done(accepted=True)


class _UnreachableLink:
    """A link to a control instance that does not answer."""

    calls = ()

    async def call(self, call, *, timeout_s):
        raise PeerUnreachableError("no answer")


def _an_exchange(*, local_id="c1", voters=("c1", "c2"), learners=(), links):
    return RecordExchange(
        local_place=ControlPlace(address=local_id, data_center="dc1"),
        control=lambda: (*voters, *learners),
        voters=lambda: voters,
        links=links,
        heartbeat_s=1.0,
        clock=lambda: 0.0,
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
        exchange.report_replaced((gone,))
        exchange.report_replaced((gone,))
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
