"""What control costs an instance, as slopes over instances and upstreams.

Real processes at several sizes; a straight line is fitted through each cost
and given with its standard error, for the page on capacity.
"""

import json
import subprocess
import sys
from dataclasses import asdict, dataclass

import click
import numpy as np

from currantdeal.testing.ports import PortReservations

WARM_UP_S = 12.0
WARM_UP_PER_MEMBER_S = 0.15
MAX_MEMBERS = 180


@dataclass(frozen=True, kw_only=True)
class Point:
    """Mean cost of an instance at one size.

    Parameters
    ----------
    cpu_share : float
        Share of one core.
    udp_bytes_per_s, tcp_bytes_per_s : float
        Sent and received, without headers of IP, UDP and TCP.
    known : int
        Fewest members that any instance knew in the end.
    """

    members: int
    upstreams: int
    cpu_share: float
    udp_bytes_per_s: float
    tcp_bytes_per_s: float
    rss_mb: float
    known: int


@dataclass(frozen=True, kw_only=True)
class Slope:
    """A straight line through a cost over a size, and its error."""

    cost: str
    over: str
    at_zero: float
    per_unit: float
    standard_error: float


def measure(*, members, upstreams, seconds):
    """Return the ``Point`` of one size."""
    if members > MAX_MEMBERS:
        raise click.UsageError(f"at most {MAX_MEMBERS} processes")
    ports = PortReservations()
    addresses = [ports.take_address() for _ in range(members)]
    warm_up_s = WARM_UP_S + members * WARM_UP_PER_MEMBER_S
    started = []
    try:
        started = [
            _start(number, addresses, upstreams, warm_up_s, seconds)
            for number in range(members)
        ]
        costs = [json.loads(one.stdout.readline()) for one in started]
    finally:
        for one in started:
            one.kill()
            one.wait()
        ports.close()
    return _point(members, upstreams, seconds, costs)


def fit(points, *, cost, over):
    """Return the ``Slope`` of a cost over a size."""
    sizes = np.array([getattr(point, over) for point in points], float)
    costs = np.array([getattr(point, cost) for point in points], float)
    per_unit, at_zero = np.polyfit(sizes, costs, 1)
    left = costs - (at_zero + per_unit * sizes)
    freedom = max(1, len(points) - 2)
    spread = ((sizes - sizes.mean()) ** 2).sum()
    error = np.sqrt((left**2).sum() / freedom / spread)
    return Slope(
        cost=cost,
        over=over,
        at_zero=float(at_zero),
        per_unit=float(per_unit),
        standard_error=float(error),
    )


def run(*, members, upstreams, seconds):
    """Return points and slopes as a dictionary for JSON."""
    by_members = [
        measure(members=count, upstreams=0, seconds=seconds)
        for count in members
    ]
    by_upstreams = [
        measure(members=members[0], upstreams=count, seconds=seconds)
        for count in upstreams
    ]
    costs = ("cpu_share", "udp_bytes_per_s", "tcp_bytes_per_s")
    slopes = [fit(by_members, cost=c, over="members") for c in costs]
    slopes += [fit(by_upstreams, cost=c, over="upstreams") for c in costs]
    return {
        "experiment": "control-cost",
        "by_members": [asdict(point) for point in by_members],
        "by_upstreams": [asdict(point) for point in by_upstreams],
        "slopes": [asdict(slope) for slope in slopes],
    }


@click.command()
@click.option("--members", default="8,32,104", show_default=True)
@click.option("--upstreams", default="8,64,256", show_default=True)
@click.option("--seconds", default=20.0, show_default=True)
@click.option("--json", "as_json", is_flag=True)
def main(members, upstreams, seconds, as_json):
    """Measure what control costs an instance."""
    found = run(
        members=[int(part) for part in members.split(",")],
        upstreams=[int(part) for part in upstreams.split(",")],
        seconds=seconds,
    )
    if as_json:
        click.echo(json.dumps(found, indent=2))
        return
    for point in found["by_members"] + found["by_upstreams"]:
        click.echo(_line(point))
    for slope in found["slopes"]:
        click.echo(_line(slope))


def _start(number, addresses, upstreams, warm_up_s, seconds):
    options = {
        "--number": number,
        "--addresses": ",".join(addresses),
        "--upstreams": upstreams,
        "--warm-up": warm_up_s,
        "--seconds": seconds,
    }
    flags = [str(part) for pair in options.items() for part in pair]
    return subprocess.Popen(
        [sys.executable, "-m", "benchmarks.control_member", *flags],
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
    )


def _point(members, upstreams, seconds, costs):
    def mean(name):
        return float(np.mean([cost[name] for cost in costs]))

    return Point(
        members=members,
        upstreams=upstreams,
        cpu_share=mean("cpu_s") / seconds,
        udp_bytes_per_s=mean("udp_bytes") / seconds,
        tcp_bytes_per_s=mean("tcp_bytes") / seconds,
        rss_mb=mean("rss_mb"),
        known=min(cost["known"] for cost in costs),
    )


def _line(values):
    return "  ".join(
        f"{name}={value:.5g}"
        if isinstance(value, float)
        else f"{name}={value}"
        for name, value in values.items()
    )


if __name__ == "__main__":
    main()
