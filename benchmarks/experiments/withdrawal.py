"""Measures the withdrawal of an engine under load.

One instance is partitioned when the operator withdraws the engine.
"""

from benchmarks.failure_runs import FailureRun

SUMMARY = "an engine is withdrawn while one instance is cut off"
ENGINE = "prefill-1"
CUT_OFF = "bizkaia-2"


def run(*, seed):
    """Return a ``FailureReport``."""
    failure_run = FailureRun(seed=seed, proxied=True)
    world = failure_run.world
    try:
        world.failed.add(CUT_OFF)
        world.cluster.isolate(CUT_OFF)
        failure_run.begin()
        accepted_s = world.set_withdrawn(ENGINE, True, at=world.any_instance())
        failure_run.record_time("accepted", lambda: accepted_s)
        world.wait_served(20)
        report = failure_run.end("withdrawal")
        report.times_s["last work after acceptance"] = failure_run.last_work_s(
            ENGINE, accepted_s
        )
        return report
    finally:
        world.close()
