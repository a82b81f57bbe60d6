import asyncio
from dataclasses import replace
from types import SimpleNamespace

from currantdeal.control.errors import NotCertainError
from currantdeal.control.orders import QUIET_PERIOD_S, StageOrders
from currantdeal.node.connection_pool import ConnectionPool
from currantdeal.platform.calls import PlatformCalls
from currantdeal.registry import Stage, UpstreamState
from currantdeal.registry.tests.builders import an_upstream
from currantdeal.testing.platform_upstream import StandInUpstream, send_json

PAUSE_S = 3.0


class _Replica:
    """A leader, as far as ``StageOrders`` uses it."""

    def __init__(self, *, certain=True):
        self.is_leader = True
        self.node = SimpleNamespace(term=7, elected_s=0.0)
        self._certain = certain

    async def read(self):
        if not self._certain:
            raise NotCertainError("partitioned")


class _Service:
    def __init__(self, records):
        self._records = {r.upstream: r for r in records}
        self.registry = self
        self.switching = []

    @property
    def present(self):
        return tuple(self._records.values())

    def get(self, upstream):
        return self._records.get(upstream)

    def change(self, upstream, state):
        record = self._records[upstream]
        self._records[upstream] = replace(record, state=state)

    def busy(self, service):
        return None

    def switch_s(self, service):
        return 6.0

    def announce_switching(self, upstream, for_s):
        self.switching.append((upstream, for_s))


def _sent_orders(
    *, at, replica=None, status=202, engines=8, prefill=3, changes=None
):
    """Return the orders that engines receive, and the service.

    Parameters
    ----------
    at : iterable of float
        Times of the planning steps.
    status : int or dict
        Status that engines answer; engines not in a dictionary accept.
    engines, prefill : int
        Number of engines, and how many of them are prefill engines.
    changes : dict or None
        New states of engines, by time: pairs of name and state.
    """

    async def answer(standin, request, writer):
        found = status
        if isinstance(status, dict):
            found = status.get(standin.upstream, 202)
        send_json(request, writer, {}, status=found)
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
                stage=Stage.PREFILL if n < prefill else Stage.DECODE,
            )
            for n, s in enumerate(standins)
        )
        now = {"s": 0.0}
        orders = StageOrders(
            local_id="control-1",
            replica=replica or _Replica(),
            exchange=service,
            demand=service,
            pool=ConnectionPool(),
            dialect=PlatformCalls(),
            min_order_interval_s=PAUSE_S,
            clock=lambda: now["s"],
        )
        for now_s in at:
            now["s"] = now_s
            if changes and now_s in changes:
                service.change(*changes[now_s])
            await orders.step()
        return [r for s in standins for r in s.requests], service

    return asyncio.run(run())


def test_a_new_leader_waits_until_old_orders_have_arrived():
    """Leadership changes while an order of the old leader is in flight.

    Two holders that send orders in turns switch an engine back and forth.
    """
    soon, _ = _sent_orders(at=(0.0, QUIET_PERIOD_S, PAUSE_S))
    assert soon == []
    later, service = _sent_orders(at=(0.0, PAUSE_S + 1.0))
    assert len(later) == 1
    assert b'"FencingToken":7' in later[0].body
    assert b'"Stage":"decode"' in later[0].body
    assert later[0].get("X-Currantdeal-Expected-Instance") == "e2"
    assert [name for name, _ in service.switching] == ["e2"]


def test_a_leader_without_a_quorum_sends_no_order():
    """The leader was suspended, and another one was elected meanwhile."""
    seen, _ = _sent_orders(
        at=(0.0, PAUSE_S + 1.0), replica=_Replica(certain=False)
    )
    assert seen == []


def test_a_refused_fencing_number_is_not_used_again():
    """An engine has received an order with a later fencing number."""
    seen, service = _sent_orders(
        at=(0.0, PAUSE_S + 1.0, PAUSE_S + 60.0), status=412
    )
    assert len(seen) == 1
    assert service.switching == []


def test_a_fenced_holder_abandons_the_rest_of_its_plan():
    """Two engines are to be switched; the first refuses the fencing number.

    Further orders with a refused fencing number would conflict with those of
    the new holder.
    """
    seen, service = _sent_orders(
        at=(0.0, PAUSE_S + 1.0), status=412, engines=4
    )
    assert len(seen) == 1
    assert service.switching == []


def test_an_engine_that_refuses_an_order_does_not_block_the_plan():
    """There is no prefill engine, and the chosen substitute has restarted.

    If a refused order were followed by the usual pause, the pool would have
    no prefill engine for a quarter of a minute.
    """
    start_s = PAUSE_S + 1.0
    seen, service = _sent_orders(
        at=(0.0, start_s, start_s + 0.5, start_s + 1.0),
        status={"e3": 421},
        engines=4,
        prefill=0,
    )
    assert len(seen) == 2
    ((name, _),) = service.switching
    assert name != "e3"


def test_a_pending_order_is_not_followed_by_another():
    """A decode engine completes its streams before it switches to prefill.

    Until it announces the new stage, the pool appears to have no prefill
    engine.  Each further order would take one more engine away from decode.
    """
    start_s = PAUSE_S + 1.0
    seen, service = _sent_orders(
        at=(0.0, start_s, start_s + 3.0, start_s + 9.0),
        engines=4,
        prefill=0,
    )
    assert len(seen) == 1
    assert len(service.switching) == 1


def test_a_draining_prefill_engine_is_replaced_at_once():
    """The last prefill engine announces that it is draining.

    A substitute takes ten seconds to switch.  Until then decode engines
    prefill prompts between the tokens of their streams.
    """
    start_s = PAUSE_S + 10.0
    seen, _ = _sent_orders(
        at=(0.0, start_s, start_s + 1.0),
        engines=4,
        prefill=1,
        changes={start_s + 1.0: ("e0", UpstreamState.DRAINING)},
    )
    assert len(seen) == 1
    assert b'"Stage":"prefill"' in seen[0].body


def test_a_crashed_prefill_engine_gets_time_to_restart():
    """The last prefill engine crashes and restarts in a second or two.

    It returns before a substitute could have switched, and the substitute
    would be missing from decode.
    """
    start_s = PAUSE_S + 10.0
    options = {
        "engines": 4,
        "prefill": 1,
        "changes": {start_s: ("e0", UpstreamState.GONE)},
    }
    soon, _ = _sent_orders(at=(0.0, 9.0, start_s, start_s + 2.0), **options)
    assert soon == []
    later, _ = _sent_orders(at=(0.0, 9.0, start_s, start_s + 5.0), **options)
    assert len(later) == 1
