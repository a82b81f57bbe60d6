"""Measures overload of real processes: three instances and four engines.

The engines are stand-ins that follow the same rules as ``benchmarks.fake``.
Times and requests are real, so the results depend on the machine.
"""

from dataclasses import dataclass
from pathlib import Path
from tempfile import TemporaryDirectory

from benchmarks.real_load import RealMeasures, offer_load, seeded_rng
from currantdeal.core import Selector
from currantdeal.testing.cluster import Cluster
from currantdeal.testing.operator import OperatorCalls
from currantdeal.testing.shapes import ClusterShape, spread

SUMMARY = "overload against real processes: 3 instances, 4 engines"
LOADS = (0.5, 1.0, 1.5, 3.0)
SECONDS = 10.0
CAPACITY_PER_S = 3.7
"""Three streams of 1,100 tokens fit into each decode engine and hold it for
1.6 s: 100 steps of 15 ms and the prefill."""


@dataclass(frozen=True, kw_only=True)
class RealOverload:
    """Measures at each load."""

    experiment: str
    seed: int
    current: tuple[RealMeasures, ...]

    def render(self):
        """Return one line per load."""
        return "\n".join(
            f"load {result.load:.1f} offered {result.offered_per_s:.2f}/s"
            f" good {result.good_per_s:.2f}/s ({result.goodput:.3f})"
            f" ttft p95 {result.ttft_p95_s:.2f} s"
            f" itl p95 {result.itl_p95_ms:.1f} ms"
            f" refused {result.refused:.3f} broken {result.broken:.3f}"
            for result in self.current
        )


def run(*, seed):
    """Return a ``RealOverload``."""
    with TemporaryDirectory() as folder:
        shape = ClusterShape(instances=spread(3))
        with Cluster(folder=Path(folder), shape=shape) as cluster:
            measures = _measure(cluster, seed)
    return RealOverload(
        experiment="overload-real", seed=seed, current=measures
    )


def _measure(cluster, seed):
    for number in (1, 2):
        cluster.add_engine(f"p{number}", roles=("prefill",))
        cluster.add_engine(f"d{number}", roles=("decode",))
    cluster.start()
    cluster.wait_ready()
    cluster.wait_upstreams()
    operator = OperatorCalls(address=cluster.caller_addresses[0])
    operator.apply_selector(Selector(name="everything"))
    offer_load(
        cluster.caller_addresses,
        load=0.5,
        per_s=CAPACITY_PER_S,
        seconds=SECONDS,
        rng=seeded_rng(seed, "warm up"),
    )
    return tuple(
        offer_load(
            cluster.caller_addresses,
            load=load,
            per_s=CAPACITY_PER_S,
            seconds=SECONDS,
            rng=seeded_rng(seed, load),
        )
        for load in LOADS
    )
