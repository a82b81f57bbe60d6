"""Injects random faults into entry and control processes and their links."""

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
"""Time between two losses of a disk, for the repair of the first."""


class NodeFaultInjector:
    """Injects random faults and heals them.

    Parameters
    ----------
    soak : benchmarks.soak_nodes.NodeSoak
        Provides the processes, the proxies and the random generator.
    """

    def __init__(self, *, soak):
        """Prepare the kinds of faults without injecting any."""
        self._soak = soak
        self._rng = soak.rng
        self._affected = set()
        self._tasks = []
        self._disk_lost_s = None
        self._kinds = (
            self._kill,
            self._kill,
            self._pause,
            self._stop,
            self._kill_all_control,
            self._lose_disk,
            self._tear_disk,
            self._send_hangup,
            self._disturb_upstream,
            self._disturb_upstream,
            self._disturb_entry,
        )

    def inject(self):
        """Inject a fault and return its name.

        Draws another kind if all possible places of a kind already have a
        fault.
        """
        name = None
        while name is None:
            name = self._rng.choice(self._kinds)()
        return name

    async def heal(self):
        """Wait until the last fault has ended.

        A process exits early if a signal arrives before its handler is
        installed.  Such a process is started again, as the platform does.
        """
        await asyncio.gather(*self._tasks)
        for process in self._soak.cluster.processes:
            if not process.is_running:
                self._soak.early_exits += 1
                _restart(process)

    def _undo_later(self, undo, *, process=None, longest_s=LONGEST_S):
        """Undo a fault after a random time."""
        if process is not None:
            self._affected.add(process)

        async def wait():
            await asyncio.sleep(self._rng.uniform(SHORTEST_S, longest_s))
            undo()
            self._affected.discard(process)

        self._start_task(wait())

    def _start_task(self, work):
        # Tasks that have ended are kept, so that ``heal`` raises their errors.
        self._tasks.append(asyncio.ensure_future(work))

    def _pick_process(self, *, among=None):
        candidates = [
            process
            for process in among or self._soak.cluster.processes
            if process not in self._affected
        ]
        return self._rng.choice(candidates) if candidates else None

    def _kill(self):
        process = self._pick_process()
        if process is None:
            return None
        process.kill()
        self._undo_later(lambda: _restart(process), process=process)
        return f"kill-{process.role}"

    def _pause(self):
        process = self._pick_process()
        if process is None:
            return None
        process.send_signal(signal.SIGSTOP)
        self._undo_later(
            lambda: process.send_signal(signal.SIGCONT),
            process=process,
            longest_s=LONGEST_PAUSE_S,
        )
        return f"pause-{process.role}"

    def _stop(self):
        process = self._pick_process()
        if process is None:
            return None
        process.send_signal(signal.SIGTERM)

        def undo():
            process.kill()
            _restart(process)

        self._undo_later(undo, process=process)
        return f"stop-{process.role}"

    def _kill_all_control(self):
        control = self._soak.cluster.control
        if self._affected.intersection(control):
            return None
        for process in control:
            process.kill()
            self._undo_later(
                lambda process=process: _restart(process),
                process=process,
                longest_s=1.0,
            )
        return "kill-all-control"

    def _lose_disk(self):
        return self._damage_disk("lose-disk", _lose_folder)

    def _tear_disk(self):
        return self._damage_disk("tear-disk", _tear_files)

    def _damage_disk(self, name, damage):
        """Kill a control instance and damage its disk.

        One disk may be lost at a time, so no other control instance gets a
        fault until this one has had time to recover its data.
        """
        now_s = asyncio.get_running_loop().time()
        control = self._soak.cluster.control
        lost_s = self._disk_lost_s
        if lost_s is not None and now_s - lost_s < DISK_PAUSE_S:
            return None
        if self._affected.intersection(control):
            return None
        process = self._pick_process(among=control)
        process.kill()
        damage(process.settings["data_folder"])
        self._disk_lost_s = now_s
        self._affected.update(control)

        def undo():
            _restart(process)
            self._start_task(self._release_control_later())

        self._undo_later(undo, process=process)
        return name

    async def _release_control_later(self):
        await asyncio.sleep(DISK_PAUSE_S)
        self._affected.difference_update(self._soak.cluster.control)

    def _send_hangup(self):
        process = self._pick_process()
        if process is not None:
            process.send_signal(signal.SIGHUP)
        return "hang-up"

    def _disturb_upstream(self):
        upstream = self._rng.choice(
            [u for u in self._soak.upstreams if u.proxy is not None]
        )
        return self._disturb_link(upstream.proxy, "upstream")

    def _disturb_entry(self):
        name = self._rng.choice(sorted(self._soak.entry_proxies))
        return self._disturb_link(self._soak.entry_proxies[name], "entry")

    def _disturb_link(self, proxy, name):
        kind = self._rng.choice(
            ("delay", "cut", "cut-one-way", "refuse", "silence", "reset")
        )
        if kind == "silence":
            proxy.stall_open_connections()
        elif kind == "reset":
            proxy.reset_open_connections()
        else:
            proxy.set_faults(self._link_faults(kind))
            self._undo_later(lambda: proxy.set_faults(LinkFaults()))
        return f"{kind}-{name}"

    def _link_faults(self, kind):
        if kind == "delay":
            return LinkFaults(delay_s=self._rng.uniform(0.02, 0.3))
        if kind == "refuse":
            return LinkFaults(refuse=True)
        if kind == "cut":
            return LinkFaults(cut=Cut.BOTH)
        direction = self._rng.choice((Cut.TO_TARGET, Cut.TO_SOURCE))
        return LinkFaults(cut=direction)


def _restart(process):
    if process.role == "control":
        process.settings["first_start"] = False
    process.start()


def _lose_folder(folder):
    shutil.rmtree(folder, ignore_errors=True)


def _tear_files(folder):
    """Leave a torn record at the end of the newest file, as a crash may."""
    files = [f for f in Path(folder).rglob("*") if f.is_file()]
    if files:
        newest = max(files, key=lambda f: f.stat().st_mtime_ns)
        with newest.open("ab") as out:
            out.write(b"\x00\x01torn")
