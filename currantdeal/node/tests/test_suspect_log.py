import structlog
from structlog.testing import capture_logs

from currantdeal.node.suspect_log import SuspectLog
from currantdeal.policy.crashes import registry as crash_registry
from currantdeal.policy.crashes.evidence import Crash
from currantdeal.policy.crashes.registry import CrashRegistry


def _events(steps):
    """Return the events logged while the steps change the records."""
    registry = CrashRegistry()
    with capture_logs() as lines:
        log = SuspectLog(log=structlog.get_logger(), crash_registry=registry)
        for step in steps:
            log.log_changes(step(registry))
    return [line["event"] for line in lines]


def _crash(number, **more):
    crash = Crash(upstream=f"u{number}", started_ms=1, **more)
    return lambda registry: registry.add_crash(b"poison", crash)


def _completed(registry):
    return registry.add_completion(b"poison")


def test_each_change_of_status_is_logged_once():
    steps = [*(_crash(number) for number in range(5)), _completed]
    assert _events(steps) == [
        "request-suspected",
        "request-quarantined",
        "suspect-cleared",
    ]


def test_statuses_of_dropped_records_are_removed(monkeypatch):
    """Guards against memory that grows with the number of suspects."""
    monkeypatch.setattr(crash_registry, "MAX_QUARANTINED", 10)
    registry = CrashRegistry()
    log = SuspectLog(log=structlog.get_logger(), crash_registry=registry)
    with capture_logs():
        for number in range(300):
            crash = Crash(upstream=f"u{number}", started_ms=1)
            log.log_changes(registry.add_crash(b"%d" % (number // 3), crash))
    assert len(registry) == 10
    assert len(log) <= 2 * len(registry)


def test_crash_without_a_change_of_status_is_not_logged():
    """Guards against a line at each entry for each stream a crash ends."""
    steps = [_crash(1, early=False), _crash(2, early=False), _completed]
    assert _events(steps) == []
