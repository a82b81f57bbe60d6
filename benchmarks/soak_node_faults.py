"""Random faults on entry and control processes and their connections."""

import asyncio
import shutil
import signal
from pathlib import Path

from currantdeal.testing.proxy import Cut, LinkFaults

SHORTEST_S = 0.2
LONGEST_S = 4.0

LONGEST_PAUSE_S = 6.0
"""Longest pause of a process: longer than any lease or silence limit."""

DISK_PAUSE_S = 8.0
"""Time between two losses of a disk, for the first to be made up for."""


class NodeFaults:
    """Begins random faults and heals them.

    Parameters
    ----------
    soak : benchmarks.soak_nodes.NodeSoak
        The processes, proxies and source of chance.
    """

    def __init__(self, *, soak):
        """Begin nothing yet."""
        self._soak = soak
        self._chance = soak.chance
        self._busy = set()
        self._pending = set()
        self._disk_lost_s = None
        self._kinds = (
            self._kill,
            self._kill,
            self._pause,
            self._stop,
            self._kill_all_control,
            self._lose_disk,
            self._tear_disk,
            self._hang_up,
            self._harm_upstream,
            self._harm_upstream,
            self._harm_entry,
        )

    def begin(self):
        """Begin a fault and return its name.

        A kind that finds all its places taken gives way to another one.
        """
        name = None
        while name is None:
            name = self._chance.choice(self._kinds)()
        return name

    async def heal(self):
        """Wait until the last fault has ended.

        A process that a signal met before it could handle it has ended, and
        is started again, as on the platform.
        """
        await asyncio.gather(*self._pending)
        for process in self._soak.cluster.processes:
            if not process.is_running:
                self._soak.ended += 1
                _restart(process)

    def _later(self, undo, *, process=None, most_s=LONGEST_S):
        """Undo a fault after some time."""
        if process is not None:
            self._busy.add(process)

        async def wait():
            await asyncio.sleep(self._chance.uniform(SHORTEST_S, most_s))
            undo()
            self._busy.discard(process)

        self._run(wait())

    def _run(self, work):
        task = asyncio.ensure_future(work)
        self._pending.add(task)
        task.add_done_callback(self._pending.discard)

    def _process(self, *, among=None):
        found = [
            process
            for process in among or self._soak.cluster.processes
            if process not in self._busy
        ]
        return self._chance.choice(found) if found else None

    def _kill(self):
        process = self._process()
        if process is None:
            return None
        process.kill()
        self._later(lambda: _restart(process), process=process)
        return f"kill-{process.role}"

    def _pause(self):
        process = self._process()
        if process is None:
            return None
        process.send_signal(signal.SIGSTOP)
        self._later(
            lambda: process.send_signal(signal.SIGCONT),
            process=process,
            most_s=LONGEST_PAUSE_S,
        )
        return f"pause-{process.role}"

    def _stop(self):
        process = self._process()
        if process is None:
            return None
        process.send_signal(signal.SIGTERM)

        def undo():
            process.kill()
            _restart(process)

        self._later(undo, process=process)
        return f"stop-{process.role}"

    def _kill_all_control(self):
        control = self._soak.cluster.control
        if self._busy.intersection(control):
            return None
        for process in control:
            process.kill()
            self._later(
                lambda process=process: _restart(process),
                process=process,
                most_s=1.0,
            )
        return "kill-all-control"

    def _lose_disk(self):
        return self._harm_disk("lose-disk", _lose_folder)

    def _tear_disk(self):
        return self._harm_disk("tear-disk", _tear_files)

    def _harm_disk(self, name, harm):
        """Kill a control instance and harm its disk.

        One disk may be lost at a time, so no other control instance is
        harmed before this one has had time to make up for it.
        """
        now_s = asyncio.get_running_loop().time()
        control = self._soak.cluster.control
        lost_s = self._disk_lost_s
        if lost_s is not None and now_s - lost_s < DISK_PAUSE_S:
            return None
        if self._busy.intersection(control):
            return None
        process = self._process(among=control)
        process.kill()
        harm(process.settings["data_folder"])
        self._disk_lost_s = now_s
        self._busy.update(control)

        def undo():
            _restart(process)
            self._run(self._free_control_later())

        self._later(undo, process=process)
        return name

    async def _free_control_later(self):
        await asyncio.sleep(DISK_PAUSE_S)
        self._busy.difference_update(self._soak.cluster.control)

    def _hang_up(self):
        process = self._process()
        if process is not None:
            process.send_signal(signal.SIGHUP)
        return "hang-up"

    def _harm_upstream(self):
        upstream = self._chance.choice(self._soak.upstreams)
        return self._harm_link(upstream.proxy, "upstream")

    def _harm_entry(self):
        name = self._chance.choice(sorted(self._soak.entry_proxies))
        return self._harm_link(self._soak.entry_proxies[name], "entry")

    def _harm_link(self, proxy, name):
        kind = self._chance.choice(
            ("delay", "cut", "cut-one-way", "refuse", "silence", "reset")
        )
        if kind == "silence":
            proxy.silence_open()
        elif kind == "reset":
            proxy.reset_open()
        else:
            proxy.set_faults(self._link_faults(kind))
            self._later(lambda: proxy.set_faults(LinkFaults()))
        return f"{kind}-{name}"

    def _link_faults(self, kind):
        if kind == "delay":
            return LinkFaults(delay_s=self._chance.uniform(0.02, 0.3))
        if kind == "refuse":
            return LinkFaults(refuse=True)
        if kind == "cut":
            return LinkFaults(cut=Cut.BOTH)
        way = self._chance.choice((Cut.TO_TARGET, Cut.TO_SOURCE))
        return LinkFaults(cut=way)


def _restart(process):
    if process.role == "control":
        process.settings["first_start"] = False
    process.start()


def _lose_folder(folder):
    shutil.rmtree(folder, ignore_errors=True)


def _tear_files(folder):
    """Leave half a record at the end of the newest file, as a crash may."""
    files = [f for f in Path(folder).rglob("*") if f.is_file()]
    if files:
        newest = max(files, key=lambda f: f.stat().st_mtime_ns)
        with newest.open("ab") as out:
            out.write(b"\x00\x01torn")
