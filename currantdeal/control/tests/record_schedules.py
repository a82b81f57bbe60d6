"""Simulates upstreams, control instances and entries that exchange records.

The exchanges, the operations of upstreams and the views of entries are those
of the product; clock and network are simulated.  A schedule restarts and
partitions processes, and has upstreams leave, restart and send late messages.
"""

import asyncio
import json
import random
from collections import Counter, deque
from types import SimpleNamespace

from thrift.protocol.TBinaryProtocol import TBinaryProtocolAcceleratedFactory
from thrift.TSerialization import deserialize

from currantdeal.adapters.generated.peers.ttypes import Frame
from currantdeal.control.exchange import RecordExchange
from currantdeal.control.operations import ControlOperations
from currantdeal.entry.view import EntryView
from currantdeal.node.errors import PeerUnreachableError
from currantdeal.node.head import RequestHead
from currantdeal.node.messages import (
    PEER_CODEC,
    ControlPlace,
    Done,
    RecordsCall,
    RenewalsNotice,
)
from currantdeal.platform.config import decode_config
from currantdeal.platform.control import PlatformControl
from currantdeal.testing.platform_upstream import heartbeat

STEP_S = 0.5
"""Time between two steps, which is that between two heartbeats."""

STEPS = 240
HEARTBEAT_S = 1.0
DRAIN_S = 2.5
"""Time after an acknowledged leave within which entries observe it."""

APPEAR_S = 4.0
"""Undisturbed time after which entries know an upstream."""

RETAINED_S = 25.0
"""Silence of an upstream during which no entry may drop it."""

SERVE_ON_S = 4.0
LATENESS_S = 4.0
"""Longest delay of a late message."""

CONTROL = ("c1", "c2", "c3")
ENTRIES = ("e1", "e2")
UPSTREAMS = ("u1", "u2", "u3")


_PROTOCOL = TBinaryProtocolAcceleratedFactory()


class InvariantBrokenError(AssertionError):
    """A schedule broke a promise."""


class RecordSimulation:
    """One schedule.

    Parameters
    ----------
    seed : int
        Determines the schedule.

    Attributes
    ----------
    counts : collections.Counter
        What has happened, by name.
    """

    def __init__(self, *, seed):
        """Start all processes."""
        self.now_s = 1_000.0
        self.counts = Counter()
        self.control = {}
        self._saved_leaves = {name: () for name in CONTROL}
        self._random = random.Random(seed)
        self._cut = set()
        self._late = deque()
        self._disturbed_s = self.now_s
        for name in CONTROL:
            self._start_control(name)
        self._entries = {name: _Entry(world=self) for name in ENTRIES}
        self._upstreams = {
            name: _Upstream(name=name, number=number)
            for number, name in enumerate(UPSTREAMS, start=1)
        }

    def run(self, steps=STEPS):
        """Run the schedule; raises ``InvariantBrokenError``."""
        asyncio.run(self._run(steps))

    def has_leader(self, name):
        """Return whether a control instance reaches a majority."""
        reached = [c for c in CONTROL if self.reaches(name, c)]
        return len(reached) > len(CONTROL) // 2

    def reaches(self, sender, receiver):
        """Return whether messages arrive; control instances may be down."""
        is_up = {sender, receiver}.intersection(CONTROL) <= set(self.control)
        return is_up and not {sender, receiver} & self._cut

    async def _run(self, steps):
        for _ in range(steps):
            self.now_s += STEP_S
            for _ in range(self._random.choice((0, 0, 1, 1, 2))):
                self._disturb()
            await self._deliver_late()
            for upstream in self._upstreams.values():
                await self._step_upstream(upstream)
            for exchange, _ in tuple(self.control.values()):
                exchange.expire()
                exchange.spread_renewals({})
            await _settle()
            for name, entry in self._entries.items():
                await entry.step(name)
            await _settle()
            self._verify()

    def _disturb(self):
        kind = self._random.choice(
            (
                self._kill_control,
                self._kill_all_control,
                self._restart_control,
                self._restart_control,
                self._cut_any,
                self._heal,
                self._heal,
                self._leave,
                self._restart_upstream,
                self._restart_upstream,
                self._move_entry,
            )
        )
        kind()
        self.counts[kind.__name__.strip("_")] += 1

    def _kill_control(self):
        self.control.pop(self._random.choice(CONTROL), None)

    def _kill_all_control(self):
        for name in CONTROL:
            self._start_control(name)

    def _restart_control(self):
        for name in CONTROL:
            if name not in self.control:
                self._start_control(name)

    def _cut_any(self):
        self._cut.add(self._random.choice(CONTROL + ENTRIES + UPSTREAMS))

    def _heal(self):
        self._cut.clear()

    def _leave(self):
        upstream = self._random.choice(tuple(self._upstreams.values()))
        upstream.leaves = True

    def _restart_upstream(self):
        for upstream in self._upstreams.values():
            if not upstream.is_running:
                upstream.restart(self.now_s)

    def _move_entry(self):
        self._random.choice(tuple(self._entries.values())).source = None

    def _start_control(self, name):
        exchange = RecordExchange(
            local_place=ControlPlace(address=name, data_center="dc1"),
            control=lambda: CONTROL,
            voters=lambda: CONTROL,
            links=lambda to: _Link(world=self, sender=name, to=to),
            heartbeat_s=HEARTBEAT_S,
            has_leader=lambda: self.has_leader(name),
            clock=lambda: self.now_s,
            save_leaves=lambda found: self._saved_leaves.update({name: found}),
        )
        exchange.load_leaves(self._saved_leaves[name])
        operations = ControlOperations(
            dialect=PlatformControl(),
            config=None,
            exchange=exchange,
            has_leader=lambda: self.has_leader(name),
            clock=lambda: self.now_s,
        )
        for entry in getattr(self, "_entries", {}).values():
            if entry.source == name:
                entry.source = None
        self.control[name] = (exchange, operations)

    async def _step_upstream(self, upstream):
        if not upstream.is_running:
            return
        if upstream.left_s is not None:
            if self.now_s - upstream.left_s > SERVE_ON_S:
                upstream.is_running = False
            return
        method = "DELETE" if upstream.leaves else "PUT"
        call = upstream.next_call(method)
        if self._random.random() < 0.05:
            delay_s = self._random.uniform(0.0, LATENESS_S)
            self._late.append((self.now_s + delay_s, call))
            return
        status = await self._send(upstream.name, call)
        if status == 200:
            upstream.heard_s = self.now_s
        if method == "DELETE" and status == 200:
            upstream.left_s = self.now_s
            self.counts["leaves acknowledged"] += 1

    async def _deliver_late(self):
        for _ in range(len(self._late)):
            due_s, call = self._late.popleft()
            if due_s > self.now_s:
                self._late.append((due_s, call))
            else:
                await self._send(None, call)

    async def _send(self, sender, call):
        """Return the status of a call at any control instance that answers."""
        if sender in self._cut:
            return 0
        name = self._random.choice(CONTROL)
        if not self.reaches(name, name):
            return 0
        responder = _Responder()
        await self.control[name][1].handle(call, responder)
        return responder.status

    def _verify(self):
        if self._cut or len(self.control) < len(CONTROL):
            self._disturbed_s = self.now_s
        for name, entry in self._entries.items():
            for upstream in self._upstreams.values():
                uses = entry.uses(upstream)
                if upstream.left_s is not None:
                    if uses and entry.is_in_touch(name):
                        self._verify_leave(name, entry, upstream)
                elif not (uses or upstream.leaves):
                    self._verify_use(name, entry, upstream)
            entry.used = {
                upstream.incarnation
                for upstream in self._upstreams.values()
                if entry.uses(upstream)
            }

    def _verify_leave(self, name, entry, upstream):
        since_s = max(upstream.left_s, entry.in_touch_since_s)
        if self.now_s - since_s > DRAIN_S:
            raise InvariantBrokenError(
                f"{name} sends work to {upstream.name}"
                f" {self.now_s - upstream.left_s:.1f} s after its leave"
            )

    def _verify_use(self, name, entry, upstream):
        """Verify that an upstream may be unknown to an entry."""
        if not upstream.is_running:
            return
        silence_s = self.now_s - upstream.heard_s
        if upstream.incarnation in entry.used and silence_s < RETAINED_S:
            raise InvariantBrokenError(
                f"{name} drops {upstream.name}, heard {silence_s:.1f} s ago"
            )
        since_s = max(
            self._disturbed_s, entry.in_touch_since_s, upstream.started_s
        )
        if self.now_s - since_s > APPEAR_S and silence_s < 2.0:
            raise InvariantBrokenError(f"{name} lacks {upstream.name}")


class _Entry:
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


class _Upstream:
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


class _Link:
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


class _Responder:
    def __init__(self):
        self.status = 0

    def answer(self, status, headers, body):
        self.status = status


async def _settle():
    """Let the tasks end that this step has started."""
    for _ in range(8):
        await asyncio.sleep(0.0)
