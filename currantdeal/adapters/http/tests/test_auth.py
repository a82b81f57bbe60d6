import hashlib

import pytest
from structlog.testing import capture_logs

from currantdeal.adapters.http.auth import KeyRing
from currantdeal.adapters.http.errors import HttpError
from currantdeal.adapters.http.tests.test_bad_input import _build_daemon
from currantdeal.adapters.settings import KeyKind, KeySettings

KEY = KeySettings(
    name="app",
    kind=KeyKind.CALLER,
    sha256=hashlib.sha256(b"secret").hexdigest().upper(),
)


def _status(ring, authorization, address="127.0.0.1"):
    with pytest.raises(HttpError) as caught:
        ring.check(KeyKind.CALLER, authorization, address)
    return caught.value.status


def test_without_keys_only_loopback_addresses_are_served():
    """An instance is started while its settings have no keys.

    Guards against open access: if remote clients were served, anyone on the
    network could use the engines.
    """
    ring = KeyRing(keys=())
    assert ring.check(KeyKind.OPERATOR, "", "127.0.0.1") is None
    assert ring.check(KeyKind.CALLER, "", "::1") is None
    assert _status(ring, "", address="192.0.2.1") == 403


def test_missing_keys_are_logged_once():
    daemon = _build_daemon()
    with capture_logs() as lines:
        daemon.start()
    daemon.stop()
    warnings = [line for line in lines if line["log_level"] == "warning"]
    assert ["no keys" in line["event"] for line in warnings] == [True]


def test_key_is_identified_by_its_hash():
    ring = KeyRing(keys=(KEY,))
    assert ring.check(KeyKind.CALLER, "Bearer secret", "192.0.2.1") is KEY
    assert _status(ring, "") == 401
    assert _status(ring, "Bearer other") == 401
    assert _status(ring, f"Bearer {KEY.sha256}") == 401
