"""Measures the latency that an instance adds to calling engines directly.

Requests go one after the other to two stand-in engines, directly and through
one of three instances.  The time to the first output and the mean time
between outputs are measured.

Run ``python -m benchmarks.path_cost --help`` for its options.
"""

import json
import tempfile
import time
from dataclasses import asdict, dataclass
from pathlib import Path
from statistics import median, quantiles

import click

from currantdeal.testing.caller import MODEL, CallerClient
from currantdeal.testing.cluster import Cluster
from currantdeal.testing.shapes import OPERATOR_KEY, ClusterShape, spread

TOKENS = 40
PROMPT = "cake tokens=40"
SELECT_ALL = b"""{"selector": {"name": "all"}, "expected_version": 0,
           "request_id": "all", "wait_s": 20}"""


@dataclass(frozen=True, kw_only=True)
class PathTimes:
    """Times of one path, in milliseconds."""

    requests: int
    first_p50_ms: float
    first_p95_ms: float
    gap_p50_ms: float
    gap_p95_ms: float


def stream_from_engines(cluster, number):
    """Return the arrival times of outputs of direct calls to the engines."""
    prefill = cluster.stand_in("p1").client
    decode = cluster.stand_in("d1").client
    name = f"direct-{number}"
    started_s = time.monotonic()
    result = prefill.post(
        "/engine/prefill",
        {"request_id": f"{name}p", "model": MODEL, "prompt": PROMPT},
    )
    decode.post(
        "/engine/import",
        {
            "request_id": name,
            "kv_id": result["kv_id"],
            "source_address": prefill.address,
            "pieces": 8,
        },
    )
    wanted = {"request_id": name, "model": MODEL, "max_tokens": TOKENS}
    times = [
        time.monotonic() - started_s
        for chunk in decode.stream("/engine/decode", wanted)
        if not chunk.get("finish_reason")
    ]
    decode.post("/engine/cancel", {"request_id": name})
    return times


def stream_from_instance(cluster, number):
    """Return the arrival times of outputs of a call through an instance."""
    addresses = cluster.caller_addresses
    caller = CallerClient(address=addresses[number % len(addresses)])
    started_s = time.monotonic()
    stream = caller.open_stream(PROMPT, max_tokens=TOKENS)
    times = []
    for count in range(1, TOKENS + 1):
        stream.read_some(count)
        times.append(time.monotonic() - started_s)
    stream.read()
    return times


def measure(stream, cluster, requests):
    """Return the ``PathTimes`` of one path.

    Parameters
    ----------
    stream : callable
        Sends a numbered request and returns the arrival times of its outputs.
    """
    firsts, gaps = [], []
    for number in range(requests):
        times = stream(cluster, number)
        firsts.append(times[0] * 1000)
        gaps.append((times[-1] - times[0]) / (len(times) - 1) * 1000)
    return PathTimes(
        requests=requests,
        first_p50_ms=round(median(firsts), 2),
        first_p95_ms=round(quantiles(firsts, n=20)[-1], 2),
        gap_p50_ms=round(median(gaps), 3),
        gap_p95_ms=round(quantiles(gaps, n=20)[-1], 3),
    )


@click.command()
@click.option("--requests", default=40, show_default=True)
def main(requests):
    """Measure both paths and print them as JSON."""
    shape = ClusterShape(instances=spread(3))
    with (
        tempfile.TemporaryDirectory() as folder,
        Cluster(folder=Path(folder), shape=shape) as cluster,
    ):
        cluster.add_engine("p1", roles=("prefill",))
        cluster.add_engine("d1", roles=("decode",))
        # Direct calls run before any instance starts: a home cancels
        # requests at its engines that no entry claims, as these are.
        measure(stream_from_engines, cluster, 5)
        direct = measure(stream_from_engines, cluster, requests)
        cluster.start()
        cluster.wait_ready()
        cluster.wait_upstreams()
        operator = CallerClient(
            address=cluster.caller_addresses[0], key=OPERATOR_KEY
        )
        operator.call("PUT", "/operator/selectors/all", body=SELECT_ALL)
        measure(stream_from_instance, cluster, 5)
        through = measure(stream_from_instance, cluster, requests)
    by_path = {"direct": direct, "through": through}
    shown = {name: asdict(times) for name, times in by_path.items()}
    click.echo(json.dumps(shown, indent=1))


if __name__ == "__main__":
    main()
