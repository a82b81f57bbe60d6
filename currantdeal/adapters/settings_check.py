"""Finds all problems of a settings file, each with its path.

Examples
--------
>>> from currantdeal.adapters.settings_check import find_problems
>>> for problem in find_problems(b'''{
...     "instance": "i1", "region": "lagos", "data_center": "lagos-1",
...     "caller_address": "127.0.0.1:8101", "peer_address": "127.0.0.1:8201",
...     "timing": {"lease_s": 4.0, "lease": 1}}'''):
...     print(problem.path, "|", problem.message)
timing.lease | unknown field
timing.lease_s | must be below 3: a withdrawal is in force after 3 s
"""

import ipaddress
import re
from dataclasses import dataclass, fields, is_dataclass
from pathlib import Path
from typing import get_args, get_type_hints

import msgspec

from currantdeal.adapters.settings import (
    KeyKind,
    Settings,
    SettingsError,
    parse_settings,
)
from currantdeal.core import DECODE_ERRORS

WITHDRAWAL_S = 3.0
"""Time after which a withdrawn upstream is given no new work."""

_SHA256 = re.compile(r"[0-9a-fA-F]{64}")
_MISSING_PATH = re.compile(r"missing required field `(\w+)`")


@dataclass(frozen=True, kw_only=True)
class Problem:
    """One problem of a settings file.

    Parameters
    ----------
    path : str
        Path of the field, such as ``timing.lease_s`` or ``keys[2].sha256``.
    message : str
        What is wrong or what was expected.
    """

    path: str
    message: str


def find_problems(raw):
    """Return every problem of a settings file's bytes, sorted by path."""
    try:
        value = msgspec.json.decode(raw)
    except DECODE_ERRORS as exc:
        return (Problem(path="", message=f"not JSON: {exc}"),)
    if not isinstance(value, dict):
        return (Problem(path="", message="expected an object"),)
    found = [*_shape_problems(Settings, value, "")]
    if not found or all(each.message == _UNKNOWN_FIELD for each in found):
        try:
            settings = msgspec.convert(value, Settings)
            found.extend(find_invalid_values(settings))
        except msgspec.ValidationError as exc:
            found.append(Problem(path="", message=str(exc)))
    return tuple(sorted(found, key=lambda each: each.path))


def read_checked(path):
    """Return the settings in a file.

    Raises
    ------
    SettingsError
        If the file has problems; the message lists all of them.
    """
    try:
        raw = Path(path).read_bytes()
    except OSError as exc:
        raise SettingsError(f"settings: {exc}") from exc
    problems = find_problems(raw)
    if problems:
        lines = [f"{each.path}: {each.message}" for each in problems]
        raise SettingsError("\n".join(("wrong settings", *lines)))
    return parse_settings(raw)


def find_invalid_values(settings):
    """Return the invalid or contradictory values of decoded settings."""
    return (
        *_address_problems(settings),
        *_timing_problems(settings.timing),
        *_key_problems(settings),
        *_replica_problems(settings),
        *_size_problems(settings),
    )


_UNKNOWN_FIELD = "unknown field"


def _shape_problems(cls, value, path):
    hints = get_type_hints(cls)
    for name in value:
        if name not in hints:
            yield Problem(path=f"{path}{name}", message=_UNKNOWN_FIELD)
    for item in fields(cls):
        if item.name in value:
            yield from _value_problems(
                hints[item.name], value[item.name], f"{path}{item.name}"
            )
        elif _is_required(item):
            yield Problem(path=f"{path}{item.name}", message="is missing")


def _value_problems(hint, value, path):
    if is_dataclass(hint) and isinstance(value, dict):
        yield from _shape_problems(hint, value, f"{path}.")
        return
    inner = next(iter(get_args(hint)), None)
    if is_dataclass(inner) and isinstance(value, list):
        for index, each in enumerate(value):
            yield from _value_problems(inner, each, f"{path}[{index}]")
        return
    try:
        msgspec.convert(value, hint)
    except msgspec.ValidationError as exc:
        yield Problem(path=path, message=str(exc))


def _is_required(item):
    defaults = (item.default, item.default_factory)
    return all(
        repr(each).startswith("<dataclasses._MISSING") for each in defaults
    )


def _address_problems(settings):
    for name in ("caller_address", "peer_address"):
        yield from _check_address(name, getattr(settings, name))
        advertised = f"advertised_{name}"
        if getattr(settings, advertised):
            yield from _check_address(
                advertised, getattr(settings, advertised)
            )
    for index, seed in enumerate(settings.seeds):
        yield from _check_address(f"seeds[{index}]", seed)
    for name in ("replicas", "routes"):
        for index, peer in enumerate(getattr(settings, name)):
            path = f"{name}[{index}].peer_address"
            yield from _check_address(path, peer.peer_address)
    if settings.caller_address == settings.peer_address:
        yield Problem(
            path="peer_address", message="must differ from caller_address"
        )


def _check_address(path, text):
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        yield Problem(path=path, message="expected IP:PORT with an IP number")
        return
    if not port.isdigit() or not 1 <= int(port) <= 65_535:
        yield Problem(path=path, message="expected a port from 1 to 65535")


def _timing_problems(timing):
    for item in fields(timing):
        if not 0 < getattr(timing, item.name) < float("inf"):
            yield Problem(
                path=f"timing.{item.name}", message="must be above 0"
            )
    if timing.lease_s >= WITHDRAWAL_S:
        yield Problem(
            path="timing.lease_s",
            message=f"must be below {WITHDRAWAL_S:g}: a withdrawal is in "
            f"force after {WITHDRAWAL_S:g} s",
        )
    for small, large, reason in _HALF_TIMINGS:
        if getattr(timing, small) * 2 > getattr(timing, large):
            yield Problem(
                path=f"timing.{small}",
                message=f"must be at most half of timing.{large}: {reason}",
            )


_HALF_TIMINGS = (
    (
        "renew_s",
        "lease_s",
        "one lost renewal must not end the lease",
    ),
    (
        "heartbeat_s",
        "election_s",
        "one late heartbeat must not start an election",
    ),
    (
        "announce_renew_s",
        "upstream_silence_s",
        "one lost renewal must not retire an upstream",
    ),
    (
        "probe_s",
        "suspicion_s",
        "a suspect must have time to answer",
    ),
)


def _key_problems(settings):
    hashes = {}
    for index, key in enumerate(settings.keys):
        path = f"keys[{index}]"
        if not _SHA256.fullmatch(key.sha256):
            yield Problem(
                path=f"{path}.sha256",
                message="expected 64 hexadecimal digits, the SHA-256 of the "
                "key",
            )
        if key.kind is KeyKind.CALLER and not key.caller:
            yield Problem(
                path=f"{path}.caller",
                message="a caller's key must name its caller",
            )
        if not 0 < key.weight < float("inf"):
            yield Problem(path=f"{path}.weight", message="must be above 0")
        other = hashes.setdefault(key.sha256.lower(), index)
        if other != index:
            yield Problem(
                path=f"{path}.sha256", message=f"same key as keys[{other}]"
            )
    if not settings.keys and not _is_loopback(settings.caller_address):
        yield Problem(
            path="keys",
            message="without keys, caller_address must be a loopback address",
        )


def _is_loopback(address):
    host = address.rpartition(":")[0].strip("[]")
    try:
        return ipaddress.ip_address(host).is_loopback
    except ValueError:
        return False


def _replica_problems(settings):
    names = [replica.instance for replica in settings.replicas]
    for index, name in enumerate(names):
        if name in names[:index]:
            yield Problem(
                path=f"replicas[{index}].instance", message="named twice"
            )
    if settings.instance in names and not settings.data_folder:
        yield Problem(
            path="data_folder",
            message="a replica needs a folder on a disk of its own",
        )


def _size_problems(settings):
    for name in ("threads", "max_body_bytes", "max_header_bytes"):
        if getattr(settings, name) <= 0:
            yield Problem(path=name, message="must be above 0")
