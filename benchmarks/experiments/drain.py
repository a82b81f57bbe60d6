"""The home of the engines is stopped as planned, under load."""

from benchmarks.failure_runs import FailureRun
from currantdeal.adapters.settings import TimingSettings

SUMMARY = "the home of the engines drains: time, cut-off and refused requests"


def run(*, seed):
    """Return a ``FailureReport``."""
    timing = TimingSettings(entries_keep_s=1.0)
    runs = FailureRun(seed=seed, timing=timing)
    try:
        home = runs.home()
        instance = runs.world.cluster.instance(home)
        runs.begin()
        status = instance.terminate(limit_s=60.0)
        runs.note("exit", lambda: status == 0)
        runs.world.failed.add(home)
        runs.note("another home", lambda: runs.home() in runs.world.names())
        return runs.end("drain")
    finally:
        runs.world.close()
