"""Defines and reads the settings of one instance, a JSON file.

Examples
--------
>>> from currantdeal.adapters.settings import parse_settings
>>> settings = parse_settings(b'''{
...     "instance": "i1", "region": "lagos", "data_center": "lagos-1",
...     "caller_address": "127.0.0.1:8101", "peer_address": "127.0.0.1:8201",
...     "seeds": [], "replicas": [
...         {"instance": "i1", "peer_address": "127.0.0.1:8201"}],
...     "data_folder": "data"}''')
>>> settings.timing.lease_s
2.0
"""

from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path

import msgspec

from currantdeal.adapters.errors import AdapterError
from currantdeal.core import (
    DECODE_ERRORS,
    CallerId,
    DataCenterId,
    InstanceId,
    RegionId,
)
from currantdeal.policy import UserWeights


class SettingsError(AdapterError):
    """The settings file cannot be read or is invalid."""


class KeyKind(str, Enum):
    """Owner of a key; one kind is not accepted in place of another."""

    CALLER = "caller"
    OPERATOR = "operator"
    UPSTREAM = "upstream"


@dataclass(frozen=True, kw_only=True)
class KeySettings:
    """One API key.

    Parameters
    ----------
    name : str
        Shown in logs and in the audit trail.
    sha256 : str
        Hash of the key in hexadecimal; the key itself is never stored.
    caller : CallerId
        Caller that requests with this key are charged to; only for keys of
        callers.
    weight : float
        Share of the caller relative to others under full load.
    """

    name: str
    kind: KeyKind
    sha256: str
    caller: CallerId = CallerId("")
    weight: float = 1.0


@dataclass(frozen=True, kw_only=True)
class PeerSettings:
    """Peer address at which this instance reaches another one."""

    instance: InstanceId
    peer_address: str


@dataclass(frozen=True, kw_only=True)
class TimingSettings:
    """Intervals and limits in seconds.

    Parameters
    ----------
    lease_s : float
        Lease on the replicated state; an instance that is partitioned stops
        starting new work within this time.  It must be below the three
        seconds that a withdrawal may take.
    renew_s : float
        Interval between renewals of the lease.
    heartbeat_s : float
        Interval between heartbeats of the leader.
    election_s : float
        Shortest silence of the leader before an election.
    probe_s : float
        Interval between membership probes.
    suspicion_s : float
        Time between suspecting an instance and declaring it dead.
    announce_renew_s : float
        Interval at which upstreams renew their announcement.
    upstream_silence_s : float
        Time without a renewal after which an upstream is retired.
    entries_keep_s : float
        Time for which callers may cache an answer of ``/v1/entries``.
    stream_silence_s : float
        Longest time without data within a stream.
    deadline_s : float
        Deadline of a request that names none.
    output_gap_s : float
        Target of the time between outputs; an engine is given no more
        streams than it can serve within this target.
    """

    lease_s: float = 2.0
    renew_s: float = 0.4
    heartbeat_s: float = 0.15
    election_s: float = 0.8
    probe_s: float = 0.5
    suspicion_s: float = 1.5
    announce_renew_s: float = 0.5
    upstream_silence_s: float = 2.5
    entries_keep_s: float = 5.0
    stream_silence_s: float = 1.0
    deadline_s: float = 10.0
    output_gap_s: float = 0.04


@dataclass(frozen=True, kw_only=True)
class Settings:
    """Settings of one instance.

    Parameters
    ----------
    caller_address, peer_address : str
        ``IP:PORT`` to listen on.
    advertised_caller_address, advertised_peer_address : str
        Addresses at which others reach the instance, if they differ.
    seeds : tuple of str
        Peer addresses of some instances to join through.
    replicas : tuple of PeerSettings
        The initial replica set; later changes are in the replicated state.
    routes : tuple of PeerSettings
        Addresses to use in place of the advertised ones.
    data_folder : str
        Folder for durable state; empty on an instance without a disk.
    keys : tuple of KeySettings
        Without any keys, only clients on loopback addresses are served.
    threads : int
        Number of threads that serve callers; each open stream occupies one.
    max_body_bytes, max_header_bytes : int
        Requests that exceed these limits are refused.
    """

    instance: InstanceId
    region: RegionId
    data_center: DataCenterId
    caller_address: str
    peer_address: str
    advertised_caller_address: str = ""
    advertised_peer_address: str = ""
    seeds: tuple[str, ...] = ()
    replicas: tuple[PeerSettings, ...] = ()
    routes: tuple[PeerSettings, ...] = ()
    data_folder: str = ""
    keys: tuple[KeySettings, ...] = ()
    timing: TimingSettings = field(default_factory=TimingSettings)
    weights: UserWeights = field(default_factory=UserWeights)
    threads: int = 128
    max_body_bytes: int = 4_194_304
    max_header_bytes: int = 32_768


def parse_settings(raw):
    """Return the settings encoded in JSON bytes.

    Raises
    ------
    SettingsError
        If the bytes are not valid settings; the message names the field.
    """
    try:
        return msgspec.json.decode(raw, type=Settings)
    except DECODE_ERRORS as exc:
        raise SettingsError(f"settings: {exc}") from exc


def read_settings(path):
    """Return the settings in a file."""
    try:
        return parse_settings(Path(path).read_bytes())
    except OSError as exc:
        raise SettingsError(f"settings: {exc}") from exc
