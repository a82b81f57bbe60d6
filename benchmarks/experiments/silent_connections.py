"""Measures recovery when every open connection goes silent under load.

New connections work.
"""

from benchmarks.failure_runs import FailureRun

SUMMARY = "every open connection goes silent at once, new ones work"
SERVED_AFTER = 20


def run(*, seed):
    """Return a ``FailureReport``."""
    failure_run = FailureRun(seed=seed, proxied=True)
    try:
        failure_run.begin()
        failure_run.world.cluster.stall_open_connections()
        failure_run.record_time("a leader is known", failure_run.world.leader)
        failure_run.record_time(
            "answers again", lambda: _serve(failure_run.world)
        )
        return failure_run.end("silent-connections")
    finally:
        failure_run.world.close()


def _serve(world):
    world.wait_served(SERVED_AFTER)
    return True
