"""Simulates upstreams, control instances and entries that exchange records.

The exchanges, the operations of upstreams and the views of entries are those
of the product; clock and network are simulated.  A schedule restarts and
partitions processes, and has upstreams leave, restart and send late messages.
"""

import asyncio
import random
from collections import Counter, deque

from currantdeal.control.exchange import RecordExchange
from currantdeal.control.operations import ControlOperations
from currantdeal.control.tests.record_processes import (
    CONTROL,
    HEARTBEAT_S,
    SimulatedEntry,
    SimulatedLink,
    SimulatedUpstream,
    StatusResponder,
)
from currantdeal.node.messages import (
    ControlPlace,
)
from currantdeal.platform.control import PlatformControl

STEP_S = 0.5
"""Time between two steps, which is that between two heartbeats."""

STEPS = 240
DRAIN_S = 2.5
"""Time after an acknowledged leave within which entries observe it."""

APPEAR_S = 4.0
"""Undisturbed time after which entries know an upstream."""

RETAINED_S = 25.0
"""Silence of an upstream during which no entry may drop it."""

SERVE_ON_S = 4.0
LATENESS_S = 4.0
"""Longest delay of a late message."""

ENTRIES = ("e1", "e2")
UPSTREAMS = ("u1", "u2", "u3")


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
        self._entries = {name: SimulatedEntry(world=self) for name in ENTRIES}
        self._upstreams = {
            name: SimulatedUpstream(name=name, number=number)
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
            links=lambda to: SimulatedLink(world=self, sender=name, to=to),
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
        responder = StatusResponder()
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


async def _settle():
    """Let the tasks end that this step has started."""
    for _ in range(8):
        await asyncio.sleep(0.0)
