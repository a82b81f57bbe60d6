import json
import re
from pathlib import Path

import msgspec
import pytest

import currantdeal
from currantdeal.node.errors import SettingsFileError
from currantdeal.node.settings import NodeSettings, read_settings
from currantdeal.platform.bounds import read_bounds

TEMPLATE = (
    Path(currantdeal.__file__)
    .parents[1]
    .joinpath("deploy", "settings.json.template")
)
PLATFORM_VALUES = {
    "NodeName": "frontend-bizkaia-a-1",
    "Ip": "10.1.0.38",
    "Zone": "bizkaia-a",
    "Region": "bizkaia",
    "InternalPorts": [7380, 7395],
    "Seeds": ["10.1.0.41:8144", "10.2.0.43:8144", "10.3.0.8:8144"],
    "Bootstrap": True,
    "HeartbeatMs": 1200,
    "Zones": {"bizkaia-a": "bizkaia", "cantabria-a": "cantabria"},
    "Listen": {
        "Frontend": "10.1.0.38:8149",
        "Readiness": "10.1.0.38:8141",
    },
    "FaultTolerance": {"Machines": 1},
    "Bounds": {
        "GraceS": 8,
        "RetryBudgetRatio": 0.2,
        "RetryBurst": 56,
        "BudgetWindowS": 10,
        "LeaseMs": 3000,
        "FencingRequired": True,
        "RetryAfterS": 7.9,
    },
}


def _value(path, given):
    current = given
    for part in path.split("."):
        if isinstance(current, list):
            current = current[int(part)]
        else:
            current = current.get(part)
        if current is None:
            return None
    return current


def _render(text, given):
    """Fill in the template as the platform does."""

    def fill(match):
        path, _, form = match.group(1).partition("|")
        value = _value(path, given)
        if form == "json":
            return json.dumps(value)
        return "" if value is None else str(value)

    return re.sub(r"\{\{([^}]+)\}\}", fill, text)


def _settings(given):
    text = _render(TEMPLATE.read_text(), given)
    return msgspec.json.decode(text, type=NodeSettings)


def test_template_renders_the_settings_of_an_entry():
    settings = _settings(PLATFORM_VALUES)
    assert settings.instance == "frontend-bizkaia-a-1"
    assert settings.peer_address == "10.1.0.38:7380"
    assert settings.listen.callers == "10.1.0.38:8149"
    assert settings.listen.control == ""
    assert settings.control_peers[0] == "10.1.0.41:7380"
    assert settings.first_start
    bounds = read_bounds(settings.bounds)
    assert bounds.retry_burst == 56.0
    assert bounds.min_order_interval_s == 3.0


def test_settings_with_missing_fields_are_accepted():
    """A later platform version omits what this version does not need."""
    given = {
        key: value
        for key, value in PLATFORM_VALUES.items()
        if key not in ("Bootstrap", "FaultTolerance", "Bounds")
    }
    given["Bounds"] = {}
    settings = _settings(given)
    assert not settings.first_start
    assert read_bounds(settings.bounds).grace_s == 8.0


def test_error_names_the_invalid_setting(tmp_path):
    path = tmp_path / "settings.json"
    path.write_text(
        _render(TEMPLATE.read_text(), {**PLATFORM_VALUES, "Ip": 7})
    )
    with pytest.raises(SettingsFileError, match=r"address"):
        read_settings(path)


def test_price_of_bytes_is_none_unless_an_operator_names_it():
    assert _settings(PLATFORM_VALUES).distance.wait_s_per_gb == (0.0, 0.0)
    text = _render(TEMPLATE.read_text(), PLATFORM_VALUES)
    named = {
        **json.loads(text),
        "distance": {"wait_s_per_gb": [0.5, 4.0]},
    }
    settings = msgspec.json.decode(json.dumps(named), type=NodeSettings)
    assert settings.distance.wait_s_per_gb == (0.5, 4.0)
    assert settings.distance.round_trip_ms == (1.0, 2.0, 25.0)
