"""Reads the settings of an entry or control process from a JSON file.

The types of all values are checked when the process starts.

See Also
--------
currantdeal.adapters.settings : settings of the stand-alone daemon
"""

from dataclasses import dataclass
from pathlib import Path

import msgspec

from currantdeal.core import DECODE_ERRORS
from currantdeal.node.errors import SettingsFileError
from currantdeal.policy.placement.distance import DistanceSettings


@dataclass(frozen=True, kw_only=True)
class Listen:
    """Addresses to listen at, each as ``HOST:PORT``; empty if unused."""

    callers: str = ""
    readiness: str = ""
    control: str = ""
    directory: str = ""
    metrics: str = ""


@dataclass(frozen=True, kw_only=True)
class NodeSettings:
    """Settings of one process.

    Parameters
    ----------
    instance : str
        Name of the instance, unique in the deployment.
    region_of : dict
        Region of each data centre.
    address : str
        IP address at which other instances reach this one.
    peer_port : int
        Port for the traffic between instances, the same on all of them.
    control_addresses : tuple of str
        ``HOST:PORT`` of up to three control instances that are contacted
        first.
    first_start : bool
        True only when the whole deployment starts for the first time.
    data_folder : str
        Directory of a control instance's durable state.
    heartbeat_ms : int
        Interval of the upstreams' heartbeats.
    tolerated_losses : int
        Number of control instances that may be lost at the same time.
    distance : DistanceSettings
        Round trips until they are measured, and the price of bytes between
        data centres.
    bounds : dict
        Limits agreed with the operators, keyed by their names.
    """

    instance: str
    data_center: str
    region: str
    region_of: dict[str, str]
    address: str
    peer_port: int
    listen: Listen
    control_addresses: tuple[str, ...]
    first_start: bool | None = False
    data_folder: str = ""
    heartbeat_ms: int = 1_000
    tolerated_losses: int | None = 0
    distance: DistanceSettings = DistanceSettings()
    bounds: dict[str, float | bool | str] = msgspec.field(default_factory=dict)

    @property
    def peer_address(self):
        """``HOST:PORT`` at which other instances reach this one."""
        return f"{self.address}:{self.peer_port}"

    @property
    def control_peers(self):
        """Peer addresses of the control instances that are contacted first."""
        hosts = (text.rpartition(":")[0] for text in self.control_addresses)
        return tuple(f"{host}:{self.peer_port}" for host in hosts)


_DECODER = msgspec.json.Decoder(NodeSettings)


def read_settings(path):
    """Read a settings file.

    Raises
    ------
    SettingsFileError
        If the file cannot be read or a value is invalid; the message names
        the path of the value and the expected type.
    """
    try:
        return _DECODER.decode(Path(path).read_bytes())
    except OSError as exc:
        raise SettingsFileError(f"{path}: {exc.strerror}") from exc
    except DECODE_ERRORS as exc:
        raise SettingsFileError(f"{path}: {exc}") from exc


def split_address(text):
    """Return host and port of an address.

    Examples
    --------
    >>> split_address("10.0.0.1:80")
    ('10.0.0.1', 80)
    """
    host, _, port = text.rpartition(":")
    return host, int(port)
