import asyncio
from types import SimpleNamespace

from currantdeal.control.operations import ControlOperations
from currantdeal.node.head import RequestHead
from currantdeal.platform.control import PlatformControl
from currantdeal.registry.tests.builders import an_upstream


class _Responder:
    def __init__(self):
        self.status = None

    def answer(self, status, headers, body):
        self.status = status


class _Exchange:
    """Records, as far as a leave uses them."""

    def __init__(self, *, known, confirmed=True):
        self._known = known
        self._confirmed = confirmed

    def leave(self, upstream):
        return an_upstream(upstream=upstream) if self._known else None

    async def spread(self, *, upstreams):
        return self._confirmed


def _leave(exchange):
    operations = ControlOperations(
        dialect=PlatformControl(),
        config=None,
        exchange=exchange,
        has_leader=lambda: True,
        clock=lambda: 0.0,
    )
    responder = _Responder()
    head = RequestHead(method="DELETE", target="/v1/instances/u1", headers=())
    request = SimpleNamespace(head=head, body=b"")
    asyncio.run(operations.handle(request, responder))
    return responder.status


def test_a_leave_that_is_confirmed_is_acknowledged():
    assert _leave(_Exchange(known=True)) == 200


def test_a_leave_without_a_majority_is_not_acknowledged():
    """The control instance is partitioned from the others.

    Entries that subscribe to the others would go on sending work to the
    upstream.
    """
    found = _leave(_Exchange(known=True, confirmed=False))
    assert found == 503


def test_a_leave_of_an_unknown_upstream_is_not_acknowledged():
    """Guards against a leave that no entry gets to know.

    Entries may know an upstream that the control instance does not, and would
    send work to a closed port.
    """
    assert _leave(_Exchange(known=False)) == 503
