"""Plays common stalls of upstreams on real processes."""

import asyncio
import contextlib
import random
import signal
from collections import Counter

from currantdeal.testing.common_stalls import (
    ENGINES,
    HOME,
    OTHER,
    PREFILLS,
    Beside,
    Group,
    announcements,
    members,
)
from currantdeal.testing.pause_gate import standing_still
from currantdeal.testing.stall_play import StallPlay

CALLS_S = 20.0
CUT_S = 5.0
PAUSE_S = (2.0, 4.0)
"""Seconds between the end of a stall and the next."""

FLEET = {"services": 3, "engines": ENGINES, "prefills": PREFILLS}


class PausePlay(StallPlay):
    """A play whose upstreams stand still together now and then.

    No upstream fails or ends, so that none of the stalls is a reason to end
    an answer.

    Parameters
    ----------
    folder : pathlib.Path
        Folder for settings, logs and data folders.
    case : CommonStall
        What stands still, and what goes on beside.
    seed : int
        Seed of the callers and of the times of the stalls.

    Attributes
    ----------
    stalls : list of tuple
        When each stall began and ended.
    """

    def __init__(self, *, folder, case, seed):
        """Start nothing before ``run``."""
        super().__init__(
            folder=folder,
            seed=seed,
            calls=case.rows,
            fleet={**FLEET, "announced": announcements(runs=case.runs)},
            engine=case.engine,
            bounds=case.bounds,
            data_centers=(HOME, OTHER),
        )
        self.stalls = []
        self._case = case
        self._rng = random.Random(f"stalls {seed}")
        self._stopped_s = {}
        if case.group is Group.ENTRY:
            # A process that is paused as the signal comes, and as its grace
            # ends, sees neither before it goes on.
            self.stop_wait_s += 2 * case.stall_s
        for standin in self._standins(Group.DECODE):
            standin.most_runs = case.runs

    @property
    def called_entries(self):
        """The entries that callers go to."""
        if self._case.beside is Beside.ROLLING:
            return self.cluster.entries
        return super().called_entries

    def signalled_at_s(self, end):
        """Return when the entry of a call was signalled to stop."""
        return self._stopped_s.get(end.entry, self.signalled_s)

    def run(self):
        """Play the case; return the number of calls by verdict."""
        self.play(PausePlay._scenario)
        return Counter(verdict for _, verdict in self.verdicts())

    async def _scenario(self):
        case = self._case
        if case.beside in (Beside.HELPER, Beside.HELPER_STOP):
            self.cut_entry()
            await asyncio.sleep(CUT_S)
            await self.wait_serving()
        works = {
            Beside.RELOAD: self._reload,
            Beside.STOP: self.stop_entry,
            Beside.HELPER_STOP: self.stop_entry,
            Beside.ROLLING: self._stop_in_turn,
        }
        work = works.get(case.beside, self._rest)
        stalls = asyncio.ensure_future(self._stall_now_and_then())
        try:
            await self.call_beside(work())
        finally:
            stalls.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await stalls

    async def _rest(self):
        await asyncio.sleep(CALLS_S)

    async def _reload(self):
        await asyncio.sleep(CALLS_S / 2)
        self.entry.send_signal(signal.SIGHUP)
        await self.put_config()
        await asyncio.sleep(CALLS_S / 2)

    async def _stop_in_turn(self):
        loop = asyncio.get_running_loop()
        for entry in self.cluster.entries:
            await asyncio.sleep(3.0)
            self._stopped_s[entry.settings["instance"]] = loop.time()
            entry.send_signal(signal.SIGTERM)
            await asyncio.to_thread(entry.wait, self.stop_wait_s)
            await asyncio.to_thread(entry.start)

    async def _stall_now_and_then(self):
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(self._rng.uniform(*PAUSE_S))
            began_s = loop.time()
            await self._stall()
            self.stalls.append((began_s, loop.time()))

    async def _stall(self):
        case = self._case
        engines = self._standins(Group.DECODE) if case.is_full else ()
        with (
            self._paused_entry(),
            standing_still(
                self._standins(case.group),
                holds_calls=case.holds_calls,
                full=engines,
            ),
        ):
            await asyncio.sleep(case.stall_s)

    @contextlib.contextmanager
    def _paused_entry(self):
        is_paused = self._case.group is Group.ENTRY and self.entry.is_running
        if is_paused:
            self.entry.send_signal(signal.SIGSTOP)
        try:
            yield
        finally:
            if is_paused:
                self.entry.send_signal(signal.SIGCONT)

    def _standins(self, group):
        return [self.fleet.standins[name] for name in members(group)]
