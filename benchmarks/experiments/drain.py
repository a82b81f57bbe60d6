"""Measures a planned stop of the home of the engines under load."""

from benchmarks.failure_runs import FailureRun
from currantdeal.adapters.settings import TimingSettings

SUMMARY = "the home of the engines drains: time, cut-off and refused requests"


def run(*, seed):
    """Return a ``FailureReport``."""
    timing = TimingSettings(entries_keep_s=1.0)
    failure_run = FailureRun(seed=seed, timing=timing)
    try:
        home = failure_run.home()
        instance = failure_run.world.cluster.instance(home)
        failure_run.begin()
        status = instance.terminate(limit_s=60.0)
        failure_run.record_time("exit", lambda: status == 0)
        failure_run.world.failed.add(home)
        failure_run.record_time(
            "another home",
            lambda: failure_run.home() in failure_run.world.names(),
        )
        return failure_run.end("drain")
    finally:
        failure_run.world.close()
