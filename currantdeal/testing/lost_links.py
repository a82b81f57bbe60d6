"""Runs entries that lose their links to upstreams beside callers."""

import asyncio
import random
import time
from collections import Counter
from functools import partial

from currantdeal.testing.cut_upstream import CutUpstream, SocketOwners
from currantdeal.testing.entry_world import config_body
from currantdeal.testing.first_tries import KINDS, FirstTries
from currantdeal.testing.loop_watch import LoopWatch
from currantdeal.testing.node_processes import NodeCluster
from currantdeal.testing.upstream_fleet import UpstreamFleet

START_S = 30.0
REQUESTS_PER_S = 40.0


class LostLinks:
    """Three control processes, some entries, upstreams and callers.

    Parameters
    ----------
    folder : pathlib.Path
        Folder for settings, logs and data folders.
    entries : int
        Number of entries.
    seed : int
        Seed of the callers.
    """

    def __init__(self, *, folder, entries=6, seed=1):
        """Start nothing before ``run``."""
        self.cluster = NodeCluster(folder=folder, control=3, entries=entries)
        self.fleet = UpstreamFleet(
            cluster=self.cluster,
            services=6,
            engines=4,
            make_standin=partial(
                CutUpstream,
                owners=SocketOwners(process_ids=self._process_ids),
            ),
        )
        self.callers = FirstTries(
            addresses=self._addresses, rng=random.Random(seed)
        )
        self._stopped = set()
        self._watch = LoopWatch()

    @property
    def longest_stall_s(self):
        """Longest time for which callers and upstreams all stood still."""
        return round(self._watch.longest_stall_s, 3)

    @property
    def tries(self):
        """All ``FirstTry`` so far."""
        return self.callers.sent

    def instances(self, numbers):
        """Return the names of entries by their numbers from 0."""
        entries = self.cluster.entries
        return {entries[n].settings["instance"] for n in numbers}

    def cut(self, numbers, how, upstreams=None):
        """Cut entries from upstreams, from all unless some are named."""
        ids = [self.cluster.entries[n].process_id for n in numbers]
        for name, standin in self.fleet.standins.items():
            if upstreams is None or name in upstreams:
                standin.cut(ids, how)

    def heal(self, numbers):
        """Restore all links of entries."""
        ids = [self.cluster.entries[n].process_id for n in numbers]
        for standin in self.fleet.standins.values():
            standin.heal(ids)

    def without_callers(self, number):
        """Send no more requests to an entry, which is about to stop."""
        self._stopped.add(number)

    def play(self, scenario):
        """Run a coroutine function of this object beside the callers."""

        async def run():
            with self.cluster:
                await self._start()
                watch = asyncio.ensure_future(self._watch.run())
                callers = asyncio.ensure_future(
                    self.callers.run(per_s=REQUESTS_PER_S)
                )
                try:
                    await scenario(self)
                finally:
                    callers.cancel()
                    watch.cancel()
                    self.fleet.stop()

        asyncio.run(run())

    def between(self, began_s, ended_s, *, instances=None, kind=None):
        """Return the tries sent in a time, of some entries or of a kind."""
        return [
            t
            for t in self.tries
            if began_s <= t.sent_s < ended_s
            and (instances is None or t.entry in instances)
            and kind in (None, t.kind)
        ]

    def excess_runs(self):
        """Return the requests that ran on more upstreams than they may."""
        runs = Counter(
            request.request_id
            for standin in self.fleet.standins.values()
            for request in standin.runs
        )
        allowed = {
            t.request_id: 2 if t.kind in ("menu", "draft") else 1
            for t in self.tries
        }
        return {
            number: count
            for number, count in runs.items()
            if count > allowed.get(number, count)
        }

    async def _start(self):
        await asyncio.to_thread(
            self.cluster.put_config, config_body(version=1)
        )
        await self.fleet.start()
        deadline_s = time.monotonic() + START_S
        for entry, address in self._addresses().items():
            for kind in KINDS:
                while not (
                    await self.callers.send(entry, address, kind)
                ).served:
                    if time.monotonic() > deadline_s:
                        raise TimeoutError(f"{entry} does not serve {kind}")
                    await asyncio.sleep(0.05)
        self.callers.sent.clear()

    def _addresses(self):
        found = {}
        for number, entry in enumerate(self.cluster.entries):
            if number not in self._stopped:
                host, _, port = entry.settings["listen"]["callers"].rpartition(
                    ":"
                )
                found[entry.settings["instance"]] = (host, int(port))
        return found

    def _process_ids(self):
        return [e.process_id for e in self.cluster.entries if e.is_running]
