"""Every open connection of the system goes silent at once, under load."""

from benchmarks.failure_runs import FailureRun

SUMMARY = "every open connection goes silent at once, new ones work"
SERVED_AFTER = 20


def run(*, seed):
    """Return a ``FailureReport``."""
    runs = FailureRun(seed=seed, proxied=True)
    try:
        runs.begin()
        runs.world.cluster.silence_open()
        runs.note("a leader is known", runs.world.leader)
        runs.note("answers again", lambda: _serve(runs.world))
        return runs.end("silent-connections")
    finally:
        runs.world.close()


def _serve(world):
    world.await_served(SERVED_AFTER)
    return True
