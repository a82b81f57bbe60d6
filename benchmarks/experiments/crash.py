"""The home of the engines is killed under load."""

from benchmarks.failure_runs import FailureRun

SUMMARY = "the home of the engines is killed: detection, takeover, loss"


def run(*, seed):
    """Return a ``FailureReport``."""
    runs = FailureRun(seed=seed)
    try:
        home = runs.home()
        runs.begin()
        runs.world.fail(home)
        runs.note("another home", lambda: runs.home() in runs.world.names())
        runs.note("declared dead", lambda: runs.believed(home) == {"dead"})
        return runs.end("crash")
    finally:
        runs.world.close()
