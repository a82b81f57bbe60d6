"""Plays slow callers and upstreams beside planned work on real processes."""

import asyncio
import itertools
import json
import math
import random
import signal
import time
from functools import partial

from currantdeal.testing.cut_upstream import SocketOwners
from currantdeal.testing.entry_world import LIMITS, config_body
from currantdeal.testing.loop_watch import LoopWatch
from currantdeal.testing.node_processes import NodeCluster
from currantdeal.testing.scripted_upstream import ScriptedUpstream
from currantdeal.testing.stall_verdicts import (
    GRACE_S,
    judge,
    works_by_request,
)
from currantdeal.testing.stalling_caller import RowCallers, StallingCall
from currantdeal.testing.stalling_rows import KINDS, rows
from currantdeal.testing.upstream_fleet import UpstreamFleet

START_S = 30.0
FLEET = {"services": 12, "engines": 20, "prefills": 10}
BEFORE_S = 5.0
"""Seconds for which callers come before the planned work."""

TIMEOUT_S = 14.0
TARGET_S = 1.0


class StallPlay:
    """Three control processes, three entries, upstreams and slow callers.

    Callers go to the first entry.

    Parameters
    ----------
    folder : pathlib.Path
        Folder for settings, logs and data folders.
    seed : int
        Seed of the callers.
    calls : tuple of Row or None
        What callers send; ``stalling_rows.rows`` by default.
    scale : float
        Multiple of the rows' rates.
    fleet : dict
        Further options of the ``UpstreamFleet``.
    engine : dict or None
        Changed fields of the engines in the configuration.
    cluster_options : dict
        Further options of the ``NodeCluster``.

    Attributes
    ----------
    stop_wait_s : float
        Longest time from the signal to the end of a process.
    callers : RowCallers
        The callers, with the ends of their calls.
    signalled_s : float
        When the first entry was signalled to stop; infinite before.
    """

    def __init__(
        self,
        *,
        folder,
        seed=1,
        calls=None,
        scale=1.0,
        fleet=FLEET,
        engine=None,
        **cluster_options,
    ):
        """Start nothing before ``play``."""
        self.cluster = NodeCluster(
            folder=folder, control=3, entries=3, **cluster_options
        )
        self.fleet = UpstreamFleet(
            cluster=self.cluster,
            **fleet,
            make_standin=partial(
                ScriptedUpstream,
                owners=SocketOwners(process_ids=self._process_ids),
            ),
        )
        self.callers = RowCallers(
            addresses=lambda: callers_addresses(self.called_entries),
            rng=random.Random(seed),
            rows=calls or rows(),
            scale=scale,
        )
        self.signalled_s = float("inf")
        self.stop_wait_s = GRACE_S + 2.0
        self.watch = LoopWatch()
        self._version = 0
        self._engine = engine

    @property
    def called_entries(self):
        """The entries that callers go to."""
        return self.cluster.entries[:1]

    @property
    def rows(self):
        """The names of the rows whose calls have ended."""
        return sorted({end.call.row for end in self.callers.ends})

    @property
    def entry(self):
        """The first entry."""
        return self.cluster.entries[0]

    def play(self, scenario):
        """Run a coroutine function of this object beside the callers.

        It ends once the last call has ended.
        """
        asyncio.run(self._play(scenario))

    async def _play(self, scenario):
        with self.cluster:
            await self.put_config()
            await self.fleet.start()
            await self.wait_serving()
            watch = asyncio.ensure_future(self.watch.run())
            try:
                await scenario(self)
            finally:
                watch.cancel()
                self.fleet.stop()

    async def put_config(self):
        """Send a new version of the configuration."""
        self._version += 1
        body = config_body(
            version=self._version,
            timeout_ms=int(TIMEOUT_S * 1e3),
            target_ms=int(TARGET_S * 1e3),
            limits={
                **LIMITS,
                "HeaderTimeoutMs": 5_000,
                "IdleTimeoutMs": 15_000,
            },
            engine=self._engine,
        )
        await asyncio.to_thread(self.cluster.put_config, body)

    async def wait_serving(self):
        """Wait until all entries serve a request of each kind."""
        ends_s = time.monotonic() + START_S
        for place in callers_addresses(self.cluster.entries).items():
            for kind in KINDS:
                call = StallingCall(row="first", kind=kind, deadline_s=1.0)
                while not (await self.callers.send(*place, call)).served:
                    if time.monotonic() > ends_s:
                        raise TimeoutError(f"{kind} is not served")
                    await asyncio.sleep(0.1)

    async def call_beside(self, work):
        """Let callers come while a coroutine runs; wait for their ends."""
        self.callers.start()
        await work
        await self.callers.stop()

    async def stop_entry(self):
        """Stop the entry after some seconds, and wait until it has ended."""
        await asyncio.sleep(BEFORE_S)
        self.signalled_s = time.monotonic()
        self.entry.send_signal(signal.SIGTERM)
        return await asyncio.to_thread(self.entry.wait, self.stop_wait_s)

    def cut_entry(self):
        """Cut the entry from all upstreams; the others remain its way."""
        for standin in self.fleet.standins.values():
            standin.refuse({self.entry.process_id})

    def works(self):
        """Return the lists of ``Work`` by request id, prefills left out."""
        return works_by_request(self.fleet.standins.values())

    def longest_overlap_s(self):
        """Return the longest time for which a request ran at two upstreams.

        Several runs of one request follow each other, but for the time that
        it takes to cancel one; negative if none has several.
        """
        return max(
            (
                min(earlier.ended_s, later.ended_s) - later.began_s
                for works in self.works().values()
                for earlier, later in itertools.pairwise(
                    sorted(works, key=lambda work: work.began_s)
                )
            ),
            default=-math.inf,
        )

    def verdicts(self):
        """Return pairs of a ``CallEnd`` and its verdict, see ``judge``."""
        works = self.works()
        return [
            (
                end,
                judge(
                    end,
                    works.get(end.request_id, ()),
                    self.signalled_at_s(end),
                ),
            )
            for end in self.callers.ends
        ]

    def signalled_at_s(self, end):
        """Return when the entry of a call was signalled to stop."""
        return self.signalled_s

    def failed_tasks(self):
        """Return the log lines of tasks that failed, of all processes."""
        return [
            line
            for process in self.cluster.processes
            for line in process.lines
            if line.get("event") == "task-failed"
        ]

    def log_lines(self, request_id):
        """Return the lines of all entries that name a request."""
        return [
            json.dumps(line)
            for process in self.cluster.entries
            for line in process.lines
            if line.get("request") == request_id
        ]

    def explain(self, ends):
        """Return what is known of calls: their times, works and log lines.

        Times are those of the log lines, so that both can be compared.
        """
        wall_s = time.time() - time.monotonic()
        works = self.works()
        parts = [
            f"stopped at {wall_s + self.signalled_s:.3f}, "
            f"longest stall of this loop {self.watch.longest_stall_s:.3f} s"
        ]
        for end in ends:
            parts += [
                f"{end.request_id} {end.call.row} {end.call.kind} "
                f"stalls {end.call.stall_s:.2f} s, {end.call.script}: "
                f"{end.how} {end.status} {end.received} bytes, "
                f"began {wall_s + end.began_s:.3f} "
                f"sent {wall_s + end.sent_s:.3f} "
                f"ended {wall_s + end.ended_s:.3f}",
                *(
                    f"  {work.upstream} {wall_s + work.began_s:.3f} "
                    f"to {wall_s + work.ended_s:.3f}"
                    for work in works.get(end.request_id, ())
                ),
                *self.log_lines(end.request_id),
            ]
        return "\n".join(parts)

    def _process_ids(self):
        return [e.process_id for e in self.cluster.entries if e.is_running]


def callers_addresses(entries):
    """Return host and port for callers by the names of entry processes."""
    found = {}
    for entry in entries:
        host, _, port = entry.settings["listen"]["callers"].rpartition(":")
        found[entry.settings["instance"]] = (host, int(port))
    return found
