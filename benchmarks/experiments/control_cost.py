"""Measures the cost of control as slopes over instances and upstreams.

Real processes run at several sizes.  A straight line is fitted through each
cost and reported with its standard error, for the page on capacity.  The seed
has no effect: results vary with the processes' own random draws and with the
machine.
"""

import json
import subprocess
import sys
from dataclasses import asdict, dataclass

import numpy as np

from currantdeal.testing.errors import BenchError
from currantdeal.testing.ports import PortReservations

SUMMARY = "bytes and processor time of control, over instances and upstreams"

MEMBERS = (8, 32, 104)
UPSTREAMS = (8, 64, 256)
SECONDS = 20.0
WARM_UP_S = 12.0
WARM_UP_PER_MEMBER_S = 0.15
MAX_MEMBERS = 180
COSTS = ("cpu_share", "udp_bytes_per_s", "tcp_bytes_per_s")


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
        Smallest member list of any instance at the end.
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
    """A straight line fitted through a cost over a size, and its error."""

    cost: str
    over: str
    at_zero: float
    per_unit: float
    standard_error: float


@dataclass(frozen=True, kw_only=True)
class Report:
    """Points and slopes of a run."""

    experiment: str
    by_members: tuple[Point, ...]
    by_upstreams: tuple[Point, ...]
    slopes: tuple[Slope, ...]

    def render(self):
        """Return the report as text."""
        parts = (*self.by_members, *self.by_upstreams, *self.slopes)
        return "\n".join(line_of(asdict(part)) for part in parts)


def run(*, seed, members=MEMBERS, upstreams=UPSTREAMS, seconds=SECONDS):
    """Return a ``Report``."""
    by_members = tuple(
        measure(members=count, upstreams=0, seconds=seconds)
        for count in members
    )
    by_upstreams = tuple(
        measure(members=members[0], upstreams=count, seconds=seconds)
        for count in upstreams
    )
    return Report(
        experiment="control-cost",
        by_members=by_members,
        by_upstreams=by_upstreams,
        slopes=(
            *(fit(by_members, cost=c, over="members") for c in COSTS),
            *(fit(by_upstreams, cost=c, over="upstreams") for c in COSTS),
        ),
    )


def measure(*, members, upstreams, seconds):
    """Return the ``Point`` of one size.

    Raises
    ------
    BenchError
        If more processes are requested than a machine should run.
    """
    if members > MAX_MEMBERS:
        raise BenchError(
            f"cannot start {members} processes: the limit is {MAX_MEMBERS}"
        )
    ports = PortReservations()
    addresses = [ports.take_address() for _ in range(members)]
    warm_up_s = WARM_UP_S + members * WARM_UP_PER_MEMBER_S
    processes = []
    try:
        for number in range(members):
            processes.append(
                _start(number, addresses, upstreams, warm_up_s, seconds)
            )
        costs = [
            json.loads(process.stdout.readline()) for process in processes
        ]
    finally:
        for process in processes:
            process.kill()
            process.wait()
        ports.close()
    return _point(members, upstreams, seconds, costs)


def fit(points, *, cost, over):
    """Return the ``Slope`` of a cost over a size."""
    sizes = np.array([getattr(point, over) for point in points], float)
    costs = np.array([getattr(point, cost) for point in points], float)
    per_unit, at_zero = np.polyfit(sizes, costs, 1)
    residuals = costs - (at_zero + per_unit * sizes)
    degrees_of_freedom = max(1, len(points) - 2)
    spread = ((sizes - sizes.mean()) ** 2).sum()
    error = np.sqrt((residuals**2).sum() / degrees_of_freedom / spread)
    return Slope(
        cost=cost,
        over=over,
        at_zero=float(at_zero),
        per_unit=float(per_unit),
        standard_error=float(error),
    )


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


def line_of(values):
    """Return named values as one line of text."""
    return "  ".join(f"{name}={_short(v)}" for name, v in values.items())


def _short(value):
    return f"{value:.5g}" if isinstance(value, float) else str(value)
