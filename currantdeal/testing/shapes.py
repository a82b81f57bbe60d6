"""Defines which instances a test cluster has, and the keys they accept."""

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

SERVE_COMMAND = ("currantdeal.cli.main", "serve", "--settings")
STANDALONE_COMMAND = ("currantdeal.cli.tests.local_daemon",)
"""Command of a single instance without replicated state."""

NUBE_REGIONS = ("bizkaia", "cantabria", "asturias")


@dataclass(frozen=True, kw_only=True)
class InstanceShape:
    """One instance of a cluster.

    Parameters
    ----------
    has_data_folder : bool
        True for a replica, which stores replicated state on disk.
    """

    name: str
    region: str
    data_center: str
    has_data_folder: bool


@dataclass(frozen=True, kw_only=True)
class ClusterShape:
    """Instances of a cluster and how they are connected.

    Parameters
    ----------
    proxied : bool
        Put a fault proxy between each pair of instances, in front of each
        instance's caller address and in front of each upstream.
    region_delay_s, local_delay_s : float
        One-way delay between and within regions; proxied clusters only.
    extra_settings : mapping
        Additional settings, the same for each instance.
    command : tuple of str
        Module that runs an instance, and its arguments before the path of
        the settings.
    """

    instances: tuple[InstanceShape, ...]
    timing: TimingSettings = field(default_factory=TimingSettings)
    proxied: bool = False
    region_delay_s: float = 0.0
    local_delay_s: float = 0.0
    extra_settings: dict = field(default_factory=dict)
    command: tuple[str, ...] = SERVE_COMMAND

    def delay_s(self, source, target):
        """Return the one-way delay between two instances."""
        if source.region == target.region:
            return self.local_delay_s
        return self.region_delay_s


def spread(count, *, replicas=3, regions=NUBE_REGIONS):
    """Return instances, distributed over regions round-robin.

    The first ``replicas`` of them have a data folder.

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
                has_data_folder=index < replicas,
            )
        )
    return tuple(shapes)


def harness_keys():
    """Return the settings of one key of each kind."""
    return (
        _key("tests", KeyKind.CALLER, CALLER_KEY, caller=CallerId("tests")),
        _key("operator", KeyKind.OPERATOR, OPERATOR_KEY),
        _key("upstreams", KeyKind.UPSTREAM, UPSTREAM_KEY),
    )


def _key(name, kind, key, **fields):
    digest = sha256(key.encode()).hexdigest()
    return KeySettings(name=name, kind=kind, sha256=digest, **fields)
