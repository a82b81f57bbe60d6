"""Runs one scenario with one router over the fake engines."""

from dataclasses import replace
from random import Random

from benchmarks.fake import EventLoop, FakeEngine
from benchmarks.measures import measure
from benchmarks.scenario import DRAIN_S, arrivals

GIVE_UP_FACTOR = 2.0
"""Callers give up after this multiple of the target to the first output."""


def run(scenario, make_router, *, seed):
    """Return the ``Measures`` of one run."""
    return measure(scenario, *replay(scenario, make_router, seed=seed))


def replay(scenario, make_router, *, seed):
    """Return the requests and the engines after one run.

    Arrivals depend on the seed alone, not on the router.
    """
    loop = EventLoop()
    requests = arrivals(scenario, Random(f"arrivals {seed}"))
    engines = _engines(scenario, loop, make_router)
    router = make_router(
        scenario=scenario,
        loop=loop,
        engines=engines,
        rng=Random(f"router {seed}"),
    )
    give_up_after_s = GIVE_UP_FACTOR * scenario.deployment.ttft_target_s
    for request in requests:
        loop.after(request.work.arrived_s, router.receive, request)
        give_up_s = request.work.arrived_s + give_up_after_s
        loop.after(give_up_s, _give_up, request, router)
    loop.run(scenario.end_s + DRAIN_S)
    return requests, engines


def _engines(scenario, loop, make_router):
    preempts = getattr(make_router, "preempts", False)
    engines = {}
    for upstream in scenario.deployment.upstreams():
        engine = FakeEngine(
            loop=loop,
            upstream=upstream,
            model=scenario.deployment.model,
            preempts=preempts,
        )
        engines[upstream.upstream_id] = engine
        if upstream.upstream_id == scenario.slow_engine:
            factor = scenario.slow_factor
            loop.after(scenario.slow_from_s, _slow_down, engine, factor)
            if scenario.slow_until_s < scenario.end_s:
                loop.after(scenario.slow_until_s, _slow_down, engine, 1.0)
    return engines


def _slow_down(engine, factor):
    engine.model = replace(engine.model, slowdown=factor)


def _give_up(request, router):
    if request.first_s is None and not request.done and not request.refused:
        request.cancelled = True
        router.cancel(request)
