"""Runs soaks of entry and control processes by the name of a fault set.

``bin/soak nodes`` and the tests share it.
"""

import asyncio
import pathlib
import shutil
import tempfile
from collections import Counter

from benchmarks.soak_crashes import CrashingFaultInjector, CrashingSoak
from benchmarks.soak_departures import DepartingSoak
from benchmarks.soak_endings import EndingSoak
from benchmarks.soak_limits import LimitingSoak
from benchmarks.soak_links import UnlinkingFaultInjector, UnlinkingSoak
from benchmarks.soak_node_faults import NodeFaultInjector
from benchmarks.soak_nodes import NodeSoak
from benchmarks.soak_pauses import PausingFaultInjector, PausingSoak
from benchmarks.soak_repetitions import RepeatingSoak
from benchmarks.soak_replacements import ReplacingFaultInjector
from benchmarks.soak_resets import ResettingFaultInjector
from benchmarks.soak_scripts import RecordingFaultInjector
from benchmarks.soak_stalls import StallingSoak

SOAKS = {
    "random": (NodeSoak, NodeFaultInjector),
    "replacing": (NodeSoak, ReplacingFaultInjector),
    "resetting": (NodeSoak, ResettingFaultInjector),
    "crashing": (CrashingSoak, CrashingFaultInjector),
    "limiting": (LimitingSoak, NodeFaultInjector),
    "ending": (EndingSoak, ResettingFaultInjector),
    "repeating": (RepeatingSoak, NodeFaultInjector),
    "departing": (DepartingSoak, NodeFaultInjector),
    "stalling": (StallingSoak, RecordingFaultInjector),
    "pausing": (PausingSoak, PausingFaultInjector),
    "unlinking": (UnlinkingSoak, UnlinkingFaultInjector),
}
"""Soak class and fault injector by the name of a fault set."""


def run_seed(seed, *, rounds, control=3, entries=3, faults="random"):
    """Run one soak and return its report.

    Parameters
    ----------
    faults : str
        A key of ``SOAKS``.

    Returns
    -------
    dict
        Printable report: seed, faults, checks and violations, and the folder
        with the logs if there are violations.
    """
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"currantdeal-soak-{seed}-"))
    soak_type, fault_injector_type = SOAKS[faults]
    soak = soak_type(
        seed=seed,
        folder=folder,
        control=control,
        entries=entries,
        faults=fault_injector_type,
    )
    asyncio.run(soak.run(rounds=rounds))
    if not soak.violations:
        shutil.rmtree(folder)
    received = Counter(f"{a.kind} {a.status}" for a in soak.attempts)
    return {
        "seed": seed,
        "faults": soak.faults,
        "ended": soak.early_exits,
        "longest_stall_s": round(soak.loop_watch.longest_stall_s, 3),
        "checked": dict(soak.checked),
        "received": dict(received),
        "violations": soak.violations,
        "logs": str(folder) if soak.violations else "",
    }
