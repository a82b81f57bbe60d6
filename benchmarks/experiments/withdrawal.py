"""An operator withdraws an engine under load, one instance being cut off."""

from benchmarks.failure_runs import FailureRun

SUMMARY = "an engine is withdrawn while one instance is cut off"
ENGINE = "prefill-1"
CUT_OFF = "bizkaia-2"


def run(*, seed):
    """Return a ``FailureReport``."""
    runs = FailureRun(seed=seed, proxied=True)
    world = runs.world
    try:
        world.failed.add(CUT_OFF)
        world.cluster.isolate(CUT_OFF)
        runs.begin()
        accepted_s = world.set_withdrawn(ENGINE, True, at=world.any_instance())
        runs.note("accepted", lambda: accepted_s)
        world.await_served(20)
        report = runs.end("withdrawal")
        report.times_s["last work after acceptance"] = runs.last_work_s(
            ENGINE, accepted_s
        )
        return report
    finally:
        world.close()
