"""Measures a failover: the home of the engines is killed under load."""

from benchmarks.failure_runs import FailureRun

SUMMARY = "the home of the engines is killed: detection, takeover, loss"


def run(*, seed):
    """Return a ``FailureReport``."""
    failure_run = FailureRun(seed=seed)
    try:
        home = failure_run.home()
        failure_run.begin()
        failure_run.world.fail(home)
        failure_run.record_time(
            "another home",
            lambda: failure_run.home() in failure_run.world.names(),
        )
        failure_run.record_time(
            "declared dead",
            lambda: failure_run.reported_statuses(home) == {"dead"},
        )
        return failure_run.end("crash")
    finally:
        failure_run.world.close()
