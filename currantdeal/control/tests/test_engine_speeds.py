"""What a control instance says of the speeds of engines."""

import pytest
from structlog.testing import capture_logs

from currantdeal.adapters.metrics import Metrics
from currantdeal.control.engine_speeds import EngineSpeeds
from currantdeal.policy.placement.prefill_choice import DEFAULT_S_PER_TOKEN
from currantdeal.policy.speed.paces import process_key
from currantdeal.registry import Stage
from currantdeal.registry.tests.builders import an_upstream

ENGINES = [
    an_upstream(upstream=f"e{n}", service="model", stage=Stage.PREFILL)
    for n in range(4)
]


def _paces(**slowdowns):
    usual = {engine.upstream: 2.0 for engine in ENGINES}
    times = {**usual, **slowdowns}
    return {
        "prefill/model": {
            process_key(engine): (
                1_000,
                round(1_000 * times[engine.upstream]),
                36,
            )
            for engine in ENGINES
        }
    }


def test_slow_engine_is_logged_once_and_when_it_recovers():
    """Guards against an operator who learns of a slow engine from callers."""
    paces = _paces(e1=6.0)
    speeds = EngineSpeeds(paces=lambda: paces, logs=lambda: True)
    with capture_logs() as logs:
        speeds.observe()
        speeds.observe()
        paces = _paces()
        speeds.observe()
    slow = [log for log in logs if log["upstream"] == "e1"]
    assert [log["event"] for log in slow] == [
        "upstream-speed-unusual",
        "upstream-speed-usual",
    ]
    assert slow[0]["slowdown"] == 2.0


def test_gauges_of_an_engine_without_work_are_reset():
    """Guards against the speed of an engine that has left, shown for good."""
    paces, metrics = _paces(e1=6.0), Metrics()
    speeds = EngineSpeeds(paces=lambda: paces)
    speeds.set_gauges(metrics)
    line = 'upstream_slowdown{service="model",upstream="e1",work="prefill"} '
    assert f"{line}2.0" in metrics.render()[1].decode()
    paces = {}
    speeds.set_gauges(metrics)
    assert f"{line}1.0" in metrics.render()[1].decode()


def test_pool_time_is_known_where_engines_differ():
    paces = _paces()
    speeds = EngineSpeeds(paces=lambda: paces)
    assert speeds.s_per_token("model") is None
    assert set(speeds.slowdowns(ENGINES).values()) == {1.0}
    paces = _paces(e1=6.0)
    assert speeds.s_per_token("model") == pytest.approx(
        3.0 * DEFAULT_S_PER_TOKEN
    )
    assert speeds.slowdowns(ENGINES)["e1"] == 2.0
