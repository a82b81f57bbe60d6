"""Processes of the simulation in ``record_schedules``."""

import json
from types import SimpleNamespace

from thrift.protocol.TBinaryProtocol import TBinaryProtocolAcceleratedFactory
from thrift.TSerialization import deserialize

from currantdeal.adapters.generated.peers.ttypes import Frame
from currantdeal.entry.view import EntryView
from currantdeal.node.errors import PeerUnreachableError
from currantdeal.node.head import RequestHead
from currantdeal.node.messages import PEER_CODEC, Done, RenewalsNotice
from currantdeal.node.record_messages import RecordsCall
from currantdeal.platform.config import decode_config
from currantdeal.testing.platform_upstream import heartbeat

CONTROL = ("c1", "c2", "c3")
"""Names of the control instances."""

HEARTBEAT_S = 1.0
"""Interval of the upstreams' heartbeats."""

_PROTOCOL = TBinaryProtocolAcceleratedFactory()


class SimulatedEntry:
    """An entry: its view, and what its subscription does with notices."""

    def __init__(self, *, world):
        self._world = world
        self.source = None
        self.used = set()
        self.in_touch_since_s = world.now_s
        self.view = EntryView(
            read_config=decode_config,
            data_center="dc1",
            region="r1",
            region_of={},
            heartbeat_s=HEARTBEAT_S,
            clock=lambda: world.now_s,
        )

    def uses(self, upstream):
        """Return whether it sends work to an incarnation."""
        record = self.view.record(upstream.name)
        return (
            self.view.accepts_work(upstream.name)
            and record.started_ms == upstream.started_ms
        )

    def is_in_touch(self, name):
        """Return whether its source is up and reaches a majority."""
        return (
            self.source is not None
            and self._world.reaches(name, self.source)
            and self._world.has_leader(self.source)
        )

    async def step(self, name):
        """Receive a heartbeat of the source, or choose another one."""
        if not self.is_in_touch(name):
            self.in_touch_since_s = self._world.now_s
            self._unsubscribe()
            self._subscribe(name)
            return
        exchange = self._exchange
        if self.view.lacks_upstreams(
            exchange.registry.digest, adopts=exchange.adopts_upstreams
        ):
            reported = self.view.reconcile_upstreams(exchange.registry.records)
            exchange.receive_report(reported)
            self._world.counts["reconciled"] += 1

    @property
    def _exchange(self):
        return self._world.control[self.source][0]

    def _subscribe(self, name):
        for source in CONTROL:
            self.source = source
            if self.is_in_touch(name):
                exchange = self._exchange
                exchange.subscribers.add(self)
                self.view.merge_upstreams(
                    exchange.registry.records,
                    complete=not exchange.adopts_upstreams,
                )
                return
        self.source = None

    def _unsubscribe(self):
        for exchange, _ in self._world.control.values():
            exchange.subscribers.discard(self)
        self.source = None

    def send_packed(self, frame):
        """Receive a packed notice of the source."""
        body = deserialize(Frame(), frame[4:], _PROTOCOL).body
        notice = PEER_CODEC.decode(body)
        self.view.merge_upstreams(notice.upstreams, complete=False)
        self.view.remove_expired(notice.expired)


class SimulatedUpstream:
    """An upstream process, and its successors under the same name."""

    def __init__(self, *, name, number):
        self.name = name
        self._number = number
        self._sequence = 0
        self.started_ms = 1
        self.started_s = 0.0
        self.heard_s = 0.0
        self.leaves = False
        self.left_s = None
        self.is_running = True

    @property
    def incarnation(self):
        """Name and start of the process."""
        return (self.name, self.started_ms)

    def restart(self, now_s):
        """Start the next incarnation."""
        self.started_s = now_s
        self.started_ms = int(now_s * 1_000)
        self._sequence = 0
        self.leaves = False
        self.left_s = None
        self.is_running = True

    def next_call(self, method):
        """Return the next heartbeat, or a leave."""
        self._sequence += 1
        message = heartbeat(
            f"10.0.0.{self._number}:80", "shop", sequence=self._sequence
        )
        message["born"] = self.started_ms
        return SimpleNamespace(
            head=RequestHead(
                method=method,
                target=f"/v1/instances/{self.name}",
                headers=(),
            ),
            body=json.dumps(message).encode(),
        )


class SimulatedLink:
    """The link from one control instance to another."""

    def __init__(self, *, world, sender, to):
        self._world = world
        self._sender = sender
        self._to = to

    async def call(self, call, *, timeout_s):
        if not self._world.reaches(self._sender, self._to):
            raise PeerUnreachableError(self._to)
        exchange = self._world.control[self._to][0]
        if isinstance(call, RecordsCall):
            return exchange.all_records
        return Done(accepted=exchange.merge_spread(call))

    def notify(self, notice):
        if not self._world.reaches(self._sender, self._to):
            return
        if isinstance(notice, RenewalsNotice):
            self._world.control[self._to][0].merge_renewals(notice)


class StatusResponder:
    def __init__(self):
        self.status = 0

    def answer(self, status, headers, body):
        self.status = status
