import asyncio
from types import SimpleNamespace

from currantdeal.control.errors import NotCertainError
from currantdeal.control.orders import QUIET_S, StageOrders
from currantdeal.node.connection_pool import ConnectionPool
from currantdeal.platform.calls import PlatformCalls
from currantdeal.registry import Stage
from currantdeal.registry.tests.builders import an_upstream
from currantdeal.testing.platform_upstream import StandInUpstream, send_json

PAUSE_S = 3.0


class _Replica:
    """A leader as the orders see it."""

    def __init__(self, *, certain=True):
        self.leads = True
        self.node = SimpleNamespace(term=7, elected_s=0.0)
        self._certain = certain

    async def read(self):
        if not self._certain:
            raise NotCertainError("cut off")


class _Service:
    def __init__(self, records):
        self.registry = SimpleNamespace(present=tuple(records))
        self.switching = []

    def busy(self, service):
        return None

    def switch_s(self, service):
        return 6.0

    def tell_switching(self, upstream, for_s):
        self.switching.append((upstream, for_s))


def _orders_given(*, at, replica=None, status=202, engines=8):
    """Return the orders that engines receive, three of them for prefill."""

    async def answer(standin, request, writer):
        send_json(writer, {}, status=status)
        return True

    async def run():
        standins = [
            StandInUpstream(upstream=f"e{n}", script=answer)
            for n in range(engines)
        ]
        for standin in standins:
            await standin.start()
        service = _Service(
            an_upstream(
                upstream=s.upstream,
                address=s.address,
                stage=Stage.PREFILL if n < 3 else Stage.DECODE,
            )
            for n, s in enumerate(standins)
        )
        now = {"s": 0.0}
        orders = StageOrders(
            me="control-1",
            replica=replica or _Replica(),
            exchange=service,
            demand=service,
            pool=ConnectionPool(),
            dialect=PlatformCalls(),
            pause_s=PAUSE_S,
            clock=lambda: now["s"],
        )
        for now_s in at:
            now["s"] = now_s
            await orders._step()
        return [r for s in standins for r in s.seen], service

    return asyncio.run(run())


def test_a_new_leader_waits_out_the_orders_of_the_one_before():
    """Leadership changes while an order of the old leader is on its way.

    Two holders that give orders by turns switch an engine back and forth.
    """
    soon, _ = _orders_given(at=(0.0, QUIET_S, PAUSE_S))
    assert soon == []
    later, service = _orders_given(at=(0.0, PAUSE_S + 1.0))
    assert len(later) == 1
    assert b'"FencingToken":7' in later[0].body
    assert b'"Stage":"decode"' in later[0].body
    assert later[0].get("X-Currantdeal-Expected-Instance") == "e2"
    assert [name for name, _ in service.switching] == ["e2"]


def test_a_leader_that_may_be_deposed_gives_no_order():
    """The leader was frozen and does not know that another was elected."""
    seen, _ = _orders_given(
        at=(0.0, PAUSE_S + 1.0), replica=_Replica(certain=False)
    )
    assert seen == []


def test_a_refused_fencing_number_is_not_used_again():
    """An engine has seen orders under a later number."""
    seen, service = _orders_given(
        at=(0.0, PAUSE_S + 1.0, PAUSE_S + 60.0), status=412
    )
    assert len(seen) == 1
    assert service.switching == []


def test_a_refused_holder_gives_no_further_order_of_its_plan():
    """Two engines are to be switched, and the first knows a later holder.

    Orders that go on under a number that was refused work against the new
    holder's.
    """
    seen, service = _orders_given(
        at=(0.0, PAUSE_S + 1.0), status=412, engines=4
    )
    assert len(seen) == 1
    assert service.switching == []
