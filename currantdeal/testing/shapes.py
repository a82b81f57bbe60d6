"""Shapes of clusters that the harness starts."""

from dataclasses import dataclass, field
from hashlib import sha256

from currantdeal.adapters.settings import (
    KeyKind,
    KeySettings,
    TimingSettings,
)
from currantdeal.core import CallerId

CALLER_KEY = "caller-key-of-the-harness"
OPERATOR_KEY = "operator-key-of-the-harness"
UPSTREAM_KEY = "upstream-key-of-the-harness"

SERVE = ("currantdeal.cli.main", "serve", "--settings")
ALONE = ("currantdeal.cli.tests.local_daemon",)
"""A lone instance without replicated state."""

NUBE_REGIONS = ("bizkaia", "cantabria", "asturias")


@dataclass(frozen=True, kw_only=True)
class InstanceShape:
    """One instance of a cluster.

    Parameters
    ----------
    disk : bool
        True for an instance with a data folder: it is a replica.
    """

    name: str
    region: str
    data_center: str
    disk: bool


@dataclass(frozen=True, kw_only=True)
class ClusterShape:
    """What the harness starts.

    Parameters
    ----------
    proxied : bool
        Put a proxy between each pair of instances, and before each
        instance's caller address and each upstream.
    region_delay_s, local_delay_s : float
        One-way delay between and within regions; proxied clusters only.
    extra : mapping
        Other settings, the same for each instance.
    command : tuple of str
        Module that runs an instance, and what stands before the path of the
        settings on its command line.
    """

    instances: tuple[InstanceShape, ...]
    timing: TimingSettings = field(default_factory=TimingSettings)
    proxied: bool = False
    region_delay_s: float = 0.0
    local_delay_s: float = 0.0
    extra: dict = field(default_factory=dict)
    command: tuple[str, ...] = SERVE

    def delay_s(self, source, target):
        """Return the one-way delay between two instances."""
        if source.region == target.region:
            return self.local_delay_s
        return self.region_delay_s


def spread(count, *, replicas=3, regions=NUBE_REGIONS):
    """Return instances spread over regions, the first ones with disks.

    Examples
    --------
    >>> from currantdeal.testing.shapes import spread
    >>> [shape.name for shape in spread(4)]
    ['bizkaia-1', 'cantabria-1', 'asturias-1', 'bizkaia-2']
    """
    shapes = []
    for index in range(count):
        region = regions[index % len(regions)]
        number = 1 + index // len(regions)
        shapes.append(
            InstanceShape(
                name=f"{region}-{number}",
                region=region,
                data_center=f"{region}-dc",
                disk=index < replicas,
            )
        )
    return tuple(shapes)


def harness_keys():
    """Return one key of each kind, as settings hold them."""
    return (
        _key("tests", KeyKind.CALLER, CALLER_KEY, caller=CallerId("tests")),
        _key("operator", KeyKind.OPERATOR, OPERATOR_KEY),
        _key("upstreams", KeyKind.UPSTREAM, UPSTREAM_KEY),
    )


def _key(name, kind, key, **more):
    digest = sha256(key.encode()).hexdigest()
    return KeySettings(name=name, kind=kind, sha256=digest, **more)
