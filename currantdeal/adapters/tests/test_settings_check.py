import msgspec
import pytest

from currantdeal.adapters.settings import (
    PeerSettings,
    Settings,
    SettingsError,
    TimingSettings,
)
from currantdeal.adapters.settings_check import (
    find_invalid_values,
    find_problems,
    read_checked,
)


def _settings(**changes):
    fields = {
        "instance": "i1",
        "region": "lagos",
        "data_center": "lagos-1",
        "caller_address": "127.0.0.1:8101",
        "peer_address": "127.0.0.1:8201",
    }
    return Settings(**fields | changes)


def _paths(problems):
    return [problem.path for problem in problems]


def test_valid_settings_have_no_problems():
    assert find_problems(msgspec.json.encode(_settings())) == ()


def test_all_problems_of_a_file_are_reported_at_once():
    raw = msgspec.json.encode(
        {
            "instance": 7,
            "regoin": "lagos",
            "keys": [{"name": "k", "kind": "caler", "sha256": ""}],
        }
    )
    assert _paths(find_problems(raw)) == [
        "caller_address",
        "data_center",
        "instance",
        "keys[0].kind",
        "peer_address",
        "region",
        "regoin",
    ]


@pytest.mark.parametrize(
    ("timing", "path"),
    [
        ({"lease_s": 3.0}, "timing.lease_s"),
        ({"renew_s": 1.5}, "timing.renew_s"),
        ({"heartbeat_s": 0.7}, "timing.heartbeat_s"),
        ({"announce_renew_s": 2.0}, "timing.announce_renew_s"),
        ({"deadline_s": 0.0}, "timing.deadline_s"),
        ({"probe_s": float("inf")}, "timing.probe_s"),
    ],
)
def test_invalid_timings_are_reported(timing, path):
    settings = _settings(timing=TimingSettings(**timing))
    assert path in _paths(find_invalid_values(settings))


@pytest.mark.parametrize(
    ("changes", "path"),
    [
        ({"caller_address": "host:80"}, "caller_address"),
        ({"peer_address": "127.0.0.1:0"}, "peer_address"),
        ({"seeds": ("here",)}, "seeds[0]"),
        ({"caller_address": "10.0.0.1:80"}, "keys"),
        ({"threads": 0}, "threads"),
        (
            {
                "replicas": (
                    PeerSettings(instance="i1", peer_address="127.0.0.1:8201"),
                )
            },
            "data_folder",
        ),
    ],
)
def test_invalid_fields_are_reported(changes, path):
    assert path in _paths(find_invalid_values(_settings(**changes)))


def test_invalid_file_is_rejected_with_all_problems(tmp_path):
    path = tmp_path / "settings.json"
    path.write_bytes(b'{"instance": "i1"}')
    with pytest.raises(SettingsError) as caught:
        read_checked(path)
    assert "region: is missing" in str(caught.value)
