"""Soaks of entry and control processes by the names of their faults."""

import asyncio
import pathlib
import shutil
import tempfile
from collections import Counter

from benchmarks.soak_crashes import CrashingFaults, CrashingSoak
from benchmarks.soak_node_faults import NodeFaults
from benchmarks.soak_nodes import NodeSoak
from benchmarks.soak_replacements import ReplacingFaults
from benchmarks.soak_resets import ResettingFaults

SOAKS = {
    "random": (NodeSoak, NodeFaults),
    "replacing": (NodeSoak, ReplacingFaults),
    "resetting": (NodeSoak, ResettingFaults),
    "crashing": (CrashingSoak, CrashingFaults),
}
"""What is played and checked, and which faults are begun."""


def play_seed(seed, *, rounds, control=3, entries=3, faults="random"):
    """Play a soak and return what it did, checked and found.

    Parameters
    ----------
    faults : str
        One of ``SOAKS``.

    Returns
    -------
    dict
        Seed, faults, checks and violations, ready to be printed, and where
        the logs of a soak with violations are.
    """
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"currantdeal-soak-{seed}-"))
    soak_of, faults_of = SOAKS[faults]
    soak = soak_of(
        seed=seed,
        folder=folder,
        control=control,
        entries=entries,
        faults=faults_of,
    )
    asyncio.run(soak.run(rounds=rounds))
    if not soak.violations:
        shutil.rmtree(folder)
    received = Counter(f"{a.kind} {a.status}" for a in soak.attempts)
    return {
        "seed": seed,
        "faults": soak.faults,
        "ended": soak.ended,
        "checked": dict(soak.checked),
        "received": dict(received),
        "violations": soak.violations,
        "logs": str(folder) if soak.violations else "",
    }
