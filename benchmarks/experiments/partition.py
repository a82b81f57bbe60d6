"""The leader is cut off silently under load, and the network heals."""

from benchmarks.failure_runs import FailureRun

SUMMARY = "the leader is cut off silently and comes back"


def run(*, seed):
    """Return a ``FailureReport``."""
    runs = FailureRun(seed=seed, proxied=True)
    world = runs.world
    try:
        name = world.leader()
        runs.begin()
        world.failed.add(name)
        world.cluster.isolate(name)
        cut_off = world.cluster.instance(name)
        runs.note("no lease at the one cut off", lambda: not cut_off.ready())
        runs.note("another leader", lambda: world.leader() != name)
        runs.note(
            "change accepted",
            lambda: world.apply("cut", {"name": "cut"}).status == 200,
        )
        runs.begin()
        world.cluster.heal()
        runs.note("after healing: ready", cut_off.ready)
        runs.note(
            "after healing: alive to all",
            lambda: runs.believed(name) == {"alive"},
        )
        return runs.end("partition")
    finally:
        world.close()
