"""Measures a partition of the leader under load, and its reconnection.

The partition is silent: connections stay open but carry nothing.
"""

from benchmarks.failure_runs import FailureRun

SUMMARY = "the leader is cut off silently and comes back"


def run(*, seed):
    """Return a ``FailureReport``."""
    failure_run = FailureRun(seed=seed, proxied=True)
    world = failure_run.world
    try:
        name = world.leader()
        failure_run.begin()
        world.failed.add(name)
        world.cluster.isolate(name)
        cut_off = world.cluster.instance(name)
        failure_run.record_time(
            "no lease at the one cut off", lambda: not cut_off.is_ready()
        )
        failure_run.record_time(
            "another leader", lambda: world.leader() != name
        )
        failure_run.record_time(
            "change accepted",
            lambda: world.apply("cut", {"name": "cut"}).status == 200,
        )
        failure_run.begin()
        world.cluster.heal()
        failure_run.record_time("after healing: ready", cut_off.is_ready)
        failure_run.record_time(
            "after healing: alive to all",
            lambda: failure_run.reported_statuses(name) == {"alive"},
        )
        return failure_run.end("partition")
    finally:
        world.close()
