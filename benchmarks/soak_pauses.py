"""Soaks processes beside engines and entries that stand still and go on.

Groups of engines, single streams and entries pause for up to 5 s, with free
and with full memory, and with retry budgets of all sizes.  Verified is that
none of it costs an answer.
"""

import asyncio
import contextlib
import signal

from benchmarks.soak_scripts import RecordingFaultInjector, ScriptedSoak
from currantdeal.testing.common_stalls import CommonStall, Group
from currantdeal.testing.pause_gate import standing_still

STALL_S = (0.5, 5.0)
ENTRY_PAUSE_S = (0.5, 3.0)
CALM_S = (1.0, 3.0)
RETRY_BURSTS = (0.0, 6.0, 50.0)
FULL_SHARE = 0.3
"""Share of the stalls in which no engine grants memory."""

GROUPS = (Group.DECODE, Group.PREFILL, Group.ENGINES)

ROWS = (
    *CommonStall(deadlines_s=(5.0, 14.0), calls_per_s=4.0).rows,
    *CommonStall(group=Group.STREAM, calls_per_s=2.0).rows,
)


class PausingSoak(ScriptedSoak):
    """A soak whose engines stand still together now and then."""

    engines, prefills = 4, 2
    rows = ROWS
    promise = "a stall costs no answer"

    def __init__(self, **options):
        """Prepare the processes; ``run`` starts them."""
        super().__init__(**options)
        burst = self.rng.choice(RETRY_BURSTS)
        for process in self.cluster.processes:
            bounds = {**process.settings["bounds"], "RetryBurst": burst}
            process.settings["bounds"] = bounds

    def draw_group(self):
        """Return the stand-ins of a group, or of a part of the engines."""
        group = self.rng.choice((*GROUPS, None))
        stages = {
            Group.DECODE: ("decode",),
            Group.PREFILL: ("prefill",),
        }.get(group, ("decode", "prefill"))
        found = [u.standin for u in self.upstreams if u.stage in stages]
        if group is None:
            found = self.rng.sample(found, self.rng.randint(1, len(found) - 1))
        return found

    async def stall(self, standins):
        """Let stand-ins stand still for a random time."""
        holds_calls = self.rng.random() < 0.5
        engines = [u.standin for u in self.upstreams if u.stage == "decode"]
        is_full = self.rng.random() < FULL_SHARE
        with standing_still(
            standins, holds_calls=holds_calls, full=engines if is_full else ()
        ):
            await asyncio.sleep(self.rng.uniform(*STALL_S))

    async def _stop_entry(self):
        stalls = asyncio.ensure_future(self._stall_now_and_then())
        try:
            await super()._stop_entry()
        finally:
            stalls.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await stalls

    async def _stall_now_and_then(self):
        while True:
            await self.stall(self.draw_group())
            await asyncio.sleep(self.rng.uniform(*CALM_S))


class PausingFaultInjector(RecordingFaultInjector):
    """Lets groups of engines and entries stand still.

    None of this is recorded as a disturbance, as it explains no lost answer;
    a disturbed link to an engine is.
    """

    def __init__(self, *, soak):
        """Prepare the kinds of faults without injecting any."""
        super().__init__(soak=soak)
        self._is_stalled = False
        self._kinds = (
            self._stall_group,
            self._stall_group,
            self._stall_group,
            self._pause_entry,
            self._send_hangup,
            self._disturb_upstream,
        )

    def _stall_group(self):
        if not self._is_stalled:
            self._is_stalled = True
            self._start_task(self._stall(self._soak.draw_group()))
        return "stall"

    async def _stall(self, standins):
        await self._soak.stall(standins)
        self._is_stalled = False

    def _pause_entry(self):
        entry = self._pick_process(among=self._soak.cluster.entries)
        if entry is None:
            return None
        self._affected.add(entry)
        entry.send_signal(signal.SIGSTOP)
        self._start_task(self._continue(entry))
        return "pause-entry"

    async def _continue(self, entry):
        await asyncio.sleep(self._rng.uniform(*ENTRY_PAUSE_S))
        entry.send_signal(signal.SIGCONT)
        self._affected.discard(entry)
