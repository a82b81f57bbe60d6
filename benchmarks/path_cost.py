"""What an instance adds to calling the engines directly.

One request after the other goes to two stand-in engines, directly and
through one of three instances.  Measured are the time to the first output
and the mean time between outputs.

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
ALL = b"""{"selector": {"name": "all"}, "expected_version": 0,
           "request_id": "all", "wait_s": 20}"""


@dataclass(frozen=True, kw_only=True)
class PathTimes:
    """Times of one path, in milliseconds."""

    requests: int
    first_p50_ms: float
    first_p95_ms: float
    gap_p50_ms: float
    gap_p95_ms: float


def ask_engines(cluster, number):
    """Return the times at which outputs came from the engines directly."""
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


def ask_instance(cluster, number):
    """Return the times at which outputs came through an instance."""
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


def measure(ask, cluster, requests):
    """Return the ``PathTimes`` of one way to ask."""
    firsts, gaps = [], []
    for number in range(requests):
        times = ask(cluster, number)
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
        # Before any instance runs: a home would cancel at the engines what
        # no entry claims, and these requests are nobody's.
        measure(ask_engines, cluster, 5)
        direct = measure(ask_engines, cluster, requests)
        cluster.start()
        cluster.wait_ready()
        cluster.wait_upstreams()
        operator = CallerClient(
            address=cluster.caller_addresses[0], key=OPERATOR_KEY
        )
        operator.call("PUT", "/operator/selectors/all", body=ALL)
        measure(ask_instance, cluster, 5)
        through = measure(ask_instance, cluster, requests)
    found = {"direct": direct, "through": through}
    shown = {name: asdict(times) for name, times in found.items()}
    click.echo(json.dumps(shown, indent=1))


if __name__ == "__main__":
    main()
